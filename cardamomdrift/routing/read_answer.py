"""
Answer of a read
================

The answer of a read, whose rows may still be streamed from an instance while the caller
reads them.
"""

import asyncio

from cardamomdrift.errors import AnswerCut, UpstreamLost
from cardamomdrift.mysql.wire import Rows
from cardamomdrift.routing.answers import make_answer

# Seconds that a caller may take to read an answer while other requests wait for its
# instance.  On the slowest link, of 5 Mbit/s, 3 MB take that long.
WRITE_TIMEOUT = 5.0


class ReadAnswer:
    """Answer of a read.

    An answer that is still streamed holds its placement and its connection until the
    instance has sent all rows, or until `close` or `cut`.

    Parameters
    ----------
    result : UpstreamResult
    replica : bool
        Whether a replica served the read.
    instance : str
        Name of the instance.
    clock : callable

    Attributes
    ----------
    answer : Rows or Ok
    replica : bool
    instance : str
    """

    def __init__(self, result, replica, instance, clock):
        self.answer = make_answer(result)
        self.replica = replica
        self.instance = instance
        self._rows = result.rows
        self._clock = clock
        self._connection = None
        self._stack = None
        self._cut = False
        self._written_since = None
        self._write_time = 0.0

    @property
    def streamed(self):
        """Whether the instance has not sent all rows yet."""
        return self._stack is not None

    def stream(self, connection, stack, deadline_at):
        """Make it an answer whose other rows are read from a connection.

        Parameters
        ----------
        connection : UpstreamConnection
        stack : AsyncExitStack
            Holds the placement and the connection.
        deadline_at : float
        """
        self._connection, self._stack = connection, stack
        self.answer = Rows(self.answer.columns, self._batches(deadline_at))

    async def _batches(self, deadline_at):
        """Yield batches of rows; each is emptied when the next one is asked for."""
        while True:
            if not self._connection.streaming:
                await self._release()
            self._written_since = self._clock()
            yield self._rows
            self._write_time = self.write_time(self._clock())
            self._written_since = None
            self._rows.clear()
            if self._cut:
                raise AnswerCut("the answer was read too slowly")
            if not self.streamed:
                return
            try:
                async with asyncio.timeout_at(deadline_at):
                    self._rows = await self._connection.next_batch()
            except (UpstreamLost, TimeoutError) as error:
                reason = "the instance failed in the middle of the result"
                raise AnswerCut(reason) from error

    def write_time(self, now):
        """Return for how many seconds rows have been written to the caller."""
        current = 0.0 if self._written_since is None else now - self._written_since
        return self._write_time + current

    def may_be_cut(self, now):
        """Return whether the caller has taken too long and is the one to act."""
        waits = self.streamed and self._written_since is not None
        return waits and self.write_time(now) > WRITE_TIMEOUT

    async def cut(self):
        """Release the instance; the caller gets an error when it reads on.

        Does nothing if the caller has read on since it was decided: the connection may
        serve another request then.
        """
        if not self.streamed or self._written_since is None:
            return
        self._cut = True
        self._connection.close()
        await self._release()

    async def close(self):
        """Release what the answer holds; a result not read to its end is cut off."""
        if self._connection is not None:
            self._rows.clear()
        await self._release()

    async def _release(self):
        stack, self._stack = self._stack, None
        if stack is not None:
            await stack.aclose()
