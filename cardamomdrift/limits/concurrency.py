"""
Adaptive concurrency
====================

Limits the number of requests that one VM runs at an instance at once.  The limit grows
while statements take as long as on an idle instance, and shrinks when they queue in the
instance.  Requests then wait in this daemon, where priority and deadline are
considered.
"""

from dataclasses import dataclass

LATENCY_TOLERANCE = 2.0  # times the baseline; a slower statement shrinks the limit
LIMIT_INCREMENT = 0.2  # requests
DECREASE_FACTOR = 0.9
MIN_LIMIT = 1.0  # requests
BASELINE_WEIGHT = 0.01  # weight of a new measurement above the baseline


@dataclass(slots=True)
class ConcurrencyLimit:
    """Adaptive limit for one instance.

    Attributes
    ----------
    value : float
        Requests that may run at once.
    maximum : float
        Largest value.
    baseline : float or None
        Seconds that a short statement takes when the instance is not loaded.
    """

    value: float = 2.0
    maximum: float = 4.0
    baseline: float | None = None

    @property
    def current(self):
        """Limit as a whole number, at least 1."""
        return max(1, int(self.value))

    def set_maximum(self, maximum):
        """Set the largest value, and lower the limit to it."""
        self.maximum = max(MIN_LIMIT, maximum)
        self.value = min(self.value, self.maximum)

    def learn(self, elapsed, in_flight):
        """Adjust the limit to the time that a short statement took.

        Parameters
        ----------
        elapsed : float
            Seconds.
        in_flight : int
            Requests running at the instance when the statement started, itself
            included.
        """
        if self.baseline is None or elapsed < self.baseline:
            self.baseline = elapsed
        else:
            self.baseline += BASELINE_WEIGHT * (elapsed - self.baseline)
        if elapsed > LATENCY_TOLERANCE * self.baseline:
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
        elif in_flight >= self.current:
            self.value = min(self.maximum, self.value + LIMIT_INCREMENT)
