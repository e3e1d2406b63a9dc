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

PERMISSION_TIME = 1.2  # seconds; a heartbeat and its echo come several times within it
SILENT_TIME = 6.0  # seconds for which one daemon may be silent; with the next, below 8
ECHO_TIME = 1.5  # seconds after which a silent daemon's stamp is no longer echoed
# Seconds after the last read of the store for which promises count; more than most of
# its outages last, since promises carry the writes until it is back.
ROSTER_TIME = 40.0
SILENT_MINIMUM = 3  # daemons from which on one may be silent
ACKNOWLEDGED_NEEDED = 1  # other daemons that must know of a replacement


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
        return now + PERMISSION_TIME
    strict = min(promises[0], now) + PERMISSION_TIME
    if len(promises) + 1 < SILENT_MINIMUM:
        return strict
    silent, *others = promises
    lenient = min(others[0] + PERMISSION_TIME, silent + SILENT_TIME)
    return max(strict, lenient)


def _promises(roster, now):
    """Return when each other daemon that counts has promised last."""
    promises = []
    wanted = list(roster.peers)
    seen = {roster.vm}
    while wanted:
        name = wanted.pop()
        if name in seen:
            continue
        seen.add(name)
        peer = roster.peers.get(name)
        if peer is None or peer.heartbeat is None:
            promises.append(-math.inf)
            continue
        promises.append(_promised_at(roster, peer, now))
        wanted.extend(peer.members)
    return promises


def _promised_at(roster, peer, now):
    if peer.heartbeat.leaving:
        return now
    if peer.sent_after is None or roster.vm not in peer.members:
        return -math.inf
    if peer.heartbeat.confirmed_age_ms is None:
        # It has begun without the store and knows of no replacement at all.
        return -math.inf
    return peer.sent_after


def relied_on_until(roster):
    """Return until when daemons that were dropped may rely on a read of the store."""
    return roster.dropped_at + PERMISSION_TIME


class Permission:
    """What this daemon may rely on, from promises and from reads of the store."""

    def __init__(self, roster):
        self._roster = roster
        self._promised_until = -math.inf
        self._confirmed_at = -math.inf

    @property
    def confirmed_at(self):
        """When the newest read of the store that it relies on was begun."""
        return self._confirmed_at

    @property
    def until(self):
        """Until when a settled primary may be used, in seconds of the boot clock."""
        return max(self._promised_until, self._confirmed_at + PERMISSION_TIME)

    def holds(self, now):
        """Whether a settled primary may be used."""
        return now < self.until

    def note_roster(self, now):
        """Take in that the roster has changed; alone, only the store counts.

        So it does until a read of the store is known, one's own or another daemon's.
        What was promised holds whatever else has become known.
        """
        if self._roster.peers and self._confirmed_at > -math.inf:
            until = promised_until(self._roster, now)
            until = min(until, self._confirmed_at + ROSTER_TIME)
            self._promised_until = max(self._promised_until, until)

    def note_confirmed(self, begun_at):
        """Take in a read of the store that lists this daemon.

        Its rows must have been taken in before.  Whoever replaces a primary reads the
        list afterwards and waits for this daemon.
        """
        self._confirmed_at = max(self._confirmed_at, begun_at)

    def note_relayed(self, peer):
        """Take in the read of the store that a heartbeat speaks of."""
        heartbeat = peer.heartbeat
        if peer.sent_after is None or not heartbeat.listed:
            return
        if heartbeat.confirmed_age_ms is not None:
            self.note_confirmed(peer.sent_after - seconds(heartbeat.confirmed_age_ms))
