"""
News of replicas
================

Which reports on lagging replicas a daemon's heartbeats contain.  Daemons send theirs to
the voters, and each voter sends the newest one that it knows to the daemons that it
informs.  Nothing is sent while no replica is delayed.
"""

import math
from dataclasses import dataclass, field

from cardamomdrift.peers.claims import milliseconds
from cardamomdrift.position import Position
from cardamomdrift.util import seconds

REPORT_INTERVAL = 0.25  # seconds between two reports on a replica to the same daemons


@dataclass(slots=True)
class _SentReports:
    """What was last sent to one kind of peers, by instance.

    Attributes
    ----------
    positions : dict of str to float
        Times of the reported positions; what was received counts as sent.
    times : dict of str to float
        When a report was sent.
    """

    positions: dict = field(default_factory=dict)
    times: dict = field(default_factory=dict)


class ReplicaNews:
    """Reports on replicas to send, and those received; times are of the boot clock.

    Parameters
    ----------
    clusters : Clusters
    """

    def __init__(self, clusters):
        self._clusters = clusters
        self._to_voters = _SentReports()
        self._to_informed = _SentReports()

    def due(self, now):
        """Return the reports that heartbeats contain now.

        Returns
        -------
        tuple of dict of str to (int, int, int)
            For voters, and for the daemons that this one informs as a voter: term,
            sequence number and age in milliseconds, by instance.
        """
        newest = {}
        for cluster in self._clusters:
            newest |= cluster.replica_reports.newest
        to_voters = self._due_of(newest, self._to_voters, now)
        return to_voters, self._due_of(newest, self._to_informed, now)

    @staticmethod
    def _due_of(newest, sent, now):
        return {
            name: (
                report.position.term,
                report.position.sequence,
                milliseconds(now - report.at),
            )
            for name, report in newest.items()
            if report.at > sent.positions.get(name, -math.inf)
            and now - sent.times.get(name, -math.inf) >= REPORT_INTERVAL
        }

    def record_sent(self, to_voters, to_informed, now):
        """Record that heartbeats to all peers contained some reports."""
        kinds = ((to_voters, self._to_voters), (to_informed, self._to_informed))
        for names, sent in kinds:
            for name in names:
                report = self._find_report(name)
                if report is not None:
                    sent.positions[name] = report.at
                    sent.times[name] = now

    def _find_report(self, name):
        for cluster in self._clusters:
            if name in cluster.replica_reports.newest:
                return cluster.replica_reports.newest[name]
        return None

    def apply(self, peer):
        """Record the reports in a peer's heartbeat.

        The echo proves the earliest time at which the heartbeat can have been sent, so
        a report never counts as newer than it is.
        """
        reports = peer.heartbeat.replicas
        if not reports or peer.earliest_sent_at is None:
            return
        for cluster in self._clusters:
            for name in reports.keys() & cluster.instances.keys():
                term, sequence, age_ms = reports[name]
                at = peer.earliest_sent_at - seconds(max(age_ms, 0))
                position = Position(term, sequence)
                cluster.replicas.record_report(name, position, at, peer.name)
                known = self._to_voters.positions.get(name, -math.inf)
                self._to_voters.positions[name] = max(known, at)

    def request_pings(self, now, is_responsible):
        """Ask delayed replicas for their positions, as a voter.

        Parameters
        ----------
        now : float
        is_responsible : callable
            Whether this voter is the one that asks for an instance's position first.
        """
        for cluster in self._clusters:
            cluster.replicas.ping_delayed(now, is_responsible)
