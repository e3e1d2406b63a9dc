"""
Checker of customers
====================

Checks what the instances run against what the callers sent, the keys and the limits of
the acknowledged configurations, and the answers.
"""

import asyncio
import math
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass

from soak.callers import NOT_RUN_CODES

REVOCATION_TIME = 1.5  # seconds; revokeMs of the daemons' settings
QUOTA_WINDOW = 5.0  # seconds
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
# Seconds after which all daemons have a configuration: the longest fault ends, and what
# a daemon without it may still serve has ended as well.
SPREAD_TIME = 4.0 + REVOCATION_TIME
STALL_POLL_INTERVAL = 0.01  # seconds
MIN_STALL = 0.02  # seconds; shorter delays are covered by STALL_MARGIN
STALL_MARGIN = 0.1  # seconds after a stall in which this process may still be late


@dataclass
class KeyRecord:
    """Key of a customer; it is withdrawn at most once and never added again.

    Attributes
    ----------
    customer : str
    withdrawn_at : float
        When the store acknowledged the first configuration without the key.
    """

    customer: str
    withdrawn_at: float = math.inf


@dataclass(frozen=True)
class SentRequest:
    """Statement of a caller, with its key and the time before it was sent."""

    key: str
    sent_at: float


@dataclass(frozen=True)
class Limit:
    """Rate limit of a customer from the time at which the store acknowledged it."""

    since: float
    rate: float
    burst: float

    @property
    def bound(self):
        """Operations that may run in any window."""
        limit = self.rate * QUOTA_WINDOW + self.burst
        return limit * (1 + QUOTA_OVERSHOOT) + QUOTA_SLACK


class WatchedList(list):
    """List that reports each item that is appended."""

    def __init__(self, report):
        super().__init__()
        self._report = report

    def append(self, item):
        """Append an item and report it."""
        super().append(item)
        self._report(item)


class CustomerChecker:
    """Collects what callers sent and instances ran.

    A request's id is ``CALLER-OPERATION-NUMBER``; the number is 1 for the first
    statement of an operation that an instance runs.

    Parameters
    ----------
    group : LineGroup

    Attributes
    ----------
    keys : dict of str to KeyRecord
    limits : dict of str to list of Limit
        By customer, in order of their times.
    served : Counter
        Successful answers by customer.
    refused : Counter
        Error answers by customer and code.
    runs : dict of str to list of float
        Times of operations by customer.
    stalls : list of (float, float)
        Beginning and end of the times in which this process did not run its event loop.
    violations : list of str
    """

    def __init__(self, group):
        self._instances = group.instances.values()
        self._sent = {}
        self._received_at = {}
        self._promised = {}
        self.keys = {}
        self.limits = defaultdict(list)
        self.served = Counter()
        self.refused = Counter()
        self.runs = defaultdict(list)
        self.stalls = []
        self.violations = []
        for instance in self._instances:
            instance.received = WatchedList(self._note_received)
            instance.executed_statements = WatchedList(self._note_executed)

    @property
    def longest_stall(self):
        """Longest stall in seconds."""
        return max((end - begin for begin, end in self.stalls), default=0.0)

    async def watch_stalls(self):
        """Measure how late this process runs, until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            begun = clock()
            await asyncio.sleep(STALL_POLL_INTERVAL)
            if clock() - begun - STALL_POLL_INTERVAL < MIN_STALL:
                continue
            if self.stalls and begun < self.stalls[-1][1] + STALL_MARGIN:
                begun = self.stalls.pop()[0]
            self.stalls.append((begun, clock()))

    # Callers

    def begin(self, request_id, key):
        """Note a statement that is about to be sent."""
        self._sent[request_id] = SentRequest(key, asyncio.get_running_loop().time())

    def end(self, request_id, last_line):
        """Note the last line of an answer before READY."""
        record = self.keys.get(self._sent[request_id].key, KeyRecord("?"))
        word, code = [*last_line.split(" "), ""][:2]
        if word == "COMPLETE":
            self.served[record.customer] += 1
            return
        self.refused[record.customer, code] += 1
        if code in (*NOT_RUN_CODES, "AUTHFAIL"):
            self._promised[request_id] = code

    # Instances

    def _note_received(self, statement):
        self._received_at[statement.request_id] = asyncio.get_running_loop().time()
        request = self._sent.get(statement.request_id)
        if request is None:
            self.violations.append(f"{statement.request_id}: sent by no caller")
            return
        record = self.keys.get(request.key)
        if record is None:
            self.violations.append(f"{statement.request_id}: its key never existed")
        elif record.customer != statement.user:
            self.violations.append(
                f"{statement.request_id} of {record.customer}: ran on a connection of "
                f"another customer, {statement.user}"
            )

    def _note_executed(self, executed):
        request_id = executed[0]
        request = self._sent.get(request_id)
        if request is None or request.key not in self.keys:
            return  # reported when it was received
        record = self.keys[request.key]
        late = request.sent_at - record.withdrawn_at - REVOCATION_TIME
        if late > 0:
            self.violations.append(
                f"{request_id} of {record.customer}: its key was withdrawn, and it was "
                f"sent {late:.3f} s too late"
            )
        if request_id.endswith("-1"):
            self.runs[record.customer].append(self._received_at[request_id])

    # Checks

    def check_windows(self):
        """Check the operations of each customer in all windows.

        An operation that was read during or right after a stall may have been sent at
        any time since its beginning, so it counts only in windows that contain it all.
        """
        for customer, times in self.runs.items():
            times = sorted(times)
            for index, run_at in enumerate(times):
                begin = self._earliest_sending(run_at)
                end = begin + QUOTA_WINDOW
                count = bisect_right(times, end) - index
                bound = self._find_bound(customer, begin, end)
                if count > bound:
                    self.violations.append(
                        f"{customer}: {count} operations in {QUOTA_WINDOW} s from "
                        f"{begin:.2f}, allowed {bound:.1f}"
                    )
                    break

    def _earliest_sending(self, run_at):
        """Return the earliest time at which an operation can have been sent."""
        index = bisect_right(self.stalls, (run_at, math.inf)) - 1
        if index >= 0 and run_at <= self.stalls[index][1] + STALL_MARGIN:
            return self.stalls[index][0]
        return run_at - MIN_STALL

    def _find_bound(self, customer, start, end):
        """Return the highest bound that may apply between two times."""
        limits = self.limits.get(customer)
        if not limits:
            return math.inf
        ends = [limit.since + SPREAD_TIME for limit in limits[1:]] + [math.inf]
        return max(
            limit.bound
            for limit, applies_until in zip(limits, ends, strict=True)
            if limit.since <= end and start <= applies_until
        )

    def finish(self):
        """Check what can be checked only at the end."""
        self.check_windows()
        counts = Counter(
            commit[0] for instance in self._instances for commit in instance.committed
        )
        for request_id, count in counts.items():
            if count > 1:
                self.violations.append(f"{request_id}: its write ran {count} times")
            if request_id in self._promised:
                code = self._promised[request_id]
                self.violations.append(f"{request_id}: ran, although refused by {code}")
