"""
Log line writer
===============

Writes log lines without ever blocking on their reader.  A token bucket limits the lines
per second; failures have a bucket of their own.  Lines that are left out are counted.
"""

import os
from collections import deque

# Bytes that wait for the reader; beyond that, lines are left out.
PENDING_BYTES_LIMIT = 256 * 1024
ROUTINE_RATE = 400.0  # lines per second; twice the present statement rate of a daemon
FAILURE_RATE = 400.0  # lines per second about failures, in addition to the others
BURST_DURATION = 2.0  # seconds; the lines of this time may come in one burst


class LineBudget:
    """Token bucket for log lines; times are in seconds."""

    def __init__(self, rate):
        self._rate = rate
        self._tokens = rate * BURST_DURATION
        self._refilled_at = None

    def take(self, now):
        """Take a token for a line; return whether there was one."""
        if self._refilled_at is not None:
            refilled = self._tokens + (now - self._refilled_at) * self._rate
            self._tokens = min(self._rate * BURST_DURATION, refilled)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class LineWriter:
    """File-like target of a logger that never blocks.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; it is made non-blocking.
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
        """Return whether a line may be written now; if not, it is counted as dropped.

        Parameters
        ----------
        failure : bool
            Whether the line reports a failure.
        """
        budget = self._failures if failure else self._routine
        if budget.take(self._clock()) and self._pending_bytes < PENDING_BYTES_LIMIT:
            return True
        self._unreported_drops += 1
        self.dropped += 1
        return False

    def write(self, text):
        """Write a line, or keep it until the reader accepts more."""
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
        """Write as much as the reader accepts."""
        while self._pending:
            data = self._pending.popleft()
            self._pending_bytes -= len(data)
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone, so this cannot be reported anywhere.
                self.dropped += 1
                continue
            if written < len(data):
                self._pending.appendleft(data[written:])
                self._pending_bytes += len(data) - written
                return
