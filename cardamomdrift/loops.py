"""
Loops
=====

Background loops that continue after a failed step.
"""

import asyncio

FAILURE_DELAY = 0.1  # seconds; prevents a busy loop when every step fails


async def repeat(name, step, log):
    """Run a step forever; an exception is logged, and the loop continues.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    step : coroutine function
        One iteration, its pause included.
    log : structlog logger
    """
    while True:
        try:
            await step()
        except Exception as error:
            log.error(
                "loop step failed",
                loop=name,
                error=f"{type(error).__name__} {error}",
                exc_info=True,
            )
            await asyncio.sleep(FAILURE_DELAY)
