"""
Boot clock
==========

Clock that also advances while the VM is suspended, unlike the clock of the event loop.
It dates all knowledge that must not be used after a suspension.
"""

import time


def boot_clock():
    """Return the seconds since the VM booted, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
