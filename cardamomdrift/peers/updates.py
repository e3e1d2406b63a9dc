"""
Peer updates
============

The last state update of every peer and when it came.  They tell how long ago a peer
heard from the primary of a term.
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
        """Return the seconds since a peer last heard a term's primary, or None."""
        ages = []
        for received in self._updates.values():
            known = received.update.groups.get(group)
            if known is None or known.term != term or known.contact_age_ms < 0:
                continue
            ages.append(
                known.contact_age_ms / MILLISECONDS + now - received.received_at
            )
        return min(ages, default=None)
