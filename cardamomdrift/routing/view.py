"""
Group view
==========

What a daemon knows of a database group: for each instance the last status and when it
was asked and answered.  The view is pure: it only takes in statuses.
"""

from dataclasses import dataclass, field

from cardamomdrift.position import ORIGIN, Position


@dataclass(slots=True)
class InstanceView:
    """What is known of one instance; times are in seconds of the loop's clock.

    Attributes
    ----------
    fence_term : int
        Highest term that the instance has reported.
    position : Position
        Position that the instance has reached, at least.
    primary : bool
        Whether its last status said that it leads its fence term.
    source : str
        Instance that it replicates from.
    source_silence : float
        How long it had not heard from its source at its last status.
    begun_at : float or None
        When its last status was asked for.
    answered_at : float or None
        When its last status came.
    rate : float
        Entries per second that its position moved by, smoothed.
    """

    fence_term: int = 0
    position: Position = ORIGIN
    primary: bool = False
    source: str = ""
    source_silence: float = 0.0
    begun_at: float | None = None
    answered_at: float | None = None
    rate: float = 0.0


RATE_WEIGHT = 0.3


@dataclass(slots=True)
class GroupView:
    """What is known of a group's instances and its primary.

    Attributes
    ----------
    instances : dict of str to InstanceView
    term : int
        Highest term seen at any instance or heard of from peers.
    """

    instances: dict = field(default_factory=dict)
    term: int = 0

    @property
    def primary(self):
        """Name of the instance that leads the highest term seen, or None."""
        term = self.term
        for name, one in self.instances.items():
            if one.primary and one.fence_term == term:
                return name
        return None

    def position_of(self, name):
        """Return the position that an instance has reached, at least."""
        return self.instances[name].position

    def hear_term(self, term):
        """Take in a term that a peer has seen."""
        self.term = max(self.term, term)

    def observe(self, name, status, begun_at, now):
        """Take in a status that an instance gave to a question begun at a time.

        The position is taken as it is, also if it is lower: an instance that discards
        entries does so when it copies another one.
        """
        one = self.instances[name]
        one.fence_term = max(one.fence_term, status.fence_term)
        self.term = max(self.term, one.fence_term)
        if one.begun_at is not None and begun_at <= one.begun_at:
            return
        self._note_rate(one, status.position, now)
        one.position = status.position
        one.primary = status.primary and status.fence_term == one.fence_term
        one.source = status.source
        one.source_silence = status.source_silence
        one.begun_at = begun_at
        one.answered_at = now

    @staticmethod
    def _note_rate(one, position, now):
        if one.answered_at is None or position.term != one.position.term:
            return
        elapsed = now - one.answered_at
        if elapsed > 0:
            moved = (position.sequence - one.position.sequence) / elapsed
            one.rate += RATE_WEIGHT * (max(moved, 0.0) - one.rate)

    def demote(self, name, term):
        """Note that an instance refused a write as a replaced primary would."""
        one = self.instances[name]
        if one.fence_term <= term:
            one.primary = False


def make_view(spec):
    """Return the view of a group of which nothing is known."""
    return GroupView({name: InstanceView() for name in spec.names})
