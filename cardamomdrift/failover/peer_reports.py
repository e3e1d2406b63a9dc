"""
Witnesses
=========

What the other daemons have said of a replacement: who knows of it, and who has stopped
using the primaries before it.
"""

from cardamomdrift.peers.heartbeat import hash_leaders


class PeerReports:
    """The other daemons, as one that replaces a primary asks for their word.

    Parameters
    ----------
    roster : Roster
    clusters : Clusters
    """

    def __init__(self, roster, clusters):
        self._roster = roster
        self._clusters = clusters

    def count_acknowledgements(self, group, released, generation):
        """Return how many others know of a replacement and are counted by the rest."""
        peers_in_agreement = self._peers_in_agreement()
        acknowledging = set()
        for name in released:
            report = self._latest_report(name, group, peers_in_agreement)
            if report is not None and report.generation >= generation:
                acknowledging.add(name)
        rest = released.keys() - acknowledging
        return sum(
            all(self._roster.is_counted_by(name, one) for one in rest)
            for name in acknowledging
        )

    def released(self, group, names):
        """Return the generation that each other daemon has released; -1 if unknown."""
        peers_in_agreement = self._peers_in_agreement()
        released = {}
        for name in names:
            peer = self._roster.peers.get(name)
            if peer is not None and peer.is_leaving:
                continue
            report = self._latest_report(name, group, peers_in_agreement)
            released[name] = -1 if report is None else report.released
        return released

    def _peers_in_agreement(self):
        """Return the daemons that know and have released just what this one has."""
        own = hash_leaders(one.leadership for one in self._clusters)
        return {
            name
            for name, peer in self._roster.peers.items()
            if peer.heartbeat is not None and peer.heartbeat.leaders_digest == own
        }

    def _latest_report(self, name, group, peers_in_agreement):
        """Return the claim or Leadership that tells what a daemon knows of a group."""
        if name in peers_in_agreement:
            return self._clusters.get(group).leadership
        peer = self._roster.peers.get(name)
        claim, _ = peer.claims.get(group, (None, 0.0)) if peer else (None, 0.0)
        return claim
