"""
Probe loop
==========

Base class for probing one instance.  Each requested probe begins after the request, and
only one runs at a time.
"""

import asyncio

from cardamomdrift.util import cancel_all


class ProbeLoop:
    """Probes an instance on request; an async context manager.

    Parameters
    ----------
    retry_interval : float
        Seconds to wait after a failure.
    """

    def __init__(self, retry_interval):
        self._retry_interval = retry_interval
        self._probe_requested = asyncio.Event()
        self._task = None
        self._probing = False

    @property
    def probing(self):
        """Whether a probe is under way, or the pause after one that failed."""
        return self._probing

    def request_probe(self):
        """Send another probe as soon as the one under way has ended."""
        self._probe_requested.set()

    async def __aenter__(self):
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info):
        await cancel_all([self._task])

    async def _run(self):
        while True:
            await self._probe_requested.wait()
            self._probe_requested.clear()
            self._probing = True
            try:
                if not await self._probe():
                    await asyncio.sleep(self._retry_interval)
            finally:
                self._probing = False

    async def _probe(self):
        """Send one probe and pass its answer on; return whether there was one."""
        raise NotImplementedError


def is_connection_refused(error):
    """Whether a connection failed because nothing listens at the address."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False
