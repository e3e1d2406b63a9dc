"""
Announcer
=========

Sends this daemon's heartbeats and takes in those of the others.
"""

import asyncio
import math

from cardamomdrift.clock import boot_clock
from cardamomdrift.failover.permission import ECHO_TIMEOUT
from cardamomdrift.loops import repeat
from cardamomdrift.peers.heartbeat import GroupClaim, Heartbeat, leaders_digest
from cardamomdrift.util import MILLISECONDS, cancel_all, seconds

INTERVAL = 0.3  # seconds; four heartbeats within the time of permission
SAMPLE_SPACING = 0.25  # seconds between two samples of a log that anyone sends
WATCH_TIME = 1.0  # seconds for which all tell of a primary that one found silent
SILENCE_SHOWN = 100  # milliseconds; a primary that answers sooner is no news
OLDEST_LIST = 1_000_000  # milliseconds that a heartbeat tells of at most
LOST_TIME = 1.0  # seconds without a heartbeat before a daemon counts as lost in the log


def _milliseconds(age):
    """Return an age in seconds as whole milliseconds, never too short."""
    return math.ceil(age * MILLISECONDS)


class Announcer:
    """This daemon's heartbeats; an async context manager.

    Parameters
    ----------
    roster : Roster
    permission : Permission
    control : ControlPlane
    clusters : Clusters
    configuration : Configuration
    instances : InstanceList
    on_change : callable
        Called after who counts has changed.
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
        self._poked = asyncio.Event()
        self._lost = set()
        self._sampled = {}
        self._watched = {}
        self._task = None
        self.leaving = False

    def use_port(self, port):
        """Take the HeartbeatPort to send through."""
        self._port = port

    async def __aenter__(self):
        self._task = asyncio.create_task(repeat("announcer", self._run, self._log))
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    def announce(self):
        """Send heartbeats at once."""
        self._poked.set()

    async def _run(self):
        now = boot_clock()
        self.send_all()
        self._note_lost(now)
        self._permission.extend_by_promises(now)
        try:
            async with asyncio.timeout(INTERVAL):
                await self._poked.wait()
        except TimeoutError:
            pass
        self._poked.clear()

    # Sending

    def send_all(self):
        """Send a heartbeat to every daemon that this one counts."""
        self._sampled |= self._send_to(list(self._roster.peers.values()))

    def _send_to(self, peers):
        """Send heartbeats; return when each sample that went to all was begun."""
        now = boot_clock()
        members = self._roster.addresses()
        agreed = leaders_digest(one.leadership for one in self._clusters)
        claims = {one.group.name: self._claim(one, now) for one in self._clusters}
        due = {
            name: now - seconds(claim.position_age_ms)
            for name, claim in claims.items()
            if self._is_sample_due(name, claim, now)
        }
        news = {
            name: claim
            for name, claim in claims.items()
            if self._is_watched(name, claim, now) or name in due
        }
        for peer in peers:
            same = peer.heartbeat is not None and peer.heartbeat.agreed == agreed
            groups = news if same and peer.knows_us else claims
            self._send(peer, now, members, agreed, groups)
        return due

    def _is_watched(self, name, claim, now):
        """Whether anyone has lately found the group's primary silent."""
        if claim.silence_ms > SILENCE_SHOWN:
            self._watched[name] = now
        return now - self._watched.get(name, -math.inf) <= WATCH_TIME

    def _is_sample_due(self, name, claim, now):
        """Whether the others lack a sample of the primary's log that is as new."""
        if claim.position is None:
            return False
        heard = self._sampled.get(name, -math.inf)
        return now - seconds(claim.position_age_ms) >= heard + SAMPLE_SPACING

    def _send(self, peer, now, members, agreed, groups):
        last = peer.heartbeat
        digest = self._roster.digest
        same = last is not None and peer.knows_us and last.digest == digest
        # An echo is a promise, which a daemon not heard for long must not get.
        echoed = last is not None and now - peer.heard_at <= ECHO_TIMEOUT
        confirmed = self._permission.store_read_at
        heartbeat = Heartbeat(
            sender=self._roster.vm,
            incarnation=self._roster.incarnation,
            stamp=math.floor(now * MILLISECONDS),
            echo_incarnation=last.incarnation if echoed else "",
            echo=last.stamp if echoed else 0,
            held_ms=math.floor((now - peer.heard_at) * MILLISECONDS) if echoed else 0,
            digest=digest,
            members=None if same else members,
            confirmed_age_ms=_milliseconds(now - confirmed) if confirmed > 0 else None,
            listed=peer.name in self._control.registered_names,
            store_reachable=self._control.reachable,
            version=self._configuration.version,
            list_changed=self._instances.changed,
            list_age_ms=min(_milliseconds(self._instances.age()), OLDEST_LIST),
            leaving=self.leaving,
            agreed=agreed,
            groups=groups,
        )
        self._port.send(peer.address, heartbeat)

    @staticmethod
    def _claim(cluster, now):
        lead = cluster.leadership
        sample = cluster.newest_sample()
        runtime = cluster.instances.get(lead.primary)
        loop_now = cluster.clock()
        contact = silence = None
        if runtime is not None:
            silence = runtime.silence.unanswered(loop_now)
            if runtime.answered_at is not None:
                contact = loop_now - runtime.answered_at
        return GroupClaim(
            generation=lead.generation,
            settled=lead.settled,
            term=lead.term,
            primary=lead.primary,
            released=lead.released,
            position=(sample.floor.term, sample.floor.sequence) if sample else None,
            position_age_ms=_milliseconds(now - sample.begun_at) if sample else 0,
            contact_age_ms=None if contact is None else _milliseconds(contact),
            silence_ms=_milliseconds(silence or 0.0),
        )

    # Receiving

    def take(self, heartbeat, source):
        """Take in another daemon's heartbeat.

        Parameters
        ----------
        heartbeat : Heartbeat
        source : str
            Address that it came from.
        """
        now = boot_clock()
        known = self._roster.peers.get(heartbeat.sender)
        last = known and known.heartbeat
        begins = last is None or last.incarnation != heartbeat.incarnation
        if not self._roster.take(heartbeat, now, source):
            return
        peer = self._roster.peers[heartbeat.sender]
        if not self._control.registered_names:
            # The store cannot be read yet; the others know who counts.
            for name, address in peer.members.items():
                self._roster.add(name, address, now)
        news = self._take_claims(peer, now)
        usable = self._permission.holds(now)
        self._permission.record_relayed_read(peer)
        self._permission.extend_by_promises(now)
        address = f"{peer.address}:{self._port.port}"
        if peer.sent_after is not None:
            age = now - peer.sent_after + seconds(heartbeat.list_age_ms)
            self._instances.compare_with_peer(heartbeat.list_changed, age, address)
        self._configuration.hint(heartbeat.version, address)
        if known is None:
            self._log.info("daemon heard", member=peer.name, address=peer.address)
            self._on_change()
        elif not usable and self._permission.holds(now):
            self._clusters.dispatch_waiting()
        if news:
            self._poked.set()
        elif begins or not peer.knows_us:
            self._send_to([peer])

    def _take_claims(self, peer, now):
        """Take in what a heartbeat says of the groups; return whether it is news."""
        news = False
        for group, claim in peer.heartbeat.groups.items():
            cluster = self._clusters.get(group)
            if cluster is None:
                continue
            if cluster.adopt(
                claim.generation, claim.settled, claim.term, claim.primary, peer.name
            ):
                news = True
            if claim.silence_ms > SILENCE_SHOWN:
                # Whoever reaches the primary must say so soon.
                news = news or now - self._watched.get(group, -math.inf) > WATCH_TIME
                self._watched[group] = now
            if claim.position is not None and peer.sent_after is not None:
                begun = peer.sent_after - seconds(claim.position_age_ms)
                cluster.add_sample(begun, claim.position)
                self._sampled[group] = max(self._sampled.get(group, begun), begun)
        return news

    def _note_lost(self, now):
        for name, peer in self._roster.peers.items():
            if peer.heard_at is None or peer.is_leaving:
                continue
            fresh = self._roster.is_fresh(name, now, LOST_TIME)
            if fresh and name in self._lost:
                self._lost.discard(name)
                self._log.info("daemon heard again", member=name)
            elif not fresh and name not in self._lost:
                self._lost.add(name)
                self._log.warning("daemon silent", member=name)
