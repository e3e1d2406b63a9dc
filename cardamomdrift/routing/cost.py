"""
Statement cost
==============

Learns the service time of each statement shape, classifies shapes as long or short, and
determines the instances on which long statements may run.  A shape is the key under
which statements are grouped: their text without literals, or their database.
"""

from collections import OrderedDict
from dataclasses import dataclass

from cardamomdrift.membership.rendezvous import rank

SHAPE_LIMIT = 2048  # shapes
FALL_WEIGHT = 0.9  # weight of a new measurement below the unloaded time
RECENT_WEIGHT = 0.2  # weight of a new measurement in the recent time
RISE_WEIGHT = 0.02  # weight of a new measurement above the unloaded time
TYPICAL_WEIGHT = 0.05  # weight of a new measurement in the typical time
LONG_FACTOR = 8.0  # times the typical time
LONG_MINIMUM = 0.05  # seconds
LONG_PENALTY_TIME = 10.0  # seconds after a long statement
LONG_PENALTY_SHARE = 0.25  # of the time of a long statement
MINIMUM_ATTEMPT_TIMEOUT = 1.0  # seconds
ATTEMPT_TIMEOUT_FACTOR = 20.0  # times the expected time
ATTEMPT_TIMEOUT_GROWTH = 3.0  # times, for each failed attempt
INITIAL_ESTIMATE = 0.005  # seconds


@dataclass(slots=True)
class _ShapeTimes:
    """Expected seconds of one shape: without other load, and under recent load."""

    unloaded: float
    recent: float


class CostEstimator:
    """Expected service times by shape; drops the shapes that ran least recently."""

    def __init__(self):
        self._times = OrderedDict()
        self._typical = INITIAL_ESTIMATE
        self._last_long_at = None
        self._last_long_elapsed = 0.0

    @property
    def typical(self):
        """Seconds that a short statement typically takes."""
        return self._typical

    def long_replica_penalty(self, now):
        """Return the expected seconds of delay of a short statement behind long ones.

        It applies to the replica to which all VMs send long statements.
        """
        if self._last_long_at is None or now - self._last_long_at > LONG_PENALTY_TIME:
            return 0.0
        return self._last_long_elapsed * LONG_PENALTY_SHARE

    def record_long(self, elapsed, now):
        """Record that a long statement ran."""
        self._last_long_at = now
        self._last_long_elapsed = elapsed

    def expected(self, shape):
        """Return the expected seconds of a shape under recent load."""
        times = self._times.get(shape)
        return self._typical if times is None else times.recent

    def is_long(self, shape):
        """Return whether statements of the shape run many times longer than usual."""
        times = self._times.get(shape)
        if times is None:
            return False
        return times.unloaded > max(LONG_MINIMUM, LONG_FACTOR * self._typical)

    def learn(self, shape, elapsed):
        """Update the estimates with the seconds that a statement took.

        A short statement that waited behind a long one must not be classified as long,
        so the estimate without load falls fast and rises slowly.
        """
        times = self._times.pop(shape, None) or _ShapeTimes(elapsed, elapsed)
        weight = FALL_WEIGHT if elapsed < times.unloaded else RISE_WEIGHT
        times.unloaded += weight * (elapsed - times.unloaded)
        times.recent += RECENT_WEIGHT * (elapsed - times.recent)
        self._times[shape] = times
        if len(self._times) > SHAPE_LIMIT:
            self._times.popitem(last=False)
        if elapsed <= max(LONG_MINIMUM, LONG_FACTOR * self._typical):
            self._typical += TYPICAL_WEIGHT * (elapsed - self._typical)


def attempt_timeout(expected, failures):
    """Return the seconds after which an attempt is given up for another one.

    Parameters
    ----------
    expected : float
        Expected seconds of the statement.
    failures : int
        Number of failed attempts; each lengthens the timeout of the next one.
    """
    return (
        max(MINIMUM_ATTEMPT_TIMEOUT, ATTEMPT_TIMEOUT_FACTOR * expected)
        * ATTEMPT_TIMEOUT_GROWTH**failures
    )


def choose_long_replica(group, replicas):
    """Return the replica that takes the long statements of every VM, or None."""
    return rank(group, replicas)[0] if replicas else None


def instances_for_long(group, replicas, vm, members):
    """Return the instances on which this VM may run long statements.

    One replica takes the long statements of every VM; on each other replica one VM may
    run them.  All VMs compute the same result, so they need no agreement.

    Parameters
    ----------
    group : str
    replicas : sequence of str
        Names of the replicas that can serve.
    vm : str
        Name of this VM.
    members : sequence of str
        Names of all VMs.
    """
    if not replicas:
        return frozenset()
    long_replica = choose_long_replica(group, replicas)
    allowed = {long_replica}
    for replica in replicas:
        if rank(f"{group}/{replica}", members)[0] == vm:
            allowed.add(replica)
    return frozenset(allowed)
