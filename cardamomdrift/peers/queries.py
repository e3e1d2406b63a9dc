"""
Queries
=======

Queries of other daemons and of operators' tools, each on a TCP connection of its own.
A query and its reply are each preceded by a length of four bytes.  The port is open to
strangers, so connections, bytes and time are limited.
"""

import asyncio
from functools import partial

from cardamomdrift.errors import PacketTooLarge
from cardamomdrift.limits.descriptors import QUERY_CONNECTIONS
from cardamomdrift.limits.memory import UNSENT, MemoryBudget, MemoryHolder
from cardamomdrift.listening import listen
from cardamomdrift.peers.messages import decode_query, decode_reply, encode
from cardamomdrift.util import DECODE_ERRORS, cancel_all

LENGTH_PREFIX_SIZE = 4  # bytes of the length before a message
QUERY_SIZE_LIMIT = 4096  # bytes; queries have no more than a tag and a few names
REPLY_SIZE_LIMIT = 8 * 1024 * 1024  # bytes
REPLY_PIECE = 64 * 1024  # bytes of a reply that are handed to the socket at once
QUERY_TIMEOUT = 1.0  # seconds that a client waits for a reply by default
# Seconds for a whole query at the server.  No client waits longer: a configuration is
# fetched within 5 s (`bundle.configuration.FETCH_TIMEOUT`).
SERVE_TIMEOUT = 5.0
RETRY_INTERVAL = 0.1  # seconds between two attempts of a client

# Errors that end a connection of the server without a reply.
SERVE_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError, PacketTooLarge)


def query_address(address):
    """Return the host and the port for queries of a daemon.

    Parameters
    ----------
    address : str
        ``ip:port`` for heartbeats or state updates; queries use the next port.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port) + 1


class QueryServer:
    """Answers queries of other daemons and tools; an async context manager.

    Parameters
    ----------
    address : str
        ``ip:port`` for heartbeats or state updates; queries use the next port.
    on_query : coroutine function
        Takes a query and returns the reply.
    log : structlog logger
    connection_limit : int
        Connections at once.  At the limit the one that has waited longest for its query
        gives way to a new one, or else the oldest.
    budget : MemoryBudget, optional
        Accounts for replies that are being sent.
    """

    def __init__(
        self,
        address,
        on_query,
        log,
        connection_limit=QUERY_CONNECTIONS,
        budget=None,
    ):
        self._address = query_address(address)
        self._on_query = on_query
        self._log = log
        self._connection_limit = connection_limit
        self._budget = budget or MemoryBudget()
        self._server = None
        self._tasks = {}
        self._waiting = {}

    async def __aenter__(self):
        start = partial(asyncio.start_server, self._serve, limit=QUERY_SIZE_LIMIT)
        self._server = await listen(start, self._address)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        await cancel_all(self._tasks.values())

    def _admit(self, writer):
        """Keep a connection; if there are too many, close one that was there before."""
        if len(self._tasks) >= self._connection_limit:
            oldest = next(iter(self._waiting or self._tasks))
            self._waiting.pop(oldest, None)
            self._tasks.pop(oldest).cancel()
            oldest.transport.abort()
            self._log.info("query connection closed", reason="too many connections")
        self._tasks[writer] = asyncio.current_task()
        self._waiting[writer] = None

    async def _serve(self, reader, writer):
        self._admit(writer)
        holder = MemoryHolder(self._budget)
        try:
            async with asyncio.timeout(SERVE_TIMEOUT):
                query = decode_query(await _receive(reader, QUERY_SIZE_LIMIT))
                self._waiting.pop(writer, None)
                await self._reply(writer, query, holder)
        except asyncio.CancelledError:
            # The callback of `asyncio.start_server` reports a task that ends as
            # cancelled as a failure.
            pass
        except DECODE_ERRORS as error:
            self._log.warning("query not understood", error=type(error).__name__)
        except SERVE_ERRORS as error:
            self._log.info("query not served", error=f"{type(error).__name__} {error}")
        except Exception as error:
            self._log.error(
                "query failed", error=f"{type(error).__name__} {error}", exc_info=True
            )
        finally:
            holder.close()
            self._waiting.pop(writer, None)
            self._tasks.pop(writer, None)
            # All of a complete reply has left the process; the rest is not wanted.
            writer.transport.abort()

    async def _reply(self, writer, query, holder):
        """Send the reply to a query, and wait until the socket has taken all of it.

        Raises
        ------
        OSError
        PacketTooLarge
            There is no memory for the reply.
        """
        data = encode(await self._on_query(query))
        if not holder.may_grow(len(data)):
            raise PacketTooLarge(f"no memory for a reply of {len(data)} bytes")
        holder.set(UNSENT, len(data))
        writer.transport.set_write_buffer_limits(0)
        writer.write(len(data).to_bytes(LENGTH_PREFIX_SIZE, "big"))
        for start in range(0, len(data), REPLY_PIECE):
            writer.write(data[start : start + REPLY_PIECE])
            await writer.drain()


async def send_query(address, query, timeout=QUERY_TIMEOUT):
    """Send a query to a daemon; return its reply, or None if no valid one came in time.

    A connection that cannot be opened or that ends without a reply is tried again:
    the daemon may be starting, and each query may be answered twice.

    Parameters
    ----------
    address : str
        ``ip:port`` for heartbeats or state updates.
    query : Query
    timeout : float
        Seconds until the reply must be complete.
    """
    try:
        async with asyncio.timeout(timeout):
            while True:
                try:
                    return await _exchange(query_address(address), query)
                except (OSError, asyncio.IncompleteReadError):
                    await asyncio.sleep(RETRY_INTERVAL)
    except (TimeoutError, PacketTooLarge, *DECODE_ERRORS):
        return None


async def _exchange(address, query):
    reader, writer = await asyncio.open_connection(*address)
    try:
        data = encode(query)
        writer.write(len(data).to_bytes(LENGTH_PREFIX_SIZE, "big") + data)
        return decode_reply(await _receive(reader, REPLY_SIZE_LIMIT))
    finally:
        writer.transport.abort()


async def _receive(reader, size_limit):
    """Return the next message.

    Raises
    ------
    OSError or asyncio.IncompleteReadError
        The connection has ended.
    PacketTooLarge
    """
    size = int.from_bytes(await reader.readexactly(LENGTH_PREFIX_SIZE), "big")
    if size > size_limit:
        raise PacketTooLarge(f"message of {size} bytes")
    return await reader.readexactly(size)
