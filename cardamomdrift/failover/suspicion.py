"""
Suspicion
=========

Decides when a primary is taken for dead.  What counts is the total time for which the
primary left something unanswered, not the number of failures; any answer ends it.
"""

from dataclasses import dataclass

REFUSED_TIMEOUT = 0.4  # seconds of silence that a refused connection needs
UNANSWERED_TIMEOUT = 1.0  # seconds, if the replicas have lost the primary too
PARTIAL_PARTITION_TIMEOUT = 3.0  # seconds, if only this VM has lost it
MAX_PEER_CONTACT_AGE = 1.0  # seconds for which a peer's contact counts
PEER_CONTACT_TIMEOUT = 5.0  # seconds after which peers' contact no longer counts
REPLICA_SILENCE_THRESHOLD = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known about a primary; times are in seconds.

    Attributes
    ----------
    unanswered : float
        How long the primary has left everything unanswered.
    refused : bool
        Whether its last connection attempt was refused at once.
    replicas_silent : bool
        Whether a majority of the group's other instances answer and have lost it.
    peer_contact_age : float or None
        Time since a peer last had an answer from it.
    """

    unanswered: float
    refused: bool
    replicas_silent: bool
    peer_contact_age: float | None


def is_dead(evidence):
    """Whether the primary is to be replaced."""
    if evidence.unanswered < REFUSED_TIMEOUT:
        return False
    if evidence.refused and evidence.replicas_silent:
        return True
    age = evidence.peer_contact_age
    if (
        age is not None
        and age < MAX_PEER_CONTACT_AGE
        and evidence.unanswered < PEER_CONTACT_TIMEOUT
    ):
        return False
    if evidence.replicas_silent:
        return evidence.unanswered >= UNANSWERED_TIMEOUT
    return evidence.unanswered >= PARTIAL_PARTITION_TIMEOUT


def replicas_silent(
    statuses, primary_endpoint, majority, threshold=REPLICA_SILENCE_THRESHOLD
):
    """Whether enough replicas answer and none has lately heard from the primary.

    Parameters
    ----------
    statuses : sequence of FencedInstanceStatus
        Recent statuses of the instances besides the primary.
    primary_endpoint : str
    majority : int
        Instances that make a majority of the group.
    threshold : float
        Seconds without word from the primary.
    """
    if len(statuses) < majority:
        return False
    return all(
        one.source != primary_endpoint or one.source_silence >= threshold
        for one in statuses
    )


class SilenceTimer:
    """Measures for how long one instance has left everything unanswered."""

    def __init__(self):
        self._unanswered_since = None
        self._refused = False

    @property
    def refused(self):
        """Whether the last failure was a refused connection."""
        return self._refused

    def record_request(self, now):
        """Note that something was asked."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_answer(self):
        """Note that anything was answered."""
        self._unanswered_since = None
        self._refused = False

    def record_failure(self, now, refused):
        """Note that a request or a connection attempt failed."""
        self.record_request(now)
        self._refused = refused

    def unanswered(self, now):
        """Return the seconds since the first question without any answer after it."""
        return 0.0 if self._unanswered_since is None else now - self._unanswered_since
