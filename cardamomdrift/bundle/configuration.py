"""
Configuration
=============

Holds the configuration that a daemon on the users' platform applies; a daemon for MySQL
callers has a `BundleFollower` instead.  A configuration is applied only if it can be
decoded and its version is higher than the current one.  A newer version that a peer
reports is fetched from that peer.
"""

import asyncio
import time

from returns.result import Failure, Success

from cardamomdrift.peers.link import send_query
from cardamomdrift.peers.messages import BundleQuery, BundleReply
from cardamomdrift.util import hash_text


class Configuration:
    """Current configuration of a daemon.

    Parameters
    ----------
    decode : callable
        Takes the bytes of a configuration and returns a Result of Deployment.
    on_deployment : coroutine function
        Applies a new Deployment.
    log : structlog logger
    """

    def __init__(self, decode, on_deployment, log):
        self._decode = decode
        self._on_deployment = on_deployment
        self._log = log
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
        """Fetch the configuration from a peer that reports a newer version."""
        if version <= self.version:
            return
        if self._fetch_task is None or self._fetch_task.done():
            self._fetch_task = asyncio.create_task(self._fetch(address))

    async def _fetch(self, address):
        reply = await send_query(address, BundleQuery())
        if isinstance(reply, BundleReply) and reply.version > self.version:
            await self.update(reply.body, f"peer {address}")
