"""
Departures
==========

Measures how fast a queue empties.  The expected wait of a request follows from the
requests ahead of it and from this rate, which includes the load that other daemons put
on the same instances.

Load pattern: more requests than an instance serves, sent by many daemons, none of which
sees the whole load.
"""

import math

INTERVAL_WEIGHT = 0.1  # weight of a new interval
MIN_DEPARTURES = 4  # intervals measured before the mean is used
# Seconds.  After a longer time without a departure, nothing could run, which says
# nothing about the rate.
STALL_TIME = 0.3
VALIDITY = 2.0  # seconds after the last departure for which the mean is used


class DepartureMeter:
    """Mean time between departures while requests wait; times are in seconds."""

    def __init__(self):
        self._mean = 0.0
        self._measured = 0
        self._last_at = None
        self._waiting = False

    @classmethod
    def with_interval(cls, interval):
        """Return a meter whose mean time between departures does not change."""
        meter = cls()
        meter._mean, meter._measured = interval, MIN_DEPARTURES
        meter._last_at = math.inf
        return meter

    def record(self, waiting, now):
        """Record that a request left the queue in order to run.

        Parameters
        ----------
        waiting : bool
            Whether others still wait, so that the time to the next departure counts.
        now : float
        """
        if self._waiting and now - self._last_at <= STALL_TIME:
            self._measured += 1
            weight = max(INTERVAL_WEIGHT, 1.0 / self._measured)
            self._mean += weight * (now - self._last_at - self._mean)
        self._waiting = waiting
        self._last_at = now

    def interval(self, now):
        """Return the mean time between departures, or None if it is not known."""
        if self._measured < MIN_DEPARTURES or now - self._last_at > VALIDITY:
            return None
        return self._mean
