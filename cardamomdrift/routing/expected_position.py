"""
Expected position
=================

Estimates when a replica reaches a floor.  Its last answer and the samples of the
primary show by how many seconds it lagged then.  It is expected to lag by as much now,
or to have stopped if that was long.
"""

import math
from dataclasses import dataclass, replace

from cardamomdrift.position import Position

# Seconds.  A sample has the time at which its request began, and the primary reached
# the position later, up to about the time of a statement.
SAMPLE_TIME_ERROR = 0.05
# Seconds, the longest lag of replicas whose apply is not delayed (8 to 150 ms).
USUAL_LAG = 0.15
LONG_LAG = 0.5  # seconds beyond which the apply is probably delayed
# Seconds for which a long lag counts at least.  With 2 s each daemon asked a replica
# whose apply was delayed for 6 s twice or three times.
MIN_LAG_TIME = 5.0


@dataclass(frozen=True, slots=True)
class PositionAnswer:
    """Position that an instance had reached when it answered.

    Attributes
    ----------
    position : Position
    at : float
        When the answer came, by the clock of the samples.
    begun_at : float or None
        When its request was sent; None if that is not known.
    """

    position: Position
    at: float
    begun_at: float | None = None


def shown_lag(answer, history):
    """Return the seconds by which an answer lagged behind the primary.

    This is how long the primary had had the next entry; 0 if it had none as far as
    known.  A position from before the first sample shows how long the lag is at least.

    Parameters
    ----------
    answer : PositionAnswer
    history : FloorHistory
        Samples of the primary.

    Returns
    -------
    float or None
        None if there is no sample, or the newest one is of another term.
    """
    position = answer.position
    next_entry = Position(position.term, position.sequence + 1)
    written_at = history.time_of(next_entry)
    return None if written_at is None else max(answer.at - written_at, 0.0)


def shows_delay(answer, history, now):
    """Whether a replica is expected to apply nothing at present.

    A long lag is expected to last for as long again, at least for `MIN_LAG_TIME`.
    After that the replica is asked again although nothing was heard of it.

    Parameters
    ----------
    answer : PositionAnswer
    history : FloorHistory
    now : float
    """
    if answer.begun_at is not None:
        # The time that the request took is no lag.  Otherwise one late answer under
        # load would send the reads of the whole group to the primary.
        answer = replace(answer, at=answer.begun_at)
    lag = shown_lag(answer, history)
    return (
        lag is not None and lag > LONG_LAG and now - answer.at <= max(lag, MIN_LAG_TIME)
    )


def expected_catch_up_time(answer, floor, history, now, delayed):
    """Return the expected seconds until a replica reaches a floor.

    Parameters
    ----------
    answer : PositionAnswer or None
        Last answer of the replica.
    floor : Position
    history : FloorHistory
    now : float
    delayed : bool
        Whether this or another replica of the group shows a delay.  They are often
        delayed together, so this one is then expected to have applied nothing since its
        answer.

    Returns
    -------
    float or None
        None if the lag of the replica is not known.
    """
    lag = None if answer is None else shown_lag(answer, history)
    reached_at = history.time_of(floor)
    if lag is None or reached_at is None:
        return None
    if delayed:
        lag += now - answer.at
    elif lag > LONG_LAG:
        lag = USUAL_LAG
    # The primary has reached a floor above all samples by now at the latest.
    reached_at = now if reached_at == math.inf else reached_at
    return max(reached_at + SAMPLE_TIME_ERROR + lag - now, 0.0)
