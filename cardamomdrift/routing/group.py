"""
Group runtime
=============

Assembles the components that one VM runs for one group of MySQL instances, and passes
the answers to probes on to them.  For a protocol whose replies carry positions see
`routing.cluster`.
"""

from contextlib import AsyncExitStack
from dataclasses import dataclass

from cardamomdrift.failover.monitor import FailoverMonitor
from cardamomdrift.failover.terms import TermLog
from cardamomdrift.limits.admission import AdmissionQueue, Fifo
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.limits.shares import share_of
from cardamomdrift.mysql.instances import make_instance
from cardamomdrift.routing.cost import CostEstimator
from cardamomdrift.routing.dispatch import Dispatcher
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.routing.reads import ReadRunner
from cardamomdrift.routing.status_collector import StatusCollector
from cardamomdrift.routing.transactions import Transaction
from cardamomdrift.routing.view import GroupView, make_view
from cardamomdrift.routing.writes import WriteRunner
from cardamomdrift.util import hash_number

QUEUE_LIMIT = 2000  # requests


@dataclass
class GroupComponents:
    """Components that the runners of one group share."""

    spec: object
    vm: VmIdentity
    view: GroupView
    status_collector: StatusCollector
    instances: dict
    dispatcher: Dispatcher
    costs: CostEstimator
    budget: RetryBudget
    clock: object


@dataclass(frozen=True, slots=True)
class GroupContext:
    """Dependencies of a group runtime, provided by its daemon.

    Attributes
    ----------
    vm : VmIdentity
    login : Login
    table : Table
    deployment : str
        Name of the deployment, under which the table holds its rows.
    members : callable
        Returns the names of all VMs, as a tuple.
    primary_contact_age : callable
        See `FailoverMonitor`.
    clock : callable
        Returns the loop's time in seconds.
    log : structlog logger
    policy : Fifo or NewestFirst or Adaptive
    """

    vm: VmIdentity
    login: object
    table: object
    deployment: str
    members: object
    primary_contact_age: object
    clock: object
    log: object
    policy: object = Fifo()


class GroupRuntime:
    """One database group as this VM uses it; an async context manager."""

    def __init__(self, spec, context):
        self._spec = spec
        self._clock = context.clock
        self._last_primary = None
        self._stack = AsyncExitStack()
        view = make_view(spec)
        instances = {
            instance_spec.name: make_instance(
                instance_spec, context.login, context.vm.name, self._clock, self
            )
            for instance_spec in spec.instances
        }
        status_collector = StatusCollector(
            spec, view, lambda name: instances[name].prober.request_probe()
        )
        costs = CostEstimator()
        dispatcher = Dispatcher(
            spec,
            instances,
            view,
            AdmissionQueue(QUEUE_LIMIT, context.policy),
            costs,
            context.vm,
            context.members,
            self._clock,
        )
        self._components = GroupComponents(
            spec=spec,
            vm=context.vm,
            view=view,
            status_collector=status_collector,
            instances=instances,
            dispatcher=dispatcher,
            costs=costs,
            budget=RetryBudget(),
            clock=self._clock,
        )
        self._reads = ReadRunner(self._components)
        self._writes = WriteRunner(self._components)
        self._monitor = FailoverMonitor(
            self._components,
            context.login,
            TermLog(context.table, context.deployment, spec.name),
            context.members,
            context.primary_contact_age,
            context.log,
            hash_number(context.vm.name, spec.name),
        )

    @property
    def spec(self):
        """The group as the bundle describes it."""
        return self._spec

    @property
    def view(self):
        """State of the group's instances as this VM knows it."""
        return self._components.view

    @property
    def components(self):
        """Components that the runners share."""
        return self._components

    @property
    def counts(self):
        """Counts of failover events."""
        return self._monitor.counts

    async def __aenter__(self):
        for runtime in self._components.instances.values():
            await self._stack.enter_async_context(runtime)
        await self._stack.enter_async_context(self._components.dispatcher)
        await self._stack.enter_async_context(self._monitor)
        return self

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    def set_members(self, members, may_connect):
        """Update this VM's share of the instances' connections.

        Parameters
        ----------
        members : int
            Number of VMs that share the connections.
        may_connect : bool
            Whether the other VMs count this one as a member.
        """
        share = share_of(self._spec.connections, members) if may_connect else 0
        for runtime in self._components.instances.values():
            if runtime.pool.limit != share:
                runtime.set_share(share)
                runtime.prober.request_probe()
        self._components.dispatcher.dispatch_waiting()

    def set_leaving(self, instances):
        """Mark the instances that are about to leave; they get no new requests."""
        for name, runtime in self._components.instances.items():
            runtime.leaving = name in instances

    def observe_term(self, term):
        """Record a term that a peer has seen, and probe all instances."""
        self._components.view.observe_term(term)
        for runtime in self._components.instances.values():
            runtime.prober.request_probe()

    def status(self):
        """Return the group's state as plain values, for operators."""
        view = self._components.view
        return {
            "term": view.term,
            "primary": view.primary,
            "waiting": len(self._components.dispatcher.queue),
            "overloaded": self._components.dispatcher.queue.overloaded,
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
                for name, runtime in self._components.instances.items()
            },
        }

    def trim(self, now):
        """Close idle connections, and cut answers that are read too slowly."""
        self._reads.cut_slow_answers(now)
        for runtime in self._components.instances.values():
            runtime.pool.trim(now)

    async def read(self, request):
        """Serve a read; see `ReadRunner.run`."""
        return await self._reads.run(request)

    async def write(self, request):
        """Serve a write; see `WriteRunner.run`."""
        return await self._writes.run(request)

    async def begin(self, request):
        """Open and return a transaction; see `Transaction.open`."""
        transaction = Transaction(self._components, request)
        await transaction.open()
        return transaction

    # Listener of the probers

    def probe_begun(self, name, now):
        """Record that a probe was sent."""
        self._components.instances[name].silence.record_request(now)

    def probe_answered(self, name, status, begun_at, now):
        """Record an instance's answer to a probe."""
        runtime = self._components.instances[name]
        was_usable = runtime.usable
        previous_primary = self._components.view.primary
        runtime.record_probe_answer(begun_at)
        self._components.status_collector.add_status(name, status, begun_at, now)
        self._handle_primary_change()
        if previous_primary is not None and self._components.view.primary is None:
            self._monitor.wake()
        if not was_usable or previous_primary != self._components.view.primary:
            self._components.dispatcher.dispatch_waiting()

    def _handle_primary_change(self):
        """After a change of the primary, close all connections to the old one."""
        primary = self._components.view.primary
        if primary is None or primary == self._last_primary:
            return
        old_primary, self._last_primary = self._last_primary, primary
        if old_primary is not None:
            self._components.instances[old_primary].pool.close_all()

    def probe_without_connection(self, name):
        """Record a probe that got no connection although the instance did not fail.

        The instance answered that it has too many connections, or this VM's pool had
        none free.
        """
        self._components.instances[name].silence.record_answer()
        self._components.status_collector.probe_again(name)

    def probe_failed(self, name, now, refused):
        """Record that an instance did not answer a probe."""
        runtime = self._components.instances[name]
        runtime.silence.record_failure(now, refused)
        self._monitor.wake()
        if refused:
            runtime.pool.drop_idle()
        self._components.status_collector.probe_again(name)
