"""
Adaptive concurrency
====================

Limits how many requests one VM runs at an instance at once.  The limit grows while
statements take no longer than they do alone and shrinks when they queue in the
instance, so that waiting happens here, where priority and deadlines count.
"""

from dataclasses import dataclass

LATENCY_TOLERANCE = 2.0
LIMIT_INCREMENT = 0.2
DECREASE_FACTOR = 0.9
MIN_LIMIT = 1.0
BASELINE_WEIGHT = 0.01


@dataclass(slots=True)
class ConcurrencyLimit:
    """Limit for one instance.

    Attributes
    ----------
    value : float
        Requests that may run at once.
    maximum : float
        Largest value.
    baseline : float or None
        Ratio of measured to expected time when the instance is not loaded.
    """

    value: float = 2.0
    maximum: float = 4.0
    baseline: float | None = None

    @property
    def current(self):
        """Whole number of requests that may run at once."""
        return max(1, int(self.value))

    def set_maximum(self, maximum):
        """Change the largest value."""
        self.maximum = max(MIN_LIMIT, maximum)
        self.value = min(self.value, self.maximum)

    def learn(self, elapsed, in_flight):
        """Take in the seconds that a short statement took.

        Parameters
        ----------
        elapsed : float
        in_flight : int
            Requests that ran at the instance when it started, itself included.
        """
        if self.baseline is None or elapsed < self.baseline:
            self.baseline = elapsed
        else:
            self.baseline += BASELINE_WEIGHT * (elapsed - self.baseline)
        if elapsed > LATENCY_TOLERANCE * self.baseline:
            self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
        elif in_flight >= self.current:
            self.value = min(self.maximum, self.value + LIMIT_INCREMENT)
