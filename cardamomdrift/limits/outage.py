"""
Outage
======

Estimates when the primary of a group can be used again.  A request that cannot wait for
that long is refused immediately, so that its caller can ask another daemon or come back
in time.

Load pattern: the primary is lost, or only this daemon is partitioned from it, and every
caller of the group waits.
"""

from cardamomdrift.util import hash_number

INITIAL_DURATION = 1.2  # seconds; a crash is noticed in 0.5 s, then another is promoted
DURATION_WEIGHT = 0.3  # weight of the last outage in the usual duration
# Seconds.  Shorter gaps end by a ping or a detour; they do not count as outages.
MIN_DURATION = 0.6
# Share of the usual duration that an outage lasts at least.
LEAST_SHARE = 0.8
# An outage that lasts longer than usual is expected to last for this share of its
# present duration more.
OVERDUE_SHARE = 0.25
# Callers are told to come back within this share of the time after its end.
RETRY_SPREAD = 0.5
SPREAD_STEPS = 1024


def spread_retry_after(remaining, caller):
    """Return after how many seconds a caller is told to come back.

    Load pattern: all callers that an outage has refused come back at its end.

    Parameters
    ----------
    remaining : float
        Expected seconds until the end of the outage.
    caller : str
    """
    part = hash_number("retry", caller) % SPREAD_STEPS / SPREAD_STEPS
    return remaining * (1.0 + RETRY_SPREAD * part)


class OutageEstimator:
    """Outages of the primary of one group as one daemon sees them.

    All times are in seconds of one clock.
    """

    def __init__(self):
        self._since = None
        self._usual = INITIAL_DURATION

    @property
    def usual_duration(self):
        """Seconds that an outage usually lasts."""
        return self._usual

    def update(self, usable, now):
        """Record whether the primary can be used.

        Parameters
        ----------
        usable : bool
        now : float
        """
        if not usable:
            if self._since is None:
                self._since = now
            return
        if self._since is not None and now - self._since >= MIN_DURATION:
            self._usual += DURATION_WEIGHT * (now - self._since - self._usual)
        self._since = None

    def least_remaining(self, now):
        """Return for how many more seconds at least the primary cannot be used.

        The result is 0 if it can be used, and while a gap may still be a short one.
        """
        if self._since is None or now - self._since < MIN_DURATION:
            return 0.0
        return max(self._since + LEAST_SHARE * self._usual - now, 0.0)

    def expected_remaining(self, now):
        """Return for how many more seconds the primary probably cannot be used.

        It is longer than `least_remaining` in an outage that lasts longer than usual.
        Requests that wait already are held then, since it may end at any moment.
        """
        least = self.least_remaining(now)
        if self._since is None or now - self._since <= self._usual:
            return least
        return OVERDUE_SHARE * (now - self._since)
