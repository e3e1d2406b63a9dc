"""
Failover monitor
================

Watches the primary of one group, starts a promotion when the evidence suffices, and
makes instances with a wrong replication source follow the primary.  Any VM may promote;
its rank for the group decides how long it leaves the promotion to others.  This module
serves the groups of MySQL instances; `failover.replacer` serves the groups whose
primary the platform promotes.
"""

import asyncio
import random
from dataclasses import dataclass

from cardamomdrift.failover.promoter import Promoter, call_instance
from cardamomdrift.failover.promotion import STEP_TIMEOUT, Promotion
from cardamomdrift.failover.suspicion import Evidence, is_dead, replicas_silent
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.mysql.contract import follow_statement
from cardamomdrift.util import cancel_all

CHECK_INTERVAL = 0.05  # seconds, while the primary is in doubt
IDLE_CHECK_INTERVAL = 0.5  # seconds, while everything answers
RANK_DELAY = 0.25  # seconds for each VM ranked higher
MAX_JITTER = 0.1  # seconds
RETRY_DELAY = 0.3  # seconds after a promotion, up to doubled at random
IDLE_PROBE_INTERVAL = 1.0  # seconds between probes of an idle group
MAX_STATUS_AGE = 2.0  # seconds for which a status is evidence
# Seconds until every VM knows that an instance is leaving.
LEAVING_PROPAGATION_TIME = 4.0
LEADERLESS_TIMEOUT = 1.0  # seconds without a primary before one is promoted
PROMOTION_TIMEOUT = 6.0  # seconds
REPAIR_INTERVAL = 0.5  # seconds between repairs of replication sources


@dataclass(slots=True)
class FailoverCounts:
    """Numbers of suspicions, promotions and repairs in one group."""

    suspected: int = 0
    promoted: int = 0
    failed: int = 0
    repaired: int = 0


class FailoverMonitor:
    """Watches one group and starts its promotions; an async context manager.

    Parameters
    ----------
    components : GroupComponents
    login : Login
    terms : TermLog
    members : callable
        Returns the names of all VMs.
    primary_contact_age : callable
        Takes the group and a term.  Returns the seconds since the primary of the term
        last answered any peer, or None.
    log : structlog logger
    seed : int
    """

    def __init__(
        self, components, login, terms, members, primary_contact_age, log, seed
    ):
        self._components = components
        self._login = login
        self._terms = terms
        self._members = members
        self._primary_contact_age = primary_contact_age
        self._log = log
        self._random = random.Random(seed)
        self._leaderless_since = None
        self._suspected_since = None
        self._leaving_since = None
        self._promotion_delay = 0.0
        self._retry_at = 0.0
        self._repaired_at = 0.0
        self._probed_at = 0.0
        self._task = None
        self._woken = asyncio.Event()
        self.counts = FailoverCounts()

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    @property
    def _rank(self):
        ordered = rank(self._components.spec.name, self._members())
        vm = self._components.vm.name
        return ordered.index(vm) if vm in ordered else len(ordered)

    async def _run(self):
        while True:
            now = self._components.clock()
            self._request_probes(now)
            if self._should_promote(now):
                await self._promote()
            elif self._components.view.primary is not None:
                await self._repair(now)
            await self._pause(now)

    def wake(self):
        """Check the group immediately, since an instance did not answer."""
        self._woken.set()

    async def _pause(self, now):
        if self._is_primary_in_doubt(now):
            await asyncio.sleep(CHECK_INTERVAL)
            return
        self._woken.clear()
        try:
            async with asyncio.timeout(IDLE_CHECK_INTERVAL):
                await self._woken.wait()
        except TimeoutError:
            return

    def _is_primary_in_doubt(self, now):
        if self._leaving_since is not None:
            return True
        return self._leaderless_since is not None or self._unanswered(now) > 0

    def _request_probes(self, now):
        interval = (
            CHECK_INTERVAL if self._is_primary_in_doubt(now) else IDLE_PROBE_INTERVAL
        )
        if now - self._probed_at < interval:
            return
        self._probed_at = now
        for runtime in self._components.instances.values():
            runtime.prober.request_probe()

    def _unanswered(self, now):
        primary = self._components.view.primary
        if primary is None:
            return 0.0
        return self._components.instances[primary].silence.unanswered(now)

    def _should_promote(self, now):
        if not self._is_suspect(now):
            self._suspected_since = None
            return False
        if self._suspected_since is None:
            self._suspected_since = now
            self._promotion_delay = self._rank * RANK_DELAY + self._random.uniform(
                0, MAX_JITTER
            )
            self.counts.suspected += 1
            self._log.warning(
                "primary suspected",
                group=self._components.spec.name,
                primary=self._components.view.primary or "none",
                term=self._components.view.term,
            )
        return (
            now >= self._suspected_since + self._promotion_delay
            and now >= self._retry_at
        )

    def _is_suspect(self, now):
        primary = self._components.view.primary
        if primary is None:
            return self._is_leaderless(now)
        self._leaderless_since = None
        if self._can_hand_over(primary, now):
            return True
        return is_dead(self._collect_evidence(primary, now))

    def _can_hand_over(self, primary, now):
        """Whether the primary is leaving and a staying replica has all its writes.

        This is checked only once every VM knows that the primary is leaving, since no
        VM sends it writes from then on.
        """
        if not self._components.instances[primary].leaving:
            self._leaving_since = None
            return False
        if self._leaving_since is None:
            self._leaving_since = now
        if now - self._leaving_since < LEAVING_PROPAGATION_TIME:
            return False
        instances = self._components.view.instances
        primary_position = instances[primary].position
        return any(
            instance.position >= primary_position
            and not self._components.instances[name].leaving
            for name, instance in instances.items()
            if name != primary
        )

    def _is_leaderless(self, now):
        """Whether a majority has answered for some time and none is the primary."""
        answering = self._components.status_collector.statuses_since(
            now - MAX_STATUS_AGE
        )
        if len(answering) < self._components.spec.majority:
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        return now - self._leaderless_since >= LEADERLESS_TIMEOUT

    def _collect_evidence(self, primary, now):
        components = self._components
        runtime = components.instances[primary]
        others = [
            status
            for name, status in components.status_collector.statuses_since(
                now - MAX_STATUS_AGE
            ).items()
            if name != primary
        ]
        return Evidence(
            unanswered=runtime.silence.unanswered(now),
            refused=runtime.silence.refused,
            replicas_silent=replicas_silent(
                others, runtime.spec.endpoint, components.spec.majority
            ),
            peer_contact_age=self._primary_contact_age(
                components.spec.name, components.view.term
            ),
        )

    async def _promote(self):
        components = self._components
        term = components.view.term + 1
        promotion = Promotion(
            term=term,
            owner=f"{components.vm.name}/{self._random.getrandbits(32):08x}",
            instances=components.spec.instance_names,
            leaving=frozenset(
                name
                for name, runtime in components.instances.items()
                if runtime.leaving
            ),
            majority=components.spec.majority,
            record=components.spec.record_order,
            deadline_at=components.clock() + PROMOTION_TIMEOUT,
        )
        self._log.warning("promotion started", group=components.spec.name, term=term)
        promoter = Promoter(
            promotion,
            components.spec,
            self._login,
            components.vm.name,
            self._terms,
            components.clock,
        )
        succeeded = await promoter.run()
        self._record_outcome(promotion, succeeded)
        for runtime in components.instances.values():
            runtime.prober.request_probe()
        self._suspected_since = None
        self._leaderless_since = None
        self._retry_at = components.clock() + RETRY_DELAY * (1 + self._random.random())

    def _record_outcome(self, promotion, succeeded):
        event = "promotion succeeded" if succeeded else "promotion failed"
        if succeeded:
            self.counts.promoted += 1
        else:
            self.counts.failed += 1
        self._log.warning(
            event,
            group=self._components.spec.name,
            term=promotion.term,
            primary=promotion.chosen or "none",
            fenced=len(promotion.fenced),
        )

    async def _repair(self, now):
        """Make instances with no source or a wrong one follow the primary."""
        if now - self._repaired_at < REPAIR_INTERVAL or self._rank > 0:
            return
        self._repaired_at = now
        components = self._components
        primary = components.view.primary
        endpoint = components.instances[primary].spec.endpoint
        term = components.view.instances[primary].fence_term
        for name, status in components.status_collector.statuses_since(
            now - MAX_STATUS_AGE
        ).items():
            if name == primary or (status.source == endpoint and not status.primary):
                continue
            self.counts.repaired += 1
            self._log.info(
                "instance told to follow the primary",
                group=components.spec.name,
                instance=name,
                term=term,
            )
            await call_instance(
                components.instances[name].spec,
                self._login,
                components.vm.name,
                follow_statement(term, endpoint),
                STEP_TIMEOUT,
            )
