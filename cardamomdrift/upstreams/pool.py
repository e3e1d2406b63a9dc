"""
Connection pool
===============

The connections of one VM to one instance, with a hard bound.  A connection goes back
only if nothing is outstanding on it; otherwise it is closed.
"""

import asyncio
from collections import deque

from cardamomdrift.errors import (
    DeadlinePassed,
    UpstreamBusy,
    UpstreamError,
    UpstreamUnreachable,
)

CONNECT_TIMEOUT = 1.0  # seconds
IDLE_LIMIT = 60.0  # seconds
BUSY_PAUSE = 0.2  # seconds


class InstancePool:
    """Connections to one instance; an async context manager.

    Parameters
    ----------
    connect : coroutine function
        Opens a connection within a number of seconds.
    clock : callable
        Returns seconds of the loop's clock.
    """

    def __init__(self, connect, clock):
        self._connect = connect
        self._clock = clock
        self._limit = 0
        self._idle = deque()
        self._in_use = set()
        self._opening = 0
        self._waiters = deque()
        self._busy_until = 0.0
        self._closed = False
        self._refusals = 0

    @property
    def limit(self):
        """Largest number of connections."""
        return self._limit

    @property
    def size(self):
        """Number of connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self._opening

    @property
    def refusals(self):
        """Number of connections that the instance refused as too many."""
        return self._refusals

    def set_limit(self, limit):
        """Change the bound; idle connections above it are closed at once."""
        self._limit = limit
        while self._idle and self.size > limit:
            self._idle.popleft().close()
        self._wake()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self._closed = True
        self.condemn()

    def drop_idle(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.popleft().close()

    def condemn(self):
        """Close all connections, also those in use: the instance was replaced."""
        self.drop_idle()
        for connection in list(self._in_use):
            connection.close()

    def trim(self, now, idle_limit=IDLE_LIMIT, keep=0):
        """Close connections that have been idle for long.

        Parameters
        ----------
        now : float
        idle_limit : float
            Seconds.
        keep : int
            Idle connections that stay open.
        """
        while len(self._idle) > keep:
            if now - self._idle[0].idle_since <= idle_limit:
                return
            self._idle.popleft().close()

    def connection(self, database, deadline_at, prefer=None):
        """Return a context manager that holds a connection to a database.

        Parameters
        ----------
        database : str or None
        deadline_at : float
        prefer : callable, optional
            Tells whether an idle connection suits better than others.

        Raises
        ------
        UpstreamUnreachable
            No connection could be had; nothing was sent.
        DeadlinePassed
        """
        return _HeldConnection(self, database, deadline_at, prefer)

    async def acquire(self, deadline_at, prefer=None):
        """Return a connection that must be released; see `connection`."""
        while True:
            if self._closed:
                raise UpstreamUnreachable("pool is closed")
            connection = self.take_idle(prefer)
            if connection is not None:
                return connection
            if self.size < self._limit and self._clock() >= self._busy_until:
                return await self._open(deadline_at)
            await self._wait(deadline_at)

    def take_idle(self, prefer=None):
        """Return an idle connection that must be released, or None."""
        if prefer is not None:
            self._move_last(prefer)
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                self._in_use.add(connection)
                return connection
            connection.close()
        return None

    def _move_last(self, prefer):
        for index in range(len(self._idle) - 1, -1, -1):
            if prefer(self._idle[index]):
                chosen = self._idle[index]
                del self._idle[index]
                self._idle.append(chosen)
                return

    async def _open(self, deadline_at):
        timeout = min(CONNECT_TIMEOUT, deadline_at - self._clock())
        if timeout <= 0:
            raise DeadlinePassed("no time left to connect")
        self._opening += 1
        try:
            connection = await self._connect(timeout)
        except UpstreamBusy:
            # A refusal is backpressure: others may hold what our share counted on.
            self._refusals += 1
            self._busy_until = self._clock() + BUSY_PAUSE
            raise
        finally:
            self._opening -= 1
        connection.opened_at = self._clock()
        self._in_use.add(connection)
        return connection

    async def _wait(self, deadline_at):
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        pause = min(deadline_at, max(self._busy_until, self._clock() + BUSY_PAUSE))
        try:
            async with asyncio.timeout_at(pause):
                await waiter
        except TimeoutError:
            if self._clock() >= deadline_at:
                raise DeadlinePassed("no connection became free") from None
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def release(self, connection):
        """Give a connection back."""
        self._in_use.discard(connection)
        fits = self.size < self._limit and not self._closed
        if connection.reusable and fits:
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            connection.close()
        self._wake()

    def _wake(self):
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class _HeldConnection:
    """A connection that one request holds, with its database selected."""

    __slots__ = ("_connection", "_database", "_deadline_at", "_pool", "_prefer")

    def __init__(self, pool, database, deadline_at, prefer):
        self._pool = pool
        self._database = database
        self._deadline_at = deadline_at
        self._prefer = prefer

    async def __aenter__(self):
        self._connection = await self._pool.acquire(self._deadline_at, self._prefer)
        if self._database and self._connection.database != self._database:
            await self._select()
        return self._connection

    async def __aexit__(self, *exc_info):
        self._pool.release(self._connection)

    async def _select(self):
        try:
            async with asyncio.timeout_at(self._deadline_at):
                await self._connection.use(self._database)
        except BaseException as error:
            self._connection.close()
            self._pool.release(self._connection)
            if isinstance(error, UpstreamError | TimeoutError):
                reason = "database could not be selected"
                raise UpstreamUnreachable(reason) from error
            raise
