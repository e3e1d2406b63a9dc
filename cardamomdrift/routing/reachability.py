"""
Reachability
============

Tracks which instances of a group answer this VM, and pings those whose answer is
overdue.
"""

import math

from cardamomdrift.clock import boot_clock
from cardamomdrift.limits.pings import (
    UNHEARD_TIME,
    PingState,
    PingWay,
    choose_ping_way,
    place_holders,
)

OVERDUE_TIME = 0.1  # seconds without an answer before an instance is pinged
# Seconds without an answer after which another instance is pinged while the primary is
# suspect; half of MAX_REPLICA_ANSWER_AGE, up to which its answer counts.
OTHERS_OVERDUE_TIME = 0.5
SAMPLE_AGE_LIMIT = 0.5  # seconds; a third of the shortest max age of the bundles in use
# Seconds, for a VM without connections to the primary.  The samples of other VMs arrive
# by way of a voter within this time.
LOANED_SAMPLE_AGE_LIMIT = 1.0
# Seconds after which a VM borrows a connection for a sample.  A slow primary makes the
# samples of voters late; loans for more samples would keep connections from statements.
BORROW_SAMPLE_AGE_LIMIT = 1.25
READ_RECENCY = 5.0  # seconds after the last read in which new samples are taken


class ReachabilityMonitor:
    """Listener of the pingers of one group; requests the pings that are due.

    Parameters
    ----------
    cluster : Cluster
    context : ClusterContext
    """

    def __init__(self, cluster, context):
        self._cluster = cluster
        self._context = context
        self._failing = set()
        self._primary_suspect = False

    def forget(self, name):
        """Forget an instance that was removed."""
        self._failing.discard(name)

    def ping_way(self, name):
        """Return the PingWay over which an instance is pinged now, if none is idle."""
        runtime = self._cluster.instances.get(name)
        if runtime is None:
            return PingWay.NONE
        vm, voters = self._context.vm.name, self._context.voters()
        pool, now = runtime.pool, self._cluster.clock()
        holders = place_holders(
            self._cluster.group.connections,
            self._context.members(),
            voters,
            name,
            self._context.customers_in_force,
        )
        return choose_ping_way(
            PingState(
                room=pool.size < pool.limit,
                backs_off=pool.opener.backs_off,
                has_share=pool.limit > 0,
                failed=runtime.failed,
                has_place=vm in holders,
                is_voter=vm in voters,
                needs_answer=self._needs_answer(name, runtime, now),
                needs_sample=self._needs_sample(name, now),
                unheard=runtime.silence.unanswered(now) > UNHEARD_TIME,
            )
        )

    def _needs_answer(self, name, runtime, now):
        """Whether an answer is needed soon, to know whether instances are alive."""
        if self._primary_suspect or self._is_overdue(runtime, now):
            return True
        unheard = now - (runtime.answered_at or -math.inf)
        return name == self._cluster.leadership.primary and unheard > OVERDUE_TIME

    def _needs_sample(self, name, now):
        """Whether an instance is the primary, and reads lack a newer sample of it."""
        if name != self._cluster.leadership.primary:
            return False
        if now - self._cluster.last_read_at > READ_RECENCY:
            return False
        age = boot_clock() - self._cluster.newest_sample_at
        return age > BORROW_SAMPLE_AGE_LIMIT

    def ping_begun(self, name, now):
        """Record that a ping was sent."""
        if name in self._cluster.instances:
            self._cluster.instances[name].silence.record_request(now)

    def ping_answered(self, name, position, begun_at, now, direct=True):
        """Record an instance's answer to a ping.

        Parameters
        ----------
        name : str
        position : Position or None
        begun_at, now : float
        direct : bool
            Whether it came over a connection of this VM, not over a borrowed one.
        """
        runtime = self._cluster.instances.get(name)
        if runtime is None:
            return
        begun_boot = boot_clock() - (now - begun_at)
        if not direct and runtime.pool.limit > 0:
            # It does not tell whether the instance answers this VM.
            self._cluster.record_reply(name, position, begun_boot, direct)
            return
        was_usable = runtime.usable
        runtime.record_probe_answer(begun_at)
        self._cluster.record_reply(name, position, begun_boot, direct)
        if name in self._failing:
            self._failing.discard(name)
            self._cluster.log.info(
                "instance back", group=self._cluster.group.name, instance=name
            )
        if not was_usable:
            self._cluster.dispatch_waiting()

    def ping_failed(self, name, now, refused, error):
        """Record that an instance did not answer a ping."""
        runtime = self._cluster.instances.get(name)
        if runtime is None:
            return
        if name not in self._failing or refused != runtime.silence.refused:
            self._failing.add(name)
            self._cluster.log.warning(
                "instance not answering",
                group=self._cluster.group.name,
                instance=name,
                refused=refused,
                error=f"{type(error).__name__} {error}",
            )
        runtime.silence.record_failure(now, refused)
        # Statements sent on idle connections might never be answered.
        runtime.pool.drop_idle()

    def run_checks(self, now):
        """Ping overdue instances, and the primary if reads need a new sample.

        When the primary becomes overdue, heartbeats are sent immediately.

        Load pattern: instances with full queues answer pings late.  A ping counts as a
        request without an answer, so if it led to the next one, each daemon would ping
        all the time, mostly over new connections, which occupy slots.
        """
        primary = self._cluster.instances.get(self._cluster.leadership.primary)
        suspect = primary is None or self._is_overdue(primary, now)
        if suspect and not self._primary_suspect:
            self._context.announce()
        self._primary_suspect = suspect
        for runtime in self._cluster.instances.values():
            due = suspect if runtime is primary else self._is_overdue(runtime, now)
            if suspect and not due:
                # The others' answers tell a failed primary from an isolated daemon.
                due = now - (runtime.answered_at or -math.inf) > OTHERS_OVERDUE_TIME
            if due and not runtime.prober.probing:
                runtime.prober.request_probe()
        if primary is None or now - self._cluster.last_read_at > READ_RECENCY:
            return
        has_connections = primary.pool.limit > 0
        age_limit = SAMPLE_AGE_LIMIT if has_connections else LOANED_SAMPLE_AGE_LIMIT
        if boot_clock() - self._cluster.newest_sample_at > age_limit:
            primary.prober.request_probe()

    @staticmethod
    def _is_overdue(runtime, now):
        return runtime.failed or runtime.silence.unanswered(now) > OVERDUE_TIME
