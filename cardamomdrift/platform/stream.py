"""
Line stream
===========

Lines over one TCP connection, with a bound on what is held unread.
"""

import asyncio
import socket
import struct
from collections import deque

from cardamomdrift.errors import PacketTooLarge, UpstreamLost
from cardamomdrift.platform.line_protocol import LINE_END, MAX_LINE_BYTES

MAX_BUFFERED_LINES = 64  # lines read ahead before the peer is held back
TCP_USER_TIMEOUT_MS = (
    3000  # milliseconds without acknowledgement; instances drop a peer as fast
)
MAX_WRITE_BUFFER_BYTES = 256 * 1024  # bytes that wait to be sent


class LineStream(asyncio.Protocol):
    """One connection as lines.

    Parameters
    ----------
    on_open : callable, optional
        Takes the stream once it is connected.
    """

    def __init__(self, on_open=None):
        self._on_open = on_open
        self._transport = None
        self._buffer = bytearray()
        self._lines = deque()
        self._waiter = None
        self._reading_paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = False
        self._error = None

    @property
    def closed(self):
        """Whether the connection has ended or is being closed."""
        return self._closed or self._transport.is_closing()

    @property
    def has_unread_data(self):
        """Whether lines or parts of one are waiting to be read."""
        return bool(self._lines or self._buffer)

    @property
    def peer_address(self):
        """Address of the other end, for logs."""
        return self._transport.get_extra_info("peername")

    # Callbacks of the loop

    def connection_made(self, transport):
        """Take the connection over."""
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        tcp_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data):
        """Split what came into lines."""
        buffer = self._buffer
        buffer += data
        if LINE_END in buffer:
            *lines, rest = buffer.split(LINE_END)
            self._lines.extend(lines)
            self._buffer = rest
        if len(self._buffer) > MAX_LINE_BYTES:
            self._fail(PacketTooLarge(f"a line is longer than {MAX_LINE_BYTES} bytes"))
            return
        if len(self._lines) > MAX_BUFFERED_LINES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self):
        """Close when the other end does."""
        return False

    def connection_lost(self, error):
        """Note the end of the connection."""
        if self._error is None:
            self._error = error or ConnectionResetError("closed by the other end")
        self._closed = True
        self._writable.set()
        self._wake_reader()

    def pause_writing(self):
        """Make writers wait."""
        self._writable.clear()

    def resume_writing(self):
        """Let writers go on."""
        self._writable.set()

    # For users

    def _fail(self, error):
        self._error = error
        self._transport.abort()

    def _wake_reader(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def read_line(self):
        """Return the next line as text.

        Raises
        ------
        UpstreamLost
            The connection has ended.
        PacketTooLarge
        """
        while not self._lines:
            if self._closed:
                if isinstance(self._error, PacketTooLarge):
                    raise self._error
                raise UpstreamLost(str(self._error))
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        line = self._lines.popleft()
        if self._reading_paused and not self._lines:
            self._reading_paused = False
            if not self.closed:
                self._transport.resume_reading()
        return line.decode("utf-8", "surrogateescape")

    def write(self, data):
        """Send bytes, unless the connection has ended."""
        if not self.closed:
            self._transport.write(data)

    async def drain(self):
        """Wait while too much is waiting to be sent."""
        await self._writable.wait()

    def close(self):
        """Close once everything written has been sent."""
        self._transport.close()

    def abort(self):
        """Reset the connection, so that nothing unsent is delivered any more."""
        tcp_socket = self._transport.get_extra_info("socket")
        if tcp_socket is not None and tcp_socket.fileno() >= 0:
            reset = struct.pack("ii", 1, 0)
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self._transport.abort()
