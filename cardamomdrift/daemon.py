"""
Daemon
======

Assembles one daemon that serves MySQL callers, and lets running requests finish before
it exits.
"""

import asyncio
import signal
import sys
import time
from contextlib import AsyncExitStack

import fire
import msgspec
from aiohttp import ClientSession, TCPConnector
from returns.result import Failure, Success

from cardamomdrift.allocator import return_large_blocks
from cardamomdrift.bundle.follower import BundleFollower
from cardamomdrift.bundle.registry import BundleRegistry
from cardamomdrift.cloud.objects import ObjectStore
from cardamomdrift.cloud.table import make_table
from cardamomdrift.limits.admission import Fifo
from cardamomdrift.limits.descriptors import plan_mysql_connections
from cardamomdrift.limits.memory import MEGABYTE, MYSQL_PROCESS_BYTES, MemoryBudget
from cardamomdrift.membership.lease_keeper import LeaseKeeper
from cardamomdrift.mysql.session import CallerSession
from cardamomdrift.mysql.wire import PasswordIdentity, PasswordlessIdentity, WireServer
from cardamomdrift.peers.link import PeerLink
from cardamomdrift.peers.messages import (
    BundleQuery,
    BundleReply,
    BurnQuery,
    DrainRequest,
    GroupUpdate,
    Hello,
    JsonReply,
    MetricsQuery,
    StateUpdate,
    StatusQuery,
)
from cardamomdrift.peers.queries import send_query
from cardamomdrift.peers.updates import PeerUpdates
from cardamomdrift.routing.group import GroupContext
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.service import Service
from cardamomdrift.session_limits import SessionLimits
from cardamomdrift.settings import load_settings
from cardamomdrift.telemetry.log import make_log, setup_logging
from cardamomdrift.util import MILLISECONDS, cancel_all

UPDATE_INTERVAL = 1.0  # seconds between state updates
UPDATE_MIN_INTERVAL = 0.1  # seconds between two updates, even if one is requested
PLATFORM_CONNECTIONS = 4  # maximum number of HTTP connections to the platform
FINAL_UPDATE_DELAY = 0.1  # seconds to send the last state update
MIN_DRAIN_TIME = 1.0  # seconds in which idle callers still get a typed refusal


def _make_identity(callers):
    return PasswordIdentity(callers.users) if callers.users else PasswordlessIdentity()


class Daemon:
    """Daemon that serves MySQL callers; an async context manager.

    Parameters
    ----------
    settings : Settings
    policy : Fifo or NewestFirst or Adaptive
        Order in which waiting requests are admitted.
    """

    def __init__(self, settings, policy=None):
        self._settings = settings
        self._log = make_log(settings.vm)
        self._clock = asyncio.get_running_loop().time
        self._stack = AsyncExitStack()
        self._peer_updates = PeerUpdates()
        self._peer_addresses = {}
        self._members = (settings.vm,)
        self._policy = policy or Fifo()
        self._limits = self._make_limits()
        self._drain_requested = asyncio.Event()
        self._update_requested = asyncio.Event()
        self._tasks = []
        self._service = None
        self._server = None
        self._keeper = None
        self._follower = None
        self._link = None

    @property
    def service(self):
        """Service that runs the requests of callers."""
        return self._service

    @property
    def follower(self):
        """BundleFollower that keeps the bundle up to date."""
        return self._follower

    @property
    def keeper(self):
        """LeaseKeeper that renews the daemon's lease."""
        return self._keeper

    @property
    def link(self):
        """Link to the other daemons."""
        return self._link

    @property
    def port(self):
        """Port for callers."""
        return self._server.port

    @property
    def peer_address(self):
        """``ip:port`` for state updates of peers."""
        return self._settings.peer_address

    @property
    def drain_requested(self):
        """Set once an operator or a signal has asked for a graceful shutdown."""
        return self._drain_requested

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def _start(self):
        settings = self._settings
        session = await self._stack.enter_async_context(
            ClientSession(connector=TCPConnector(limit=PLATFORM_CONNECTIONS))
        )
        table = make_table(session, settings.platform)
        vm = VmIdentity(settings.vm, settings.failure_domain)
        self._service = await self._stack.enter_async_context(
            self._make_service(table, vm)
        )
        self._link = await self._stack.enter_async_context(
            PeerLink(
                vm.name,
                settings.peer_address,
                self._on_update,
                self._answer_query,
                self._log,
                self._limits.budget,
            )
        )
        self._keeper = await self._stack.enter_async_context(
            LeaseKeeper(
                table,
                settings.deployment,
                vm,
                settings.peer_address,
                time.time,
                self._on_membership,
                self._notify_peers,
                self._log,
            )
        )
        objects = ObjectStore(session, settings.platform)
        registry = BundleRegistry(table, objects, settings.deployment)
        self._follower = BundleFollower(
            registry, settings.seeds, self._on_bundle, self._log
        )
        await self._follower.start()
        await self._stack.enter_async_context(self._follower)
        await self._listen()
        self._tasks = [asyncio.create_task(self._send_updates())]
        self._stack.push_async_callback(cancel_all, self._tasks)
        self._log.info("daemon started", port=self.port, bundle=self._follower.version)

    def _make_limits(self):
        limits, callers = self._settings.limits, self._settings.callers
        budget = MemoryBudget(limits.memory_mb * MEGABYTE, MYSQL_PROCESS_BYTES)
        connections = plan_mysql_connections(limits.max_fds)
        return SessionLimits(
            budget, min(callers.max_connections, connections), self._clock, self._log
        )

    def _make_service(self, table, vm):
        settings = self._settings
        context = GroupContext(
            vm=vm,
            login=settings.login,
            table=table,
            deployment=settings.deployment,
            members=lambda: self._members,
            primary_contact_age=self._contact_age,
            clock=self._clock,
            log=self._log,
            policy=self._policy,
        )
        return Service(context, settings.token_key)

    async def _listen(self):
        callers = self._settings.callers
        await self._stack.enter_async_context(self._limits)
        self._server = WireServer(
            lambda: CallerSession(self._service, self._clock),
            _make_identity(callers),
            callers.max_connections,
            callers.max_packet_bytes,
            self._settings.make_tls_context(),
            require_tls=not callers.allow_plaintext,
            limits=self._limits,
        )
        await self._stack.enter_async_context(self._server)
        await self._server.open(callers.address, callers.port)

    async def __aexit__(self, *exc_info):
        await self._stack.aclose()

    async def stop(self):
        """Shut down gracefully; return whether every request was finished.

        New connections and requests are refused, and peers are told.  Running requests
        and transactions may end within the drain timeout.  Connections to instances are
        closed before the lease is given up.
        """
        self._server.stop_listening()
        self._service.refuse_new_requests()
        self._update_requested.set()
        started = self._clock()
        clean = await self._service.drain(self._settings.drain_timeout)
        await asyncio.sleep(max(0.0, started + MIN_DRAIN_TIME - self._clock()))
        self._log.info("daemon drained", clean=clean)
        await self._server.close()
        await self._service.close_groups()
        await self._keeper.release_lease()
        await self._link.publish(self._make_update())
        await asyncio.sleep(FINAL_UPDATE_DELAY)
        return clean

    def abort(self):
        """Drop every caller immediately, as a crash does; for tests."""
        self._server.stop_listening()
        self._server.abort_connections()

    # Peers

    def _contact_age(self, group, term):
        return self._peer_updates.contact_age(group, term, self._clock())

    def _on_update(self, update):
        if update.vm == self._settings.vm:
            return
        self._peer_updates.apply_update(update, self._clock())
        if update.leaving:
            # Its share of the connections is free once its lease is gone.
            self._keeper.request_renewal()
        address = self._peer_addresses.get(update.vm)
        self._follower.on_peer_version(update.bundle_version, address)
        for name, reported in update.groups.items():
            group = self._service.groups.get(name)
            if group is not None and reported.term > group.view.term:
                group.observe_term(reported.term)

    def _make_update(self):
        return StateUpdate(
            vm=self._settings.vm,
            bundle_version=self._follower.version,
            groups={
                name: GroupUpdate(group.view.term, self._own_contact_age_ms(group))
                for name, group in self._service.groups.items()
            },
            leaving=self._service.draining,
        )

    def _own_contact_age_ms(self, group):
        """Return the milliseconds since the primary last answered; -1 for never."""
        primary = group.view.primary
        answered_at = group.view.instances[primary].answered_at if primary else None
        if answered_at is None:
            return -1
        return int((self._clock() - answered_at) * MILLISECONDS)

    async def _send_updates(self):
        while True:
            await self._link.publish(self._make_update())
            try:
                async with asyncio.timeout(UPDATE_INTERVAL):
                    await self._update_requested.wait()
            except TimeoutError:
                continue
            self._update_requested.clear()
            await asyncio.sleep(UPDATE_MIN_INTERVAL)

    def _on_membership(self, membership):
        self._members = tuple(sorted(membership.counted))
        self._peer_addresses = membership.addresses
        self._link.set_peers(membership.addresses)
        self._service.set_membership(membership)
        self._log.info(
            "membership changed",
            counted=len(membership.counted),
            may_connect=membership.may_connect,
        )

    async def _notify_peers(self, membership):
        hello = Hello(self._settings.vm)
        await asyncio.gather(
            *(send_query(address, hello) for address in membership.addresses.values())
        )

    async def _on_bundle(self, bundle_in_force):
        await self._service.apply_bundle(bundle_in_force)
        self._update_requested.set()

    # Queries

    async def _answer_query(self, query):
        match query:
            case BundleQuery():
                return self._bundle_reply()
            case Hello():
                self._keeper.request_renewal()
                return JsonReply(msgspec.json.encode({"counted": False}))
            case StatusQuery():
                return JsonReply(msgspec.json.encode(self.status()))
            case MetricsQuery():
                return JsonReply(self._service.metrics.collect())
            case BurnQuery():
                return JsonReply(msgspec.json.encode(self._burn_report()))
            case DrainRequest():
                self._drain_requested.set()
                return JsonReply(msgspec.json.encode({"draining": True}))

    def _bundle_reply(self):
        bundle_in_force = self._follower.bundle_in_force if self._follower else None
        if bundle_in_force is None:
            return BundleReply(0, "", b"")
        return BundleReply(
            bundle_in_force.version, bundle_in_force.digest, bundle_in_force.body
        )

    def _burn_report(self):
        bundle = self._service.bundle
        objectives = (
            {
                name: request_class.objective
                for name, request_class in bundle.classes.items()
            }
            if bundle
            else {}
        )
        return self._service.burn.report(objectives, time.time())

    def status(self):
        """Return the daemon's state as plain values, for operators."""
        membership = self._keeper.membership
        return {
            "vm": self._settings.vm,
            "failure_domain": self._settings.failure_domain,
            "bundle_version": self._follower.version if self._follower else 0,
            "draining": self._service.draining,
            "platform_answers": self._keeper.platform_answers,
            "members": sorted(membership.counted),
            "may_connect": membership.may_connect,
            "callers": self._server.connections if self._server else 0,
            "active": self._service.active_count,
            "memory": {
                "held": self._limits.budget.held,
                **self._limits.budget.counts,
            },
            "news_bytes": {
                "sent": self._link.sent_bytes,
                "received": self._link.received_bytes,
            },
            "groups": {
                name: group.status() for name, group in self._service.groups.items()
            },
        }


async def run(settings):
    """Run a daemon until a signal or an operator ends it; return the exit code."""
    async with Daemon(settings) as daemon:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.drain_requested.set)
        await daemon.drain_requested.wait()
        clean = await daemon.stop()
    return 0 if clean else 1


def start(settings):
    """Run the daemon with the settings in a file.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    match load_settings(settings):
        case Failure(error):
            print(error, file=sys.stderr)
            sys.exit(2)
        case Success(loaded):
            setup_logging(loaded.log_level)
            return_large_blocks()
            sys.exit(asyncio.run(run(loaded)))


def main():
    """Entry point of ``cardamomdriftd``."""
    fire.Fire(start, name="cardamomdriftd")


if __name__ == "__main__":
    main()
