"""
Replacer
========

Checks the primaries of all groups, and starts a replacement when one is needed and this
daemon's rank allows it.  The decisions are in `failover.replacement`.  This module
serves the groups whose primary the platform promotes; `failover.monitor` serves the
groups of MySQL instances.
"""

import asyncio
import math
from dataclasses import dataclass

from cardamomdrift.clock import boot_clock
from cardamomdrift.failover.records import (
    DUTY_KEY,
    DutyRecord,
    decode_record,
)
from cardamomdrift.failover.replacement import (
    RANK_DELAY,
    PrimaryEvidence,
    Reason,
    needs_evidence,
    reason_to_replace,
    takeover_at,
)
from cardamomdrift.loops import repeat
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.contacts import (
    CONTACT_AGE_LIMIT,
    CUT_OFF_SILENCE,
    LIVENESS_TIMEOUT,
    primary_contacts,
)
from cardamomdrift.util import cancel_all

CHECK_INTERVAL = 0.05  # seconds
# Seconds between reads of the list of instances; a read takes some 10 ms.
LIST_READ_INTERVAL = 0.25
RETRY_DELAY = 0.5  # seconds after a failed replacement


@dataclass(slots=True)
class _GroupState:
    """What this daemon has found and started for one group.

    Attributes
    ----------
    reason : Reason or None
        Present reason to replace the primary.
    reason_since : float
        When the reason arose, in seconds of the boot clock.
    retry_at : float
        Earliest time of the next attempt, by the same clock.
    task : asyncio.Task or None
        Last replacement that was started here.
    """

    reason: Reason | None = None
    reason_since: float = 0.0
    retry_at: float = 0.0
    task: asyncio.Task | None = None


class Replacer:
    """Starts replacements in all groups; an async context manager.

    Parameters
    ----------
    executor : ReplacementExecutor
    control : ControlPlane
    roster : Roster
    clusters : Clusters
    instances : InstanceList
    log : structlog logger
    """

    def __init__(self, executor, control, roster, clusters, instances, log):
        self._executor = executor
        self._control = control
        self._roster = roster
        self._clusters = clusters
        self._instances = instances
        self._log = log
        self._group_states = {}
        self._task = None
        self._stopping = False
        self.counts = {"succeeded": 0, "failed": 0}

    async def __aenter__(self):
        self._task = asyncio.create_task(repeat("replacer", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        tasks = [
            state.task
            for state in self._group_states.values()
            if state.task is not None
        ]
        await cancel_all([self._task, *tasks])

    @property
    def busy(self):
        """Whether this daemon is carrying out a replacement."""
        return any(
            state.task is not None and not state.task.done()
            for state in self._group_states.values()
        )

    def stop(self):
        """Start no further replacement; those in progress continue."""
        self._stopping = True

    async def _run(self):
        await asyncio.sleep(CHECK_INTERVAL)
        now = boot_clock()
        for cluster in self._clusters:
            self._check_group(cluster, now)

    # Decision

    def _check_group(self, cluster, now):
        state = self._group_states.setdefault(cluster.group.name, _GroupState())
        if self._stopping or (state.task is not None and not state.task.done()):
            return
        reason = self._find_reason(cluster, now)
        if reason is not state.reason:
            state.reason, state.reason_since = reason, now
            if reason is not None:
                self._log.warning(
                    "primary suspected",
                    group=cluster.group.name,
                    primary=cluster.leadership.primary or "none",
                    reason=reason.name.lower(),
                    generation=cluster.leadership.generation,
                    evidence=str(self._collect_evidence(cluster, now)),
                )
        if reason is None or now < state.retry_at or not self._control.reachable:
            return
        if now < state.reason_since + self._rank_delay(cluster, now):
            return
        if self._instances.is_current:
            state.task = asyncio.create_task(self._replace(cluster, reason, state))
        else:
            self._log.info(
                "replacement waits for the list",
                group=cluster.group.name,
                list_age_s=round(self._instances.age(), 2),
            )
            self._instances.request_read()
            state.retry_at = now + LIST_READ_INTERVAL

    def _find_reason(self, cluster, now):
        """Return the Reason to start a replacement now, or None.

        An unfinished replacement is superseded by a new one: immediately if this daemon
        began it, otherwise when `takeover_at` allows it.
        """
        leadership = cluster.leadership
        if not leadership.settled:
            begun_here = self._executor.has_begun(
                leadership.group, leadership.generation
            )
            may_supersede = begun_here or now >= takeover_at(leadership.changed_at)
            return Reason.UNREACHABLE if may_supersede else None
        if not self._needs_evidence(cluster, now):
            return None
        return reason_to_replace(self._collect_evidence(cluster, now))

    def _needs_evidence(self, cluster, now):
        runtime = cluster.instances.get(cluster.leadership.primary)
        reported_at = self._roster.cut_off_reported_at(cluster.group.name)
        return needs_evidence(
            runtime is not None,
            runtime is not None and runtime.spec.draining,
            runtime.silence.unanswered(cluster.clock()) if runtime else 0.0,
            now - reported_at,
        )

    def _collect_evidence(self, cluster, now):
        leadership = cluster.leadership
        loop_now = cluster.clock()
        runtime = cluster.instances.get(leadership.primary)
        ages = [
            loop_now - other.answered_at
            for name, other in cluster.instances.items()
            if name != leadership.primary and other.answered_at is not None
        ]
        contacts = primary_contacts(
            self._roster, cluster.group.name, leadership.generation, now
        )
        unanswered = runtime.silence.unanswered(loop_now) if runtime else 0.0
        return PrimaryEvidence(
            listed=runtime is not None,
            missing_for=self._missing_for(cluster, now),
            draining=runtime is not None and runtime.spec.draining,
            unanswered=unanswered,
            refused=runtime is not None and runtime.silence.refused,
            replica_age=min(ages, default=None),
            peer_contact_age=contacts.newest_age,
            peer_silence=contacts.silence,
            cut_off=len(contacts.cut_off_daemons) + (unanswered >= CUT_OFF_SILENCE),
            reaching=len(contacts.reaching_daemons) + self._reaches(runtime, loop_now),
            settled_for=now - leadership.changed_at,
        )

    @staticmethod
    def _reaches(runtime, now):
        """Whether an instance has answered this daemon lately."""
        if runtime is None or runtime.answered_at is None:
            return False
        return now - runtime.answered_at <= CONTACT_AGE_LIMIT

    def _missing_for(self, cluster, now):
        """Return for how many seconds the list has lacked the primary or named none."""
        leadership = cluster.leadership
        if not self._instances.is_current:
            return 0.0
        if leadership.primary:
            missing = self._instances.missing_for(leadership.primary, cluster.clock())
            # A new primary may not be in the list yet.
            return min(missing, now - leadership.changed_at)
        return now - cluster.started_boot if cluster.instances else 0.0

    def _rank_delay(self, cluster, now):
        """Return for how many seconds this daemon leaves the replacement to others.

        The holder of the duty comes first, then the live voters that reach the store,
        in the order of their rank for the group.  The other daemons replace no primary,
        since they do not hear whether it has been released.
        """
        live = self._roster.live_voters(now, LIVENESS_TIMEOUT)
        with_store = [
            name
            for name in live
            if name == self._roster.vm
            or self._roster.peers[name].heartbeat.store_reachable
        ]
        order = rank(cluster.group.name, with_store)
        holder = self._duty_holder()
        if holder in order:
            order.remove(holder)
            order.insert(0, holder)
        if self._roster.vm not in order:
            return math.inf
        return order.index(self._roster.vm) * RANK_DELAY

    def _duty_holder(self):
        row = self._control.rows.get(DUTY_KEY)
        if row is None:
            return None
        return decode_record(row, DutyRecord).holder

    async def _replace(self, cluster, reason, state):
        group = cluster.group.name
        started = boot_clock()
        try:
            primary = await self._executor.run(cluster, reason)
        except Exception as error:
            self.counts["failed"] += 1
            self._log.warning(
                "replacement failed",
                group=group,
                generation=cluster.leadership.generation,
                error=f"{type(error).__name__} {error}",
            )
        else:
            self.counts["succeeded"] += 1
            self._log.warning(
                "replacement succeeded",
                group=group,
                generation=cluster.leadership.generation,
                primary=primary,
                term=cluster.leadership.term,
                took_ms=round((boot_clock() - started) * 1000),
            )
        finally:
            state.reason = None
            state.retry_at = boot_clock() + RETRY_DELAY
