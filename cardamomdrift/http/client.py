"""
HTTP client
===========

Calls to one server, each with a time limit.  The limit applies to the time without any
progress, since a long response takes seconds over a slow link.  A connection whose
response did not arrive in time is reset, so that a delayed request is not delivered
later.  The idle connections are reset with it: what ended one of them, such as a
restarted middlebox, has probably ended all that were open at the time.
"""

import asyncio
import socket
import struct
import time
from dataclasses import dataclass, field
from functools import partial

import h11

READ_CHUNK_BYTES = 64 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024  # of a response; a page of the store has 1 MB
MAX_IDLE_CONNECTIONS = 4  # kept open for later calls
# Seconds without further data after which a response that has begun is given up, and
# seconds after which a call is given up in any case, beyond its time limit.
PROGRESS_TIMEOUT = 0.7
MAX_TRANSFER_TIME = 10.0
CONNECT_TIMEOUT = 0.7  # seconds, also of a call that may wait for its response longer
# Probes of a connection without traffic, which a call that waits for long depends on.
# The connection ends after KEEPALIVE_PROBES of them without an answer.
KEEPALIVE_IDLE, KEEPALIVE_INTERVAL = 1, 1  # seconds
KEEPALIVE_PROBES = 2
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0


class CallFailed(Exception):
    """No whole response arrived; the server may have carried out the request."""


@dataclass(frozen=True, slots=True)
class Response:
    """Response of a server, with its whole body; header names are in lower case."""

    status: int
    body: bytes
    headers: dict = field(default_factory=dict)


class _Connection:
    """Connection to the server, for one call at a time.

    Attributes
    ----------
    answered_at : float or None
        When its last whole response had arrived, by the monotonic clock.
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self.answered_at = None

    @property
    def reusable(self):
        """Whether the next call may use the connection."""
        if self._writer.is_closing() or self._reader.at_eof():
            return False
        return self._protocol.our_state is h11.IDLE

    async def call(self, request, body, on_data):
        """Send a request and return its Response.

        Parameters
        ----------
        request : h11.Request
        body : bytes
        on_data : callable
            Called after each part of the response.
        """
        outgoing = self._protocol.send(request)
        if body:
            outgoing += self._protocol.send(h11.Data(data=body))
        outgoing += self._protocol.send(h11.EndOfMessage())
        self._writer.write(outgoing)
        response = await self._receive(on_data)
        self.answered_at = time.monotonic()
        if self._protocol.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self._protocol.start_next_cycle()
        else:
            self.reset()
        return response

    async def _receive(self, on_data):
        status, headers, chunks, size = 0, {}, [], 0
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(await self._reader.read(READ_CHUNK_BYTES))
                on_data()
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    raise CallFailed("the response is too long")
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return Response(status, b"".join(chunks), headers)
            else:
                raise CallFailed("the connection ended before the whole response")

    def reset(self):
        """Reset the connection, so that unsent data is never delivered."""
        tcp_socket = self._writer.get_extra_info("socket")
        if tcp_socket is not None and tcp_socket.fileno() >= 0:
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._writer.transport.abort()


def _probe_when_idle(tcp_socket):
    """Have the kernel end a connection whose other end has gone silent."""
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        tcp_socket.setsockopt(socket.IPPROTO_TCP, option, value)


def _describe_attempt(connection, begun_at):
    """Return how long a failed call took, and on what connection.

    Parameters
    ----------
    connection : _Connection or None
    begun_at : float
        When the call began, by the monotonic clock.
    """
    took = f"after {time.monotonic() - begun_at:.2f} s"
    if connection is None:
        return f"{took} while connecting"
    if connection.answered_at is None:
        return f"{took} on a new connection"
    unused = max(begun_at - connection.answered_at, 0.0)
    return f"{took} on a connection unused for {unused:.2f} s"


def _extend(limit, first_until):
    """Extend the time limit of a call whose response makes progress.

    Parameters
    ----------
    limit : asyncio.Timeout
    first_until : float
        Its first end, in seconds of the loop's clock.
    """
    progress_until = asyncio.get_running_loop().time() + PROGRESS_TIMEOUT
    limit.reschedule(min(progress_until, first_until + MAX_TRANSFER_TIME))


class HttpClient:
    """Client of one server; an async context manager.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._address = address
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle = []

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self._reset_idle_connections()

    async def call(self, method, target, timeout, body=b"", headers=()):
        """Make a call and return its Response.

        Parameters
        ----------
        method : str
        target : str
            Path and query.
        timeout : float
            Seconds until the response begins, connecting included.
        body : bytes
        headers : sequence of (str, str)

        Raises
        ------
        CallFailed
        """
        header_fields = [("Host", self._address), ("Content-Type", "application/json")]
        header_fields.extend(headers)
        if body or method != "GET":
            header_fields.append(("Content-Length", str(len(body))))
        request = h11.Request(method=method, target=target, headers=header_fields)
        connection = None
        begun_at = time.monotonic()
        try:
            async with asyncio.timeout(timeout) as limit:
                connection = self._pop_idle_connection() or await self._connect()
                response = await connection.call(
                    request, body, partial(_extend, limit, limit.when())
                )
        except (OSError, h11.RemoteProtocolError) as error:
            self._reset(connection)
            self._reset_idle_connections()
            reason = f"{type(error).__name__} {error}".rstrip()
            how = _describe_attempt(connection, begun_at)
            raise CallFailed(f"{reason} {how}") from error
        except BaseException:
            self._reset(connection)
            raise
        if connection.reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        return response

    @staticmethod
    def _reset(connection):
        if connection is not None:
            connection.reset()

    def _reset_idle_connections(self):
        while self._idle:
            self._idle.pop().reset()

    def _pop_idle_connection(self):
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.reset()
        return None

    async def _connect(self):
        async with asyncio.timeout(CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(self._host, self._port)
        _probe_when_idle(writer.get_extra_info("socket"))
        return _Connection(reader, writer)
