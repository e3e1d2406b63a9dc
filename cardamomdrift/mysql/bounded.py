"""
Bounded caller connections
==========================

Reader and writer of one MySQL caller that account for what they hold of the memory
budget, and what `SessionLimits` has to know of the connection.
"""

import asyncio

from cardamomdrift.errors import PacketTooLarge
from cardamomdrift.limits.memory import UNREAD, UNSENT

READ_BUFFER_BYTES = 16 * 1024
ACCOUNTED_BYTES = 4096  # unread or unsent bytes below which they are not accounted
WRITE_PIECE_BYTES = 64 * 1024  # of an answer that the transport gets at once
TURN_PACKETS = 16  # packets of one connection, then the others have their turn
# Bytes of a packet before the caller has logged in; the attributes that client
# libraries send have at most 64 KiB.
HANDSHAKE_PACKET_BYTES = 72 * 1024


class BoundedReader(asyncio.StreamReader):
    """Stream reader that refuses packets above a limit.

    The packet stream of `mysql_mimic` is compiled and cannot be subclassed, so the
    limit applies to its reads: four bytes of header, then exactly the packet.

    Parameters
    ----------
    max_packet : int
    loop : asyncio.AbstractEventLoop

    Attributes
    ----------
    max_packet : int
        Limit on the size of a packet in bytes.
    holder : MemoryHolder or None
        Accounts for unread bytes; None if they are not accounted.
    begun_at : float or None
        When the packet that is not complete began.
    """

    def __init__(self, max_packet, loop):
        super().__init__(limit=READ_BUFFER_BYTES, loop=loop)
        self.max_packet = max_packet
        self.holder = None
        self.begun_at = None
        self._loop_time = loop.time
        self._packets = 0
        self._assembled = 0
        self._accounted = False

    @property
    def has_unread_data(self):
        """Whether received data, even part of a packet, is still unread."""
        return self.begun_at is not None or bool(self._buffer)

    def feed_data(self, data):
        """Keep received data."""
        super().feed_data(data)
        if self.holder is not None:
            # asyncio would receive 256 KiB at once.
            self._transport.max_size = self.holder.budget.read_size
            self._account()

    def _account(self):
        """Account for the unread bytes if they are many, or were."""
        if self.holder is None:
            return  # the connection is being closed
        size = self._assembled + len(self._buffer)
        if size > ACCOUNTED_BYTES or self._accounted:
            self._accounted = size > ACCOUNTED_BYTES
            self.holder.set(UNREAD, size if self._accounted else 0)

    async def read(self, n=-1):
        """Return the header of a packet, or nothing if the connection has ended."""
        self._packets += 1
        if self._packets % TURN_PACKETS == 0:
            await asyncio.sleep(0)
        try:
            return await self.readexactly(n)
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def readexactly(self, n):
        """Return exactly ``n`` bytes.

        Raises
        ------
        PacketTooLarge
            If ``n`` is above the limit.
        """
        if n > self.max_packet:
            raise PacketTooLarge(f"packet of {n} bytes")
        if self.holder is None or n <= ACCOUNTED_BYTES:
            return await super().readexactly(n)
        self.begun_at = self._loop_time()
        try:
            return await self._assemble(n)
        finally:
            self.begun_at = None
            self._assembled = 0
            self._account()

    async def _assemble(self, n):
        """Read a large packet piece by piece, as long as memory is not short."""
        packet = bytearray()
        while len(packet) < n:
            while self.holder is not None and not self.holder.may_grow():
                await self._wait_for_room()
            piece = await super().read(min(READ_BUFFER_BYTES, n - len(packet)))
            if not piece:
                raise asyncio.IncompleteReadError(bytes(packet), n)
            packet += piece
            self._assembled = len(packet)
            self._account()
        return bytes(packet)

    def drop(self):
        """Drop unread data, and what refers to the answer that failed to be written.

        The transport's error, which writers raise, stays with the reader, and its
        traceback with the rows until the next full garbage collection.
        """
        self._buffer.clear()
        if self._exception is not None:
            self._exception.__traceback__ = None

    async def _wait_for_room(self):
        waiter = asyncio.get_running_loop().create_future()
        self.holder.budget.wait(lambda: waiter.done() or waiter.set_result(None))
        await waiter


class BoundedWriter(asyncio.StreamWriter):
    """Stream writer that accounts for unsent bytes, and keeps one copy of large data.

    Data above a piece is handed to the transport piece by piece by `drain`, which
    every writer of large data calls.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Writer of the connection.
    reader : asyncio.StreamReader
    holder : MemoryHolder
    """

    def __init__(self, writer, reader, holder):
        transport = writer.transport
        loop = asyncio.get_running_loop()
        super().__init__(transport, transport.get_protocol(), reader, loop)
        self._holder = holder
        self._pending = []

    def write(self, data):
        """Send data, or keep it until `drain` is called."""
        if self._pending or len(data) > WRITE_PIECE_BYTES:
            self._pending.append(data)
        else:
            super().write(data)

    async def drain(self):
        """Send what is pending, and wait until the write buffer is below its limit."""
        pending, self._pending = self._pending, []
        unsent = sum(map(len, pending)) + self.transport.get_write_buffer_size()
        if unsent <= ACCOUNTED_BYTES:
            await super().drain()
            return
        self._holder.set(UNSENT, unsent)
        try:
            for data in pending:
                for start in range(0, len(data), WRITE_PIECE_BYTES):
                    super().write(data[start : start + WRITE_PIECE_BYTES])
                    await super().drain()
            await super().drain()
        finally:
            self._holder.set(UNSENT, 0)


class CallerConnection:
    """Connection of a caller as `SessionLimits` sees it.

    Attributes
    ----------
    stream : BoundedReader
    holder : MemoryHolder or None
    handler : WireConnection or None
        Connection whose caller has logged in.
    """

    def __init__(self, reader, writer, task):
        self.stream = reader
        self.holder = None
        self.handler = None
        self._writer = writer
        self._task = task

    @property
    def idle(self):
        """Whether no statement, transaction or unread data would be lost by closing."""
        handler = self.handler
        if self.stream.has_unread_data:
            return False
        return handler is None or not (
            handler.running or handler.session.in_transaction
        )

    closable = idle

    @property
    def owner(self):
        """Source address of the caller."""
        return self._writer.get_extra_info("peername")[0]

    def message_begun_at(self, now):
        """Return when the incomplete packet began; None if there is none."""
        return self.stream.begun_at

    def end(self):
        """Close immediately; a statement that runs is left without an answer."""
        self._writer.transport.abort()
        self._task.cancel()
