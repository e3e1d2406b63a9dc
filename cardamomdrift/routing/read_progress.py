"""
Progress of a read
==================

The attempts of one read: which instances they have asked, and which one may be asked
next without a token of the retry budget.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class ReadProgress:
    """Attempts of one read.

    Attributes
    ----------
    floor : Position or None
        None if only the primary may serve it.
    tried : set of str
        Instances that the next attempt leaves out.
    running : dict of asyncio.Task to Attempt
    rounds : int
        Number of times that all instances had been tried.
    used_primary_retry : bool
        Whether its retry at the primary without a token has been used.
    spent : bool
        Whether a retry has taken a token.
    """

    floor: object
    tried: set = field(default_factory=set)
    running: dict = field(default_factory=dict)
    rounds: int = 0
    used_primary_retry: bool = False
    spent: bool = False
    _next_excluded: frozenset | None = None

    def take_excluded(self):
        """Return the instances that the next attempt must not use."""
        excluded, self._next_excluded = self._next_excluded, None
        return frozenset(self.tried) if excluded is None else excluded

    def use_primary_retry(self, primary, instances):
        """Send the next attempt to the primary only, if it has room now.

        Otherwise the replicas that have not been tried may serve it, too: a read that
        waited for the primary alone would pass its deadline if the primary stays full,
        fails or is replaced meanwhile.

        Parameters
        ----------
        primary : str
        instances : dict of str to InstanceRuntime
            All instances of the group.
        """
        self.used_primary_retry = True
        runtime = instances[primary]
        if runtime.in_flight < runtime.limit:
            self._next_excluded = frozenset(instances) - {primary}


class Attempt:
    """One attempt of a read.

    Attributes
    ----------
    name : str or None
        Its instance, once it is placed.
    sent : bool
    hedged : bool
        Whether another attempt was started because this one was slow.
    """

    __slots__ = ("hedged", "name", "sent")

    def __init__(self):
        self.name = None
        self.sent = False
        self.hedged = False


def may_retry_at_primary(cluster, failure, progress):
    """Whether the primary may be asked without a token of the retry budget.

    This applies once to each read that a lagging replica has refused, while the primary
    can be used and has not lately refused requests of this daemon for lack of room.

    Parameters
    ----------
    cluster : Cluster
    failure : TryElsewhere
        How the last attempt ended.
    progress : ReadProgress
    """
    if not failure.behind or progress.used_primary_retry:
        return False
    primary = cluster.view.primary
    if primary is None or primary in progress.tried:
        return False
    if not cluster.instances[primary].usable:
        return False
    return not cluster.pacing.room.is_full(primary, cluster.clock())
