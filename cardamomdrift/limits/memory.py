"""
Memory budget
=============

One byte budget for a daemon.  What grows with its clients is held by a `MemoryHolder`,
one for each connection.  Near the budget nothing new grows first, then the holders that
hold most are closed.  Handles load of many clients that each stay within the limits of
a session but not all together.  Pure; nothing here closes or reads anything.
"""

import sys
from collections import deque
from contextvars import ContextVar

MEGABYTE = 1_000_000
DEFAULT_MEMORY_LIMIT = 400 * MEGABYTE  # below the 424 MB of the smallest machine
PROCESS_BYTES = 60 * MEGABYTE  # of the process without clients
MYSQL_PROCESS_BYTES = 90 * MEGABYTE  # of the process of the MySQL edge
# Part of the rest that may be held.  The other half is for copies while a message is
# parsed (five of a message of 1 MiB, each with four bytes a character) and for the
# allocator.
HELD_PART = 0.5
MINIMUM_CAPACITY = 16 * MEGABYTE  # below it a single large message might not pass
GROWTH_PART = 0.5  # of the capacity, above which nothing large grows
CLOSING_PART = 0.8  # of the capacity, above which connections are closed
SHARES = 4096  # guaranteed shares in the capacity
MINIMUM_SHARE = 8192  # bytes
SESSION_STATE_LIMIT = 16 * 1024 * 1024  # bytes of values and prepared statements
SESSION_STATE_PART = 0.25  # of the capacity, which bounds them on small machines
READ_SIZE = 64 * 1024  # bytes read from a socket at once
MINIMUM_READ_SIZE = 2048
READERS = 64  # connections that may read at once and stay below the limit together

UNREAD, UNSENT, STATE, REQUESTS, RECEIVED, ROWS, LOANS = PARTS = (
    "unread",
    "unsent",
    "state",
    "requests",
    "received",
    "rows",
    "loans",
)

# Holder on whose behalf the current task works; tasks that it starts inherit it.
CURRENT_HOLDER = ContextVar("current_holder", default=None)


def memory_size(text):
    """Return the bytes that a text takes in memory.

    A text with one character beyond the basic plane takes four bytes for each.
    """
    return sys.getsizeof(text)


class MemoryBudget:
    """Budget of a daemon, and what is held of it.

    Parameters
    ----------
    memory_limit : int or None
        Bytes that the process may use.
    process_bytes : int
        Bytes that it uses without clients.

    Attributes
    ----------
    capacity : int
        Bytes that may be held.
    share : int
        Bytes that a holder may always hold.
    state_limit : int
        Bytes of values and prepared statements of one session.
    held : int
    parts : dict of str to int
        Bytes held, by part.
    counts : dict of str to int
        Refusals, pauses and closed connections.
    reservations : int
        Large rows that are being received.
    on_pressure : callable or None
        Called when more is held than `closing_limit`.
    """

    def __init__(self, memory_limit=None, process_bytes=PROCESS_BYTES):
        limit = memory_limit or DEFAULT_MEMORY_LIMIT
        self.capacity = int(max((limit - process_bytes) * HELD_PART, MINIMUM_CAPACITY))
        self.growth_limit = int(self.capacity * GROWTH_PART)
        self.closing_limit = int(self.capacity * CLOSING_PART)
        self.share = max(MINIMUM_SHARE, self.capacity // SHARES)
        self.state_limit = min(
            SESSION_STATE_LIMIT, int(self.capacity * SESSION_STATE_PART)
        )
        self.held = 0
        self.parts = dict.fromkeys(PARTS, 0)
        self.counts = {"refused": 0, "paused": 0, "closed": 0}
        self.reservations = 0
        self.on_pressure = None
        self._waiting = deque()

    @property
    def tight(self):
        """Whether nothing large may grow."""
        return self.held >= self.growth_limit or bool(self._waiting)

    @property
    def read_size(self):
        """Bytes to read from a socket at once."""
        room = (self.growth_limit - self.held) // READERS
        return max(MINIMUM_READ_SIZE, min(READ_SIZE, room))

    def has_room(self, size):
        """Return whether a number of bytes may be added to what is held."""
        return size <= self.share or self.held + size <= self.growth_limit

    def change(self, part, size):
        """Add bytes, or take away if negative."""
        self.held += size
        self.parts[part] += size
        if size > 0:
            if self.held > self.closing_limit and self.on_pressure is not None:
                self.on_pressure()
        elif self._waiting and self.held < self.growth_limit:
            self.resume_next()

    def wait(self, resume):
        """Keep a callable to be called once there is room."""
        self.counts["paused"] += 1
        self._waiting.append(resume)

    def resume_next(self):
        """Call the callable that has waited longest, if there is room."""
        if self._waiting and self.held < self.growth_limit:
            self._waiting.popleft()()


class MemoryHolder:
    """What one connection holds of the budget.

    Parameters
    ----------
    budget : MemoryBudget
    """

    __slots__ = ("_closed", "_parts", "budget", "held")

    def __init__(self, budget):
        self._closed = False
        self._parts = {}
        self.budget = budget
        self.held = 0

    def set(self, part, size):
        """Set the bytes held in a part."""
        if self._closed:
            return
        difference = size - self._parts.get(part, 0)
        if difference:
            self._parts[part] = size
            self.held += difference
            self.budget.change(part, difference)

    def add(self, part, size):
        """Add to the bytes held in a part."""
        self.set(part, self._parts.get(part, 0) + size)

    def may_grow(self, size=0):
        """Return whether it may hold so many more bytes."""
        budget = self.budget
        if self.held + size <= budget.share:
            return True
        return budget.held + size <= budget.growth_limit

    def reserve(self, size):
        """Reserve memory for a large row; return whether there was room.

        One row may always be received, so that rows without room have their turn.
        """
        budget = self.budget
        if budget.reservations and not self.may_grow(size):
            return False
        budget.reservations += 1
        self.add(RECEIVED, size)
        return True

    def release(self, size):
        """Release the memory reserved for a row."""
        self.budget.reservations -= 1
        self.add(RECEIVED, -size)

    def close(self):
        """Hold nothing any more, whatever tasks that still run add."""
        for part in list(self._parts):
            self.set(part, 0)
        self._closed = True


def choose_victims(budget, holders):
    """Return the keys of the holders to close so that something can grow again.

    Idle holders that hold most come first, then the largest.  Holders within the
    guaranteed share are spared.

    Parameters
    ----------
    budget : MemoryBudget
    holders : iterable of (object, MemoryHolder, bool)
        Key, holder, and whether it is idle.
    """
    excess = budget.held - budget.growth_limit
    candidates = [entry for entry in holders if entry[1].held > budget.share]
    candidates.sort(key=lambda entry: (not entry[2], -entry[1].held))
    victims = []
    for key, holder, _ in candidates:
        if excess <= 0:
            break
        victims.append(key)
        excess -= holder.held
    return victims
