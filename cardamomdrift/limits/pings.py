"""
Ways of pings
=============

Over which connection a daemon pings an instance, and which daemons may open one for it
beyond their share.  Nothing here does input or output.

The voters need answers of their own to replace a primary: other daemons' answers only
tell a partial partition from a lost primary.  So the voters always have a place.
"""

from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from cardamomdrift.limits.shares import probe_reserve
from cardamomdrift.membership.rendezvous import rank

# Seconds without an answer after which a VM with a share may ping beyond it, place or
# not.  Otherwise a slow instance would count as lost after 0.3 s while all connections
# of the VM are in use, and the VM as cut off from it after 0.5 s.
UNHEARD_TIME = 0.2
HOLDERS_CACHE_SIZE = 4096  # instances and sets of VMs whose holders are kept


class PingWay(Enum):
    """Connection over which a ping goes; the values are labels of a metric."""

    IDLE = "idle"  # an idle connection of the pool
    SHARE = "share"  # a new one within the VM's share
    PLACE = "place"  # a new one beyond the share, on a place that is reserved for pings
    LOAN = "loan"  # a connection of another VM
    NONE = "none"  # none; the voters' reports tell whether the instance is alive


@dataclass(frozen=True, slots=True)
class PingState:
    """What decides how an instance is pinged whose pool has no idle connection.

    Attributes
    ----------
    room : bool
        Whether fewer connections are open than the VM's share.
    backs_off : bool
        Whether the instance has refused a connection lately.
    has_share : bool
        Whether the VM has connections of its own to the instance.
    failed : bool
        Whether no request is sent there until a ping is answered.
    has_place : bool
        Whether the VM is among `place_holders`.
    is_voter : bool
    needs_answer : bool
        Whether a replacement may depend on the answer.
    needs_sample : bool
        Whether reads need a newer sample of the instance, the group's primary.
    unheard : bool
        Whether a request has had no answer for `UNHEARD_TIME`.
    """

    room: bool
    backs_off: bool
    has_share: bool
    failed: bool
    has_place: bool
    is_voter: bool
    needs_answer: bool
    needs_sample: bool
    unheard: bool


def choose_ping_way(state):
    """Return the PingWay of a ping without an idle connection.

    A ping over a loan does not show that the instance answers this VM.  So a VM with
    connections of its own uses one only for samples, and one without any also to find
    that the instance answers its lenders again.
    """
    if not state.backs_off:
        if state.room:
            return PingWay.SHARE
        if state.has_place:
            return PingWay.PLACE
    if state.unheard and state.has_share:
        return PingWay.PLACE
    if state.backs_off and state.is_voter and state.needs_answer:
        # The instance has answered when it refused, and has been silent since.  There
        # are few voters, so they need not wait.
        return PingWay.PLACE
    if state.needs_sample or (state.failed and not state.has_share):
        return PingWay.LOAN
    return PingWay.NONE


@lru_cache(maxsize=HOLDERS_CACHE_SIZE)
def place_holders(limit, members, voters, instance, customers_in_force):
    """Return the VMs that may open a connection for a ping beyond their share.

    These are the voters and, on the places that are left, the first other VMs in
    rendezvous order.  All daemons with the same members come to the same result.

    Parameters
    ----------
    limit : int
        Connections that the instance accepts.
    members, voters : tuple of str
    instance : str
    customers_in_force : bool
    """
    places = probe_reserve(limit, len(members), customers_in_force)
    others = [vm for vm in rank(f"ping/{instance}", members) if vm not in voters]
    return frozenset((*voters, *others[: max(places - len(voters), 0)]))
