"""
Soak test of bursts
===================

A customer uses its limit only now and then, so that credit which daemons use after its
end exceeds its quota: ``python -m soak.bursts SECONDS [BREAK]``.  There are no other
callers and no faults.  ``BREAK`` names a deliberate defect of ``soak.broken``.  The
exit code is 1 if the quota was exceeded.
"""

import asyncio
import itertools
import random
import sys
import tempfile

from cardamomdrift.standins.entries import tenant
from soak.customer_callers import ConnectionEnded, KeyCaller
from soak.customer_checker import CustomerChecker, KeyRecord, Limit
from soak.customers import POLL_INTERVAL, STARTUP_TIME, CustomerFleet

BURST_CUSTOMER, BURST_KEY = "burst", "burst-key"
BURST_RATE, BURST_SIZE = 30.0, 200.0  # limit
DAEMON_COUNT = 12  # the slack has room for the unused credit of five
# Operations that are sent at one time to one daemon; it then asks for 16 tokens more.
VISIT_OPERATIONS = 64
REFUSAL_PAUSE = 0.05  # seconds between operations of a connection in a burst
REFILL_TIME = 2.6  # seconds in which the customer's bucket is full again
BURST_TIME = 6.0  # seconds; longer than the window of the quotas
BURST_CONNECTIONS = 4  # to each daemon


class BurstCaller:
    """Caller that leaves unused credit at all daemons, then uses it at one time.

    It sends some operations to one daemon after another, each time when the bucket is
    full, so that the daemon obtains credit ahead.  Then it sends as many as it can to
    all of them.  Credit that were used after its end would add up.

    Parameters
    ----------
    fleet : Fleet
    checker : CustomerChecker
    random : random.Random
    """

    def __init__(self, fleet, checker, random):
        self._fleet = fleet
        self._checker = checker
        self._random = random
        self._daemons = list(fleet.daemons.values())
        self._count = itertools.count()

    async def run(self):
        """Send operations until cancelled."""
        clock = asyncio.get_running_loop().time
        while True:
            for daemon in self._daemons:
                await asyncio.sleep(REFILL_TIME)
                await self._send([daemon] * VISIT_OPERATIONS, clock)
            await asyncio.sleep(REFILL_TIME)
            everywhere = self._daemons * BURST_CONNECTIONS
            await self._send(everywhere, lambda: clock() + BURST_TIME)

    async def _send(self, daemons, find_end):
        """Open a connection to each of some daemons, then send on all of them."""
        callers = [self._make_caller(daemon) for daemon in daemons]
        try:
            opening = (self._try(caller.open()) for caller in callers)
            opened = await asyncio.gather(*opening)
            end = find_end()
            writing = (
                self._try(caller.write_until(end, REFUSAL_PAUSE))
                for caller, is_open in zip(callers, opened, strict=True)
                if is_open
            )
            await asyncio.gather(*writing)
        finally:
            for caller in callers:
                caller.close()

    @staticmethod
    async def _try(work):
        """Return whether a connection goes on."""
        try:
            await work
        except (ConnectionEnded, OSError):
            return False
        return True

    def _make_caller(self, daemon):
        return KeyCaller(
            f"b{next(self._count)}",
            self._fleet,
            self._checker,
            self._random,
            BURST_KEY,
            "book",
            0.0,
            daemon,
        )


async def soak_bursts(seconds, folder, module=("cardamomdrift.platform",)):
    """Run the soak test until a violation or for some time; return its checker.

    Parameters
    ----------
    seconds : float
    folder : str
        Folder for the daemons' logs.
    module : sequence of str
        Module and arguments that start a daemon.
    """
    async with CustomerFleet(DAEMON_COUNT, folder, module) as fleet:
        clock = asyncio.get_running_loop().time
        checker = CustomerChecker(fleet.group)
        stalls = asyncio.create_task(checker.watch_stalls())
        await asyncio.sleep(STARTUP_TIME)
        limit = {"rate": BURST_RATE, "burst": BURST_SIZE}
        fleet.tenants = [tenant(BURST_CUSTOMER, BURST_KEY, **limit)]
        checker.keys[BURST_KEY] = KeyRecord(BURST_CUSTOMER)
        checker.limits[BURST_CUSTOMER].append(Limit(clock(), BURST_RATE, BURST_SIZE))
        fleet.configure()
        caller = BurstCaller(fleet, checker, random.Random(0))
        calling = asyncio.create_task(caller.run())
        end = clock() + seconds
        while clock() < end and not checker.violations and not calling.done():
            await asyncio.sleep(POLL_INTERVAL)
            checker.check_windows()
        calling.cancel()
        stalls.cancel()
        await asyncio.wait((calling, stalls))
        if not calling.cancelled():
            checker.violations.append(f"caller failed: {calling.exception()!r}")
        return checker


def main():
    """Run the soak test that the command line asks for and return the exit code."""
    module = ("cardamomdrift.platform",)
    if len(sys.argv) > 2:
        module = ("soak.broken", sys.argv[2])
    with tempfile.TemporaryDirectory() as folder:
        checker = asyncio.run(soak_bursts(float(sys.argv[1]), folder, module))
    print(
        f"{len(checker.runs[BURST_CUSTOMER])} operations checked, "
        f"{sum(checker.refused.values())} refused, "
        f"stalls up to {checker.longest_stall:.2f} s"
    )
    for violation in checker.violations:
        print(f"  {violation}")
    return 1 if checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
