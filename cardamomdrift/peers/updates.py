"""
Peer updates
============

The last state update of every peer and when it came.  The updates tell how long ago the
primary of a term last answered a peer.
"""

from dataclasses import dataclass

from cardamomdrift.util import MILLISECONDS


@dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    """Last state update of one peer and when it came."""

    update: object
    received_at: float


class PeerUpdates:
    """Last state update of every peer."""

    def __init__(self):
        self._updates = {}

    def apply_update(self, update, now):
        """Store a peer's update."""
        self._updates[update.vm] = _ReceivedUpdate(update, now)

    def contact_age(self, group, term, now):
        """Return the seconds since a term's primary last answered any peer, or None."""
        ages = []
        for received in self._updates.values():
            group_update = received.update.groups.get(group)
            if (
                group_update is None
                or group_update.term != term
                or group_update.contact_age_ms < 0
            ):
                continue
            ages.append(
                group_update.contact_age_ms / MILLISECONDS + now - received.received_at
            )
        return min(ages, default=None)
