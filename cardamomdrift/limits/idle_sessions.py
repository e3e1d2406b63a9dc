"""
Idle sessions
=============

Chooses the idle sessions of callers that are closed when a daemon has no connection
left for new callers.  Pure.
"""

import heapq
from collections import Counter, defaultdict, deque
from dataclasses import dataclass

IDLE_TIME = 5.0  # seconds without a statement, before which a session is never closed
# Seconds after its start for a session that has never sent a statement.  Ordinary
# callers open sessions when they have a statement, or well before it.
UNUSED_TIME = 0.5


@dataclass(slots=True)
class SessionUse:
    """Use of one session.

    Attributes
    ----------
    owner : str
        Customer, or source address without customers.
    since : float
        When it started, or sent its last statement.
    unused : bool
        Whether it has sent no statement yet.
    """

    owner: str
    since: float
    unused: bool = True

    def record_statement(self, now):
        """Record that a statement was sent, or that it has ended."""
        self.since = now
        self.unused = False

    def idle_time_over(self, now):
        """Return whether it has been idle long enough to be closed."""
        return now - self.since >= (UNUSED_TIME if self.unused else IDLE_TIME)


def choose_idle(sessions, closable, now, count):
    """Return the keys of the idle sessions that are to be closed, in their order.

    The next one is always the session that has been idle longest, of the owner that has
    most sessions then.

    Parameters
    ----------
    sessions : dict of object to SessionUse
        All sessions that have started.
    closable : callable
        Returns whether nothing but an idle session is lost with a key.
    now : float
    count : int
        Keys to return at most.
    """
    totals = Counter(use.owner for use in sessions.values())
    idle = defaultdict(list)
    for key, use in sessions.items():
        if use.idle_time_over(now) and closable(key):
            idle[use.owner].append(key)
    queues = {}
    for owner, keys in idle.items():
        keys.sort(key=lambda key: sessions[key].since)
        queues[owner] = deque(keys)
    heap = [
        (-totals[owner], sessions[keys[0]].since, owner)
        for owner, keys in queues.items()
    ]
    heapq.heapify(heap)
    chosen = []
    while heap and len(chosen) < count:
        negative_total, _, owner = heapq.heappop(heap)
        keys = queues[owner]
        chosen.append(keys.popleft())
        if keys:
            entry = (negative_total + 1, sessions[keys[0]].since, owner)
            heapq.heappush(heap, entry)
    return chosen
