"""
HTTP server
===========

Serves GET and HEAD requests on fixed paths, one request for each connection.
"""

import asyncio
from functools import partial

import h11

from cardamomdrift.listening import listen

READ_CHUNK_BYTES = 16 * 1024
REQUEST_TIMEOUT = 2.0  # seconds for a whole request
CONNECTION_LIMIT = 12  # at once; above it the oldest gives way to a new one
ALLOWED_METHODS = (b"GET", b"HEAD")


class HttpServer:
    """Server for some paths at one address; an async context manager.

    Parameters
    ----------
    address : (str, int)
    handlers : dict of str to callable
        Handlers by path; each returns status, content type and body.
    log : structlog logger
    """

    def __init__(self, address, handlers, log):
        self._address = address
        self._handlers = handlers
        self._log = log
        self._server = None
        self._writers = {}
        self.closed_early = 0

    async def __aenter__(self):
        start = partial(asyncio.start_server, self._serve, limit=READ_CHUNK_BYTES)
        self._server = await listen(start, self._address)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()

    def _admit(self, writer):
        """Keep a connection; close the oldest one if there are too many."""
        if len(self._writers) >= CONNECTION_LIMIT:
            oldest = next(iter(self._writers))
            del self._writers[oldest]
            oldest.transport.abort()
            self.closed_early += 1
        self._writers[writer] = None

    async def _serve(self, reader, writer):
        self._admit(writer)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                await self._answer(reader, writer)
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            self._log.info(
                "http request not answered", error=f"{type(error).__name__} {error}"
            )
        finally:
            self._writers.pop(writer, None)
            writer.close()

    async def _answer(self, reader, writer):
        protocol = h11.Connection(h11.SERVER)
        request = await self._read_request(protocol, reader)
        if request is None:
            return
        path = request.target.partition(b"?")[0].decode("ascii", "replace")
        handler = self._handlers.get(path)
        if handler is None or request.method not in ALLOWED_METHODS:
            status, content_type, body = 404, "text/plain", b""
        else:
            status, content_type, body = handler()
        headers = [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        outgoing = protocol.send(h11.Response(status_code=status, headers=headers))
        if body and request.method == b"GET":
            outgoing += protocol.send(h11.Data(data=body))
        writer.write(outgoing)
        await writer.drain()

    @staticmethod
    async def _read_request(protocol, reader):
        """Return the request, or None if the connection ended first."""
        request = None
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None
