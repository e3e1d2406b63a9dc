"""
Permission
==========

The permission is a lease.  Until it ends, this daemon may treat the settled primary of
a group as the current one.

A daemon obtains it from promises or from the store.  Every heartbeat of a voter is a
promise: its sender knows of no replacement beyond the generation that the heartbeat
names, nor of a later epoch of the voters.  A heartbeat echoes the receiver's last time
stamp, so the receiver knows how old the promise is at most.  If enough voters have
promised recently (see `failover.voters`), no primary has been replaced.  A read of the
store proves the same, since a replacement is committed there first.

A voter promises only after it has itself read its epoch from the store: it then knows
all earlier replacements, also those that it acknowledged before a restart.  Promises
count only for a limited time after the newest known read of the store.  After that
time, a set of voters that does not answer any more can be replaced without its
acknowledgement.

A daemon that replaces a primary waits until all others have released the old one.  If a
quorum of the voters has acknowledged the replacement, it waits at most until the
permissions of the others have expired.  Times are in seconds of the boot clock, which
counts suspensions: after a suspension, a VM relies on nothing that it knew before.
"""

import math

from cardamomdrift.failover.voters import tolerated_losses
from cardamomdrift.util import seconds

PERMISSION_VALIDITY = 1.2  # seconds; covers several heartbeats and their echoes
ECHO_TIMEOUT = 1.5  # seconds after which the stamp of a silent daemon is not echoed
# Seconds after a read of the store for which promises count.  Most outages of the store
# are shorter; during an outage, writes go on under promises.
STORE_READ_VALIDITY = 40.0


def promised_until(roster, now):
    """Return when the promises of the voters expire.

    The time is minus infinity if too few of them have made a valid promise.

    Parameters
    ----------
    roster : Roster
    now : float
        Boot clock.
    """
    names = roster.voters.names
    if not names:
        return -math.inf
    promises = sorted(_promised_at(roster, name, now) for name in names)
    return promises[tolerated_losses(len(names))] + PERMISSION_VALIDITY


def _promised_at(roster, name, now):
    epoch = roster.voters.epoch
    if name == roster.vm:
        return now if roster.promised_epoch == epoch else -math.inf
    peer = roster.peers.get(name)
    if peer is None or peer.heartbeat is None or peer.earliest_sent_at is None:
        return -math.inf
    if peer.heartbeat.promised_epoch != epoch:
        return -math.inf
    return min(peer.earliest_sent_at, now)


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

        Promises count only if a read of the store is known, of this daemon or of a
        peer.  Until then, only the store extends the permission.  A promise holds until
        its end, whatever becomes known in the meantime.
        """
        if self._store_read_at > -math.inf:
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

        It counts only if it lists this daemon, and if this daemon knows the voters that
        the read showed.
        """
        heartbeat = peer.heartbeat
        if peer.earliest_sent_at is None or not heartbeat.listed:
            return
        if heartbeat.epoch > self._roster.voters.epoch:
            return
        if heartbeat.confirmed_age_ms is not None:
            self.record_store_read(
                peer.earliest_sent_at - seconds(heartbeat.confirmed_age_ms)
            )
