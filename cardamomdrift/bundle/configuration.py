"""
Configuration
=============

Holds the configuration that a daemon on the users' platform applies; a daemon for MySQL
callers has a `BundleFollower` instead.  A configuration is applied only if it can be
decoded and its version is higher than the current one.  A newer version that a peer
reports is fetched from a peer that has it if the store does not deliver it.
"""

import asyncio
import time

from returns.result import Failure, Success

from cardamomdrift.peers.messages import BundleQuery, BundleReply
from cardamomdrift.peers.queries import send_query
from cardamomdrift.util import cancel_all, hash_text

# Seconds that the store has to deliver a configuration that a peer already has, and
# seconds between two looks.
STORE_GRACE, STORE_POLL_INTERVAL = 1.0, 0.05
# Seconds instead, where keys are served only with a proof: statements wait until the
# newer configuration is here, and after 0.3 s they are refused.
URGENT_STORE_GRACE = 0.1
# Bytes per second of a configuration over a link of 5 Mbit/s that carries answers, too.
SLOW_LINK_RATE = 250_000
FETCH_TIMEOUT = 5.0  # seconds; a configuration of 1 MB over a link of 5 Mbit/s takes 2
HEDGE_DELAY = 0.7  # seconds without an answer until another peer is asked, too
MAX_PEER_QUERIES = 3  # at a time


def store_grace(size, urgent):
    """Return the seconds that the store has to deliver a configuration.

    Parameters
    ----------
    size : int
        Bytes of the present configuration, as an estimate for the newer one.
    urgent : bool
        Whether statements wait for it.
    """
    if not urgent:
        return STORE_GRACE
    return min(URGENT_STORE_GRACE + size / SLOW_LINK_RATE, STORE_GRACE)


class Configuration:
    """Current configuration of a daemon.

    Parameters
    ----------
    decode : callable
        Takes the bytes of a configuration and returns a Result of Deployment.
    on_deployment : coroutine function
        Applies a new Deployment.
    log : structlog logger
    store_answers : callable, optional
        Returns whether the store is expected to deliver a newer configuration.
    urgent : bool, optional
        Whether statements wait while a newer configuration is known.
    request_read : callable, optional
        Called when a peer reports a newer version, so that the store is asked for it.
    """

    def __init__(
        self,
        decode,
        on_deployment,
        log,
        store_answers=lambda: False,
        urgent=False,
        request_read=lambda: None,
    ):
        self._request_read = request_read
        self._decode = decode
        self._on_deployment = on_deployment
        self._log = log
        self._store_answers = store_answers
        self._urgent = urgent
        self._deployment = None
        self._body = b""
        self._judged = (b"", None)
        self._lock = asyncio.Lock()
        self._fetch_task = None
        self._announced = {}

    @property
    def deployment(self):
        """The current Deployment, or None before the first."""
        return self._deployment

    @property
    def version(self):
        """Version of the current deployment; 0 before the first."""
        return self._deployment.version if self._deployment else 0

    async def update(self, body, source):
        """Apply a configuration if it can be decoded and is newer than the current one.

        Parameters
        ----------
        body : bytes
            Encoded configuration.
        source : str
            Origin of the configuration, for the log.
        """
        async with self._lock:
            if body == self._body:
                return
            match self._decode(body):
                case Failure(error):
                    self._log.error(
                        "configuration not usable",
                        source=source,
                        kept=self.version,
                        error=str(error),
                    )
                case Success(deployment):
                    await self._apply(deployment, body, source)

    async def _apply(self, deployment, body, source):
        if deployment.version <= self.version:
            self._log.info(
                "configuration passed over",
                source=source,
                version=deployment.version,
                kept=self.version,
            )
            return
        started = time.monotonic()
        previous, self._deployment = self.version, deployment
        self._body = body
        await self._on_deployment(deployment)
        self._log.info(
            "configuration in force",
            source=source,
            version=deployment.version,
            previous=previous,
            routes=len(deployment.routes),
            took_ms=round((time.monotonic() - started) * 1000, 1),
        )

    def covers(self, body):
        """Whether the current configuration is at least as new as one that was offered.

        A configuration that cannot be decoded, or that has the current version and
        another content, may be newer.

        Parameters
        ----------
        body : bytes
        """
        if self._deployment is None or body == self._body:
            return self._deployment is not None
        if body != self._judged[0]:
            match self._decode(body):
                case Success(deployment):
                    self._judged = (body, deployment.version)
                case Failure():
                    self._judged = (body, None)
        version = self._judged[1]
        return version is not None and version < self.version

    def reply(self):
        """Return the BundleReply to a peer's BundleQuery."""
        digest = hash_text(self._body.decode("utf-8", "replace"))
        return BundleReply(self.version, digest, self._body)

    def on_peer_version(self, version, address):
        """Fetch the configuration from a peer that reports a newer version.

        Load pattern: all daemons start, or a large configuration comes, and their links
        are slow.  If each fetched it from the store and from a peer at the same time,
        it would take twice as long, and the peer's link would be full, too.
        """
        if version <= self.version:
            return
        # The peer heard last comes last, and is asked first.
        self._announced.pop(address, None)
        self._announced[address] = version
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch(version))

    async def _fetch(self, version):
        self._request_read()
        give_up_at = time.monotonic() + store_grace(len(self._body), self._urgent)
        while self._store_answers() and time.monotonic() < give_up_at:
            await asyncio.sleep(STORE_POLL_INTERVAL)
            if version <= self.version:
                break
        await self._fetch_from_peers()
        self._announced.clear()

    async def _fetch_from_peers(self):
        """Ask peers until one delivers a newer configuration.

        A peer may stop after it reported its version, so the next one is asked if the
        answer takes long.
        """
        asked, queries = set(), set()
        while True:
            address = self._next_peer(asked)
            if address is not None and len(queries) < MAX_PEER_QUERIES:
                asked.add(address)
                queries.add(asyncio.create_task(self._fetch_from(address)))
            if not queries:
                return
            done, queries = await asyncio.wait(
                queries, timeout=HEDGE_DELAY, return_when=asyncio.FIRST_COMPLETED
            )
            if any(query.result() for query in done):
                await cancel_all(queries)
                return

    def _next_peer(self, asked):
        """Return the peer to ask next for a newer configuration, or None."""
        candidates = (
            address
            for address, version in reversed(self._announced.items())
            if version > self.version and address not in asked
        )
        return next(candidates, None)

    async def _fetch_from(self, address):
        """Fetch a peer's configuration; return whether it was newer."""
        reply = await send_query(address, BundleQuery(), FETCH_TIMEOUT)
        if not isinstance(reply, BundleReply) or reply.version <= self.version:
            return False
        await asyncio.shield(self.update(reply.body, f"peer {address}"))
        return True
