"""
Floor samples
=============

What was learned of the primary's log, and when: a sample is a floor for the reads that
need to see no more than what had been written when it was begun.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass

from cardamomdrift.position import Position

SAMPLE_LIMIT = 512  # samples
SAMPLE_SPACING = 0.05  # seconds


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


class FloorHistory:
    """Recent samples of one group, oldest first."""

    def __init__(self):
        self._times = []
        self._floors = []

    @property
    def newest_begun_at(self):
        """When the newest sample was begun; minus infinity before the first."""
        return self._times[-1] if self._times else -math.inf

    @property
    def newest_sample(self):
        """The newest sample, or None."""
        if not self._times:
            return None
        return Sample(self._times[-1], self._floors[-1])

    def add(self, sample):
        """Add a sample; one begun before the last one adds nothing."""
        if self._times and sample.begun_at <= self._times[-1]:
            return
        if len(self._times) > 1 and self._times[-1] - self._times[-2] < SAMPLE_SPACING:
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
