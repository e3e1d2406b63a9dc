"""
Instance connection
===================

Connection to an instance over the line protocol.  A connection whose reply is missing,
truncated or unreadable is broken and is never reused.
"""

import asyncio
from contextlib import contextmanager

from cardamomdrift.errors import (
    PacketTooLarge,
    UpstreamBusy,
    UpstreamLost,
    UpstreamMismatch,
    UpstreamUnreachable,
)
from cardamomdrift.limits.memory import (
    CURRENT_HOLDER,
    RECEIVED,
    ROWS,
    memory_size,
)
from cardamomdrift.platform.line_protocol import (
    MISSING_FIELD,
    NO_SIGNATURE,
    REFUSALS_BY_CODE,
    STATUS,
    parse_ready,
    parse_status,
    payload_size,
    render_command,
    render_query,
)
from cardamomdrift.platform.stream import LineStream
from cardamomdrift.ports import Refusal, Reply, TransactionState
from cardamomdrift.sessions.state import LoadedState

JOINED_BYTES = 64 * 1024  # of queries that are sent in one write
ACCOUNTED_ROW_BYTES = 16 * 1024  # of rows that are accounted together


def account_rows(last_row, size):
    """Account for rows of an answer to the session on whose behalf the task works."""
    holder = CURRENT_HOLDER.get()
    if holder is not None:
        holder.add(ROWS, max(size, memory_size(last_row)))


class InstanceStream(LineStream):
    """Line stream that accounts for an answer while it is received."""

    def __init__(self):
        super().__init__()
        self._receiver = None
        self._received = 0

    @contextmanager
    def accounting(self):
        """Account for unread bytes to the session on whose behalf the task works."""
        self._receiver = CURRENT_HOLDER.get()
        try:
            yield
        finally:
            self._account_received(0)
            self._receiver = None

    def _account(self):
        size = len(self._buffer)
        self._account_received(size if size > ACCOUNTED_ROW_BYTES else 0)

    def _account_received(self, size):
        if self._receiver is not None and size != self._received:
            self._receiver.add(RECEIVED, size - self._received)
            self._received = size
            self._accounted = size > 0


class LineConnection:
    """Open connection to an instance; implements `ports.InstanceConnection`."""

    lender = ""

    def __init__(self, stream, position, customer=""):
        self._stream = stream
        self._customer = customer
        self._awaiting_reply = False
        self._broken = False
        self.loaded = LoadedState()
        self.state = TransactionState.IDLE
        self.position = position
        self.opened_at = 0.0
        self.idle_since = 0.0

    @property
    def customer(self):
        """Name of the customer that it belongs to; empty if it belongs to none."""
        return self._customer

    @property
    def reusable(self):
        """Whether the next request may use the connection."""
        stream = self._stream
        return not (
            self._broken
            or self._awaiting_reply
            or stream.closed
            or stream.has_unread_data
        )

    def close(self):
        """Reset the connection immediately; unsent data is dropped."""
        self._broken = True
        self._stream.abort()

    async def exchange(self, steps):
        """Send statements in one write and return their replies in order."""
        queries = (
            (request_id, render_command(command)) for request_id, command in steps
        )
        return await self._exchange(queries)

    async def status(self):
        """Return the InstanceStatus that the instance reports.

        Raises
        ------
        UpstreamBusy
            The instance refused the query.
        """
        [reply] = await self._exchange([(None, STATUS)])
        if reply.refusal is not None or not reply.rows:
            raise UpstreamBusy(f"status refused: {reply.code}")
        return parse_status(reply.rows[0])

    async def _exchange(self, queries):
        if not self.reusable:
            raise UpstreamUnreachable("connection is closed")
        self._awaiting_reply = True
        try:
            request_ids, payload_bytes = self._send(queries)
            with self._stream.accounting():
                replies = [await self._read_reply() for _ in request_ids]
        except PacketTooLarge as error:
            self.close()
            raise UpstreamLost(str(error)) from error
        except BaseException:
            self.close()
            raise
        for request_id, reply in zip(request_ids, replies, strict=True):
            if request_id is not None and not reply.proven:
                self.close()
                raise UpstreamLost("an answer without a signature")
        self._awaiting_reply = False
        replies[-1].sent_bytes = payload_bytes
        return replies

    def _send(self, queries):
        """Send queries; return their request ids and the last one's payload size.

        All are encoded before anything is sent, one by one, so that large texts are
        not held several times.
        """
        request_ids, pieces, size, text = [], [], 0, ""
        for request_id, text in queries:
            line = render_query(request_id, text).encode("utf-8", "surrogateescape")
            request_ids.append(request_id)
            pieces.append(line)
            size += len(line)
        if size <= JOINED_BYTES:
            self._stream.write(b"".join(pieces))
        else:
            pieces.reverse()
            while pieces:
                self._stream.write(pieces.pop())
        return request_ids, payload_size(text)

    async def _read_reply(self):
        reply = Reply(rows=[])
        size = 0
        while True:
            word, _, rest = (await self._stream.read_line()).partition(" ")
            match word:
                case "ROW":
                    reply.rows.append(rest)
                    size += len(rest)
                    if size > ACCOUNTED_ROW_BYTES:
                        account_rows(reply.rows[-1], size)
                        size = 0
                case "COMPLETE":
                    reply.signature = "" if rest == NO_SIGNATURE else rest
                case "ERROR":
                    reply.code, separator, detail = rest.partition(" ")
                    reply.detail = detail if separator else None
                    reply.refusal = REFUSALS_BY_CODE.get(reply.code, Refusal.OTHER)
                case "READY":
                    reply.state, reply.position = parse_ready(rest)
                    self.state = reply.state
                    if reply.position is not None:
                        self.position = reply.position
                    return reply
                case _:
                    raise UpstreamLost(f"unknown message {word[:20]!r}")


def make_connector(record, vm):
    """Return a coroutine function that opens connections to one instance.

    It takes the seconds that opening may take and, optionally, the name of the customer
    that the connection belongs to.

    Parameters
    ----------
    record : InstanceRecord
    vm : str
        Name of this VM, sent to the instance in START unless a customer is named.
    """

    async def connect(timeout, customer=""):
        try:
            async with asyncio.timeout(timeout):
                return await _open_connection(record, customer or vm, customer)
        except TimeoutError as error:
            raise UpstreamUnreachable("handshake timed out") from error
        except OSError as error:
            raise UpstreamUnreachable(str(error)) from error

    return connect


async def _open_connection(record, user, customer):
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(
        InstanceStream, record.address, record.port
    )
    try:
        start = f"START {record.group} {user or MISSING_FIELD} {record.name}\r\n"
        stream.write(start.encode())
        word, _, rest = (await stream.read_line()).partition(" ")
    except (UpstreamLost, PacketTooLarge) as error:
        stream.abort()
        raise UpstreamUnreachable(str(error)) from error
    except BaseException:
        stream.abort()
        raise
    if word == "READY":
        return LineConnection(stream, parse_ready(rest)[1], customer)
    stream.abort()
    code = rest.partition(" ")[0]
    match REFUSALS_BY_CODE.get(code):
        case Refusal.TOO_MANY_CONNECTIONS | Refusal.BUSY:
            raise UpstreamBusy(rest)
        case Refusal.WRONG_INSTANCE:
            raise UpstreamMismatch(rest)
    raise UpstreamUnreachable(f"{word} {rest}"[:80])
