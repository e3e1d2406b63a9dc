"""
Control plane
=============

Keeps this daemon registered in the platform's store, reads what the store says when
the other daemons' promises do not suffice, and removes daemons that are gone.
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
    ECHO_TIME,
    PERMISSION_TIME,
    ROSTER_TIME,
    SILENT_TIME,
)
from cardamomdrift.failover.records import (
    LEAD_PREFIX,
    MEMBER_PREFIX,
    TABLE,
    LeadRecord,
    MemberRecord,
    decode_record,
    encode_record,
    lead_key,
    member_key,
)
from cardamomdrift.loops import repeat
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.contacts import LIVE_TIME
from cardamomdrift.ports import Committed
from cardamomdrift.util import cancel_all

TICK = 0.1  # seconds
CONFIRM_MARGIN = 0.5  # seconds of permission left at which the store is read
RANK_DELAY = 0.1  # seconds for each live daemon that comes first
# Seconds without a heartbeat after which a daemon is removed: more than a restart
# takes, and than it may rely on whoever removes it.
GONE_TIME = SILENT_TIME + ECHO_TIME + 0.5
ALONE_TIME = 24.0  # seconds, for a daemon that hears nobody else
# Seconds before a daemon removes one that has never echoed it: more than that one may
# go without a read of the store that would show the newcomer.
NEWCOMER_TIME = ROSTER_TIME + PERMISSION_TIME + 1.0
ROSTER_READ_TIME = ROSTER_TIME / 2  # seconds; half is left for outages of the store
ROSTER_READ_DELAY = 0.5  # seconds for each live daemon that comes first; a heartbeat
SILENT_READ_INTERVAL = 2.0  # seconds between reads while a daemon is silent
PAUSE_LIMIT = 1.0  # seconds between two steps after which the VM was suspended
RETRY_INTERVAL = 0.3  # seconds after a failed call


class ControlPlane:
    """This daemon's part in what all daemons agree on; an async context manager.

    Parameters
    ----------
    store : MetadataStore
    roster : Roster
    permission : Permission
    address : str
    clusters : Clusters
    on_change : callable
        Called after who leads, or who counts, has changed.
    log : structlog logger
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
        self._wanted_since = None
        self._not_before = 0.0
        self._read_at = 0.0
        self._registered_at = 0.0
        self._awake_since = boot_clock()
        self._stepped_at = self._awake_since
        self._listed = frozenset()
        self._lock = asyncio.Lock()
        self._task = None
        self.reachable = False
        self.pending = {}

    @property
    def rows(self):
        """Rows of the daemons' table as last read, by key."""
        return self._rows

    @property
    def registered(self):
        """Whether this daemon's row has been written."""
        return self._registered

    @property
    def listed(self):
        """Names that the last read of the store listed."""
        return self._listed

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
            self._note_reachable(False, error)
            self._not_before = now + RETRY_INTERVAL
        await asyncio.sleep(TICK)

    async def _step(self, now):
        if now - self._stepped_at > PAUSE_LIMIT:
            self._awake_since = now
        self._stepped_at = now
        if now < self._not_before:
            return
        if not self._registered:
            await self._register()
            await self.refresh()
        elif self._is_confirmation_due(now):
            await self.refresh()
        elif self._is_roster_due(now):
            self._read_at = now
            await self.refresh()
        elif self.pending:
            await self._write_pending()
        elif self._is_reading_due(now):
            self._not_before = now + RETRY_INTERVAL
            await self.refresh()
            await self._remove_gone(now)

    # Registration

    async def _register(self):
        record = MemberRecord(self._address, self._roster.incarnation)
        key = member_key(self._roster.vm)
        await self._store.commit(TABLE, {}, {key: encode_record(record)})
        self.note_registered(boot_clock())
        self._note_reachable(True)
        self._log.info("daemon registered", incarnation=self._roster.incarnation)

    def note_registered(self, now):
        """Take in that the store has this daemon's row."""
        self._registered = True
        self._registered_at = now

    async def leave(self):
        """Remove this daemon's row, as its last act."""
        await cancel_all([self._task])
        if not self._registered:
            return
        try:
            await self._store.commit(TABLE, {}, {}, [member_key(self._roster.vm)])
        except (PlatformUnavailable, PlatformRefused) as error:
            self._log.warning("row not removed; others will", error=str(error))

    # Reading

    def _is_confirmation_due(self, now):
        if self._permission.until - now > CONFIRM_MARGIN:
            self._wanted_since = None
            return False
        if self._wanted_since is None:
            self._wanted_since = now
        live = self._roster.live(now, LIVE_TIME)
        delay = rank("confirm", live).index(self._roster.vm) * RANK_DELAY
        return now >= self._wanted_since + delay

    def _is_roster_due(self, now):
        """Whether to read the table so that all may go on relying on promises."""
        if now < self._read_at + SILENT_READ_INTERVAL:
            return False
        live = self._roster.live(now, LIVE_TIME)
        delay = rank("roster", live).index(self._roster.vm) * ROSTER_READ_DELAY
        return now >= self._permission.confirmed_at + ROSTER_READ_TIME + delay

    async def refresh(self):
        """Read the daemons' table and take in what it says.

        Raises
        ------
        PlatformUnavailable
        """
        async with self._lock:
            begun_at = boot_clock()
            snapshot = await self._store.read(TABLE)
            self._note_reachable(True)
            self._wanted_since = None
            self._read_at = begun_at
            self._rows = snapshot.rows
            self._take_leads(snapshot.rows)
            self._take_members(snapshot.rows)
            if self._roster.vm in self._listed:
                self._permission.note_confirmed(begun_at)
            elif self._registered:
                self._register_again()
            self._permission.note_roster(boot_clock())
        self._on_change()

    def _register_again(self):
        """Begin a new registration, since the others have removed this daemon."""
        self._registered = False
        self._roster.renew(secrets.token_hex(4), boot_clock())
        self._log.warning("registration was removed", vm=self._roster.vm)

    def _take_leads(self, rows):
        for key, row in rows.items():
            if key.startswith(LEAD_PREFIX):
                self.take_lead(key.removeprefix(LEAD_PREFIX), row)

    def take_lead(self, group, row):
        """Take in a group's row; return whether it is newer than what was known."""
        cluster = self._clusters.get(group)
        if cluster is None:
            return False
        try:
            record = decode_record(row, LeadRecord)
        except ControlRecordError as error:
            self._log.error("row not usable", error=str(error))
            return False
        lead = cluster.leadership
        if cluster.adopt(
            record.generation, record.settled, record.term, record.primary, "store"
        ):
            return True
        if lead.settled and lead.generation == record.generation and not record.settled:
            # Whoever settled it ended before the store took it.
            self.pending.setdefault(group, row.version)
        return False

    def _take_members(self, rows):
        registered = {}
        for key, row in rows.items():
            if not key.startswith(MEMBER_PREFIX):
                continue
            name = key.removeprefix(MEMBER_PREFIX)
            try:
                registered[name] = decode_record(row, MemberRecord).address
            except ControlRecordError as error:
                self._log.error("row not usable", error=str(error))
        self._listed = frozenset(registered)
        if self._roster.settle(registered, boot_clock()):
            self._log.info("daemons counted", members=",".join(self._roster.names))

    def _note_reachable(self, reachable, error=None):
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            self._log.info("store answers", table=TABLE)
        else:
            self._log.warning("store lost", table=TABLE, error=str(error))

    # Writing

    async def _write_pending(self):
        """Write settled replacements whose rows say that they are under way."""
        group, version = next(iter(self.pending.items()))
        del self.pending[group]
        cluster = self._clusters.get(group)
        if cluster is None or not cluster.leadership.settled:
            return
        key = lead_key(group)
        row = self._rows.get(key)
        if row is None or row.version != version:
            return
        record = decode_record(row, LeadRecord)
        lead = cluster.leadership
        settled = LeadRecord(
            record.generation, True, lead.term, lead.primary, record.token, ""
        )
        if record.generation != lead.generation:
            return
        result = await self._store.commit(
            TABLE, {key: version}, {key: encode_record(settled)}
        )
        self._log.info(
            "replacement written",
            group=group,
            generation=lead.generation,
            taken=isinstance(result, Committed),
        )

    def _silent(self, now, least=0.0):
        """Return the daemons that have been silent for so long that they are gone.

        Parameters
        ----------
        now : float
        least : float
            Seconds of silence that count in any case.
        """
        return [
            name
            for name, peer in self._roster.peers.items()
            if self._is_gone(peer, now, least)
        ]

    def _is_gone(self, peer, now, least):
        heard_at = peer.heard_at or peer.added_at
        since = max(heard_at, self._awake_since)
        limit = GONE_TIME
        if not peer.knows_us:
            # It may never have heard of this daemon's registration.
            since = max(since, self._registered_at)
            limit = NEWCOMER_TIME
        return now - since >= max(limit, least)

    def _is_reading_due(self, now):
        """Whether to look which of the silent daemons are still registered."""
        if now < self._read_at + SILENT_READ_INTERVAL:
            return False
        return bool(self._silent(now))

    def _find_gone(self, now):
        """Return the daemons whose rows this one is to remove."""
        live = self._roster.live(now, LIVE_TIME)
        delay = rank("remove", live).index(self._roster.vm) * RANK_DELAY
        # Whoever hears nobody is more likely cut off than the only one left.
        least = GONE_TIME if len(live) > 1 else ALONE_TIME
        return self._silent(now, least + delay)

    async def _remove_gone(self, now):
        for name in self._find_gone(now):
            row = self._rows.get(member_key(name))
            own = self._rows.get(member_key(self._roster.vm))
            if row is None or own is None:
                continue
            expected = {row.key: row.version, own.key: own.version}
            await self._store.commit(TABLE, expected, {}, [row.key])
            self._log.warning("daemon removed", member=name)
            await self.refresh()
