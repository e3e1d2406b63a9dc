"""
Test site
=========

The platform's store, one database group, daemons and callers in one process, for tests
over sockets.
"""

import asyncio
import io
import json
import math
import os
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path
from unittest import mock

from cardamomdrift.membership import voter_keeper
from cardamomdrift.platform.daemon import PlatformDaemon
from cardamomdrift.platform.settings import load_platform_settings
from cardamomdrift.sessions.commands import MESSAGE_SIZE_LIMIT
from cardamomdrift.standins.entries import (
    configuration,
    instance_entry,
    route,
    settings,
)
from cardamomdrift.standins.lines import LineGroup
from cardamomdrift.standins.ports import daemon_ports
from cardamomdrift.standins.rows import RowStore, StoreEndpoint
from cardamomdrift.telemetry.log import setup_logging
from tests.loops import use_light_checks

# Databases: "book" uses the primary only, "look" also replicas that are at most 1.5 s
# behind, and "crew" also those that have the writes of the session.
ROUTES = [
    route("book", "primary", "g"),
    route("look", "bounded_staleness", "g"),
    route("crew", "read_your_writes", "g", maxStalenessMs=2500),
]


class LogBuffer(io.StringIO):
    """Log target in memory with the attributes of LineWriter that a daemon reads."""

    dropped = 0


class LineClient:
    """Connection of a caller that speaks the line protocol.

    Attributes
    ----------
    state : str
        Transaction state of the last READY line: I, T or E.
    """

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._count = 0
        self.state = ""

    @classmethod
    async def open(cls, address, database, user="u"):
        """Return a client that has sent START, and the daemon's first line."""
        client = cls(
            *await asyncio.open_connection(*address, limit=2 * MESSAGE_SIZE_LIMIT)
        )
        client._send(f"START {database} {user}")
        return client, await client._line()

    def _send(self, line):
        self._writer.write(f"{line}\r\n".encode("utf-8", "surrogateescape"))

    async def _line(self):
        line = await asyncio.wait_for(self._reader.readuntil(b"\r\n"), 5)
        return line[:-2].decode("utf-8", "surrogateescape")

    async def ask(self, text, request_id=None):
        """Send a statement; return the lines of its answer before READY."""
        self._count += 1
        request_id = request_id or f"id{id(self) % 9999}x{self._count}"
        self._send(f"QUERY {request_id} {text}")
        lines = []
        while True:
            line = await self._line()
            if line.startswith("READY"):
                self.state = line.split(" ")[1]
                return lines
            lines.append(line)

    async def send_raw(self, data):
        """Send bytes as they are; return the bytes that come next."""
        self._writer.write(data)
        return await asyncio.wait_for(self._reader.read(65536), 5)

    def close(self):
        self._writer.close()

    async def at_eof(self):
        """Wait for the daemon's next byte; return whether it closed instead."""
        return await asyncio.wait_for(self._reader.read(1), 8) == b""


class Site:
    """Store, database group and daemons; an async context manager.

    Parameters
    ----------
    daemons : int
        Daemons that are started, named vm-1, vm-2, ...
    connections : int
        Connections that each instance accepts.
    routes : list, optional
        Routes of the configuration; ROUTES by default.
    idle_ms : int
        Milliseconds after which an idle transaction is ended.
    synchronous : int
        Synchronous replicas of the group, according to the configuration.
    tenants : list, optional
        Customers of the configuration.
    first_voters_delay : float
        Seconds that a daemon waits for others, after all have registered, before it
        names the first voters of the new deployment.
    more_groups : sequence of str
        Database groups besides ``g``.
    **settings_changes
        Keys to replace or add in the daemons' settings, as ``contracts``.

    Attributes
    ----------
    group : LineGroup
        The group ``g``.
    groups : dict of str to LineGroup
    store : RowStore
    daemons : dict of str to PlatformDaemon
        Running daemons by name.
    endpoints : dict of str to StoreEndpoint
        Endpoint of the store for each daemon, by name.
    log : LogBuffer
        Log of all daemons.
    ports : list of int
        Ports that each daemon uses at its own address; set on entering.
    """

    def __init__(
        self,
        daemons=3,
        connections=16,
        routes=None,
        idle_ms=3000,
        synchronous=0,
        tenants=None,
        first_voters_delay=0.0,
        more_groups=(),
        **settings_changes,
    ):
        self._tenants = tenants
        self._first_voters_delay = first_voters_delay
        self._settings_changes = settings_changes
        self._daemon_count = daemons
        self._stack = AsyncExitStack()
        self._folder = None
        self._routes = ROUTES if routes is None else routes
        self._idle_ms = idle_ms
        self._synchronous = synchronous
        self.groups = {
            name: LineGroup(name, connections=connections)
            for name in ("g", *more_groups)
        }
        self.group = self.groups["g"]
        self.store = RowStore(promote=self._promote)
        self.daemons = {}
        self.endpoints = {}
        self.log = LogBuffer()

    async def __aenter__(self):
        use_light_checks(asyncio.get_running_loop())
        setup_logging("info", self.log)
        enter = self._stack.enter_async_context
        self._folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        for group in self.groups.values():
            await enter(group)
        self.ports = daemon_ports()
        self.configure(1)
        self.list_instances()
        await self._start_daemons()
        return self

    async def _start_daemons(self):
        """Start the daemons, and wait until they are usable and all of them voters."""
        names = [f"vm-{index + 1}" for index in range(self._daemon_count)]

        def set_delay(delay):
            return mock.patch.object(voter_keeper, "FIRST_VOTERS_DELAY", delay)

        # None names the voters while another one has not registered yet.
        with set_delay(math.inf):
            for name in names:
                await self.start(name)
            await self.until(
                lambda: all(
                    self.store.get("cardamomdrift", f"member/{name}") for name in names
                )
            )
        with set_delay(self._first_voters_delay):
            await self.until(
                lambda: all(
                    self.usable(name) and self.knows_voters(name) for name in names
                )
            )

    async def __aexit__(self, *exc_info):
        for name in list(self.daemons):
            await self.kill(name)
        # Each endpoint waits for the calls that the daemons have left open.
        await asyncio.gather(
            *(endpoint.__aexit__(*exc_info) for endpoint in self.endpoints.values())
        )
        await self._stack.aclose()

    def configure(self, version, routes=None, tenants=None):
        """Write a configuration to the store, as the operator does."""
        body = configuration(
            version,
            routes or self._routes,
            dict.fromkeys(self.groups, 16),
            self._idle_ms,
            self._synchronous,
            self._tenants if tenants is None else tenants,
        )
        self.store.put("op", "config", body)

    def list_instances(self):
        """Write the entries of all instances to the store."""
        for group in self.groups.values():
            for name, entry in group.entries().items():
                self.store.put("servers", name, entry)

    def _promote(self, group, name):
        return self.groups[group].promote(group, name)

    def update_entry(self, instance, **changes):
        """Write the entry of an instance with its present state to the store."""
        entry = instance_entry("g", instance, **changes)
        self.store.put("servers", instance.name, entry)

    def host(self, name):
        """Return the loopback address of a daemon."""
        return f"127.{os.getpid() % 200 + 1}.1.{name.split('-')[1]}"

    def front(self, name):
        """Return host and port where a daemon accepts callers."""
        return self.host(name), self.ports[0]

    async def start(self, name):
        """Start a daemon, with a store endpoint of its own; return it."""
        host = self.host(name)
        path = Path(self._folder) / f"{name}.json"
        if name not in self.endpoints:
            endpoint = StoreEndpoint(self.store)
            self.endpoints[name] = await endpoint.__aenter__()
        address = self.endpoints[name].address
        changes = self._settings_changes
        path.write_text(settings(name, host, address, self.ports, **changes))
        daemon = PlatformDaemon(load_platform_settings(path).unwrap(), self.log)
        await daemon.__aenter__()
        self.daemons[name] = daemon
        return daemon

    async def kill(self, name):
        """Stop a daemon as a crash does: it does not announce that it leaves."""
        daemon = self.daemons.pop(name)
        daemon.announcer.leaving = False
        await daemon.__aexit__(None, None, None)

    def make_store_unavailable(self, *names):
        """Answer the store calls of the named daemons, or of all, with status 503."""
        for name in names or self.endpoints:
            self.endpoints[name].faults.down = True

    def usable(self, name):
        """Return whether a daemon knows a primary of each group that it may use."""
        clusters = list(self.daemons[name].clusters)
        return len(clusters) == len(self.groups) and all(
            cluster.view.primary is not None for cluster in clusters
        )

    def knows_voters(self, name):
        """Return whether all daemons are voters, as a daemon knows."""
        voters = self.daemons[name].roster.voters
        return set(voters.names) == set(self.daemons)

    async def caller(self, name, database, key="u"):
        """Return a client that is connected to a daemon; it closes with the site."""
        client, first = await LineClient.open(
            (self.host(name), self.ports[0]), database, key
        )
        if not first.startswith("READY"):
            raise AssertionError(first)
        self._stack.callback(client.close)
        return client

    async def until(self, condition, timeout=5.0):
        """Wait until a condition holds.

        Parameters
        ----------
        condition : callable
        timeout : float
            Seconds.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.01)

    def logged(self, event):
        """Return the log lines that contain an event."""
        return [line for line in self.log.getvalue().splitlines() if event in line]


def leadership_row(site):
    """Return the group's leadership record in the control table, or None."""
    value = site.store.get("cardamomdrift", "lead/g")
    return None if value is None else json.loads(value)
