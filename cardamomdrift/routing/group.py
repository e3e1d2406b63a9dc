"""
Group runtime
=============

Puts together what one VM runs for one database group and passes probe answers to the
parts that need them.
"""

from contextlib import AsyncExitStack
from dataclasses import dataclass

from cardamomdrift.failover.monitor import FailoverMonitor
from cardamomdrift.failover.terms import TermLog
from cardamomdrift.limits.admission import AdmissionQueue, Fifo
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.limits.shares import share_of
from cardamomdrift.mysql.instances import make_instance
from cardamomdrift.routing.cost import CostBook
from cardamomdrift.routing.dispatch import Dispatcher
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.routing.reads import ReadRunner
from cardamomdrift.routing.transactions import Transaction
from cardamomdrift.routing.view import GroupView, make_view
from cardamomdrift.routing.watch import StatusWatch
from cardamomdrift.routing.writes import WriteRunner
from cardamomdrift.util import hash_number

QUEUE_LIMIT = 2000  # requests


@dataclass
class GroupParts:
    """What the runners of one group share."""

    spec: object
    vm: VmIdentity
    view: GroupView
    watch: StatusWatch
    instances: dict
    dispatcher: Dispatcher
    costs: CostBook
    budget: RetryBudget
    clock: object


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What a group runtime takes from its daemon.

    Attributes
    ----------
    vm : VmIdentity
    login : Login
    table : Table
    deployment : str
    members : callable
        Returns the names of all VMs, as a tuple.
    contacts : callable
        See `FailoverMonitor`.
    clock : callable
    log : structlog logger
    policy : Fifo or NewestFirst or Adaptive
    """

    vm: VmIdentity
    login: object
    table: object
    deployment: str
    members: object
    contacts: object
    clock: object
    log: object
    policy: object = Fifo()


class GroupRuntime:
    """One database group as this VM uses it; an async context manager."""

    def __init__(self, spec, surroundings):
        self._spec = spec
        self._clock = surroundings.clock
        self._leader = None
        self._stack = AsyncExitStack()
        view = make_view(spec)
        instances = {
            one.name: make_instance(
                one, surroundings.login, surroundings.vm.name, self._clock, self
            )
            for one in spec.instances
        }
        watch = StatusWatch(spec, view, lambda name: instances[name].prober.want())
        costs = CostBook()
        dispatcher = Dispatcher(
            spec,
            instances,
            view,
            AdmissionQueue(QUEUE_LIMIT, surroundings.policy),
            costs,
            surroundings.vm,
            surroundings.members,
            self._clock,
        )
        self._parts = GroupParts(
            spec=spec,
            vm=surroundings.vm,
            view=view,
            watch=watch,
            instances=instances,
            dispatcher=dispatcher,
            costs=costs,
            budget=RetryBudget(),
            clock=self._clock,
        )
        self._reads = ReadRunner(self._parts)
        self._writes = WriteRunner(self._parts)
        self._monitor = FailoverMonitor(
            self._parts,
            surroundings.login,
            TermLog(surroundings.table, surroundings.deployment, spec.name),
            surroundings.members,
            surroundings.contacts,
            surroundings.log,
            hash_number(surroundings.vm.name, spec.name),
        )

    @property
    def spec(self):
        """The group as the bundle describes it."""
        return self._spec

    @property
    def view(self):
        """What is known of the group's instances."""
        return self._parts.view

    @property
    def parts(self):
        """What the runners share."""
        return self._parts

    @property
    def counts(self):
        """Counts of failover events."""
        return self._monitor.counts

    async def __aenter__(self):
        for runtime in self._parts.instances.values():
            await self._stack.enter_async_context(runtime)
        await self._stack.enter_async_context(self._parts.dispatcher)
        await self._stack.enter_async_context(self._monitor)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def set_members(self, members, may_connect):
        """Take this VM's share of the instances' connections.

        Parameters
        ----------
        members : int
            VMs counted.
        may_connect : bool
            Whether the other VMs count this one.
        """
        share = share_of(self._spec.connections, members) if may_connect else 0
        for runtime in self._parts.instances.values():
            if runtime.pool.limit != share:
                runtime.set_share(share)
                runtime.prober.want()
        self._parts.dispatcher.pump()

    def set_leaving(self, instances):
        """Send no new requests to the instances that are about to leave."""
        for name, runtime in self._parts.instances.items():
            runtime.leaving = name in instances

    def hear_term(self, term):
        """Take in a term that a peer has seen, and look for its primary."""
        self._parts.view.hear_term(term)
        for runtime in self._parts.instances.values():
            runtime.prober.want()

    def status(self):
        """Return the group's state as plain values, for operators."""
        view = self._parts.view
        return {
            "term": view.term,
            "primary": view.primary,
            "waiting": len(self._parts.dispatcher.queue),
            "overloaded": self._parts.dispatcher.queue.overloaded,
            "promoted": self.counts.promoted,
            "instances": {
                name: {
                    "position": str(view.instances[name].position),
                    "fence_term": view.instances[name].fence_term,
                    "usable": runtime.usable,
                    "leaving": runtime.leaving,
                    "in_flight": runtime.in_flight,
                    "limit": runtime.limit,
                    "connections": runtime.pool.size,
                    "share": runtime.pool.limit,
                    "refusals": runtime.pool.refusals,
                }
                for name, runtime in self._parts.instances.items()
            },
        }

    def trim(self, now):
        """Close connections that have been idle for long."""
        for runtime in self._parts.instances.values():
            runtime.pool.trim(now)

    async def read(self, request):
        """Serve a read; see `ReadRunner.run`."""
        return await self._reads.run(request)

    async def write(self, request):
        """Serve a write; see `WriteRunner.run`."""
        return await self._writes.run(request)

    async def begin(self, request):
        """Open and return a transaction; see `Transaction.open`."""
        transaction = Transaction(self._parts, request)
        await transaction.open()
        return transaction

    # Listener of the probers

    def probe_begun(self, name, now):
        """Note that an instance was asked."""
        self._parts.instances[name].silence.record_request(now)

    def probe_answered(self, name, status, begun_at, now):
        """Take in an instance's answer."""
        runtime = self._parts.instances[name]
        was_usable = runtime.usable
        leader = self._parts.view.primary
        runtime.note_answer(begun_at)
        self._parts.watch.take(name, status, begun_at, now)
        self._follow_leader()
        if leader is not None and self._parts.view.primary is None:
            self._monitor.wake()
        if not was_usable or leader != self._parts.view.primary:
            self._parts.dispatcher.pump()

    def _follow_leader(self):
        """Once a new primary leads, end what still waits for the old one."""
        leader = self._parts.view.primary
        if leader is None or leader == self._leader:
            return
        old, self._leader = self._leader, leader
        if old is not None:
            self._parts.instances[old].pool.condemn()

    def probe_crowded(self, name):
        """Note that an instance lives but had no connection for the question."""
        self._parts.instances[name].silence.record_answer()
        self._parts.watch.retry(name)

    def probe_failed(self, name, now, refused):
        """Note that an instance did not answer."""
        runtime = self._parts.instances[name]
        runtime.silence.record_failure(now, refused)
        self._monitor.wake()
        if refused:
            runtime.pool.drop_idle()
        self._parts.watch.retry(name)
