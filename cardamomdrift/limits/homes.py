"""
Homes of customers
==================

Chooses the daemon that grants the credit of each customer, and decides when this daemon
may grant.  Pure: times are passed in, in seconds of the boot clock.

The home is the first member in the customer's rendezvous order.  A home that dies stays
a member for 8 s.  Before that, the member of rank k, its deputy, grants while a
majority of the voters has heard none of the members before it for ``SILENCE_TIME``.
Each of these grants only while a majority has echoed what it sent less than
``ECHO_VALIDITY`` ago, so one of the voters would have heard it; and when it is heard
again, it waits for ``START_HOLD_TIME``, longer than the voters' word counts.

A daemon that has just started knows the members from the store at once, while others
may not count it yet: its former home learns of it from a voter, with the voter's next
heartbeat, or 1.2 s after the voter has heard it if that datagram is lost.  The daemon
itself is proved a round trip after the voters have heard it at the earliest.
``START_HOLD_TIME`` and the overlap of two homes for 0.3 s cover both cases.

With evidence that all daemons have restarted (`peers.restart`), there is no former home
and no hold.
"""

import math
from dataclasses import dataclass, replace
from heapq import nsmallest

from cardamomdrift.limits.quota import HOLD_TIME, OVERLAP_TIME
from cardamomdrift.util import hash_number, seconds

# Seconds for which a voter's echo permits grants; four heartbeats, as a permission.
ECHO_VALIDITY = 1.2
SILENCE_TIME = ECHO_VALIDITY + 0.3  # seconds; a voter's answer takes up to 0.1 s
VOUCH_TIME = 0.6  # seconds for which the voters' word on a silent home counts
# Seconds from the first proof of a home to its regular grants.  Longer than VOUCH_TIME,
# and at most 0.3 s shorter than a repeated list of the members takes.
START_HOLD_TIME = 0.9
# Members that may grant a customer's credit.  If half of the daemons are cut off, all
# of them are for one customer in 256.
MAX_GRANTORS = 8


def majority_of(count):
    """Return how many of ``count`` voters any other majority shares a voter with."""
    return count // 2 + 1


def echoed_by_majority_at(roster, now):
    """Return when this daemon sent the newest stamp that a majority of voters echoed.

    Minus infinity if no voters are known or too few of them have answered.

    Parameters
    ----------
    roster : Roster
    now : float
    """
    names = roster.voters.names
    if not names:
        return -math.inf
    times = []
    for name in names:
        peer = roster.peers.get(name)
        if name == roster.vm:
            times.append(now)
        elif peer is None or peer.earliest_sent_at is None:
            times.append(-math.inf)
        else:
            times.append(min(seconds(peer.heartbeat.echo), now))
    return sorted(times, reverse=True)[majority_of(len(names)) - 1]


@dataclass(frozen=True, slots=True)
class HomeChange:
    """Number of customers whose home this daemon has become or ceased to be."""

    gained: int
    lost: int


@dataclass(frozen=True, slots=True)
class Tenure:
    """Time in which this daemon alone may grant; its bucket fills from ``since`` on.

    Attributes
    ----------
    since : float
    begins_at : float
        When it may grant.
    early_from : float
        When it may grant its early operations.  The first view of the members may lack
        some of them.
    is_first : bool
        Whether the daemon could not grant before, as after the start of its process.
    after_restart : bool
        Whether ``since`` is when all daemons had restarted.
    """

    since: float
    begins_at: float
    early_from: float = -math.inf
    is_first: bool = False
    after_restart: bool = False


@dataclass(frozen=True, slots=True)
class _Place:
    """Members that may grant a customer's credit, and this daemon's place among them.

    Attributes
    ----------
    order : tuple of str
        The home comes first.
    before : frozenset of str
        Those before this daemon; empty if it is the home or may not grant.
    since : float
        Since when these are before it.
    tenure : Tenure
        Its own, if it is the home.
    """

    order: tuple = ()
    before: frozenset = frozenset()
    since: float = 0.0
    tenure: Tenure = Tenure(0.0, 0.0)

    @property
    def home(self):
        """Name of the home, or None without members."""
        return self.order[0] if self.order else None


class CustomerHomes:
    """Home of each customer in this daemon's view.

    Parameters
    ----------
    vm : str
    now : float
    """

    def __init__(self, vm, now):
        self._vm = vm
        self._members = ()
        self._members_since = now
        self._places = {}
        self._echoed_at = -math.inf
        self._unproved_at = now
        self._was_proved = False
        self._is_first = True
        self._restarted_at = None
        self._vouched = {}

    @property
    def members(self):
        """Names of the daemons among which the homes are chosen."""
        return self._members

    @property
    def was_proved(self):
        """Whether this daemon might grant at any time since its process started."""
        return self._was_proved

    def may_become_home(self, customer):
        """Whether this daemon is the customer's home, or knows no members yet."""
        return self.home_of(customer) in (None, self._vm)

    def home_of(self, customer):
        """Return the name of a customer's home, or None without members."""
        return self._places.get(customer, _Place()).home

    def grantors_of(self, customer):
        """Return the names of the daemons that may grant; the home comes first."""
        return self._places.get(customer, _Place()).order

    def deputy_of(self, customer):
        """Return the name of the daemon that grants while only the home is silent."""
        return (*self.grantors_of(customer), None, None)[1]

    def members_before(self, customer):
        """Return the names of those that must be silent if this daemon is a deputy.

        Empty if it is the home or may not grant.
        """
        return self._places.get(customer, _Place()).before

    def tenure(self, customer, now):
        """Return this daemon's Tenure, or None if another daemon may be the home."""
        place = self._places.get(customer, _Place())
        if place.home == self._vm:
            if place.tenure.since > self._unproved_at:
                return place.tenure
            if self._restarted_at is not None:
                return Tenure(
                    self._restarted_at, self._restarted_at, after_restart=True
                )
            since = self._unproved_at
            early_from = self._members_since + OVERLAP_TIME
            return Tenure(since, since + START_HOLD_TIME, early_from, self._is_first)
        return self._deputy_tenure(customer, place, now)

    def is_held(self, now):
        """Whether this daemon waits as a home since the start of its process."""
        if not self._is_first or self._restarted_at is not None:
            return False
        return bool(self._members) and now < self._unproved_at + START_HOLD_TIME

    def end_hold(self, restarted_at):
        """Grant from now on what the buckets have gained since all daemons restarted.

        Only valid while `is_held`; no earlier process grants or uses credit since then.
        """
        self._restarted_at = restarted_at

    def _deputy_tenure(self, customer, place, now):
        since, until = self._vouched.get(customer, (0.0, -math.inf))
        may_grant_at = max(place.since + HOLD_TIME, self._unproved_at + START_HOLD_TIME)
        if now >= until or now < may_grant_at:
            return None
        # A later deputy may have granted until then.
        since = max(since, may_grant_at)
        return Tenure(since, since)

    def vouch(self, customers, silent, voters, begun_at, now):
        """Record which members the voters have not heard lately.

        Parameters
        ----------
        customers : iterable of str
            Those whose deputy this daemon is.
        silent : sequence of set of str
            For each voter that answered, those that it has not heard for
            ``SILENCE_TIME``.
        voters : int
            Number of voters.
        begun_at : float
            When the voters were asked.
        now : float

        Returns
        -------
        list of str
            Those of the customers for which this daemon may grant.
        """
        vouched = []
        for customer in customers:
            before = self.members_before(customer)
            count = sum(before <= names for names in silent)
            if not before or count < majority_of(voters):
                continue
            since, until = self._vouched.get(customer, (now, -math.inf))
            if until < now:
                since = now
            self._vouched[customer] = (since, begun_at + VOUCH_TIME)
            vouched.append(customer)
        return vouched

    def vouched_for(self, customer, now):
        """Return the seconds for which the voters' word on silent members counts."""
        return self._vouched.get(customer, (0.0, -math.inf))[1] - now

    def set_customers(self, names):
        """Apply the names of the customers with a rate."""
        known, since = self._places, self._members_since
        self._places = {
            name: known.get(name) or self._place(name, self._members, _Place(), since)
            for name in names
        }
        for name in self._vouched.keys() - self._places.keys():
            del self._vouched[name]

    def set_members(self, members, now):
        """Apply a change of the members.

        Returns
        -------
        HomeChange
        """
        if members == self._members:
            return HomeChange(0, 0)
        present = set(members)
        added = present.difference(self._members)
        if not self._members:
            # The first view after the start of the process, see above.
            self._unproved_at = now
        self._members, self._members_since = members, now
        before = self._own()
        for customer, place in list(self._places.items()):
            names = members
            if place.order and present.issuperset(place.order):
                # Only a new member can precede those that have remained.
                names = (*place.order, *added)
            self._places[customer] = self._place(customer, names, place, now)
        after = self._own()
        return HomeChange(len(after - before), len(before - after))

    def _own(self):
        return {name for name, place in self._places.items() if place.home == self._vm}

    def _place(self, customer, names, last, now):
        """Return the place of a customer among some members, after its last one."""
        order = tuple(
            nsmallest(MAX_GRANTORS, names, key=lambda name: hash_number(customer, name))
        )
        if order == last.order:
            return last
        place = replace(last, order=order)
        handed = None
        before = frozenset()
        if self._vm in order:
            before = frozenset(order[: order.index(self._vm)])
        if before != last.before:
            if self._vm in order and last.before > before:
                handed = self._deputy_tenure(customer, last, now)
            if handed is None:
                # Another daemon may still have the older view.
                self._vouched.pop(customer, None)
            since = now if handed is None else last.since
            place = replace(place, before=before, since=since)
        if place.home != last.home:
            # The deputy of homes that were removed goes on.
            place = replace(place, tenure=handed or Tenure(now, now + HOLD_TIME))
        return place

    def check(self, echoed_at, now):
        """Return whether this daemon may grant; to be called regularly.

        A daemon whose echoes may have been too old at any time since the last check, as
        after a suspension, waits as a new home does.

        Parameters
        ----------
        echoed_at : float
            Result of `echoed_by_majority_at`.
        now : float
        """
        last, self._echoed_at = self._echoed_at, echoed_at
        if now - min(last, echoed_at) > ECHO_VALIDITY:
            self._unproved_at = now
            self._is_first = not self._was_proved
            self._restarted_at = None
            self._vouched.clear()
            return False
        self._was_proved = True
        return True
