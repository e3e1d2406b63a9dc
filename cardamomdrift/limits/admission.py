"""
Admission
=========

A bounded queue of requests that wait for an instance.  Requests that can still be
answered within their target latency go before those that are late already.  Then
requests with a higher priority go first.  Within a priority, the callers take turns,
and customers in proportion to their weights; see `limits.turns`.  Among the requests of
one caller, the policy decides.  A request that cannot finish before its deadline is
refused immediately.

Load pattern: a burst of more requests than the instances serve.  In the order of
arrival, all would be answered shortly before their deadlines, and none within its
target latency.
"""

from dataclasses import dataclass
from itertools import islice

from cardamomdrift.limits.departures import DepartureMeter
from cardamomdrift.limits.judgement import Judgement, Queued, Refused
from cardamomdrift.limits.ticket import Ticket
from cardamomdrift.limits.turns import DEFAULT_WEIGHT, SavedLevel, Turns

MAX_SCANNED_TURNS = 16  # turns tried for each request taken
MAX_SCANNED_REQUESTS = 3  # requests tried in each turn
# When a request starts, this many times its expected service time must be left before
# the deadline.
COST_SAFETY_FACTOR = 1.5
MIN_WEIGHT = 0.1  # operations per second
OVERLOAD_WAIT = 0.1  # seconds; see Adaptive
OVERLOAD_INTERVAL = 0.2  # seconds; see Adaptive


@dataclass(frozen=True, slots=True)
class Fifo:
    """Oldest request first."""


@dataclass(frozen=True, slots=True)
class NewestFirst:
    """Newest request first."""


@dataclass(frozen=True, slots=True)
class Adaptive:
    """Oldest request first, but newest first during an overload.

    Attributes
    ----------
    wait : float
        The queue is overloaded if the shortest wait of an interval is longer than this,
        in seconds.
    interval : float
        Length of an interval, in seconds.
    """

    wait: float = OVERLOAD_WAIT
    interval: float = OVERLOAD_INTERVAL


def make_ticket(request, cost, long=False, aim_at=None):
    """Return a ticket for a request.

    Parameters
    ----------
    request : ReadRequest or WriteRequest or TransactionRequest or StatementRequest
    cost : float
        Expected service time in seconds.
    long : bool
    aim_at : float, optional
        When it should be answered.
    """
    customer = getattr(request, "customer", None)
    return Ticket(
        caller=request.caller,
        priority=request.priority,
        arrived_at=request.arrived_at,
        deadline_at=request.deadline_at,
        cost=cost,
        long=long,
        aim_at=aim_at,
        customer_priority=customer.priority if customer else 0,
        weight=weight_of(customer),
    )


def weight_of(customer):
    """Return the weight of a customer's turns; None without a customer."""
    if customer is None:
        return None
    rate = DEFAULT_WEIGHT if customer.rate is None else customer.rate
    return max(rate, MIN_WEIGHT)


@dataclass(frozen=True, slots=True)
class SavedQueue:
    """State of a queue at one time, as plain values.

    Attributes
    ----------
    limit : int
    newest_first : bool
    interval : float or None
        Mean seconds between departures.
    levels : list of SavedLevel
    """

    limit: int
    newest_first: bool
    interval: float | None
    levels: list[SavedLevel]


class AdmissionQueue:
    """Queue of the requests of one group that wait for an instance.

    Parameters
    ----------
    limit : int
        Largest number of waiting requests.
    policy : Fifo or NewestFirst or Adaptive
    """

    def __init__(self, limit, policy):
        self._limit = limit
        self._policy = policy
        self._timely = {}
        self._late = {}
        self._departures = DepartureMeter()
        self._size = 0
        self._work = 0.0
        self._shortest_wait = None
        self._interval_end = 0.0
        self._overloaded = False
        self._scan_begin = 0

    def __len__(self):
        return self._size

    def payloads(self):
        """Return the payloads of the waiting requests."""
        waiting = [
            tickets
            for level in self._levels_in_order()
            for tickets in level.queues.values()
        ]
        return [ticket.payload for tickets in waiting for ticket in tickets]

    @property
    def work(self):
        """Expected service time of all waiting requests, in seconds."""
        return self._work

    @property
    def overloaded(self):
        """Whether even the shortest wait of the last interval was too long."""
        return self._overloaded

    def save(self, now):
        """Return the SavedQueue of the present state."""
        return SavedQueue(
            self._limit,
            self._is_newest_first(),
            self._departures.interval(now),
            [
                level.save(rank, late)
                for late, levels in enumerate((self._timely, self._late))
                for rank, level in levels.items()
            ],
        )

    @classmethod
    def restore(cls, saved):
        """Return a queue in a saved state, whose departures go on at their rate."""
        queue = cls(saved.limit, NewestFirst() if saved.newest_first else Fifo())
        if saved.interval is not None:
            queue._departures = DepartureMeter.with_interval(saved.interval)
        for level in saved.levels:
            levels = queue._late if level.late else queue._timely
            levels[tuple(level.rank)] = Turns.restore(level)
            queue._size += len(level.tickets)
            queue._work += sum(ticket.cost for ticket in level.tickets)
        return queue

    def offer(self, ticket, now, concurrency):
        """Queue or refuse a request as `judge` decides; return Queued or Refused."""
        judgement = self.judge(ticket, now, concurrency)
        self.apply(ticket, judgement)
        return judgement.decision

    def judge(self, ticket, now, concurrency):
        """Decide whether to queue a request, without changing the queue or the ticket.

        Parameters
        ----------
        ticket : Ticket
        now : float
        concurrency : float
            Number of requests that the group is expected to run at once for this VM.

        Returns
        -------
        Judgement
        """
        ahead = self._count_waiting_before(ticket, late=False)
        wait = self._expected_wait(ahead, now, concurrency)
        late = not ticket.meets_aim(now + wait)
        if late and wait and self._has_timely():
            # The caller may still be answered in time by another daemon.
            refused = Refused("the request would be answered late", wait)
            return Judgement(refused, late, wait, ahead)
        if late:
            ahead = self._count_waiting_before(ticket, late)
            wait = self._expected_wait(ahead, now, concurrency)
        # Checked first: a request that is refused must not evict another one.
        if now + wait + COST_SAFETY_FACTOR * ticket.cost > ticket.deadline_at:
            refused = Refused("the request cannot finish before its deadline", wait)
            return Judgement(refused, late, wait, ahead)
        evicted, reason = None, ""
        if self._size >= self._limit:
            evicted, reason = self._find_evicted(ticket)
            if evicted is None:
                refused = Refused("the queue is full", wait)
                return Judgement(refused, late, wait, ahead)
        return Judgement(Queued(), late, wait, ahead, evicted, reason)

    def apply(self, ticket, judgement):
        """Carry out a judgement that was made about a request just now."""
        ticket.late = judgement.late
        evicted = judgement.evicted
        if evicted is not None:
            self.remove(evicted)
            if evicted.payload is not None:
                evicted.payload.evict(judgement.reason)
        if isinstance(judgement.decision, Queued):
            self._level_of(ticket).add(ticket)
            self._size += 1
            self._work += ticket.cost

    def _has_timely(self):
        return any(level.size for level in self._timely.values())

    def _level_of(self, ticket):
        levels = self._late if ticket.late else self._timely
        return levels.setdefault(ticket.rank, Turns())

    def _count_waiting_before(self, ticket, late):
        """Return the number of waiting requests that go before a new one."""
        if self._is_newest_first():
            return 0
        if not late:
            return self._count_ahead(self._timely, ticket)
        timely = sum(level.size for level in self._timely.values())
        return timely + self._count_ahead(self._late, ticket)

    def _expected_wait(self, ahead, now, concurrency):
        """Return the seconds until a request is expected to start.

        The measured departures count, if there are some; otherwise the expected service
        times of the requests ahead.
        """
        interval = self._departures.interval(now)
        if interval is None:
            average = self._work / self._size if self._size else 0.0
            interval = average / max(concurrency, 1.0)
        return ahead * interval

    @staticmethod
    def _count_ahead(levels, ticket):
        """Return the number of tickets of the same priority or of a higher one."""
        ahead = sum(level.size for rank, level in levels.items() if rank > ticket.rank)
        level = levels.get(ticket.rank)
        return ahead if level is None else ahead + level.count_ahead(ticket)

    def _find_evicted(self, ticket):
        """Return the request that leaves its place to another one, and the reason.

        It has the lowest rank, below the given ticket's, or it belongs to a customer
        that has more requests for its weight.  A late one is evicted first, the newest
        request of the longest turn.  None if there is none.
        """
        candidates = [
            (rank, timely, level)
            for timely, levels in enumerate((self._late, self._timely))
            for rank, level in levels.items()
            if level.size
        ]
        lowest, _, level = min(
            candidates, key=lambda entry: entry[:2], default=(ticket.rank, 0, None)
        )
        evicted, reason = None, "a request of higher priority came"
        if lowest < ticket.rank:
            evicted = level.last_of_largest()
        elif lowest == ticket.rank and ticket.weight is not None and level is not None:
            evicted = level.last_of_largest(than=ticket)
            reason = "the customer has too many waiting requests"
        return evicted, reason

    def remove(self, ticket):
        """Remove a request from the queue; return whether it was there."""
        if not self._level_of(ticket).remove(ticket):
            return False
        self._size -= 1
        self._work = max(0.0, self._work - ticket.cost) if self._size else 0.0
        return True

    def take(self, now, admissible):
        """Remove and return the next ticket that can start, or None.

        Parameters
        ----------
        now : float
        admissible : callable
            Takes a ticket.  Returns whether it can start now.
        """
        self._demote_late(now)
        turns = [
            (level, turn) for level in self._levels_in_order() for turn in level.order()
        ]
        begin = self._scan_begin if self._scan_begin < len(turns) else 0
        for level, turn in turns[begin : begin + MAX_SCANNED_TURNS]:
            ticket = self._first_admissible(level.queues[turn], admissible)
            if ticket is not None:
                self._scan_begin = 0
                level.record_taken(ticket)
                self.remove(ticket)
                self._departures.record(self._size > 0, now)
                self._update_overload(now - ticket.arrived_at, now)
                return ticket
        if any(level.weighted for level, _ in turns):
            # The next call continues here, so that requests of many customers that
            # wait for another instance do not hide the others.
            self._scan_begin = begin + MAX_SCANNED_TURNS
        return None

    def _levels_in_order(self):
        """Return all levels; the one whose requests go first comes first."""
        return [
            levels[rank]
            for levels in (self._timely, self._late)
            for rank in sorted(levels, reverse=True)
        ]

    def _demote_late(self, now):
        """Move requests that cannot be answered in time any more to the late ones.

        Only the next turns are looked at, which have waited longest.
        """
        for level in self._timely.values():
            for turn in level.order()[:MAX_SCANNED_TURNS]:
                for ticket in list(level.queues[turn]):
                    if not ticket.meets_aim(now):
                        level.remove(ticket)
                        ticket.late = True
                        self._level_of(ticket).add(ticket)

    def _first_admissible(self, waiting, admissible):
        """Return the first ticket of a turn that can start, or None."""
        ordered = reversed(waiting) if self._is_newest_first() else waiting
        for ticket in islice(ordered, MAX_SCANNED_REQUESTS):
            if admissible(ticket):
                return ticket
        return None

    def _is_newest_first(self):
        match self._policy:
            case Fifo():
                return False
            case NewestFirst():
                return True
            case Adaptive():
                return self._overloaded

    def _update_overload(self, wait, now):
        if not isinstance(self._policy, Adaptive):
            return
        if self._shortest_wait is None or wait < self._shortest_wait:
            self._shortest_wait = wait
        if now < self._interval_end:
            return
        # Newest-first order keeps the shortest wait low, so the end of an overload is
        # seen from the backlog.
        limit = self._policy.wait
        self._overloaded = self._shortest_wait > limit or (
            self._overloaded and self._work > limit
        )
        self._shortest_wait = None
        self._interval_end = now + self._policy.interval

    def remove_expired(self, now, start_delay=None):
        """Remove and return the requests that cannot finish before their deadline.

        Parameters
        ----------
        now : float
        start_delay : callable, optional
            Takes a ticket.  Returns for how many seconds it cannot start in any case.
        """
        late = [
            ticket
            for level in self._levels_in_order()
            for waiting in level.queues.values()
            for ticket in waiting
            if now
            + (start_delay(ticket) if start_delay else 0.0)
            + COST_SAFETY_FACTOR * ticket.cost
            > ticket.deadline_at
        ]
        for ticket in late:
            self.remove(ticket)
        return late
