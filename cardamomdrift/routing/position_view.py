"""
Reached positions
=================

What a daemon knows of a group on an edge whose answers carry positions: how far each
instance's log was, and who may be used as the primary.
"""

from cardamomdrift.routing.view import RATE_WEIGHT, InstanceView


class PositionView:
    """Positions of one group's instances.

    Parameters
    ----------
    leadership : Leadership
    permitted : callable
        Whether a settled primary may be used now.
    """

    def __init__(self, leadership, permitted):
        self._leadership = leadership
        self._permitted = permitted
        self.instances = {}

    @property
    def primary(self):
        """The present primary, or None while it must not be used."""
        leadership = self._leadership
        name = leadership.primary
        if not leadership.settled or name not in self.instances:
            return None
        return name if self._permitted() else None

    @property
    def term(self):
        """Number of the last replacement known."""
        return self._leadership.generation

    def add(self, name):
        """Begin to know of an instance."""
        self.instances.setdefault(name, InstanceView())

    def drop(self, name):
        """Forget an instance."""
        self.instances.pop(name, None)

    def observe(self, name, position, now):
        """Take in what an instance's log had reached."""
        instance = self.instances.get(name)
        if instance is None or position is None:
            return
        if instance.answered_at is not None and position.term == instance.position.term:
            elapsed = now - instance.answered_at
            moved = position.sequence - instance.position.sequence
            if elapsed > 0 and moved >= 0:
                instance.rate += RATE_WEIGHT * (moved / elapsed - instance.rate)
        instance.position = position
        instance.answered_at = now
