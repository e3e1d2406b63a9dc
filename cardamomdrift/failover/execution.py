"""
Replacement executor
====================

Carries out the replacement of a primary: commits it to the platform's store as an
intent, waits until no daemon uses the old primary, and calls the platform to promote
the candidate.
"""

import asyncio
import secrets

import msgspec

from cardamomdrift.clock import boot_clock
from cardamomdrift.errors import (
    PlatformUnavailable,
    ReplacementFailed,
    UpstreamError,
)
from cardamomdrift.failover.candidates import CandidateFinder
from cardamomdrift.failover.numbers import first_number, next_number
from cardamomdrift.failover.peer_reports import PeerReports
from cardamomdrift.failover.permission import dropped_permission_until
from cardamomdrift.failover.records import (
    DUTY_KEY,
    LEADERSHIP_PREFIX,
    TABLE,
    VOTERS_KEY,
    DutyRecord,
    LeadershipRecord,
    decode_record,
    encode_record,
    leadership_key,
    member_key,
)
from cardamomdrift.failover.replacement import (
    INTENT_LIFETIME,
    Intent,
    is_released,
    may_call_platform,
    takeover_at,
)
from cardamomdrift.failover.voters import has_quorum
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT
from cardamomdrift.ports import Committed

POLL_INTERVAL = 0.02  # seconds
PLATFORM_CALL_TIMEOUT = 0.6  # seconds; a call takes 20 ms
# Seconds from the platform's answer until the new primary accepts writes.
NEW_PRIMARY_TIMEOUT = 2.0
PLATFORM_RETRY_DELAY = 0.05  # seconds between two calls of the platform


class ReplacementExecutor:
    """Runs replacements of primaries, one call of `run` for each.

    Parameters
    ----------
    store : MetadataStore
    promotions : PromotionService
    control : ControlPlane
    roster : Roster
    clusters : Clusters
    instances : InstanceList
    holder_keeper : HolderKeeper
    announce : callable
        Sends heartbeats to all peers immediately.
    log : structlog logger
    """

    def __init__(
        self,
        store,
        promotions,
        control,
        roster,
        clusters,
        instances,
        holder_keeper,
        announce,
        log,
    ):
        self._store = store
        self._promotions = promotions
        self._control = control
        self._roster = roster
        self._clusters = clusters
        self._instances = instances
        self._finder = CandidateFinder(holder_keeper, log)
        self._announce = announce
        self._peer_reports = PeerReports(roster, clusters)
        self._log = log
        self._begun_generations = {}

    def has_begun(self, group, generation):
        """Whether this daemon began the replacement with this generation."""
        return self._begun_generations.get(group) == generation

    async def run(self, cluster, reason):
        """Replace a group's primary and return the name of the new one.

        Raises
        ------
        PlatformUnavailable or PlatformRefused
        UpstreamError or TimeoutError
        ReplacementFailed
        """
        intent = await self._write_intent(cluster, reason)
        # The previous holder of the duty may have begun a replacement of its own
        # before this intent was committed.
        await self._control.refresh()
        self._check_no_other_replacement(intent.token)
        await self._wait_released(cluster, intent)
        # The old primary acknowledges no more commits from here on, so none is missing
        # from the logs that are compared.
        old = cluster.instances.get(cluster.leadership.primary)
        if old is not None and old.spec.draining:
            await self._finder.wait_caught_up(cluster, old, intent)
        candidate, term = await self._finder.find(cluster, intent)
        name = candidate.name
        await self._record_call(cluster, name, intent)
        if candidate.leads:
            # The platform changes nothing for an instance that leads.
            await cluster.instances[name].prober.demote(term + 1)
        await self._call_promote(cluster, candidate, intent)
        term = await self._wait_until_primary(cluster, name, term)
        old = cluster.instances.get(cluster.leadership.primary)
        await self._settle(cluster, name, term, intent)
        if old is not None and old.spec.name != name:
            await self._demote(old, term)
        return name

    async def _write_intent(self, cluster, reason):
        """Commit the replacement to the store, then stop using the old primary.

        Returns
        -------
        Intent
        """
        await self._control.refresh()
        leadership = cluster.leadership
        rows = self._control.rows
        key = leadership_key(cluster.group.name)
        own_key = member_key(self._roster.vm)
        if own_key not in rows:
            raise ReplacementFailed("this daemon is not registered")
        if self._control.is_outdated:
            raise ReplacementFailed("the store was restored and lacks rows")
        self._check_quorum_reachable()
        duty, duty_puts = self._claim_duty(rows)
        self._check_no_other_replacement(duty.token)
        record = LeadershipRecord(
            next_number(self._control.era, leadership.generation),
            False,
            leadership.term,
            leadership.primary,
            duty.token,
            secrets.token_hex(8),
            self._find_called(cluster, rows.get(key)),
        )
        expected = {
            row_key: rows[row_key].version if row_key in rows else 0
            for row_key in (key, own_key, DUTY_KEY, VOTERS_KEY)
        }
        puts = duty_puts | {key: encode_record(record)}
        self._log.warning(
            "replacement begun",
            group=cluster.group.name,
            generation=record.generation,
            primary=leadership.primary,
            reason=reason.name.lower(),
            token=duty.token,
            list_age_s=round(self._instances.age(), 2),
        )
        begun_at = boot_clock()
        await self._commit_intent(expected, puts, key, record)
        committed_at = boot_clock()
        cluster.adopt(
            record.generation, False, leadership.term, leadership.primary, "own"
        )
        self._begun_generations[cluster.group.name] = record.generation
        self._announce()
        return Intent(
            record.generation, duty.token, begun_at, committed_at, record.called
        )

    @staticmethod
    def _find_called(cluster, row):
        """Return which instances unfinished replacements may have had promoted.

        Calls are recorded only for groups with synchronous replicas.

        Returns
        -------
        tuple of str or None
            None if it is not known.
        """
        if not cluster.group.synchronous:
            return None
        if row is None or cluster.leadership.settled:
            return ()
        return decode_record(row, LeadershipRecord).called

    async def _record_call(self, cluster, candidate, intent):
        """Record in the store that the platform is about to be called.

        Whoever supersedes this replacement then knows which instance may lead.
        """
        if intent.called is None:
            return
        key = leadership_key(cluster.group.name)
        row = self._control.rows.get(key)
        record = None if row is None else decode_record(row, LeadershipRecord)
        if record is None or record.generation != intent.generation:
            raise ReplacementFailed("another replacement came after this one")
        called = tuple(dict.fromkeys((*intent.called, candidate)))
        value = encode_record(msgspec.structs.replace(record, called=called))
        result = await self._store.commit(TABLE, {key: row.version}, {key: value})
        if not isinstance(result, Committed):
            raise ReplacementFailed("another daemon changed the row of this group")
        await self._control.refresh()

    def _check_quorum_reachable(self):
        """Check that enough voters can acknowledge a replacement.

        An intent stops all writes of the group, so none is written in vain.
        """
        now = boot_clock()
        live = {
            name
            for name in self._roster.live_members(now, LIVENESS_TIMEOUT)
            if name == self._roster.vm or self._roster.peers[name].has_echoed
        }
        voter_sets = self._control.voter_sets
        if not voter_sets or not has_quorum(live, voter_sets):
            raise ReplacementFailed("too few voters are heard")

    def _claim_duty(self, rows):
        """Return the DutyRecord of this daemon and the rows to write for it.

        No rows are written if this incarnation holds the duty already.  Otherwise the
        token is above that of the previous holder, and above those of all holders whose
        rows were lost when the store was restored.
        """
        vm, incarnation = self._roster.vm, self._roster.incarnation
        era = self._control.era
        token = 0
        if DUTY_KEY in rows:
            held = decode_record(rows[DUTY_KEY], DutyRecord)
            is_own = (held.holder, held.incarnation) == (vm, incarnation)
            if is_own and held.token >= first_number(era):
                return held, {}
            token = held.token
        duty = DutyRecord(vm, incarnation, next_number(era, token))
        return duty, {DUTY_KEY: encode_record(duty)}

    async def _commit_intent(self, expected, puts, key, record):
        """Commit the intent.

        If no answer arrives, the same commit is sent again: the attempt in the stored
        row then tells whether an earlier one took effect.
        """
        deadline_at = boot_clock() + PLATFORM_CALL_TIMEOUT * 3
        while True:
            try:
                result = await self._store.commit(TABLE, expected, puts)
            except PlatformUnavailable:
                if boot_clock() >= deadline_at:
                    raise
                await asyncio.sleep(PLATFORM_RETRY_DELAY)
                continue
            if isinstance(result, Committed):
                return
            row = result.rows.get(key)
            if row is not None:
                stored = decode_record(row, LeadershipRecord)
                if stored.attempt == record.attempt:
                    return
            raise ReplacementFailed(
                "another daemon changed the rows of the duty, the voters, this group "
                "or this daemon first"
            )

    def _check_no_other_replacement(self, token):
        """Check that no replacement under another token may still call the platform.

        The check covers all groups.
        """
        now = boot_clock()
        for key, row in self._control.rows.items():
            if not key.startswith(LEADERSHIP_PREFIX):
                continue
            record = decode_record(row, LeadershipRecord)
            cluster = self._clusters.get(key.removeprefix(LEADERSHIP_PREFIX))
            if record.settled or record.token == token or cluster is None:
                continue
            if now < takeover_at(cluster.leadership.changed_at):
                raise ReplacementFailed(
                    "a replacement under another fencing token is in progress"
                )

    async def _wait_released(self, cluster, intent):
        """Wait until no daemon uses the old primary any more."""
        names = (self._control.registered_names | set(self._roster.peers)) - {
            self._roster.vm
        }
        group = cluster.group.name
        leadership = cluster.leadership
        quorum_at = None
        while True:
            now = boot_clock()
            if now >= intent.begun_at + INTENT_LIFETIME:
                raise ReplacementFailed(
                    "the old primary was not released in time: this daemon or "
                    "another may still use it"
                )
            released = self._peer_reports.released(group, names)
            voter_sets = self._control.voter_sets
            acknowledging = self._peer_reports.acknowledging(
                group, voter_sets, intent.generation
            )
            if quorum_at is None and has_quorum(acknowledging, voter_sets):
                quorum_at = now
            all_counted = self._peer_reports.all_count_the_same(
                voter_sets, acknowledging
            )
            own_released = leadership.released >= intent.generation
            own_released = own_released and now > dropped_permission_until(self._roster)
            if own_released and is_released(
                intent, released, all_counted, quorum_at, now
            ):
                break
            await asyncio.sleep(POLL_INTERVAL)
        missing = [
            name
            for name, generation in released.items()
            if generation < intent.generation
        ]
        self._log.info(
            "old primary released",
            group=group,
            generation=intent.generation,
            waited_ms=round((now - intent.committed_at) * 1000),
            missing=",".join(missing) or None,
        )

    async def _call_promote(self, cluster, candidate, intent):
        """Call the platform to promote the candidate.

        Calls are repeated until the platform answers, but only while no other daemon
        may take over this replacement.
        """
        group, name = cluster.group.name, candidate.name
        while True:
            if cluster.group.synchronous:
                await self._finder.check_log_kept(cluster, candidate)
            if not may_call_platform(intent, boot_clock(), PLATFORM_CALL_TIMEOUT):
                raise ReplacementFailed("no time left for a call of the platform")
            try:
                accepted = await self._promotions.promote(
                    group,
                    name,
                    self._roster.vm,
                    intent.token,
                    PLATFORM_CALL_TIMEOUT,
                )
            except PlatformUnavailable as error:
                self._log.warning(
                    "promotion call failed", group=group, error=str(error)
                )
                await asyncio.sleep(PLATFORM_RETRY_DELAY)
                continue
            self._log.warning(
                "promotion called",
                group=group,
                candidate=name,
                token=intent.token,
                taken=accepted,
            )
            if not accepted:
                raise ReplacementFailed(
                    f"the platform reports that {name} is not running"
                )
            return

    async def _wait_until_primary(self, cluster, candidate, old_term):
        """Wait until the candidate is primary in a higher term; return that term."""
        runtime = cluster.instances[candidate]
        deadline_at = boot_clock() + NEW_PRIMARY_TIMEOUT
        while boot_clock() < deadline_at:
            try:
                # A ping occupies no slot of the instance, but a primary of an old term
                # answers it as well, so the status is read too.
                if await runtime.prober.ping(read_only=False) is not None:
                    status = await runtime.prober.status()
                    if status.primary and status.term > old_term:
                        return status.term
            except (UpstreamError, TimeoutError) as error:
                self._log.info("new primary not reached", error=str(error))
            await asyncio.sleep(POLL_INTERVAL)
        raise ReplacementFailed(f"{candidate} did not become primary in a higher term")

    async def _demote(self, old, term):
        """Tell the old primary that it was replaced.

        Nothing depends on this call; the old primary may not know yet.
        """
        if old is None:
            return
        try:
            await old.prober.demote(term)
        except (UpstreamError, TimeoutError) as error:
            self._log.info(
                "old primary not demoted",
                instance=old.spec.name,
                error=f"{type(error).__name__} {error}",
            )

    async def _settle(self, cluster, candidate, term, intent):
        """Announce the new primary and schedule the write of the group's row."""
        leadership = cluster.leadership
        if leadership.generation != intent.generation:
            raise ReplacementFailed("another replacement came after this one")
        cluster.adopt(intent.generation, True, term, candidate, "own")
        self._announce()
        group = cluster.group.name
        row = self._control.rows.get(leadership_key(group))
        if row is not None:
            self._control.leadership_rows.outdated[group] = row.version
