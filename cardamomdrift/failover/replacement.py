"""
Replacement
===========

Decides when a group's primary is to be replaced, which instance takes over, and when
the platform may be told.  Everything here is pure.
"""

from dataclasses import dataclass
from enum import Enum, auto

from cardamomdrift.failover.permission import (
    ACKNOWLEDGEMENTS_NEEDED,
    PERMISSION_VALIDITY,
)
from cardamomdrift.peers.contacts import CONTACT_AGE_LIMIT

REFUSED_TIMEOUT = 0.15  # seconds; a connection that was reset is opened anew in 30 ms
UNANSWERED_TIMEOUT = 0.5  # seconds; two pings that find no answer
PARTIAL_PARTITION_TIMEOUT = (
    1.0  # seconds, if other daemons reach the primary; callers wait 1.2 s
)
MISSING_TIMEOUT = (
    2.5  # seconds; a lapsed entry is back 2 s after an outage of the store
)
MAX_REPLICA_ANSWER_AGE = 1.0  # seconds within which a replica must have answered
MIN_PRIMARY_AGE = 2.0  # seconds before a new primary may be replaced in turn
RANK_DELAY = 0.15  # seconds for each daemon that comes first; one change of the store
INTENT_LIFETIME = 3.0  # seconds within which a replacement may call the platform
CLOCK_MARGIN = 0.3  # seconds that clocks and timers may differ by
RELEASE_MARGIN = 0.05  # seconds after the time of permission
CATCH_UP_TIMEOUT = 0.4  # seconds that a planned replacement waits for the last commits


class Reason(Enum):
    """Why a primary is replaced."""

    LEAVING = auto()
    MISSING = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class PrimaryEvidence:
    """What is known of a settled primary; times are in seconds.

    Attributes
    ----------
    listed : bool
        Whether the list of instances has it.
    missing_for : float
        How long the list, read without trouble, has lacked it.
    draining : bool
    unanswered : float
        How long it has left everything of this daemon unanswered.
    refused : bool
        Whether nothing listens at its address.
    replica_age : float or None
        Time since another instance of the group answered this daemon.
    peer_contact_age : float or None
        Time since it answered another daemon.
    peer_silence : float
        Longest time for which it has answered another daemon nothing.
    settled_for : float
        Time since it became the primary.
    """

    listed: bool
    missing_for: float
    draining: bool
    unanswered: float
    refused: bool
    replica_age: float | None
    peer_contact_age: float | None
    peer_silence: float
    settled_for: float


def reason_to_replace(evidence):
    """Return the Reason to replace a primary, or None."""
    if not evidence.listed:
        return Reason.MISSING if evidence.missing_for >= MISSING_TIMEOUT else None
    if evidence.draining:
        return Reason.LEAVING
    if evidence.replica_age is None or evidence.replica_age > MAX_REPLICA_ANSWER_AGE:
        # Whoever reaches no instance may be cut off itself.
        return None
    if evidence.settled_for < MIN_PRIMARY_AGE:
        return None
    return Reason.UNREACHABLE if is_unreachable(evidence) else None


def is_unreachable(evidence):
    """Whether a primary has left callers unanswered for too long."""
    age = evidence.peer_contact_age
    if age is not None and age <= CONTACT_AGE_LIMIT:
        return (
            max(evidence.unanswered, evidence.peer_silence) >= PARTIAL_PARTITION_TIMEOUT
        )
    if evidence.refused:
        return evidence.unanswered >= REFUSED_TIMEOUT
    return evidence.unanswered >= UNANSWERED_TIMEOUT


@dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that could take over.

    Attributes
    ----------
    name : str
    received : Position
        Last entry that it has received.
    draining : bool
    term : int
        Term that it follows.
    """

    name: str
    received: object
    draining: bool
    term: int = 0


def answers_needed(replicas, synchronous):
    """Return how many replicas must be asked so that no acknowledged commit is missed.

    Parameters
    ----------
    replicas : int
        Instances of the group besides the old primary.
    synchronous : int
        Replicas that have received a commit before it is acknowledged.
    """
    return max(1, replicas - synchronous + 1) if synchronous else 1


def choose_candidate(candidates, needed):
    """Return the name of the instance that is to lead, or None.

    Parameters
    ----------
    candidates : list of Candidate
        Those that answered.
    needed : int
        See `answers_needed`.
    """
    if len(candidates) < needed:
        return None
    not_draining = [one for one in candidates if not one.draining]
    newest_received = max((one.received for one in candidates), default=None)
    most_advanced = (
        [one for one in not_draining if one.received == newest_received]
        or not_draining
        or candidates
    )
    return max(most_advanced, key=lambda one: (one.received, one.name)).name


@dataclass(frozen=True, slots=True)
class Intent:
    """A replacement as the store holds it.

    Attributes
    ----------
    generation : int
    token : int
    begun_at : float
        When the change of the store was sent, by this VM's boot clock.
    committed_at : float
        When its answer came.
    """

    generation: int
    token: int
    begun_at: float
    committed_at: float


def may_call_platform(intent, now, call_timeout):
    """Whether a call to the platform ends before another daemon may take over."""
    return now + call_timeout < intent.begun_at + INTENT_LIFETIME


def has_quorum(acknowledged, others):
    """Whether enough daemons know of a replacement that no other relies on them.

    Parameters
    ----------
    acknowledged : int
        Other daemons that know of it and that all the rest count.
    others : int
        Other daemons altogether.
    """
    return acknowledged >= min(ACKNOWLEDGEMENTS_NEEDED, others)


def is_released(intent, released_generations, quorum_at, now):
    """Whether nobody uses the old primary any more.

    Parameters
    ----------
    intent : Intent
    others : dict of str to int
        Generation that each other daemon has released, by name.
    quorum_at : float or None
        Since when enough daemons have known of the replacement.
    now : float
        Boot clock.
    """
    if all(released >= intent.generation for released in released_generations.values()):
        return True
    if quorum_at is None:
        return False
    since = max(intent.committed_at, quorum_at)
    return now >= since + PERMISSION_VALIDITY + RELEASE_MARGIN


def takeover_at(seen_at):
    """Return when another daemon's unfinished replacement may be superseded."""
    return seen_at + INTENT_LIFETIME + CLOCK_MARGIN
