"""
Group view
==========

What a daemon knows of a database group: for each instance the last status, and when it
was requested and received.  The view does no I/O; the statuses are passed to it.
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
        Lower bound of the position that the instance has reached.
    primary : bool
        Whether its last status reported it as the primary of its fence term.
    source : str
        ``ip:port`` of the instance that it replicates from, or empty.
    source_silence : float
        Seconds for which it had not heard from its source at its last status.
    begun_at : float or None
        When its last status was requested.
    answered_at : float or None
        When its last status was received.
    rate : float
        Entries per second by which its position advances, smoothed.
    """

    fence_term: int = 0
    position: Position = ORIGIN
    primary: bool = False
    source: str = ""
    source_silence: float = 0.0
    begun_at: float | None = None
    answered_at: float | None = None
    rate: float = 0.0


RATE_WEIGHT = 0.3  # weight of a new measurement in the smoothed rate


@dataclass(slots=True)
class GroupView:
    """What is known of a group's instances and their primary.

    Attributes
    ----------
    instances : dict of str to InstanceView
    term : int
        Highest term that an instance or a peer has reported.
    """

    instances: dict = field(default_factory=dict)
    term: int = 0

    @property
    def primary(self):
        """Name of the primary of the highest term seen, or None."""
        term = self.term
        for name, instance in self.instances.items():
            if instance.primary and instance.fence_term == term:
                return name
        return None

    def position_of(self, name):
        """Return a lower bound of the position that an instance has reached."""
        return self.instances[name].position

    def catch_up_time(self, _name, _floor):
        """Return None: the times of the primary's positions are not recorded here."""
        return None

    def observe_term(self, term):
        """Record a term that a peer has seen."""
        self.term = max(self.term, term)

    def observe(self, name, status, begun_at, now):
        """Record the status that an instance gave to a probe begun at a time.

        A lower position is recorded too: an instance discards entries when it copies
        another instance.
        """
        instance = self.instances[name]
        instance.fence_term = max(instance.fence_term, status.fence_term)
        self.term = max(self.term, instance.fence_term)
        if instance.begun_at is not None and begun_at <= instance.begun_at:
            return
        self._update_rate(instance, status.position, now)
        instance.position = status.position
        instance.primary = status.primary and status.fence_term == instance.fence_term
        instance.source = status.source
        instance.source_silence = status.source_silence
        instance.begun_at = begun_at
        instance.answered_at = now

    @staticmethod
    def _update_rate(instance, position, now):
        if instance.answered_at is None or position.term != instance.position.term:
            return
        elapsed = now - instance.answered_at
        if elapsed > 0:
            rate = (position.sequence - instance.position.sequence) / elapsed
            instance.rate += RATE_WEIGHT * (max(rate, 0.0) - instance.rate)

    def demote(self, name, term):
        """Record that an instance refused a write as a replaced primary would."""
        instance = self.instances[name]
        if instance.fence_term <= term:
            instance.primary = False


def make_view(spec):
    """Return the view of a group of which nothing is known yet."""
    return GroupView({name: InstanceView() for name in spec.instance_names})
