"""
Refusal while replicas lag
==========================

Refuses a read at once if the primary has no room for it and no replica can reach its
floor in time, and finds when its caller should come back.
"""

from cardamomdrift.errors import Overloaded
from cardamomdrift.limits.outage import spread_retry_after

MIN_RETRY_AFTER = 0.2  # seconds
# Seconds.  The expected times are rough, and bursts of load last 1 to 2 s, after which
# the primary has room although the replicas still lag.
MAX_RETRY_AFTER = 2.0


def find_catch_up_time(cluster, floor, deadline_at):
    """Return when the first replica reaches a floor if none does before a deadline.

    Parameters
    ----------
    cluster : Cluster
    floor : Position or None
    deadline_at : float
        By the loop's clock.

    Returns
    -------
    float or None
        Expected seconds; None if a usable replica may serve the read in time, if there
        is no usable one, or if only the primary may serve the read.
    """
    if floor is None:
        return None
    left = max(deadline_at - cluster.clock(), 0.0)
    primary = cluster.leadership.primary
    times = [
        cluster.view.known_catch_up_time(name, floor)
        for name, runtime in cluster.instances.items()
        if name != primary and runtime.usable
    ]
    return min(times) if times and min(times) > left else None


def find_retry_after(cluster, catch_up, caller):
    """Return the seconds until a replica has caught up or the primary has room.

    Parameters
    ----------
    cluster : Cluster
    catch_up : float
        Expected seconds until the first replica has caught up.
    caller : str
        Callers are told different times, so that they do not come back at once.
    """
    primary = cluster.leadership.primary
    room = cluster.pacing.room.expected_remaining(primary, cluster.clock())
    remaining = min(max(min(catch_up, room), MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return spread_retry_after(remaining, caller)


def must_refuse(cluster, request, floor, failure):
    """Whether no instance can serve a read now, since the primary has no room for it.

    Parameters
    ----------
    cluster : Cluster
    request : StatementRequest
    floor : Position or None
    failure : TryElsewhere
        How the last attempt ended.
    """
    if not failure.busy or failure.instance != cluster.leadership.primary:
        return False
    return find_catch_up_time(cluster, floor, request.deadline_at) is not None


def adapt_refusal(cluster, request, floor, error):
    """Return a refusal because of load with a Retry-After that fits lagging replicas.

    Parameters
    ----------
    cluster : Cluster
    request : StatementRequest
    floor : Position or None
    error : Overloaded
    """
    catch_up = find_catch_up_time(cluster, floor, request.deadline_at)
    if catch_up is None:
        return error
    retry_after = find_retry_after(cluster, catch_up, request.caller)
    return Overloaded(error.reason, max(retry_after, error.retry_after or 0.0))
