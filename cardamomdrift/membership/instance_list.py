"""
Instance list
=============

The instances that the platform's list names.  An entry that vanishes is kept for a
while, since entries may lapse while the store is away although the instance lives.
"""

from dataclasses import dataclass

MAX_CURRENT_AGE = 4.0  # seconds; the store answers a watch after 3 s at the latest
NEVER_READ_AGE = 1e6  # seconds; the age of a list that was never read
MISSING_HOLD_TIME = 2.5  # seconds; a lapsed entry is back 2 s after the store's return


@dataclass(slots=True)
class _Entry:
    record: object
    missing_since: float | None = None


class InstanceList:
    """Known instances; times are in seconds of the loop's clock.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._current_at = -NEVER_READ_AGE
        self._on_hint = None
        self._on_read_request = None
        self.changed = 0

    def set_feed_callbacks(self, on_hint, on_read_request):
        """Set what takes the versions that other daemons know, and what reads anew."""
        self._on_hint = on_hint
        self._on_read_request = on_read_request

    def request_read(self):
        """Ask the store for the list at once."""
        if self._on_read_request is not None:
            self._on_read_request()

    def mark_current(self, changed):
        """Take in that the store has told all changes until now.

        Parameters
        ----------
        changed : int
            Version of the last one.
        """
        self.changed = changed
        self._current_at = self._clock()

    def compare_with_peer(self, changed, age, address):
        """Take in which list another daemon has.

        Parameters
        ----------
        changed : int
            Version of its last change.
        age : float
            How old it is, in seconds.
        address : str
            Where the daemon answers questions.
        """
        if changed == self.changed:
            self._current_at = max(self._current_at, self._clock() - age)
        elif changed > self.changed and self._on_hint is not None:
            self._on_hint(changed, address)

    def age(self):
        """Return how old the list is, in seconds."""
        return self._clock() - self._current_at

    @property
    def is_current(self):
        """Whether the list is about as the store has it."""
        return self.age() <= MAX_CURRENT_AGE

    def update(self, records, now):
        """Take in all entries that the list has.

        Parameters
        ----------
        records : dict of str to InstanceRecord
        now : float
        """
        for name, record in records.items():
            self._entries[name] = _Entry(record)
        for name, entry in self._entries.items():
            if name not in records and entry.missing_since is None:
                entry.missing_since = now

    def postpone_removals(self, now):
        """Take in that the store does not answer: nothing counts as gone yet."""
        for entry in self._entries.values():
            if entry.missing_since is not None:
                entry.missing_since = now

    def remove_expired(self, now):
        """Forget what has been missing for long; return the names."""
        gone = [
            name
            for name, entry in self._entries.items()
            if entry.missing_since is not None
            and now - entry.missing_since >= MISSING_HOLD_TIME
        ]
        for name in gone:
            del self._entries[name]
        return gone

    def of_group(self, group):
        """Return the records of a group, by name."""
        return {
            name: entry.record
            for name, entry in self._entries.items()
            if entry.record.group == group
        }

    def missing_for(self, name, now):
        """Return for how many seconds an instance has been missing from the list."""
        entry = self._entries.get(name)
        if entry is None:
            return MISSING_HOLD_TIME
        return 0.0 if entry.missing_since is None else now - entry.missing_since

    def __len__(self):
        return len(self._entries)
