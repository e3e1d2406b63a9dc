"""
Outcomes
========

Finds the instance of a group that refuses or fails a part of its statements, by the
outcomes of real work, so that reads go elsewhere.  At most one instance is avoided at a
time, and none if the others fail as often.

Load pattern: an instance answers pings, but fails statements with a share of 0.45.  It
fails them fast, which makes it look free.
"""

from dataclasses import dataclass

MEMORY_TIME = 10.0  # seconds after which an outcome counts half
# Recent failures before an instance is avoided: two within 4 s.  One of 36 daemons sees
# about one failure in 2 s of an instance that fails 0.45 of its statements.
MIN_FAILURES = 1.75
FAILURE_SHARE = 0.2  # of the recent statements
# An instance is avoided only if it fails so many times as often as the best other one.
CONTRAST = 2.0
AVOID_TIME = 2.0  # seconds; doubled each time that the instance fails again
MAX_AVOID_TIME = 30.0
# Seconds of good work after which the next avoidance is a short one again.
FORGET_TIME = 30.0
AVOIDED_PENALTY = 1.0  # seconds; more than any difference between instances


@dataclass(slots=True)
class _Recent:
    """Recent outcomes of one instance, each counted less as it gets older."""

    failed: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def advance(self, now):
        part = 0.5 ** (max(now - self.at, 0.0) / MEMORY_TIME)
        self.failed *= part
        self.total *= part
        self.at = now

    @property
    def share(self):
        return self.failed / self.total if self.total else 0.0


class OutcomeTracker:
    """Outcomes at the instances of one group as one daemon sees them.

    All times are in seconds of one clock.
    """

    def __init__(self):
        self._recent = {}
        self._avoided = None
        self._avoided_until = 0.0
        self._times = {}

    @property
    def avoided(self):
        """Name of the instance that is avoided, or None."""
        return self._avoided

    def penalty(self, name):
        """Return the seconds to add to the expected time of an instance."""
        return AVOIDED_PENALTY if name == self._avoided else 0.0

    def record(self, name, failed, now):
        """Record the outcome of a statement.

        Parameters
        ----------
        name : str
        failed : bool
            Whether the instance refused or failed it although it could have run.
        now : float
        """
        recent = self._recent.setdefault(name, _Recent(at=now))
        recent.advance(now)
        recent.total += 1.0
        recent.failed += failed
        if failed and self._avoided is None and self._is_worse(name, now):
            self._avoid(name, now)

    def _is_worse(self, name, now):
        recent = self._recent[name]
        if recent.failed < MIN_FAILURES or recent.share < FAILURE_SHARE:
            return False
        others = [one for other, one in self._recent.items() if other != name]
        if not others:
            return False
        for one in others:
            one.advance(now)
        return recent.share > CONTRAST * min(one.share for one in others)

    def _avoid(self, name, now):
        last, ended_at = self._times.get(name, (0.0, now))
        again = last and now - ended_at < FORGET_TIME
        time = min(2 * last, MAX_AVOID_TIME) if again else AVOID_TIME
        self._avoided = name
        self._avoided_until = now + time
        self._times[name] = (time, self._avoided_until)

    def end_avoidance(self, now):
        """Return the instance that is to be tried again from now on, or None.

        Its earlier outcomes still count, so that few failures suffice.
        """
        if self._avoided is None or now < self._avoided_until:
            return None
        name, self._avoided = self._avoided, None
        return name

    def forget(self, name):
        """Forget an instance that has left the group or started anew."""
        self._recent.pop(name, None)
        self._times.pop(name, None)
        if self._avoided == name:
            self._avoided = None
