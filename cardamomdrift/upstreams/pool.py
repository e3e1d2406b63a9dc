"""
Connection pool
===============

The connections of one VM to one instance, with a hard limit.  A connection goes back to
the pool only if it awaits no reply; otherwise it is closed.
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
IDLE_TIMEOUT = 60.0  # seconds
REFUSAL_BACKOFF = 0.2  # seconds without new connections after the instance refused one
# Seconds to wait for a connection of this VM before borrowing: about the time of two
# statements.
BORROW_DELAY = 0.03


class InstancePool:
    """Connections to one instance; an async context manager.

    Parameters
    ----------
    connect : coroutine function
        Opens a connection within a number of seconds.
    clock : callable
        Returns the loop's time in seconds.
    borrow : coroutine function, optional
        Takes whether a transaction is to hold the connection, and a deadline.  Returns
        a connection of another VM, or None.
    """

    def __init__(self, connect, clock, borrow=None):
        self._connect = connect
        self._clock = clock
        self._borrow = borrow
        self._borrowed = set()
        self.only_loans = False  # set while requests go over other VMs' connections
        self._limit = 0
        self._idle = deque()
        self._in_use = set()
        self._opening = 0
        self._waiters = deque()
        self._backoff_until = 0.0
        self._closed = False
        self._refusals = 0

    @property
    def limit(self):
        """Largest number of own connections."""
        return self._limit

    @property
    def size(self):
        """Number of own connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self._opening

    @property
    def refusals(self):
        """Number of connections that the instance refused because it had too many."""
        return self._refusals

    @property
    def may_borrow(self):
        """Whether the pool may borrow connections of other VMs."""
        return self._borrow is not None

    @property
    def borrowed(self):
        """Number of borrowed connections in use."""
        return len(self._borrowed)

    def set_limit(self, limit):
        """Change the limit; idle connections above it are closed immediately."""
        self._limit = limit
        while self._idle and self.size > limit:
            self._idle.popleft().close()
        self._wake_waiter()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self._closed = True
        self.close_all()

    def drop_idle(self):
        """Close all idle connections."""
        while self._idle:
            self._idle.popleft().close()

    def close_all(self):
        """Close all connections, also those in use, as for a replaced primary."""
        self.drop_idle()
        for connection in [*self._in_use, *self._borrowed]:
            connection.close()

    def trim(self, now, idle_limit=IDLE_TIMEOUT, keep=0):
        """Close connections that have been idle for more than ``idle_limit``.

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
            Takes an idle connection; returns whether to prefer it to others.

        Raises
        ------
        UpstreamUnreachable
            No connection was available; nothing was sent.
        DeadlinePassed
        """
        return _HeldConnection(self, database, deadline_at, prefer)

    async def acquire(self, deadline_at, prefer=None, pinned=False):
        """Return a connection, which must be released; see `connection`.

        Parameters
        ----------
        deadline_at : float
        prefer : callable, optional
        pinned : bool
            Whether a transaction is to hold it, also while its caller sends no
            statements.
        """
        while True:
            if self._closed:
                raise UpstreamUnreachable("pool is closed")
            if self.only_loans:
                return await self._borrow_only(deadline_at, pinned)
            connection = self.take_idle(prefer)
            if connection is not None:
                return connection
            if self._may_open():
                return await self._open_or_borrow(deadline_at, pinned)
            borrow_delay = BORROW_DELAY if self.size else 0.0
            if self._borrow is None:
                await self._wait(deadline_at, REFUSAL_BACKOFF)
            elif not await self._wait(deadline_at, borrow_delay):
                connection = await self.borrow(pinned, deadline_at)
                if connection is not None:
                    return connection
                await self._wait(deadline_at, BORROW_DELAY)

    def _may_open(self):
        return self.size < self._limit and self._clock() >= self._backoff_until

    async def _open_or_borrow(self, deadline_at, pinned):
        try:
            return await self._open(deadline_at)
        except UpstreamBusy:
            connection = await self.borrow(pinned, deadline_at)
            if connection is None:
                raise
            return connection

    async def _borrow_only(self, deadline_at, pinned):
        connection = await self.borrow(pinned, deadline_at)
        if connection is None:
            raise UpstreamUnreachable("no daemon lends a connection")
        return connection

    async def borrow(self, pinned, deadline_at):
        """Borrow a connection, which must be released; return it, or None.

        Parameters
        ----------
        pinned : bool
        deadline_at : float
        """
        if self._borrow is None:
            return None
        connection = await self._borrow(pinned, deadline_at)
        if connection is not None:
            connection.opened_at = self._clock()
            self._borrowed.add(connection)
        return connection

    async def lend(self, pinned, deadline_at):
        """Return a connection to lend, which must be released, or None.

        A transaction gets one only if that leaves another for single statements.

        Parameters
        ----------
        pinned : bool
        deadline_at : float
        """
        free_capacity = (
            self._limit - self.size if self._clock() >= self._backoff_until else 0
        )
        available = len(self._idle) + free_capacity
        if self._waiters or available < (2 if pinned else 1):
            return None
        connection = self.take_idle()
        if connection is not None or not self._may_open():
            return connection
        try:
            return await self._open(deadline_at)
        except (UpstreamError, DeadlinePassed):
            # The borrower asks another daemon; `refusals` counts a refusal.
            return None

    def take_idle(self, prefer=None):
        """Return an idle connection, which must be released, or None."""
        if prefer is not None:
            self._move_preferred_last(prefer)
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                self._in_use.add(connection)
                return connection
            connection.close()
        return None

    def _move_preferred_last(self, prefer):
        for index in range(len(self._idle) - 1, -1, -1):
            if prefer(self._idle[index]):
                chosen = self._idle[index]
                del self._idle[index]
                self._idle.append(chosen)
                return

    async def open_ahead(self, deadline_at):
        """Open an idle connection if the limit allows; return the instance's position.

        Raises
        ------
        UpstreamError or DeadlinePassed
        """
        if not self._may_open():
            return None
        connection = await self._open(deadline_at)
        self.release(connection)
        return connection.position

    async def _open(self, deadline_at):
        timeout = min(CONNECT_TIMEOUT, deadline_at - self._clock())
        if timeout <= 0:
            raise DeadlinePassed("no time left to connect")
        self._opening += 1
        try:
            connection = await self._connect(timeout)
        except UpstreamBusy:
            # A refusal is backpressure: other VMs may still hold connections of this
            # VM's share.
            self._refusals += 1
            self._backoff_until = self._clock() + REFUSAL_BACKOFF
            raise
        finally:
            self._opening -= 1
        connection.opened_at = self._clock()
        self._in_use.add(connection)
        return connection

    async def _wait(self, deadline_at, timeout):
        """Wait for a connection to be released; return whether one was.

        Parameters
        ----------
        deadline_at : float
        timeout : float
            Seconds to wait at most.
        """
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(min(deadline_at, self._clock() + timeout)):
                await waiter
            return True
        except TimeoutError:
            if self._clock() >= deadline_at:
                raise DeadlinePassed("no connection became free") from None
            return False
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def release(self, connection):
        """Return a connection to the pool, or a borrowed one to its lender."""
        if connection in self._borrowed:
            self._borrowed.discard(connection)
            connection.give_back()
            return
        self._in_use.discard(connection)
        within_limit = self.size < self._limit and not self._closed
        if connection.reusable and within_limit:
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            connection.close()
        self._wake_waiter()

    def _wake_waiter(self):
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
            await self._select_database()
        return self._connection

    async def __aexit__(self, *exc_info):
        self._pool.release(self._connection)

    async def _select_database(self):
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
