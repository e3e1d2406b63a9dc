"""
Session positions
=================

Positions of a session's acknowledged writes.  A session may write to several groups,
because its route may change, and its reads in each of them must see its writes there.
"""

import math
from collections import OrderedDict

GROUP_LIMIT = 8  # groups whose position a session keeps; bounds its memory


class SessionPositions:
    """Position of a session's last acknowledged write in each group.

    Attributes
    ----------
    unplaced_at : float
        When the last write was acknowledged whose position is not kept, by the boot
        clock; minus infinity if there is none.  The floor of a read must come from a
        sample that began then or later.
    """

    def __init__(self):
        self._writes = OrderedDict()
        self.unplaced_at = -math.inf

    def record(self, group, position, acknowledged_at):
        """Record an acknowledged write.

        Parameters
        ----------
        group : str
        position : Position or None
            None if the instance did not report it.
        acknowledged_at : float
            When the answer arrived, or later, by the boot clock.
        """
        if position is None:
            self.unplaced_at = max(self.unplaced_at, acknowledged_at)
            return
        self._writes[group] = position, acknowledged_at
        self._writes.move_to_end(group)
        if len(self._writes) > GROUP_LIMIT:
            _, (_, dropped_at) = self._writes.popitem(last=False)
            self.unplaced_at = max(self.unplaced_at, dropped_at)

    def last_write(self, group):
        """Return the Position of the last write in a group, or None if not known."""
        position, _ = self._writes.get(group, (None, 0.0))
        return position
