"""
Table service
=============

Client of the platform's table service, which speaks the DynamoDB protocol.  Decisions
are recorded in append-only streams: a stream has one row for each number, and a
conditional write creates it only if it does not exist yet.  Each row holds the id of
its write, so after a lost answer the client reads the row back and compares the id.
"""

import asyncio
from dataclasses import dataclass, field

from aiodynamo.client import Client
from aiodynamo.credentials import Key, StaticCredentials
from aiodynamo.errors import AIODynamoError, ConditionalCheckFailed, ItemNotFound
from aiodynamo.expressions import F, HashKey, RangeKey
from aiodynamo.http.aiohttp import AIOHTTP
from aiodynamo.models import RetryConfig
from aiohttp import ClientError
from yarl import URL

from cardamomdrift.errors import PlatformUnavailable

CALL_TIMEOUT = 1.5  # seconds
APPEND_ATTEMPTS = 3
APPEND_RETRY_DELAY = 0.2  # seconds
NUMBER_WIDTH = 12  # digits


@dataclass(frozen=True, slots=True)
class Appended:
    """This write created the row."""


@dataclass(frozen=True, slots=True)
class AppendConflict:
    """Another writer created the row first; ``row`` holds it."""

    row: dict


@dataclass(frozen=True, slots=True)
class AppendUnknown:
    """No answer from the platform; the row may or may not have been written."""


@dataclass(frozen=True)
class _SingleAttempt(RetryConfig):
    """Makes the library send each call once.

    After a lost answer, a repeated conditional write would fail on its own row.
    """

    time_limit_secs: float = field(default=CALL_TIMEOUT)

    def delays(self):
        return ()

    async def attempts(self):
        yield


_FAILURES = (AIODynamoError, ClientError, TimeoutError, OSError)


class Table:
    """Client of one deployment's table."""

    def __init__(self, session, url, name, region, key):
        client = Client(
            AIOHTTP(session),
            StaticCredentials(key),
            region,
            endpoint=URL(url),
            throttle_config=_SingleAttempt(),
        )
        self._table = client.table(name)

    async def get(self, partition, sort_key):
        """Return one row, or None if there is none.

        Raises
        ------
        PlatformUnavailable
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                return await self._table.get_item(
                    {"pk": partition, "sk": sort_key}, consistent_read=True
                )
        except ItemNotFound:
            return None
        except _FAILURES as error:
            raise PlatformUnavailable("table read failed or timed out") from error

    async def list(self, partition, prefix, newest_first=False, limit=None):
        """Return the rows of a partition whose sort key starts with a prefix.

        Raises
        ------
        PlatformUnavailable
        """
        condition = HashKey("pk", partition) & RangeKey("sk").begins_with(prefix)
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                page = await self._table.query_single_page(
                    condition,
                    scan_forward=not newest_first,
                    limit=limit,
                    consistent_read=True,
                )
        except _FAILURES as error:
            raise PlatformUnavailable("table query failed or timed out") from error
        return page.items

    async def put(self, partition, sort_key, fields):
        """Write a row without a condition; only this process may write it.

        Raises
        ------
        PlatformUnavailable
            The row may or may not have been written.
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                await self._table.put_item({"pk": partition, "sk": sort_key, **fields})
        except _FAILURES as error:
            raise PlatformUnavailable("table write failed or timed out") from error

    async def delete(self, partition, sort_key):
        """Delete a row.

        Raises
        ------
        PlatformUnavailable
        """
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                await self._table.delete_item({"pk": partition, "sk": sort_key})
        except _FAILURES as error:
            raise PlatformUnavailable("table delete failed or timed out") from error

    async def append(self, stream, number, fields, write_id):
        """Create the row of a number in a stream, unless it exists.

        Parameters
        ----------
        stream : (str, str)
            Partition of the table, and name of the stream.
        number : int
        fields : dict
        write_id : str
            Tells this write's row from another writer's.

        Returns
        -------
        Appended or AppendConflict or AppendUnknown
        """
        sort_key = stream_key(stream[1], number)
        item = {"pk": stream[0], "sk": sort_key, "write_id": write_id, **fields}
        for attempt in range(APPEND_ATTEMPTS):
            if attempt:
                await asyncio.sleep(APPEND_RETRY_DELAY)
            try:
                async with asyncio.timeout(CALL_TIMEOUT):
                    await self._table.put_item(item, condition=F("pk").does_not_exist())
                return Appended()
            except ConditionalCheckFailed:
                pass
            except _FAILURES:
                continue  # sends the same row again; its write id shows who wrote it
            try:
                row = await self.get(stream[0], sort_key)
            except PlatformUnavailable:
                continue
            if row is not None:
                return (
                    Appended() if row["write_id"] == write_id else AppendConflict(row)
                )
        return AppendUnknown()

    async def latest(self, stream):
        """Return the row with the highest number of a stream, or None.

        Raises
        ------
        PlatformUnavailable
        """
        rows = await self.list(stream[0], f"{stream[1]}#", newest_first=True, limit=1)
        return rows[0] if rows else None


def stream_key(stream, number):
    """Return the sort key of a number, zero-padded so that keys sort by number."""
    return f"{stream}#{number:0{NUMBER_WIDTH}d}"


def make_table(session, options):
    """Return a client of the table that the PlatformOptions name."""
    key = Key(options.access_key, options.secret_key)
    return Table(session, options.url, options.table, options.region, key)
