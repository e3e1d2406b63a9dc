"""
Peer board
==========

What the peers' news say, with its age: how long ago a peer heard from the primary of a
term.
"""

from dataclasses import dataclass

from cardamomdrift.util import MILLISECONDS


@dataclass(frozen=True, slots=True)
class _ReceivedUpdate:
    """One peer's last news and when it came."""

    update: object
    received_at: float


class PeerUpdates:
    """Last news of every peer."""

    def __init__(self):
        self._updates = {}

    def apply_update(self, update, now):
        """Take in news."""
        self._updates[update.vm] = _ReceivedUpdate(update, now)

    def contact_age(self, group, term, now):
        """Return the seconds since a peer heard from the primary of a term, or None."""
        ages = []
        for received in self._updates.values():
            known = received.update.groups.get(group)
            if known is None or known.term != term or known.contact_age_ms < 0:
                continue
            ages.append(
                known.contact_age_ms / MILLISECONDS + now - received.received_at
            )
        return min(ages, default=None)
