"""
Fleet
=====

Environment of a soak test: the store and the instances run in this process, each daemon
runs in a process of its own.
"""

import asyncio
import os
import signal
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

from cardamomdrift.standins.entries import (
    configuration,
    instance_entry,
    route,
    settings,
)
from cardamomdrift.standins.lines import LineGroup
from cardamomdrift.standins.ports import daemon_ports
from cardamomdrift.standins.rows import RowStore, StoreEndpoint
from soak.proxy import InstanceProxy

GRACE_PERIOD = 6.0  # seconds from SIGTERM to SIGKILL; graceS of the settings
INSTANCE_CONNECTIONS = 16  # per instance, as in the users' deployments


class DaemonProcess:
    """Process of one daemon; only the soak test starts and ends it.

    Attributes
    ----------
    incarnation : int
        Number of starts.
    stopping : bool
        Whether the soak test is ending the process.
    planned_ends : set of int
        Incarnations that were ended gracefully and not suspended meanwhile.
    """

    def __init__(self, name, host, settings_path, log_path, module):
        self.name = name
        self.host = host
        self._settings_path = settings_path
        self._log_path = log_path
        self._module = module
        self._process = None
        self.incarnation = 0
        self.stopping = False
        self.planned_ends = set()

    @property
    def running(self):
        """Whether the process is alive."""
        return self._process is not None and self._process.returncode is None

    async def start(self):
        """Start the process."""
        self.incarnation += 1
        self.stopping = False
        environment = os.environ | {"CARDAMOMDRIFT_SETTINGS": str(self._settings_path)}
        with open(self._log_path, "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *self._module,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Send a signal to the process."""
        if number == signal.SIGSTOP:
            self.planned_ends.discard(self.incarnation)
        if self.running:
            self._process.send_signal(number)

    async def stop(self):
        """End the process gracefully; kill it after the grace period."""
        self.stopping = True
        self.planned_ends.add(self.incarnation)
        self.signal(signal.SIGTERM)
        await self._wait(GRACE_PERIOD)
        await self.kill()

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.running:
            self._process.kill()
        await self._wait(GRACE_PERIOD)

    async def _wait(self, timeout):
        if self._process is None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._process.wait()
        except TimeoutError:
            return


class Fleet:
    """Store, instances and daemons; an async context manager.

    Parameters
    ----------
    count : int
        Number of daemons.
    folder : str
        Folder for the daemons' logs.
    module : sequence of str
        Module and arguments that start a daemon.
    connections : int
        Connections that each instance accepts.

    Attributes
    ----------
    endpoints : dict of str to StoreEndpoint
        Address of the store for each daemon, by VM.
    proxies : dict of str to InstanceProxy
        Proxies by instance.
    daemons : dict of str to DaemonProcess
        Daemons by VM.
    version : int
        Version of the newest configuration.
    ports : list of int
        Ports of every daemon: for callers, for readiness, and a range for peers.
    settings_changes : dict
        Keys to replace or add in the daemons' settings.
    """

    settings_changes = {}

    def __init__(
        self,
        count,
        folder,
        module=("cardamomdrift.platform",),
        connections=INSTANCE_CONNECTIONS,
    ):
        self._connections = connections
        self._count = count
        self._folder = Path(folder)
        self._module = module
        self._stack = AsyncExitStack()
        self.group = LineGroup("g", connections=connections)
        self.store = RowStore(promote=self.group.promote)
        self.endpoints = {}
        self.proxies = {}
        self.daemons = {}
        self.version = 0
        self.ports = ()

    async def __aenter__(self):
        enter = self._stack.enter_async_context
        await enter(self.group)
        for name, instance in self.group.instances.items():
            instance.lag = 0.008
            instance.service_time = 0.004
            self.proxies[name] = await enter(InstanceProxy(instance))
        self.ports = daemon_ports()
        self.configure()
        self.list_instances()
        settings_folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        for index in range(self._count):
            await self._add_daemon(f"vm-{index + 1}", Path(settings_folder))
        await asyncio.gather(*(daemon.start() for daemon in self.daemons.values()))
        return self

    async def __aexit__(self, *exc_info):
        for daemon in self.daemons.values():
            daemon.signal(signal.SIGCONT)
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons.values()))
        await self._stack.aclose()

    async def _add_daemon(self, name, settings_folder):
        # All daemons use the same ports, so fleets that run at the same time need
        # different addresses.
        host = f"127.{os.getpid() % 200 + 1}.0.{name.split('-')[1]}"
        endpoint = await self._stack.enter_async_context(StoreEndpoint(self.store))
        self.endpoints[name] = endpoint
        settings_path = settings_folder / f"{name}.json"
        text = settings(
            name, host, endpoint.address, self.ports, **self.settings_changes
        )
        settings_path.write_text(text)
        log_path = self._folder / f"{name}.log"
        self.daemons[name] = DaemonProcess(
            name, host, settings_path, log_path, self._module
        )

    def configure(self):
        """Write the next configuration; it adds one route and keeps the others."""
        self.version += 1
        self.write_configuration()

    def write_configuration(self):
        """Write the newest configuration, also again."""
        routes = [
            route("book", "primary", "g"),
            route("look", "bounded_staleness", "g"),
            route("crew", "read_your_writes", "g", maxStalenessMs=2500),
        ]
        routes += [route(f"v{n}", "primary", "g") for n in range(1, self.version + 1)]
        body = configuration(self.version, routes, {"g": self._connections})
        self.store.put("op", "config", body)

    def list_instances(self):
        """Write the changed entries of the instances, with the proxies' addresses."""
        for name, instance in self.group.instances.items():
            address = f"127.0.0.1:{self.proxies[name].port}"
            entry = instance_entry("g", instance, address=address)
            if self.store.get("servers", name) != entry:
                self.store.put("servers", name, entry)
