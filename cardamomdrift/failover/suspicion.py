"""
Suspicion
=========

Decides when a primary is taken for dead.  What counts is the total time for which the
primary left something unanswered, not the number of failures; any answer ends it.
"""

from dataclasses import dataclass

REFUSED_TIME = 0.4  # seconds of silence that a refused connection needs
SILENT_TIME = 1.0  # seconds, if the replicas have lost the primary too
LONE_TIME = 3.0  # seconds, if only this VM has lost it
PEER_AGE = 1.0  # seconds for which a peer's contact counts
PEER_HOLD = 5.0  # seconds after which peers' contact no longer counts
REPLICA_SILENCE = 0.5  # seconds


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
    if evidence.unanswered < REFUSED_TIME:
        return False
    if evidence.refused and evidence.replicas_silent:
        return True
    age = evidence.peer_contact_age
    if age is not None and age < PEER_AGE and evidence.unanswered < PEER_HOLD:
        return False
    if evidence.replicas_silent:
        return evidence.unanswered >= SILENT_TIME
    return evidence.unanswered >= LONE_TIME


def replicas_silent(statuses, primary_endpoint, majority, threshold=REPLICA_SILENCE):
    """Whether enough replicas answer and none has lately heard from the primary.

    Parameters
    ----------
    statuses : sequence of InstanceStatus
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


class SilenceClock:
    """Measures for how long one instance has left everything unanswered."""

    def __init__(self):
        self._asked_since = None
        self._refused = False

    @property
    def refused(self):
        """Whether the last failure was a refused connection."""
        return self._refused

    def asked(self, now):
        """Note that something was asked."""
        if self._asked_since is None:
            self._asked_since = now

    def answered(self):
        """Note that anything was answered."""
        self._asked_since = None
        self._refused = False

    def failed(self, now, refused):
        """Note that a request or a connection attempt failed."""
        self.asked(now)
        self._refused = refused

    def unanswered(self, now):
        """Return the seconds since the first question without any answer after it."""
        return 0.0 if self._asked_since is None else now - self._asked_since
