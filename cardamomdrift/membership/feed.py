"""
Table feed
==========

Follows one table of the platform's store: reads it whole, then waits for changes.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.errors import PlatformRefused, PlatformUnavailable
from cardamomdrift.loops import repeat
from cardamomdrift.ports import HistoryGone
from cardamomdrift.util import cancel_all

WATCH_TIME = 3.0  # seconds; a connection gone silent is found this late
RETRY_INTERVAL = 0.25  # seconds; five daemons then make 20 calls a second in an outage


@dataclass(frozen=True, slots=True)
class TableState:
    """Rows of a table, by key, and the version that they stand for."""

    rows: dict
    version: int


class TableFeed:
    """Follows one table; an async context manager.

    Parameters
    ----------
    store : MetadataStore
    table : str
    on_rows : coroutine function
        Takes the TableState after each change.
    on_reachable : callable
        Takes the table and whether the store answered, after each answer or failure.
    log : structlog logger
    """

    def __init__(self, store, table, on_rows, on_reachable, log):
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._on_reachable = on_reachable
        self._log = log
        self._state = None
        self._reachable = None
        self._task = None

    async def __aenter__(self):
        name = f"feed of {self._table}"
        self._task = asyncio.create_task(repeat(name, self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    async def _run(self):
        try:
            await self._step()
        except (PlatformUnavailable, PlatformRefused) as error:
            self._note(False, error)
            await asyncio.sleep(RETRY_INTERVAL)

    async def _step(self):
        if self._state is None:
            snapshot = await self._store.read(self._table)
            self._note(True)
            await self._take(TableState(snapshot.rows, snapshot.version))
            return
        changes = await self._store.watch(self._table, self._state.version, WATCH_TIME)
        self._note(True)
        if isinstance(changes, HistoryGone):
            self._log.info("store history gone, reading again", table=self._table)
            self._state = None
            return
        rows = self._state.rows
        if changes.changed or changes.removed:
            rows = {k: row for k, row in rows.items() if k not in changes.removed}
            rows |= changes.changed
            await self._take(TableState(rows, changes.version))
        else:
            self._state = TableState(rows, changes.version)

    async def _take(self, state):
        self._state = state
        await self._on_rows(state)

    def _note(self, reachable, error=None):
        if reachable != self._reachable:
            self._reachable = reachable
            event = "store answers" if reachable else "store lost"
            emit = self._log.info if reachable else self._log.warning
            emit(event, table=self._table, error=str(error) if error else None)
        self._on_reachable(self._table, reachable)
