"""
Announcer
=========

Sends this daemon's heartbeats and handles those of the others.
"""

import asyncio
import math

from cardamomdrift.clock import boot_clock
from cardamomdrift.failover.permission import ECHO_TIMEOUT
from cardamomdrift.loops import repeat
from cardamomdrift.peers.heartbeat import GroupClaim, Heartbeat, hash_leaderships
from cardamomdrift.util import MILLISECONDS, cancel_all, seconds

HEARTBEAT_INTERVAL = 0.3  # seconds; four heartbeats fit into PERMISSION_VALIDITY
# Seconds from a sample of a primary's log position to the next one that heartbeats
# include; samples of other daemons count too.
SAMPLE_INTERVAL = 0.25
# When a daemon reports that a group's primary does not answer it, all daemons include
# their claims on the group in their heartbeats for this many seconds.
SILENCE_REPORT_TIME = 1.0
REPORTED_SILENCE_MS = 100  # a claim with a longer silence of the primary is a report
LIST_AGE_LIMIT_MS = 1_000_000  # highest age of the list of instances that is sent
SILENCE_LOG_TIME = 1.0  # seconds without a heartbeat until a daemon is logged as silent


def _milliseconds(age):
    """Return an age in seconds as whole milliseconds, rounded up."""
    return math.ceil(age * MILLISECONDS)


class Announcer:
    """Sends and receives heartbeats; an async context manager.

    Parameters
    ----------
    roster : Roster
    permission : Permission
    control : ControlPlane
    clusters : Clusters
    configuration : Configuration
    instances : InstanceList
    on_change : callable
        Called after the first heartbeat of a daemon that was not in the roster.
    log : structlog logger
    """

    def __init__(
        self,
        roster,
        permission,
        control,
        clusters,
        configuration,
        instances,
        on_change,
        log,
    ):
        self._roster = roster
        self._permission = permission
        self._control = control
        self._clusters = clusters
        self._configuration = configuration
        self._instances = instances
        self._on_change = on_change
        self._log = log
        self._port = None
        self._send_requested = asyncio.Event()
        self._silent = set()
        self._sampled_at = {}
        self._silence_reported_at = {}
        self._task = None
        self.leaving = False

    def use_port(self, port):
        """Set the HeartbeatPort to send through."""
        self._port = port

    async def __aenter__(self):
        self._task = asyncio.create_task(repeat("announcer", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    def announce(self):
        """Send heartbeats to all peers immediately."""
        self._send_requested.set()

    async def _run(self):
        now = boot_clock()
        self.send_all()
        self._log_silent(now)
        self._permission.extend_by_promises(now)
        try:
            async with asyncio.timeout(HEARTBEAT_INTERVAL):
                await self._send_requested.wait()
        except TimeoutError:
            pass
        self._send_requested.clear()

    # Sending

    def send_all(self):
        """Send a heartbeat to every daemon that this one counts."""
        self._sampled_at |= self._send_to(list(self._roster.peers.values()))

    def _send_to(self, peers):
        """Send heartbeats; return the start times of the samples in them, by group."""
        now = boot_clock()
        members = self._roster.addresses()
        leaderships_digest = hash_leaderships(
            cluster.leadership for cluster in self._clusters
        )
        claims = {
            cluster.group.name: self._make_claim(cluster, now)
            for cluster in self._clusters
        }
        due_samples = {
            group: now - seconds(claim.position_age_ms)
            for group, claim in claims.items()
            if self._is_sample_due(group, claim, now)
        }
        recent_claims = {
            group: claim
            for group, claim in claims.items()
            if self._is_silence_recent(group, claim, now) or group in due_samples
        }
        for peer in peers:
            same_leaderships = (
                peer.heartbeat is not None
                and peer.heartbeat.leaderships_digest == leaderships_digest
            )
            groups = recent_claims if same_leaderships and peer.has_echoed else claims
            self._send(peer, now, members, leaderships_digest, groups)
        return due_samples

    def _is_silence_recent(self, group, claim, now):
        """Whether a daemon reported a silent primary within SILENCE_REPORT_TIME.

        This daemon's claim counts as such a report if it shows a silence longer than
        REPORTED_SILENCE_MS.
        """
        if claim.silence_ms > REPORTED_SILENCE_MS:
            self._silence_reported_at[group] = now
        return (
            now - self._silence_reported_at.get(group, -math.inf) <= SILENCE_REPORT_TIME
        )

    def _is_sample_due(self, group, claim, now):
        """Whether the claim's sample is SAMPLE_INTERVAL newer than the last one.

        The last one is the newest sample of the group that this daemon has sent or
        received.
        """
        if claim.position is None:
            return False
        sampled_at = self._sampled_at.get(group, -math.inf)
        return now - seconds(claim.position_age_ms) >= sampled_at + SAMPLE_INTERVAL

    def _send(self, peer, now, members, leaderships_digest, groups):
        last = peer.heartbeat
        members_digest = self._roster.members_digest
        same_members = (
            last is not None
            and peer.has_echoed
            and last.members_digest == members_digest
        )
        # The receiver relies on a heartbeat with an echo as a promise.  A daemon that
        # has been silent for too long must get no echo.
        echoed = last is not None and now - peer.heard_at <= ECHO_TIMEOUT
        store_read_at = self._permission.store_read_at
        heartbeat = Heartbeat(
            sender=self._roster.vm,
            incarnation=self._roster.incarnation,
            stamp=math.floor(now * MILLISECONDS),
            echo_incarnation=last.incarnation if echoed else "",
            echo=last.stamp if echoed else 0,
            echo_delay_ms=math.floor((now - peer.heard_at) * MILLISECONDS)
            if echoed
            else 0,
            members_digest=members_digest,
            members=None if same_members else members,
            confirmed_age_ms=_milliseconds(now - store_read_at)
            if store_read_at > 0
            else None,
            listed=peer.name in self._control.registered_names,
            store_reachable=self._control.reachable,
            version=self._configuration.version,
            list_changed=self._instances.changed,
            list_age_ms=min(_milliseconds(self._instances.age()), LIST_AGE_LIMIT_MS),
            leaving=self.leaving,
            leaderships_digest=leaderships_digest,
            groups=groups,
        )
        self._port.send(peer.address, heartbeat)

    @staticmethod
    def _make_claim(cluster, now):
        leadership = cluster.leadership
        sample = cluster.newest_sample()
        runtime = cluster.instances.get(leadership.primary)
        loop_now = cluster.clock()
        contact_age = silence = None
        if runtime is not None:
            silence = runtime.silence.unanswered(loop_now)
            if runtime.answered_at is not None:
                contact_age = loop_now - runtime.answered_at
        return GroupClaim(
            generation=leadership.generation,
            settled=leadership.settled,
            term=leadership.term,
            primary=leadership.primary,
            released=leadership.released,
            position=(sample.floor.term, sample.floor.sequence) if sample else None,
            position_age_ms=_milliseconds(now - sample.begun_at) if sample else 0,
            contact_age_ms=None if contact_age is None else _milliseconds(contact_age),
            silence_ms=_milliseconds(silence or 0.0),
        )

    # Receiving

    def receive(self, heartbeat, source):
        """Handle another daemon's heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
        source : str
            Address that it came from.
        """
        now = boot_clock()
        known_peer = self._roster.peers.get(heartbeat.sender)
        last = known_peer and known_peer.heartbeat
        is_new_incarnation = last is None or last.incarnation != heartbeat.incarnation
        if not self._roster.apply_heartbeat(heartbeat, now, source):
            return
        peer = self._roster.peers[heartbeat.sender]
        if not self._control.registered_names:
            # The store has not been read yet: count the daemons that the sender counts.
            for name, address in peer.members.items():
                self._roster.add(name, address, now)
        must_send = self._apply_claims(peer, now)
        had_permission = self._permission.holds(now)
        self._permission.record_relayed_read(peer)
        self._permission.extend_by_promises(now)
        address = f"{peer.address}:{self._port.port}"
        if peer.earliest_sent_at is not None:
            age = now - peer.earliest_sent_at + seconds(heartbeat.list_age_ms)
            self._instances.compare_with_peer(heartbeat.list_changed, age, address)
        self._configuration.on_peer_version(heartbeat.version, address)
        if known_peer is None:
            self._log.info("daemon heard", member=peer.name, address=peer.address)
            self._on_change()
        elif not had_permission and self._permission.holds(now):
            self._clusters.dispatch_waiting()
        if must_send:
            self._send_requested.set()
        elif is_new_incarnation or not peer.has_echoed:
            self._send_to([peer])

    def _apply_claims(self, peer, now):
        """Apply a peer's claims; return whether to send heartbeats immediately."""
        must_send = False
        for group, claim in peer.heartbeat.groups.items():
            cluster = self._clusters.get(group)
            if cluster is None:
                continue
            if cluster.adopt(
                claim.generation, claim.settled, claim.term, claim.primary, peer.name
            ):
                must_send = True
            if claim.silence_ms > REPORTED_SILENCE_MS:
                # On the first report, tell the others at once whether this daemon
                # reaches the primary.
                must_send = (
                    must_send
                    or now - self._silence_reported_at.get(group, -math.inf)
                    > SILENCE_REPORT_TIME
                )
                self._silence_reported_at[group] = now
            if claim.position is not None and peer.earliest_sent_at is not None:
                begun_at = peer.earliest_sent_at - seconds(claim.position_age_ms)
                cluster.add_sample(begun_at, claim.position)
                self._sampled_at[group] = max(
                    self._sampled_at.get(group, begun_at), begun_at
                )
        return must_send

    def _log_silent(self, now):
        for name, peer in self._roster.peers.items():
            if peer.heard_at is None or peer.is_leaving:
                continue
            fresh = self._roster.is_fresh(name, now, SILENCE_LOG_TIME)
            if fresh and name in self._silent:
                self._silent.discard(name)
                self._log.info("daemon heard again", member=name)
            elif not fresh and name not in self._silent:
                self._silent.add(name)
                self._log.warning("daemon silent", member=name)
