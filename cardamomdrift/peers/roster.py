"""
Roster
======

The daemons that this one counts, the last heartbeat of each and when it can have been
sent.  A daemon is counted from the time it is first known until its row in the store is
gone; its promises are needed meanwhile (see `failover.permission`).  The roster does no
input or output: it is updated from heartbeats and from reads of the store.
"""

from dataclasses import dataclass, field

from cardamomdrift.peers.heartbeat import hash_members
from cardamomdrift.util import seconds


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
    has_echoed : bool
        Whether it has echoed a stamp of this daemon's incarnation.
    added_at : float
    incarnation_heard_at : float or None
        When the first heartbeat of its present incarnation came.
    claims : dict of str to (GroupClaim, float)
        Its last claim on each group, and when that came.
    members : dict of str to str
        Daemons that it counts, with their addresses; empty if not known.
    """

    name: str
    address: str
    added_at: float
    incarnation_heard_at: float | None = None
    heartbeat: object = None
    heard_at: float | None = None
    earliest_sent_at: float | None = None
    has_echoed: bool = False
    members: dict = field(default_factory=dict)
    claims: dict = field(default_factory=dict)

    @property
    def is_leaving(self):
        """Whether it has announced that it promotes no instance any more."""
        return self.heartbeat is not None and self.heartbeat.leaving


class Roster:
    """Daemons that this one counts.

    Parameters
    ----------
    vm : str
    address : str
    incarnation : str
    now : float
        Boot clock.
    """

    def __init__(self, vm, address, incarnation, now):
        self._vm = vm
        self._address = address
        self._incarnation = incarnation
        self._peers = {}
        self._members_digest = None
        self._dropped_at = now

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
        return tuple(sorted((*self._peers, self._vm)))

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
        self._members_digest = None
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
        members = self._members_of(heartbeat, peer)
        address = members.get(name, source)
        if address is not None and (peer is None or name in members):
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
        if not same_incarnation:
            peer.claims = {}
        peer.claims |= {
            group: (claim, now) for group, claim in heartbeat.groups.items()
        }
        peer.heard_at = now
        peer.members = members
        if not same_incarnation:
            # A restarted daemon may not know of this one yet.
            peer.has_echoed = False
            peer.earliest_sent_at = None
            peer.incarnation_heard_at = now
        if heartbeat.echo_incarnation == self._incarnation:
            peer.has_echoed = True
            peer.earliest_sent_at = seconds(heartbeat.echo + heartbeat.echo_delay_ms)
        return True

    def _members_of(self, heartbeat, peer):
        """Return the daemons that a heartbeat's sender counts; empty if not known."""
        if heartbeat.members is not None:
            return heartbeat.members
        if heartbeat.members_digest == self.members_digest:
            return self.addresses()
        if peer is not None and hash_members(peer.members) == heartbeat.members_digest:
            return peer.members
        return {}

    def is_counted_by(self, name, other):
        """Whether ``other`` is known to count the present incarnation of ``name``."""
        peer, counting_peer = self._peers.get(name), self._peers.get(other)
        if (
            peer is None
            or counting_peer is None
            or counting_peer.earliest_sent_at is None
        ):
            return False
        if (
            peer.incarnation_heard_at is None
            or counting_peer.earliest_sent_at < peer.incarnation_heard_at
        ):
            return False
        return name in counting_peer.members

    def remove(self, name):
        """Stop counting a daemon that can promote no instance any more.

        Returns
        -------
        bool
            Whether it was counted.
        """
        self._members_digest = None
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
        """Count exactly the daemons that a read of the store lists as registered.

        A daemon whose row is gone can promote no instance until it registers again, and
        then only after this one has heard from it.  So it need not be counted.

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
        before = set(self._peers)
        for name, address in registered.items():
            self.add(name, address, now)
        for name in before - registered.keys():
            if not self._peers[name].is_leaving:
                self._dropped_at = now
            self.remove(name)
        return before != set(self._peers)
