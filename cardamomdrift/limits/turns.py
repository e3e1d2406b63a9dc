"""
Turns
=====

Order of the waiting requests of one priority.  Callers take turns; customers take them
in proportion to their weights (start-time fair queueing).  A customer that has used
less than its part is next as soon as it has a request; one with many times its usual
load delays its own requests.

Load pattern: one customer sends many times its usual load.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field, replace
from math import floor

from cardamomdrift.limits.ticket import Ticket

# Weight of customers without a rate limit and of public routes, in operations per
# second: about the mean limit of a customer.
DEFAULT_WEIGHT = 8.5
# Requests that a customer may send at once after a pause before its part limits it.
# Without them a small customer's second request in a second is late in an overload.
SAVED_REQUESTS = 2.0
MAX_TAGS = 512  # turns whose tags are kept before the passed ones are dropped


def _weight(ticket):
    return DEFAULT_WEIGHT if ticket.weight is None else ticket.weight


@dataclass(frozen=True, slots=True)
class SavedLevel:
    """State of the Turns of one rank, as plain values.

    Attributes
    ----------
    rank : tuple of (int, int)
        See `Ticket.rank`.
    late : bool
    tickets : list of Ticket
        Without their payloads, in the order of their turns.
    tags : list of (str, bool, float)
        Caller, whether long, and tag of each turn.
    virtual : float
    """

    rank: tuple[int, int]
    late: bool
    tickets: list[Ticket]
    tags: list[tuple[str, bool, float]]
    virtual: float


@dataclass(slots=True)
class Turns:
    """Tickets of one priority, by turn.

    Tickets of customers have a weight.  As long as there was none, the next turn comes
    first in `queues`.

    Attributes
    ----------
    queues : OrderedDict of (str, bool) to deque of Ticket
    size : int
    """

    queues: OrderedDict = field(default_factory=OrderedDict)
    size: int = 0
    _tags: dict = field(default_factory=dict)
    _virtual: float = 0.0

    @property
    def weighted(self):
        """Whether requests of customers are or were among its tickets."""
        return bool(self._tags)

    def save(self, rank, late):
        """Return the SavedLevel of the present state."""
        tickets = [
            replace(ticket, payload=None)
            for waiting in self.queues.values()
            for ticket in waiting
        ]
        tags = [(*turn, tag) for turn, tag in self._tags.items()]
        return SavedLevel(rank, bool(late), tickets, tags, self._virtual)

    @classmethod
    def restore(cls, saved):
        """Return Turns in a saved state."""
        turns = cls(size=len(saved.tickets))
        for ticket in saved.tickets:
            turns.queues.setdefault(ticket.turn, deque()).append(ticket)
        turns._tags = {(caller, long): tag for caller, long, tag in saved.tags}
        turns._virtual = saved.virtual
        return turns

    def add(self, ticket):
        """Add a ticket at the end of its turn."""
        if self.weighted or ticket.weight is not None:
            self._tags[ticket.turn] = self._start_tag(ticket)
        self.queues.setdefault(ticket.turn, deque()).append(ticket)
        self.size += 1
        if len(self._tags) > MAX_TAGS:
            self._drop_passed_tags()

    def remove(self, ticket):
        """Remove a ticket; return whether it was there."""
        waiting = self.queues.get(ticket.turn, ())
        if ticket not in waiting:
            return False
        waiting.remove(ticket)
        if not waiting:
            del self.queues[ticket.turn]
        self.size -= 1
        return True

    def order(self):
        """Return the turns; the next one comes first."""
        turns = list(self.queues)
        return sorted(turns, key=self._tag) if self.weighted else turns

    def record_taken(self, ticket):
        """Record that a ticket is taken, before it is removed."""
        if not self.weighted:
            self.queues.move_to_end(ticket.turn)
            return
        tag = self._tag(ticket.turn)
        self._virtual = max(self._virtual, tag)
        self._tags[ticket.turn] = tag + 1.0 / _weight(ticket)

    def count_ahead(self, ticket):
        """Return how many tickets go before a new one."""
        if not self.weighted and ticket.weight is None:
            return self.size
        own = len(self.queues.get(ticket.turn, ()))
        start = self._start_tag(ticket) + own / _weight(ticket)
        ahead = own
        for turn, waiting in self.queues.items():
            tag = self._tag(turn)
            if turn != ticket.turn and tag <= start:
                allowed = floor((start - tag) * _weight(waiting[0])) + 1
                ahead += min(len(waiting), allowed)
        return ahead

    def last_of_largest(self, than=None):
        """Return the newest ticket of the largest turn for its weight, or None.

        Parameters
        ----------
        than : Ticket, optional
            A turn must be larger for its weight than this ticket's with the ticket.
        """
        limit = 0.0
        if than is not None:
            limit = (len(self.queues.get(than.turn, ())) + 1) / _weight(than)
        turn = max(self.queues, key=self._load, default=None)
        if turn is None or self._load(turn) <= limit:
            return None
        return self.queues[turn][-1]

    def _load(self, turn):
        waiting = self.queues[turn]
        return len(waiting) / _weight(waiting[0])

    def _tag(self, turn):
        """Return the tag of a turn's next ticket; the lowest one is next."""
        return self._tags.get(turn, 0.0)

    def _start_tag(self, ticket):
        """Return the tag of the next ticket of a turn, which may have been empty."""
        tag = self._tag(ticket.turn)
        if ticket.turn in self.queues:
            return tag
        return max(tag, self._virtual - SAVED_REQUESTS / _weight(ticket))

    def _drop_passed_tags(self):
        self._tags = {
            turn: tag
            for turn, tag in self._tags.items()
            if turn in self.queues or tag > self._virtual
        }
