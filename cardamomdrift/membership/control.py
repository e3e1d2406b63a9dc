"""
Control plane
=============

Keeps this daemon registered in the platform's store, reads the store when the promises
of the voters do not suffice, changes the set of voters, and removes the rows of daemons
that have failed.  The rows of the groups are in `membership.leadership_rows`.
"""

import asyncio
import secrets

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import (
    ControlRecordError,
    PlatformRefused,
    PlatformUnavailable,
)
from cardamomdrift.failover.permission import STORE_READ_VALIDITY
from cardamomdrift.failover.records import (
    MEMBER_PREFIX,
    TABLE,
    VOTERS_KEY,
    MemberRecord,
    decode_record,
    encode_record,
    member_key,
)
from cardamomdrift.loops import repeat
from cardamomdrift.membership.leadership_rows import LeadershipRows
from cardamomdrift.membership.registrations import write_lost_rows
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.membership.voter_keeper import VoterKeeper
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT
from cardamomdrift.ports import Committed
from cardamomdrift.util import cancel_all, hash_number

STEP_INTERVAL = 0.1  # seconds
PERMISSION_REFRESH_MARGIN = 0.5  # seconds of permission left when the store is read
RANK_DELAY = 0.1  # seconds for each live voter ranked higher
# Seconds that a daemon that is no voter waits longer than the voters, plus a part of
# the spread by its name.  A voter's heartbeat reports the read of the store before.
CONFIRM_DELAY, CONFIRM_SPREAD = 0.2, 0.2
STORE_READ_DELAY, STORE_READ_SPREAD = 2.5, 4.0
SPREAD_STEPS = 1024
REMOVAL_TIMEOUT = 8.0  # seconds without a heartbeat; longer than a restart takes
ISOLATED_REMOVAL_TIMEOUT = 24.0  # seconds, if this daemon hears no other one
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
    leadership_rows : LeadershipRows
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
        self._resumed_at = boot_clock()
        self._confirmed_at = None
        self._last_step_at = self._resumed_at
        self._registered_names = frozenset()
        self._lock = asyncio.Lock()
        self._task = None
        self._era = None
        self._restore_seen_at = None
        self._voter_keeper = VoterKeeper(roster, log, self._resumed_at)
        self.reachable = False
        self.leadership_rows = LeadershipRows(store, roster, clusters, log)

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

    @property
    def confirmed_at(self):
        """When this daemon's newest read of the store began; None before the first."""
        return self._confirmed_at

    @property
    def era(self):
        """Era of the store at the last read; 0 before the first."""
        return self._era or 0

    @property
    def is_outdated(self):
        """Whether the store lacks rows since a restore, as of the last read."""
        return self._voter_keeper.is_outdated

    @property
    def lists_all(self):
        """Whether the last read of the store lists all daemons that may be alive.

        After a restore, only once the voters' row of the new era is complete.
        """
        is_complete = self.era <= 1 or len(self.voter_sets) == 1
        return self._confirmed_at is not None and not self.is_outdated and is_complete

    @property
    def voter_sets(self):
        """Sets of voters of each of which a replacement needs a quorum."""
        return self._voter_keeper.voter_sets

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
        elif self._voter_keeper.is_due(self._registered_names, now, self._resumed_at):
            # Before the reads that may be due again and again until the row is written.
            await self._change_voters(now)
        elif self._roster.is_voter and not self._roster.promised_epoch:
            self._retry_at = now + RETRY_INTERVAL
            await self.refresh()
        elif self._is_confirmation_due(now):
            await self.refresh()
        elif self._is_store_read_due(now) or self._is_restore_read_due(now):
            self._read_at = now
            await self.refresh()
        elif self.leadership_rows.outdated:
            await self.leadership_rows.write_outdated(self._rows)
        elif self._is_removal_read_due(now):
            self._retry_at = now + RETRY_INTERVAL
            await self.refresh()
            await self._remove_daemons(now)

    # Registration

    async def _register(self):
        domain = self._roster.domains.own
        record = MemberRecord(self._address, self._roster.incarnation, domain)
        key = member_key(self._roster.vm)
        await self._store.commit(TABLE, {}, {key: encode_record(record)})
        self.record_registration()
        self._set_reachable(True)
        self._log.info("daemon registered", incarnation=self._roster.incarnation)

    def record_registration(self):
        """Record that the store has this daemon's row."""
        self._registered = True

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
        delay = self._read_delay(
            "confirm", now, RANK_DELAY, CONFIRM_DELAY, CONFIRM_SPREAD
        )
        return now >= self._confirmation_due_since + delay

    def _is_store_read_due(self, now):
        """Whether a read is due so that promises keep counting for all daemons."""
        read_at = self._permission.store_read_at + STORE_READ_INTERVAL
        if now < max(self._read_at + SILENT_READ_INTERVAL, read_at):
            return False
        delay = self._read_delay(
            "roster", now, STORE_READ_RANK_DELAY, STORE_READ_DELAY, STORE_READ_SPREAD
        )
        return now >= read_at + delay

    def _is_restore_read_due(self, now):
        """Whether a read is due since the store was restored after the last one.

        Load pattern: all daemons of a large fleet notice a restore at the same time.
        """
        if self._era is None or self._store.era == self._era:
            self._restore_seen_at = None
            return False
        if self._restore_seen_at is None:
            self._restore_seen_at = now
        delay = self._read_delay(
            "restore", now, 0.0, STORE_READ_DELAY, STORE_READ_SPREAD
        )
        return now >= self._restore_seen_at + delay

    def _read_delay(self, key, now, rank_delay, other_delay, spread):
        """Return for how many seconds this daemon leaves a read of the store to others.

        Parameters
        ----------
        key : str
            Key of the order of the voters.
        now : float
        rank_delay : float
            Seconds for each live voter ranked higher.
        other_delay, spread : float
            Shortest delay of a daemon that is no voter, and the range above it.
        """
        vm = self._roster.vm
        live = self._roster.live_voters(now, LIVENESS_TIMEOUT)
        if vm in live:
            return rank(key, live).index(vm) * rank_delay
        part = hash_number(key, vm) % SPREAD_STEPS / SPREAD_STEPS
        return (other_delay if live else 0.0) + spread * part

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
            self._record_era(snapshot.era)
            self._rows = snapshot.rows
            self.leadership_rows.apply(snapshot.rows)
            self._voter_keeper.apply_row(
                snapshot.rows.get(VOTERS_KEY), boot_clock(), snapshot.era
            )
            self._apply_member_rows(snapshot.rows)
            is_registered = self._roster.vm in self._registered_names
            if not self.is_outdated:
                self._confirmed_at = begun_at
                if is_registered:
                    self._permission.record_store_read(begun_at)
            if self._registered and not is_registered:
                self._begin_new_registration()
            self._permission.extend_by_promises(boot_clock())
        self._on_change()

    def _record_era(self, era):
        if self._era is not None and era != self._era:
            self._log.warning("store restored from an older copy", era=era)
        self._era = era

    def _begin_new_registration(self):
        """Prepare a new registration, since this daemon's row is gone.

        Another daemon has removed it, or the store was restored from an older copy.
        """
        self._registered = False
        self._roster.set_incarnation(secrets.token_hex(4), boot_clock())
        self._log.warning("registration is gone from the store", era=self._era)

    def _apply_member_rows(self, rows):
        registered, domains = {}, {}
        for key, row in rows.items():
            if not key.startswith(MEMBER_PREFIX):
                continue
            name = key.removeprefix(MEMBER_PREFIX)
            try:
                record = decode_record(row, MemberRecord)
                registered[name], domains[name] = record.address, record.failure_domain
            except ControlRecordError as error:
                self._log.error("row not usable", error=str(error))
        self._registered_names = frozenset(registered)
        if self._roster.apply_registered(registered, boot_clock()):
            self._log.info("daemons counted", members=",".join(self._roster.names))
        for name, domain in domains.items():
            self._roster.domains.record(name, domain)

    def _set_reachable(self, reachable, error=None):
        if reachable == self.reachable:
            return
        self.reachable = reachable
        if reachable:
            self._log.info("store answers", table=TABLE)
        else:
            self._log.warning("store lost", table=TABLE, error=str(error))

    # Writing

    async def _change_voters(self, now):
        """Write the row of the voters if it is still to be changed."""
        keeper = self._voter_keeper
        await self.refresh()
        record = keeper.next_record(
            self._registered_names, boot_clock(), self._resumed_at
        )
        own_row = self._rows.get(member_key(self._roster.vm))
        if record is None or own_row is None:
            keeper.postpone(now)
            return
        if keeper.is_outdated:
            # A read that shows the epoch must show all replacements before it, too.
            while self.leadership_rows.outdated:
                await self.leadership_rows.write_outdated(self._rows)
            # Rows that cannot be decoded are there as well.
            names = {
                key.removeprefix(MEMBER_PREFIX)
                for key in self._rows
                if key.startswith(MEMBER_PREFIX)
            }
            if not await write_lost_rows(self._store, self._roster, names, self._log):
                return
        expected = {VOTERS_KEY: keeper.version, own_row.key: own_row.version}
        puts = {VOTERS_KEY: encode_record(record)}
        result = await self._store.commit(TABLE, expected, puts)
        self._log.warning(
            "voters changed",
            epoch=record.epoch,
            voters=",".join(record.names),
            former=",".join(record.former) or None,
            taken=isinstance(result, Committed),
        )
        await self.refresh()

    def _silent_daemons(self, now, min_silence=0.0):
        """Return the names of the daemons that have reached their removal timeout.

        Only a voter hears all daemons, so the others find none.

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
        roster = self._roster
        heard_at = peer.heard_at or peer.added_at
        since = max(heard_at, self._resumed_at, roster.voter_since)
        return now - since >= max(REMOVAL_TIMEOUT, min_silence)

    def _is_removal_read_due(self, now):
        """Whether a read is due to see which silent daemons are still registered."""
        if not self._roster.is_voter or now < self._read_at + SILENT_READ_INTERVAL:
            return False
        return bool(self._silent_daemons(now))

    def _removable_daemons(self, now):
        """Return the names of the daemons whose rows this voter may remove now."""
        if not self._roster.is_voter:
            return []
        live = self._roster.live_members(now, LIVENESS_TIMEOUT)
        voters = self._roster.live_voters(now, LIVENESS_TIMEOUT)
        delay = rank("remove", voters).index(self._roster.vm) * RANK_DELAY
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
            result = await self._store.commit(TABLE, expected, {}, [row.key])
            taken = isinstance(result, Committed)
            self._log.warning("daemon removed", member=name, taken=taken)
            await self.refresh()
