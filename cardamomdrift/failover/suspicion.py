"""
Suspicion
=========

Failure detector for primaries.  It measures the time for which a primary has answered
nothing, not the number of failures; any answer resets the time.

`is_dead` and its limits apply to the groups of MySQL instances; `failover.replacement`
has those for the groups whose primary the platform promotes.  Both use `SilenceTimer`.
"""

from dataclasses import dataclass

# Seconds without an answer, if a connection was refused and the replicas have lost the
# primary too.  After a shorter time, a primary is never considered dead.
REFUSED_TIMEOUT = 0.4
UNANSWERED_TIMEOUT = 1.0  # seconds, if the replicas have lost the primary too
PARTIAL_PARTITION_TIMEOUT = 3.0  # seconds, if only this VM has lost it
# Seconds for which an answer of the primary to a peer is evidence that it runs.
MAX_PEER_CONTACT_AGE = 1.0
# Seconds without an answer after which contacts of peers are no longer considered.
PEER_CONTACT_TIMEOUT = 5.0
REPLICA_SILENCE_THRESHOLD = 0.5  # seconds without data from the primary


@dataclass(frozen=True, slots=True)
class Evidence:
    """Observations of a primary; times are in seconds.

    Attributes
    ----------
    unanswered : float
        How long the primary has answered none of this VM's requests.
    refused : bool
        Whether its last failure was a refused connection.
    replicas_silent : bool
        Whether the other instances that answer are a majority of the group, and none
        of them hears from the primary.
    peer_contact_age : float or None
        Time since it last answered a peer.
    """

    unanswered: float
    refused: bool
    replicas_silent: bool
    peer_contact_age: float | None


def is_dead(evidence):
    """Whether the evidence suffices to replace the primary."""
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
    """Whether a majority answers and none has heard from the primary lately.

    Parameters
    ----------
    statuses : sequence of FencedInstanceStatus
        Recent statuses of the other instances.
    primary_endpoint : str
    majority : int
        Number of instances that is a majority of the group.
    threshold : float
        Seconds without data from the primary.
    """
    if len(statuses) < majority:
        return False
    return all(
        status.source != primary_endpoint or status.source_silence >= threshold
        for status in statuses
    )


class SilenceTimer:
    """Measures for how long one instance has answered nothing."""

    def __init__(self):
        self._unanswered_since = None
        self._refused = False

    @property
    def refused(self):
        """Whether the last failure was a refused connection."""
        return self._refused

    def record_request(self, now):
        """Start the timer with a request, unless it is running."""
        if self._unanswered_since is None:
            self._unanswered_since = now

    def record_answer(self):
        """Reset the timer, since the instance answered a request."""
        self._unanswered_since = None
        self._refused = False

    def record_failure(self, now, refused):
        """Record a failed request or connection attempt."""
        self.record_request(now)
        self._refused = refused

    def unanswered(self, now):
        """Return the seconds since the first request after the last answer."""
        return 0.0 if self._unanswered_since is None else now - self._unanswered_since
