"""
Instance list
=============

The instances in the platform's list.  An entry that disappears is kept for some time,
since entries may lapse during an outage of the store although the instance is alive.
"""

from dataclasses import dataclass

# Seconds.  The store answers a watch within 3 s if up to five daemons follow the list.
MAX_CURRENT_AGE = 4.0
NEVER_READ_AGE = 1e6  # seconds; age of a list that was never read
# Seconds.  A lapsed entry is back in the list 2 s after an outage of the store.
MISSING_HOLD_TIME = 2.5


@dataclass(slots=True)
class _Entry:
    record: object
    missing_since: float | None = None


class InstanceList:
    """Known instances; times are in seconds of the loop's clock.

    Parameters
    ----------
    clock : callable

    Attributes
    ----------
    changed : int
        Version of the last known change of the list.
    """

    def __init__(self, clock):
        self._clock = clock
        self._entries = {}
        self._current_at = self._voters_current_at = -NEVER_READ_AGE
        self._on_hint = None
        self._on_read_request = None
        self.changed = 0

    def set_feed_callbacks(self, on_hint, on_read_request):
        """Set the callbacks of the feed that fills this list.

        Parameters
        ----------
        on_hint : callable
            Called with a newer version and the address of the daemon that knows it.
        on_read_request : callable
            Reads the list from the store.
        """
        self._on_hint = on_hint
        self._on_read_request = on_read_request

    def request_read(self):
        """Read the list from the store immediately."""
        if self._on_read_request is not None:
            self._on_read_request()

    def mark_current(self, changed):
        """Record that the list includes all changes until now.

        Parameters
        ----------
        changed : int
            Version of the last change.
        """
        self.changed = changed
        self._current_at = self._clock()

    def compare_with_peer(self, changed, age, address, is_voter=True):
        """Compare this list with the list of another daemon.

        An equal list makes this one as current as the other; a newer one is requested.

        Parameters
        ----------
        changed : int
            Version of the last change in the other list.
        age : float
            Age of the other list, in seconds.
        address : str
            Address at which the other daemon answers queries.
        is_voter : bool
            Whether it is a voter.  The age of another daemon's list does not count: it
            comes from the voters, unless they have lost the store.
        """
        if changed == self.changed:
            if is_voter:
                current_at = self._clock() - age
                self._current_at = max(self._current_at, current_at)
                self._voters_current_at = max(self._voters_current_at, current_at)
        elif changed > self.changed and self._on_hint is not None:
            self._on_hint(changed, address)

    def age(self):
        """Return the seconds since the list was last known to be current."""
        return self._clock() - self._current_at

    def voters_age(self):
        """Return the seconds since a voter's equal list was known to be current."""
        return self._clock() - self._voters_current_at

    @property
    def has_missing(self):
        """Whether an entry is kept although the list lacks it."""
        return any(entry.missing_since is not None for entry in self._entries.values())

    @property
    def is_current(self):
        """Whether the list is recent enough to base a decision on it."""
        return self.age() <= MAX_CURRENT_AGE

    def update(self, records, now):
        """Replace the entries by those of the list; keep missing ones for some time.

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
        """Restart the hold time of missing entries, since the store does not answer."""
        for entry in self._entries.values():
            if entry.missing_since is not None:
                entry.missing_since = now

    def remove_expired(self, now):
        """Remove entries that were missing for the hold time; return their names."""
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
        """Return the records of a group's instances, by name."""
        return {
            name: entry.record
            for name, entry in self._entries.items()
            if entry.record.group == group
        }

    def missing_for(self, name, now):
        """Return for how many seconds an instance has been missing from the list.

        An unknown instance has been missing for the hold time.
        """
        entry = self._entries.get(name)
        if entry is None:
            return MISSING_HOLD_TIME
        return 0.0 if entry.missing_since is None else now - entry.missing_since

    def __len__(self):
        return len(self._entries)
