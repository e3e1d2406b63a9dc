"""
Read floors
===========

The floor of a read is the position that the serving instance must have reached.  It
comes from the session's token, or from a sample: the highest position that any of a
majority of the group's instances reported to probes begun at a known time or later.
"""

from cardamomdrift.bundle.model import Consistency, Durability
from cardamomdrift.position import ORIGIN
from cardamomdrift.routing.samples import FloorRule


def make_floor_rule(options, arrived_at, connected_at, last_write, token_position):
    """Return the FloorRule of a read.

    Parameters
    ----------
    options : RequestOptions
    arrived_at : float
        When the read arrived.
    connected_at : float
        When the session's connection was opened.  Before that the session may have
        written through another daemon.
    last_write : Position or None
        Position of the last write acknowledged on this connection.
    token_position : Position or None
        Position that the session's token has for the group; None without a token.
    """
    at_least = max(last_write or ORIGIN, token_position or ORIGIN)
    has_token = token_position is not None
    if options.max_age is not None:
        since = arrived_at - options.max_age
        return FloorRule(since if has_token else max(since, connected_at), at_least)
    if has_token and options.request_class.consistency is Consistency.SESSION:
        return FloorRule(None, at_least)
    return FloorRule(arrived_at, at_least)


def needs_primary(classes):
    """Return whether a floor sample must include the primary of the highest term.

    A write acknowledged as ``current_term`` may be on its primary only.
    """
    return any(
        request_class.durability is Durability.CURRENT_TERM for request_class in classes
    )


def sample_floor(statuses, majority, include_primary):
    """Return the floor that the statuses prove; None if they do not suffice.

    Parameters
    ----------
    statuses : dict of str to FencedInstanceStatus
        Answers to probes begun at or after the sample's time.
    majority : int
    include_primary : bool
        Whether the primary of the highest term must be among the statuses.
    """
    if len(statuses) < majority:
        return None
    highest = max(status.fence_term for status in statuses.values())
    if include_primary and not any(
        status.primary and status.fence_term == highest for status in statuses.values()
    ):
        return None
    return max(status.position for status in statuses.values())
