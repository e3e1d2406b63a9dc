"""
Roster
======

The daemons that this one counts, the voters among them, the last heartbeat of each and
when it can have been sent.  Voters exchange heartbeats with all daemons, the others
only with the voters.  The roster does no input or output: it is updated from heartbeats
and from reads of the store.
"""

import math
from dataclasses import dataclass, field

from cardamomdrift.failover.voters import Voters, first_voters
from cardamomdrift.peers.contacts import CUT_OFF_SILENCE
from cardamomdrift.peers.domains import MemberDomains
from cardamomdrift.peers.heartbeat import hash_members
from cardamomdrift.util import seconds

# Seconds since the last heartbeat of a daemon for which it is counted although it has
# no row in the store.  A permission that it derives from this daemon ends earlier.
HEARD_HOLD_TIME = 3.0
REPORTED_SILENCE_TIMEOUT = 2.0  # seconds for which a voter's report of silence counts


@dataclass(slots=True)
class Peer:
    """One other daemon; times are in seconds of this VM's boot clock.

    Attributes
    ----------
    name : str
    address : str
    heartbeat : Heartbeat or None
        Its newest heartbeat.
    heard_at : float or None
        When that heartbeat came.
    earliest_sent_at : float or None
        Earliest time at which it can have been sent, as its echo proves.
    state : int or None
        Hash of the state in its newest heartbeat.
    sent_state : int or None
        Hash of this daemon's state in the last full heartbeat sent to it.
    has_echoed : bool
        Whether it has echoed a stamp of this daemon's incarnation.
    added_at : float
    claims : dict of str to (GroupClaim, float)
        Its last claim on each group, and when that came.
    """

    name: str
    address: str
    added_at: float
    heartbeat: object = None
    heard_at: float | None = None
    earliest_sent_at: float | None = None
    state: int | None = None
    sent_state: int | None = None
    has_echoed: bool = False
    claims: dict = field(default_factory=dict)

    @property
    def is_leaving(self):
        """Whether it has announced that it promotes no instance any more."""
        return self.heartbeat is not None and self.heartbeat.leaving

    @property
    def is_stopping(self):
        """Whether it has announced that it will stop."""
        return self.heartbeat is not None and self.heartbeat.stopping


class Roster:
    """Daemons that this one counts.

    Parameters
    ----------
    vm : str
    address : str
    incarnation : str
    now : float
        Boot clock.
    failure_domain : str, optional

    Attributes
    ----------
    confirmed_epoch : int or None
        Epoch before which this process knows all replacements; None until it has itself
        read the store.
    stopping : bool
        Whether this daemon is about to stop.
    domains : MemberDomains
        Failure domains of the daemons counted.
    knows_members : bool
        Whether this process has had a full list of the daemons: its own read of the
        store, or the list of a voter that has read it.
    """

    def __init__(self, vm, address, incarnation, now, failure_domain=""):
        self._vm = vm
        self._address = address
        self._incarnation = incarnation
        self._peers = {}
        self._members_digest = None
        self._names = None
        self._cut_off_reported_at = {}
        self._dropped_at = now
        self._voters = Voters()
        self._voter_since = math.inf
        self._reported_silent = frozenset()
        self._silence_reported_at = -math.inf
        self.domains = MemberDomains(vm, failure_domain)
        self.confirmed_epoch = None
        self.stopping = False
        self.knows_members = False

    @property
    def vm(self):
        """Name of this VM."""
        return self._vm

    @property
    def incarnation(self):
        """Identifier of this daemon's present registration."""
        return self._incarnation

    @property
    def peers(self):
        """Other daemons, by name."""
        return self._peers

    @property
    def names(self):
        """Names of all daemons, this one included, sorted."""
        if self._names is None:
            self._names = tuple(sorted((*self._peers, self._vm)))
        return self._names

    @property
    def voters(self):
        """The Voters of the newest epoch that this daemon knows."""
        return self._voters

    @property
    def is_voter(self):
        """Whether this daemon is a voter."""
        return self._vm in self._voters.names

    @property
    def voter_since(self):
        """When this daemon became a voter; infinity if it is none."""
        return self._voter_since

    @property
    def promised_epoch(self):
        """Epoch in which this daemon may promise as a voter; 0 if in none.

        A voter promises only if it knows all replacements that were committed before
        the epoch.
        """
        known = self._voters.epoch
        return known if self.confirmed_epoch == known else 0

    def confirm_epoch(self, heartbeat, leaderships_digest):
        """Note that a voter knows no replacement that this one does not know.

        If that voter may promise in the present epoch, so may this one, without a read
        of the store.  A process that has not read the store at all may have forgotten
        what it acknowledged before a restart.

        Parameters
        ----------
        heartbeat : Heartbeat
        leaderships_digest : int
            Hash of the groups' leaderships as this daemon knows them.

        Returns
        -------
        bool
            Whether this daemon may now promise in the epoch, and could not before.
        """
        epoch = self._voters.epoch
        if self.confirmed_epoch is None or self.confirmed_epoch == epoch:
            return False
        if heartbeat.promised_epoch != epoch or heartbeat.epoch != epoch:
            return False
        if heartbeat.leaderships_digest != leaderships_digest:
            return False
        self.confirmed_epoch = epoch
        return True

    def adopt_voters(self, epoch, names, now):
        """Apply the voters of an epoch if it is newer; return whether it was."""
        if epoch <= self._voters.epoch:
            return False
        was_voter = self.is_voter
        self._voters = Voters(epoch, tuple(names))
        if not self.is_voter:
            self._voter_since = math.inf
        elif not was_voter:
            self._voter_since = now
        return True

    def correspondents(self):
        """Return the peers to which this daemon sends heartbeats.

        Until the voters are known, these are the daemons from which the first voters
        are chosen.
        """
        if self.is_voter:
            return list(self._peers.values())
        names = self._voters.names or first_voters(self.names)
        return [self._peers[name] for name in names if name in self._peers]

    def live_voters(self, now, limit):
        """Return the voters heard within ``limit`` seconds, this daemon included."""
        return tuple(
            sorted(
                name
                for name in self._voters.names
                if name == self._vm or self.is_fresh(name, now, limit)
            )
        )

    def addresses(self):
        """Return the address of each daemon, this one included."""
        known = {name: peer.address for name, peer in self._peers.items()}
        known[self._vm] = self._address
        return known

    def set_incarnation(self, incarnation, now):
        """Begin a new registration: echoes of earlier ones no longer count."""
        self._incarnation = incarnation
        self._dropped_at = now
        for peer in self._peers.values():
            peer.has_echoed = False
            peer.earliest_sent_at = None

    @property
    def dropped_at(self):
        """When a daemon that may be alive was last removed, or this one registered.

        The store may have listed that daemon until then.
        """
        return self._dropped_at

    @property
    def members_digest(self):
        """Hash of the daemons counted, this one included."""
        if self._members_digest is None:
            self._members_digest = hash_members(self.addresses())
        return self._members_digest

    def add(self, name, address, now):
        """Count a daemon; return whether it is new."""
        if name == self._vm:
            return False
        peer = self._peers.get(name)
        if peer is not None and peer.address == address:
            return False
        self._members_digest = self._names = None
        if peer is not None:
            peer.address = address
            return False
        self._peers[name] = Peer(name, address, now)
        return True

    def apply_heartbeat(self, heartbeat, now, source=None):
        """Store a heartbeat unless it is outdated; return whether it was stored.

        Parameters
        ----------
        heartbeat : Heartbeat
        now : float
        source : str, optional
            Address that it came from, for a daemon whose address is not known yet.
        """
        name = heartbeat.sender
        if name == self._vm:
            return False
        peer = self._peers.get(name)
        is_new = peer is None or peer.heartbeat is None
        if is_new or peer.heartbeat.incarnation != heartbeat.incarnation:
            address = source or (heartbeat.members or {}).get(name)
            if address is not None:
                self.add(name, address, now)
        peer = self._peers.get(name)
        if peer is None:
            return False
        last = peer.heartbeat
        same_incarnation = (
            last is not None and last.incarnation == heartbeat.incarnation
        )
        if same_incarnation and heartbeat.stamp < last.stamp:
            return False
        peer.heartbeat = heartbeat
        if heartbeat.domains_digest is None:
            # It is of an older version, perhaps after a downgrade.
            self.domains.forget(name)
        else:
            self.domains.record(name, heartbeat.failure_domain)
        if not same_incarnation:
            peer.claims = {}
        for group, claim in heartbeat.groups.items():
            peer.claims[group] = (claim, now)
            if seconds(claim.silence_ms) >= CUT_OFF_SILENCE:
                self._cut_off_reported_at[group] = now
        peer.heard_at = now
        if not same_incarnation:
            # A restarted daemon may not know of this one yet.
            peer.has_echoed = False
            peer.earliest_sent_at = None
        if heartbeat.echo_incarnation == self._incarnation:
            peer.has_echoed = True
            peer.earliest_sent_at = seconds(heartbeat.echo + heartbeat.echo_delay_ms)
        if heartbeat.silent is not None:
            self._reported_silent = frozenset(heartbeat.silent)
            self._silence_reported_at = now
        return True

    def cut_off_reported_at(self, group):
        """Return when a daemon last reported that a group's primary cuts it off.

        Minus infinity if none has.
        """
        return self._cut_off_reported_at.get(group, -math.inf)

    def reachable_peers(self, now, limit):
        """Return the peers that are probably alive, by name.

        A voter has heard them within ``limit`` seconds.  Other daemons leave out those
        that a voter has lately reported as silent.
        """
        if self.is_voter:
            names = self.live_members(now, limit)
            return {name: self._peers[name] for name in names if name in self._peers}
        silent = self._reported_silent
        if now - self._silence_reported_at > REPORTED_SILENCE_TIMEOUT:
            silent = frozenset()
        return {name: peer for name, peer in self._peers.items() if name not in silent}

    def follow(self, members, now):
        """Count the daemons that a voter counts, with their addresses by name.

        Those heard lately are counted in any case.

        Returns
        -------
        bool
            Whether the daemons counted have changed.
        """
        return self.apply_registered(members, now)

    def remove(self, name):
        """Stop counting a daemon that can promote no instance any more.

        Returns
        -------
        bool
            Whether it was counted.
        """
        self._members_digest = self._names = None
        self.domains.forget(name)
        return self._peers.pop(name, None) is not None

    def is_fresh(self, name, now, limit):
        """Whether a daemon's last heartbeat came within ``limit`` seconds."""
        peer = self._peers.get(name)
        heard = peer is not None and peer.heard_at is not None
        return heard and now - peer.heard_at <= limit

    def live_members(self, now, limit):
        """Return this daemon's name and those heard within ``limit`` seconds."""
        fresh = [name for name in self._peers if self.is_fresh(name, now, limit)]
        return tuple(sorted((*fresh, self._vm)))

    def apply_registered(self, registered, now):
        """Count the daemons that a read of the store lists as registered.

        The others are no longer counted, except those heard lately, because they may
        have a permission that this daemon has promised.

        Parameters
        ----------
        registered : dict of str to str
            Address of each daemon, by name.
        now : float

        Returns
        -------
        bool
            Whether the daemons counted have changed.
        """
        self.knows_members = True
        before = set(self._peers)
        for name, address in registered.items():
            self.add(name, address, now)
        for name in before - registered.keys():
            if not self._peers[name].is_leaving:
                if self.is_fresh(name, now, HEARD_HOLD_TIME):
                    continue
                self._dropped_at = now
            self.remove(name)
        return before != set(self._peers)
