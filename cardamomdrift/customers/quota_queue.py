"""
Operations that wait for a token
================================

The operations of one customer that wait at one daemon, in order of arrival.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

# Seconds before its deadline at which an operation no longer waits for a token: it
# still has to be sent and answered.
SERVICE_TIME = 0.02


@dataclass(slots=True, eq=False)
class Waiter:
    """An operation that waits.

    Attributes
    ----------
    token : asyncio.Future
        Set to where the token came from and its end.
    until : float
        When it waits no longer.
    awaits_start : bool
        Whether it has waited for a home that did not grant yet.  It then also waits for
        the tokens that follow the home's first grant.
    asked : bool
        Whether the home has been asked for a token for it.
    """

    token: asyncio.Future
    until: float
    awaits_start: bool
    asked: bool = False


class QuotaQueue:
    """Waiting operations of one customer."""

    def __init__(self):
        self._waiters = deque()

    def __len__(self):
        return len(self._waiters)

    @property
    def awaits_start(self):
        """Whether the first operation has waited for a home that did not grant yet."""
        self._drop_done()
        return bool(self._waiters) and self._waiters[0].awaits_start

    @property
    def until(self):
        """When the first operation that does so waits no longer."""
        return min(waiter.until for waiter in self._waiters)

    def add(self, deadline_at, awaits_start):
        """Return a future for the token of an operation that begins to wait."""
        token = asyncio.get_running_loop().create_future()
        self._waiters.append(Waiter(token, deadline_at - SERVICE_TIME, awaits_start))
        return token

    def take_first(self):
        """Remove and return the first operation that still waits, or None."""
        self._drop_done()
        return self._waiters.popleft() if self._waiters else None

    def remove(self, should_remove):
        """Remove some of the operations and return them.

        Parameters
        ----------
        should_remove : callable
            Takes a Waiter and the number of operations that remain before it.
        """
        removed, kept = [], deque()
        for waiter in self._waiters:
            if waiter.token.done():
                continue
            if should_remove(waiter, len(kept)):
                removed.append(waiter)
            else:
                kept.append(waiter)
        self._waiters = kept
        return removed

    def note_asked(self):
        """Note that the home is asked for a token for each operation."""
        for waiter in self._waiters:
            waiter.asked = True

    def note_start(self):
        """Note that the home does not grant yet."""
        for waiter in self._waiters:
            waiter.awaits_start = True

    def fail(self, make_error):
        """Refuse all operations."""
        while (waiter := self.take_first()) is not None:
            waiter.token.set_exception(make_error())

    def _drop_done(self):
        # The caller of an operation that was cancelled has gone.
        while self._waiters and self._waiters[0].token.done():
            self._waiters.popleft()
