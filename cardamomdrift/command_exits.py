"""
Exits of the command line
=========================

Exit codes of the operators' tool, and how it ends when a daemon does not answer.
"""

import asyncio
import json
import sys

from cardamomdrift.peers.queries import send_query

EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_NO_ANSWER = 3


def exit_with_error(error, code):
    """Print an error with its type, and exit."""
    print(f"{type(error).__name__}: {error}", file=sys.stderr)
    sys.exit(code)


def exit_with_message(text, code):
    """Print a text to standard error, and exit."""
    print(text, file=sys.stderr)
    sys.exit(code)


def ask_or_exit(address, query):
    """Return the decoded JSON answer of a daemon, or exit without one."""
    reply = asyncio.run(send_query(address, query))
    if reply is None:
        print(f"no answer from {address}", file=sys.stderr)
        sys.exit(EXIT_NO_ANSWER)
    return json.loads(reply.body)
