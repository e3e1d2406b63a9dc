"""
Cost of log lines
=================

Processor time of one-row reads through a daemon on the platform's edge, in blocks with
logs on and off: ``python -m bench.logs``.  The stand-ins
and the caller run in the same process, so their part is the same in both columns.
"""

import asyncio
import os
import statistics
import time

import structlog

from cardamomdrift.telemetry.lines import LineWriter
from cardamomdrift.telemetry.log import LEVELS, make_log, setup_bounded_logging
from tests.site import Site

BLOCKS = 20  # of each kind, in turns, so that a change of load meets both
STATEMENTS = 300  # in a block; below the budget of lines
PAUSE = 1.0  # seconds between blocks, in which the budget fills again


def _silent_log():
    """Return a logger that takes lines and drops them at its level."""
    level = structlog.make_filtering_bound_logger(LEVELS["error"])
    return structlog.wrap_logger(None, wrapper_class=level)


async def _block(caller):
    """Return the processor time of a statement, in microseconds."""
    before = time.process_time()
    for _ in range(STATEMENTS):
        await caller.ask("READ a")
    return (time.process_time() - before) / STATEMENTS * 1e6


async def measure():
    """Return the times with and without log lines, and how many lines were left out."""
    with open(os.devnull, "wb") as sink:
        writer = LineWriter(sink.fileno(), time.monotonic)
        async with Site(daemons=1) as site:
            setup_bounded_logging("info", writer)
            recorder = site.daemons["vm-1"]._recorder
            on, off = make_log("vm-1"), _silent_log()
            recorder._log = on
            caller = await site.caller("vm-1", "look")
            await _block(caller)
            with_lines, without = [], []
            for _ in range(BLOCKS):
                recorder._log = on
                with_lines.append(await _block(caller))
                recorder._log = off
                without.append(await _block(caller))
                await asyncio.sleep(PAUSE)
    return with_lines, without, writer.dropped


def main():
    """Measure and print a table."""
    with_lines, without, dropped = asyncio.run(measure())
    differences = [a - b for a, b in zip(with_lines, without, strict=True)]
    print("processor time of a statement, µs: median (least to most) of blocks")
    for name, times in (
        ("logs on", with_lines),
        ("logs off", without),
        ("difference, block by block", differences),
    ):
        middle = statistics.median(times)
        print(f"{name}: {middle:.0f} ({min(times):.0f} to {max(times):.0f})")
    print(f"lines left out: {dropped}")


if __name__ == "__main__":
    main()
