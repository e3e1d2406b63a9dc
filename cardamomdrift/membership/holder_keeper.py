"""
Holder keeper
=============

Keeps, for each group with synchronous replicas, the processes of instances whose logs
may hold acknowledged commits.  One that leaves the list of instances stays among them
until enough other replicas have received what it had.  The row in the platform's store
outlives a restart of all daemons.
"""

import asyncio

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import (
    ControlRecordError,
    PlatformRefused,
    PlatformUnavailable,
    UpstreamError,
)
from cardamomdrift.failover.records import (
    TABLE,
    HolderRecord,
    HoldersRecord,
    decode_record,
    encode_record,
    holders_key,
)
from cardamomdrift.failover.succession import Holder, droppable_holders, make_holder
from cardamomdrift.loops import repeat
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT
from cardamomdrift.ports import Committed
from cardamomdrift.routing.samples import Sample
from cardamomdrift.util import cancel_all

CHECK_INTERVAL = 0.2  # seconds
RANK_DELAY = 0.2  # seconds for each live voter ranked higher
RETRY_INTERVAL = 1.0  # seconds between two attempts to drop absent processes


def _to_holder(record):
    return Holder(record.name, record.started_at_ms, record.address, record.draining)


def _to_record(holder):
    return HolderRecord(
        holder.name, holder.started_at_ms, holder.address, holder.draining
    )


class GroupHolders:
    """Processes that may hold acknowledged commits of one group.

    Attributes
    ----------
    stored : dict of tuple to Holder
        Those of the row, by their keys.
    absent : dict of tuple to float
        When stored processes were first found to be missing from the list of instances,
        by their keys; boot clock.
    due_since : float or None
        Since when the row has lacked a process, by the boot clock.
    retry_at : float
        Earliest time of the next attempt to drop processes, by the same clock.
    """

    def __init__(self):
        self.stored = {}
        self.absent = {}
        self.due_since = None
        self.retry_at = 0.0
        self._unstored = {}
        self._row_version = None
        self._era = None

    @property
    def all(self):
        """All processes, by their keys."""
        return self.stored | self._unstored

    @property
    def is_stored(self):
        """Whether the row has all processes."""
        return not self._unstored

    def apply_row(self, row, era):
        """Apply the row of the group, or None if there is none.

        Parameters
        ----------
        row : Row or None
        era : int
            Era of the store; an older copy may lack processes.

        Raises
        ------
        ControlRecordError
        """
        version = None if row is None else row.version
        if (version, era) == (self._row_version, self._era):
            return
        stored = {}
        if row is not None:
            records = decode_record(row, HoldersRecord).holders
            stored = {holder.key: holder for holder in map(_to_holder, records)}
        if era != self._era:
            self._unstored = self.stored | self._unstored
        self._row_version, self._era = version, era
        self.stored = stored
        self._drop_stored()

    def update(self, listed, now):
        """Apply the processes in the list of instances.

        Parameters
        ----------
        listed : list of Holder
        now : float
            Boot clock.
        """
        listed = {holder.key: holder for holder in listed}
        self._unstored |= listed
        self._drop_stored()
        self.absent = {
            key: self.absent.get(key, now) for key in self.stored if key not in listed
        }

    def _drop_stored(self):
        self._unstored = {
            key: holder
            for key, holder in self._unstored.items()
            if self.stored.get(key) != holder
        }


class HolderKeeper:
    """Holders of all groups; an async context manager.

    Parameters
    ----------
    store : MetadataStore
    control : ControlPlane
    roster : Roster
    clusters : Clusters
    instances : InstanceList
    log : structlog logger
    """

    def __init__(self, store, control, roster, clusters, instances, log):
        self._store = store
        self._control = control
        self._roster = roster
        self._clusters = clusters
        self._instances = instances
        self._log = log
        self._groups = {}
        self._task = None

    async def __aenter__(self):
        self._task = asyncio.create_task(repeat("holders", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    def holders(self, cluster):
        """Return the frozenset of Holders of a group, by what is known now."""
        return frozenset(self._update(cluster, boot_clock()).all.values())

    async def _run(self):
        await asyncio.sleep(CHECK_INTERVAL)
        for cluster in self._clusters:
            if cluster.group.synchronous:
                await self._check_group(cluster)

    def _update(self, cluster, now):
        """Return the GroupHolders of a group after applying row and list."""
        group = cluster.group.name
        state = self._groups.setdefault(group, GroupHolders())
        try:
            state.apply_row(
                self._control.rows.get(holders_key(group)), self._control.era
            )
        except ControlRecordError as error:
            self._log.error("row not usable", error=str(error))
        specs = [runtime.spec for runtime in cluster.instances.values()]
        state.update([make_holder(spec) for spec in specs], now)
        return state

    async def _check_group(self, cluster):
        now = boot_clock()
        state = self._update(cluster, now)
        # Voters with different lists would overwrite each other's rows.
        is_current = self._control.reachable and self._instances.is_current
        if not self._roster.is_voter or not is_current:
            return
        if state.is_stored:
            state.due_since = None
            if state.absent and now >= state.retry_at:
                state.retry_at = now + RETRY_INTERVAL + self._rank_delay(cluster, now)
                await self._drop_absent(cluster, state)
            return
        if state.due_since is None:
            state.due_since = now
        if now >= state.due_since + self._rank_delay(cluster, now):
            await self._write(cluster, list(state.all.values()))

    def _rank_delay(self, cluster, now):
        """Return for how many seconds this daemon leaves the row to other voters."""
        live = self._roster.live_voters(now, LIVENESS_TIMEOUT)
        if self._roster.vm not in live:
            return 0.0
        return rank(cluster.group.name, live).index(self._roster.vm) * RANK_DELAY

    async def _drop_absent(self, cluster, state):
        """Drop the absent processes that hold no acknowledged commit alone."""
        leadership = cluster.leadership
        primary, generation = leadership.primary, leadership.generation
        begun_at = boot_clock()
        absent = {
            key: since
            for key, since in state.absent.items()
            if self._instances.age() < begun_at - since
        }
        if not absent or not leadership.settled:
            return
        statuses = await self._ask_instances(cluster)
        status = statuses.pop(primary, None)
        if status is None or not cluster.is_primary(primary, generation):
            return
        sample = Sample(begun_at, status.received)
        received = [status.received for status in statuses.values()]
        synchronous = cluster.group.synchronous
        dropped = droppable_holders(absent, sample, received, synchronous)
        if dropped:
            self._log.info(
                "log no longer needed",
                group=cluster.group.name,
                instances=",".join(sorted(name for name, _ in dropped)),
                position=str(sample.floor),
            )
            kept = [one for key, one in state.stored.items() if key not in dropped]
            await self._write(cluster, kept)

    @staticmethod
    async def _ask_instances(cluster):
        """Return the InstanceStatus of each listed instance that answers, by name."""
        runtimes = dict(cluster.instances)
        answers = await asyncio.gather(
            *(runtime.prober.status() for runtime in runtimes.values()),
            return_exceptions=True,
        )
        statuses = {}
        for name, answer in zip(runtimes, answers, strict=True):
            if isinstance(answer, (UpstreamError, TimeoutError)):
                continue
            if isinstance(answer, BaseException):
                raise answer
            statuses[name] = answer
        return statuses

    async def _write(self, cluster, holders):
        """Write the row of a group, unless it has changed since the last read."""
        key = holders_key(cluster.group.name)
        row = self._control.rows.get(key)
        records = [_to_record(one) for one in sorted(holders, key=lambda one: one.key)]
        value = encode_record(HoldersRecord(tuple(records)))
        try:
            result = await self._store.commit(
                TABLE, {key: 0 if row is None else row.version}, {key: value}
            )
            self._log.info(
                "holders written",
                group=cluster.group.name,
                instances=",".join(record.name for record in records),
                taken=isinstance(result, Committed),
            )
            await self._control.refresh()
        except (PlatformUnavailable, PlatformRefused) as error:
            self._log.warning("holders not written", error=str(error))
