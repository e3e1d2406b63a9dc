"""
Permission
==========

The permission is a lease.  Until it ends, this daemon may treat the settled primary of
a group as the current one.

A daemon obtains it from promises or from the store.  Every heartbeat is a promise: its
sender knows of no replacement beyond the generation that the heartbeat names.  A
heartbeat echoes the receiver's last time stamp, so the receiver knows how old the
promise is at most.  If all daemons have promised recently, including those that only
the roster of another daemon lists, no primary has been replaced.  A read of the store
proves the same, since a replacement is committed there first.

Promises count only for a limited time after the newest known read of the store, since
the daemons that promised may not know of daemons that registered after that read.  One
daemon may be silent for some seconds, so that the loss of a single daemon does not end
the permission.

A daemon that replaces a primary waits until all others have released the old one.  If a
quorum has acknowledged the replacement, it waits at most until the permissions of the
others have expired.

The row of a daemon is removed only after a silence that is longer than any permission
that the silent daemon may derive from the daemon that removes it, so the removal breaks
no promise.  Times are in seconds of the boot clock, which counts suspensions: after a
suspension, a VM relies on nothing that it knew before.
"""

import math

from cardamomdrift.util import seconds

PERMISSION_VALIDITY = 1.2  # seconds; covers several heartbeats and their echoes
# Seconds for which one daemon may be silent.  The sum with ECHO_TIMEOUT is below the
# 8 s after which a silent daemon is removed (REMOVAL_TIMEOUT in `membership.control`).
SILENT_DAEMON_TIMEOUT = 6.0
ECHO_TIMEOUT = 1.5  # seconds after which the stamp of a silent daemon is not echoed
# Seconds after a read of the store for which promises count.  Most outages of the store
# are shorter; during an outage, writes go on under promises.
STORE_READ_VALIDITY = 40.0
MIN_DAEMONS_FOR_SILENCE = 3  # daemons, this one included, of which one may be silent
ACKNOWLEDGEMENTS_NEEDED = 1  # other daemons that must know of a replacement


def promised_until(roster, now):
    """Return when the promises of the other daemons expire.

    The promises of all daemons in this one's roster are needed and, recursively, those
    of the daemons in their rosters.  The time is minus infinity if one of them has
    made no valid promise.  The last promise of one daemon may be older than those of
    the others, if there are at least ``MIN_DAEMONS_FOR_SILENCE`` daemons.

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
    """Return the time of the last promise of each daemon whose promise is needed."""
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
        # The sender started without the store, so it knows of no replacement at all.
        return -math.inf
    return peer.earliest_sent_at


def dropped_permission_until(roster):
    """Return when the last permission of a daemon dropped from the roster expires."""
    return roster.dropped_at + PERMISSION_VALIDITY


class Permission:
    """Permission of this daemon to use settled primaries.

    It is extended by promises of other daemons and by reads of the store.

    Parameters
    ----------
    roster : Roster
    """

    def __init__(self, roster):
        self._roster = roster
        self._promised_until = -math.inf
        self._store_read_at = -math.inf

    @property
    def store_read_at(self):
        """Start of the newest read of the store that this permission relies on."""
        return self._store_read_at

    @property
    def until(self):
        """End of the permission, in seconds of the boot clock."""
        return max(self._promised_until, self._store_read_at + PERMISSION_VALIDITY)

    def holds(self, now):
        """Whether a settled primary may be used."""
        return now < self.until

    def extend_by_promises(self, now):
        """Extend the permission by the promises in the roster.

        Promises count only if there are peers and a read of the store is known, of this
        daemon or of a peer.  Until then, only the store extends the permission.  A
        promise holds until its end, whatever becomes known in the meantime.
        """
        if self._roster.peers and self._store_read_at > -math.inf:
            until = promised_until(self._roster, now)
            until = min(until, self._store_read_at + STORE_READ_VALIDITY)
            self._promised_until = max(self._promised_until, until)

    def record_store_read(self, begun_at):
        """Record a read of the store that lists this daemon.

        The caller applies the rows of the read first.  A daemon that commits a
        replacement later finds this daemon in the store and waits for it.

        Parameters
        ----------
        begun_at : float
            When the read began, in seconds of the boot clock.
        """
        self._store_read_at = max(self._store_read_at, begun_at)

    def record_relayed_read(self, peer):
        """Record the read of the store that a peer's heartbeat reports.

        It counts only if it lists this daemon.
        """
        heartbeat = peer.heartbeat
        if peer.earliest_sent_at is None or not heartbeat.listed:
            return
        if heartbeat.confirmed_age_ms is not None:
            self.record_store_read(
                peer.earliest_sent_at - seconds(heartbeat.confirmed_age_ms)
            )
