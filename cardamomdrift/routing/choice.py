"""
Instance choice
===============

Chooses the instance that serves a read: the one that is expected to answer first.  A
replica below the floor is chosen only if it is expected to catch up and answer before
the primary would.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from cardamomdrift.position import Position

SAME_DOMAIN_BONUS = 0.001  # seconds
# Seconds; keeps the primary for writes while replicas are as fast.
PRIMARY_PENALTY = 0.002
# Seconds; asking for a loan and using it cross failure domains four times.
LOAN_TIME = 0.005
# Seconds, more than a loan or a new connection to a replica costs, so that neither
# keeps reads at a primary that is the busiest instance of its group.
BUSIEST_PENALTY = 0.02
HANDSHAKE_TIME = 0.012  # seconds for which a new connection occupies a slot
UNKNOWN_CATCH_UP_TIME = 60.0  # seconds
# Seconds of a difference in expected time that make a draw e times less probable; a
# statement takes about twice as long.
DRAW_SCALE = 0.01


@dataclass(slots=True)
class ReadCandidate:
    """An instance that may serve a read.

    Attributes
    ----------
    name : str
    position : Position
        Lower bound of the position that it has reached.
    rate : float
        Entries per second by which its position advances.
    primary : bool
    same_domain : bool
    in_flight : int
        Requests of this daemon that run there.
    limit : int
        Requests of this daemon that may run there at once.
    service_time : float
        Expected seconds for this statement once it runs.
    long_allowed : bool
        Whether a long statement may go there now.
    penalty : float
        Expected seconds of delay behind long statements, or because the instance fails
        statements.
    borrowed : bool
        Whether this daemon has to borrow a connection to it.
    unconnected : bool
        Whether this daemon has to open a connection of the customer to it.
    catch_up : float or None
        Expected seconds until it reaches the floor, by the lag of its last answer; None
        if the lag is not known.
    busiest : bool
        Whether it is the primary and has more to do than the replicas.
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
    borrowed: bool = False
    unconnected: bool = False
    catch_up: float | None = None
    busiest: bool = False


@dataclass(frozen=True, slots=True)
class Serve:
    """Send the read to an instance that has reached the floor, or to the primary."""

    name: str


@dataclass(frozen=True, slots=True)
class Probe:
    """Send the read to a replica whose last known position is below the floor.

    The replica may have reached the floor since; this must be verified before it
    serves the read.
    """

    name: str


@dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No instance that may serve the read has room."""


def catch_up_time(candidate, floor):
    """Return the seconds until an instance is expected to reach the floor."""
    if candidate.position >= floor:
        return 0.0
    if candidate.catch_up is not None:
        return candidate.catch_up
    if candidate.position.term < floor.term or candidate.rate <= 0:
        return UNKNOWN_CATCH_UP_TIME
    return (floor.sequence - candidate.position.sequence) / candidate.rate


class TimeParts(NamedTuple):
    """Parts of the expected time until the answer of an instance, in seconds."""

    catch_up: float
    service: float
    penalty: float
    primary: float
    connection: float
    domain: float


def time_parts(candidate, floor):
    """Return the TimeParts of an instance."""
    utilization = candidate.in_flight / max(candidate.limit, 1)
    primary = PRIMARY_PENALTY + BUSIEST_PENALTY * candidate.busiest
    connection = HANDSHAKE_TIME if candidate.unconnected else 0.0
    return TimeParts(
        catch_up_time(candidate, floor),
        candidate.service_time * (1 + utilization),
        candidate.penalty,
        primary if candidate.primary else 0.0,
        LOAN_TIME if candidate.borrowed else connection,
        -SAME_DOMAIN_BONUS if candidate.same_domain else 0.0,
    )


def expected_time(candidate, floor):
    """Return the expected seconds until the answer of an instance."""
    return sum(time_parts(candidate, floor))


def draw_two(candidates, floor, source):
    """Draw two candidates at random, the cheap ones more often.

    Load pattern: many daemons see the same instance as the best one at once, and send
    all their reads to it.

    Parameters
    ----------
    candidates : list of ReadCandidate
    floor : Position
    source : random.Random
    """
    times = [expected_time(candidate, floor) for candidate in candidates]
    least = min(times)
    # With u uniform in (0, 1], the two greatest log(u) / weight are a weighted draw.
    keys = [
        math.log(1.0 - source.random()) * math.exp(min((time - least) / DRAW_SCALE, 99))
        for time in times
    ]
    ranked = sorted(range(len(keys)), key=keys.__getitem__, reverse=True)
    return [candidates[index] for index in ranked[:2]]


def choose_instance(candidates, floor, long, source=None):
    """Choose the instance that serves a read.

    Parameters
    ----------
    candidates : list of ReadCandidate
        Usable instances that may serve the read.
    floor : Position
    long : bool
        Whether the statement is expected to run long.
    source : random.Random, optional
        Draws two candidates, of which the better one is chosen.  Without it the best of
        all is; the first one of equals.

    Returns
    -------
    Serve or Probe or NoneAvailable
    """
    available = [
        candidate for candidate in candidates if candidate.in_flight < candidate.limit
    ]
    if long:
        available = [candidate for candidate in available if candidate.long_allowed]
    if not available:
        return NoneAvailable()
    if source is not None:
        available = draw_two(available, floor, source)
    best = min(available, key=lambda candidate: expected_time(candidate, floor))
    if best.position >= floor or best.primary:
        return Serve(best.name)
    return Probe(best.name)
