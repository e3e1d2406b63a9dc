"""
Loop delay
==========

Measures how late the event loop runs its timers.
"""

import asyncio

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
