"""
Claims
======

What a daemon's heartbeats say about a database group, and which samples of log
positions they include.  The functions here do no input or output.
"""

import math

from cardamomdrift.peers.heartbeat import GroupClaim
from cardamomdrift.util import MILLISECONDS, seconds

# Seconds from a sample of a primary's log position to the next one that heartbeats
# include; samples of other daemons count too.
SAMPLE_INTERVAL = 0.25


def milliseconds(age):
    """Return an age in seconds as whole milliseconds, rounded up."""
    return math.ceil(age * MILLISECONDS)


def make_claim(cluster, now):
    """Return the GroupClaim of this daemon on a group.

    Parameters
    ----------
    cluster : Cluster
    now : float
        Boot clock.
    """
    leadership = cluster.leadership
    sample = cluster.newest_sample()
    runtime = cluster.instances.get(leadership.primary)
    loop_now = cluster.clock()
    contact_age = silence = None
    if runtime is not None:
        silence = runtime.silence.unanswered(loop_now)
        if runtime.answered_at is not None:
            contact_age = loop_now - runtime.answered_at
    return GroupClaim(
        generation=leadership.generation,
        settled=leadership.settled,
        term=leadership.term,
        primary=leadership.primary,
        released=leadership.released,
        position=(sample.floor.term, sample.floor.sequence) if sample else None,
        position_age_ms=milliseconds(now - sample.begun_at) if sample else 0,
        contact_age_ms=None if contact_age is None else milliseconds(contact_age),
        silence_ms=milliseconds(silence or 0.0),
    )


def due_samples(claims, sent_at, now):
    """Return the claims with a sample SAMPLE_INTERVAL newer than the last one.

    Parameters
    ----------
    claims : dict of str to GroupClaim
    sent_at : dict of str to float
        When the last sample began, by group.
    now : float
    """
    return {
        group: claim
        for group, claim in claims.items()
        if claim.position is not None
        and now - seconds(claim.position_age_ms)
        >= sent_at.get(group, -math.inf) + SAMPLE_INTERVAL
    }


def sample_times(claims, now):
    """Return when the samples in some claims began, by group."""
    return {
        group: now - seconds(claim.position_age_ms) for group, claim in claims.items()
    }
