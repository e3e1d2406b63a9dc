"""
Error budget burn
=================

Counts good requests and failures by cause for each request class, in buckets of a
minute, and reports how fast the error budget is being spent.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

BUCKET_DURATION = 60.0  # seconds
SHORT_WINDOW = 300.0  # seconds
LONG_WINDOW = 3600.0  # seconds
RETENTION = 6 * 3600.0  # seconds for which buckets are kept
GOOD = "good"


@dataclass(slots=True)
class _Bucket:
    """Request counts of one class in one minute."""

    good: int = 0
    bad: Counter = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate of one class over one window.

    Attributes
    ----------
    seconds : float
    total : int
    bad : int
    rate : float
        Share of bad requests divided by the share that the objective allows.  At 1.0
        the error budget is spent exactly as fast as it accrues.
    """

    seconds: float
    total: int
    bad: int
    rate: float


@dataclass(frozen=True, slots=True)
class ClassBurn:
    """Burn rates of one class.

    Attributes
    ----------
    name : str
    objective : float
    windows : tuple of WindowBurn
    causes : tuple of (str, int)
        Causes of the failures in all buckets kept, most frequent first.
    """

    name: str
    objective: float
    windows: tuple
    causes: tuple


class BurnCounter:
    """Counts requests of one daemon by class and outcome."""

    def __init__(self):
        self._classes = {}

    def record(self, name, outcome, now):
        """Count a request.

        Parameters
        ----------
        name : str
            Request class.
        outcome : str
            ``good`` or the name of the error class.
        now : float
        """
        buckets = self._classes.setdefault(name, OrderedDict())
        key = int(now // BUCKET_DURATION)
        bucket = buckets.get(key)
        if bucket is None:
            bucket = buckets[key] = _Bucket()
            self._drop_old(buckets, now)
        if outcome == GOOD:
            bucket.good += 1
        else:
            bucket.bad[outcome] += 1

    @staticmethod
    def _drop_old(buckets, now):
        oldest = int((now - RETENTION) // BUCKET_DURATION)
        while buckets and next(iter(buckets)) < oldest:
            buckets.popitem(last=False)

    def report(self, objectives, now):
        """Return the ClassBurn of each class.

        Parameters
        ----------
        objectives : dict of str to float
        now : float
        """
        return [
            self._report_class(name, objective, now)
            for name, objective in objectives.items()
        ]

    def _report_class(self, name, objective, now):
        buckets = self._classes.get(name, {})
        windows = tuple(
            self._measure_window(buckets, objective, length, now)
            for length in (SHORT_WINDOW, LONG_WINDOW, RETENTION)
        )
        causes = Counter()
        for bucket in buckets.values():
            causes.update(bucket.bad)
        return ClassBurn(name, objective, windows, tuple(causes.most_common()))

    @staticmethod
    def _measure_window(buckets, objective, length, now):
        first = int((now - length) // BUCKET_DURATION) + 1
        recent = [bucket for key, bucket in buckets.items() if key >= first]
        good = sum(bucket.good for bucket in recent)
        bad = sum(sum(bucket.bad.values()) for bucket in recent)
        total = good + bad
        bad_share = bad / total if total else 0.0
        return WindowBurn(length, total, bad, bad_share / (1 - objective))


def format_burn(rows):
    """Return the burn of classes as a text table.

    Parameters
    ----------
    rows : list of dict
        The fields of a ClassBurn for each class.
    """
    lines = [
        f"{'class':24} {'objective':>9} {'5 min':>8} {'1 h':>8} {'6 h':>8} "
        f"{'bad/total 6 h':>16}  spent by"
    ]
    for row in rows:
        rates = " ".join(f"{window['rate']:8.2f}" for window in row["windows"])
        longest = row["windows"][-1]
        counts = f"{longest['bad']}/{longest['total']}"
        causes = ", ".join(f"{name} {count}" for name, count in row["causes"]) or "-"
        lines.append(
            f"{row['name']:24} {row['objective']:9.4f} {rates} {counts:>16}  {causes}"
        )
    return "\n".join(lines)
