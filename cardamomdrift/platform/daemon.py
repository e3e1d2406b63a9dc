"""
Platform daemon
===============

Assembles one daemon from the core and the adapters to the users' platform, dispatches
its events, and drains its callers before it exits.
"""

import asyncio
import secrets
from contextlib import AsyncExitStack
from importlib import import_module

import msgspec
from returns.result import Failure, Success

from cardamomdrift.bundle.configuration import Configuration
from cardamomdrift.clock import boot_clock
from cardamomdrift.customers.gate import AccessGate
from cardamomdrift.customers.proof import FreshnessProof
from cardamomdrift.customers.prover import Prover
from cardamomdrift.customers.quota_gate import QuotaGate
from cardamomdrift.failover.execution import ReplacementExecutor
from cardamomdrift.failover.permission import Permission
from cardamomdrift.failover.replacer import Replacer
from cardamomdrift.http.server import HttpServer
from cardamomdrift.limits.descriptors import plan_descriptors
from cardamomdrift.limits.memory import MemoryBudget
from cardamomdrift.loops import repeat
from cardamomdrift.membership.control import ControlPlane
from cardamomdrift.membership.feed import TableFeed
from cardamomdrift.membership.holder_keeper import HolderKeeper
from cardamomdrift.membership.informed import is_informed
from cardamomdrift.membership.instance_list import InstanceList
from cardamomdrift.peers.announcer import Announcer
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT, primary_contacts
from cardamomdrift.peers.heartbeat import HeartbeatPort
from cardamomdrift.peers.loans import LOAN_PORT_OFFSET
from cardamomdrift.peers.messages import (
    BundleQuery,
    DrainRequest,
    InstancesQuery,
    InstancesReply,
    JsonReply,
    PlacementQuery,
    StatusQuery,
)
from cardamomdrift.peers.queries import QueryServer, send_query
from cardamomdrift.peers.restart import RestartWatch
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
from cardamomdrift.platform.store import HttpStore
from cardamomdrift.ports import Row
from cardamomdrift.routing.clusters import (
    MAINTENANCE_INTERVAL,
    TRIM_INTERVAL,
    Clusters,
)
from cardamomdrift.routing.context import ClusterContext
from cardamomdrift.routing.identity import VmIdentity
from cardamomdrift.telemetry.delay import LoopDelay
from cardamomdrift.telemetry.log import make_log
from cardamomdrift.telemetry.placement_responder import PlacementResponder
from cardamomdrift.telemetry.placement_state import Sources
from cardamomdrift.telemetry.recorder import RequestRecorder
from cardamomdrift.upstreams.borrower import Borrower
from cardamomdrift.upstreams.lender import Lender
from cardamomdrift.util import cancel_all

READINESS_PATH = "/v1/readiness"
METRICS_PATH = "/metrics"
BALANCER_REMOVAL_TIME = 2.3  # seconds until the load balancer stops sending callers
IDLE_CLOSE_INTERVAL = 0.1  # seconds between two attempts to close idle sessions
# Seconds.  Loading the metrics library at the start would delay the first callers.
METRICS_LOAD_DELAY = 3.0
EXIT_RESERVE = 0.7  # seconds of the grace period that remain for the process to exit
ANSWER_RESERVE = 0.3  # seconds before that to send the last answers


class PlatformDaemon:
    """Daemon on the users' platform; an async context manager.

    Parameters
    ----------
    settings : PlatformSettings
    writer : LineWriter
    turns : TurnMeter, optional
        Selector of the event loop.
    """

    def __init__(self, settings, writer, turns=None):
        self.turns = turns
        self.budget = MemoryBudget(settings.memory_limit)
        self._descriptors = plan_descriptors(settings.descriptor_limit)
        self._settings = settings
        self._stack = AsyncExitStack()
        self._tasks = []
        self._stopping = False
        self.drain_requested = asyncio.Event()
        clock = asyncio.get_running_loop().time
        self.writer = writer
        self.log = make_log(settings.vm)
        self.store = HttpStore(settings.store)
        self.roster = Roster(
            settings.vm,
            settings.address,
            secrets.token_hex(4),
            boot_clock(),
            settings.failure_domain,
        )
        self.permission = Permission(self.roster)
        self.instances = InstanceList(clock)
        self._exposition = None
        self._needs_proof = (
            settings.customers_in_force and settings.bounds.strict_revocation
        )
        self._config_feed = self._make_config_feed()
        self._instance_feed = self._make_feed(INSTANCE_TABLE, self._on_instance_rows)
        self._list_fetch = None
        self.proof = self.gate = None
        if settings.customers_in_force:
            self.proof, self.gate = self._make_gate()
        self._recorder = RequestRecorder(
            self.log,
            self.permission,
            None if self.gate is None else self.gate.proof_milliseconds,
        )
        self.borrower = Borrower(
            settings.vm,
            self._lender_addresses,
            settings.peer_port,
            clock,
            self.log,
            lambda: self.roster.domains.known,
        )
        self.clusters = Clusters(
            self._make_context(clock), self.instances, self._recorder
        )
        self.restarts = None
        if settings.quotas_in_force:
            self.restarts = RestartWatch(
                self.roster, lambda: self.control.lists_all, boot_clock
            )
            self.clusters.quota_gate = self._make_quota_gate()
            self.gate.use_quota(self.clusters.quota_gate)
        self.configuration = Configuration(
            decode_deployment,
            self._on_deployment,
            self.log,
            lambda: not self._config_feed.failing,
            self._needs_proof,
            lambda: self._config_feed.read_if_informed(),
        )
        self.control = self._make_control()
        self.announcer = self._make_announcer()
        self.holder_keeper = self._make_holder_keeper()
        self.replacer = self._make_replacer()
        self.lender = self._make_lender(clock)
        self.callers = CallerServer(
            settings.callers,
            self.clusters,
            self.log,
            self.gate,
            self.budget,
            self._descriptors.callers,
        )
        self.queries = self._make_query_server()
        self._placement_responder = PlacementResponder(
            self._placement_sources, clock, boot_clock
        )
        self.loop_delay = LoopDelay()

    def _make_query_server(self):
        settings = self._settings
        return QueryServer(
            f"{settings.address}:{settings.peer_port}",
            self._answer_query,
            self.log,
            self._descriptors.queries,
            self.budget,
        )

    def _make_quota_gate(self):
        settings = self._settings
        return QuotaGate(
            self.roster,
            settings.address,
            settings.peer_port,
            settings.bounds,
            boot_clock,
            self.log,
            self.restarts,
        )

    def _make_control(self):
        return ControlPlane(
            self.store,
            self.roster,
            self.permission,
            self._settings.address,
            self.clusters,
            self._on_members,
            self.log,
        )

    def _make_announcer(self):
        return Announcer(
            self.roster,
            self.permission,
            self.control,
            self.clusters,
            self.configuration,
            self.instances,
            self._on_members,
            self.log,
            self.proof,
            self.restarts,
        )

    def _make_holder_keeper(self):
        return HolderKeeper(
            self.store,
            self.control,
            self.roster,
            self.clusters,
            self.instances,
            self.log,
        )

    def _make_replacer(self):
        executor = ReplacementExecutor(
            self.store,
            HttpPromotion(self._settings.promotion_address),
            self.control,
            self.roster,
            self.clusters,
            self.instances,
            self.holder_keeper,
            self.announcer.announce,
            self.log,
        )
        return Replacer(
            executor,
            self.control,
            self.roster,
            self.clusters,
            self.instances,
            self.log,
        )

    def _make_gate(self):
        """Return the FreshnessProof and the AccessGate of a daemon with customers."""
        bounds = self._settings.bounds
        proof = FreshnessProof(bounds.revocation_time, bounds.strict_revocation)
        gate = AccessGate(
            lambda: self.configuration.deployment,
            proof,
            lambda: self._config_feed.call_briefly(),
        )
        return proof, gate

    def _make_lender(self, clock):
        settings = self._settings
        checks = [] if self.gate is None else [self.gate.check_loan]
        return Lender(
            (settings.address, settings.peer_port + LOAN_PORT_OFFSET),
            self.clusters.find_instance,
            lambda: self.clusters.transaction_idle_timeout,
            clock,
            self.log,
            self.budget,
            self._descriptors.loans,
            *checks,
        )

    def _make_context(self, clock):
        settings = self._settings
        return ClusterContext(
            vm=VmIdentity(settings.vm, settings.failure_domain),
            connector=lambda record: make_connector(record, settings.vm),
            permission=self.permission,
            members=self._members,
            domains=lambda: self.roster.domains.known,
            voters=lambda: self.roster.voters.names,
            announce=lambda: self.announcer.announce(),
            borrow=self.borrower.borrow,
            contacts=self._contacts,
            clock=clock,
            log=self.log,
            customers_in_force=settings.customers_in_force,
        )

    @property
    def version(self):
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version

    def feed_ages(self):
        """Return the seconds since the store last answered each feed, by table.

        While the voters inform this daemon, it is the age of their list of instances.
        """
        now = asyncio.get_running_loop().time()
        feeds = {CONFIG_TABLE: self._config_feed, INSTANCE_TABLE: self._instance_feed}
        ages = {
            table: self.instances.voters_age()
            if feed.informed
            else feed.answer_age(now)
            for table, feed in feeds.items()
        }
        return {table: age for table, age in ages.items() if age is not None}

    @property
    def ready(self):
        """Whether the load balancer may send callers."""
        return not self._stopping and self.version > 0 and len(self.instances) > 0

    def _members(self):
        """Return the names of the daemons that share the connections.

        Empty until the voters are known, and with them the list of the daemons.
        """
        return self.roster.names if self.roster.voters.epoch else ()

    def _contacts(self, group, generation):
        return primary_contacts(self.roster, group, generation, boot_clock())

    def _lender_addresses(self):
        """Return the addresses, by name, of the daemons that may lend connections."""
        peers = self.roster.reachable_peers(boot_clock(), LIVENESS_TIMEOUT)
        return {
            name: peer.address for name, peer in peers.items() if not peer.is_leaving
        }

    # Start-up

    async def __aenter__(self):
        settings = self._settings
        enter = self._stack.enter_async_context
        await enter(self.store)
        await enter(self.clusters)
        port = HeartbeatPort(
            settings.address, settings.peer_port, self.announcer.receive, self.log
        )
        self.announcer.use_port(port)
        await enter(port)
        if self.clusters.quota_gate is not None:
            await enter(self.clusters.quota_gate)
            self.restarts.begin()
        await enter(self.queries)
        await enter(self.loop_delay)
        await enter(
            self._make_http_server(
                settings.readiness, READINESS_PATH, self._readiness_response
            )
        )
        await self._serve_metrics()
        await enter(self._config_feed)
        self.instances.set_feed_callbacks(
            self._on_newer_list, self._instance_feed.request_read
        )
        await enter(self._instance_feed)
        await enter(self.control)
        await enter(self.announcer)
        await enter(self.holder_keeper)
        await enter(self.replacer)
        await enter(self.lender)
        self._stack.enter_context(self.borrower)
        await enter(self.callers)
        self._tasks = [
            asyncio.create_task(repeat("maintenance", self._maintain, self.log)),
            asyncio.create_task(repeat("trim", self._trim, self.log)),
            asyncio.create_task(self._load_metrics()),
        ]
        if self.proof is not None and self.proof.needed:
            prover = Prover(
                self.proof,
                self.configuration,
                self.roster,
                self._config_feed,
                self._count_followers,
            )
            work = repeat("proof", prover.run_step, self.log)
            self._tasks.append(asyncio.create_task(work))
        self.log.info(
            "daemon started",
            callers=":".join(map(str, settings.callers)),
            failure_domain=settings.failure_domain,
            incarnation=self.roster.incarnation,
        )
        return self

    def _make_config_feed(self):
        options = {}
        if self._needs_proof:
            # Until the next change is here, statements wait or are refused.
            options["change_pause"] = lambda daemons: 0.0
        return self._make_feed(
            CONFIG_TABLE, self._on_config_rows, self._on_config_answer, **options
        )

    def _make_feed(self, table, on_rows, on_answer=lambda begun_at: None, **options):
        return TableFeed(
            self.store,
            table,
            on_rows,
            self._on_reachability_change,
            self._count_followers,
            self.log,
            on_answer,
            is_informed=self._is_informed,
            **options,
        )

    def _is_informed(self):
        return is_informed(self.roster, self.instances, boot_clock())

    def _count_followers(self):
        """Return the number of daemons that follow a table as closely as this one.

        The others learn from the voters how current their tables are.
        """
        roster = self.roster
        return len(roster.voters.names) if roster.is_voter else len(roster.names)

    async def _serve_metrics(self):
        """Serve the metrics; a failure is logged, since callers do not need them."""
        address = self._settings.metrics
        server = self._make_http_server(address, METRICS_PATH, self._metrics_response)
        try:
            await self._stack.enter_async_context(server)
        except OSError as error:
            self.log.error("metrics not served", port=address[1], error=str(error))

    def _make_http_server(self, address, path, handler):
        return HttpServer(address, {path: handler}, self.log)

    async def __aexit__(self, *exc_info):
        await cancel_all(self._tasks)
        await self._stack.aclose()
        if self._exposition is not None:
            self._exposition.close()

    # Events

    async def _on_config_rows(self, state):
        row = state.rows.get(CONFIG_KEY)
        if row is not None:
            await self.configuration.update(row.value, "store")

    def _on_config_answer(self, begun_at):
        """Record a proof unless the store has a configuration that is not in force."""
        if self.proof is None:
            return
        row = self._config_feed.rows.get(CONFIG_KEY)
        if row is None or self.configuration.covers(row.value):
            self.proof.record_call(begun_at)

    async def _on_instance_rows(self, state):
        records = {}
        for name, row in state.rows.items():
            match decode_instance(name, row.value):
                case Success(record):
                    records[name] = record
                case Failure(error):
                    self.log.warning("instance entry not usable", error=str(error))
        self.instances.update(records, asyncio.get_running_loop().time())
        await self.clusters.set_instances()

    def _on_newer_list(self, changed, address):
        """Fetch the newer list of instances that another daemon knows.

        It comes from the store or, while the store cannot be reached, from that daemon.
        """
        if self._instance_feed.reachable:
            self._instance_feed.hint(changed)
        elif self._list_fetch is None or self._list_fetch.done():
            self._list_fetch = asyncio.create_task(self._fetch_list_from_peer(address))

    async def _fetch_list_from_peer(self, address):
        reply = await send_query(address, InstancesQuery())
        if not isinstance(reply, InstancesReply):
            return
        rows = {name: Row(name, value, 0) for name, value in reply.entries.items()}
        await self._instance_feed.apply_peer_rows(rows, reply.changed)
        self.instances.changed = self._instance_feed.changed
        self.log.info(
            "list of instances taken from a peer", source=address, entries=len(rows)
        )

    async def _on_deployment(self, deployment):
        if self.clusters.quota_gate is not None:
            self.clusters.quota_gate.set_customers(deployment.customers)
        await self.clusters.set_deployment(deployment)
        if self.gate is not None:
            self.clusters.end_withdrawn()
        self.announcer.announce()

    def _on_members(self):
        if self.clusters.quota_gate is not None:
            members = self._members() if self.roster.knows_members else ()
            self.restarts.set_view(members)
            self.clusters.quota_gate.set_members(members)
        self.clusters.set_members()
        self.clusters.dispatch_waiting()
        self.announcer.announce()

    def _on_reachability_change(self, table, reachable):
        now = asyncio.get_running_loop().time()
        if not reachable:
            self.instances.postpone_removals(now)
        elif table == INSTANCE_TABLE:
            self.instances.mark_current(self._instance_feed.changed)

    async def _answer_query(self, query):
        match query:
            case BundleQuery():
                return self.configuration.reply()
            case InstancesQuery():
                feed = self._instance_feed
                entries = {name: row.value for name, row in feed.rows.items()}
                return InstancesReply(feed.changed, entries)
            case StatusQuery():
                return JsonReply(msgspec.json.encode(self._status()))
            case PlacementQuery():
                return JsonReply(self._placement_responder.answer(query))
            case DrainRequest():
                self.drain_requested.set()
                return JsonReply(b'{"draining":true}')
        return JsonReply(b'{"error":"not known to this daemon"}')

    def _status(self):
        """Return the daemon's state as plain values, for operators."""
        return {
            "vm": self._settings.vm,
            "ready": self.ready,
            "version": self.version,
            "members": self.roster.names,
            "voters": self.roster.voters.names,
            "epoch": self.roster.voters.epoch,
            "store_reachable": self.control.reachable,
            "permission_ms": round((self.permission.until - boot_clock()) * 1000)
            if self.permission.until > 0
            else None,
            "proof_ms": None if self.gate is None else self.gate.proof_milliseconds(),
            "sessions": self.callers.session_count,
            "groups": {
                cluster.group.name: cluster.status() for cluster in self.clusters
            },
            "placement": self._placement_responder.state(),
        }

    def _placement_sources(self):
        settings = self._settings
        return Sources(
            VmIdentity(settings.vm, settings.failure_domain),
            self.clusters,
            self.gate,
            self.permission,
            self._members(),
        )

    def _readiness_response(self):
        return 200 if self.ready else 503, "text/plain", b""

    async def _load_metrics(self):
        """Load the metrics library, some time after the start."""
        await asyncio.sleep(METRICS_LOAD_DELAY)
        module = import_module("cardamomdrift.telemetry.exposition")
        self._exposition = module.Exposition(self._settings.vm, self)
        self._recorder.use_metrics(self._exposition.requests)

    def _metrics_response(self):
        if self._exposition is None:
            return 503, "text/plain", b""
        return self._exposition.render()

    async def _maintain(self):
        await asyncio.sleep(MAINTENANCE_INTERVAL)
        now = asyncio.get_running_loop().time()
        if self.instances.remove_expired(now):
            await self.clusters.set_instances()
        self.clusters.run_checks(now)
        if self.clusters.quota_gate is not None:
            self.clusters.quota_gate.check()
        self.writer.flush()

    async def _trim(self):
        await asyncio.sleep(TRIM_INTERVAL)
        self.clusters.trim(asyncio.get_running_loop().time())

    # Shutdown

    def _has_unfinished_work(self):
        return (
            self.callers.session_count or self.replacer.busy or self.lender.active_loans
        )

    async def stop(self):
        """Shut down within the grace period.

        The callers are drained first.  Then the other daemons are told, and this daemon
        is deregistered.
        """
        clock = asyncio.get_running_loop().time
        started = clock()
        answer_by = started + self._settings.stop_grace - EXIT_RESERVE - ANSWER_RESERVE
        self.clusters.answer_by = answer_by
        self._stopping = True
        self.roster.stopping = True
        self.announcer.announce()
        self.replacer.stop()
        self.log.info("daemon stopping", sessions=self.callers.session_count)
        await asyncio.sleep(min(BALANCER_REMOVAL_TIME, answer_by - clock()))
        self.lender.stop()
        while clock() < answer_by and self._has_unfinished_work():
            self.callers.close_idle()
            await asyncio.sleep(IDLE_CLOSE_INTERVAL)
        await asyncio.gather(self.callers.finish(), self.lender.finish())
        self.announcer.leaving = True
        self.announcer.send_all()
        await self.control.deregister()
        self.log.info(
            "daemon stopped",
            sessions=self.callers.session_count,
            took_s=round(clock() - started, 2),
        )
