"""
Proofs from statuses
====================

What a set of statuses proves: a floor for reads, or that a write may be acknowledged.
Only statuses whose probe began at or after the time of the question count.
"""

from dataclasses import dataclass

from cardamomdrift.bundle.model import Durability
from cardamomdrift.position import Position
from cardamomdrift.routing.floor import sample_floor


@dataclass(frozen=True, slots=True)
class Pending:
    """The statuses prove nothing yet."""


@dataclass(frozen=True, slots=True)
class FloorProven:
    """The read may be served by any instance that has reached the floor."""

    floor: Position


@dataclass(frozen=True, slots=True)
class WriteProven:
    """The write may be acknowledged.

    Attributes
    ----------
    position : Position
        Position that includes the write.
    """

    position: Position


@dataclass(frozen=True, slots=True)
class Replaced:
    """The primary was replaced, so the write may be lost.

    Attributes
    ----------
    term : int
        Highest term seen.
    """

    term: int


@dataclass(frozen=True, slots=True)
class FloorQuestion:
    """Asks for the floor of a read.

    Attributes
    ----------
    since : float
        Time at or after which the probes must have begun, in seconds of the loop's
        clock.
    majority : int
        Number of instances that is a majority of the group.
    include_primary : bool
        Whether the statuses must include the primary of the highest term.
    """

    since: float
    majority: int
    include_primary: bool


@dataclass(slots=True)
class WriteQuestion:
    """Asks whether a committed write may be acknowledged.

    Attributes
    ----------
    since : float
        When the commit was answered, or later.
    majority : int
    primary : str
    term : int
        Term in which the primary committed the write.
    durability : Durability
    position : Position or None
        Position that includes the write; None until the primary has reported one.
    """

    since: float
    majority: int
    primary: str
    term: int
    durability: Durability
    position: Position | None = None


def answer_floor(question, statuses):
    """Return FloorProven or Pending."""
    floor = sample_floor(statuses, question.majority, question.include_primary)
    return Pending() if floor is None else FloorProven(floor)


def answer_write(question, statuses):
    """Return WriteProven, Replaced or Pending.

    The status of the primary gives a position that includes the write.  A majority of
    the instances, the primary included, must have answered probes begun after the
    commit, and none with a higher term.  For ``replicated``, the instances of the
    majority must also have reached that position.
    """
    highest_term = max((status.fence_term for status in statuses.values()), default=0)
    if highest_term > question.term:
        return Replaced(highest_term)
    primary_status = statuses.get(question.primary)
    if primary_status is not None and question.position is None:
        if not primary_status.primary:
            return Replaced(primary_status.fence_term)
        question.position = primary_status.position
    if question.position is None:
        return Pending()
    others = [status for name, status in statuses.items() if name != question.primary]
    if question.durability is Durability.REPLICATED:
        others = [status for status in others if status.position >= question.position]
    if len(others) < question.majority - 1:
        return Pending()
    return WriteProven(question.position)


def answer_question(question, statuses):
    """Return what the statuses prove for a question.

    Parameters
    ----------
    question : FloorQuestion or WriteQuestion
    statuses : dict of str to FencedInstanceStatus
        Statuses whose probes began at or after the question's time.
    """
    match question:
        case FloorQuestion():
            return answer_floor(question, statuses)
        case WriteQuestion():
            return answer_write(question, statuses)


def instances_to_probe(question, statuses, names):
    """Return the instances whose next status may decide the question."""
    match question:
        case FloorQuestion():
            return [name for name in names if name not in statuses]
        case WriteQuestion():
            if question.position is None and question.primary not in statuses:
                return list(names)
            return [name for name in names if name != question.primary]
