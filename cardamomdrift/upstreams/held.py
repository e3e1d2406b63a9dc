"""
Held connection
===============

Holds a pooled connection for one request, with a database selected.
"""

import asyncio

from cardamomdrift.errors import UpstreamError, UpstreamUnreachable


class HeldConnection:
    """A connection that one request holds; an async context manager."""

    __slots__ = ("_connection", "_database", "_deadline_at", "_pool", "_prefer")

    def __init__(self, pool, database, deadline_at, prefer):
        self._pool = pool
        self._database = database
        self._deadline_at = deadline_at
        self._prefer = prefer

    async def __aenter__(self):
        self._connection = await self._pool.acquire(self._deadline_at, self._prefer)
        if self._database and self._connection.database != self._database:
            await self._select_database()
        return self._connection

    async def __aexit__(self, *exc_info):
        self._pool.release(self._connection)

    async def _select_database(self):
        try:
            async with asyncio.timeout_at(self._deadline_at):
                await self._connection.use(self._database)
        except BaseException as error:
            self._connection.close()
            self._pool.release(self._connection)
            if isinstance(error, UpstreamError | TimeoutError):
                reason = "database could not be selected"
                raise UpstreamUnreachable(reason) from error
            raise
