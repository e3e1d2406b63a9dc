"""
Dispatch
========

Assigns the waiting requests of one group to its instances as these get room.
`limits.admission` decides which request is next, `routing.choice` which instance serves
a read.  The need of a request (ForRead, ForWrite or ForTransaction) tells which
instances may serve it.
"""

import asyncio
import math
from dataclasses import dataclass

from cardamomdrift.errors import DeadlinePassed, NoPrimary, Overloaded
from cardamomdrift.limits.admission import COST_SAFETY_FACTOR, Refused
from cardamomdrift.limits.load import GroupLoad
from cardamomdrift.limits.outage import OutageEstimator, spread_retry_after
from cardamomdrift.limits.outcomes import OutcomeTracker
from cardamomdrift.position import Position
from cardamomdrift.routing.choice import (
    NoneAvailable,
    Probe,
    ReadCandidate,
    Serve,
    choose_instance,
)
from cardamomdrift.routing.cost import choose_long_replica, instances_for_long
from cardamomdrift.util import cancel_all

EXPIRY_INTERVAL = 0.05  # seconds between two removals of expired requests
# Seconds before a request expires in which the pace is ignored if it has no other
# instance; the dispatcher looks at it at least once within that time.
PACE_RESERVE = 3 * EXPIRY_INTERVAL
# Seconds that callers are told to wait for a primary at least.
MIN_PRIMARY_RETRY_AFTER = 0.2


@dataclass(frozen=True, slots=True)
class ForRead:
    """The request is a read.

    Attributes
    ----------
    floor : Position
        Position that the serving instance must have reached.
    excluded : frozenset of str
        Instances that must not serve it.
    """

    floor: Position
    excluded: frozenset = frozenset()


@dataclass(frozen=True, slots=True)
class ForWrite:
    """The request needs the primary."""


@dataclass(frozen=True, slots=True)
class ForTransaction:
    """The request opens a transaction on the primary."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Instance that a request is assigned to.

    Attributes
    ----------
    name : str
    term : int
        Highest term seen when the request was placed.  In a `Cluster` it is the
        generation, the number of the last replacement of the primary.
    runtime : InstanceRuntime
        Counts the request; the instance may leave the group before it is released.
    """

    name: str
    term: int
    runtime: object


@dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of a request that arrives now; see `Dispatcher.decide`.

    Attributes
    ----------
    placement : Placement or None
        Where it runs immediately.
    error : CallerError or None
        Why it is refused.  It waits if there is neither this nor a placement.
    judgement : Judgement or None
        What the queue has decided; None if the queue was not asked.
    """

    placement: Placement | None = None
    error: object = None
    judgement: object = None


def need_of_read(floor, excluded=frozenset()):
    """Return the need of a read; without a floor only the primary may serve it."""
    return ForWrite() if floor is None else ForRead(floor, excluded)


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A queued request: its need, and the future that receives its placement."""

    need: object
    future: asyncio.Future

    def evict(self, reason):
        """Refuse the request because another one needs its queue slot."""
        if not self.future.done():
            self.future.set_exception(Overloaded(reason))


class Dispatcher:
    """Assigns the requests of one group to instances; an async context manager.

    Parameters
    ----------
    group : GroupSpec or Group
    instances : dict of str to InstanceRuntime
    view : GroupView or PositionView
    queue : AdmissionQueue
    costs : CostEstimator
    vm : VmIdentity
        This VM and its failure domain.
    members : callable
        Returns the names of all VMs.
    clock : callable
    on_release : callable, optional
        Called when a placement was released, so that other dispatchers of the same
        instances can use the room.
    outage : OutageEstimator, optional
        Outages of the primary.
    outcomes : OutcomeTracker, optional
        Outcomes of statements, by which reads avoid an instance.
    load : GroupLoad, optional
        Work of this daemon at the instances.
    source : random.Random, optional
        Draws the two instances of which the better one serves a read.  Without it the
        best of all does.
    """

    def __init__(
        self,
        group,
        instances,
        view,
        queue,
        costs,
        vm,
        members,
        clock,
        on_release=None,
        outage=None,
        outcomes=None,
        load=None,
        source=None,
    ):
        self._group = group
        self._instances = instances
        self._view = view
        self._queue = queue
        self._costs = costs
        self._vm = vm
        self._members = members
        self._clock = clock
        self._on_release = on_release
        self._outage = outage or OutageEstimator()
        self._outcomes = outcomes or OutcomeTracker()
        self._load = load or GroupLoad()
        self._source = source
        self._expiry_task = None
        self._has_waiting = asyncio.Event()
        self._long_cache = (None, (None, frozenset()))
        # Least delay of the paces that had no allowance in the present search.
        self._pace_delay = math.inf
        self._pace_timer = None

    @property
    def queue(self):
        """The waiting requests."""
        return self._queue

    async def __aenter__(self):
        self._expiry_task = asyncio.create_task(self._expire())
        return self

    async def __aexit__(self, *exc_info):
        if self._pace_timer is not None:
            self._pace_timer.cancel()
        await cancel_all([self._expiry_task])

    def acquire(self, need, ticket):
        """Return a context manager that waits for a placement and holds it.

        Parameters
        ----------
        need : ForRead or ForWrite or ForTransaction
        ticket : Ticket

        Raises
        ------
        Overloaded
        DeadlinePassed
        NoPrimary
        """
        return _HeldPlacement(self, need, ticket)

    def release(self, placement, need, long):
        """Release a placement, and dispatch waiting requests."""
        runtime = placement.runtime
        runtime.in_flight -= 1
        runtime.long_in_flight -= long
        if runtime.pace is not None:
            runtime.pace.record_end(self._clock())
        if isinstance(need, ForTransaction):
            runtime.transactions -= 1
        self.dispatch_waiting()
        if self._on_release is not None:
            self._on_release()

    async def wait(self, need, ticket):
        """Return a placement that must be released; see `acquire`."""
        decision = self.decide(need, ticket)
        if decision.judgement is not None:
            waiting = WaitingRequest(need, asyncio.get_running_loop().create_future())
            ticket.payload = waiting
            self._queue.apply(ticket, decision.judgement)
        if decision.error is not None:
            raise decision.error
        if decision.placement is not None:
            self._occupy(decision.placement, need, ticket.long)
            return decision.placement
        self._has_waiting.set()
        self.dispatch_waiting()
        try:
            return await waiting.future
        except asyncio.CancelledError:
            self._abandon(waiting, ticket)
            raise

    def decide(self, need, ticket):
        """Return the Decision about a request that arrives now.

        Neither the queue nor the ticket changes, and no instance is occupied.  The
        paces note that they were asked; `telemetry.placement` asks copies of them.
        """
        now = self._clock()
        placement = None if len(self._queue) else self._find_placement(need, ticket)
        if placement is not None:
            return Decision(placement)
        error = self._find_outage(need, ticket, now)
        if error is not None:
            return Decision(error=error)
        judgement = self._queue.judge(ticket, now, self._concurrency())
        match judgement.decision:
            case Refused(reason, retry_after):
                if self._only_paced_may_serve(need) or (
                    isinstance(need, ForRead) and self._is_urgent(ticket)
                ):
                    placement = self._find_placement(need, ticket, ignore_pace=True)
                error = None if placement else Overloaded(reason, retry_after)
        return Decision(placement, error, judgement)

    def _abandon(self, waiting, ticket):
        self._queue.remove(ticket)
        future = waiting.future
        if future.done() and not future.cancelled() and future.exception() is None:
            self.release(future.result(), waiting.need, ticket.long)

    def _concurrency(self):
        """Return how many requests of this VM may run at once on usable instances."""
        return sum(
            runtime.limit for runtime in self._instances.values() if runtime.usable
        )

    def dispatch_waiting(self):
        """Assign as many waiting requests as there is room for."""
        placement = None
        self._pace_delay = math.inf

        def admissible(ticket):
            nonlocal placement
            if ticket.payload.future.done():
                return True
            placement = self._find_placement(ticket.payload.need, ticket)
            return placement is not None

        while len(self._queue):
            ticket = self._queue.take(self._clock(), admissible)
            if ticket is None:
                self._dispatch_later(self._pace_delay)
                return
            if ticket.payload.future.done():
                continue
            self._occupy(placement, ticket.payload.need, ticket.long)
            ticket.payload.future.set_result(placement)

    def _dispatch_later(self, delay):
        """Dispatch again when a paced instance has its next allowance."""
        if self._pace_timer is not None:
            self._pace_timer.cancel()
            self._pace_timer = None
        if delay < EXPIRY_INTERVAL:  # after a longer time `_expire` dispatches
            loop = asyncio.get_running_loop()
            self._pace_timer = loop.call_later(delay, self.dispatch_waiting)

    def _occupy(self, placement, need, long):
        runtime = placement.runtime
        runtime.in_flight += 1
        if runtime.pace is not None:
            runtime.pace.record_sent(self._clock())
        runtime.long_in_flight += long
        if isinstance(need, ForTransaction):
            runtime.transactions += 1

    def _find_placement(self, need, ticket, ignore_pace=False):
        placement = self._search(need, ticket, ignore_pace)
        if placement is None and not ignore_pace and self._is_urgent(ticket):
            # Whether the others are paced as well or full makes no difference.
            placement = self._search(need, ticket, ignore_pace=True)
        return placement

    def _search(self, need, ticket, ignore_pace):
        match need:
            case ForRead(floor, excluded):
                return self._find_for_read(floor, excluded, ticket, ignore_pace)
            case ForWrite():
                return self.find_primary(ignore_pace)
            case ForTransaction():
                placement = self.find_primary(ignore_pace)
                if placement is None:
                    return None
                runtime = placement.runtime
                full = runtime.transactions >= runtime.transaction_limit
                return None if full else placement

    def is_awaited(self, name):
        """Return whether a request waits that a full instance might serve."""
        runtime = self._instances.get(name)
        if runtime is None or runtime.in_flight < runtime.limit:
            return False
        return any(
            name not in waiting.need.excluded
            if isinstance(waiting.need, ForRead)
            else name == self._view.primary
            for waiting in self._queue.payloads()
        )

    def _only_paced_may_serve(self, need):
        """Whether all usable instances for a request are paced.

        The pace then never causes its refusal.
        """
        if isinstance(need, ForRead):
            names = self._instances.keys() - need.excluded
        else:
            names = {self._view.primary} & self._instances.keys()
        usable = [self._instances[name] for name in names]
        return all(
            runtime.pace is not None and runtime.pace.paced
            for runtime in usable
            if runtime.usable
        )

    def _has_allowance(self, runtime):
        """Whether the pace of an instance admits a request now."""
        delay = 0.0 if runtime.pace is None else runtime.pace.delay(self._clock())
        if delay:
            self._pace_delay = min(self._pace_delay, delay)
        return not delay

    def _is_urgent(self, ticket):
        """Whether a request would pass its deadline if it waited any longer."""
        start_by = ticket.deadline_at - COST_SAFETY_FACTOR * ticket.cost
        return self._clock() + PACE_RESERVE > start_by

    def find_primary(self, ignore_pace):
        """Return the Placement of a request that needs the primary, or None."""
        name = self._view.primary
        if name is None:
            return None
        runtime = self._instances[name]
        if not runtime.usable or runtime.in_flight >= runtime.limit:
            return None
        # Nothing else serves these requests, so the primary is paced only once it has
        # refused some.
        limits = runtime.pace is not None and runtime.pace.refused
        if limits and not ignore_pace and not self._has_allowance(runtime):
            return None
        return Placement(name, self._view.term, runtime)

    def _find_for_read(self, floor, excluded, ticket, ignore_pace):
        candidates = self.candidates(floor, excluded, ticket, ignore_pace)
        # Another instance than last time would need a new connection of the customer.
        source = None if ticket.customer else self._source
        match choose_instance(candidates, floor, ticket.long, source):
            case Serve(name) | Probe(name):
                return Placement(name, self._view.term, self._instances[name])
            case NoneAvailable():
                return None

    def candidates(self, floor, excluded, ticket, ignore_pace=False):
        """Return the ReadCandidates among the instances that may serve a read."""
        primary = self._view.primary
        long_replica, long_allowed = self._find_long_targets(primary)
        penalty = (
            0.0 if ticket.long else self._costs.long_replica_penalty(self._clock())
        )
        candidates = []
        for name, runtime in self._instances.items():
            if name in excluded or not runtime.usable:
                continue
            if not ignore_pace and not self._has_allowance(runtime):
                continue
            instance_view = self._view.instances[name]
            candidates.append(
                ReadCandidate(
                    name=name,
                    position=instance_view.position,
                    rate=instance_view.rate,
                    primary=name == primary,
                    same_domain=runtime.spec.failure_domain == self._vm.failure_domain,
                    in_flight=runtime.in_flight,
                    limit=runtime.limit,
                    service_time=ticket.cost,
                    long_allowed=not ticket.long
                    or self._may_run_long(name, long_replica, long_allowed),
                    penalty=(penalty if name == long_replica else 0.0)
                    + self._outcomes.penalty(name),
                    borrowed=runtime.borrows,
                    unconnected=ticket.customer != ""
                    and not runtime.pool.has_idle(ticket.customer),
                    catch_up=self._view.catch_up_time(name, floor),
                    busiest=name == primary and self._is_busiest(primary),
                )
            )
        return candidates

    def _is_busiest(self, primary):
        """Whether the primary has more to do than the usable replicas."""
        replicas = [
            name
            for name, runtime in self._instances.items()
            if name != primary and runtime.usable
        ]
        return self._load.is_busiest(primary, replicas, self._clock())

    def _may_run_long(self, name, long_replica, allowed):
        """Return whether an instance may run one more long statement of this VM.

        The replica for long statements is filled first.  On the other instances one
        slot always stays free for short statements.
        """
        if name not in allowed:
            return False
        if name == long_replica or long_replica is None:
            return True
        slots = self._group.slots
        long_replica_full = self._instances[long_replica].long_in_flight >= slots
        return long_replica_full and self._instances[name].long_in_flight < slots - 1

    def _find_long_targets(self, primary):
        """Return the replica for long statements, and where this VM may run them."""
        members = self._members()
        usable = tuple(
            name
            for name, runtime in self._instances.items()
            if name != primary and runtime.usable
        )
        key = (usable, members, primary)
        if self._long_cache[0] != key:
            allowed = instances_for_long(
                self._group.name, usable, self._vm.name, members
            )
            targets = (
                choose_long_replica(self._group.name, usable),
                allowed or frozenset([primary]),
            )
            self._long_cache = (key, targets)
        return self._long_cache[1]

    async def _expire(self):
        while True:
            await self._has_waiting.wait()
            if not len(self._queue):
                self._has_waiting.clear()
                continue
            await asyncio.sleep(EXPIRY_INTERVAL)
            for ticket in self._queue.remove_expired(self._clock(), self._start_delay):
                waiting = ticket.payload
                if not waiting.future.done():
                    waiting.future.set_exception(self._expiry_error(ticket))
            self.dispatch_waiting()

    def _find_outage(self, need, ticket, now):
        """Return the error if the primary probably comes back too late, or None."""
        if isinstance(need, ForRead):
            return None
        remaining = self._outage.expected_remaining(now)
        if remaining and now + remaining + ticket.cost > ticket.deadline_at:
            return self._make_no_primary(ticket, now)
        return None

    def _start_delay(self, ticket):
        """Return for how many seconds a waiting request cannot start in any case."""
        if isinstance(ticket.payload.need, ForRead):
            return 0.0
        return self._outage.least_remaining(self._clock())

    def _expiry_error(self, ticket):
        now = self._clock()
        outage = self._view.primary is None or self._outage.expected_remaining(now)
        if outage and not isinstance(ticket.payload.need, ForRead):
            return self._make_no_primary(ticket, now)
        return DeadlinePassed("no instance became free", 0.1)

    def _make_no_primary(self, ticket, now):
        outage = self._outage
        remaining = outage.expected_remaining(now) or outage.usual_duration
        remaining = max(remaining, MIN_PRIMARY_RETRY_AFTER)
        return NoPrimary(
            f"group {self._group.name} has no usable primary",
            spread_retry_after(remaining, ticket.caller),
        )


class _HeldPlacement:
    """Context manager that holds the placement of one request."""

    __slots__ = ("_dispatcher", "_need", "_placement", "_ticket")

    def __init__(self, dispatcher, need, ticket):
        self._dispatcher = dispatcher
        self._need = need
        self._ticket = ticket

    async def __aenter__(self):
        self._placement = await self._dispatcher.wait(self._need, self._ticket)
        return self._placement

    async def __aexit__(self, *exc_info):
        self._dispatcher.release(self._placement, self._need, self._ticket.long)
