"""
Pacing
======

Creates the pace of each instance of a group, records the outcomes of statements, and
logs what follows from them.
"""

from cardamomdrift.limits.load import GroupLoad
from cardamomdrift.limits.outcomes import OutcomeTracker
from cardamomdrift.limits.pace import PaceController
from cardamomdrift.limits.room import RoomTracker
from cardamomdrift.ports import Refusal
from cardamomdrift.util import hash_number

PHASE_STEPS = 1024
FAILURES = frozenset((Refusal.FAILED, Refusal.TIMED_OUT))


class Pacing:
    """Paces of the instances of one group.

    Parameters
    ----------
    group : str
    costs : CostEstimator
    clock : callable
    vm : str
        Name of this VM.
    members : callable
        Returns the names of all VMs.
    log : structlog logger

    Attributes
    ----------
    outcomes : OutcomeTracker
    load : GroupLoad
    room : RoomTracker
    """

    def __init__(self, group, costs, clock, vm, members, log):
        self._group = group
        self._costs = costs
        self._clock = clock
        self._vm = vm
        self._members = members
        self._log = log
        self._paced = set()
        self.outcomes = OutcomeTracker()
        self.load = GroupLoad()
        self.room = RoomTracker()

    def forget(self, instance):
        """Forget an instance that has left the group or started anew."""
        self.outcomes.forget(instance)
        self.load.forget(instance)
        self.room.forget(instance)

    def make_controller(self, instance):
        """Return the controller of an instance."""
        phase = hash_number(instance, self._vm) % PHASE_STEPS / PHASE_STEPS
        return PaceController(self._start_rate, phase)

    def _start_rate(self):
        return 1.0 / self._costs.typical / max(len(self._members()), 1)

    def run_checks(self, instances, now):
        """Advance all paces, and log those that have begun or ended.

        An instance that was avoided is tried again at the pace of one that returns.

        Parameters
        ----------
        instances : dict of str to InstanceRuntime
        now : float
        """
        group = self._group
        tried_again = self.outcomes.end_avoidance(now)
        if tried_again in instances:
            instances[tried_again].pace.begin(now)
            self._log.info("instance tried again", group=group, instance=tried_again)
        paced = set()
        for name, runtime in instances.items():
            pace = runtime.pace
            if pace.paced:
                pace.update(now)
                if pace.paced:
                    paced.add(name)
        if paced == self._paced:
            return
        for name in sorted(paced ^ self._paced):
            if name in paced:
                pace = instances[name].pace
                rate = round(pace.rate, 2)
                self._log.info("pace begun", group=group, instance=name, rate=rate)
            else:
                self._log.info("pace ended", group=group, instance=name)
        self._paced = paced

    def record(self, runtime, reply, sent_at, usual):
        """Record how an instance served a statement.

        Parameters
        ----------
        runtime : InstanceRuntime
        reply : Reply
        sent_at : float
        usual : float
            Seconds that the statement usually takes.
        """
        now, pace, name = self._clock(), runtime.pace, runtime.spec.name
        failed = reply.refusal in FAILURES
        if reply.refusal is Refusal.BUSY:
            # While the instance is paced, its refusals only lower the rate.
            failed = not pace.paced
            pace.record_refusal(sent_at, now)
        elif failed:
            pace.record_failure(sent_at, now)
        elif reply.refusal is None:
            pace.record_answer(sent_at, now - sent_at, usual, now)
            self.room.record_answer(name, now - sent_at, usual, now)
        else:
            # Refusals of other kinds occupy no slot, so their time tells nothing.
            return
        avoided = self.outcomes.avoided
        self.outcomes.record(name, failed, now)
        if self.outcomes.avoided != avoided:
            self._log.warning("instance avoided", group=self._group, instance=name)
