"""
Lease keeper
============

Renews this VM's lease row, reads the rows of the other VMs and the platform's list of
VMs, and derives the VMs that share the connections (see `limits.shares`).  While the
platform does not answer, no VM is dropped.
"""

import asyncio
from dataclasses import dataclass, replace

from cardamomdrift.errors import PlatformUnavailable
from cardamomdrift.limits.shares import Lease, counted_members, may_connect
from cardamomdrift.util import cancel_all

RENEW_INTERVAL = 5.0  # seconds
LEAVING_READ_INTERVAL = 2.0  # seconds between reads of the leaving VMs and instances
JOIN_INTERVAL = 0.5  # seconds between renewals until all other VMs count this one
RENEWAL_DEBOUNCE = 0.1  # seconds in which several requests for a renewal count as one
LEASE_DURATION = 20.0  # seconds
CLOCK_GRACE = 3.0  # seconds by which wall clocks may differ
PLATFORM_PARTITION = "platform"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Membership:
    """VMs that share the connections, as one VM knows them.

    Attributes
    ----------
    counted : frozenset of str
        VMs that share the connections, this one included.
    may_connect : bool
        Whether this VM may open connections.
    addresses : dict of str to str
        Addresses at which the other VMs listen, by VM.
    leaving : frozenset of str
        VMs and upstream instances that the platform's list shows as leaving.
    """

    counted: frozenset
    may_connect: bool
    addresses: dict
    leaving: frozenset


def decide_membership(vm, leases, previous, listed_leaving, now, platform_up_since):
    """Return the membership that follows from the lease rows.

    A VM whose lease has expired is dropped only after the platform has answered for a
    whole lease time, since no VM can renew its lease during an outage.  A VM that
    leaves deletes its row after it closed its last connection, so it is dropped
    immediately.

    Parameters
    ----------
    vm : str
    leases : list of Lease
    previous : Membership
    listed_leaving : frozenset of str
    now : float
        Wall clock.
    platform_up_since : float
        First answer after the platform's last failure, by the wall clock.
    """
    counted = counted_members(vm, leases, now, CLOCK_GRACE)
    if now - platform_up_since < LEASE_DURATION:
        counted |= previous.counted & {lease.vm for lease in leases}
    return Membership(
        counted=counted,
        may_connect=previous.may_connect or may_connect(vm, leases, now, CLOCK_GRACE),
        addresses={
            lease.vm: lease.address
            for lease in leases
            if lease.vm != vm and lease.address
        },
        leaving=listed_leaving,
    )


def _parse_lease(row):
    return Lease(
        vm=row["sk"].partition("#")[2],
        expires_at=float(row["expires_at"]),
        counted=frozenset(row["counted"].split(",")),
        address=row["address"],
        failure_domain=row["failure_domain"],
    )


class LeaseKeeper:
    """Renews the lease of one VM; an async context manager.

    Parameters
    ----------
    table : Table
    deployment : str
    vm : VmIdentity
    address : str
        Address at which peers reach this VM, as ``ip:port``.
    wall_clock : callable
    on_change : callable
        Called with the new Membership.
    on_waiting : coroutine function
        Called with the Membership while the other VMs do not count this one yet.
    log : structlog logger
    """

    def __init__(
        self, table, deployment, vm, address, wall_clock, on_change, on_waiting, log
    ):
        self._table = table
        self._deployment = deployment
        self._vm = vm
        self._address = address
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._on_waiting = on_waiting
        self._renewal_requested = asyncio.Event()
        self._renew_at = 0.0
        self._log = log
        self._platform_up_since = None
        self._task = None
        self._membership = Membership(frozenset([vm.name]), False, {}, frozenset())

    @property
    def membership(self):
        """Membership as of the last read."""
        return self._membership

    @property
    def platform_answers(self):
        """Whether the platform answered the last call."""
        return self._platform_up_since is not None

    @property
    def _sort_key(self):
        return f"lease#{self._vm.name}"

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    async def release_lease(self):
        """Stop, and delete the lease; call it after the last connection is closed."""
        await cancel_all([self._task])
        try:
            await self._table.delete(self._deployment, self._sort_key)
        except PlatformUnavailable:
            self._log.warning("lease not deleted; it will expire")

    async def _run(self):
        while True:
            try:
                await self._renew_or_refresh_leaving()
            except PlatformUnavailable as error:
                self._record_outage(error)
            if self._membership.may_connect:
                await self._wait_for_renewal_request(LEAVING_READ_INTERVAL)
            else:
                await self._on_waiting(self._membership)
                await asyncio.sleep(JOIN_INTERVAL)

    async def _renew_or_refresh_leaving(self):
        now = self._wall_clock()
        steady = self._membership.may_connect and self._platform_up_since is not None
        if steady and not self._renewal_requested.is_set() and now < self._renew_at:
            await self._refresh_leaving()
            return
        self._renewal_requested.clear()
        await self._renew()
        self._renew_at = now + RENEW_INTERVAL

    async def _refresh_leaving(self):
        """Read only the leaving VMs and instances."""
        leaving = await self._read_leaving()
        if leaving != self._membership.leaving:
            self._membership = replace(self._membership, leaving=leaving)
            self._on_change(self._membership)

    async def _read_leaving(self):
        rows = await self._table.list(PLATFORM_PARTITION, "vm#")
        return frozenset(
            row["sk"].partition("#")[2] for row in rows if row["state"] == LEAVING
        )

    def request_renewal(self):
        """Renew and read the leases soon, since a new VM waits to be counted."""
        self._renewal_requested.set()

    async def _wait_for_renewal_request(self, interval):
        try:
            async with asyncio.timeout(interval):
                await self._renewal_requested.wait()
        except TimeoutError:
            return
        await asyncio.sleep(RENEWAL_DEBOUNCE)

    def _record_outage(self, error):
        if self._platform_up_since is not None:
            self._log.warning("platform does not answer", call=str(error))
        self._platform_up_since = None

    async def _renew(self):
        await self._write(self._membership.counted)
        rows = await self._table.list(self._deployment, "lease#")
        leaving = await self._read_leaving()
        now = self._wall_clock()
        if self._platform_up_since is None:
            self._platform_up_since = now
        leases = [_parse_lease(row) for row in rows]
        membership = decide_membership(
            self._vm.name,
            leases,
            self._membership,
            leaving,
            now,
            self._platform_up_since,
        )
        has_new_members = not membership.counted <= self._membership.counted
        if membership != self._membership:
            self._membership = membership
            self._on_change(membership)
        if has_new_members:
            # This VM has reduced its share by now, so its lease may name the new VMs.
            await self._write(membership.counted)

    async def _write(self, counted):
        fields = {
            "expires_at": str(self._wall_clock() + LEASE_DURATION),
            "counted": ",".join(sorted(counted)),
            "address": self._address,
            "failure_domain": self._vm.failure_domain,
        }
        await self._table.put(self._deployment, self._sort_key, fields)
