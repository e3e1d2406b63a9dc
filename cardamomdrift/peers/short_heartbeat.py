"""
Short heartbeats
================

While a daemon's state is the one that the receiver has confirmed, its heartbeats
contain only stamps, ages and hashes.  The receiver completes a short heartbeat with the
state of the last full one, so nothing that follows distinguishes the two.  It does so
only if both are of the same incarnation and the hash of the state is the same:
otherwise a promise would count with a state that its sender has given up.
"""

from functools import lru_cache
from operator import attrgetter

import msgspec

from cardamomdrift.peers.heartbeat import (
    SHORT_HEARTBEAT_FORMAT,
    Heartbeat,
    ShortHeartbeat,
)
from cardamomdrift.util import DIGEST_MASK, hash_bytes, hash_number

SENDER_SIZE = 8  # bytes
CACHE_SIZE = 4096  # senders and states whose hashes are kept
# Fields that a short heartbeat contains as they are.
STAMP_FIELDS = ("stamp", "echo", "echo_delay_ms", "known_state")
AGE_FIELDS = (
    "confirmed_age_ms",
    "list_age_ms",
    "proof_age_ms",
    "uptime_ms",
    "view_age_ms",
    "restart_age_ms",
)
# Fields without which a heartbeat may be short, with their values then.
ABSENT_FIELDS = {
    "members": None,
    "voters": None,
    "groups": {},
    "replicas": None,
    "domains": None,
}
# Fields that heartbeats of an older version lack, with their values then.  The hash
# leaves them out where they have these values, so that it is the sender's own.
ADDED_FIELDS = {"failure_domain": "", "domains_digest": None}
STATE_FIELDS = tuple(
    field
    for field in Heartbeat.__struct_fields__
    if field not in (*STAMP_FIELDS, *AGE_FIELDS, *ABSENT_FIELDS, *ADDED_FIELDS)
)

_stamps = attrgetter(*STAMP_FIELDS)
_ages = attrgetter(*AGE_FIELDS)
_state = attrgetter(*STATE_FIELDS)
_added = attrgetter(*ADDED_FIELDS)
_ABSENT_ADDED = tuple(ADDED_FIELDS.values())
_encode = msgspec.msgpack.Encoder().encode


@lru_cache(maxsize=CACHE_SIZE)
def hash_sender(name, incarnation):
    """Return the 8 bytes that identify a process of a daemon."""
    return hash_number(name, incarnation).to_bytes(SENDER_SIZE, "big")


def hash_state(heartbeat):
    """Return a 32-bit hash of what a short heartbeat does not contain."""
    values, added = _state(heartbeat), _added(heartbeat)
    return _hash_values(values if added == _ABSENT_ADDED else (*values, *added))


@lru_cache(maxsize=CACHE_SIZE)
def _hash_values(values):
    return hash_bytes(_encode(values)) & DIGEST_MASK


def shorten(heartbeat, peer):
    """Return the ShortHeartbeat to send to a peer, or the full one if it lacks it.

    Parameters
    ----------
    heartbeat : Heartbeat
    peer : Peer
    """
    state = hash_state(heartbeat)
    if (
        not (heartbeat.echo_incarnation and peer.has_echoed)
        or heartbeat.groups
        or heartbeat.members is not None
        or heartbeat.voters is not None
        or heartbeat.replicas is not None
        or not is_confirmed(peer, state)
    ):
        peer.sent_state = state
        return heartbeat
    return make_short(heartbeat, state)


def make_short(heartbeat, state):
    """Return the ShortHeartbeat for a full one whose state has a hash."""
    return ShortHeartbeat(
        SHORT_HEARTBEAT_FORMAT,
        hash_sender(heartbeat.sender, heartbeat.incarnation),
        state,
        *_stamps(heartbeat),
        _ages(heartbeat),
    )


def is_confirmed(peer, state):
    """Whether a peer has confirmed the state that was last sent to it in full.

    A state that returns to a former one is sent again, since the peer may have
    confirmed the former one before it got the one in between.  Only traffic depends on
    this: the receiver checks on its own what it has.
    """
    return peer.heartbeat.known_state == state == peer.sent_state


def matches(short, peer):
    """Whether a peer's last heartbeat has the state of a short one."""
    last = peer.heartbeat
    return (
        last is not None
        and short.state == peer.state
        and short.sender == hash_sender(last.sender, last.incarnation)
    )


def expand(short, peer):
    """Return the Heartbeat that a short one stands for, or None if it does not match.

    Parameters
    ----------
    short : ShortHeartbeat
    peer : Peer or None
        The sender.
    """
    if peer is None or not matches(short, peer) or len(short.ages) != len(AGE_FIELDS):
        return None
    return msgspec.structs.replace(
        peer.heartbeat,
        **dict(zip(STAMP_FIELDS, _stamps(short), strict=True)),
        **dict(zip(AGE_FIELDS, short.ages, strict=True)),
        **ABSENT_FIELDS,
    )


class Senders:
    """Finds the peers that send short heartbeats.

    Parameters
    ----------
    roster : Roster
    """

    def __init__(self, roster):
        self._roster = roster
        self._names = {}

    def find(self, short, source):
        """Return the Peer that sent a short heartbeat, or None.

        An unknown hash may be that of a process from which no full heartbeat has come;
        it is found by its address.

        Parameters
        ----------
        short : ShortHeartbeat
        source : str
        """
        peers = self._roster.peers
        name = self._names.get(short.sender)
        if name in peers:
            return peers[name]
        return next((peer for peer in peers.values() if peer.address == source), None)

    def record(self, peer):
        """Record the state in a peer's full heartbeat."""
        heartbeat = peer.heartbeat
        peer.state = hash_state(heartbeat)
        self._names[hash_sender(peer.name, heartbeat.incarnation)] = peer.name
        if len(self._names) > 2 * len(self._roster.peers) + 2:
            # Most are of former incarnations.
            self._names = {
                hash_sender(name, other.heartbeat.incarnation): name
                for name, other in self._roster.peers.items()
                if other.heartbeat is not None
            }
