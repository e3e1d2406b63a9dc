"""
Write gap
=========

Measures the longest time between two acknowledged writes around a failure, by cause,
and counts promotions while the primary is slow but alive.
"""

import asyncio
import random
import statistics
import time

from asyncmy.errors import Error

from bench.load import Callers, first_group, print_table, query, run_site
from cardamomdrift.membership.rendezvous import rank

GAP_REPEATS = 3


async def _measure_write_gap(fleet, database, cause, random_source):
    """Return the longest time between two acknowledged writes around a failure.

    ``cause`` is a value of `CAUSES`: it makes something fail and may return a function
    that undoes the failure.
    """
    vms = sorted(fleet.daemons)
    acknowledged = [time.monotonic()]
    stop = asyncio.Event()

    async def write(number):
        connection = await fleet.connect(vms[number % len(vms)], database)
        count = 0
        while not stop.is_set():
            count += 1
            try:
                await query(
                    connection,
                    f"/* cardamomdrift: key={number}-{count}-{time.time()} */ "
                    f"INSERT INTO records (session, number) VALUES ('w{number}', 1)",
                )
            except (Error, RuntimeError):
                connection.close()
                await asyncio.sleep(0.02)
                vm = random_source.choice(sorted(fleet.daemons))
                connection = await fleet.connect(vm, database)
                continue
            acknowledged.append(time.monotonic())
            await asyncio.sleep(0.01)
        connection.close()

    writers = [asyncio.create_task(write(number)) for number in range(4)]
    await asyncio.sleep(0.5)
    failed_at = time.monotonic()
    undo = await cause(fleet)
    while acknowledged[-1] < failed_at + 0.5 and time.monotonic() < failed_at + 30:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*writers)
    if undo is not None:
        undo()
    times = sorted(
        acknowledged_at
        for acknowledged_at in acknowledged
        if acknowledged_at >= failed_at - 0.1
    )
    return max(b - a for a, b in zip(times, times[1:], strict=False))


def _first_standin_group(fleet):
    return next(iter(fleet.deployment.groups.values()))


async def _crash(fleet):
    _first_standin_group(fleet).primary.crash()


async def _partition(fleet):
    primary = _first_standin_group(fleet).primary
    primary.partition()
    return primary.heal


async def _crash_and_slow_platform(fleet):
    fleet.deployment.platform.faults.delay = 0.5
    _first_standin_group(fleet).primary.crash()


async def _crash_and_platform_down(fleet):
    fleet.deployment.platform.faults.down = True
    _first_standin_group(fleet).primary.crash()


async def _crash_and_paused_promoter(fleet):
    """Crash the primary; the first promoter fences a majority, then stops for good."""
    name, _ = first_group(fleet)
    instances = _first_standin_group(fleet).instances
    old_primary = _first_standin_group(fleet).primary
    old_primary.crash()
    for instance in instances.values():
        if instance is not old_primary:
            instance.fence(2, f"paused {name}")


async def _partition_and_platform_down(fleet):
    fleet.deployment.platform.faults.down = True
    return await _partition(fleet)


async def _crash_with_first_promoter(fleet):
    """Crash the primary and kill the daemon that would promote first."""
    name, _ = first_group(fleet)
    first_promoter = rank(name, sorted(fleet.daemons))[0]
    _first_standin_group(fleet).primary.crash()
    await fleet.kill_daemon(first_promoter)


CAUSES = {
    "crash": _crash,
    "partition, old primary still leads": _partition,
    "crash, platform answers 500 ms late": _crash_and_slow_platform,
    "crash, platform down": _crash_and_platform_down,
    "crash, first promoter paused after fencing": _crash_and_paused_promoter,
    "partition and platform down": _partition_and_platform_down,
    "crash of primary and first promoter's daemon": _crash_with_first_promoter,
}


async def measure_write_gap(site, seed):
    """Measure the write gap by cause, with a baseline without failover."""
    random_source = random.Random(seed)
    rows = []
    for name, cause in CAUSES.items():
        gaps = []
        for _ in range(GAP_REPEATS):
            async with run_site(site, daemons=4) as fleet:
                _, database = first_group(fleet)
                gaps.append(
                    await _measure_write_gap(fleet, database, cause, random_source)
                )
        rows.append(
            (name, f"{statistics.median(gaps):.2f}", f"{max(gaps):.2f}", len(gaps))
        )
    rows.append(("without failover (baseline)", "unbounded", "unbounded", "not run"))
    print_table(f"{site}: write gap", ("cause", "median s", "longest s", "runs"), rows)


async def measure_false_promotions(site, seed):
    """Count promotions while the primary is slow but alive."""
    async with run_site(site, daemons=4) as fleet:
        _, database = first_group(fleet)
        callers = Callers(fleet, database, random.Random(seed))
        sql = "SELECT /* cost_ms=800 */ COUNT(*) FROM places FOR UPDATE"
        tasks = await callers.run(20, 6.0, lambda _: (sql, "slow"))
        await asyncio.gather(*tasks)
        promoted = sum(
            group.counts.promoted
            for daemon in fleet.daemons.values()
            for group in daemon.service.groups.values()
        )
    print(f"\n{site}: primary saturated for 6 s, promotions: {promoted} (target 0)")
