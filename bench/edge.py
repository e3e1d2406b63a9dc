"""
Cost of log lines and borrowed connections
==========================================

Measures the processor time of one-row reads through daemons on the platform: with logs
on and off, and over own and borrowed connections (``python -m bench.edge``).  Blocks of
statements of both kinds alternate.  Stand-ins, daemons and the caller run in one
process, so their share of the time is the same in both kinds.
"""

import asyncio
import os
import statistics
import time

import structlog

from cardamomdrift.telemetry.line_writer import LineWriter
from cardamomdrift.telemetry.log import LEVELS, make_log, setup_bounded_logging
from tests.site import Site

BLOCKS = 20  # of each kind; they alternate, so a change of load affects both
BLOCK_STATEMENTS = 300  # few enough that the log's token bucket drops no line
BLOCK_PAUSE = 1.0  # seconds between blocks, in which the token bucket refills


def _silent_log():
    """Return a logger that drops all lines below its level, ``error``."""
    level = structlog.make_filtering_bound_logger(LEVELS["error"])
    return structlog.wrap_logger(None, wrapper_class=level)


async def _measure_block(caller):
    """Run a block and return the processor time of a statement, in microseconds."""
    before = time.process_time()
    for _ in range(BLOCK_STATEMENTS):
        await caller.ask("READ a")
    return (time.process_time() - before) / BLOCK_STATEMENTS * 1e6


async def measure_logs():
    """Return the times with and without log lines; print how many were dropped."""
    with open(os.devnull, "wb") as sink:
        writer = LineWriter(sink.fileno(), time.monotonic)
        async with Site(daemons=1) as site:
            setup_bounded_logging("info", writer)
            recorder = site.daemons["vm-1"]._recorder
            on, off = make_log("vm-1"), _silent_log()
            caller = await site.caller("vm-1", "look")
            times = {"logs on": [], "logs off": []}
            for _ in range(BLOCKS):
                recorder._log = on
                times["logs on"].append(await _measure_block(caller))
                recorder._log = off
                times["logs off"].append(await _measure_block(caller))
                await asyncio.sleep(BLOCK_PAUSE)
    print(f"lines left out: {writer.dropped}")
    return times


async def measure_loans():
    """Return the times over borrowed and over own connections."""
    async with Site(daemons=1, connections=1) as site:
        cluster = site.daemons["vm-1"].clusters.get("g")
        own_pools = [instance.pool for instance in cluster.instances.values()]
        await site.until(lambda: all(pool.size for pool in own_pools))
        # vm-1 owns the only connection of each instance, so vm-2 has to borrow.
        await site.start("vm-2")
        await site.until(lambda: site.usable("vm-2"))
        callers = [await site.caller(name, "look") for name in ("vm-1", "vm-2")]
        for caller in callers:
            await _measure_block(caller)
        times = {"borrowed": [], "own": []}
        for _ in range(BLOCKS):
            times["own"].append(await _measure_block(callers[0]))
            times["borrowed"].append(await _measure_block(callers[1]))
    return times


def report(times):
    """Print the times of both kinds of blocks and their differences."""
    first, second = times.values()
    differences = [a - b for a, b in zip(first, second, strict=True)]
    for name, values in (*times.items(), ("difference by block", differences)):
        median = statistics.median(values)
        print(f"{name}: {median:.0f} µs ({min(values):.0f} to {max(values):.0f})")


def main():
    """Measure and print both comparisons."""
    report(asyncio.run(measure_logs()))
    report(asyncio.run(measure_loans()))


if __name__ == "__main__":
    main()
