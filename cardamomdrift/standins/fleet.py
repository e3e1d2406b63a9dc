"""
Local fleet
===========

Runs daemons and stand-ins in one event loop, for the demo, tests and measurements.
"""

from contextlib import AsyncExitStack
from dataclasses import replace
from datetime import UTC, datetime

import asyncmy
from aiohttp import ClientSession
from returns.result import Success

from cardamomdrift.bundle.model import check_value
from cardamomdrift.bundle.registry import BundleRegistry
from cardamomdrift.cloud.objects import ObjectStore
from cardamomdrift.cloud.table import make_table
from cardamomdrift.daemon import Daemon
from cardamomdrift.settings import CallersModel, Login, PlatformOptions, Settings
from cardamomdrift.standins.ports import free_ports

TOKEN_KEY = b"local-fleet-token-key"
OPERATOR = "local"
LOCAL_HOST = "127.0.0.1"
PEER_PORTS = 2  # for state updates and for queries


def fill_addresses(value, deployment):
    """Return a bundle's JSON value with the addresses of running stand-ins."""
    value = {
        **value,
        "groups": {name: dict(group) for name, group in value["groups"].items()},
    }
    for name, group in value["groups"].items():
        instances = deployment.groups[name].instances
        group["instances"] = {
            instance: {**spec, "address": "127.0.0.1", "port": instances[instance].port}
            for instance, spec in group["instances"].items()
        }
    return value


class LocalFleet:
    """Daemons of one deployment and its stand-ins; an async context manager.

    Parameters
    ----------
    value : dict
        A bundle as a JSON value; its instances' addresses are filled in.
    deployment : StandinDeployment
    failure_domains : sequence of str
        Failure domain of each daemon.
    policy : Fifo or NewestFirst or Adaptive, optional
        Order in which waiting requests are admitted.

    Attributes
    ----------
    daemons : dict of str to Daemon
        Running daemons by VM.
    registry : BundleRegistry
    """

    def __init__(self, value, deployment, failure_domains, policy=None):
        self._value = value
        self._deployment = deployment
        self._failure_domains = failure_domains
        self._policy = policy
        self._stack = AsyncExitStack()
        self._peer_ports = [free_ports(LOCAL_HOST, PEER_PORTS) for _ in failure_domains]
        self._caller_ports = {}
        self.daemons = {}
        self.registry = None

    @property
    def deployment(self):
        """The StandinDeployment."""
        return self._deployment

    @property
    def value(self):
        """The bundle as a JSON value, with addresses."""
        return self._value

    def _make_settings(self, index):
        seeds = [
            f"127.0.0.1:{port}"
            for peer_index, port in enumerate(self._peer_ports)
            if peer_index != index
        ]
        return Settings(
            vm=f"vm-{index + 1}",
            failure_domain=self._failure_domains[index],
            deployment=self._value["deployment"],
            callers=CallersModel(
                address="127.0.0.1", port=0, allow_any_user=True, allow_plaintext=True
            ),
            login=Login("proxy", ""),
            platform=self.platform_options(),
            peer_address=f"127.0.0.1:{self._peer_ports[index]}",
            seeds=tuple(seeds),
            token_key=TOKEN_KEY,
            drain_timeout=10.0,
            log_level="warning",
        )

    def platform_options(self):
        """Return the PlatformOptions of the stand-in platform."""
        url = self._deployment.platform.url
        return PlatformOptions(
            url, "cardamomdrift", "bundles", "local", "key", "secret"
        )

    async def __aenter__(self):
        await self._stack.enter_async_context(self._deployment)
        self._value = fill_addresses(self._value, self._deployment)
        session = await self._stack.enter_async_context(ClientSession())
        options = self.platform_options()
        self.registry = BundleRegistry(
            make_table(session, options),
            ObjectStore(session, options),
            self._value["deployment"],
        )
        await self.roll_out(self._value)
        for index in range(len(self._failure_domains)):
            await self.start_daemon(index)
        return self

    async def __aexit__(self, *exc_info):
        for vm in list(self.daemons):
            await self.kill_daemon(vm)
        await self._stack.aclose()

    async def roll_out(self, value):
        """Sign off and roll out a bundle given as a JSON value; return the RollOut."""
        model = check_value(value, "bundle").unwrap()
        record = await self.registry.sign_off(model, OPERATOR, datetime.now(UTC))
        newest = await self.registry.latest()
        version = newest.version if newest else 0
        result = await self.registry.roll_out(
            record.digest, version, OPERATOR, datetime.now(UTC)
        )
        match result:
            case Success(roll_out):
                return roll_out
            case _:
                raise result.failure()

    async def start_daemon(self, index):
        """Start the daemon with an index; a restarted one gets its old caller port."""
        settings = self._make_settings(index)
        previous_port = self._caller_ports.get(settings.vm)
        if previous_port is not None:
            callers = settings.callers.model_copy(update={"port": previous_port})
            settings = replace(settings, callers=callers)
        daemon = Daemon(settings, self._policy)
        await daemon.__aenter__()
        self._caller_ports[settings.vm] = daemon.port
        self.daemons[settings.vm] = daemon
        return daemon

    async def kill_daemon(self, vm):
        """End a daemon abruptly, as a crash does."""
        daemon = self.daemons.pop(vm)
        daemon.abort()
        await daemon.__aexit__(None, None, None)

    async def stop_daemon(self, vm):
        """Shut a daemon down gracefully; return whether all its requests finished."""
        daemon = self.daemons.pop(vm)
        clean = await daemon.stop()
        await daemon.__aexit__(None, None, None)
        return clean

    async def connect(self, vm, database, autocommit=None):
        """Open a caller's connection to a daemon and return it."""
        return await asyncmy.connect(
            host="127.0.0.1",
            port=self.daemons[vm].port,
            user="caller",
            password="",
            database=database,
            autocommit=autocommit,
        )
