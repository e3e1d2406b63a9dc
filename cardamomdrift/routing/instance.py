"""
Instance runtime
================

State that one VM keeps for one instance: its pool and prober, how long it has been
silent, and how many requests run there.
"""

import math
from contextlib import AsyncExitStack

from cardamomdrift.failover.suspicion import SilenceTimer

SILENCE_LIMIT = 0.3  # seconds after which an instance gets no new requests
LOAN_LIMIT = 4  # transactions on other VMs' connections; as many as an instance's slots


class InstanceRuntime:
    """One instance as this VM uses it; an async context manager.

    Parameters
    ----------
    spec : object
        Name, address and failure domain of the instance.
    pool : InstancePool
    prober : InstanceProber or Pinger
    clock : callable
    control_connections : int
        Connections of the pool that are reserved for the prober.
    concurrency : ConcurrencyLimit, optional
        Limit that adapts to the statements' times; without it only the pool's limit
        applies.
    pace : PaceController, optional
        Limits the rate of statements after the instance has returned.

    Attributes
    ----------
    answered_at : float or None
        When the instance last answered over a connection of this VM; always None in a
        `GroupRuntime`, whose view records it.
    in_flight : int
        Requests of this VM that run there.
    transactions : int
        Transactions of callers among them.
    long_in_flight : int
        Long statements among them.
    leaving : bool
        Whether it is about to leave its group; it gets no new requests.
    """

    def __init__(
        self,
        spec,
        pool,
        prober,
        clock,
        control_connections=0,
        concurrency=None,
        pace=None,
    ):
        self._spec = spec
        self._clock = clock
        self._pool = pool
        self._prober = prober
        self._control_connections = control_connections
        self._silence = SilenceTimer()
        self._concurrency = concurrency
        self._pace = pace
        self._stack = AsyncExitStack()
        self._failed_at = None
        self._detour_until = -math.inf
        self.answered_at = None
        self.in_flight = 0
        self.transactions = 0
        self.long_in_flight = 0
        self.leaving = False

    @property
    def spec(self):
        """Name, address and failure domain of the instance."""
        return self._spec

    def update(self, spec):
        """Apply the instance's entry in a newer list of instances."""
        self._spec = spec

    @property
    def pool(self):
        """Connections to the instance."""
        return self._pool

    @property
    def prober(self):
        """Prober or pinger that asks the instance whether it is alive."""
        return self._prober

    @property
    def silence(self):
        """SilenceTimer: how long the instance has answered nothing."""
        return self._silence

    @property
    def concurrency(self):
        """Limit on the requests that run there at once, or None."""
        return self._concurrency

    @property
    def pace(self):
        """PaceController of the instance, or None."""
        return self._pace

    @property
    def limit(self):
        """Requests that may run there at once now."""
        data_connections = self._pool.limit - self._control_connections
        if self._pool.may_borrow:
            # While transactions hold own connections, single statements borrow others.
            held = min(self.transactions, LOAN_LIMIT)
            data_connections = max(data_connections, 1) + held
        if self._concurrency is None:
            return data_connections
        return min(self._concurrency.current, data_connections)

    @property
    def transaction_limit(self):
        """Transactions of callers that may be open there at once."""
        own_limit = max(1, self._pool.limit - self._control_connections - 1)
        return own_limit + (LOAN_LIMIT if self._pool.may_borrow else 0)

    @property
    def usable(self):
        """Whether new requests may go there."""
        now = self._clock()
        if now < self._detour_until:
            return not self.leaving
        silent = self._silence.unanswered(now) > SILENCE_LIMIT
        return not self.leaving and not silent and self._failed_at is None

    @property
    def borrows(self):
        """Whether a request there needs a connection of another VM."""
        return self._pool.only_loans or (
            self._pool.may_borrow and self._pool.limit == 0
        )

    @property
    def uses_detour(self):
        """Whether requests go there over connections of other VMs."""
        return self._pool.only_loans

    def begin_detour(self, until):
        """Send requests over other VMs' connections until a time of the loop clock."""
        self._detour_until = until
        self._pool.only_loans = True

    def end_detour(self):
        """Use own connections again."""
        self._detour_until = -math.inf
        self._pool.only_loans = False

    def record_reply(self):
        """Record that the instance answered over a connection of this VM."""
        self._end_silence()
        self.answered_at = self._clock()

    @property
    def failed(self):
        """Whether a request failed there and no probe that began later succeeded."""
        return self._failed_at is not None

    def record_failure(self):
        """Send no new requests there until a probe that begins from now on succeeds."""
        self._failed_at = self._clock()
        self._prober.request_probe()

    def record_probe_answer(self, begun_at):
        """Record the answer to a probe; a failure before the probe is cleared."""
        self._end_silence()
        if self._failed_at is not None and begun_at >= self._failed_at:
            self._failed_at = None
            self._begin_pace()

    def _end_silence(self):
        if self._silence.unanswered(self._clock()) > SILENCE_LIMIT:
            self._begin_pace()
        self._silence.record_answer()

    def _begin_pace(self):
        if self._pace is not None:
            self._pace.begin(self._clock())

    def set_share(self, connections):
        """Set this VM's share of the instance's connections."""
        self._pool.set_limit(connections)
        if self._concurrency is not None:
            self._concurrency.set_maximum(connections - self._control_connections)

    async def __aenter__(self):
        await self._stack.enter_async_context(self._pool)
        await self._stack.enter_async_context(self._prober)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()
