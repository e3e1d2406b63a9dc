"""
Connection shares
=================

Divides the connections of each instance among the VMs.  A VM counts every VM that it
has seen and whose lease has not expired.  A new VM opens connections only when the
leases of all other VMs name it as counted.  Thus the old shares shrink before the new
VM gets its own, and the sum of the shares never exceeds the limit.
"""

from dataclasses import dataclass
from functools import lru_cache

from cardamomdrift.membership.rendezvous import home_set

OPERATOR_RESERVE = 1  # connections for tools of operators
# Connections of each lender if there are more VMs than connections: one for a
# transaction, one for single statements, and one that a second transaction may borrow.
LENDER_SHARE = 3
# One connection in so many stays free for probes if the VMs outnumber the connections.
PROBE_RESERVE_PART = 8
LENDERS_CACHE_SIZE = 8192  # instances and sets of VMs whose lenders are kept


@dataclass(frozen=True, slots=True)
class Lease:
    """Lease row of one VM.

    Attributes
    ----------
    vm : str
    expires_at : float
        Wall clock.
    counted : frozenset of str
        VMs among which the holder divides the connections.
    address : str
        Address at which peers reach it, as ``ip:port``.
    failure_domain : str
    """

    vm: str
    expires_at: float
    counted: frozenset
    address: str = ""
    failure_domain: str = ""


def live_leases(leases, now, grace):
    """Return the leases that have not expired, with a grace for slow clocks."""
    return [lease for lease in leases if lease.expires_at + grace > now]


def counted_members(vm, leases, now, grace):
    """Return the VMs with a live lease, and this one."""
    live_vms = {lease.vm for lease in live_leases(leases, now, grace)}
    return frozenset(live_vms | {vm})


def may_connect(vm, leases, now, grace):
    """Whether the leases of all other VMs count this one."""
    others = [lease for lease in live_leases(leases, now, grace) if lease.vm != vm]
    return all(vm in lease.counted for lease in others)


def share_of(limit, member_count):
    """Return the connections to one instance that each VM may open.

    Parameters
    ----------
    limit : int
        Connections that the instance accepts.
    member_count : int
        Number of VMs counted.
    """
    return max((limit - OPERATOR_RESERVE) // max(member_count, 1), 0)


def share_with_loans(limit, members, vm, instance):
    """Return the connections to an instance that a VM may open.

    The remainder after equal shares stays free for VMs that restart while the instance
    still has their old connections.  If there are more VMs than connections, the VMs
    ranked first for the instance have ``LENDER_SHARE`` each, and the others borrow
    connections.

    Parameters
    ----------
    limit : int
        Connections that the instance accepts.
    members : sequence of str
        Names of all VMs counted, this one included.
    vm : str
    instance : str
    """
    share = share_of(limit, len(members))
    if share or vm not in lending_vms(limit, members, instance):
        return share
    return min(LENDER_SHARE, max(limit - OPERATOR_RESERVE, 1))


@lru_cache(maxsize=LENDERS_CACHE_SIZE)
def lending_vms(limit, members, instance):
    """Return the VMs that have connections of their own to an instance.

    If there are more VMs than connections, a few VMs have several connections each, so
    that a lender whose connection is held by a transaction still has others.  Some
    connections stay free for probes of the VMs without any.

    Parameters
    ----------
    limit : int
        Connections that the instance accepts.
    members : tuple of str
    instance : str
    """
    usable = max(limit - OPERATOR_RESERVE, 1)
    if usable >= len(members):
        return members
    lenders = (usable - usable // PROBE_RESERVE_PART) // LENDER_SHARE
    return home_set(instance, members, max(lenders, 1))
