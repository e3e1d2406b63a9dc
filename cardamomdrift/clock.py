"""
Boot clock
==========

Seconds that also count while the VM is suspended, unlike the clock of the event loop.
What must not be believed after a suspension is dated with it.
"""

import time


def boot_clock():
    """Return the seconds since the VM was started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
