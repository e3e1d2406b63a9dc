"""
Table feed
==========

Follows one table of the platform's store: reads the whole table, then waits for
changes.  The more daemons follow it, the longer each call waits.  A daemon that learns
from a peer of a change that it has not received reads the table again.  While the
voters inform a daemon of changes, it makes no waiting calls.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import PlatformRefused, PlatformUnavailable
from cardamomdrift.loops import repeat
from cardamomdrift.ports import HistoryGone
from cardamomdrift.util import cancel_all

WATCH_TIMEOUT = 3.0  # seconds; a silent connection is noticed after this time
DAEMONS_PER_WATCH_TIMEOUT = 5  # daemons; if there are more, each waits longer
MAX_WATCH_TIMEOUT = 18.0  # seconds; the store keeps 20 s of history
CHANGE_INTERVAL_PER_DAEMON = 0.01  # seconds between two changes, for each daemon
MAX_CHANGE_INTERVAL = 1.0  # seconds
INFORMED_CHECK_INTERVAL = 0.25  # seconds between two checks of whether it still is
# Seconds since the last answer for which the store surely has the changes; it keeps 20.
HISTORY_TIME = 15.0
HINT_GRACE = 0.5  # seconds to wait for a change that a peer has received already
# Seconds between failed calls, for each daemon: the calls of all stay the same.
RETRY_INTERVAL_PER_DAEMON = 0.05
MIN_RETRY_INTERVAL, MAX_RETRY_INTERVAL = 0.25, 2.0  # seconds


@dataclass(frozen=True, slots=True)
class TableState:
    """Rows of a table at one version of the store.

    Attributes
    ----------
    rows : dict of str to Row
        By key.
    version : int
        Version of the store at which these were the rows.
    changed : int
        Version of the last change of this table.
    """

    rows: dict
    version: int
    changed: int = 0


def change_interval(daemons):
    """Return how many seconds to wait after a change before asking for the next one.

    Load pattern: all instances of a deployment register, or are replaced, within
    seconds.  Each change ends the waiting calls of all daemons, so a large fleet would
    make as many calls as it has daemons for each single change.

    Parameters
    ----------
    daemons : int
        Daemons that follow the table.
    """
    return min(CHANGE_INTERVAL_PER_DAEMON * daemons, MAX_CHANGE_INTERVAL)


def retry_interval(daemons):
    """Return how many seconds to wait after a failed call.

    Load pattern: the store refuses all calls of many daemons for seconds, and each of
    them tries again.  Daemons that are no voters learn of newer tables from the voters
    meanwhile.

    Parameters
    ----------
    daemons : int
        Daemons that follow the table.
    """
    interval = RETRY_INTERVAL_PER_DAEMON * daemons
    return min(max(interval, MIN_RETRY_INTERVAL), MAX_RETRY_INTERVAL)


class TableFeed:
    """Follows one table; an async context manager.

    Parameters
    ----------
    store : MetadataStore
    table : str
    on_rows : coroutine function
        Called with the TableState after each read or change.
    on_reachable : callable
        Called with the table and whether the store answered, after each answer or
        failure.
    count_daemons : callable
        Returns the number of daemons that follow the table.
    log : structlog logger
    on_answer : callable, optional
        Called after each answer, once the rows that it showed have been applied, with
        the time of the boot clock at which the call began.
    change_pause : callable, optional
        Takes the number of daemons and returns the seconds to wait after a change.
    is_informed : callable, optional
        Returns whether voters report all changes, so that no waiting calls are needed.
    """

    def __init__(
        self,
        store,
        table,
        on_rows,
        on_reachable,
        count_daemons,
        log,
        on_answer=lambda begun_at: None,
        change_pause=change_interval,
        is_informed=lambda: False,
    ):
        self._is_informed = is_informed
        self._change_pause = change_pause
        self._on_answer = on_answer
        self._answers_applied = 0
        self._count_daemons = count_daemons
        self._hinted_version = 0
        self._hint = asyncio.Event()
        self._read_requested = False
        self._store = store
        self._table = table
        self._on_rows = on_rows
        self._on_reachable = on_reachable
        self._log = log
        self._state = None
        self._reachable = None
        self._answered_at = None
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
            self._set_reachable(False, error)
            await asyncio.sleep(retry_interval(self._count_daemons()))

    async def _step(self):
        if self._state is None:
            await self._read()
            return
        if self.informed:
            await self._follow_voters()
            return
        begun_at = boot_clock()
        changes = await self._wait_for_changes()
        if changes is None:
            await self._read()
            return
        if isinstance(changes, HistoryGone):
            self._log.info(
                "store history gone, reading the table again", table=self._table
            )
            await self._read()
            return
        changed = await self._apply_changes(changes)
        self._on_answer(begun_at)
        self._set_reachable(True)
        if changed:
            await asyncio.sleep(self._change_pause(self._count_daemons()))

    async def _follow_voters(self):
        """Wait for a moment; read the table if a newer one is known."""
        try:
            async with asyncio.timeout(INFORMED_CHECK_INTERVAL):
                await self._hint.wait()
        except TimeoutError:
            return
        read_requested, self._read_requested = self._read_requested, False
        self._hint.clear()
        await self._catch_up(read_requested)
        await asyncio.sleep(self._change_pause(self._count_daemons()))

    async def _catch_up(self, whole):
        """Get the changes since the last answer, or the whole table."""
        age = self.answer_age(asyncio.get_running_loop().time())
        if not whole and age is not None and age < HISTORY_TIME:
            begun_at = boot_clock()
            changes = await self._store.watch(self._table, self._state.version, 0.0)
            if not isinstance(changes, HistoryGone):
                await self._apply_changes(changes)
                if self._state.changed >= self._hinted_version:
                    self._on_answer(begun_at)
                    self._set_reachable(True)
                    return
        await self._read()

    async def _apply_changes(self, changes):
        """Apply changes unless a later call has shown them already.

        Returns
        -------
        bool
            Whether there were any.
        """
        state = self._state
        has_changes = bool(changes.changed or changes.removed)
        if changes.version < state.version:
            return has_changes
        if not has_changes:
            self._state = TableState(state.rows, changes.version, state.changed)
            return False
        rows = {
            key: row for key, row in state.rows.items() if key not in changes.removed
        }
        rows |= changes.changed
        await self._apply_state(TableState(rows, changes.version, changes.newest))
        return True

    async def call_briefly(self):
        """Ask the store for changes without waiting for some; apply what it shows.

        Returns
        -------
        bool
            Whether the store answered, so that the rows are as new as this call.
        """
        if self._state is None:
            return False
        begun_at = boot_clock()
        try:
            changes = await self._store.watch(self._table, self._state.version, 0.0)
        except (PlatformUnavailable, PlatformRefused) as error:
            self._log.debug("short call failed", table=self._table, error=str(error))
            return False
        if isinstance(changes, HistoryGone):
            return await self._read_briefly()
        self._answers_applied += 1
        await self._apply_changes(changes)
        self._on_answer(begun_at)
        return True

    async def _read_briefly(self):
        """Read the table in place of a short call; return whether the store answered.

        A daemon that makes no waiting calls often has a version that the store's
        history does not reach.
        """
        try:
            await self._read()
        except (PlatformUnavailable, PlatformRefused) as error:
            self._log.debug("short read failed", table=self._table, error=str(error))
            return False
        return True

    async def _read(self):
        hinted_version = self._hinted_version
        begun_at = boot_clock()
        answers_applied = self._answers_applied
        snapshot = await self._store.read(self._table)
        if (
            self._answers_applied != answers_applied
            and snapshot.version < self._state.version
        ):
            # A short call or another read has shown a later state meanwhile.
            return
        self._answers_applied += 1
        newest = max((row.version for row in snapshot.rows.values()), default=0)
        state = TableState(snapshot.rows, snapshot.version, max(newest, hinted_version))
        await self._apply_state(state)
        self._on_answer(begun_at)
        self._set_reachable(True)

    async def _wait_for_changes(self):
        """Return the next changes, or None if the whole table must be read."""
        factor = max(1.0, self._count_daemons() / DAEMONS_PER_WATCH_TIMEOUT)
        wait = min(WATCH_TIMEOUT * factor, MAX_WATCH_TIMEOUT)
        watching = asyncio.create_task(
            self._store.watch(self._table, self._state.version, wait)
        )
        hinting = asyncio.create_task(self._hint.wait())
        try:
            await asyncio.wait((watching, hinting), return_when=asyncio.FIRST_COMPLETED)
            if not watching.done() and not self._read_requested:
                self._log.info("peers know of a newer change", table=self._table)
                await asyncio.wait((watching,), timeout=HINT_GRACE)
            return watching.result() if watching.done() else None
        finally:
            self._read_requested = False
            self._hint.clear()
            await cancel_all((watching, hinting))

    def request_read(self):
        """Read the table immediately, since a decision depends on its current state."""
        self._read_requested = True
        self._hint.set()

    def read_if_informed(self):
        """Read the table now if no call waits for its changes."""
        if self.informed:
            self._hint.set()

    @property
    def informed(self):
        """Whether this daemon makes no waiting calls, since voters report changes."""
        return self.reachable and self._is_informed()

    @property
    def changed(self):
        """Version of the last known change of the table; 0 before the first read."""
        return 0 if self._state is None else self._state.changed

    def answer_age(self, now):
        """Return the seconds since the store last answered; None if it never did.

        Parameters
        ----------
        now : float
            Seconds of the loop's clock.
        """
        return None if self._answered_at is None else now - self._answered_at

    @property
    def reachable(self):
        """Whether the store answered the last call."""
        return bool(self._reachable)

    @property
    def failing(self):
        """Whether the last call failed."""
        return self._reachable is False

    @property
    def rows(self):
        """Last known rows of the table, by key."""
        return {} if self._state is None else self._state.rows

    async def apply_peer_rows(self, rows, changed):
        """Apply a newer table from a peer, if the store does not answer.

        Parameters
        ----------
        rows : dict of str to Row
        changed : int
            Version of the last change in the peer's table.
        """
        if not self.reachable and changed > self.changed:
            await self._apply_state(TableState(rows, changed, changed))

    def hint(self, changed):
        """Read the table soon if a peer knows of a newer change.

        Parameters
        ----------
        changed : int
            Version of the last change that the peer knows.
        """
        if self._state is not None and changed > self._state.changed:
            self._hinted_version = max(self._hinted_version, changed)
            self._hint.set()

    async def _apply_state(self, state):
        self._state = state
        await self._on_rows(state)

    def _set_reachable(self, reachable, error=None):
        if reachable:
            self._answered_at = asyncio.get_running_loop().time()
        if reachable != self._reachable:
            self._reachable = reachable
            event = "store answers" if reachable else "store lost"
            emit = self._log.info if reachable else self._log.warning
            emit(event, table=self._table, error=str(error) if error else None)
        elif not reachable:
            self._log.info("store still lost", table=self._table, error=str(error))
        self._on_reachable(self._table, reachable)
