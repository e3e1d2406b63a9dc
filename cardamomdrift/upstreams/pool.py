"""
Connection pool
===============

The connections of one VM to one instance, with a hard limit.  A connection goes back to
the pool only if it awaits no reply; otherwise it is closed.  Each connection belongs to
one customer for its whole lifetime; without customers all belong to the customer "".
"""

from collections import Counter

from cardamomdrift.customers.identity import NO_CUSTOMER
from cardamomdrift.errors import (
    DeadlinePassed,
    UpstreamBusy,
    UpstreamError,
    UpstreamUnreachable,
)
from cardamomdrift.upstreams.backoff import REFUSAL_BACKOFF, make_backoff
from cardamomdrift.upstreams.held import HeldConnection
from cardamomdrift.upstreams.idle import IdleConnections
from cardamomdrift.upstreams.opener import Opener
from cardamomdrift.upstreams.waiters import Grant, WaiterQueue

IDLE_TIMEOUT = 60.0  # seconds
# Seconds to wait for a connection of this VM before borrowing: about the time of two
# statements.
BORROW_DELAY = 0.03


class InstancePool:
    """Connections to one instance; an async context manager.

    Parameters
    ----------
    connect : coroutine function
        Opens a connection within a number of seconds.  A second argument names the
        customer that it is to belong to, if there is one.
    clock : callable
        Returns the loop's time in seconds.
    borrow : coroutine function, optional
        Takes whether a transaction is to hold the connection, a deadline, and the
        Identity if it has a customer.  Returns a connection of another VM, or None.

    Attributes
    ----------
    opener : Opener
        Opens all new connections to the instance.
    """

    def __init__(self, connect, clock, borrow=None):
        backoff = make_backoff(
            clock, borrow is not None, lambda: bool(self._idle or self._in_use)
        )
        self.opener = Opener(connect, clock, backoff)
        self._clock = clock
        self._borrow = borrow
        self._borrowed = set()
        self.only_loans = False  # set while requests go over other VMs' connections
        self._limit = 0
        self._idle = IdleConnections()
        self._in_use = {}  # customer by connection
        self._waiters = WaiterQueue()
        self._closed = False
        self._replaced = 0

    @property
    def limit(self):
        """Largest number of own connections."""
        return self._limit

    @property
    def size(self):
        """Number of own connections that are open or being opened."""
        return len(self._idle) + len(self._in_use) + self.opener.pending

    @property
    def refusals(self):
        """Number of connections that the instance refused because it had too many."""
        return self.opener.refusals

    @property
    def handshakes(self):
        """Number of connections that were opened."""
        return self.opener.opened

    @property
    def replaced(self):
        """Number of connections closed to open one of another customer."""
        return self._replaced

    @property
    def customers(self):
        """Counter of the open connections by customer."""
        return Counter(self._in_use.values()) + self._idle.count_by_customer()

    @property
    def idle_customers(self):
        """Counter of the idle connections by customer."""
        return self._idle.count_by_customer()

    def has_idle(self, customer):
        """Whether an idle connection of a customer exists."""
        return self._idle.count(customer) > 0

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
        while self.size > limit and self._idle.close_oldest():
            pass
        self._wake_waiter()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        self._closed = True
        self.close_all()

    def drop_idle(self):
        """Close all idle connections."""
        self._idle.close_all()

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
        self._idle.trim(now - idle_limit, keep)

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
        return HeldConnection(self, database, deadline_at, prefer)

    async def acquire(
        self, deadline_at, prefer=None, pinned=False, identity=NO_CUSTOMER
    ):
        """Return a connection, which must be released; see `connection`.

        Parameters
        ----------
        deadline_at : float
        prefer : callable, optional
        pinned : bool
            Whether a transaction is to hold it, also while its caller sends no
            statements.
        identity : Identity
            Customer that the connection must belong to.
        """
        customer = identity.customer
        turn = self._waiters.next_turn()
        while True:
            if self._closed:
                raise UpstreamUnreachable("pool is closed")
            if self.only_loans:
                return await self._borrow_only(deadline_at, pinned, identity)
            connection = self.take_idle(prefer, customer)
            if connection is not None:
                return connection
            if self._make_room():
                return await self._open_or_borrow(deadline_at, pinned, identity)
            delay = BORROW_DELAY if self.size else 0.0
            if self._borrow is None:
                delay = REFUSAL_BACKOFF
            granted = await self._wait(deadline_at, delay, customer, turn)
            if granted is None and self._borrow is not None:
                connection = await self.borrow(pinned, deadline_at, identity)
                if connection is not None:
                    return connection
                if customer and self.size:
                    # One may have become idle meanwhile.
                    continue
                granted = await self._wait(deadline_at, BORROW_DELAY, customer, turn)
            if granted is Grant.PLACE:
                return await self._open_or_borrow(deadline_at, pinned, identity, True)
            if isinstance(granted, Grant) or granted is None:
                continue
            if granted.reusable:
                return granted
            self.release(granted)

    @property
    def has_room(self):
        """Whether a connection may be opened, perhaps in place of an idle one."""
        in_use = self.size - len(self._idle)
        return not self.opener.backs_off and in_use < self._limit

    def _make_room(self):
        """Return whether a connection may be opened.

        At the limit, the connection that has been idle longest is closed, or one of no
        customer.  The callers have taken none of their own customer.
        """
        if not self.has_room:
            return False
        while self.size >= self._limit and self._idle.close_replaceable():
            self._replaced += 1
        return True

    async def _open_or_borrow(self, deadline_at, pinned, identity, reserved=False):
        try:
            return await self._open(deadline_at, identity.customer, reserved)
        except UpstreamBusy:
            connection = await self.borrow(pinned, deadline_at, identity)
            if connection is None:
                raise
            return connection

    async def _borrow_only(self, deadline_at, pinned, identity):
        connection = await self.borrow(pinned, deadline_at, identity)
        if connection is None:
            raise UpstreamUnreachable("no daemon lends a connection")
        return connection

    async def borrow(self, pinned, deadline_at, identity=NO_CUSTOMER):
        """Borrow a connection, which must be released; return it, or None.

        Parameters
        ----------
        pinned : bool
        deadline_at : float
        identity : Identity
        """
        if self._borrow is None:
            return None
        further = (identity,) if identity.customer else ()
        connection = await self._borrow(pinned, deadline_at, *further)
        if connection is not None:
            connection.opened_at = self._clock()
            self._borrowed.add(connection)
        return connection

    async def lend(self, pinned, deadline_at, customer=""):
        """Return a connection to lend, which must be released, or None.

        A transaction gets one only if that leaves another for single statements.  If
        there are customers, only pings run on a connection that is lent to none.

        Parameters
        ----------
        pinned : bool
        deadline_at : float
        customer : str
            Customer that the connection must belong to.
        """
        if self.opener.backs_off:
            available = self._idle.count(customer) if customer else len(self._idle)
        else:
            available = len(self._idle) + self._limit - self.size
        if self._waiters or available < (2 if pinned else 1):
            return None
        if customer:
            connection = self.take_idle(customer=customer)
        else:
            connection = self.take_idle_for_ping()
        if connection is not None or not self._make_room():
            return connection
        try:
            return await self._open(deadline_at, customer)
        except (UpstreamError, DeadlinePassed):
            # The borrower asks another daemon; `refusals` counts a refusal.
            return None

    def take_idle(self, prefer=None, customer=""):
        """Return an idle connection of a customer, which must be released, or None."""
        connection = self._idle.take(customer, prefer)
        if connection is not None:
            self._in_use[connection] = customer
        return connection

    def take_idle_for_ping(self):
        """Return an idle connection of any customer, which must be released, or None.

        It is one of no customer, if there is one, or of the customer with the most, so
        that the requests of the others find theirs.
        """
        while (customer := self._idle.richest_customer()) is not None:
            connection = self.take_idle(customer=customer)
            if connection is not None:
                return connection
        return None

    async def open_ahead(self, deadline_at):
        """Open an idle connection if the limit allows; return the instance's position.

        Raises
        ------
        UpstreamError or DeadlinePassed
        """
        if self.opener.backs_off or self.size >= self._limit:
            return None
        connection = await self._open(deadline_at)
        self.release(connection)
        return connection.position

    async def _open(self, deadline_at, customer="", reserved=False):
        connection = await self.opener.open(deadline_at, customer, reserved)
        self._in_use[connection] = customer
        return connection

    async def _wait(self, deadline_at, timeout, customer, turn):
        """Wait for a connection to be released.

        Parameters
        ----------
        deadline_at : float
        timeout : float
            Seconds to wait at most.
        customer : str
        turn : int

        Returns
        -------
        connection or Grant or None
            None if there was none in time.
        """
        give_up_at = min(deadline_at, self._clock() + timeout)
        # Without customers, a request that waits again queues behind the others.
        turn = turn if customer else self._waiters.next_turn()
        granted = await self._waiters.wait(give_up_at, customer, turn, self._take_back)
        if granted is None and self._clock() >= deadline_at:
            raise DeadlinePassed("no connection became free")
        return granted

    def _take_back(self, granted):
        """Pass on what a cancelled waiter had received."""
        if not isinstance(granted, Grant):
            self.release(granted)
            return
        if granted is Grant.PLACE:
            self.opener.pending -= 1
        self._wake_waiter()

    def release(self, connection):
        """Return a connection to the pool, or a borrowed one to its lender."""
        if connection in self._borrowed:
            self._borrowed.discard(connection)
            connection.give_back()
            return
        customer = self._in_use.pop(connection, "")
        within_limit = self.size < self._limit and not self._closed
        if not (connection.reusable and within_limit):
            connection.close()
        elif self._hand_over(connection, customer):
            return
        else:
            connection.idle_since = self._clock()
            self._idle.add(connection, customer)
        self._wake_waiter()

    def _hand_over(self, connection, customer):
        """Give a released connection, or its place, to the first waiter.

        Otherwise a customer with many requests would take its connections again before
        a waiter of another customer runs.  Return False if nobody can use it, and
        without customers, where any waiter may take any connection.
        """
        if self.only_loans:
            return False
        waiter = self._waiters.first(customer if self.opener.backs_off else None)
        if waiter is None or waiter.customer == customer == "":
            return False
        if waiter.customer == customer:
            self._in_use[connection] = customer
            self._waiters.grant(waiter, connection)
            return True
        connection.close()
        self._replaced += 1
        self.opener.pending += 1
        self._waiters.grant(waiter, Grant.PLACE)
        return True

    def _wake_waiter(self):
        waiter = self._waiters.first()
        if waiter is None:
            return
        may_open = not (self._closed or self.only_loans or self.opener.backs_off)
        if waiter.customer and may_open and self.size < self._limit:
            self.opener.pending += 1
            self._waiters.grant(waiter, Grant.PLACE)
        else:
            self._waiters.grant(waiter, Grant.WAKE)
