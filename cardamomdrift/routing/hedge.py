"""
Hedged reads
============

Runs a second attempt of a slow read elsewhere and takes the first answer.  The other
attempt runs on in the background to its own deadline, so that its connection ends
clean.
"""

import asyncio


class Hedger:
    """Races attempts and looks after those that lost."""

    def __init__(self):
        self._losers = set()

    async def close(self):
        """Cancel the attempts that nobody waits for."""
        for task in list(self._losers):
            task.cancel()
        await asyncio.gather(*self._losers, return_exceptions=True)

    async def run(self, first, second, delay):
        """Return the first answer.

        Parameters
        ----------
        first : coroutine
        second : callable
            Returns the coroutine of the second attempt, or None if it may not run.
        delay : float
            Seconds after which the second attempt starts.
        """
        tasks = [asyncio.create_task(first)]
        try:
            done, _ = await asyncio.wait(tasks, timeout=delay)
            if not done:
                coroutine = second()
                if coroutine is not None:
                    tasks.append(asyncio.create_task(coroutine))
            return await self._first_answer(tasks)
        except asyncio.CancelledError:
            for task in tasks:
                task.cancel()
            raise

    async def _first_answer(self, tasks):
        pending = set(tasks)
        failure = None
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                failure = task.exception()
                if failure is None:
                    self._keep(pending)
                    return task.result()
        raise failure

    def _keep(self, tasks):
        for task in tasks:
            self._losers.add(task)
            task.add_done_callback(self._drop)

    def _drop(self, task):
        self._losers.discard(task)
        if not task.cancelled() and task.exception() is None:
            task.result().discard()
