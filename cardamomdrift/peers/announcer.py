"""
Announcer
=========

Sends this daemon's heartbeats and handles those of the others.  Daemons that are no
voters exchange heartbeats with the voters only; one of the voters, which differs from
daemon to daemon, informs them of samples and of the other daemons.
"""

import asyncio
import math
from functools import lru_cache

from cardamomdrift.clock import boot_clock
from cardamomdrift.failover.permission import ECHO_TIMEOUT
from cardamomdrift.loops import repeat
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.claims import (
    due_samples,
    make_claim,
    milliseconds,
    sample_times,
)
from cardamomdrift.peers.contacts import LIVENESS_TIMEOUT
from cardamomdrift.peers.heartbeat import (
    HEARTBEAT_FORMAT,
    Heartbeat,
    hash_leaderships,
)
from cardamomdrift.peers.replica_news import ReplicaNews
from cardamomdrift.peers.short_heartbeat import (
    Senders,
    ShortHeartbeat,
    expand,
    shorten,
)
from cardamomdrift.util import MILLISECONDS, cancel_all, seconds

HEARTBEAT_INTERVAL = 0.3  # seconds; four heartbeats fit into PERMISSION_VALIDITY
# When a daemon reports that a group's primary does not answer it, all daemons include
# their claims on the group in their heartbeats for this many seconds.
SILENCE_REPORT_TIME = 1.0
REPORTED_SILENCE_MS = 100  # a claim with a longer silence of the primary is a report
LIST_AGE_LIMIT_MS = 1_000_000  # highest age of the list of instances that is sent
SILENCE_LOG_TIME = 1.0  # seconds without a heartbeat until a daemon is logged as silent
# Seconds between heartbeats to all peers that are sent on a change: a fixed part, and a
# part for each peer.
MIN_SEND_INTERVAL, MIN_SEND_INTERVAL_PER_PEER = 0.005, 0.0005
MEMBERS_INTERVAL = 1.0  # seconds between two full lists of the daemons to one peer
INFORMER_CACHE_SIZE = 4096  # daemons for which the voter that informs them is kept


@lru_cache(maxsize=INFORMER_CACHE_SIZE)
def informing_voter(name, voters):
    """Return the voter that informs a daemon; empty without voters.

    Parameters
    ----------
    name : str
    voters : tuple of str
    """
    return rank(f"informer/{name}", voters)[0] if voters else ""


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
    proof : FreshnessProof, optional
        Proof to forward and to renew; None without customers.
    restarts : RestartWatch, optional
        What to state about this process; None without quotas.
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
        proof=None,
        restarts=None,
    ):
        self._roster = roster
        self._permission = permission
        self._control = control
        self._clusters = clusters
        self._configuration = configuration
        self._instances = instances
        self._on_change = on_change
        self._log = log
        self._proof = proof
        self._restarts = restarts
        self._port = None
        self._send_requested = asyncio.Event()
        self._senders = Senders(roster)
        self._silent = set()
        self._sampled_at = {}
        self._relayed_at = {}
        self._replicas = ReplicaNews(clusters)
        self._members_sent_at = {}
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
        self._ping_replicas(now)
        self.send_all()
        self._log_silent(now)
        self._permission.extend_by_promises(now)
        peers = len(self._roster.correspondents())
        await asyncio.sleep(MIN_SEND_INTERVAL + MIN_SEND_INTERVAL_PER_PEER * peers)
        try:
            async with asyncio.timeout_at(self._loop_time_at(now + HEARTBEAT_INTERVAL)):
                await self._send_requested.wait()
        except TimeoutError:
            pass
        self._send_requested.clear()

    def _ping_replicas(self, now):
        """Ask delayed replicas for their positions, if this daemon is a voter."""
        vm = self._roster.vm
        if self._roster.is_voter:
            voters = self._roster.live_voters(now, LIVENESS_TIMEOUT)
            self._replicas.request_pings(
                now, lambda name: informing_voter(name, voters) == vm
            )

    @staticmethod
    def _loop_time_at(at):
        """Return the time of the loop's clock at a time of the boot clock."""
        return asyncio.get_running_loop().time() + at - boot_clock()

    # Sending

    def send_all(self):
        """Send a heartbeat to every daemon with which this one exchanges them."""
        self._send_to(self._roster.correspondents(), to_all=True)

    def _send_to(self, peers, to_all=False):
        """Send heartbeats.

        Parameters
        ----------
        peers : list of Peer
        to_all : bool
            Whether these are all peers, so that the samples sent need not be repeated.
        """
        now = boot_clock()
        leaderships_digest = hash_leaderships(
            cluster.leadership for cluster in self._clusters
        )
        claims = {
            cluster.group.name: make_claim(cluster, now) for cluster in self._clusters
        }
        urgent = {
            group: claim
            for group, claim in claims.items()
            if self._is_silence_recent(group, claim, now)
        }
        own_samples = due_samples(claims, self._sampled_at, now)
        relayed_samples = due_samples(claims, self._relayed_at, now)
        voters = self._roster.live_voters(now, LIVENESS_TIMEOUT)
        silent = self._silent_names(now)
        own_reports, relayed_reports = self._replicas.due(now)
        for peer in peers:
            informs = informing_voter(peer.name, voters) == self._roster.vm
            if peer.name in self._roster.voters.names or not self._roster.is_voter:
                groups, reports = urgent | own_samples, own_reports
            elif informs:
                groups, reports = urgent | relayed_samples, relayed_reports
            else:
                groups, reports = urgent, {}
            same_leaderships = (
                peer.heartbeat is not None
                and peer.heartbeat.leaderships_digest == leaderships_digest
            )
            if not (same_leaderships and peer.has_echoed):
                groups = claims
            self._send(
                peer,
                now,
                informs and self._needs_members(peer, now),
                leaderships_digest,
                groups,
                silent if informs else None,
                reports or None,
            )
        if to_all:
            self._replicas.record_sent(own_reports, relayed_reports, now)
            self._sampled_at |= sample_times(own_samples, now)
            self._relayed_at |= sample_times(relayed_samples, now)

    def _silent_names(self, now):
        """Return the daemons that this voter has not heard lately."""
        if not self._roster.is_voter:
            return ()
        live = self._roster.live_members(now, LIVENESS_TIMEOUT)
        return tuple(sorted(self._roster.peers.keys() - set(live)))

    def _needs_members(self, peer, now):
        """Whether to send a peer the full list of the daemons.

        The list is sent at intervals until the peer's heartbeats have the same hash.
        Before this process has read the store, its list lacks daemons.
        """
        last = peer.heartbeat
        if self._control.confirmed_at is None:
            return False
        if last is None:
            return False
        same_domains = self._roster.domains.is_same(last.domains_digest)
        if same_domains and last.members_digest == self._roster.members_digest:
            return False
        if now - self._members_sent_at.get(peer.name, -math.inf) < MEMBERS_INTERVAL:
            return False
        self._members_sent_at[peer.name] = now
        return True

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

    def _send(
        self, peer, now, with_members, leaderships_digest, groups, silent, replicas
    ):
        last = peer.heartbeat
        voters = self._roster.voters
        knows_voters = last is not None and last.epoch == voters.epoch
        # The receiver relies on a heartbeat with an echo as a promise.  A daemon that
        # has been silent for too long must get no echo.
        echoed = last is not None and now - peer.heard_at <= ECHO_TIMEOUT
        confirmed_at = self._control.confirmed_at
        heartbeat = Heartbeat(
            format=HEARTBEAT_FORMAT,
            sender=self._roster.vm,
            incarnation=self._roster.incarnation,
            stamp=math.floor(now * MILLISECONDS),
            echo_incarnation=last.incarnation if echoed else "",
            echo=last.stamp if echoed else 0,
            echo_delay_ms=math.floor((now - peer.heard_at) * MILLISECONDS)
            if echoed
            else 0,
            members_digest=self._roster.members_digest,
            members=self._roster.addresses() if with_members else None,
            epoch=voters.epoch,
            voters=None if knows_voters and peer.has_echoed else voters.names,
            promised_epoch=self._roster.promised_epoch,
            confirmed_age_ms=None
            if confirmed_at is None
            else milliseconds(now - confirmed_at),
            listed=peer.name in self._control.registered_names,
            store_reachable=self._control.reachable,
            version=self._configuration.version,
            list_changed=self._instances.changed,
            list_age_ms=min(milliseconds(self._instances.age()), LIST_AGE_LIMIT_MS),
            stopping=self._roster.stopping,
            leaving=self.leaving,
            leaderships_digest=leaderships_digest,
            groups=groups,
            silent=silent,
            proof_age_ms=self._proof_age_ms(now),
            **self._restart_fields(now),
            known_state=peer.state,
            replicas=replicas,
            **self._roster.domains.heartbeat_fields(
                self._roster.names if with_members else None
            ),
        )
        self._port.send(peer.address, shorten(heartbeat, peer))

    def _restart_fields(self, now):
        return {} if self._restarts is None else self._restarts.heartbeat_fields(now)

    def _proof_age_ms(self, now):
        if self._proof is None or not self._proof.needed:
            return None
        age = self._proof.age(self._configuration.version, now)
        return None if age is None else milliseconds(age)

    # Receiving

    def receive(self, heartbeat, source):
        """Handle another daemon's heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat or ShortHeartbeat
        source : str
            Address that it came from.
        """
        if isinstance(heartbeat, ShortHeartbeat):
            self._receive_short(heartbeat, source)
        else:
            self._handle(heartbeat, source)

    def _receive_short(self, short, source):
        """Handle a short heartbeat; one without its full one leads to a request."""
        peer = self._senders.find(short, source)
        heartbeat = expand(short, peer)
        if heartbeat is not None:
            self._handle(heartbeat, source, is_full=False)
        elif peer is not None:
            # A full one shows the peer which state this daemon has of it.  Two daemons
            # that both lack the other's state would answer each other without end.
            peer.sent_state = None
            self._send_to([peer])

    def _handle(self, heartbeat, source, is_full=True):
        now = boot_clock()
        known_peer = self._roster.peers.get(heartbeat.sender)
        last = known_peer and known_peer.heartbeat
        domains_version = self._roster.domains.version
        is_new_incarnation = last is None or last.incarnation != heartbeat.incarnation
        if not self._roster.apply_heartbeat(heartbeat, now, source):
            return
        peer = self._roster.peers[heartbeat.sender]
        if is_full:
            self._senders.record(peer)
        must_send = self._apply_claims(peer, now)
        self._replicas.apply(peer)
        if heartbeat.voters is not None:
            adopted = self._roster.adopt_voters(heartbeat.epoch, heartbeat.voters, now)
            must_send = must_send or adopted
        if self._roster.is_voter and not self._roster.promised_epoch:
            digest = hash_leaderships(cluster.leadership for cluster in self._clusters)
            confirmed = self._roster.confirm_epoch(heartbeat, digest)
            must_send = must_send or confirmed
        self._apply_members(heartbeat, now)
        had_permission = self._permission.holds(now)
        store_read_at = self._permission.store_read_at
        self._permission.record_relayed_read(peer)
        if (
            peer.name in self._roster.voters.names
            or self._permission.store_read_at > store_read_at
        ):
            # Nothing else in a heartbeat extends it.
            self._permission.extend_by_promises(now)
        address = f"{peer.address}:{self._port.port}"
        if peer.earliest_sent_at is not None:
            age = now - peer.earliest_sent_at + seconds(heartbeat.list_age_ms)
            self._instances.compare_with_peer(
                heartbeat.list_changed,
                age,
                address,
                peer.name in self._roster.voters.names,
            )
        self._configuration.on_peer_version(heartbeat.version, address)
        self._record_proof(peer)
        if known_peer is None:
            self._log.info("daemon heard", member=peer.name, address=peer.address)
            self._on_change()
        elif self._roster.domains.version != domains_version:
            self._on_change()
        elif not had_permission and self._permission.holds(now):
            self._clusters.dispatch_waiting()
        if must_send:
            self._send_requested.set()
        elif (
            is_new_incarnation
            or not peer.has_echoed
            or heartbeat.epoch < self._roster.voters.epoch
        ):
            self._send_to([peer])

    def _record_proof(self, peer):
        """Record the proof of the configuration that a peer's heartbeat forwards."""
        if self._proof is None:
            return
        heartbeat, proved_at = peer.heartbeat, None
        if heartbeat.proof_age_ms is not None and peer.earliest_sent_at is not None:
            proved_at = peer.earliest_sent_at - seconds(heartbeat.proof_age_ms)
        own_version = self._configuration.version
        self._proof.record_peer(heartbeat.version, proved_at, own_version)

    def _apply_members(self, heartbeat, now):
        """Count the daemons that a voter counts, unless this daemon is a voter.

        A voter hears all daemons itself.  The list of a daemon that has not read the
        store lacks those that it has not heard yet.
        """
        has_read, roster = heartbeat.confirmed_age_ms is not None, self._roster
        knew = roster.knows_members
        changed = False
        if has_read and heartbeat.members_digest == roster.members_digest:
            roster.knows_members = True
        elif has_read and heartbeat.members is not None and not roster.is_voter:
            changed = roster.follow(heartbeat.members, now)
        if has_read and heartbeat.domains is not None and not roster.is_voter:
            roster.domains.record_aligned(heartbeat.members or (), heartbeat.domains)
        if changed or knew != roster.knows_members:
            self._on_change()

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
        peers = self._roster.correspondents()
        self._silent &= {peer.name for peer in peers}
        for peer in peers:
            if peer.heard_at is None or peer.is_leaving:
                continue
            name = peer.name
            fresh = self._roster.is_fresh(name, now, SILENCE_LOG_TIME)
            if fresh and name in self._silent:
                self._silent.discard(name)
                self._log.info("daemon heard again", member=name)
            elif not fresh and name not in self._silent:
                self._silent.add(name)
                self._log.warning("daemon silent", member=name)
