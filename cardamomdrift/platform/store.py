"""
Metadata store
==============

HTTP client of the platform's table store.  It implements `ports.MetadataStore`.  Each
call has a time limit and is not retried.  A connection whose answer did not arrive is
reset.
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

CALL_TIMEOUT = 0.7  # seconds; an answer takes 4 to 8 ms, or 60 times as long if slow
WATCH_MARGIN = 0.5  # seconds, after the end of the wait, for the answer to arrive
ROW_PART = ""  # partition with all rows, the daemons' and the platform's
READ_PATH, FEED_PATH, COMMIT_PATH = "/v1/rows-get", "/v1/rows-feed", "/v1/rows-tx"
# Statuses of answers; GONE is the one of a watched table whose history is lost.
OK, GONE, CONDITION_FAILED = 200, 410, 412
UNAVAILABLE_STATUSES = frozenset((429, 503))
PAGE_ROWS = 500  # maximum number of rows in one answer

_encode = msgspec.json.encode
_decode = msgspec.json.decode


def _make_row(row):
    try:
        value = base64.b64decode(row.get("value", ""), validate=True)
    except (ValueError, TypeError):
        # Another program wrote this row.  Decoding the empty value reports the fault.
        value = b""
    return Row(row["key"], value, row["rowVersion"])


@contextmanager
def _check_shape(path):
    """Raise PlatformUnavailable if an answer lacks a field or has one of another type.

    Of a commit, the answer then tells no more than a lost one.
    """
    try:
        yield
    except (KeyError, TypeError, AttributeError) as error:
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
        self.counts = {"ok": 0, "refused": 0, "unavailable": 0}

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self._client.__aexit__(*exc_info)

    async def read(self, table):
        """Return the Snapshot of a table."""
        rows = {}
        start = None
        while True:
            query = {"table": table, "part": ROW_PART, "limit": str(PAGE_ROWS)}
            if start is not None:
                query["from"] = start
            _, answer = await self._call("GET", READ_PATH, query)
            with _check_shape(READ_PATH):
                rows.update((row["key"], _make_row(row)) for row in answer["rows"])
                if not answer.get("hasMore"):
                    return Snapshot(rows, answer["rowVersion"])
                # "from" is inclusive, so the next page begins just after the last key.
                start = answer["rows"][-1]["key"] + "\0"

    async def watch(self, table, after, wait):
        """Wait for changes after a version; return Changes or HistoryGone."""
        query = {"table": table, "after": str(after), "waitMs": str(int(wait * 1000))}
        timeout = wait + WATCH_MARGIN
        status, answer = await self._call("GET", FEED_PATH, query, timeout=timeout)
        if status == GONE:
            return HistoryGone()
        with _check_shape(FEED_PATH):
            return self._make_changes(answer)

    @staticmethod
    def _make_changes(answer):
        changed, removed, newest = {}, set(), 0
        for row in answer["rows"]:
            if row.get("part", ROW_PART) != ROW_PART:
                continue
            key = row["key"]
            newest = max(newest, row["rowVersion"])
            if row.get("deleted"):
                changed.pop(key, None)
                removed.add(key)
            else:
                removed.discard(key)
                changed[key] = _make_row(row)
        return Changes(changed, frozenset(removed), answer["rowVersion"], newest)

    async def commit(self, table, expected, puts, removes=()):
        """Change rows in one transaction; see `ports.MetadataStore.commit`."""

        def row_id(key):
            return {"table": table, "part": ROW_PART, "key": key}

        body = {
            "expectedRev": [
                row_id(key) | {"rowVersion": version}
                for key, version in expected.items()
            ],
            "puts": [
                row_id(key) | {"value": base64.b64encode(value).decode()}
                for key, value in puts.items()
            ],
            "remove": [row_id(key) for key in removes],
        }
        status, answer = await self._call("POST", COMMIT_PATH, body=_encode(body))
        with _check_shape(COMMIT_PATH):
            if status == OK:
                return Committed(answer["rowVersion"])
            rows = (_make_row(row) for row in answer["rows"] if row.get("rowVersion"))
            return Conflict({row.key: row for row in rows})

    async def _call(self, method, path, query=None, body=b"", timeout=CALL_TIMEOUT):
        """Make a call and return the status and the decoded answer, a dict."""
        target = path if query is None else f"{path}?{urlencode(query)}"
        try:
            response = await self._client.call(method, target, timeout, body)
        except CallFailed as error:
            self.counts["unavailable"] += 1
            raise PlatformUnavailable(f"{path}: {error}") from error
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
        except msgspec.DecodeError as error:
            self.counts["unavailable"] += 1
            raise PlatformUnavailable(f"{path}: answer is not a JSON object") from error
        self.counts["ok"] += 1
        return answer
