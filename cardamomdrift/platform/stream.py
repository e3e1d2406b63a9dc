"""
Line stream
===========

Reads and writes lines over one TCP connection, with bounded buffers.
"""

import asyncio
import socket
import struct
from contextlib import suppress

from cardamomdrift.errors import PacketTooLarge, UpstreamLost
from cardamomdrift.limits.memory import READ_SIZE, UNREAD, UNSENT
from cardamomdrift.platform.line_protocol import LINE_END
from cardamomdrift.sessions.commands import MESSAGE_SIZE_LIMIT

MAX_UNREAD_BYTES = 64 * 1024  # with a whole line, above which the socket is not read
TCP_USER_TIMEOUT_MS = 3000  # of unacknowledged data; instances use the same value
MAX_WRITE_BUFFER_BYTES = 64 * 1024  # unsent; `drain` waits above this
ACCOUNTED_BYTES = 4096  # unread or unsent bytes below which a stream is not accounted

# All streams receive into one buffer, one after the other.
_RECEIVE_BUFFER = memoryview(bytearray(READ_SIZE))


class LineStream(asyncio.BufferedProtocol):
    """TCP connection that is read and written as lines.

    Lines are split one at a time, when they are read.

    Parameters
    ----------
    on_open : callable, optional
        Called with the stream once it is connected.

    Attributes
    ----------
    holder : MemoryHolder or None
        Accounts for unread and unsent bytes; None if they are not accounted.
    lines_read : int
    """

    def __init__(self, on_open=None):
        self._on_open = on_open
        self._transport = None
        self._buffer = bytearray()
        self._line_end = -1  # of the first line, if it is whole
        self._waiter = None
        self._accounted = False
        self.holder = None
        self.lines_read = 0
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
        return bool(self._buffer or self._error)

    @property
    def has_line(self):
        """Whether a whole line is unread."""
        return self._line_end >= 0

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

    def get_buffer(self, _size_hint):
        """Return the buffer to receive into; it is smaller while memory is short."""
        if self.holder is None:
            return _RECEIVE_BUFFER
        return _RECEIVE_BUFFER[: self.holder.budget.read_size]

    def buffer_updated(self, size):
        """Take over what was received."""
        self.data_received(_RECEIVE_BUFFER[:size])

    def data_received(self, data):
        """Keep received data; pause reading if too much is unread."""
        if self._error is not None:
            return
        buffer = self._buffer
        # The end of the line may have come in part.
        search_from = max(0, len(buffer) - 1)
        buffer += data
        if self._line_end < 0:
            self._find_line(search_from)
        if self._line_end >= 0:
            self._wake_reader()
            if len(buffer) > MAX_UNREAD_BYTES:
                self._pause_reading()
        self._account()
        holder = self.holder
        if holder is None or not self._accounted or self._reading_paused:
            return
        if not holder.may_grow():
            self._pause_reading()
            holder.budget.wait(self._continue_reading)

    def _find_line(self, search_from):
        """Find the end of the first line; refuse a line that is too long."""
        end = self._buffer.find(LINE_END, search_from)
        # The end of the line may have come in part.
        size = len(self._buffer) - len(LINE_END) + 1 if end < 0 else end
        if size > MESSAGE_SIZE_LIMIT:
            self._refuse_line()
        else:
            self._line_end = end

    def _pause_reading(self):
        if not self._reading_paused and not self.closed:
            self._reading_paused = True
            self._transport.pause_reading()

    def _continue_reading(self):
        if not self._reading_paused:
            return
        self._reading_paused = False
        if not self.closed:
            self._transport.resume_reading()

    def _account(self):
        """Account for the unread bytes if they are many, or were."""
        if self.holder is None:
            return
        size = len(self._buffer)
        if size > ACCOUNTED_BYTES or self._accounted:
            self._accounted = size > ACCOUNTED_BYTES
            self.holder.set(UNREAD, size if self._accounted else 0)

    def account_unsent(self):
        """Account for the unsent bytes."""
        if self.holder is not None:
            unsent = self._transport.get_write_buffer_size()
            self.holder.set(UNSENT, unsent if unsent > ACCOUNTED_BYTES else 0)

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
        self._line_end = -1
        self._account()
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
        while self._line_end < 0:
            if isinstance(self._error, PacketTooLarge):
                raise self._error
            if self._closed:
                raise UpstreamLost(str(self._error))
            await self._wait_for_change()
        buffer, end = self._buffer, self._line_end
        line = buffer[:end]
        del buffer[: end + len(LINE_END)]
        self._line_end = -1
        self.lines_read += 1
        if buffer:
            self._find_line(0)
        if self._reading_paused and (
            self._line_end < 0 or len(buffer) <= MAX_UNREAD_BYTES // 2
        ):
            self._continue_reading()
        if self._accounted:
            self._account()
        return line.decode("utf-8", "surrogateescape")

    def write(self, data):
        """Send bytes, unless the connection has ended."""
        if not self.closed:
            self._transport.write(data)

    async def drain(self):
        """Wait while the write buffer is above its limit."""
        if self._writable.is_set():
            return
        self.account_unsent()
        try:
            await self._writable.wait()
        finally:
            self.account_unsent()

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
