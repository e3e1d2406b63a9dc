"""
Log lines
=========

Writes log lines without ever waiting for their reader, and no more a second than a
budget allows; failures have a budget of their own.  What is left out is counted.
"""

import os
from collections import deque

PENDING_BYTES_LIMIT = 256 * 1024  # waiting for the reader; then lines are left out
ROUTINE_RATE = 400.0  # lines a second; twice the statements of a daemon today
FAILURE_RATE = 400.0  # lines a second, besides
BURST_DURATION = 2.0  # seconds of a rate that may come at once


class LineBudget:
    """Token bucket for lines; times are in seconds."""

    def __init__(self, rate):
        self._rate = rate
        self._tokens = rate * BURST_DURATION
        self._at = None

    def take(self, now):
        """Return whether a line may be written."""
        if self._at is not None:
            grown = self._tokens + (now - self._at) * self._rate
            self._tokens = min(self._rate * BURST_DURATION, grown)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LineWriter:
    """File-like target of a logger that never blocks.

    Parameters
    ----------
    descriptor : int
        Made non-blocking.
    clock : callable
    """

    def __init__(self, descriptor, clock):
        self._descriptor = descriptor
        self._clock = clock
        self._pending = deque()
        self._pending_bytes = 0
        self._routine = LineBudget(ROUTINE_RATE)
        self._failures = LineBudget(FAILURE_RATE)
        self._unreported_drops = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def admits(self, failure):
        """Return whether a line may be written now, and count one that may not."""
        budget = self._failures if failure else self._routine
        if budget.take(self._clock()) and self._pending_bytes < PENDING_BYTES_LIMIT:
            return True
        self._unreported_drops += 1
        self.dropped += 1
        return False

    def write(self, text):
        """Write a line, or hold it until the reader takes more."""
        if self._unreported_drops:
            left_out, self._unreported_drops = self._unreported_drops, 0
            self._enqueue(
                f"level=warning event='log lines left out' count={left_out}\n"
            )
        self._enqueue(text)
        self.flush()

    def _enqueue(self, text):
        data = text.encode("utf-8", "backslashreplace")
        self._pending.append(data)
        self._pending_bytes += len(data)

    def flush(self):
        """Write what the reader takes."""
        while self._pending:
            data = self._pending.popleft()
            self._pending_bytes -= len(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self.dropped += 1
                continue
            if written < len(data):
                self._pending.appendleft(data[written:])
                self._pending_bytes += len(data) - written
                return
