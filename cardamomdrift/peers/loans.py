"""
Loan messages
=============

What two daemons say while one lends the other a connection to an instance: over a
stream of their own, since its end must end the loan.  Each message follows its length.
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

LENGTH_PREFIX_SIZE = 4  # bytes of a message's length
MESSAGE_SIZE_LIMIT = 8 * 1024 * 1024  # bytes; a few of the largest statements
LOAN_PORT_OFFSET = 2  # from the port for heartbeats; questions use the one between

# What ends a stream; a message may hold bytes of callers or instances that are no text.
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    msgspec.DecodeError,
    PacketTooLarge,
    UnicodeEncodeError,
)

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
        Whether a transaction is to hold it, with the caller's pauses.
    """

    borrower: str
    instance: str
    pinned: bool


class LoanGranted(msgspec.Struct, array_like=True, frozen=True, tag="loan!"):
    """Lends a connection.

    Attributes
    ----------
    values : dict of str to str
        Session values that the connection holds.
    prepared : list of str
        Names prepared on it.
    position : Position or None
        What the instance's log had reached at the last answer.
    """

    values: dict[str, str]
    prepared: list[str]
    position: Position | None


class LoanRefused(msgspec.Struct, array_like=True, frozen=True, tag="no loan"):
    """There is no connection to lend."""

    reason: str


class LoanSteps(msgspec.Struct, array_like=True, frozen=True, tag="steps"):
    """Statements to send in one write: request id, name and fields of the command."""

    steps: list[tuple[str | None, str, dict]]


class LoanReplies(msgspec.Struct, array_like=True, frozen=True, tag="replies"):
    """The instance's replies, in order."""

    replies: list[Reply]


class LoanLost(msgspec.Struct, array_like=True, frozen=True, tag="lost"):
    """The connection has failed; ``sent`` tells whether anything may have left."""

    sent: bool
    reason: str


class LoanReturn(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """Gives the connection back, with what it holds now."""

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
    """Return LoanSteps of some statements."""
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
        A command that must not be sent for others, or fields that do not fit it.
    """
    steps = []
    for request_id, name, fields in message.steps:
        if name not in LOAN_COMMANDS:
            raise msgspec.ValidationError(f"no command {name[:20]!r}")
        steps.append((request_id, msgspec.convert(fields, LOAN_COMMANDS[name])))
    return steps


class LoanStream:
    """Messages over one stream between two daemons."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @property
    def ended(self):
        """Whether the other end has closed it."""
        return self._reader.at_eof() or self._writer.is_closing()

    def write(self, message):
        """Send a message without waiting.

        Raises
        ------
        UnicodeEncodeError
            It holds bytes that are no text; nothing was sent.
        """
        data = _ENCODER.encode(message)
        self._writer.write(len(data).to_bytes(LENGTH_PREFIX_SIZE, "big") + data)

    async def receive(self):
        """Return the next message.

        Raises
        ------
        OSError or asyncio.IncompleteReadError
            The stream has ended.
        msgspec.DecodeError or PacketTooLarge
        """
        size = int.from_bytes(await self._reader.readexactly(LENGTH_PREFIX_SIZE), "big")
        if size > MESSAGE_SIZE_LIMIT:
            raise PacketTooLarge(f"message of {size} bytes")
        return _DECODER.decode(await self._reader.readexactly(size))

    def close(self):
        """Close the stream, once everything has been sent."""
        self._writer.close()

    def abort(self):
        """Close the stream at once."""
        self._writer.transport.abort()
