"""
Loops
=====

Background work that must not end because one step of it failed.
"""

import asyncio

FAILURE_DELAY = 0.1  # seconds after a step that failed, so that a fault does not spin


async def repeat(name, step, log):
    """Run a step for ever; a failure of an unforeseen kind is logged and passed over.

    Parameters
    ----------
    name : str
        What the log calls the loop.
    step : coroutine function
        One round, its pause included.
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
