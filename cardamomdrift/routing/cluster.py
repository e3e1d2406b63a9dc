"""
Cluster
=======

One database group as this VM uses it, for a protocol whose replies carry positions: its
instances, their connections, its primary and the floors of reads.  For groups of MySQL
instances see `routing.group`.
"""

import asyncio
import math
import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from functools import partial

from cardamomdrift.clock import boot_clock
from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.limits.admission import AdmissionQueue, Fifo
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.limits.outage import OutageEstimator
from cardamomdrift.position import Position
from cardamomdrift.routing.connections import GroupConnections
from cardamomdrift.routing.cost import CostEstimator
from cardamomdrift.routing.detour import Detour
from cardamomdrift.routing.dispatch import Dispatcher, ForRead
from cardamomdrift.routing.instance import InstanceRuntime
from cardamomdrift.routing.pacing import Pacing
from cardamomdrift.routing.position_view import PositionView
from cardamomdrift.routing.reachability import ReachabilityMonitor
from cardamomdrift.routing.replica_reports import ReplicaReports
from cardamomdrift.routing.replica_watch import ReplicaWatch
from cardamomdrift.routing.samples import FloorHistory, FloorRule, Sample
from cardamomdrift.upstreams.pinger import Pinger
from cardamomdrift.upstreams.pool import InstancePool
from cardamomdrift.util import MILLISECONDS, cancel_all, keep_task

QUEUE_LIMIT = 500  # requests; at 10 KB each this bounds each queue of a group to 5 MB
RELEASE_TIMEOUT = 0.15  # seconds to wait for running writes on a draining primary
RELEASE_POLL_INTERVAL = 0.005  # seconds


@dataclass(slots=True)
class ClusterCounts:
    """Event counters of one group.

    Attributes
    ----------
    reads : dict of str to int
        Reads answered, by role of the instance.
    hedges : int
        Further attempts of reads, started because an answer was late.
    retries : int
    primary_retries : int
        Retries at the primary after LAGGING that took no token of the budget.
    behind : int
        Statements that a replica refused because it was below their floor.
    refused_lagging : int
        Reads refused because the primary had no room and the replicas lagged.
    """

    reads: dict = field(default_factory=lambda: {"primary": 0, "replica": 0})
    hedges: int = 0
    retries: int = 0
    primary_retries: int = 0
    behind: int = 0
    refused_lagging: int = 0


class Cluster:
    """One database group; an async context manager.

    Parameters
    ----------
    group : Group
    context : ClusterContext
    """

    def __init__(self, group, context):
        self._group = group
        self._context = context
        self._clock = context.clock
        self._instances = {}
        self._stacks = {}
        self._floors = FloorHistory()
        self.replica_reports = ReplicaReports(self._floors)
        self.replicas = ReplicaWatch(self, context.vm.name)
        self._costs = CostEstimator()
        self.pacing = Pacing(
            group.name,
            self._costs,
            self._clock,
            context.vm.name,
            context.members,
            context.log,
        )
        self._listed = False
        self._budget = RetryBudget()
        self._outage = OutageEstimator()
        self.last_read_at = -math.inf
        self.reachability = ReachabilityMonitor(self, context)
        self._detour = Detour(self)
        self._connections = GroupConnections(self, context)
        self._source = random.Random()
        self._tasks = set()
        self._stack = AsyncExitStack()
        self.started_boot = boot_clock()
        self.writes_in_flight = 0
        self.leadership = Leadership(group.name)
        self.counts = ClusterCounts()
        self._view = PositionView(
            self.leadership,
            lambda: context.permission.holds(boot_clock()),
            self._floors,
            boot_clock,
        )
        self._primary_dispatcher = self._make_dispatcher(
            lambda: self._any_dispatcher.dispatch_waiting()
        )
        self._any_dispatcher = self._make_dispatcher(
            lambda: self._primary_dispatcher.dispatch_waiting()
        )

    def _make_dispatcher(self, on_release):
        return Dispatcher(
            self._group,
            self._instances,
            self._view,
            AdmissionQueue(QUEUE_LIMIT, Fifo()),
            self._costs,
            self._context.vm,
            self._context.members,
            self._clock,
            on_release,
            self._outage,
            self.pacing.outcomes,
            self.pacing.load,
            self._source,
        )

    @property
    def group(self):
        """The group as the configuration describes it."""
        return self._group

    @property
    def instances(self):
        """InstanceRuntime by name."""
        return self._instances

    @property
    def view(self):
        """Positions of the instances, and the primary."""
        return self._view

    @property
    def primary_dispatcher(self):
        """Dispatcher of the requests that need the primary."""
        return self._primary_dispatcher

    @property
    def any_dispatcher(self):
        """Dispatcher of the requests that any instance may serve."""
        return self._any_dispatcher

    def dispatcher_of(self, need):
        """Return the dispatcher of the requests with a need."""
        if isinstance(need, ForRead):
            return self._any_dispatcher
        return self._primary_dispatcher

    @property
    def costs(self):
        """Expected service times."""
        return self._costs

    @property
    def budget(self):
        """Budget of retries and hedged requests."""
        return self._budget

    @property
    def outage(self):
        """Outages of the primary."""
        return self._outage

    @property
    def floors(self):
        """FloorHistory of the group."""
        return self._floors

    @property
    def permission(self):
        """Permission that bounds the use of a settled primary in time."""
        return self._context.permission

    @property
    def log(self):
        """Logger of the daemon."""
        return self._context.log

    @property
    def clock(self):
        """Clock of the event loop."""
        return self._clock

    async def __aenter__(self):
        await self._stack.enter_async_context(self._primary_dispatcher)
        await self._stack.enter_async_context(self._any_dispatcher)
        return self

    async def __aexit__(self, *exc_info):
        await self._detour.close()
        await self._connections.close()
        await cancel_all(list(self._tasks))
        for stack in list(self._stacks.values()):
            await stack.aclose()
        await self._stack.aclose()

    # Instances

    async def set_group(self, group):
        """Apply the group of a new configuration."""
        self._group = group
        self.update_shares()

    async def set_instances(self, records):
        """Apply the group's entries of the instance list.

        Parameters
        ----------
        records : dict of str to InstanceRecord
        """
        for name in [name for name in self._instances if name not in records]:
            await self._remove(name)
        for name, record in records.items():
            runtime = self._instances.get(name)
            if runtime is not None and self._is_same_process(runtime.spec, record):
                runtime.update(record)
                runtime.leaving = record.draining
                continue
            if runtime is not None:
                await self._remove(name)
            await self._add(record)
        # At the daemon's start all instances are new to it, but not cold.
        self._listed = self._listed or bool(records)
        self._adopt_listed_primary(records)
        self.update_shares()
        self.dispatch_waiting()

    @staticmethod
    def _is_same_process(previous, record):
        """Return whether two list entries of an instance describe the same process."""
        return (previous.address, previous.port, previous.started_at_ms) == (
            record.address,
            record.port,
            record.started_at_ms,
        )

    def _adopt_listed_primary(self, records):
        primaries = [name for name, record in records.items() if record.primary]
        if len(primaries) == 1 and self.leadership.adopt_listed_primary(primaries[0]):
            self.log.info(
                "primary listed",
                group=self._group.name,
                primary=primaries[0],
                generation=0,
            )

    async def _add(self, record):
        connect = self._context.connector(record)
        pool = InstancePool(
            connect, self._clock, partial(self._connections.borrow, record.name)
        )
        pinger = Pinger(record.name, pool, self.reachability, self._clock)
        pace = self.pacing.make_controller(record.name)
        if self._listed:
            pace.begin(self._clock())
        runtime = InstanceRuntime(record, pool, pinger, self._clock, pace=pace)
        runtime.leaving = record.draining
        stack = AsyncExitStack()
        await stack.enter_async_context(runtime)
        self._instances[record.name] = runtime
        self._stacks[record.name] = stack
        self._view.add(record.name)
        self.log.info(
            "instance added",
            group=self._group.name,
            instance=record.name,
            address=f"{record.address}:{record.port}",
            draining=record.draining,
            primary=record.primary,
        )

    async def _remove(self, name):
        del self._instances[name]
        self.reachability.forget(name)
        self.pacing.forget(name)
        self._view.drop(name)
        self.replica_reports.forget(name)
        self.log.info("instance removed", group=self._group.name, instance=name)
        await self._stacks.pop(name).aclose()

    def update_shares(self):
        """Update this VM's share of each instance's connections."""
        self._connections.update_shares()

    def dispatch_waiting(self):
        """Dispatch waiting requests, after a change that may have made room."""
        self._primary_dispatcher.dispatch_waiting()
        self._any_dispatcher.dispatch_waiting()

    # Primary

    def is_primary(self, name, generation):
        """Return whether an answer of an instance may be passed on as the primary's.

        Parameters
        ----------
        name : str
        generation : int
            Number of the replacement in force when the request was placed there.
        """
        now = boot_clock()
        leadership = self.leadership
        if not leadership.accepts_answer(name, generation, now):
            return False
        return not leadership.settled or self.permission.holds(now)

    def adopt(self, generation, settled, term, primary, source):
        """Apply the record of a replacement if it is newer; return whether it was.

        Parameters
        ----------
        generation : int
            Number of the replacement.
        settled : bool
            Whether the replacement is complete.
        term : int
            Term in which the primary writes, or 0 if it is not known yet.
        primary : str
            The new primary if settled, otherwise the old one.
        source : str
            Where the information comes from, for the log.
        """
        now = boot_clock()
        leadership = self.leadership
        usable_until = self.permission.until if leadership.settled else now
        if not leadership.adopt(generation, settled, term, primary, now):
            return False
        self.log.warning(
            "primary changed" if settled else "replacement seen",
            group=self._group.name,
            generation=generation,
            primary=primary,
            term=term,
            source=source,
        )
        leadership.drain_until = min(usable_until, now + RELEASE_TIMEOUT)
        if settled:
            leadership.released = generation
            self.dispatch_waiting()
        else:
            self._release_when_idle()
        return True

    def _release_when_idle(self):
        """Stop using the old primary.

        In a planned replacement, the writes that run on it may end first, until
        ``drain_until`` at the latest.
        """
        leadership = self.leadership
        old_primary = self._instances.get(leadership.primary)
        planned = old_primary is not None and old_primary.spec.draining
        if not planned or not self.writes_in_flight:
            leadership.released = leadership.generation
            return
        keep_task(self._tasks, self._release_later(leadership.generation))

    async def _release_later(self, generation):
        leadership = self.leadership
        while self.writes_in_flight and boot_clock() < leadership.drain_until:
            await asyncio.sleep(RELEASE_POLL_INTERVAL)
        leadership.released = max(leadership.released, generation)
        self._context.announce()

    def record_reply(self, name, position, begun_boot, direct=True, behind=False):
        """Record a reply of an instance.

        Parameters
        ----------
        name : str
        position : Position or None
            Position that the instance's log had reached.
        begun_boot : float
            When the request was sent, or before, by the boot clock.
        direct : bool
            Whether it came over a connection of this VM, not over a borrowed one.
        behind : bool
            Whether the instance has refused a read because it was below the floor.
        """
        now = self._clock()
        runtime = self._instances.get(name)
        if runtime is None:
            return
        if direct:
            runtime.record_reply()
        if position is None:
            return
        self._view.observe(name, position, now, begun_boot)
        if self.is_primary(name, self.leadership.generation):
            self.leadership.update_term(name, position.term)
            self._floors.add(Sample(begun_boot, position))
        if name == self.leadership.primary:
            # A report from the time when it was a replica would never be replaced.
            self.replica_reports.forget(name)
        else:
            self.replicas.record_answer(name, position, begun_boot, behind)

    def run_checks(self, now):
        """Ping overdue instances, and update the detour and the outage."""
        self.reachability.run_checks(now)
        self._detour.run_checks(now)
        self.pacing.run_checks(self._instances, now)
        runtime = self._instances.get(self._view.primary)
        self._outage.update(runtime is not None and runtime.usable, now)

    def reaching_daemons(self):
        """Return the daemons that the primary has answered recently."""
        leadership = self.leadership
        contacts = self._context.contacts(self._group.name, leadership.generation)
        return contacts.reaching_daemons

    def add_sample(self, begun_boot, position):
        """Add a sample that another daemon has taken.

        Parameters
        ----------
        begun_boot : float
            When the sample began, by the boot clock.
        position : tuple of (int, int)
            Term and sequence number that the primary's log had reached.
        """
        self._floors.add(Sample(begun_boot, Position(*position)))

    def newest_sample(self):
        """Return the Sample that began last, or None."""
        return self._floors.newest_sample

    @property
    def newest_sample_at(self):
        """When the newest sample began, by the boot clock; minus infinity if none."""
        return self._floors.newest_begun_at

    def find_floor(self, since, at_least):
        """Return the floor for a read, or None if no sample is recent enough.

        Parameters
        ----------
        since : float
            The sample must have begun at this time of the boot clock or later.
        at_least : Position
            Lower bound of the floor.
        """
        self.last_read_at = self._clock()
        return self._floors.find(FloorRule(since, at_least))

    def status(self):
        """Return the group's state as plain values, for operators."""
        leadership = self.leadership
        return {
            "generation": leadership.generation,
            "settled": leadership.settled,
            "primary": leadership.primary,
            "usable_primary": self._view.primary,
            "outage_expected_ms": round(
                self._outage.expected_remaining(self._clock()) * MILLISECONDS
            ),
            "waiting": len(self._primary_dispatcher.queue)
            + len(self._any_dispatcher.queue),
            "instances": {
                name: {
                    "position": str(self._view.instances[name].position),
                    "usable": runtime.usable,
                    "paced": runtime.pace.paced,
                    "leaving": runtime.leaving,
                    "in_flight": runtime.in_flight,
                    "connections": runtime.pool.size,
                    "share": runtime.pool.limit,
                    "borrowed": runtime.pool.borrowed,
                    "handshakes": runtime.pool.handshakes,
                    "replaced": runtime.pool.replaced,
                    "customers": dict(runtime.pool.customers),
                }
                for name, runtime in self._instances.items()
            },
        }

    def trim(self, now):
        """Close connections that have been idle for long."""
        self._connections.trim(now)
