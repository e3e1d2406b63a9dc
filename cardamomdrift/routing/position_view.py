"""
Position view
=============

What a daemon knows of a group whose protocol carries positions in its replies: the
position that each instance has reached, and which one may be used as the primary.
"""

from cardamomdrift.routing.view import RATE_WEIGHT, InstanceView


class PositionView:
    """Positions of one group's instances, and the group's primary.

    Parameters
    ----------
    leadership : Leadership
    permitted : callable
        Returns whether a settled primary may be used now.
    """

    def __init__(self, leadership, permitted):
        self._leadership = leadership
        self._permitted = permitted
        self.instances = {}

    @property
    def primary(self):
        """Name of the primary, or None while it must not be used."""
        leadership = self._leadership
        name = leadership.primary
        if not leadership.settled or name not in self.instances:
            return None
        return name if self._permitted() else None

    @property
    def term(self):
        """Generation: number of the last known replacement of the primary.

        The dispatcher uses it in place of the term of a `GroupView`.
        """
        return self._leadership.generation

    def add(self, name):
        """Add an instance, if it is not known yet."""
        self.instances.setdefault(name, InstanceView())

    def drop(self, name):
        """Remove an instance."""
        self.instances.pop(name, None)

    def observe(self, name, position, now):
        """Record the position that an instance's log had reached."""
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
