"""
Soak test
=========

Runs daemons under random faults and checks that they keep their guarantees: ``python -m
soak SEED SECONDS [BREAK]``.  ``BREAK`` names a deliberate defect of ``soak.broken``.
The exit code is 1 if a guarantee was violated; the daemons' logs are then kept in the
folder that is printed.
"""

import asyncio
import random
import sys
import tempfile
from pathlib import Path

from soak.callers import Caller
from soak.checker import Checker, find_token_faults
from soak.faults import FAULTS, STORE_FAULTS, FaultInjector
from soak.fleet import INSTANCE_CONNECTIONS, Fleet

DAEMON_COUNT = 4
SCARCE_CONNECTIONS = 4  # per instance; one daemon then has no share and borrows
SCARCE_SEED_INTERVAL = 4  # one seed in four runs with scarce connections
STORE_SEED_INTERVAL = 5  # one seed in five also draws from the faults of the store
# One seed in six has slow instances, and half of the callers rest in transactions.
RESTING_SEED_INTERVAL = 6
RESTING_SERVICE_TIME = 0.15  # seconds
CALLER_COUNT = 12
STARTUP_TIME = 2.0  # seconds in which the daemons find each other
RECOVERY_TIME = 3.0  # seconds without faults, before and while answers are counted
EXTENSION = 5  # greatest multiple of the time for which faults are injected
POLL_INTERVAL = 0.25  # seconds between two checks of a condition
MIN_RECOVERY_ANSWERS = 20  # answers that callers must get within RECOVERY_TIME


async def soak(
    seed,
    seconds,
    folder,
    module=("cardamomdrift.platform",),
    names=None,
    resting=None,
    stop_at=None,
    least_checked=0,
):
    """Run one soak test and return its Checker and the names of the faults injected.

    Parameters
    ----------
    seed : int
    seconds : float
        How long faults are injected.
    folder : str
        Folder for the daemons' logs.
    module : sequence of str
        Module and arguments that start a daemon.
    names : sequence of str, optional
        Names of the faults to draw from; all by default.
    resting : bool, optional
        Whether half of the callers rest in transactions; the seed decides by default.
    stop_at : str, optional
        Text of a violation that ends the soak as soon as it is seen.
    least_checked : int
        Writes, and reads, that the callers are to have sent before the faults end; a
        busy machine takes up to EXTENSION times as long for them.
    """
    rng = random.Random(seed)
    connections = (
        SCARCE_CONNECTIONS
        if seed % SCARCE_SEED_INTERVAL == SCARCE_SEED_INTERVAL - 1
        else INSTANCE_CONNECTIONS
    )
    if names is None and seed % STORE_SEED_INTERVAL == STORE_SEED_INTERVAL - 1:
        names = (*FAULTS, *STORE_FAULTS)
    if resting is None:
        resting = seed % RESTING_SEED_INTERVAL == RESTING_SEED_INTERVAL - 2
    async with Fleet(DAEMON_COUNT, folder, module, connections) as fleet:
        checker = Checker(fleet.group)
        injector = FaultInjector(fleet, rng, names)
        callers = _make_callers(fleet, checker, rng, resting)
        await asyncio.sleep(STARTUP_TIME)
        caller_tasks = [asyncio.create_task(caller.run()) for caller in callers]
        fault_task = asyncio.create_task(injector.run())
        refresh_task = asyncio.create_task(_refresh_instance_list(fleet))
        stopped = await _wait_until(
            lambda: stop_at is not None and checker.shows(stop_at), seconds
        )
        if not stopped:
            await _wait_until(
                lambda: min(len(checker.writes), checker.reads) >= least_checked,
                (EXTENSION - 1) * seconds,
            )
        fault_task.cancel()
        if not stopped:
            await injector.heal()
            await _check_recovery(checker, callers)
        for task in (refresh_task, *caller_tasks):
            task.cancel()
        await asyncio.wait(caller_tasks)
        for task in caller_tasks:
            if not task.cancelled() and task.exception() is not None:
                checker.violations.append(f"caller failed: {task.exception()!r}")
        checker.finish()
        checker.violations += find_token_faults(fleet.store.promotions)
        return checker, injector.injected


async def _check_recovery(checker, callers):
    """Check that the callers are served after the faults."""
    await asyncio.sleep(RECOVERY_TIME)

    def count_answers():
        return sum(caller.answers for caller in callers)

    expected = count_answers() + MIN_RECOVERY_ANSWERS
    if not await _wait_until(lambda: count_answers() >= expected, RECOVERY_TIME):
        checker.violations.append("callers are not served after the faults")


async def _wait_until(condition, seconds):
    """Wait until a condition holds, for some seconds at most; return whether it did."""
    clock = asyncio.get_running_loop().time
    end = clock() + seconds
    while clock() < end:
        if condition():
            return True
        await asyncio.sleep(POLL_INTERVAL)
    return condition()


def _make_callers(fleet, checker, rng, resting):
    """Return the callers.

    If ``resting`` is true, half of them rest in transactions, and instances are slow.
    """
    if resting:
        for instance in fleet.group.instances.values():
            instance.service_time = RESTING_SERVICE_TIME
    return [
        Caller(
            number,
            fleet,
            checker,
            random.Random(rng.random()),
            resting=resting and number % 2 == 0,
        )
        for number in range(CALLER_COUNT)
    ]


async def _refresh_instance_list(fleet):
    """Write the instances' entries regularly, as real instances do on the platform."""
    while True:
        await asyncio.sleep(0.1)
        fleet.list_instances()


def main():
    """Run the soak test that the command line asks for and return the exit code."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else random.randrange(1 << 30)
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 20.0
    module = ("cardamomdrift.platform",)
    if len(sys.argv) > 3:
        module = ("soak.broken", sys.argv[3])
    folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    checker, injected = asyncio.run(soak(seed, seconds, folder, module))
    print(
        f"seed {seed}: {len(checker.writes)} writes, {checker.reads} reads checked, "
        f"{len(injected)} faults injected, "
        f"{len(checker.violations)} violations; logs in {folder}"
    )
    for violation in checker.violations[:20]:
        print(f"  {violation}")
    if checker.violations:
        print(f"  faults injected: {' '.join(injected)}")
        return 1
    for log in Path(folder).iterdir():
        log.unlink()
    Path(folder).rmdir()
    return 0


if __name__ == "__main__":
    sys.exit(main())
