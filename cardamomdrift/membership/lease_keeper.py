"""
Lease keeper
============

Keeps this VM's lease row, reads the others' rows and the platform's list of VMs, and
tells the daemon whom to count.  While the platform does not answer, nobody is dropped.
"""

import asyncio
from dataclasses import dataclass, replace

from cardamomdrift.errors import PlatformUnavailable
from cardamomdrift.limits.shares import Lease, counted_members, may_connect
from cardamomdrift.util import cancel_all

RENEW_INTERVAL = 5.0  # seconds
LEAVING_READ_INTERVAL = 2.0  # seconds between two looks at who is leaving
JOIN_INTERVAL = 0.5  # seconds, until all others count this VM
RENEWAL_DEBOUNCE = 0.1  # seconds in which several pokes count as one
LEASE_DURATION = 20.0  # seconds
CLOCK_GRACE = 3.0  # seconds for clocks that differ
PLATFORM_PARTITION = "platform"
LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Membership:
    """What a VM knows of the others.

    Attributes
    ----------
    counted : frozenset of str
        VMs that share the connections.
    may_connect : bool
        Whether this VM may open connections.
    addresses : dict of str to str
        Where peers listen, by VM.
    leaving : frozenset of str
        VMs and upstream instances that the platform's list shows as leaving.
    """

    counted: frozenset
    may_connect: bool
    addresses: dict
    leaving: frozenset


def decide_membership(vm, leases, previous, listed_leaving, now, platform_up_since):
    """Return the membership that some lease rows give.

    A VM whose lease has run out is dropped only after the platform has answered for a
    whole lease time, since during an outage nobody can renew.  A VM that left deletes
    its row after its last connection, so it is dropped at once.

    Parameters
    ----------
    vm : str
    leases : list of Lease
    previous : Membership
    listed_leaving : frozenset of str
    now : float
        Wall clock.
    platform_up_since : float
        Wall clock of the first answer after the platform's last failure.
    """
    counted = counted_members(vm, leases, now, CLOCK_GRACE)
    if now - platform_up_since < LEASE_DURATION:
        counted |= previous.counted & {lease.vm for lease in leases}
    return Membership(
        counted=counted,
        may_connect=previous.may_connect or may_connect(vm, leases, now, CLOCK_GRACE),
        addresses={
            one.vm: one.address for one in leases if one.vm != vm and one.address
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
    """Keeps the lease of one VM; an async context manager.

    Parameters
    ----------
    table : Table
    deployment : str
    vm : VmIdentity
    address : str
        Where peers reach this VM, as ``ip:port``.
    wall_clock : callable
    on_change : callable
        Takes the new Membership.
    on_waiting : coroutine function
        Takes the Membership while the others do not count this VM yet.
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
        """What was last read."""
        return self._membership

    @property
    def platform_answers(self):
        """Whether the platform answered the last time."""
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
        """Delete the lease, after the last connection has been closed."""
        await cancel_all([self._task])
        try:
            await self._table.delete(self._deployment, self._sort_key)
        except PlatformUnavailable:
            self._log.warning("lease not deleted; it runs out by itself")

    async def _run(self):
        while True:
            try:
                await self._renew_or_refresh_leaving()
            except PlatformUnavailable as error:
                self._note_outage(error)
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
        """Read only who is leaving."""
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
        """Read the leases soon, since a new VM waits to be counted."""
        self._renewal_requested.set()

    async def _wait_for_renewal_request(self, interval):
        try:
            async with asyncio.timeout(interval):
                await self._renewal_requested.wait()
        except TimeoutError:
            return
        await asyncio.sleep(RENEWAL_DEBOUNCE)

    def _note_outage(self, error):
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
            # The share has shrunk by now, so the newcomers may be told.
            await self._write(membership.counted)

    async def _write(self, counted):
        fields = {
            "expires_at": str(self._wall_clock() + LEASE_DURATION),
            "counted": ",".join(sorted(counted)),
            "address": self._address,
            "failure_domain": self._vm.failure_domain,
        }
        await self._table.put(self._deployment, self._sort_key, fields)
