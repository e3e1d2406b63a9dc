"""
Reports on replicas
===================

The newest positions of the replicas of one group that lag, from this daemon's own
answers and from reports of other daemons.  A replica is reported from the first answer
that shows a delay up to the first one that does not, which tells of its recovery.  A
refusal as LAGGING is reported in any case.
"""

import math
from dataclasses import dataclass

from cardamomdrift.position import Position
from cardamomdrift.routing.expected_position import (
    LONG_LAG,
    PositionAnswer,
    shown_lag,
)

# Seconds without a report of a delayed replica after which the responsible voter asks
# for its position, and the least time between two requests of a voter.
PING_INTERVAL = 0.5
# The same for the other voters.  A report takes up to 0.6 s to them, so with the
# interval above all would ask all the time, often over new connections.
BACKUP_PING_INTERVAL = 1.5


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """Position of a replica at a time, and whether it was delayed then.

    Attributes
    ----------
    position : Position
    at : float
        When the request for it was sent, or before, by the boot clock.
    delayed : bool
    """

    position: Position
    at: float
    delayed: bool


class ReplicaReports:
    """Newest reports on the replicas of one group.

    Parameters
    ----------
    history : FloorHistory
        Samples of the primary.

    Attributes
    ----------
    newest : dict of str to ReplicaReport
        By instance.
    """

    def __init__(self, history):
        self._history = history
        self._pinged_at = {}
        self.newest = {}

    def forget(self, name):
        """Forget an instance that has left the group or started anew."""
        self.newest.pop(name, None)
        self._pinged_at.pop(name, None)

    def is_delayed(self, name):
        """Whether the newest report on an instance shows a delay."""
        report = self.newest.get(name)
        return report is not None and report.delayed

    def record_answer(self, name, position, at, behind):
        """Record an answer to this daemon, unless there is nothing to report of it.

        Parameters
        ----------
        name : str
        position : Position
        at : float
            When its request was sent.
        behind : bool
            Whether the replica has refused a read because it was below the floor.
        """
        delayed = self._shows_delay(position, at)
        if behind or delayed or self.is_delayed(name):
            self._record(name, ReplicaReport(position, at, delayed))

    def record_report(self, name, position, at):
        """Record the report of another daemon, unless this one knows a newer one.

        A report without a delay tells only of the end of one.  Otherwise each LAGGING
        answer with a usual lag would be relayed to all daemons.
        """
        delayed = self._shows_delay(position, at)
        if not (delayed or self.is_delayed(name)):
            return
        self._record(name, ReplicaReport(position, at, delayed))

    def _record(self, name, report):
        known = self.newest.get(name)
        if known is None or report.at > known.at:
            self.newest[name] = report

    def _shows_delay(self, position, at):
        lag = shown_lag(PositionAnswer(position, at), self._history)
        return lag is not None and lag > LONG_LAG

    def take_due_pings(self, now, is_responsible):
        """Return the delayed replicas whose position a voter asks for now.

        Parameters
        ----------
        now : float
        is_responsible : callable
            Whether this voter is the one that asks for an instance's position first.
        """
        due = [
            name
            for name, report in self.newest.items()
            if report.delayed
            and now - self._pinged_at.get(name, -math.inf) >= PING_INTERVAL
            and now - report.at
            >= (PING_INTERVAL if is_responsible(name) else BACKUP_PING_INTERVAL)
        ]
        self._pinged_at |= dict.fromkeys(due, now)
        return due
