"""
Instance choice
===============

Picks the instance that serves a read: the one that is expected to answer first among
those that have reached the floor, waiting for a replica only as long as that is
expected to beat the primary.
"""

from dataclasses import dataclass

from cardamomdrift.position import Position

SAME_DOMAIN_BONUS = 0.001  # seconds
PRIMARY_PENALTY = (
    0.002  # seconds; leaves the primary to writes while replicas are as good
)
UNKNOWN_CATCH_UP_TIME = 60.0  # seconds


@dataclass(slots=True)
class ReadCandidate:
    """An instance that may serve a read.

    Attributes
    ----------
    name : str
    position : Position
        Position that it has reached, at least.
    rate : float
        Entries per second that it gains.
    primary : bool
    same_domain : bool
    in_flight : int
        Requests of this daemon that it is running.
    limit : int
        Requests of this daemon that it may run at once.
    service_time : float
        Expected seconds for this statement once it runs.
    long_allowed : bool
        Whether a long statement may go there now.
    penalty : float
        Seconds that the statement is expected to lose behind long ones.
    """

    name: str
    position: Position
    rate: float
    primary: bool
    same_domain: bool
    in_flight: int
    limit: int
    service_time: float
    long_allowed: bool = True
    penalty: float = 0.0


@dataclass(frozen=True, slots=True)
class Serve:
    """Send the read to an instance that has reached the floor."""

    name: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an instance for its position, which may have reached the floor."""

    name: str


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """All instances that could serve the read are full."""


def catch_up_time(candidate, floor):
    """Return the seconds until an instance is expected to reach the floor."""
    if candidate.position >= floor:
        return 0.0
    if candidate.position.term < floor.term or candidate.rate <= 0:
        return UNKNOWN_CATCH_UP_TIME
    return (floor.sequence - candidate.position.sequence) / candidate.rate


def expected_time(candidate, floor):
    """Return the seconds until an instance is expected to have answered."""
    queue = candidate.in_flight / max(candidate.limit, 1)
    time = catch_up_time(candidate, floor) + candidate.service_time * (1 + queue)
    time += candidate.penalty
    if candidate.primary:
        time += PRIMARY_PENALTY
    if candidate.same_domain:
        time -= SAME_DOMAIN_BONUS
    return time


def choose_instance(candidates, floor, long):
    """Return where a read goes.

    Parameters
    ----------
    candidates : list of Candidate
        Instances with a working connection or the hope of one.
    floor : Position
    long : bool
        Whether the statement is expected to run long.

    Returns
    -------
    Serve or Probe or Hold
    """
    available = [
        candidate for candidate in candidates if candidate.in_flight < candidate.limit
    ]
    if long:
        available = [candidate for candidate in available if candidate.long_allowed]
    if not available:
        return NoneAvailable()
    best = min(available, key=lambda candidate: expected_time(candidate, floor))
    if best.position >= floor or best.primary:
        return Serve(best.name)
    return Probe(best.name)
