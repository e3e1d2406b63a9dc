"""
Questions of operators
======================

Reads the question of ``cardamomdrift where``, and asks a daemon or a saved status.
"""

import sys
import time

import msgspec

from cardamomdrift.command_exits import (
    EXIT_BAD_INPUT,
    EXIT_REFUSED,
    ask_or_exit,
    exit_with_message,
)
from cardamomdrift.peers.messages import PlacementQuery
from cardamomdrift.platform.line_protocol import parse_command, payload_size
from cardamomdrift.position import parse_position
from cardamomdrift.sessions.commands import Malformed, Read, Write
from cardamomdrift.telemetry.placement import find_placement
from cardamomdrift.telemetry.placement_answer import IS_REFUSED, PlacementAnswer
from cardamomdrift.telemetry.placement_state import DaemonState
from cardamomdrift.telemetry.placement_text import format_placement
from cardamomdrift.util import DECODE_ERRORS, seconds

NUMBER_LIMIT = 2**63 - 1  # of a term or a sequence number, in a message
PLACEMENT_ATTEMPTS = 10  # at a daemon that answers too many questions already


class _SavedStatus(msgspec.Struct):
    """The part of a saved status that tells where requests go."""

    placement: DaemonState


def parse_question(database, text, customer, position):
    """Return the PlacementQuery for a statement, or exit if it is not one."""
    parsed = None
    if position:
        separator = "." if "." in position else ":"
        parsed = parse_position(position, separator)
        if parsed is None or max(parsed.term, parsed.sequence) > NUMBER_LIMIT:
            exit_with_message("position: must be TERM.NUMBER", EXIT_BAD_INPUT)
    if not (database + customer).isprintable():
        reason = "database and customer: must be printable"
        exit_with_message(reason, EXIT_BAD_INPUT)
    match parse_command(text):
        case Read() | Write() as command:
            return PlacementQuery(
                database,
                isinstance(command, Write),
                payload_size(text),
                customer,
                None if parsed is None else (parsed.term, parsed.sequence),
            )
        case Malformed(reason):
            exit_with_message(f"statement: {reason}", EXIT_BAD_INPUT)
    exit_with_message("statement: must begin with READ or WRITE", EXIT_BAD_INPUT)


def load_state(path):
    """Return the DaemonState in a saved status, or exit if there is none."""
    try:
        with open(path, "rb") as file:
            return msgspec.json.decode(file.read(), type=_SavedStatus).placement
    except (OSError, *DECODE_ERRORS) as error:
        exit_with_message(f"{path}: {error}", EXIT_BAD_INPUT)


def ask_placement(address, question):
    """Return the PlacementAnswer that a daemon answers, or exit without one."""
    for _ in range(PLACEMENT_ATTEMPTS):
        value = ask_or_exit(address, question)
        if "retry_after_ms" not in value:
            break
        time.sleep(seconds(value["retry_after_ms"]))
    if "error" in value:
        exit_with_message(f"{address}: {value['error']}", EXIT_REFUSED)
    return msgspec.convert(value, PlacementAnswer)


def show_placement(placement, as_json):
    """Print a PlacementAnswer; exit with code 1 if the statement would be refused."""
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(placement)).decode())
    else:
        print(format_placement(placement))
    if placement.decision.outcome == IS_REFUSED:
        sys.exit(EXIT_REFUSED)


def answer_saved(path, question):
    """Return the PlacementAnswer of a saved status, or exit without one."""
    state = load_state(path)
    if question.customer and state.lacks(question.customer):
        exit_with_message(f"{path}: not all customers saved", EXIT_REFUSED)
    return find_placement(state, question)
