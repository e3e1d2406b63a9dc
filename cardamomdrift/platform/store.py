"""
Metadata store
==============

HTTP client of the platform's table store.  It implements `ports.MetadataStore`.  Each
call has a time limit and is not retried.  A connection whose answer did not arrive is
reset.

The store may come back from an older copy and give out versions again.  A header of its
answers then shows a higher era.  The versions of rows and tables that this client
returns have the era as their high part, so they rise across such a restore.
"""

import base64
from contextlib import contextmanager
from urllib.parse import urlencode

import msgspec

from cardamomdrift.errors import PlatformRefused, PlatformUnavailable
from cardamomdrift.http.client import CallFailed, HttpClient
from cardamomdrift.ports import (
    Changes,
    Committed,
    Conflict,
    HistoryGone,
    Row,
    Snapshot,
)
from cardamomdrift.util import DECODE_ERRORS

CALL_TIMEOUT = 0.7  # seconds; an answer takes 4 to 8 ms, or 60 times as long if slow
WATCH_MARGIN = 0.5  # seconds, after the end of the wait, for the answer to arrive
ROW_PART = ""  # partition with all rows, the daemons' and the platform's
READ_PATH, FEED_PATH, COMMIT_PATH = "/v1/rows-get", "/v1/rows-feed", "/v1/rows-tx"
# Statuses of answers; GONE is the one of a watched table whose history is lost.
OK, GONE, CONDITION_FAILED = 200, 410, 412
UNAVAILABLE_STATUSES = frozenset((429, 503))
PAGE_ROWS = 500  # maximum number of rows in one answer
ERA_HEADER = "store-era"
MAX_ERA = (1 << 20) - 1
VERSION_BITS = 40  # of the part of a version that the store gives out
VERSION_MASK = (1 << VERSION_BITS) - 1

_encode = msgspec.json.encode
_decode = msgspec.json.decode


def _join_version(era, version):
    if not 0 <= version <= VERSION_MASK:
        raise ValueError(f"version {version}")
    return era << VERSION_BITS | version


def _parse_era(path, text):
    """Return the era in a header.

    Raises
    ------
    PlatformUnavailable
    """
    if not (text.isascii() and text.isdecimal() and int(text) <= MAX_ERA):
        raise PlatformUnavailable(f"{path}: era {text[:20]!r} not understood")
    return int(text)


def _make_row(row, era):
    try:
        value = base64.b64decode(row.get("value", ""), validate=True)
    except (ValueError, TypeError):
        # Another program wrote this row.  Decoding the empty value reports the fault.
        value = b""
    return Row(row["key"], value, _join_version(era, row["rowVersion"]))


@contextmanager
def _check_shape(path):
    """Raise PlatformUnavailable if an answer lacks a field or has one of another type.

    Of a commit, the answer then tells no more than a lost one.
    """
    try:
        yield
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        reason = f"{type(error).__name__} {error}"
        raise PlatformUnavailable(f"{path}: answer not understood: {reason}") from error


class HttpStore:
    """Client of the table store; an async context manager.

    Parameters
    ----------
    address : str
        ``host:port``.
    """

    def __init__(self, address):
        self._client = HttpClient(address)
        self._era = 0
        self.counts = {"ok": 0, "refused": 0, "unavailable": 0}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._client.__aexit__(*exc_info)

    @property
    def era(self):
        """Highest era that an answer has shown; 0 before the first."""
        return self._era

    async def read(self, table):
        """Return the Snapshot of a table.

        Its version is that of the first page: rows of that page may have changed before
        the next one was read.
        """
        rows = {}
        start = era = version = None
        while True:
            query = {"table": table, "part": ROW_PART, "limit": str(PAGE_ROWS)}
            if start is not None:
                query["from"] = start
            _, answer = await self._call("GET", READ_PATH, query)
            era = self._era if era is None else era
            self._check_era(READ_PATH, era)
            with _check_shape(READ_PATH):
                rows.update((row["key"], _make_row(row, era)) for row in answer["rows"])
                if version is None:
                    version = _join_version(era, answer["rowVersion"])
                if not answer.get("hasMore"):
                    return Snapshot(rows, version, era)
                # "from" is inclusive, so the next page begins just after the last key.
                start = answer["rows"][-1]["key"] + "\0"

    async def watch(self, table, after, wait):
        """Wait for changes after a version; return Changes or HistoryGone."""
        era, version = after >> VERSION_BITS, after & VERSION_MASK
        if era != self._era:
            return HistoryGone()
        query = {"table": table, "after": str(version), "waitMs": str(int(wait * 1000))}
        timeout = wait + WATCH_MARGIN
        status, answer = await self._call("GET", FEED_PATH, query, timeout=timeout)
        if status == GONE or era != self._era:
            return HistoryGone()
        with _check_shape(FEED_PATH):
            return self._make_changes(answer, era)

    @staticmethod
    def _make_changes(answer, era):
        changed, removed, newest = {}, set(), 0
        for row in answer["rows"]:
            if row.get("part", ROW_PART) != ROW_PART:
                continue
            key = row["key"]
            newest = max(newest, _join_version(era, row["rowVersion"]))
            if row.get("deleted"):
                changed.pop(key, None)
                removed.add(key)
            else:
                removed.discard(key)
                changed[key] = _make_row(row, era)
        version = _join_version(era, answer["rowVersion"])
        return Changes(changed, frozenset(removed), version, newest)

    async def commit(self, table, expected, puts, removes=()):
        """Change rows in one transaction; see `ports.MetadataStore.commit`."""

        def row_id(key):
            return {"table": table, "part": ROW_PART, "key": key}

        era = self._era
        if any(
            version and version >> VERSION_BITS != era for version in expected.values()
        ):
            raise PlatformUnavailable(f"{COMMIT_PATH}: versions of an earlier era")
        body = {
            "expectedRev": [
                row_id(key) | {"rowVersion": version & VERSION_MASK}
                for key, version in expected.items()
            ],
            "puts": [
                row_id(key) | {"value": base64.b64encode(value).decode()}
                for key, value in puts.items()
            ],
            "remove": [row_id(key) for key in removes],
        }
        status, answer = await self._call("POST", COMMIT_PATH, body=_encode(body))
        if expected and era:
            # In another era the expected versions may have matched other rows.
            self._check_era(COMMIT_PATH, era)
        with _check_shape(COMMIT_PATH):
            if status == OK:
                return Committed(_join_version(self._era, answer["rowVersion"]))
            rows = (
                _make_row(row, self._era)
                for row in answer["rows"]
                if row.get("rowVersion")
            )
            return Conflict({row.key: row for row in rows})

    def _check_era(self, path, era):
        if era != self._era:
            raise PlatformUnavailable(f"{path}: the store was restored meanwhile")

    def _record_era(self, path, headers):
        """Record the era of an answer; one from before a restore counts as lost."""
        text = headers.get(ERA_HEADER)
        if text is None:
            return
        era = _parse_era(path, text)
        if era < self._era:
            raise PlatformUnavailable(f"{path}: the store was restored meanwhile")
        self._era = era

    async def _call(self, method, path, query=None, body=b"", timeout=CALL_TIMEOUT):
        """Make a call and return the status and the decoded answer, a dict."""
        target = path if query is None else f"{path}?{urlencode(query)}"
        try:
            response = await self._client.call(method, target, timeout, body)
        except CallFailed as error:
            self.counts["unavailable"] += 1
            raise PlatformUnavailable(f"{path}: {error}") from error
        try:
            self._record_era(path, response.headers)
        except PlatformUnavailable:
            self.counts["unavailable"] += 1
            raise
        answer = self._decode_answer(path, response.status, response.body)
        return response.status, answer

    def _decode_answer(self, path, status, body):
        if status in UNAVAILABLE_STATUSES:
            self.counts["unavailable"] += 1
            raise PlatformUnavailable(f"{path}: status {status}")
        if status == GONE and path == FEED_PATH:
            return {}
        if status not in (OK, CONDITION_FAILED):
            self.counts["refused"] += 1
            raise PlatformRefused(f"{path}: status {status} {body[:100]!r}")
        try:
            answer = _decode(body, type=dict)
        except DECODE_ERRORS as error:
            self.counts["unavailable"] += 1
            raise PlatformUnavailable(f"{path}: answer is not a JSON object") from error
        self.counts["ok"] += 1
        return answer
