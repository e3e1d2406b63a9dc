"""
Floor samples
=============

Positions that the log of a group had reached at known times.  A sample is a floor for
reads that need to see only what had been written when the sample began.
"""

import math
from bisect import bisect_left
from dataclasses import dataclass

from cardamomdrift.position import Position

SAMPLE_LIMIT = 512  # samples; when there are twice as many, the older half is removed
SAMPLE_SPACING = 0.05  # seconds between two samples that are kept


@dataclass(frozen=True, slots=True)
class FloorRule:
    """What a read must see.

    Attributes
    ----------
    since : float or None
        The read needs a sample that began at this time or later; None if it needs none.
    at_least : Position
        Position that it must see in any case.
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
        """When the newest sample began; minus infinity before the first."""
        return self._times[-1] if self._times else -math.inf

    @property
    def newest_sample(self):
        """The newest sample, or None."""
        if not self._times:
            return None
        return Sample(self._times[-1], self._floors[-1])

    def add(self, sample):
        """Add a sample; one that did not begin after the newest is ignored."""
        if self._times and sample.begun_at <= self._times[-1]:
            return
        if len(self._times) > 1 and self._times[-1] - self._times[-2] < SAMPLE_SPACING:
            # Dense samples would push out the old ones, which reads with a max age use.
            self._times.pop()
            self._floors.pop()
        self._times.append(sample.begun_at)
        self._floors.append(sample.floor)
        if len(self._times) >= 2 * SAMPLE_LIMIT:
            del self._times[:SAMPLE_LIMIT]
            del self._floors[:SAMPLE_LIMIT]

    def find(self, rule):
        """Return the lowest known floor that satisfies a rule, or None."""
        if rule.since is None:
            return rule.at_least
        sample = self.find_sample(rule.since)
        return None if sample is None else max(sample.floor, rule.at_least)

    def find_sample(self, since):
        """Return the first Sample that began at a time or later, or None."""
        index = bisect_left(self._times, since)
        if index == len(self._times):
            return None
        return Sample(self._times[index], self._floors[index])

    def time_of(self, position):
        """Return when the primary reached a position, interpolated between samples.

        Parameters
        ----------
        position : Position

        Returns
        -------
        float or None
            The latest possible time where only one sample of the term tells it;
            infinity for a position above all samples; None if the newest one is of
            another term.
        """
        if not self._floors or self._floors[-1].term != position.term:
            return None
        index = bisect_left(self._floors, position)
        if index == len(self._floors):
            return math.inf
        upper, upper_time = self._floors[index], self._times[index]
        if index == 0 or self._floors[index - 1].term != position.term:
            return upper_time
        lower, lower_time = self._floors[index - 1], self._times[index - 1]
        part = (position.sequence - lower.sequence) / (upper.sequence - lower.sequence)
        return lower_time + part * (upper_time - lower_time)

    def samples_since(self, since, position=None):
        """Return the Samples that began at a time or later, oldest first.

        Parameters
        ----------
        since : float
        position : Position, optional
            Earlier samples are included from which `time_of` tells the times of this
            position and of all later ones.
        """
        index = bisect_left(self._times, since)
        if position is not None:
            index = min(index, max(bisect_left(self._floors, position) - 1, 0))
        return list(map(Sample, self._times[index:], self._floors[index:]))
