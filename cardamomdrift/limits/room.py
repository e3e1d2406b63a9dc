"""
Room at instances
=================

When the instances of a group last refused requests of this daemon for lack of room, or
answered late.
"""

# Seconds after a refusal for which an instance is taken to have no room.  A full queue
# of 32 statements of 20 ms on 4 slots takes 0.16 s, bursts of load last about 1 s.
NO_ROOM_TIME = 1.0
# An answer that takes longer than this multiple of the usual time, and this many
# seconds, shows a long queue.  Without this rule a daemon that sends one statement a
# second hardly ever sees that the primary is overloaded.
SLOW_FACTOR, SLOW_TIME = 5.0, 0.1
# A lack of room is expected to last for this share of its present duration more.
OVERDUE_SHARE = 0.25


class RoomTracker:
    """Refusals and late answers, by instance; times are in seconds of one clock."""

    def __init__(self):
        self._refused_at = {}
        self._full_since = {}

    def forget(self, instance):
        """Forget an instance that has left the group or started anew."""
        self._refused_at.pop(instance, None)
        self._full_since.pop(instance, None)

    def record_refusal(self, instance, now):
        """Record that an instance refused a request for lack of room."""
        if not self.is_full(instance, now):
            self._full_since[instance] = now
        self._refused_at[instance] = now

    def record_answer(self, instance, elapsed, usual, now):
        """Record an answer; a slow one counts as a refusal.

        Parameters
        ----------
        instance : str
        elapsed : float
            Seconds that the statement took.
        usual : float
            Seconds that it usually takes.
        now : float
        """
        if elapsed > max(SLOW_FACTOR * usual, SLOW_TIME):
            self.record_refusal(instance, now)

    def is_full(self, instance, now):
        """Whether an instance had no room within `NO_ROOM_TIME`."""
        refused_at = self._refused_at.get(instance)
        return refused_at is not None and now - refused_at < NO_ROOM_TIME

    def expected_remaining(self, instance, now):
        """Return for how many more seconds an instance is expected to have no room.

        Load pattern: an overload lasts for seconds, and callers that come back too
        early prolong it.
        """
        if not self.is_full(instance, now):
            return 0.0
        return OVERDUE_SHARE * (now - self._full_since[instance])
