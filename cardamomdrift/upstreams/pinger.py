"""
Pinger
======

Asks one instance which position its log has reached, by an empty transaction, which
occupies none of its execution slots.  There is one ping at a time, over an idle
connection, a new one or a borrowed one; `limits.pings` decides.  Because of the new
ones, an instance is not taken for dead when only its pooled connections hang.
"""

import asyncio
from collections import Counter

from cardamomdrift.errors import (
    DeadlinePassed,
    UpstreamBusy,
    UpstreamError,
    UpstreamMismatch,
)
from cardamomdrift.limits.pings import PingWay
from cardamomdrift.ports import Refusal
from cardamomdrift.sessions.commands import Begin, Rollback, StepDown
from cardamomdrift.upstreams.probe_loop import ProbeLoop, is_connection_refused

# Seconds; a handshake takes 12 ms and crosses failure domains twice.
PING_TIMEOUT = 0.25
RETRY_INTERVAL = 0.05  # seconds after a failure
# Seconds between two pings over loans: as between those over a detour.
LOAN_PING_INTERVAL = 0.2


class Pinger(ProbeLoop):
    """Pings one instance on request; an async context manager.

    Parameters
    ----------
    name : str
    pool : InstancePool
    listener : ReachabilityMonitor
        Receives the answers and failures, and decides over which connection to ping.
    clock : callable

    Attributes
    ----------
    counts : Counter
        Pings by PingWay; those that were left out count as NONE.
    """

    def __init__(self, name, pool, listener, clock):
        super().__init__(RETRY_INTERVAL)
        self._name = name
        self._pool = pool
        self._listener = listener
        self._clock = clock
        self._loan_at = -LOAN_PING_INTERVAL
        self.counts = Counter()

    async def _probe(self):
        begun_at = self._clock()
        connection = self._pool.take_idle_for_ping()
        way = PingWay.IDLE
        if connection is None:
            way = self._listener.ping_way(self._name)
        if way is PingWay.LOAN and begun_at < self._loan_at + LOAN_PING_INTERVAL:
            return False
        self.counts[way] += 1
        if way is PingWay.NONE:
            return False
        if way is PingWay.LOAN:
            self._loan_at = begun_at
            return await self._probe_over_loan(begun_at)
        self._listener.ping_begun(self._name, begun_at)
        try:
            position = await self._ask(connection, way, read_only=True)
        except UpstreamBusy:
            # A refusal shows that the instance is alive.
            self._listener.ping_answered(self._name, None, begun_at, self._clock())
            return True
        except DeadlinePassed:
            # This process was stopped before the connection was opened, which tells
            # nothing of the instance.
            return False
        except (UpstreamError, TimeoutError) as error:
            refused = isinstance(error, UpstreamMismatch) or is_connection_refused(
                error
            )
            self._listener.ping_failed(self._name, self._clock(), refused, error)
            return False
        self._listener.ping_answered(self._name, position, begun_at, self._clock())
        return True

    async def _probe_over_loan(self, begun_at):
        """Ping over a connection of another VM; a failure may be that VM's."""
        deadline_at = begun_at + PING_TIMEOUT
        try:
            connection = await self._pool.borrow(False, deadline_at)
            if connection is None:
                return False
            try:
                async with asyncio.timeout_at(deadline_at):
                    position = await ask_position(connection, read_only=True)
            finally:
                self._pool.release(connection)
        except (UpstreamError, TimeoutError):
            return False
        now = self._clock()
        self._listener.ping_answered(self._name, position, begun_at, now, direct=False)
        return True

    async def ping(self, read_only):
        """Return the position that the instance's log has reached, or None.

        This is for replacements, of which a single daemon carries out each: the
        connection may be one beyond the share.

        Parameters
        ----------
        read_only : bool
            False also checks that it accepts writes; the result is None if not.

        Raises
        ------
        UpstreamError or TimeoutError
        """
        connection = self._pool.take_idle_for_ping()
        way = PingWay.PLACE if connection is None else PingWay.IDLE
        return await self._ask(connection, way, read_only)

    async def _ask(self, connection, way, read_only):
        """Return the instance's position, over an idle connection or a new one."""
        async with asyncio.timeout(PING_TIMEOUT):
            if way is PingWay.SHARE:
                deadline_at = self._clock() + PING_TIMEOUT
                position = await self._pool.open_ahead(deadline_at)
                connection = self._pool.take_idle_for_ping()
                if connection is None:
                    # A request that waited has it.
                    return position
            elif way is PingWay.PLACE:
                connection = await self._pool.opener.open_beyond(PING_TIMEOUT)
            try:
                return await ask_position(connection, read_only)
            finally:
                if way is PingWay.PLACE:
                    connection.close()
                else:
                    self._pool.release(connection)

    async def status(self):
        """Return the instance's status; the query occupies an execution slot.

        Raises
        ------
        UpstreamError or TimeoutError
        """
        return await self._ask_on_new_connection(lambda connection: connection.status())

    async def demote(self, term):
        """Make the instance a replica if it is primary of a term below ``term``.

        Raises
        ------
        UpstreamError or TimeoutError
        """
        steps = [(None, StepDown(term))]
        await self._ask_on_new_connection(lambda connection: connection.exchange(steps))

    async def _ask_on_new_connection(self, ask):
        """Return the result of ``ask`` on a new connection beyond the pool's share."""
        async with asyncio.timeout(PING_TIMEOUT):
            connection = await self._pool.opener.open_beyond(PING_TIMEOUT)
            try:
                return await ask(connection)
            finally:
                connection.close()


async def ask_position(connection, read_only):
    """Return the position of an instance's log, by an empty transaction.

    Parameters
    ----------
    connection : StatementConnection
    read_only : bool
        False also checks that it accepts writes; the result is None if not.

    Raises
    ------
    UpstreamError
    """
    begun, ended = await connection.exchange(
        [(None, Begin(read_only)), (None, Rollback())]
    )
    if begun.refusal is Refusal.READ_ONLY:
        return None
    if begun.refusal is not None:
        raise UpstreamBusy(f"{begun.code} {begun.detail}")
    return ended.position or begun.position
