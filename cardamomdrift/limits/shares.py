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
from heapq import heappop, heappush
from math import ceil

from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.util import hash_number

OPERATOR_RESERVE = 1  # connections for tools of operators
# Connections of a VM to its home instance if there are more VMs than connections: one
# for a transaction and one for single statements.
HOME_SHARE = 2
# VMs at home at each instance at least, as far as connections suffice: two may be lost.
MIN_HOME_VMS = 3
# One connection in so many stays free for probes if the VMs outnumber the connections,
# and with customers.
PROBE_RESERVE_PART = 8
HOMES_CACHE_SIZE = 4096  # groups and sets of VMs whose homes are kept


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


@dataclass(frozen=True, slots=True)
class HomeDomains:
    """Failure domains by which homes are chosen; none without those of all VMs.

    Attributes
    ----------
    vms : tuple of str
        Those of the VMs, in their order; empty texts where not known.
    instances : tuple of str
        Those of the instances, in their order.
    """

    vms: tuple = ()
    instances: tuple = ()


NO_DOMAINS = HomeDomains()


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


def share_with_loans(limit, members, vm, instance, instances, domains=NO_DOMAINS):
    """Return the connections to an instance that a VM may open.

    The remainder after equal shares stays free for VMs that restart while the instance
    still has their old connections.  If there are more VMs than connections, those at
    home at the instance have ``HOME_SHARE`` each, and the others borrow connections.

    Parameters
    ----------
    limit : int
        Connections that the instance accepts.
    members : tuple of str
        All VMs.
    vm : str
    instance : str
    instances : tuple of str
        All instances of the group, sorted.
    domains : HomeDomains
    """
    share = share_of(limit, len(members))
    if share:
        return share
    return homes_of(limit, members, instances, domains).get(instance, {}).get(vm, 0)


def usable_connections(limit):
    """Return how many of an instance's connections the VMs may open together."""
    return max(limit - OPERATOR_RESERVE, 1)


def shared_connections(limit):
    """Return how many of an instance's connections are divided among VMs.

    The others stay free for probes, and for VMs that restart while the instance still
    has their old connections.
    """
    usable = usable_connections(limit)
    return usable - usable // PROBE_RESERVE_PART


def probe_reserve(limit, member_count, customers_in_force):
    """Return how many connections of an instance stay free for probes.

    Equal shares without customers leave only their remainder.
    """
    usable = usable_connections(limit)
    reserve = usable // PROBE_RESERVE_PART
    shared = 0 if customers_in_force else share_of(limit, member_count) * member_count
    return min(reserve, usable - shared)


def customer_share(limit, members, vm, instance, instances, domains=NO_DOMAINS):
    """Return the connections to an instance that a VM may open, with customers.

    Each connection belongs to one customer, so that one more in a pool saves more
    handshakes than without customers.  Therefore the remainder is divided as well.  If
    there are more VMs than connections, the homes have them.

    Parameters
    ----------
    limit, members, vm, instance, instances, domains
        As for `share_with_loans`.
    """
    shares = _shares_by_vm(limit, members, instance, instances, domains)
    return shares.get(vm, 0)


@lru_cache(maxsize=HOMES_CACHE_SIZE)
def _shares_by_vm(limit, members, instance, instances, domains):
    shared = shared_connections(limit)
    if shared < len(members):
        return homes_of(limit, members, instances, domains).get(instance, {})
    return _divide(shared, rank(instance, members))


def lending_vms(
    limit,
    members,
    instance,
    instances,
    customers_in_force=False,
    domains=NO_DOMAINS,
):
    """Return the VMs that have connections of their own to an instance.

    Parameters
    ----------
    limit, members, instance, instances
        As for `share_with_loans`.
    customers_in_force : bool
    domains : HomeDomains
    """
    connections = (
        shared_connections(limit) if customers_in_force else usable_connections(limit)
    )
    if connections >= len(members):
        return members
    return tuple(homes_of(limit, members, instances, domains).get(instance, ()))


@lru_cache(maxsize=HOMES_CACHE_SIZE)
def homes_of(limit, members, instances, domains=NO_DOMAINS):
    """Return the connections of the VMs at home at each instance, by instance and VM.

    Load pattern: more VMs than connections to each instance, and reads that any
    instance may serve.  A VM with connections to one instance of each group runs most
    reads over its own connections, where connections to a few instances of some groups
    would leave most statements to loans.

    Each VM is at home at one instance, as long as there is room, or at several if there
    are few VMs.  It prefers the instances of its failure domain, and among them an
    order of its own; an instance prefers VMs in the same way.  So a VM or an instance
    that is added or lost moves few others, and no instance is left without VMs.

    Parameters
    ----------
    limit : int
        Connections that each instance accepts.
    members : tuple of str
    instances : tuple of str
        Sorted.
    domains : HomeDomains
    """
    shared = shared_connections(limit)
    places = max(ceil(shared / HOME_SHARE), min(shared, MIN_HOME_VMS))
    homes_each = min(ceil(places * len(instances) / len(members)), len(instances))
    near = _near_pairs(members, instances, domains)
    preferences = {
        vm: iter(sorted(rank(vm, instances), key=lambda name: (vm, name) not in near))
        for vm in members
    }
    homes = {instance: [] for instance in instances}
    unplaced = list(members) * homes_each
    while unplaced:
        vm = unplaced.pop()
        instance = next(preferences[vm], None)
        if instance is None:
            continue
        entry = ((vm, instance) in near, -hash_number(instance, vm), vm)
        heappush(homes[instance], entry)
        if len(homes[instance]) > places:
            *_, last = heappop(homes[instance])
            unplaced.append(last)
    divided = {}
    for instance, entries in homes.items():
        vms = [vm for *_, vm in sorted(entries, reverse=True)]
        if near and len(vms) < places:
            # The VMs of few that are left have their homes elsewhere.
            others = [vm for vm in rank(instance, members) if vm not in vms]
            vms += others[: places - len(vms)]
        divided[instance] = _divide(shared, vms)
    return divided


def _near_pairs(members, instances, domains):
    """Return the pairs of a VM and an instance in the same failure domain.

    There are none while the failure domain of a VM is not known.  Such VMs may be of an
    older version, which chooses homes without failure domains.  If the others did not
    choose them in the same way, more VMs than there are places would be at home.
    """
    if not domains.vms or "" in domains.vms:
        return set()
    return {
        (vm, instance)
        for instance, own in zip(instances, domains.instances, strict=True)
        for vm, domain in zip(members, domains.vms, strict=True)
        if domain == own
    }


def _divide(connections, vms):
    """Return the connections of each VM; the first ones get the remainder."""
    if not vms:
        return {}
    share, remainder = divmod(connections, len(vms))
    return {vm: share + (index < remainder) for index, vm in enumerate(vms)}
