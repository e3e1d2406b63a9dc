"""
Load
====

Estimates how the work of a group is divided among its instances, from the statements
that this daemon has sent.  The sum of the times of its answers counts what the primary
has to do besides reads of replicas (writes, transactions, reads of its own) as well as
how slow each instance is.

Load pattern: one of 134 daemons sees a hundredth of the load, and too few answers of
one instance to learn its queue.  The mix of its own statements resembles that of the
fleet.
"""

from dataclasses import dataclass

MEMORY_TIME = 10.0  # seconds after which an answer counts half
# Times the usual time that an answer counts at most.  Without this limit the queues of
# past bursts counted, and reads went to replicas that were overloaded by then.
MAX_FACTOR = 3.0
MIN_WORK = 0.1  # seconds of recent answers below which nothing is concluded


@dataclass(slots=True)
class _Work:
    """Recent seconds of answers, each counted less as it gets older."""

    seconds: float = 0.0
    at: float = 0.0

    def seconds_at(self, now):
        return self.seconds * 0.5 ** (max(now - self.at, 0.0) / MEMORY_TIME)

    def advance(self, now):
        self.seconds = self.seconds_at(now)
        self.at = now
        return self.seconds


class GroupLoad:
    """Work of one daemon at the instances of a group, in seconds of one clock."""

    def __init__(self):
        self._work = {}

    @classmethod
    def restore(cls, work, now):
        """Return the load with the work that `save` returned at a time."""
        load = cls()
        load._work = {name: _Work(seconds, now) for name, seconds in work.items()}
        return load

    def save(self, now):
        """Return the recent seconds of answers by instance, without a change."""
        return {name: work.seconds_at(now) for name, work in self._work.items()}

    def record(self, name, elapsed, usual, now):
        """Record an answer of an instance.

        Parameters
        ----------
        name : str
        elapsed : float
            Seconds that it took.
        usual : float
            Seconds that a statement usually takes.
        now : float
        """
        work = self._work.setdefault(name, _Work(at=now))
        work.advance(now)
        work.seconds += min(max(elapsed, 0.0), MAX_FACTOR * usual)

    def work(self, name, now):
        """Return the recent seconds of an instance's answers."""
        work = self._work.get(name)
        return work.advance(now) if work is not None else 0.0

    def is_busiest(self, primary, replicas, now):
        """Whether the primary does more than a replica on average.

        The mean counts since one daemon sends most of its reads to one replica, and
        another daemon to another one.

        Parameters
        ----------
        primary : str
        replicas : sequence of str
            Usable replicas.
        now : float
        """
        work = self.work(primary, now)
        if not replicas or work < MIN_WORK:
            return False
        return work * len(replicas) > sum(self.work(name, now) for name in replicas)

    def forget(self, name):
        """Forget an instance that has left the group or started anew."""
        self._work.pop(name, None)
