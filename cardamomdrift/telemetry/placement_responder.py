"""
Questions about placements
==========================

Answers the operators' questions within a share of the processor's time.

Load pattern: a client of the query port asks all the time.  With full queues of 500
requests, one answer takes 4 to 9 ms, in which the daemon serves nobody.
"""

import math

import msgspec

from cardamomdrift.telemetry.placement import find_placement
from cardamomdrift.telemetry.placement_state import capture_state
from cardamomdrift.util import MILLISECONDS

TIME_SHARE = 0.05  # of the processor's time, for questions and states together


class PlacementResponder:
    """Answers questions about placements, and captures the state for ``status``.

    Parameters
    ----------
    find_sources : callable
        Returns the Sources of the daemon's present state.
    clock : callable
        Returns the loop's time in seconds.
    boot_clock : callable
    """

    def __init__(self, find_sources, clock, boot_clock):
        self._find_sources = find_sources
        self._clock = clock
        self._boot_clock = boot_clock
        self._busy_until = -math.inf
        self._state = None

    def answer(self, question):
        """Return the answer to a PlacementQuery as JSON.

        It is an error with ``retry_after_ms`` while the time for questions is used up.
        """
        pause = self._busy_until - self._clock()
        if pause > 0:
            retry_after = math.ceil(pause * MILLISECONDS)
            return msgspec.json.encode(
                {"error": "too many questions", "retry_after_ms": retry_after}
            )
        started = self._clock()
        state = capture_state(
            self._find_sources(), started, self._boot_clock(), question
        )
        body = msgspec.json.encode(find_placement(state, question))
        self._account(started)
        return body

    def state(self):
        """Return the DaemonState; the last one while the time is used up."""
        started = self._clock()
        if self._state is None or started >= self._busy_until:
            self._state = capture_state(
                self._find_sources(), started, self._boot_clock()
            )
            self._account(started)
        return self._state

    def _account(self, started):
        elapsed = self._clock() - started
        self._busy_until = started + elapsed / TIME_SHARE
