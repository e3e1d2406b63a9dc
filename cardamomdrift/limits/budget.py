"""
Retry budget
============

Bounds retries and hedges to a share of recent first attempts, so that an outage is not
made worse by them.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Attributes
    ----------
    share : float
        Retries allowed for each first attempt.
    limit : float
        Largest number of retries saved up.
    tokens : float
        Retries left.
    """

    share: float = 0.1
    limit: float = 20.0
    tokens: float = 20.0

    def earn(self):
        """Note a first attempt."""
        self.tokens = min(self.limit, self.tokens + self.share)

    def spend(self):
        """Take a retry; return whether there was one left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
