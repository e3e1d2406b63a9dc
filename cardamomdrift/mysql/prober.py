"""
Instance prober
===============

Probes the status of one instance, one probe at a time.  Each request for a status gets
a probe that begins after the request.  A probe without an answer closes its connection,
and the next one opens a new connection.  This tells a broken connection from a dead
instance.
"""

import asyncio

from cardamomdrift.errors import (
    DeadlinePassed,
    UpstreamBusy,
    UpstreamError,
    UpstreamUnreachable,
)
from cardamomdrift.upstreams.probe_loop import ProbeLoop, is_connection_refused

PROBE_TIMEOUT = 0.5  # seconds
RETRY_INTERVAL = 0.1  # seconds after a failure
CONTROL_CONNECTIONS = 1  # of each pool, for probes


class InstanceProber(ProbeLoop):
    """Probes the status of one instance; an async context manager.

    Parameters
    ----------
    name : str
    pool : InstancePool
        Pool that provides the control connection.
    listener : GroupRuntime
        Receives the answers and failures.
    clock : callable
    """

    def __init__(self, name, pool, listener, clock):
        super().__init__(RETRY_INTERVAL)
        self._name = name
        self._pool = pool
        self._listener = listener
        self._clock = clock
        self._connection = None
        self._probes_sent = 0

    @property
    def probes_sent(self):
        """Number of probes sent."""
        return self._probes_sent

    async def __aexit__(self, *exc_info):
        await super().__aexit__(*exc_info)
        self._close_connection()

    def _close_connection(self):
        if self._connection is not None:
            self._connection.close()
            self._pool.release(self._connection)
            self._connection = None

    async def _probe(self):
        if self._pool.limit < CONTROL_CONNECTIONS:
            return False
        self._listener.probe_begun(self._name, self._clock())
        try:
            status, begun_at = await self._query_status()
        except (UpstreamBusy, DeadlinePassed):
            # Not a failed probe: the instance answered that it has too many
            # connections, or this VM's pool had none free.
            self._listener.probe_without_connection(self._name)
            return False
        except (UpstreamError, TimeoutError) as error:
            self._close_connection()
            refused = isinstance(error, UpstreamUnreachable) and is_connection_refused(
                error
            )
            self._listener.probe_failed(self._name, self._clock(), refused)
            return False
        self._listener.probe_answered(self._name, status, begun_at, self._clock())
        return True

    async def _query_status(self):
        deadline_at = self._clock() + PROBE_TIMEOUT
        if self._connection is None:
            self._connection = await self._pool.acquire(deadline_at)
        begun_at = self._clock()
        self._probes_sent += 1
        async with asyncio.timeout_at(deadline_at):
            return await self._connection.status(), begun_at
