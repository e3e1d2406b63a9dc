"""
Waiters of a pool
=================

Requests that wait for a connection, in the order of their turns.
"""

import asyncio
from bisect import insort
from dataclasses import dataclass
from enum import Enum, auto
from itertools import count


class Grant(Enum):
    """What a waiter receives if it is not a connection of its customer."""

    WAKE = auto()  # try again; a connection or a place may have become free
    PLACE = auto()  # open a connection; its place within the limit is reserved


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits; its future receives a connection or a Grant."""

    turn: int
    customer: str
    future: asyncio.Future

    @property
    def granted(self):
        """Whether the future has received something."""
        return self.future.done() and not self.future.cancelled()


class WaiterQueue:
    """Waiting requests; those with earlier turns come first."""

    def __init__(self):
        self._waiters = []
        self._turns = count()

    def __len__(self):
        return len(self._waiters)

    def next_turn(self):
        """Return a turn after all others."""
        return next(self._turns)

    async def wait(self, give_up_at, customer, turn, take_back):
        """Wait for a grant; return a connection or Grant, or None if none came in time.

        Parameters
        ----------
        give_up_at : float
        customer : str
        turn : int
            Turn from `next_turn`.
        take_back : callable
            Receives what was granted if the request is cancelled at that moment.
        """
        waiter = Waiter(turn, customer, asyncio.get_running_loop().create_future())
        insort(self._waiters, waiter, key=lambda other: other.turn)
        try:
            async with asyncio.timeout_at(give_up_at):
                await waiter.future
        except TimeoutError:
            if not waiter.granted:
                return None
        except BaseException:
            if waiter.granted:
                take_back(waiter.future.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return waiter.future.result()

    def first(self, customer=None):
        """Return the first waiter, or the first of a customer, or None."""
        for waiter in self._waiters:
            if not waiter.future.done() and customer in (None, waiter.customer):
                return waiter
        return None

    def grant(self, waiter, result):
        """Remove a waiter, and give it a connection or a Grant."""
        self._waiters.remove(waiter)
        waiter.future.set_result(result)
