"""
Bundle follower
===============

Polls the platform for the newest bundle and passes each newer version to the daemon; an
older one is never applied.  While the platform is unavailable, bundles are fetched from
peers.  A daemon that starts serves no requests until it has the newest version from the
platform or, if the platform is unavailable, the newest version among the replies of a
majority of its configured peers.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.bundle.model import Bundle
from cardamomdrift.bundle.registry import decode_or_raise
from cardamomdrift.cloud.objects import digest_of
from cardamomdrift.errors import BundleError, PlatformRefused, PlatformUnavailable
from cardamomdrift.peers.messages import BundleQuery, BundleReply
from cardamomdrift.peers.queries import send_query
from cardamomdrift.util import cancel_all

POLL_INTERVAL = 2.0  # seconds
START_RETRY_DELAY = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class BundleInForce:
    """The bundle in force: the version that the daemon applies."""

    version: int
    digest: str
    body: bytes
    bundle: Bundle


class BundleFollower:
    """Keeps the daemon's bundle up to date; an async context manager.

    Parameters
    ----------
    registry : BundleRegistry
    seeds : sequence of str
        Addresses of the peers in the settings, as ``ip:port``.
    on_bundle : coroutine function
        Takes a BundleInForce and returns once it is applied.
    log : structlog logger
    """

    def __init__(self, registry, seeds, on_bundle, log):
        self._registry = registry
        self._seeds = tuple(seeds)
        self._on_bundle = on_bundle
        self._log = log
        self._bundle_in_force = None
        self._hint_received = asyncio.Event()
        self._hinted_peer = None
        self._task = None
        self._lock = asyncio.Lock()

    @property
    def bundle_in_force(self):
        """The BundleInForce that is applied, or None before the first."""
        return self._bundle_in_force

    @property
    def version(self):
        """Version of the bundle in force; 0 before the first."""
        return self._bundle_in_force.version if self._bundle_in_force else 0

    async def start(self):
        """Wait until a first bundle is applied, from the platform or from peers."""
        while self._bundle_in_force is None:
            try:
                await self._poll()
            except PlatformUnavailable:
                await self._start_from_peers()
            if self._bundle_in_force is None:
                await asyncio.sleep(START_RETRY_DELAY)

    async def _start_from_peers(self):
        replies = await asyncio.gather(
            *(send_query(address, BundleQuery()) for address in self._seeds)
        )
        answers = [reply for reply in replies if isinstance(reply, BundleReply)]
        if not self._seeds or len(answers) * 2 <= len(self._seeds):
            self._log.warning("no bundle: platform down, too few peers answer")
            return
        newest = max(answers, key=lambda reply: reply.version)
        if newest.version:
            await self._activate(newest.version, newest.digest, newest.body)

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    def on_peer_version(self, version, address):
        """Poll the platform immediately if a peer reports a newer version."""
        if version > self.version:
            self._hinted_peer = (version, address)
            self._hint_received.set()

    async def _run(self):
        while True:
            try:
                async with asyncio.timeout(POLL_INTERVAL):
                    await self._hint_received.wait()
            except TimeoutError:
                pass
            self._hint_received.clear()
            try:
                await self._poll()
            except PlatformUnavailable:
                await self._fetch_from_hinted_peer()

    async def _fetch_from_hinted_peer(self):
        """Fetch the newer bundle from the peer that reported it."""
        hinted_peer, self._hinted_peer = self._hinted_peer, None
        if (
            hinted_peer is None
            or hinted_peer[0] <= self.version
            or hinted_peer[1] is None
        ):
            return
        reply = await send_query(hinted_peer[1], BundleQuery())
        if isinstance(reply, BundleReply):
            await self._activate(reply.version, reply.digest, reply.body)

    async def _poll(self):
        newest = await self._registry.latest()
        if newest is None or newest.version <= self.version:
            return
        try:
            body = await self._registry.fetch(newest.digest)
        except (BundleError, PlatformRefused) as error:
            self._log.error(
                "bundle not usable", version=newest.version, error=str(error)
            )
            return
        await self._activate(newest.version, newest.digest, body)

    async def _activate(self, version, digest, body):
        async with self._lock:
            if version <= self.version:
                return
            if digest_of(body) != digest:
                self._log.error("bundle does not match its digest", version=version)
                return
            try:
                bundle = decode_or_raise(body)
            except BundleError as error:
                self._log.error("bundle not usable", version=version, error=str(error))
                return
            bundle_in_force = BundleInForce(version, digest, body, bundle)
            await self._on_bundle(bundle_in_force)
            self._bundle_in_force = bundle_in_force
            self._log.info("bundle in force", version=version, digest=digest[:12])
