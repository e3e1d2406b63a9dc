"""
Permission
==========

Until when this daemon may take a group's settled primary for the present one.

Every heartbeat promises that its sender knows of no replacement beyond the generation
that it names.  If every daemon that anyone counts has promised lately, nobody has
replaced a primary; a read of the store shows the same, since a replacement is written
there first.  Promises count only for a limited time after the last read of the store
that anyone knows of, since those who have promised may not have heard of daemons that
registered after it.  One daemon may be silent for some seconds, so that its loss alone
costs no permission.  Whoever replaces a primary waits until all others have released
it, or, with one other daemon's word, until what the rest rely on has run out.

A daemon's row is removed only after it has not been heard for longer than it may have
relied on whoever removes it, so dropping it breaks no promise.  Ages are measured with
the boot clock: a VM that was suspended relies on nothing that it knew before.
"""

import math

from cardamomdrift.util import seconds

PERMISSION_VALIDITY = (
    1.2  # seconds; a heartbeat and its echo come several times within it
)
SILENT_DAEMON_TIMEOUT = (
    6.0  # seconds for which one daemon may be silent; with the next, below 8
)
ECHO_TIMEOUT = 1.5  # seconds after which a silent daemon's stamp is no longer echoed
# Seconds after the last read of the store for which promises count; more than most of
# its outages last, since promises carry the writes until it is back.
STORE_READ_VALIDITY = 40.0
MIN_DAEMONS_FOR_SILENCE = 3  # daemons from which on one may be silent
ACKNOWLEDGEMENTS_NEEDED = 1  # other daemons that must know of a replacement


def promised_until(roster, now):
    """Return until when the promises of the daemons hold; minus infinity if never.

    The daemons that count are those of this one and, in turn, those that they count.

    Parameters
    ----------
    roster : Roster
    now : float
        Boot clock.
    """
    promises = sorted(_promises(roster, now))
    if not promises:
        return now + PERMISSION_VALIDITY
    strict_until = min(promises[0], now) + PERMISSION_VALIDITY
    if len(promises) + 1 < MIN_DAEMONS_FOR_SILENCE:
        return strict_until
    silent, *others = promises
    lenient_until = min(others[0] + PERMISSION_VALIDITY, silent + SILENT_DAEMON_TIMEOUT)
    return max(strict_until, lenient_until)


def _promises(roster, now):
    """Return when each other daemon that counts has promised last."""
    promises = []
    unvisited = list(roster.peers)
    visited = {roster.vm}
    while unvisited:
        name = unvisited.pop()
        if name in visited:
            continue
        visited.add(name)
        peer = roster.peers.get(name)
        if peer is None or peer.heartbeat is None:
            promises.append(-math.inf)
            continue
        promises.append(_promised_at(roster, peer, now))
        unvisited.extend(peer.members)
    return promises


def _promised_at(roster, peer, now):
    if peer.heartbeat.leaving:
        return now
    if peer.earliest_sent_at is None or roster.vm not in peer.members:
        return -math.inf
    if peer.heartbeat.confirmed_age_ms is None:
        # It has begun without the store and knows of no replacement at all.
        return -math.inf
    return peer.earliest_sent_at


def dropped_permission_until(roster):
    """Return until when daemons that were dropped may rely on a read of the store."""
    return roster.dropped_at + PERMISSION_VALIDITY


class Permission:
    """What this daemon may rely on, from promises and from reads of the store."""

    def __init__(self, roster):
        self._roster = roster
        self._promised_until = -math.inf
        self._store_read_at = -math.inf

    @property
    def store_read_at(self):
        """When the newest read of the store that it relies on was begun."""
        return self._store_read_at

    @property
    def until(self):
        """Until when a settled primary may be used, in seconds of the boot clock."""
        return max(self._promised_until, self._store_read_at + PERMISSION_VALIDITY)

    def holds(self, now):
        """Whether a settled primary may be used."""
        return now < self.until

    def extend_by_promises(self, now):
        """Take in that the roster has changed; alone, only the store counts.

        So it does until a read of the store is known, one's own or another daemon's.
        What was promised holds whatever else has become known.
        """
        if self._roster.peers and self._store_read_at > -math.inf:
            until = promised_until(self._roster, now)
            until = min(until, self._store_read_at + STORE_READ_VALIDITY)
            self._promised_until = max(self._promised_until, until)

    def record_store_read(self, begun_at):
        """Take in a read of the store that lists this daemon.

        Its rows must have been taken in before.  Whoever replaces a primary reads the
        list afterwards and waits for this daemon.
        """
        self._store_read_at = max(self._store_read_at, begun_at)

    def record_relayed_read(self, peer):
        """Take in the read of the store that a heartbeat speaks of."""
        heartbeat = peer.heartbeat
        if peer.earliest_sent_at is None or not heartbeat.listed:
            return
        if heartbeat.confirmed_age_ms is not None:
            self.record_store_read(
                peer.earliest_sent_at - seconds(heartbeat.confirmed_age_ms)
            )
