"""The platform's store and its promotion call, over HTTP/1.1, in memory."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

ANSWER_TIME = 0.004  # seconds a call takes


class Platform:
    """Store and promotion call.

    Parameters
    ----------
    host : str
    promote : callable
        Takes service, id, holder and token; returns whether the instance runs.
    record : callable
        Takes one line for record.txt.
    """

    def __init__(self, host, promote, record):
        self._host = host
        self._promote = promote
        self._record = record
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Condition()
        self._servers = []
        self._tasks = set()
        self.store_address = ""
        self.promotion_address = ""

    async def __aenter__(self):
        for name in ("store_address", "promotion_address"):
            server = await asyncio.start_server(self._serve, self._host, 0)
            self._servers.append(server)
            port = server.sockets[0].getsockname()[1]
            setattr(self, name, f"{self._host}:{port}")
        return self

    async def __aexit__(self, *exc_info):
        for server in self._servers:
            server.close()
        for task in list(self._tasks):
            task.cancel()

    # Writers other than the daemons

    def put(self, table, key, value):
        """Write a row as the operator or an instance does."""
        self._put(table, key, json.dumps(value).encode())
        self._wake()

    def remove(self, table, key):
        """Remove a row."""
        self._remove(table, key)
        self._wake()

    def _put(self, table, key, value):
        self._rows[(table, key)] = (value, self._version + 1)
        self._version += 1
        self._changes.append((self._version, table, key))

    def _remove(self, table, key):
        if self._rows.pop((table, key), None) is not None:
            self._version += 1
            self._changes.append((self._version, table, key))

    def _wake(self):
        task = asyncio.ensure_future(self._notify())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    # HTTP

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                request_line, *lines = head.split("\r\n")
                method, target, _ = request_line.split(" ")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                status, answer = await self._answer(method, target, headers, body)
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_TIME)
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        match method, url.path:
            case "GET", "/v1/rows-get":
                return 200, self._get(query)
            case "GET", "/v1/rows-feed":
                return await self._feed(query)
            case "POST", "/v1/rows-tx":
                return self._change(json.loads(body))
            case "POST", "/promotion":
                call = json.loads(body)
                holder, token = headers["x-duty-holder"], headers["x-fencing-token"]
                runs = self._promote(call["backend"], call["id"], holder, token)
                return (200 if runs else 409), {}
        return 404, {"error": "unknown call"}

    def _row(self, table, key):
        entry = {"table": table, "part": "", "key": key}
        if (table, key) not in self._rows:
            return entry | {"deleted": True, "rowVersion": self._version}
        value, version = self._rows[(table, key)]
        encoded = base64.b64encode(value).decode()
        return entry | {"value": encoded, "rowVersion": version}

    def _state(self):
        return {"rowVersion": self._version, "nowMs": int(time.monotonic() * 1000)}

    def _get(self, query):
        table, start = query["table"], query.get("from", "")
        keys = sorted(key for name, key in self._rows if name == table and key >= start)
        limit = int(query.get("limit", "500"))
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit} | self._state()

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])

        def changed_keys():
            return dict.fromkeys(
                key
                for version, name, key in self._changes
                if name == table and version > after
            )

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(changed_keys)
        except TimeoutError:
            pass
        rows = [self._row(table, key) for key in changed_keys()]
        rows.sort(key=lambda row: row["rowVersion"])
        return 200, {"rows": rows} | self._state()

    def _change(self, call):
        expected = call.get("expectedRev", [])
        for item in expected:
            _, version = self._rows.get((item["table"], item["key"]), (b"", 0))
            if item["rowVersion"] != version:
                rows = [
                    self._row(each["table"], each["key"])
                    for each in expected
                    if (each["table"], each["key"]) in self._rows
                ]
                return 412, {"rows": rows} | self._state()
        for item in call.get("puts", []):
            self._put(item["table"], item["key"], base64.b64decode(item["value"]))
        for item in call.get("remove", []):
            self._remove(item["table"], item["key"])
        self._wake()
        return 200, self._state()
