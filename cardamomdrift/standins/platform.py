"""
Stand-in platform
=================

Serves the table service (the operations of the DynamoDB protocol that daemons use) and
the object store (S3 GET and conditional PUT) on one HTTP port.  Faults: unavailable,
slow, and answers lost after the operation took effect.
"""

import asyncio
import json
import random
from dataclasses import dataclass

from aiohttp import web

HEAD_SIZE = 200  # bytes counted for the request line and the response's head
CONDITION_FAILED = "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException"


@dataclass(slots=True)
class PlatformFaults:
    """Faults of the platform.

    Attributes
    ----------
    down : bool
        Every call fails with status 503.
    delay : float
        Seconds before each call is handled.
    lost_answers : float
        Share of calls, from 0 to 1, whose answer is lost after they took effect.
    """

    down: bool = False
    delay: float = 0.0
    lost_answers: float = 0.0


class StandinPlatform:
    """Table service and object store in memory; an async context manager."""

    def __init__(self, seed=0):
        self.faults = PlatformFaults()
        self._random = random.Random(seed)
        self._items = {}
        self._objects = {}
        self._runner = None
        self._port = 0
        self._reads = 0
        self._writes = 0
        self._bytes = 0

    @property
    def bytes(self):
        """Number of bytes of all requests and responses, heads included."""
        return self._bytes

    @property
    def url(self):
        """Base URL of both services."""
        return f"http://127.0.0.1:{self._port}"

    @property
    def reads(self):
        """Number of reads that were served."""
        return self._reads

    @property
    def writes(self):
        """Number of writes that were served."""
        return self._writes

    async def __aenter__(self):
        application = web.Application(middlewares=[self._count_bytes])
        application.router.add_post("/", self._handle_table_call)
        application.router.add_get("/{bucket}/{key:.*}", self._get_object)
        application.router.add_put("/{bucket}/{key:.*}", self._put_object)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", self._port)
        await site.start()
        self._port = site._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info):
        await self._runner.cleanup()

    def put_vm(self, vm, address, state):
        """Write one row of the platform's list of VMs."""
        item = {"pk": "platform", "sk": f"vm#{vm}", "address": address, "state": state}
        self._items[("platform", f"vm#{vm}")] = {
            name: {"S": value} for name, value in item.items()
        }

    @web.middleware
    async def _count_bytes(self, request, handler):
        try:
            response = await handler(request)
        except ConnectionResetError:
            return web.Response(status=400)  # the client has disconnected
        header_sizes = [
            len(name) + len(value) + 4 for name, value in request.raw_headers
        ]
        body = len(response.body or b"") if isinstance(response, web.Response) else 0
        self._bytes += (
            sum(header_sizes) + (request.content_length or 0) + body + HEAD_SIZE
        )
        return response

    async def _apply_faults(self):
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            raise web.HTTPServiceUnavailable()

    def _lose_answer(self, request):
        if self._random.random() < self.faults.lost_answers:
            request.transport.abort()

    async def _handle_table_call(self, request):
        await self._apply_faults()
        payload = json.loads(await request.read())
        action = request.headers["x-amz-target"].rpartition(".")[2]
        match action:
            case "PutItem":
                response = self._put_item(payload)
            case "GetItem":
                response = self._get_item(payload)
            case "DeleteItem":
                response = self._delete_item(payload)
            case "Query":
                response = self._query(payload)
            case _:
                response = web.json_response({"__type": "x#Unknown"}, status=400)
        self._lose_answer(request)
        return response

    @staticmethod
    def _key(item):
        return item["pk"]["S"], item["sk"]["S"]

    def _put_item(self, payload):
        self._writes += 1
        key = self._key(payload["Item"])
        condition = payload.get("ConditionExpression", "")
        if condition.startswith("attribute_not_exists") and key in self._items:
            return web.json_response({"__type": CONDITION_FAILED}, status=400)
        self._items[key] = payload["Item"]
        return web.json_response({})

    def _get_item(self, payload):
        self._reads += 1
        item = self._items.get(self._key(payload["Key"]))
        return web.json_response({"Item": item} if item else {})

    def _delete_item(self, payload):
        self._writes += 1
        self._items.pop(self._key(payload["Key"]), None)
        return web.json_response({})

    def _query(self, payload):
        self._reads += 1
        values = [value["S"] for value in payload["ExpressionAttributeValues"].values()]
        partition, prefix = values
        keys = sorted(
            key
            for key in self._items
            if key[0] == partition and key[1].startswith(prefix)
        )
        if not payload.get("ScanIndexForward", True):
            keys.reverse()
        keys = keys[: payload.get("Limit")]
        items = [self._items[key] for key in keys]
        return web.json_response({"Items": items, "Count": len(items)})

    async def _get_object(self, request):
        await self._apply_faults()
        self._reads += 1
        body = self._objects.get(request.path)
        if body is None:
            return web.Response(status=404)
        return web.Response(body=body)

    async def _put_object(self, request):
        await self._apply_faults()
        self._writes += 1
        body = await request.read()
        if (
            request.headers.get("If-None-Match") == "*"
            and request.path in self._objects
        ):
            return web.Response(status=412)
        self._objects[request.path] = body
        self._lose_answer(request)
        return web.Response()
