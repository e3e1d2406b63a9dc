"""
Permission
==========

Until when this daemon may take a group's settled primary for the present one.

Every heartbeat promises that its sender knows of no replacement beyond the generation
that it names.  If every daemon that anyone counts, one excepted, has promised lately,
nobody has replaced a primary; a read of the store shows the same, since a replacement
is written there first.  Whoever replaces a primary waits until all others have released
it, or, with one other daemon's word, until what the rest rely on has run out.  Ages are
measured with the boot clock, so a VM that was suspended relies on nothing that it knew
before.
"""

import math

from cardamomdrift.util import seconds

PERMISSION_TIME = 1.2  # seconds; a heartbeat and its echo come several times within it
SILENT_ALLOWED = 1  # daemons that may be silent, so that one loss costs no permission
SILENT_MINIMUM = 3  # daemons from which on one may be silent
ACKNOWLEDGED_NEEDED = SILENT_ALLOWED  # other daemons that must know of a replacement


def promised_until(roster, now):
    """Return until when the promises of the daemons hold; minus infinity if never.

    The daemons that count are those of this one and, in turn, those that they count.

    Parameters
    ----------
    roster : Roster
    now : float
        Boot clock.
    """
    promises = _promises(roster, now)
    excepted = SILENT_ALLOWED if len(promises) + 1 >= SILENT_MINIMUM else 0
    oldest = sorted(promises)[excepted] if promises else now
    return min(oldest, now) + PERMISSION_TIME


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
    return peer.sent_after


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
        """Take in that the roster has changed; alone, only the store counts."""
        if self._roster.peers:
            self._promised_until = promised_until(self._roster, now)

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
