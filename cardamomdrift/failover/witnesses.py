"""
Witnesses
=========

What the other daemons have said of a replacement: who knows of it, and who has stopped
using the primaries before it.
"""

from cardamomdrift.peers.heartbeat import leaders_digest


class Witnesses:
    """The other daemons, as one that replaces a primary asks for their word.

    Parameters
    ----------
    roster : Roster
    clusters : Clusters
    """

    def __init__(self, roster, clusters):
        self._roster = roster
        self._clusters = clusters

    def acknowledged(self, group, released, generation):
        """Return how many others know of a replacement and are counted by the rest."""
        agreeing = self._agreeing()
        knowing = {
            name
            for name in released
            if self._known_generation(name, group, name in agreeing) >= generation
        }
        rest = released.keys() - knowing
        return sum(
            all(self._roster.is_counted_by(name, one) for one in rest)
            for name in knowing
        )

    def _known_generation(self, name, group, agrees):
        peer = self._roster.peers.get(name)
        if peer is None:
            return -1
        if agrees:
            return self._clusters.get(group).leadership.generation
        claim, _ = peer.claims.get(group, (None, 0.0))
        return claim.generation if claim else -1

    def _agreeing(self):
        """Return the daemons that know and have released just what this one has."""
        own = leaders_digest(one.leadership for one in self._clusters)
        return {
            name
            for name, peer in self._roster.peers.items()
            if peer.heartbeat is not None and peer.heartbeat.agreed == own
        }

    def released(self, group, names):
        """Return the generation that each other daemon has released."""
        agreeing = self._agreeing()
        released = {}
        for name in names:
            peer = self._roster.peers.get(name)
            if peer is not None and peer.is_leaving:
                continue
            released[name] = self._released_by(peer, group, name in agreeing)
        return released

    def _released_by(self, peer, group, agrees):
        if peer is None:
            return -1
        if agrees:
            return self._clusters.get(group).leadership.released
        claim, _ = peer.claims.get(group, (None, 0.0))
        return claim.released if claim else -1
