"""
Read floors
===========

The floor of a read is the position that the serving instance must have reached.  It
comes from the session's token, or from a sample: the highest position that a majority
of the group's instances reported to a probe begun at a known time.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass

from cardamomdrift.bundle.model import Consistency, Durability
from cardamomdrift.position import ORIGIN, Position

SAMPLE_LIMIT = 512  # samples
SPACING = 0.05  # seconds


@dataclass(frozen=True, slots=True)
class FloorRule:
    """What a read has to see.

    Attributes
    ----------
    since : float or None
        The read needs a sample begun at this time or later; None if it needs none.
    at_least : Position
        Position that it has to see in any case.
    """

    since: float | None
    at_least: Position


@dataclass(frozen=True, slots=True)
class Sample:
    """A floor and the time at which its probe began."""

    begun_at: float
    floor: Position


def make_rule(options, arrived_at, connected_at, written, token_position):
    """Return what a read has to see.

    Parameters
    ----------
    options : RequestOptions
    arrived_at : float
        When the read arrived.
    connected_at : float
        When the session's connection was opened.  Before that the session may have
        written through another daemon.
    written : Position or None
        Position of the last write acknowledged on this connection.
    token_position : Position or None
        Position that the session's token has for the group; None without a token.
    """
    at_least = max(written or ORIGIN, token_position or ORIGIN)
    known = token_position is not None
    if options.max_age is not None:
        since = arrived_at - options.max_age
        return FloorRule(since if known else max(since, connected_at), at_least)
    if known and options.request_class.consistency is Consistency.SESSION:
        return FloorRule(None, at_least)
    return FloorRule(arrived_at, at_least)


def needs_primary(classes):
    """Whether a floor sample must include the primary of the highest term.

    A write acknowledged as ``current_term`` may be on its primary only.
    """
    return any(one.durability is Durability.CURRENT_TERM for one in classes)


def sample_floor(statuses, majority, include_primary):
    """Return the floor that some statuses prove, or None.

    Parameters
    ----------
    statuses : dict of str to InstanceStatus
        Answers to probes begun at or after the sample's time.
    majority : int
    include_primary : bool
        Whether the primary of the highest term must be among the statuses.
    """
    if len(statuses) < majority:
        return None
    highest = max(one.fence_term for one in statuses.values())
    if include_primary and not any(
        one.primary and one.fence_term == highest for one in statuses.values()
    ):
        return None
    return max(one.position for one in statuses.values())


class FloorHistory:
    """Recent samples of one group, oldest first."""

    def __init__(self):
        self._times = []
        self._floors = []

    @property
    def newest(self):
        """When the newest sample was begun; minus infinity before the first."""
        return self._times[-1] if self._times else -math.inf

    @property
    def last(self):
        """The newest sample, or None."""
        if not self._times:
            return None
        return Sample(self._times[-1], self._floors[-1])

    def add(self, sample):
        """Add a sample; one begun before the last one adds nothing."""
        if self._times and sample.begun_at <= self._times[-1]:
            return
        if len(self._times) > 1 and self._times[-1] - self._times[-2] < SPACING:
            # Close together they would push out the old ones, which serve aged reads.
            self._times.pop()
            self._floors.pop()
        self._times.append(sample.begun_at)
        self._floors.append(sample.floor)
        if len(self._times) >= 2 * SAMPLE_LIMIT:
            del self._times[:SAMPLE_LIMIT]
            del self._floors[:SAMPLE_LIMIT]

    def find(self, rule):
        """Return the lowest known floor that suits a rule, or None."""
        if rule.since is None:
            return rule.at_least
        index = bisect_left(self._times, rule.since)
        if index == len(self._times):
            return None
        return max(self._floors[index], rule.at_least)
