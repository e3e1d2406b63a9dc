"""
Retry budget
============

Limits retries and hedged requests to a share of the recent first attempts, so that they
do not add much load during an outage.  A retry that was served returns a part of its
token, since it shows that there is room.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Load pattern: the load of a group is divided among many daemons.  Each earns few
    tokens, so after an overload it refuses reads for lack of tokens long after the
    instances have room again.  Served retries take little, so one token lasts.

    Attributes
    ----------
    share : float
        Tokens added for each first attempt.
    limit : float
        Capacity of the bucket.
    tokens : float
        Tokens left; a retry takes one.
    refunded : float
        Tokens returned for a retry that was served.
    """

    share: float = 0.1
    limit: float = 20.0
    tokens: float = 20.0
    refunded: float = 0.8

    def earn(self):
        """Add the tokens of a first attempt."""
        self.tokens = min(self.limit, self.tokens + self.share)

    def spend(self):
        """Take the token of a retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self):
        """Return the part of a token for a retry that was served."""
        self.tokens = min(self.limit, self.tokens + self.refunded)
