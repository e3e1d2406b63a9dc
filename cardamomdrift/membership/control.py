"""
Control plane
=============

Keeps this daemon registered in the platform's store, reads the store when the promises
of the other daemons do not suffice, and removes the rows of daemons that have failed.
"""

import asyncio
import secrets

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import (
    ControlRecordError,
    PlatformRefused,
    PlatformUnavailable,
)
from cardamomdrift.failover.permission import (
    ECHO_TIMEOUT,
    PERMISSION_VALIDITY,
    SILENT_DAEMON_TIMEOUT,
    STORE_READ_VALIDITY,
)
from cardamomdrift.failover.records import (
    LEADERSHIP_PREFIX,
    MEMBER_PREFIX,
    TABLE,
    LeadershipRecord,
    MemberRecord,
    decode_record,
    encode_record,
    leadership_key,
    member_key,
)
from cardamomdrift.loops import repeat
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT
from cardamomdrift.ports import Committed
from cardamomdrift.util import cancel_all

STEP_INTERVAL = 0.1  # seconds
PERMISSION_REFRESH_MARGIN = 0.5  # seconds of permission left when the store is read
RANK_DELAY = 0.1  # seconds for each live daemon ranked higher
# Seconds without a heartbeat after which a daemon is removed.  This is longer than a
# restart takes, and longer than the permission of that daemon can depend on the one
# that removes it.
REMOVAL_TIMEOUT = SILENT_DAEMON_TIMEOUT + ECHO_TIMEOUT + 0.5
ISOLATED_REMOVAL_TIMEOUT = 24.0  # seconds, if this daemon hears no other one
# Seconds without a heartbeat after which this daemon removes one that has never echoed
# its heartbeats.  The permission of the silent daemon ends earlier, unless it reads the
# store and so learns of this daemon.
UNECHOED_REMOVAL_TIMEOUT = STORE_READ_VALIDITY + PERMISSION_VALIDITY + 1.0
# Seconds between reads of the store.  The other half of the validity is left for
# outages of the store.
STORE_READ_INTERVAL = STORE_READ_VALIDITY / 2
# Seconds for each live daemon ranked higher; the heartbeat that reports its read
# arrives within this time.
STORE_READ_RANK_DELAY = 0.5
SILENT_READ_INTERVAL = 2.0  # seconds between reads while a daemon is silent
# Seconds.  A longer time between two steps means that the VM was suspended.
SUSPENSION_THRESHOLD = 1.0
RETRY_INTERVAL = 0.3  # seconds after a failed call


class ControlPlane:
    """Registration of this daemon and its reads of the store; an async context manager.

    Parameters
    ----------
    store : MetadataStore
    roster : Roster
    permission : Permission
    address : str
    clusters : Clusters
    on_change : callable
        Called after each read of the store.
    log : structlog logger

    Attributes
    ----------
    reachable : bool
        Whether the last call of the store was answered.
    unsettled_rows : dict of str to int
        Versions of rows that show a settled replacement as in progress, by group.
    """

    def __init__(self, store, roster, permission, address, clusters, on_change, log):
        self._store = store
        self._roster = roster
        self._permission = permission
        self._address = address
        self._clusters = clusters
        self._on_change = on_change
        self._log = log
        self._rows = {}
        self._registered = False
        self._confirmation_due_since = None
        self._retry_at = 0.0
        self._read_at = 0.0
        self._registered_at = 0.0
        self._resumed_at = boot_clock()
        self._last_step_at = self._resumed_at
        self._registered_names = frozenset()
        self._lock = asyncio.Lock()
        self._task = None
        self.reachable = False
        self.unsettled_rows = {}

    @property
    def rows(self):
        """Rows of the daemons' table as of the last read, by key."""
        return self._rows

    @property
    def registered(self):
        """Whether this daemon's row has been written."""
        return self._registered

    @property
    def registered_names(self):
        """Names of the daemons that were registered at the last read of the store."""
        return self._registered_names

    async def __aenter__(self):
        self._task = asyncio.create_task(repeat("control", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    async def _run(self):
        now = boot_clock()
        try:
            await self._step(now)
        except (PlatformUnavailable, PlatformRefused) as error:
            self._set_reachable(False, error)
            self._retry_at = now + RETRY_INTERVAL
        await asyncio.sleep(STEP_INTERVAL)

    async def _step(self, now):
        if now - self._last_step_at > SUSPENSION_THRESHOLD:
            self._resumed_at = now
        self._last_step_at = now
        if now < self._retry_at:
            return
        if not self._registered:
            await self._register()
            await self.refresh()
        elif self._is_confirmation_due(now):
            await self.refresh()
        elif self._is_store_read_due(now):
            self._read_at = now
            await self.refresh()
        elif self.unsettled_rows:
            await self._write_settled_row()
        elif self._is_removal_read_due(now):
            self._retry_at = now + RETRY_INTERVAL
            await self.refresh()
            await self._remove_daemons(now)

    # Registration

    async def _register(self):
        record = MemberRecord(self._address, self._roster.incarnation)
        key = member_key(self._roster.vm)
        await self._store.commit(TABLE, {}, {key: encode_record(record)})
        self.record_registration(boot_clock())
        self._set_reachable(True)
        self._log.info("daemon registered", incarnation=self._roster.incarnation)

    def record_registration(self, now):
        """Record that the store has this daemon's row.

        Parameters
        ----------
        now : float
            Boot clock.
        """
        self._registered = True
        self._registered_at = now

    async def deregister(self):
        """Stop, and remove this daemon's row from the store.

        Call it last, after the daemon has stopped serving.
        """
        await cancel_all([self._task])
        if not self._registered:
            return
        try:
            await self._store.commit(TABLE, {}, {}, [member_key(self._roster.vm)])
        except (PlatformUnavailable, PlatformRefused) as error:
            self._log.warning(
                "row not removed; other daemons will remove it", error=str(error)
            )

    # Reading

    def _is_confirmation_due(self, now):
        """Whether a read is due because the permission runs out soon."""
        if self._permission.until - now > PERMISSION_REFRESH_MARGIN:
            self._confirmation_due_since = None
            return False
        if self._confirmation_due_since is None:
            self._confirmation_due_since = now
        live = self._roster.live_members(now, LIVENESS_TIMEOUT)
        delay = rank("confirm", live).index(self._roster.vm) * RANK_DELAY
        return now >= self._confirmation_due_since + delay

    def _is_store_read_due(self, now):
        """Whether a read is due so that promises keep counting for all daemons."""
        if now < self._read_at + SILENT_READ_INTERVAL:
            return False
        live = self._roster.live_members(now, LIVENESS_TIMEOUT)
        delay = rank("roster", live).index(self._roster.vm) * STORE_READ_RANK_DELAY
        return now >= self._permission.store_read_at + STORE_READ_INTERVAL + delay

    async def refresh(self):
        """Read the daemons' table and apply its rows.

        Raises
        ------
        PlatformUnavailable
        """
        async with self._lock:
            begun_at = boot_clock()
            snapshot = await self._store.read(TABLE)
            self._set_reachable(True)
            self._confirmation_due_since = None
            self._read_at = begun_at
            self._rows = snapshot.rows
            self._apply_leadership_rows(snapshot.rows)
            self._apply_member_rows(snapshot.rows)
            if self._roster.vm in self._registered_names:
                self._permission.record_store_read(begun_at)
            elif self._registered:
                self._begin_new_registration()
            self._permission.extend_by_promises(boot_clock())
        self._on_change()

    def _begin_new_registration(self):
        """Prepare a new registration, since another daemon removed this one's row."""
        self._registered = False
        self._roster.set_incarnation(secrets.token_hex(4), boot_clock())
        self._log.warning(
            "registration was removed by another daemon", vm=self._roster.vm
        )

    def _apply_leadership_rows(self, rows):
        for key, row in rows.items():
            if key.startswith(LEADERSHIP_PREFIX):
                self.apply_leadership_row(key.removeprefix(LEADERSHIP_PREFIX), row)

    def apply_leadership_row(self, group, row):
        """Apply a group's row; return whether it was newer than the known state."""
        cluster = self._clusters.get(group)
        if cluster is None:
            return False
        try:
            record = decode_record(row, LeadershipRecord)
        except ControlRecordError as error:
            self._log.error("row not usable", error=str(error))
            return False
        leadership = cluster.leadership
        if cluster.adopt(
            record.generation, record.settled, record.term, record.primary, "store"
        ):
            return True
        if (
            leadership.settled
            and leadership.generation == record.generation
            and not record.settled
        ):
            # The daemon that settled it stopped before it wrote the row.
            self.unsettled_rows.setdefault(group, row.version)
        return False

    def _apply_member_rows(self, rows):
        registered = {}
        for key, row in rows.items():
            if not key.startswith(MEMBER_PREFIX):
                continue
            name = key.removeprefix(MEMBER_PREFIX)
            try:
                registered[name] = decode_record(row, MemberRecord).address
            except ControlRecordError as error:
                self._log.error("row not usable", error=str(error))
        self._registered_names = frozenset(registered)
        if self._roster.apply_registered(registered, boot_clock()):
            self._log.info("daemons counted", members=",".join(self._roster.names))

    def _set_reachable(self, reachable, error=None):
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            self._log.info("store answers", table=TABLE)
        else:
            self._log.warning("store lost", table=TABLE, error=str(error))

    # Writing

    async def _write_settled_row(self):
        """Correct one row that shows a settled replacement as in progress."""
        group, version = next(iter(self.unsettled_rows.items()))
        del self.unsettled_rows[group]
        cluster = self._clusters.get(group)
        if cluster is None or not cluster.leadership.settled:
            return
        key = leadership_key(group)
        row = self._rows.get(key)
        if row is None or row.version != version:
            return
        record = decode_record(row, LeadershipRecord)
        leadership = cluster.leadership
        settled = LeadershipRecord(
            record.generation,
            True,
            leadership.term,
            leadership.primary,
            record.token,
            "",
        )
        if record.generation != leadership.generation:
            return
        result = await self._store.commit(
            TABLE, {key: version}, {key: encode_record(settled)}
        )
        self._log.info(
            "replacement written",
            group=group,
            generation=leadership.generation,
            taken=isinstance(result, Committed),
        )

    def _silent_daemons(self, now, min_silence=0.0):
        """Return the names of the daemons that have reached their removal timeout.

        Parameters
        ----------
        now : float
        min_silence : float
            Minimum seconds of silence, if longer than that timeout.
        """
        return [
            name
            for name, peer in self._roster.peers.items()
            if self._has_timed_out(peer, now, min_silence)
        ]

    def _has_timed_out(self, peer, now, min_silence):
        heard_at = peer.heard_at or peer.added_at
        since = max(heard_at, self._resumed_at)
        limit = REMOVAL_TIMEOUT
        if not peer.has_echoed:
            # The peer may never have learned of this daemon's registration.
            since = max(since, self._registered_at)
            limit = UNECHOED_REMOVAL_TIMEOUT
        return now - since >= max(limit, min_silence)

    def _is_removal_read_due(self, now):
        """Whether a read is due to see which silent daemons are still registered."""
        if now < self._read_at + SILENT_READ_INTERVAL:
            return False
        return bool(self._silent_daemons(now))

    def _removable_daemons(self, now):
        """Return the names of the daemons whose rows this one may remove now."""
        live = self._roster.live_members(now, LIVENESS_TIMEOUT)
        delay = rank("remove", live).index(self._roster.vm) * RANK_DELAY
        # A daemon that hears no other is more likely partitioned than the last one.
        min_silence = REMOVAL_TIMEOUT if len(live) > 1 else ISOLATED_REMOVAL_TIMEOUT
        return self._silent_daemons(now, min_silence + delay)

    async def _remove_daemons(self, now):
        """Remove the rows of removable daemons while this daemon is registered."""
        for name in self._removable_daemons(now):
            row = self._rows.get(member_key(name))
            own_row = self._rows.get(member_key(self._roster.vm))
            if row is None or own_row is None:
                continue
            expected = {row.key: row.version, own_row.key: own_row.version}
            await self._store.commit(TABLE, expected, {}, [row.key])
            self._log.warning("daemon removed", member=name)
            await self.refresh()
