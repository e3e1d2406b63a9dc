"""
Back-off after refused connections
==================================

An instance that has too many connections refuses further ones.  Then none is opened for
a while, whatever it is for: each attempt occupies a slot of the instance.
"""

import random

REFUSAL_BACKOFF = 0.2  # seconds without new connections after the first refusal
# Seconds.  An instance keeps the connections of a VM that lost power for 3 s; meanwhile
# two attempts in this time are enough to find that it has room again.
REFUSAL_BACKOFF_LIMIT = 1.6
# Seconds, for a pool without any connection.  After a loss of power of all VMs nobody
# has one to lend, and with the limit above a small fleet would wait 1 s longer.
EMPTY_POOL_LIMIT = 0.4
# Part of each back-off that is drawn at random, so that daemons that were refused at
# the same time do not try again at the same time.
RANDOM_PART = 0.25


class RefusalBackoff:
    """Back-off of one daemon from opening connections to one instance.

    Parameters
    ----------
    clock : callable
    limit : callable
        Returns the seconds up to which further refusals double the back-off.
    draw : callable
        Returns a random number from 0 to 1.

    Attributes
    ----------
    refusals : int
        Number of connections that were refused.
    """

    def __init__(self, clock, limit=lambda: REFUSAL_BACKOFF_LIMIT, draw=random.random):
        self._clock = clock
        self._limit = limit
        self._draw = draw
        self._next = REFUSAL_BACKOFF
        self._refused_at = 0.0
        self._until = 0.0
        self.refusals = 0

    @property
    def active(self):
        """Whether no connection is to be opened now."""
        return self._clock() < self._until

    def record_refusal(self, begun_at):
        """Begin a back-off, or a longer one after a further refusal.

        Parameters
        ----------
        begun_at : float
            When the attempt began.  Attempts that ran at the same time as one that was
            refused show nothing new.
        """
        self.refusals += 1
        if begun_at < self._refused_at:
            return
        now = self._clock()
        self._refused_at = now
        pause = min(self._next, self._limit())
        self._until = now + pause * (1.0 - RANDOM_PART * self._draw())
        self._next = 2 * pause

    def record_success(self):
        """End the back-off, since the instance has accepted a connection."""
        self._until = 0.0
        self._next = REFUSAL_BACKOFF


def make_backoff(clock, has_loans, has_connections):
    """Return the RefusalBackoff of a pool.

    Without loans, only new connections can serve requests and probes, so that further
    refusals make it no longer.

    Parameters
    ----------
    clock : callable
    has_loans : bool
    has_connections : callable
        Whether the pool has a connection.
    """

    def find_limit():
        if not has_loans:
            return REFUSAL_BACKOFF
        return REFUSAL_BACKOFF_LIMIT if has_connections() else EMPTY_POOL_LIMIT

    return RefusalBackoff(clock, find_limit)
