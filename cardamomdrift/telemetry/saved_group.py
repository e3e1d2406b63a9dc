"""
Saved group
===========

A database group with the product's dispatchers, queues and floors, in a saved state at
which time stands still.  Its instances, times and outages are the saved values.
"""

import random
from dataclasses import dataclass

from cardamomdrift.limits.admission import AdmissionQueue
from cardamomdrift.limits.load import GroupLoad
from cardamomdrift.position import ORIGIN
from cardamomdrift.routing.dispatch import Dispatcher, ForRead
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.routing.position_view import PositionView
from cardamomdrift.routing.samples import FloorHistory, FloorRule


@dataclass(frozen=True, slots=True)
class _SavedPace:
    """Pace of an instance; see `PaceController`."""

    paced: bool
    refused: bool
    seconds: float

    def delay(self, _now):
        return self.seconds


class _SavedInstance:
    """Instance of a saved group; see `InstanceRuntime`."""

    def __init__(self, state):
        self._idle = state.idle
        self.spec = self.pool = self
        self.failure_domain = state.failure_domain
        self.usable = state.usable
        self.borrows = state.borrows
        self.in_flight = state.in_flight
        self.long_in_flight = state.long_in_flight
        self.transactions = state.transactions
        self.limit = state.limit
        self.transaction_limit = state.transaction_limit
        self.pace = _SavedPace(
            state.pace_rate is not None, state.pace_refused, state.pace_delay
        )

    def has_idle(self, customer):
        """Whether an idle connection of a customer exists."""
        return self._idle.get(customer, 0) > 0


class _SavedTimes:
    """Expected times, outages and penalties of a group in a saved state."""

    def __init__(self, state):
        self._state = state
        self.usual_duration = state.outage_usual

    def expected(self, database):
        """Return the expected seconds of a statement; see `CostEstimator`."""
        return self._state.expected[database]

    def long_replica_penalty(self, _now):
        """Return the expected seconds behind long statements."""
        return self._state.long_penalty

    def expected_remaining(self, _now):
        """Return the expected seconds of an outage; see `OutageEstimator`."""
        return self._state.outage_expected

    def least_remaining(self, _now):
        """Return the least remaining seconds of an outage."""
        return self._state.outage_least

    def penalty(self, name):
        """Return the penalty of an instance; see `OutcomeTracker`."""
        return self._state.instances[name].penalty


class SavedGroup:
    """Group in a saved state; has those parts of a `Cluster` that decide.

    Parameters
    ----------
    daemon : DaemonState
    name : str
        Name of the group.
    """

    def __init__(self, daemon, name):
        state = daemon.groups[name]
        self._daemon = daemon
        self._floors = FloorHistory()
        for sample in state.samples:
            self._floors.add(sample)
        permitted = daemon.permission is not None and daemon.permission > 0
        # GroupState has the fields of a Leadership that the view reads.
        self.view = PositionView(
            state, lambda: permitted, self._floors, lambda: daemon.boot_now
        )
        self.view.instances = {
            instance: each.view for instance, each in state.instances.items()
        }
        self.view.answers = {
            instance: each.answer
            for instance, each in state.instances.items()
            if each.answer is not None
        }
        self.instances = {
            instance: _SavedInstance(each) for instance, each in state.instances.items()
        }
        self.costs = _SavedTimes(state)
        work = {instance: each.work for instance, each in state.instances.items()}
        self._load = GroupLoad.restore(work, daemon.now)
        # The daemon's own source must not advance by a question.
        self._source = random.Random()
        self._primary_dispatcher = self._make_dispatcher(state, state.primary_queue)
        self._any_dispatcher = self._make_dispatcher(state, state.any_queue)

    def _make_dispatcher(self, state, queue):
        daemon = self._daemon
        return Dispatcher(
            state.group,
            self.instances,
            self.view,
            AdmissionQueue.restore(queue),
            self.costs,
            VmIdentity(daemon.vm, daemon.failure_domain),
            lambda: tuple(daemon.members),
            self.clock,
            outage=self.costs,
            outcomes=self.costs,
            load=self._load,
            source=self._source,
        )

    def clock(self):
        """Return the time of the saved state."""
        return self._daemon.now

    def dispatcher_of(self, need):
        """Return the dispatcher of the requests with a need."""
        if isinstance(need, ForRead):
            return self._any_dispatcher
        return self._primary_dispatcher

    def find_floor(self, since, at_least=ORIGIN):
        """Return the floor for a read; see `Cluster.find_floor`."""
        return self._floors.find(FloorRule(since, at_least))

    def find_sample(self, since):
        """Return the Sample that is the floor for a read, or None."""
        return self._floors.find_sample(since)
