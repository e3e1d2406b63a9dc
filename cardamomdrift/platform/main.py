"""
Daemon process
==============

Runs one daemon on the users' platform until a signal or an operator stops it.
"""

import asyncio
import os
import signal
import sys
import time
from functools import partial

from returns.result import Failure, Success

from cardamomdrift.allocator import return_large_blocks
from cardamomdrift.platform.daemon import PlatformDaemon
from cardamomdrift.platform.settings import load_platform_settings
from cardamomdrift.telemetry.delay import TurnMeter
from cardamomdrift.telemetry.line_writer import LineWriter
from cardamomdrift.telemetry.log import make_log, setup_bounded_logging


async def run(settings, writer, turns):
    """Run a daemon until a shutdown is requested, then drain it."""
    loop = asyncio.get_running_loop()
    async with PlatformDaemon(settings, writer, turns) as daemon:
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, daemon.drain_requested.set)
        loop.add_signal_handler(
            signal.SIGHUP,
            lambda: daemon.log.info("SIGHUP ignored, settings are not reloaded"),
        )
        await daemon.drain_requested.wait()
        await daemon.stop()
    writer.flush()


def main():
    """Run the daemon of this VM; return its exit code, EX_CONFIG for bad settings."""
    return_large_blocks()
    writer = LineWriter(sys.stdout.fileno(), time.monotonic)
    setup_bounded_logging("info", writer)
    match load_platform_settings():
        case Failure(error):
            for fault in error.faults:
                make_log("unknown").error("settings not usable", fault=fault)
            return os.EX_CONFIG
        case Success(settings):
            turns = TurnMeter()
            loop_factory = partial(asyncio.SelectorEventLoop, turns)
            with asyncio.Runner(loop_factory=loop_factory) as runner:
                runner.run(run(settings, writer, turns))
            return os.EX_OK
