"""
Replacement
===========

Decides when a group's primary is replaced, and when the platform may be called, for the
groups whose primary the platform promotes.  `failover.succession` decides which
instance takes over.  All functions here are pure.
"""

from dataclasses import dataclass
from enum import Enum, auto

from cardamomdrift.failover.permission import PERMISSION_VALIDITY
from cardamomdrift.peers.contacts import (
    CONTACT_AGE_LIMIT,
    CUT_OFF_SILENCE,
    LIVENESS_TIMEOUT,
)

REFUSED_TIMEOUT = 0.15  # seconds; a connection that was reset is reopened in 30 ms
UNANSWERED_TIMEOUT = 0.5  # seconds; two pings without an answer
# Seconds, if other daemons reach the primary.  Callers wait 1.2 s for an answer.
PARTIAL_PARTITION_TIMEOUT = 1.0
# Seconds without an entry in the list of instances.  An entry that has lapsed in an
# outage of the store is back 2 s after the outage.
MISSING_TIMEOUT = 2.5
MAX_REPLICA_ANSWER_AGE = 1.0  # seconds within which a replica must have answered
# Seconds without an answer to this daemon below which only reports of others can be a
# reason to replace a primary that is listed.
MIN_SILENCE = min(REFUSED_TIMEOUT, UNANSWERED_TIMEOUT, CUT_OFF_SILENCE)
MIN_PRIMARY_AGE = 2.0  # seconds before a new primary may be replaced in turn
# Seconds for each daemon ranked higher; the time of one commit to the store.
RANK_DELAY = 0.15
INTENT_LIFETIME = 3.0  # seconds within which a replacement may call the platform
CLOCK_MARGIN = 0.3  # seconds by which clocks and timers may differ
RELEASE_MARGIN = 0.05  # seconds to wait after permissions have expired
# Seconds that a planned replacement waits for the last commits of the old primary.
CATCH_UP_TIMEOUT = 0.4


class Reason(Enum):
    """Why a primary is replaced."""

    LEAVING = auto()
    MISSING = auto()
    UNREACHABLE = auto()


@dataclass(frozen=True, slots=True)
class PrimaryEvidence:
    """Observations of a settled primary; times are in seconds.

    Attributes
    ----------
    listed : bool
        Whether the primary is in the list of instances.
    missing_for : float
        How long it has been missing from the list; outages of the store do not count.
    draining : bool
    unanswered : float
        How long it has answered none of this daemon's requests.
    refused : bool
        Whether its last failure was a refused connection.
    replica_age : float or None
        Time since another instance of the group last answered this daemon.
    peer_contact_age : float or None
        Time since it last answered another daemon.
    peer_silence : float
        Longest time for which it has answered none of another daemon's requests.
    cut_off : int
        Daemons that it does not answer, this one included.
    reaching : int
        Daemons that it has answered lately, this one included.
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
    cut_off: int
    reaching: int
    settled_for: float


def reason_to_replace(evidence):
    """Return the Reason to replace a primary, or None if there is none."""
    if not evidence.listed:
        return Reason.MISSING if evidence.missing_for >= MISSING_TIMEOUT else None
    if evidence.draining:
        return Reason.LEAVING
    if evidence.replica_age is None or evidence.replica_age > MAX_REPLICA_ANSWER_AGE:
        # A daemon that reaches no instance at all may itself be partitioned.
        return None
    if evidence.settled_for < MIN_PRIMARY_AGE:
        return None
    return Reason.UNREACHABLE if is_unreachable(evidence) else None


def is_unreachable(evidence):
    """Whether a primary has left requests unanswered for too long.

    If it answered another daemon lately, the partition is partial: the longer limit
    applies, and more daemons must be cut off from it than reach it.  A few that are cut
    off use it through the others (see `routing.detour`); a replacement would stop the
    writes of all, and might lose commits, because the network of one daemon is slow.
    """
    age = evidence.peer_contact_age
    if age is not None and age <= CONTACT_AGE_LIMIT:
        longest = max(evidence.unanswered, evidence.peer_silence)
        mostly_cut_off = evidence.cut_off > evidence.reaching
        return mostly_cut_off and longest >= PARTIAL_PARTITION_TIMEOUT
    if evidence.refused:
        return evidence.unanswered >= REFUSED_TIMEOUT
    return evidence.unanswered >= UNANSWERED_TIMEOUT


def needs_evidence(listed, draining, unanswered, reported_ago):
    """Whether there may be a reason to replace a settled primary.

    This check comes before the claims of all daemons are read, several times a second
    for each group.  Where it is false, `reason_to_replace` finds no reason.

    Parameters
    ----------
    listed, draining : bool
    unanswered : float
        Seconds for which the primary has answered none of this daemon's requests.
    reported_ago : float
        Seconds since another daemon last reported that the primary cuts it off.
    """
    if not listed or draining or unanswered >= MIN_SILENCE:
        return True
    return reported_ago <= LIVENESS_TIMEOUT


@dataclass(frozen=True, slots=True)
class Intent:
    """Replacement that is committed to the store.

    Attributes
    ----------
    generation : int
    token : int
        Fencing token of the daemon that carries it out.
    begun_at : float
        When the commit was sent, in seconds of this VM's boot clock.
    committed_at : float
        When the commit was answered, by the same clock.
    called : tuple of str or None
        Instances that unfinished replacements before it may have had promoted; None if
        it is not known.
    """

    generation: int
    token: int
    begun_at: float
    committed_at: float
    called: tuple | None = None


def may_call_platform(intent, now, call_timeout):
    """Whether a call of the platform ends before another daemon may take over.

    Parameters
    ----------
    intent : Intent
    now : float
        Boot clock.
    call_timeout : float
        Longest time of the call, in seconds.
    """
    return now + call_timeout < intent.begun_at + INTENT_LIFETIME


def is_released(intent, released_generations, all_counted, quorum_at, now):
    """Whether no other daemon uses the old primary any more.

    Either all have released it, or their permissions have expired after a quorum of the
    voters has acknowledged the replacement (see `failover.voters`).

    Parameters
    ----------
    intent : Intent
    released_generations : dict of str to int
        Generation that each other daemon has released, by name.
    all_counted : bool
        Whether no daemon that is missing there can have a permission.
    quorum_at : float or None
        When the quorum was first seen; None before.
    now : float
        Boot clock.
    """
    if all_counted and all(
        released >= intent.generation for released in released_generations.values()
    ):
        return True
    if quorum_at is None:
        return False
    since = max(intent.committed_at, quorum_at)
    return now >= since + PERMISSION_VALIDITY + RELEASE_MARGIN


def takeover_at(seen_at):
    """Return when another daemon's unfinished replacement may be superseded.

    Parameters
    ----------
    seen_at : float
        When this daemon learned of it, in seconds of the boot clock.
    """
    return seen_at + INTENT_LIFETIME + CLOCK_MARGIN
