"""
Replica watch
=============

Records what this daemon and others learn of the delays of one group's replicas, logs
when a delay begins and ends, and asks delayed replicas for their positions.
"""


class ReplicaWatch:
    """Delays of the replicas of one group.

    Parameters
    ----------
    cluster : Cluster
    vm : str
        Name of this VM.
    """

    def __init__(self, cluster, vm):
        self._cluster = cluster
        self._vm = vm

    def record_answer(self, name, position, at, behind):
        """Record an answer to this daemon; see `ReplicaReports.record_answer`."""
        reports = self._cluster.replica_reports
        was_delayed = reports.is_delayed(name)
        reports.record_answer(name, position, at, behind)
        self._log_delay(name, was_delayed, self._vm)

    def record_report(self, name, position, at, source):
        """Record the position of a replica that another daemon has reported.

        Parameters
        ----------
        name : str
        position : Position
        at : float
            When the request for it was sent, or before, by the boot clock.
        source : str
            The daemon that sent the report, for the log.
        """
        if name == self._cluster.leadership.primary:
            return
        reports = self._cluster.replica_reports
        was_delayed = reports.is_delayed(name)
        self._cluster.view.observe_report(name, position, at)
        reports.record_report(name, position, at)
        self._log_delay(name, was_delayed, source)

    def _log_delay(self, name, was_delayed, source):
        reports = self._cluster.replica_reports
        delayed = reports.is_delayed(name)
        if delayed != was_delayed:
            self._cluster.log.info(
                "replica delayed" if delayed else "replica caught up",
                group=self._cluster.group.name,
                instance=name,
                position=str(reports.newest[name].position),
                source=source,
            )

    def ping_delayed(self, now, is_responsible):
        """Ask the delayed replicas for their positions, as a voter.

        Parameters
        ----------
        now : float
            Boot clock.
        is_responsible : callable
            See `ReplicaReports.take_due_pings`.
        """
        cluster = self._cluster
        for name in cluster.replica_reports.take_due_pings(now, is_responsible):
            runtime = cluster.instances.get(name)
            if runtime is not None and name != cluster.leadership.primary:
                runtime.prober.request_probe()
