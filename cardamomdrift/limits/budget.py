"""
Retry budget
============

Limits retries and hedged requests to a share of the recent first attempts, so that they
do not add much load during an outage.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Attributes
    ----------
    share : float
        Tokens added for each first attempt.
    limit : float
        Capacity of the bucket.
    tokens : float
        Tokens left; a retry takes one.
    """

    share: float = 0.1
    limit: float = 20.0
    tokens: float = 20.0

    def earn(self):
        """Add the tokens of a first attempt."""
        self.tokens = min(self.limit, self.tokens + self.share)

    def spend(self):
        """Take the token of a retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
