"""
Configuration
=============

Holds the configuration that a daemon on the users' platform applies; a daemon for MySQL
callers has a `BundleFollower` instead.  A configuration is applied only if it can be
decoded and its version is higher than the current one.  A newer version that a peer
reports is fetched from that peer if the store does not deliver it.
"""

import asyncio
import time

from returns.result import Failure, Success

from cardamomdrift.peers.link import send_query
from cardamomdrift.peers.messages import BundleQuery, BundleReply
from cardamomdrift.util import hash_text

# Seconds that the store has to deliver a configuration that a peer already has, and
# seconds between two looks.
STORE_GRACE, STORE_POLL_INTERVAL = 1.0, 0.05
FETCH_TIMEOUT = 5.0  # seconds; a configuration of 1 MB over a link of 5 Mbit/s takes 2


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
    """

    def __init__(self, decode, on_deployment, log, store_answers=lambda: False):
        self._decode = decode
        self._on_deployment = on_deployment
        self._log = log
        self._store_answers = store_answers
        self._deployment = None
        self._body = b""
        self._lock = asyncio.Lock()
        self._fetch_task = None

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
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch(version, address))

    async def _fetch(self, version, address):
        give_up_at = time.monotonic() + STORE_GRACE
        while self._store_answers() and time.monotonic() < give_up_at:
            await asyncio.sleep(STORE_POLL_INTERVAL)
            if version <= self.version:
                return
        reply = await send_query(address, BundleQuery(), FETCH_TIMEOUT)
        if isinstance(reply, BundleReply) and reply.version > self.version:
            await self.update(reply.body, f"peer {address}")
