"""
Table store stand-in
====================

The platform's table store and promotion call over HTTP, in memory.  Faults:
unavailable, slow, silent, open connections gone silent, answers lost after the change
took effect, change history dropped, and a return from an older copy.
"""

import asyncio
import base64
import weakref
from dataclasses import dataclass

from aiohttp import web

FEED_POLL_INTERVAL = 0.005  # seconds between two checks of a waiting feed call


@dataclass
class StoreFaults:
    """Faults of one endpoint of the store.

    Attributes
    ----------
    down : bool
        Every call fails with status 503.
    silent : bool
        No call gets an answer.
    delay : float
        Seconds before each answer.
    lose_answers : int
        Number of next POST calls that take effect but whose answers are lost.
    """

    down: bool = False
    silent: bool = False
    delay: float = 0.0
    lose_answers: int = 0


class StoreEndpoint:
    """An address of the store with its own faults; an async context manager.

    Parameters
    ----------
    store : RowStore
    host : str

    Attributes
    ----------
    faults : StoreFaults
    address : str
        ``host:port``; empty before the start.
    calls : int
        Number of calls received.
    """

    def __init__(self, store, host="127.0.0.1"):
        self._store = store
        self._host = host
        self._runner = None
        self._transports = weakref.WeakSet()
        self._silenced = weakref.WeakSet()
        self.faults = StoreFaults()
        self.address = ""
        self.calls = 0

    async def __aenter__(self):
        application = web.Application(middlewares=[self._apply_faults])
        self._store.add_routes(application.router, self)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"{self._host}:{port}"
        return self

    async def __aexit__(self, *exc_info):
        await self._runner.cleanup()

    def silence_connections(self):
        """Give no further answer on the present connections; new ones work."""
        self._silenced.update(self._transports)

    @web.middleware
    async def _apply_faults(self, request, handler):
        self.calls += 1
        self._transports.add(request.transport)
        faults = self.faults
        if faults.silent:
            await asyncio.sleep(3600)
        if faults.down:
            return web.Response(status=503)
        if faults.delay:
            await asyncio.sleep(faults.delay)
        response = await handler(request)
        response.headers["Store-Era"] = str(self._store.era)
        if request.transport in self._silenced:
            await asyncio.sleep(3600)
        if request.method == "POST" and faults.lose_answers > 0:
            faults.lose_answers -= 1
            request.transport.abort()
        return response


class RowStore:
    """Rows of the store and the history of their changes.

    Parameters
    ----------
    promote : callable, optional
        Takes the names of a group and an instance and promotes the instance; returns
        whether the instance runs.

    Attributes
    ----------
    era : int
        Rises with each restore.
    promotions : list of tuple
        Promotion calls as (group, instance, duty holder, fencing token).
    """

    def __init__(self, promote=None):
        self._promote = promote
        self._rows = {}
        self._history = []
        self._version = 0
        self._history_from = 0
        self.era = 1
        self.promotions = []

    def add_routes(self, router, endpoint):
        """Register the handlers of the store's calls for an endpoint."""
        router.add_post("/v1/rows-tx", self._handle_change)
        router.add_get("/v1/rows-get", self._handle_get)
        router.add_get(
            "/v1/rows-feed", lambda request: self._handle_feed(request, endpoint)
        )
        router.add_post("/promotion", self._handle_promotion)

    # Direct access for tests

    def put(self, table, key, value):
        """Write a row, as the operator or an instance does."""
        self._version += 1
        self._rows[(table, key)] = (value, self._version)
        self._history.append((self._version, table, key))

    def remove(self, table, key):
        """Remove a row."""
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._history.append((self._version, table, key))

    def get(self, table, key):
        """Return a row's value, or None."""
        row = self._rows.get((table, key))
        return None if row is None else row[0]

    def drop_history(self):
        """Drop the change history; feed calls for older changes get status 410."""
        self._history_from = self._version
        self._history.clear()

    def copy(self):
        """Return a copy of the rows for `restore`."""
        return dict(self._rows), self._version

    def restore(self, copy):
        """Return to an older copy; what was written since is lost."""
        rows, version = copy
        self._rows, self._version = dict(rows), version
        self._history = [change for change in self._history if change[0] <= version]
        self.era += 1

    # Calls

    def _encode_row(self, table, key):
        row = self._rows.get((table, key))
        encoded_row = {"table": table, "part": "", "key": key}
        if row is None:
            return encoded_row | {"deleted": True, "rowVersion": self._version}
        value, version = row
        encoded = base64.b64encode(value).decode()
        return encoded_row | {"value": encoded, "rowVersion": version}

    async def _handle_get(self, request):
        table = request.query["table"]
        start = request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        keys = sorted(
            key for row_table, key in self._rows if row_table == table and key >= start
        )
        rows = [self._encode_row(table, key) for key in keys[:limit]]
        more = len(keys) > limit
        return web.json_response(
            {"rows": rows, "hasMore": more, "rowVersion": self._version, "nowMs": 0}
        )

    async def _handle_feed(self, request, endpoint):
        table, after = request.query["table"], int(request.query["after"])
        deadline = (
            asyncio.get_running_loop().time() + int(request.query["waitMs"]) / 1e3
        )
        while True:
            if not self._history_from <= after <= self._version:
                return web.Response(status=410)
            keys = [
                key
                for version, row_table, key in self._history
                if row_table == table and version > after
            ]
            if keys or asyncio.get_running_loop().time() >= deadline:
                break
            if endpoint.faults.down or endpoint.faults.silent:
                return web.Response(status=503)
            await asyncio.sleep(FEED_POLL_INTERVAL)
        rows = [self._encode_row(table, key) for key in dict.fromkeys(keys)]
        return web.json_response(
            {"rows": rows, "rowVersion": self._version, "nowMs": 0}
        )

    async def _handle_change(self, request):
        body = await request.json()
        for item in body["expectedRev"]:
            row = self._rows.get((item["table"], item["key"]))
            if item["rowVersion"] != (row[1] if row else 0):
                rows = [
                    self._encode_row(expected["table"], expected["key"])
                    for expected in body["expectedRev"]
                    if (expected["table"], expected["key"]) in self._rows
                ]
                return web.json_response({"rows": rows}, status=412)
        for item in body["puts"]:
            self.put(item["table"], item["key"], base64.b64decode(item["value"]))
        for item in body["remove"]:
            self.remove(item["table"], item["key"])
        return web.json_response({"rowVersion": self._version, "nowMs": 0})

    async def _handle_promotion(self, request):
        body = await request.json()
        holder = request.headers["X-Duty-Holder"]
        token = int(request.headers["X-Fencing-Token"])
        self.promotions.append((body["backend"], body["id"], holder, token))
        runs = self._promote is None or self._promote(body["backend"], body["id"])
        return web.Response(status=200 if runs else 409)
