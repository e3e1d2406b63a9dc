"""
Line stream
===========

Reads and writes lines over one TCP connection, with bounded buffers.
"""

import asyncio
import socket
import struct
from collections import deque
from contextlib import suppress

from cardamomdrift.errors import PacketTooLarge, UpstreamLost
from cardamomdrift.platform.line_protocol import LINE_END
from cardamomdrift.sessions.commands import MESSAGE_SIZE_LIMIT

MAX_BUFFERED_LINES = 64  # unread lines above which the socket is not read
TCP_USER_TIMEOUT_MS = 3000  # of unacknowledged data; instances use the same value
MAX_WRITE_BUFFER_BYTES = 256 * 1024  # unsent; `drain` waits above this


class LineStream(asyncio.Protocol):
    """TCP connection that is read and written as lines.

    Parameters
    ----------
    on_open : callable, optional
        Called with the stream once it is connected.
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
        """Whether received data, even part of a line, is still unread."""
        return bool(self._lines or self._buffer or self._error)

    @property
    def peer_address(self):
        """Host and port of the other end."""
        return self._transport.get_extra_info("peername")

    # Callbacks of the event loop

    def connection_made(self, transport):
        """Keep the transport and set the options of its socket."""
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
        """Split received data into lines; pause reading if too many are unread."""
        if self._error is not None:
            return
        buffer = self._buffer
        # The end of the line may have come in part.
        search_from = max(0, len(buffer) - 1)
        buffer += data
        if buffer.find(LINE_END, search_from) >= 0:
            *lines, rest = buffer.split(LINE_END)
            self._buffer = rest
            for line in lines:
                if len(line) > MESSAGE_SIZE_LIMIT:
                    self._refuse_line()
                    return
                self._lines.append(line)
        # The end of the line may have come in part.
        if len(self._buffer) >= MESSAGE_SIZE_LIMIT + len(LINE_END):
            self._refuse_line()
            return
        if len(self._lines) > MAX_BUFFERED_LINES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self):
        """Close the connection when the other end has closed its side."""
        return False

    def connection_lost(self, error):
        """Record why the connection ended, and wake the reader and writers."""
        if self._error is None:
            self._error = error or ConnectionResetError("closed by the other end")
        self._closed = True
        self._writable.set()
        self._wake_reader()

    def pause_writing(self):
        """Make `drain` wait until the write buffer has emptied."""
        self._writable.clear()

    def resume_writing(self):
        """Let `drain` return."""
        self._writable.set()

    # Reading and writing

    def _refuse_line(self):
        """Let the reader fail after the lines before; ignore what follows."""
        reason = f"a line is longer than {MESSAGE_SIZE_LIMIT} bytes"
        self._error = PacketTooLarge(reason)
        self._buffer = bytearray()
        self._wake_reader()

    def _wake_reader(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait_for_change(self):
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    async def read_line(self):
        """Return the next line as text.

        Raises
        ------
        UpstreamLost
            The connection has ended.
        PacketTooLarge
            The other end sent a line longer than the limit.
        """
        while not self._lines:
            if isinstance(self._error, PacketTooLarge):
                raise self._error
            if self._closed:
                raise UpstreamLost(str(self._error))
            await self._wait_for_change()
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
        """Wait while the write buffer is above its limit."""
        await self._writable.wait()

    async def finish(self, timeout):
        """End the sending side; discard what comes until the other end closes.

        A close with unread data would reset the connection, and the other end might
        not see what was written last.  To be used only after PacketTooLarge.

        Parameters
        ----------
        timeout : float
            Seconds to wait at most.
        """
        if self.closed:
            return
        self._transport.write_eof()
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                while not self._closed:
                    await self._wait_for_change()

    def close(self):
        """Close once everything written has been sent."""
        self._transport.close()

    def abort(self):
        """Reset the connection, so that unsent data is never delivered."""
        tcp_socket = self._transport.get_extra_info("socket")
        if tcp_socket is not None and tcp_socket.fileno() >= 0:
            reset_on_close = struct.pack("ii", 1, 0)  # on, with timeout 0
            tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)
        self._transport.abort()
