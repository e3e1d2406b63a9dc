"""
Line protocol
=============

Parses and renders the messages of the platform's wire protocol.  A message is a line: a
keyword and its fields, separated by single spaces.  The last field extends to the end
of the line.
"""

from dataclasses import dataclass, field

from cardamomdrift.errors import (
    AccessDenied,
    BadRequest,
    CallerError,
    DeadlinePassed,
    NoPrimary,
    OutcomeUnknown,
    Overloaded,
    ProofExpired,
    QuotaExceeded,
    ReadFailed,
    RefusedByInstance,
    ShuttingDown,
    UnknownDatabase,
    UnknownStatement,
    UpstreamLost,
)
from cardamomdrift.ports import InstanceStatus, Refusal, TransactionState
from cardamomdrift.position import parse_position
from cardamomdrift.sessions.commands import (
    MESSAGE_SIZE_LIMIT,
    Begin,
    Commit,
    Discard,
    Execute,
    Malformed,
    Prepare,
    Read,
    Reset,
    Rollback,
    SetValue,
    StepDown,
    Write,
)
from cardamomdrift.util import text_size

LINE_END = b"\r\n"
MISSING_FIELD = "-"  # in place of a missing request id or VM name
NO_POSITION = "-"
NO_SIGNATURE = "-"  # in answers to statements that no instance has to run
POSITION_SEPARATOR = "."
STATUS = "STATUS"
WAIT_PREFIX = "WAITLSN "
EXECUTE_PREFIX = "EXECUTE "
PRIMARY_ROLE = "primary"
INSTANCE_ROLES = frozenset((PRIMARY_ROLE, "replica"))

STATE_CODES = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
_STATES_BY_CODE = {code: state for state, code in STATE_CODES.items()}

REFUSALS_BY_CODE = {
    "BUSY": Refusal.BUSY,
    "LAGGING": Refusal.BEHIND,
    "READONLY": Refusal.READ_ONLY,
    "WRONGNODE": Refusal.WRONG_INSTANCE,
    "CONNLIMIT": Refusal.TOO_MANY_CONNECTIONS,
    "NOSUCHSTMT": Refusal.NO_SUCH_STATEMENT,
    "EXECFAIL": Refusal.FAILED,
    "TIMEOUT": Refusal.TIMED_OUT,
}

# The first matching class gives the code.  BUSY and ABORTED tell the caller that
# neither the request nor its transaction has any effect.
_ERROR_CODES = (
    (OutcomeUnknown, "INDOUBT"),
    (ReadFailed, "TIMEOUT"),
    (UnknownDatabase, "NOSUCHDB"),
    (UnknownStatement, "NOSUCHSTMT"),
    (AccessDenied, "AUTHFAIL"),
    (BadRequest, "MALFORMED"),
    (Overloaded, "BUSY"),
    (DeadlinePassed, "BUSY"),
    (NoPrimary, "BUSY"),
    (ShuttingDown, "BUSY"),
    (QuotaExceeded, "BUSY"),
    (ProofExpired, "BUSY"),
    (CallerError, "ABORTED"),
)


@dataclass(frozen=True, slots=True)
class Start:
    """Message with which a caller opens a session.

    Attributes
    ----------
    database : str
    user : str
        Key of the caller, where customers are in force.
    """

    database: str
    user: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class Query:
    """Message with a command and the request id that the caller chose.

    Attributes
    ----------
    request_id : str
    command : object
    payload_bytes : int
        See `payload_size`.
    """

    request_id: str
    command: object
    payload_bytes: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class Terminate:
    """Message with which a caller ends its session."""


def parse_message(line):
    """Parse a caller's line into a Start, Query, Terminate or Malformed."""
    # Another program may read a line with one of these inside as several lines.
    if "\n" in line or "\r" in line or "\0" in line:
        return Malformed("a line break inside a message")
    word, _, rest = line.partition(" ")
    match word:
        case "QUERY":
            request_id, _, text = rest.partition(" ")
            if not request_id or not text:
                return Malformed("QUERY needs an id and a text")
            return Query(request_id, parse_command(text), payload_size(text))
        case "START":
            database, _, user = rest.partition(" ")
            return Start(database, user) if database else Malformed("no database")
        case "TERM":
            return Terminate()
    return Malformed("unknown message")


def parse_command(text):
    """Parse the text of a query into a command; Malformed if it is not valid."""
    word, _, rest = text.partition(" ")
    parse = _COMMANDS.get(word)
    return Malformed("unknown statement") if parse is None else parse(text, rest)


def _parse_begin(_text, rest):
    if rest not in ("", "READ"):
        return Malformed("BEGIN takes READ or nothing")
    return Begin(read_only=rest == "READ")


def _parse_set(_text, rest):
    name, separator, value = rest.partition(" ")
    if not name or not separator:
        return Malformed("SET needs a name and a value")
    return SetValue(name, value)


def _parse_prepare(_text, rest):
    fields = rest.split(" ", 2)
    if len(fields) < 3 or fields[1] not in ("READ", "WRITE"):
        return Malformed("PARSE needs a name, READ or WRITE, and a shape")
    return Prepare(fields[0], fields[1] == "WRITE", fields[2])


def _parse_execute(_text, rest):
    name = rest.partition(" ")[0]
    if not name:
        return Malformed("EXECUTE needs a name")
    return Execute(name, rest.removeprefix(name))


_COMMANDS = {
    "BEGIN": _parse_begin,
    "COMMIT": lambda text, rest: (
        Malformed("COMMIT takes nothing") if rest else Commit(text)
    ),
    "ROLLBACK": lambda _text, _rest: Rollback(),
    "READ": lambda text, _rest: Read(text),
    "WRITE": lambda text, _rest: Write(text),
    "SET": _parse_set,
    "PARSE": _parse_prepare,
    "EXECUTE": _parse_execute,
    "CLOSE": lambda _text, rest: Discard(rest),
}


def payload_size(text):
    """Return the bytes of a statement's text that no daemon may change.

    A daemon may add a position to wait for, and rename prepared statements.
    """
    if text.startswith(WAIT_PREFIX):
        text = text.split(" ", 2)[-1]
    if text.startswith(EXECUTE_PREFIX):
        arguments = text.removeprefix(EXECUTE_PREFIX)
        text = arguments.removeprefix(arguments.partition(" ")[0])
    return text_size(text)


def _render_wait_prefix(floor):
    if floor is None:
        return ""
    return f"{WAIT_PREFIX}{floor.term}{POSITION_SEPARATOR}{floor.sequence} "


def render_command(command):
    """Return the text of a command for an instance.

    A command with a floor begins with WAITLSN and the position to wait for.
    """
    match command:
        case Read(text, floor):
            return _render_wait_prefix(floor) + text
        case Write(text):
            return text
        case Execute(name, tail, floor):
            return f"{_render_wait_prefix(floor)}{EXECUTE_PREFIX}{name}{tail}"
        case Begin(read_only, floor):
            return _render_wait_prefix(floor) + ("BEGIN READ" if read_only else "BEGIN")
        case Commit(text):
            return text
        case Rollback():
            return "ROLLBACK"
        case SetValue(name, value):
            return f"SET {name} {value}"
        case Prepare(name, writes, shape):
            return f"PARSE {name} {'WRITE' if writes else 'READ'} {shape}"
        case Discard(name):
            return f"CLOSE {name}"
        case Reset():
            return "RESET"
        case StepDown(term):
            return f"STEPDOWN {term}"
    raise TypeError(f"no text for {type(command).__name__}")


def render_query(request_id, text):
    """Return the QUERY line that carries a command's text to an instance."""
    return f"QUERY {request_id or MISSING_FIELD} {text}\r\n"


def parse_ready(rest):
    """Return the transaction state and the position in the fields of READY.

    An unknown state counts as FAILED; the position is None if there is none.
    """
    state, _, position_text = rest.partition(" ")
    position = parse_position(position_text, POSITION_SEPARATOR)
    return _STATES_BY_CODE.get(state, TransactionState.FAILED), position


def parse_status(row):
    """Return the InstanceStatus in the row that answers STATUS.

    The second field is the term that the instance follows.  The fourth, the term held,
    is not used.

    Raises
    ------
    UpstreamLost
        The row is not a status.
    """
    role, term, position, *_ = *row.split(" "), "", "", ""
    received = parse_position(position, POSITION_SEPARATOR)
    if role not in INSTANCE_ROLES or not term.isdecimal() or received is None:
        raise UpstreamLost(f"status not understood: {row[:80]!r}")
    return InstanceStatus(role == PRIMARY_ROLE, int(term), received)


def _render_position(position):
    if position is None:
        return NO_POSITION
    return f"{position.term}{POSITION_SEPARATOR}{position.sequence}"


def _encode(text):
    """Return the bytes of a message; bytes that are not valid text are unchanged."""
    return text.encode("utf-8", "surrogateescape")


def render_answer(rows, signature, state, position):
    """Return the lines of a successful answer to a caller."""
    lines = [f"ROW {row}\r\n" for row in rows]
    lines.append(f"COMPLETE {signature or NO_SIGNATURE}\r\n")
    lines.append(f"READY {STATE_CODES[state]} {_render_position(position)}\r\n")
    return _encode("".join(lines))


def render_rows(rows, size):
    """Yield the lines of rows in pieces of about a size; empties the list.

    Parameters
    ----------
    rows : list of str
    size : int
        Characters; a longer row is a piece of its own.

    Yields
    ------
    tuple of (int, bytes)
        Characters of the rows in a piece, and their lines.
    """
    rows.reverse()
    while rows:
        piece, taken = [], 0
        while rows and (not piece or taken + len(rows[-1]) <= size):
            row = rows.pop()
            taken += len(row)
            piece += (b"ROW ", _encode(row), LINE_END)
            del row
        yield taken, _take_joined(piece)


def _take_joined(pieces):
    """Return the bytes of pieces as one; empties the list, which outlives a `yield`."""
    joined = b"".join(pieces)
    pieces.clear()
    return joined


def error_code(error):
    """Return the protocol's code for an error."""
    if isinstance(error, RefusedByInstance):
        return error.code
    return next(
        code for error_class, code in _ERROR_CODES if isinstance(error, error_class)
    )


def render_error(error):
    """Return the ERROR line of an error, whose text includes any retry delay."""
    line = f"ERROR {error_code(error)}"
    if not isinstance(error, RefusedByInstance) or error.has_text:
        line += f" {error}"
    return _encode(line)[:MESSAGE_SIZE_LIMIT] + LINE_END


def render_failure(error, state, position):
    """Return the lines of a failed answer to a caller."""
    ready = f"READY {STATE_CODES[state]} {_render_position(position)}\r\n"
    return render_error(error) + ready.encode()


def render_ready(state, position):
    """Return the READY line."""
    return f"READY {STATE_CODES[state]} {_render_position(position)}\r\n".encode()
