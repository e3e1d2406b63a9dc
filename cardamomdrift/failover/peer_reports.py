"""
Peer reports
============

What the heartbeats of the other daemons report of a replacement: which daemons know of
it, and which have stopped using the earlier primaries.
"""

from cardamomdrift.peers.heartbeat import hash_leaderships


class PeerReports:
    """Reports of the other daemons, for the daemon that replaces a primary.

    Parameters
    ----------
    roster : Roster
    clusters : Clusters
    """

    def __init__(self, roster, clusters):
        self._roster = roster
        self._clusters = clusters

    def acknowledging(self, group, voter_sets, generation):
        """Return the names of the voters that know of a replacement.

        Parameters
        ----------
        group : str
        voter_sets : sequence of sequence of str
        generation : int
            Number of the replacement.
        """
        peers_in_agreement = self._peers_in_agreement()
        acknowledging = set()
        for name in set().union(*voter_sets):
            if name == self._roster.vm:
                report = self._clusters.get(group).leadership
            else:
                report = self._latest_report(name, group, peers_in_agreement)
            if report is not None and report.generation >= generation:
                acknowledging.add(name)
        return acknowledging

    def all_count_the_same(self, voter_sets, acknowledging):
        """Whether all voters know of a replacement and count the same daemons.

        Then no daemon that this one does not count can have a permission, because a
        voter counts each daemon to which it has lately sent a promise.
        """
        digest = self._roster.members_digest
        for name in set().union(*voter_sets):
            if name not in acknowledging:
                return False
            if name == self._roster.vm:
                continue
            if self._roster.peers[name].heartbeat.members_digest != digest:
                return False
        return True

    def released(self, group, names):
        """Return the generation that each daemon has released, by name; -1 if unknown.

        Daemons that are leaving are left out.
        """
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
        """Return the daemons with the same leaderships as this one, in all groups.

        A heartbeat carries a digest of them, so equal claims need not be sent.
        """
        own_digest = hash_leaderships(cluster.leadership for cluster in self._clusters)
        return {
            name
            for name, peer in self._roster.peers.items()
            if peer.heartbeat is not None
            and peer.heartbeat.leaderships_digest == own_digest
        }

    def _latest_report(self, name, group, peers_in_agreement):
        """Return the latest GroupClaim of a daemon, or a Leadership equal to it.

        None if the daemon has claimed nothing about the group.
        """
        if name in peers_in_agreement:
            return self._clusters.get(group).leadership
        peer = self._roster.peers.get(name)
        claim, _ = peer.claims.get(group, (None, 0.0)) if peer else (None, 0.0)
        return claim
