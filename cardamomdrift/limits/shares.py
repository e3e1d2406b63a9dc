"""
Connection shares
=================

Divides the connections of each instance among the VMs.  A VM counts every VM that it
has ever seen and whose lease has not run out; a new VM opens connections only when the
lease of every other VM says that it counts the new one.  So everyone shrinks before
anyone grows, and the sum of the shares never passes the limit.
"""

from dataclasses import dataclass

from cardamomdrift.membership.rendezvous import home_set

OPERATOR_RESERVE = 1  # connections left to operators' own tools


@dataclass(frozen=True, slots=True)
class Lease:
    """The row of one VM.

    Attributes
    ----------
    vm : str
    expires_at : float
        Seconds of the shared wall clock.
    counted : frozenset of str
        VMs that the holder counts when it works out its share.
    address : str
        Where peers reach it, as ``ip:port``.
    failure_domain : str
    """

    vm: str
    expires_at: float
    counted: frozenset
    address: str = ""
    failure_domain: str = ""


def live_leases(leases, now, grace):
    """Return the leases that may still be held, with the grace for slow clocks."""
    return [lease for lease in leases if lease.expires_at + grace > now]


def counted_members(vm, leases, now, grace):
    """Return the VMs to count: all with a lease, and this one."""
    held = {lease.vm for lease in live_leases(leases, now, grace)}
    return frozenset(held | {vm})


def may_connect(vm, leases, now, grace):
    """Whether all other VMs count this one."""
    others = [one for one in live_leases(leases, now, grace) if one.vm != vm]
    return all(vm in lease.counted for lease in others)


def share_of(limit, members):
    """Return the connections to one instance that each VM may open.

    Parameters
    ----------
    limit : int
        Connections that the instance takes.
    members : int
        VMs counted.
    """
    return max((limit - OPERATOR_RESERVE) // max(members, 1), 0)


def share_with_loans(limit, members, vm, instance):
    """Return the connections to an instance that a VM may open.

    What is left after equal shares stays free for VMs that start again while the
    instance still holds the connections they had.  With more VMs than connections,
    those that rank first for the instance have one each, and the others borrow.

    Parameters
    ----------
    limit : int
        Connections that the instance takes.
    members : sequence of str
        Names of all VMs counted, this one included.
    vm : str
    instance : str
    """
    share = share_of(limit, len(members))
    return share or int(vm in lending_homes(limit, members, instance))


def lending_homes(limit, members, instance):
    """Return the VMs that have connections to an instance of their own.

    Parameters
    ----------
    limit : int
        Connections that the instance takes.
    members : sequence of str
    instance : str
    """
    usable = max(limit - OPERATOR_RESERVE, 1)
    if usable >= len(members):
        return tuple(members)
    return home_set(instance, members, usable)
