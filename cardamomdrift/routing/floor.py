"""
Read floors
===========

The floor of a read is the position that the serving instance must have reached.  It
comes from the session's token, or from a sample: the highest position that a majority
of the group's instances reported to a probe begun at a known time.
"""

from collections import deque
from dataclasses import dataclass

from cardamomdrift.bundle.model import Durability
from cardamomdrift.position import Position

SAMPLE_LIMIT = 64  # samples


@dataclass(frozen=True, slots=True)
class Fresh:
    """The read must see every write acknowledged before it arrived."""


@dataclass(frozen=True, slots=True)
class Aged:
    """The read must see every write acknowledged ``age`` seconds before it arrived."""

    age: float


@dataclass(frozen=True, slots=True)
class AtLeast:
    """The read must see the log up to a position."""

    position: Position


@dataclass(frozen=True, slots=True)
class Sample:
    """A floor and the time at which its probe began."""

    begun_at: float
    floor: Position


def freshness_of(options, token_position):
    """Return what a read has to see.

    Parameters
    ----------
    options : RequestOptions
    token_position : Position or None
        Position that the session's token has for the group; None without a token.
    """
    if token_position is not None:
        return AtLeast(token_position)
    if options.max_age is not None:
        return Aged(options.max_age)
    return Fresh()


def needs_primary(spec, classes):
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
        self._samples = deque(maxlen=SAMPLE_LIMIT)

    def add(self, sample):
        """Add a sample; one begun before the last one adds nothing."""
        if self._samples and sample.begun_at <= self._samples[-1].begun_at:
            return
        self._samples.append(sample)

    def find(self, freshness, arrived_at):
        """Return the lowest known floor that suits a read, or None."""
        match freshness:
            case AtLeast(position):
                return position
            case Aged(age):
                return self._oldest_since(arrived_at - age)
            case Fresh():
                return self._oldest_since(arrived_at)

    def _oldest_since(self, time):
        for sample in self._samples:
            if sample.begun_at >= time:
                return sample.floor
        return None
