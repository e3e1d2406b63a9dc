"""
Loop delay
==========

Measures how late the event loop runs its timers, and how long its turns take.
"""

import asyncio
import selectors
import time

MEASUREMENT_INTERVAL = 0.5  # seconds between two measurements


class LoopDelay:
    """Measures how late timers of the event loop run; an async context manager."""

    def __init__(self):
        self._task = None
        self.worst = 0.0

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        self._task.cancel()

    async def _run(self):
        clock = asyncio.get_running_loop().time
        while True:
            started = clock()
            await asyncio.sleep(MEASUREMENT_INTERVAL)
            delay = clock() - started - MEASUREMENT_INTERVAL
            self.worst = max(self.worst, delay)

    def take_worst(self):
        """Return the longest delay since the last call, in seconds, and reset it."""
        worst, self.worst = self.worst, 0.0
        return worst


class TurnMeter(selectors.DefaultSelector):
    """Selector that measures the longest turn of the event loop that uses it.

    A turn is the time from the end of one wait for events to the next wait.
    """

    def __init__(self):
        super().__init__()
        self._began = None
        self._longest = 0.0

    def select(self, timeout=None):
        """Wait for events, and measure the turn that ends with this call."""
        if self._began is not None:
            self._longest = max(self._longest, time.monotonic() - self._began)
        ready = super().select(timeout)
        self._began = time.monotonic()
        return ready

    def take_longest(self):
        """Return the longest turn since the last call, in seconds, and reset it."""
        longest, self._longest = self._longest, 0.0
        return longest
