"""
Receiving rows
==============

Receives the answers of an instance within the memory budget.  `asyncmy` has no limit
for what it receives ahead, and rows can be accounted for only after they were parsed.
Memory for a large row is therefore reserved before its bytes are received.
"""

import asyncio
from contextlib import contextmanager

from asyncmy.connection import _MySQLProtocol

from cardamomdrift.limits.memory import CURRENT_HOLDER, ROWS

ROW_BATCH_SIZE = 500  # rows
# Bytes of the objects that hold a row and each of its values, besides the values.
ROW_OVERHEAD, VALUE_OVERHEAD = 64, 50
ACCOUNTED_ROW_BYTES = 16 * 1024  # of a batch, below which it is not accounted
ROW_COPIES = 2  # of a row: the instance's packet and the values
RECEIVED_COPIES = 3  # of a large row: the receive buffer, the packet and the values
RECEIVE_BUFFER_BYTES = 256 * 1024  # of each connection; not part of the budget
BATCH_BYTES = 256 * 1024  # of rows that are read before some are passed on
ROOM_INTERVAL = 0.02  # seconds between two looks whether a row may be received


class BoundedProtocol(_MySQLProtocol):
    """Protocol of a connection that receives no more than is wanted.

    That is RECEIVE_BUFFER_BYTES, or the packet that is being read if it is larger.

    Attributes
    ----------
    waits_for_memory : bool
        Whether a read waits, or was cancelled while it waited, for memory.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._wanted = RECEIVE_BUFFER_BYTES
        self._reserved = []
        self.waits_for_memory = False

    @property
    def _unread(self):
        return self.length - self.pos

    def get_buffer(self, sizehint):
        """Return the buffer to receive into, which ends with the bytes wanted."""
        if self.pos or len(self.buffer) != self._wanted:
            self._move_unread(self._wanted)
        return memoryview(self.buffer)[self.length :]

    def _move_unread(self, size):
        """Move the unread bytes to the start of a buffer of some size."""
        unread = self._unread
        buffer = self.buffer if len(self.buffer) == size else bytearray(size)
        buffer[:unread] = self.buffer[self.pos : self.length]
        self.buffer, self.length, self.pos = buffer, unread, 0

    def buffer_updated(self, nbytes):
        """Take over what was received; read no more if that is all that is wanted."""
        super().buffer_updated(nbytes)
        if self._unread >= self._wanted:
            self.transport.pause_reading()

    async def wait_for_data(self, need):
        """Wait for bytes; reserve memory first if they are many."""
        if self._unread >= need:
            return
        if need > RECEIVE_BUFFER_BYTES:
            await self._reserve(need * RECEIVED_COPIES)
        self._wanted = max(need, RECEIVE_BUFFER_BYTES)
        if self.transport is not None:
            self.transport.resume_reading()
        await super().wait_for_data(need)

    async def _reserve(self, size):
        """Reserve memory for the caller on whose behalf the task works."""
        holder = CURRENT_HOLDER.get()
        if holder is None:
            return
        self.waits_for_memory = True
        while not holder.reserve(size):
            await asyncio.sleep(ROOM_INTERVAL)
        self.waits_for_memory = False
        self._reserved.append((holder, size))

    def release(self):
        """Release what was reserved, and the buffer of a row that has been read."""
        for holder, size in self._reserved:
            holder.release(size)
        self._reserved.clear()
        if self._unread < RECEIVE_BUFFER_BYTES:
            self._wanted = RECEIVE_BUFFER_BYTES
            if len(self.buffer) > self._wanted:
                self._move_unread(self._wanted)

    def resume(self):
        """Receive again; a connection that does not cannot notice its end."""
        if self.transport is not None and self._unread < self._wanted:
            self.transport.resume_reading()

    def clear(self):
        """Drop everything that was received."""
        self.buffer, self.length, self.pos = bytearray(), 0, 0
        self.release()


def bound_receiving(connection):
    """Give a connection of `asyncmy` that has just logged in a BoundedProtocol."""
    former, transport = connection._proto, connection._transport
    protocol = BoundedProtocol(connection._loop)
    protocol.connection_made(transport)
    protocol.length = former.length - former.pos
    protocol.buffer[: protocol.length] = former.buffer[former.pos : former.length]
    protocol.eof, protocol.exc = former.eof, former.exc
    transport.set_protocol(protocol)
    connection._proto = protocol


@contextmanager
def dropping(rows):
    """Empty a list of rows if an error occurs.

    The error keeps the frame that refers to the list alive, and a lost transaction
    keeps the error.
    """
    try:
        yield
    except BaseException:
        rows.clear()
        raise


async def fetch_batch(result):
    """Return the next rows of a result, and whether they are the last.

    The rows have at most ROW_BATCH_SIZE rows and, unless a single row is larger, about
    BATCH_BYTES.

    Parameters
    ----------
    result : asyncmy.connection.MySQLResult
        Its cursor would read as many rows as it is asked for, whatever their size.
    """
    rows, size, complete = [], 0, False
    with dropping(rows):
        while size < BATCH_BYTES and len(rows) < ROW_BATCH_SIZE:
            read = [await result._read_rowdata_packet_unbuffered()]
            if read[0] is None:
                complete = True
                break
            # Rows that have been received with the first one.
            read += result._take_pending_rows(ROW_BATCH_SIZE - len(rows) - 1)
            size += sum(sum(map(len, filter(None, row))) for row in read)
            rows += read
            read.clear()
    if rows:
        size += len(rows) * (ROW_OVERHEAD + VALUE_OVERHEAD * len(rows[0]))
    _account_rows(size)
    return rows, complete


async def skip_rows(result, protocol):
    """Read a result to its end without keeping its rows."""
    while await result._read_rowdata_packet_unbuffered() is not None:
        result._take_pending_rows()
        protocol.release()


def _account_rows(size):
    """Account for rows to the caller on whose behalf the task works, if large."""
    holder = CURRENT_HOLDER.get()
    if holder is not None and size > ACCOUNTED_ROW_BYTES:
        holder.add(ROWS, size * ROW_COPIES)
