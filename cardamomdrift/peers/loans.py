"""
Loan messages
=============

Two daemons exchange these messages while one lends the other a connection to an
instance.  A stream carries one loan at a time, because the end of the stream must end
the loan.  Each message is preceded by its length.  Texts of callers and instances are
carried as bytes, because they may hold bytes that are not valid UTF-8.

The tags of LoanRequest and LoanGranted name the version of the messages.  They change
with any message, with the fields of a command and with the meaning of a field, so that
daemons of different versions refuse each other before a statement is sent.
"""

import asyncio
from dataclasses import fields

import msgspec

from cardamomdrift.errors import PacketTooLarge
from cardamomdrift.limits.memory import LOANS
from cardamomdrift.ports import Refusal, Reply, TransactionState
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
MESSAGE_SIZE_LIMIT = 8 * 1024 * 1024  # bytes
# Bytes of a message with which a stranger may begin; a request has some hundred.
REQUEST_SIZE_LIMIT = 16 * 1024
# Bytes of texts in one message.  A single text is at most a line of a caller or an
# instance; what is larger together is carried in several messages.
TEXT_SIZE_LIMIT = MESSAGE_SIZE_LIMIT // 2
ROW_HEADER_SIZE = 5  # bytes before a row in a message, at most
LOAN_PORT_OFFSET = 2  # from the heartbeat port; the port between is for queries

# Errors on a message that cannot be encoded.  Positions that instances report have no
# limit, hence OverflowError.
ENCODE_ERRORS = (UnicodeEncodeError, OverflowError, PacketTooLarge)
# Errors that end a stream.
STREAM_ERRORS = (
    OSError,
    TimeoutError,
    asyncio.IncompleteReadError,
    *DECODE_ERRORS,
    *ENCODE_ERRORS,
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
# Commands of a ping, which runs no statement; see `upstreams.pinger.ask_position`.
PING_COMMANDS = (Begin.__name__, Rollback.__name__)
_FIELD_NAMES = {
    name: {field.name for field in fields(command)}
    for name, command in LOAN_COMMANDS.items()
}


class LoanRequest(msgspec.Struct, array_like=True, frozen=True, tag="loan 3?"):
    """Asks for a connection.

    Attributes
    ----------
    borrower : str
    instance : str
    pinned : bool
        Whether a transaction is to hold the connection, also while its caller sends
        no statements.
    customer : str
        Customer that the connection must belong to; empty without customers.
    key_digest : bytes
        Digest of the key that the caller showed; empty if no key is needed.
    """

    borrower: str
    instance: str
    pinned: bool
    customer: str = ""
    key_digest: bytes = b""


class LoanGranted(msgspec.Struct, array_like=True, frozen=True, tag="loan 3!"):
    """Lends a connection.

    Attributes
    ----------
    values : dict of bytes to bytes
        Session values that are set on the connection.
    prepared : list of str
        Names of the statements prepared on it.
    position : Position or None
        Position of the instance's log at its last answer.
    """

    values: dict[bytes, bytes]
    prepared: list[str]
    position: Position | None


class LoanRefused(msgspec.Struct, array_like=True, frozen=True, tag="no loan"):
    """Refuses a loan."""

    reason: str


class LoanSteps(msgspec.Struct, array_like=True, frozen=True, tag="steps"):
    """Statements to send in one write, as request id, command name and its fields."""

    steps: list[tuple[bytes | None, str, dict]]


class LoanReply(msgspec.Struct, array_like=True, frozen=True):
    """A `Reply` as it is carried."""

    rows: list[bytes]
    signature: bytes
    refusal: Refusal | None
    code: bytes
    detail: bytes | None
    state: TransactionState
    position: Position | None
    sent_bytes: int | None


class LoanRows(msgspec.Struct, array_like=True, frozen=True, tag="rows"):
    """First rows of the last reply in the LoanReplies that follows."""

    rows: list[bytes]


class LoanReplies(msgspec.Struct, array_like=True, frozen=True, tag="replies"):
    """The instance's replies, in order."""

    replies: list[LoanReply]


class LoanLost(msgspec.Struct, array_like=True, frozen=True, tag="lost"):
    """The connection has failed; ``sent`` if a statement may have been sent."""

    sent: bool
    reason: bytes


class LoanReturn(msgspec.Struct, array_like=True, frozen=True, tag="return"):
    """Returns the connection, with the session state that it holds now."""

    values: dict[bytes, bytes]
    prepared: list[str]


Message = (
    LoanRequest
    | LoanGranted
    | LoanRefused
    | LoanSteps
    | LoanRows
    | LoanReplies
    | LoanLost
    | LoanReturn
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def pack_text(text):
    """Return the bytes of a text; those that are not valid UTF-8 are unchanged."""
    return text.encode("utf-8", "surrogateescape")


def unpack_text(data):
    """Return the text of which `pack_text` returned the bytes."""
    return data.decode("utf-8", "surrogateescape")


def pack_values(values):
    """Return session values as they are carried.

    Raises
    ------
    PacketTooLarge
        They do not fit into a message.
    """
    packed, size = {}, 0
    for name, value in values.items():
        packed_name, packed_value = pack_text(name), pack_text(value)
        size += len(packed_name) + len(packed_value)
        if size > TEXT_SIZE_LIMIT:
            raise PacketTooLarge(f"values of more than {TEXT_SIZE_LIMIT} bytes")
        packed[packed_name] = packed_value
    return packed


def unpack_values(values):
    """Return the session values that were carried."""
    return {unpack_text(name): unpack_text(value) for name, value in values.items()}


def pack_steps(steps):
    """Yield statements as one or more LoanSteps of limited size."""
    part, part_size = [], 0
    for request_id, command in steps:
        packed_id = None if request_id is None else pack_text(request_id)
        command_fields, size = msgspec.to_builtins(command), 0
        for name, value in command_fields.items():
            if isinstance(value, str):
                command_fields[name] = data = pack_text(value)
                size += len(data)
        if part and part_size + size > TEXT_SIZE_LIMIT:
            yield LoanSteps(part)
            part, part_size = [], 0
        part.append((packed_id, type(command).__name__, command_fields))
        part_size += size
    yield LoanSteps(part)


def unpack_steps(message):
    """Return the statements of LoanSteps.

    Raises
    ------
    msgspec.ValidationError
        A command that borrowers may not send, or fields that do not match it.
    """
    return [_unpack_step(*step) for step in message.steps]


def is_ping(message):
    """Whether LoanSteps are an empty transaction."""
    return tuple(command_name for _, command_name, _ in message.steps) == PING_COMMANDS


def _unpack_step(request_id, command_name, packed_fields):
    if command_name not in LOAN_COMMANDS:
        raise msgspec.ValidationError(f"no command {command_name[:20]!r}")
    if packed_fields.keys() != _FIELD_NAMES[command_name]:
        raise msgspec.ValidationError(f"other fields of {command_name}")
    command_fields = {
        name: unpack_text(value) if isinstance(value, bytes) else value
        for name, value in packed_fields.items()
    }
    command = msgspec.convert(command_fields, LOAN_COMMANDS[command_name])
    return None if request_id is None else unpack_text(request_id), command


def pack_replies(replies):
    """Yield an instance's replies as LoanReplies, after LoanRows if they are large."""
    rows, size = [], 0
    for row in replies[-1].rows:
        data = pack_text(row)
        row_size = len(data) + ROW_HEADER_SIZE
        if rows and size + row_size > TEXT_SIZE_LIMIT:
            yield LoanRows(rows)
            rows, size = [], 0
        rows.append(data)
        size += row_size
    packed = [
        _pack_reply(reply, [pack_text(row) for row in reply.rows])
        for reply in replies[:-1]
    ]
    yield LoanReplies([*packed, _pack_reply(replies[-1], rows)])


def _pack_reply(reply, rows):
    return LoanReply(
        rows,
        pack_text(reply.signature),
        reply.refusal,
        pack_text(reply.code),
        None if reply.detail is None else pack_text(reply.detail),
        reply.state,
        reply.position,
        reply.sent_bytes,
    )


def unpack_replies(message, first_rows=()):
    """Return the replies of LoanReplies, with the rows that were carried before."""
    replies = [
        Reply(
            [unpack_text(row) for row in reply.rows],
            unpack_text(reply.signature),
            reply.refusal,
            unpack_text(reply.code),
            None if reply.detail is None else unpack_text(reply.detail),
            reply.state,
            reply.position,
            reply.sent_bytes,
        )
        for reply in message.replies
    ]
    if first_rows:
        replies[-1].rows[:0] = map(unpack_text, first_rows)
    return replies


class LoanStream:
    """Sends and receives loan messages over a stream between two daemons.

    Parameters
    ----------
    reader : asyncio.StreamReader
    writer : asyncio.StreamWriter
    holder : MemoryHolder, optional
        Accounts for messages that are being received.
    """

    def __init__(self, reader, writer, holder=None):
        self._reader = reader
        self._writer = writer
        self._holder = holder

    @property
    def ended(self):
        """Whether either end has closed the stream."""
        return self._reader.at_eof() or self._writer.is_closing()

    def write(self, message):
        """Send a message without waiting.

        Raises
        ------
        UnicodeEncodeError or OverflowError or PacketTooLarge
            The message cannot be sent; nothing was.
        """
        data = _ENCODER.encode(message)
        if len(data) > MESSAGE_SIZE_LIMIT:
            raise PacketTooLarge(f"message of {len(data)} bytes")
        self._writer.write(len(data).to_bytes(LENGTH_PREFIX_SIZE, "big") + data)

    async def receive(self, size_limit=MESSAGE_SIZE_LIMIT):
        """Return the next message.

        Parameters
        ----------
        size_limit : int
            Bytes of the message.

        Raises
        ------
        OSError or asyncio.IncompleteReadError
            The stream has ended.
        msgspec.DecodeError or RecursionError or PacketTooLarge
            The message is not valid, or there is no memory for it.
        """
        size = int.from_bytes(await self._reader.readexactly(LENGTH_PREFIX_SIZE), "big")
        if size > size_limit:
            raise PacketTooLarge(f"message of {size} bytes")
        if self._holder is None:
            return _DECODER.decode(await self._reader.readexactly(size))
        if not self._holder.may_grow(size):
            raise PacketTooLarge(f"no memory for a message of {size} bytes")
        self._holder.set(LOANS, size)
        try:
            return _DECODER.decode(await self._reader.readexactly(size))
        finally:
            self._holder.set(LOANS, 0)

    async def drain(self):
        """Wait until most of what was written has been sent.

        Raises
        ------
        OSError
            The stream has ended.
        """
        await self._writer.drain()

    def close(self):
        """Close the stream after everything written has been sent."""
        self._writer.close()

    def abort(self):
        """Close the stream immediately; what has not been sent yet is lost."""
        self._writer.transport.abort()
