"""
Platform daemon
===============

One process of the proxy on the users' platform: puts the core and the platform's edge
together, and shuts down without cutting a request.
"""

import asyncio
import os
import secrets
import signal
import sys
import time
from contextlib import AsyncExitStack

from aiohttp import web
from returns.result import Failure, Success

from cardamomdrift.bundle.configuration import Configuration
from cardamomdrift.failover.permission import Permission
from cardamomdrift.failover.replacer import Replacer
from cardamomdrift.membership.control import ControlPlane
from cardamomdrift.membership.feed import TableFeed
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.heartbeat import HeartbeatPort
from cardamomdrift.peers.link import AnswerPort
from cardamomdrift.peers.messages import BundleQuery, JsonReply
from cardamomdrift.peers.roster import Roster
from cardamomdrift.platform.callers import CallerServer
from cardamomdrift.platform.catalog import (
    CONFIG_KEY,
    CONFIG_TABLE,
    INSTANCE_TABLE,
    decode_deployment,
    decode_instance,
)
from cardamomdrift.platform.connection import make_connector
from cardamomdrift.platform.promotion import HttpPromotion
from cardamomdrift.platform.settings import load_site_settings
from cardamomdrift.platform.store import HttpStore
from cardamomdrift.routing.cluster import ClusterContext
from cardamomdrift.routing.clusters import (
    MAINTENANCE_INTERVAL,
    TRIM_INTERVAL,
    Clusters,
)
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.telemetry.exposition import (
    LoopDelay,
    RequestMetrics,
    add_part_instruments,
    expose,
    make_exposed_metrics,
)
from cardamomdrift.telemetry.lines import LineWriter
from cardamomdrift.telemetry.log import make_log, setup_bounded_logging
from cardamomdrift.telemetry.recorder import RequestRecorder
from cardamomdrift.util import cancel_all

READINESS_PATH = "/v1/readiness"
METRICS_PATH = "/metrics"
UNROUTED_TIME = 2.3  # seconds until the balancer has stopped sending callers
CLOSE_INTERVAL = 0.1  # seconds between two looks at the sessions while stopping
EXIT_TIME = 0.7  # seconds of the grace kept for the end of the process


class PlatformDaemon:
    """One daemon; an async context manager.

    Parameters
    ----------
    settings : SiteSettings
    writer : LineWriter
    """

    def __init__(self, settings, writer):
        self._settings = settings
        self._stack = AsyncExitStack()
        self._tasks = []
        self._stopping = False
        clock = asyncio.get_running_loop().time
        self.writer = writer
        self.log = make_log(settings.vm)
        self.store = HttpStore(settings.store)
        self.roster = Roster(settings.vm, settings.address, secrets.token_hex(4))
        self.permission = Permission(self.roster)
        self.instances = InstanceList()
        self._metrics = make_exposed_metrics(settings.vm)
        recorder = RequestRecorder(
            self.log, self.permission, RequestMetrics(self._metrics)
        )
        context = ClusterContext(
            vm=VmIdentity(settings.vm, settings.failure_domain),
            connector=lambda record: make_connector(record, settings.vm),
            permission=self.permission,
            members=lambda: self.roster.names,
            announce=lambda: self.announcer.announce(),
            clock=clock,
            log=self.log,
        )
        self.clusters = Clusters(context, self.instances, recorder)
        self.configuration = Configuration(
            decode_deployment, self._on_deployment, self.log
        )
        self.control = ControlPlane(
            self.store,
            self.roster,
            self.permission,
            settings.address,
            self.clusters,
            self._on_members,
            self.log,
        )
        self.announcer = Announcer(
            self.roster,
            self.permission,
            self.control,
            self.clusters,
            self.configuration,
            self._on_members,
            self.log,
        )
        self.replacer = Replacer(
            self.store,
            HttpPromotion(settings.promotions),
            self.control,
            self.roster,
            self.clusters,
            self.instances,
            self.announcer.announce,
            self.log,
        )
        self.callers = CallerServer(settings.callers, self.clusters, self.log)
        self.loop_delay = LoopDelay()
        add_part_instruments(self._metrics, self)

    @property
    def version(self):
        """Configuration in force."""
        return self.configuration.version

    @property
    def ready(self):
        """Whether the balancer may send callers."""
        return not self._stopping and self.version > 0 and len(self.instances) > 0

    # Start

    async def __aenter__(self):
        settings = self._settings
        enter = self._stack.enter_async_context
        await enter(self.store)
        await enter(self.clusters)
        port = HeartbeatPort(
            settings.address, settings.peer_port, self.announcer.take, self.log
        )
        self.announcer.use_port(port)
        await enter(port)
        await enter(
            AnswerPort(
                f"{settings.address}:{settings.peer_port}", self._answer, self.log
            )
        )
        await enter(self.loop_delay)
        await self._serve_http(settings.readiness, READINESS_PATH, self._readiness)
        await self._serve_http(settings.metrics, METRICS_PATH, expose)
        await enter(self._feed(CONFIG_TABLE, self._on_config_rows))
        await enter(self._feed(INSTANCE_TABLE, self._on_instance_rows))
        await enter(self.control)
        await enter(self.announcer)
        await enter(self.replacer)
        await enter(self.callers)
        self._tasks = [
            asyncio.create_task(self._maintain()),
            asyncio.create_task(self._trim()),
        ]
        self.log.info(
            "daemon started",
            callers=":".join(map(str, settings.callers)),
            failure_domain=settings.failure_domain,
            incarnation=self.roster.incarnation,
        )
        return self

    def _feed(self, table, on_rows):
        return TableFeed(self.store, table, on_rows, self._on_reachable, self.log)

    async def _serve_http(self, address, path, handler):
        application = web.Application()
        application.router.add_get(path, handler)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, *address).start()

    async def __aexit__(self, *exc_info):
        await cancel_all(self._tasks)
        await self._stack.aclose()
        self._metrics.close()

    # Events

    async def _on_config_rows(self, state):
        row = state.rows.get(CONFIG_KEY)
        if row is not None:
            await self.configuration.take(row.value, "store")

    async def _on_instance_rows(self, state):
        records = {}
        for name, row in state.rows.items():
            match decode_instance(name, row.value):
                case Success(record):
                    records[name] = record
                case Failure(error):
                    self.log.warning("instance entry not usable", error=str(error))
        self.instances.take(records, asyncio.get_running_loop().time())
        await self.clusters.set_instances()

    async def _on_deployment(self, deployment):
        await self.clusters.set_deployment(deployment)
        self.announcer.announce()

    def _on_members(self):
        self.clusters.set_members()
        self.clusters.pump()
        self.announcer.announce()

    def _on_reachable(self, reachable):
        if not reachable:
            self.instances.note_outage(asyncio.get_running_loop().time())

    async def _answer(self, query):
        if isinstance(query, BundleQuery):
            return self.configuration.reply()
        return JsonReply(b"{}")

    async def _readiness(self, _request):
        return web.Response(status=200 if self.ready else 503)

    async def _maintain(self):
        clock = asyncio.get_running_loop().time
        while True:
            now = clock()
            if self.instances.expire(now):
                await self.clusters.set_instances()
            self.clusters.watch(now)
            self.writer.flush()
            await asyncio.sleep(MAINTENANCE_INTERVAL)

    async def _trim(self):
        while True:
            await asyncio.sleep(TRIM_INTERVAL)
            self.clusters.trim(asyncio.get_running_loop().time())

    # Stop

    async def stop(self):
        """Let callers go, within the grace that the platform gives."""
        started = time.monotonic()
        end = started + self._settings.grace - EXIT_TIME
        self._stopping = True
        self.replacer.stop()
        self.log.info("daemon stopping", sessions=self.callers.sessions)
        await asyncio.sleep(min(UNROUTED_TIME, end - time.monotonic()))
        while time.monotonic() < end and (self.callers.sessions or self.replacer.busy):
            self.callers.close_idle()
            await asyncio.sleep(CLOSE_INTERVAL)
        self.announcer.leaving = True
        self.announcer.send_all()
        await self.control.leave()
        self.log.info(
            "daemon stopped",
            sessions=self.callers.sessions,
            took_s=round(time.monotonic() - started, 2),
        )


async def run(settings, writer):
    """Run a daemon until it is told to stop."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    async with PlatformDaemon(settings, writer) as daemon:
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        loop.add_signal_handler(
            signal.SIGHUP, lambda: daemon.log.info("settings signal, nothing to reload")
        )
        await stopped.wait()
        await daemon.stop()
    writer.flush()


def main():
    """Run the daemon of this VM; return its exit code."""
    writer = LineWriter(sys.stdout.fileno(), time.monotonic)
    setup_bounded_logging("info", writer)
    match load_site_settings():
        case Failure(error):
            for fault in error.faults:
                make_log("unknown").error("settings not usable", fault=fault)
            return os.EX_CONFIG
        case Success(settings):
            asyncio.run(run(settings, writer))
            return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
