"""
Loan messages
=============

Two daemons exchange these messages while one lends the other a connection to an
instance.  A stream carries one loan at a time, because the end of the stream must end
the loan.  Each message is preceded by its length.
"""

import asyncio

import msgspec

from cardamomdrift.errors import PacketTooLarge
from cardamomdrift.ports import Reply
from cardamomdrift.position import Position
from cardamomdrift.sessions.commands import (
    Begin,
    Commit,
    Discard,
    Execute,
    Prepare,
    Read,
    Reset,
    Rollback,
    SetValue,
    Write,
)
from cardamomdrift.util import DECODE_ERRORS

LENGTH_PREFIX_SIZE = 4  # bytes of the length before a message
MESSAGE_SIZE_LIMIT = 8 * 1024 * 1024  # bytes; room for a few of the largest statements
LOAN_PORT_OFFSET = 2  # from the heartbeat port; the port between is for queries

# Errors that end a stream.  A message may hold bytes of callers or instances that are
# not valid text, hence UnicodeEncodeError.
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    *DECODE_ERRORS,
    PacketTooLarge,
    UnicodeEncodeError,
)

# Commands that a borrower may send, by name.
LOAN_COMMANDS = {
    command.__name__: command
    for command in (
        Begin,
        Commit,
        Discard,
        Execute,
        Prepare,
        Read,
        Reset,
        Rollback,
        SetValue,
        Write,
    )
}


class LoanRequest(msgspec.Struct, array_like=True, frozen=True, tag="loan?"):
    """Asks for a connection.

    Attributes
    ----------
    borrower : str
    instance : str
    pinned : bool
        Whether a transaction is to hold the connection, also while its caller sends
        no statements.
    """

    borrower: str
    instance: str
    pinned: bool


class LoanGranted(msgspec.Struct, array_like=True, frozen=True, tag="loan!"):
    """Lends a connection.

    Attributes
    ----------
    values : dict of str to str
        Session values that are set on the connection.
    prepared : list of str
        Names of the statements prepared on it.
    position : Position or None
        Position of the instance's log at its last answer.
    """

    values: dict[str, str]
    prepared: list[str]
    position: Position | None


class LoanRefused(msgspec.Struct, array_like=True, frozen=True, tag="no loan"):
    """Refuses a loan."""

    reason: str


class LoanSteps(msgspec.Struct, array_like=True, frozen=True, tag="steps"):
    """Statements to send in one write, as request id, command name and its fields."""

    steps: list[tuple[str | None, str, dict]]


class LoanReplies(msgspec.Struct, array_like=True, frozen=True, tag="replies"):
    """The instance's replies, in order."""

    replies: list[Reply]


class LoanLost(msgspec.Struct, array_like=True, frozen=True, tag="lost"):
    """The connection has failed; ``sent`` if a statement may have been sent."""

    sent: bool
    reason: str


class LoanReturn(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """Returns the connection, with the session state that it holds now."""

    values: dict[str, str]
    prepared: list[str]


Message = (
    LoanRequest
    | LoanGranted
    | LoanRefused
    | LoanSteps
    | LoanReplies
    | LoanLost
    | LoanReturn
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def pack_steps(steps):
    """Return statements as LoanSteps."""
    return LoanSteps(
        [
            (request_id, type(command).__name__, msgspec.to_builtins(command))
            for request_id, command in steps
        ]
    )


def unpack_steps(message):
    """Return the statements of LoanSteps.

    Raises
    ------
    msgspec.ValidationError
        A command that borrowers may not send, or fields that do not match it.
    """
    steps = []
    for request_id, name, fields in message.steps:
        if name not in LOAN_COMMANDS:
            raise msgspec.ValidationError(f"no command {name[:20]!r}")
        steps.append((request_id, msgspec.convert(fields, LOAN_COMMANDS[name])))
    return steps


class LoanStream:
    """Sends and receives loan messages over a stream between two daemons."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @property
    def ended(self):
        """Whether either end has closed the stream."""
        return self._reader.at_eof() or self._writer.is_closing()

    def write(self, message):
        """Send a message without waiting.

        Raises
        ------
        UnicodeEncodeError
            The message holds bytes that are not valid text; nothing was sent.
        """
        data = _ENCODER.encode(message)
        self._writer.write(len(data).to_bytes(LENGTH_PREFIX_SIZE, "big") + data)

    async def receive(self):
        """Return the next message.

        Raises
        ------
        OSError or asyncio.IncompleteReadError
            The stream has ended.
        msgspec.DecodeError or RecursionError or PacketTooLarge
            The message is not valid.
        """
        size = int.from_bytes(await self._reader.readexactly(LENGTH_PREFIX_SIZE), "big")
        if size > MESSAGE_SIZE_LIMIT:
            raise PacketTooLarge(f"message of {size} bytes")
        return _DECODER.decode(await self._reader.readexactly(size))

    def close(self):
        """Close the stream after everything written has been sent."""
        self._writer.close()

    def abort(self):
        """Close the stream immediately; what has not been sent yet is lost."""
        self._writer.transport.abort()
