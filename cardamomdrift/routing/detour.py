"""
Detour
======

Sends statements to the primary over the connections of other daemons, while it answers
them but does not answer this daemon.
"""

import asyncio

from cardamomdrift.errors import UpstreamError
from cardamomdrift.upstreams.pinger import PING_TIMEOUT, ask_position
from cardamomdrift.util import cancel_all

DETOUR_AFTER = 0.15  # seconds without an answer; a direct ping is sent after 0.1 s
DETOUR_TIME = 0.6  # seconds that a detour is usable after a ping; three intervals
PING_INTERVAL = 0.2  # seconds between two pings over a detour


class Detour:
    """Detour to the primary of one group over connections of other daemons.

    Parameters
    ----------
    cluster : Cluster
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._task = None
        self._pinged_at = None

    async def close(self):
        """Cancel a running ping."""
        if self._task is not None:
            await cancel_all([self._task])

    def run_checks(self, now):
        """Begin, renew or end the detour."""
        cluster = self._cluster
        leadership = cluster.leadership
        primary = (
            cluster.instances.get(leadership.primary) if leadership.settled else None
        )
        direct = primary is None or self._is_direct(primary, now)
        for runtime in cluster.instances.values():
            if runtime.uses_detour and (direct or runtime is not primary):
                self._end(runtime)
        if direct:
            return
        if self._is_due(now) and cluster.reaching_daemons():
            self._pinged_at = now
            self._task = asyncio.create_task(self._ping(primary))

    @staticmethod
    def _is_direct(runtime, now):
        """Return whether an instance answers this daemon directly."""
        return runtime.silence.unanswered(now) < DETOUR_AFTER and not runtime.failed

    def _is_due(self, now):
        if self._task is not None and not self._task.done():
            return False
        return self._pinged_at is None or now >= self._pinged_at + PING_INTERVAL

    async def _ping(self, runtime):
        cluster = self._cluster
        deadline_at = cluster.clock() + PING_TIMEOUT
        connection = await runtime.pool.borrow(False, deadline_at)
        if connection is None:
            return
        try:
            async with asyncio.timeout_at(deadline_at):
                await ask_position(connection, read_only=True)
        except (UpstreamError, TimeoutError) as error:
            self._log("detour not usable", runtime, error=str(error))
            return
        finally:
            runtime.pool.release(connection)
        if not runtime.uses_detour:
            self._log("detour begun", runtime, lender=connection.lender)
        runtime.begin_detour(cluster.clock() + DETOUR_TIME)
        cluster.dispatch_waiting()

    def _end(self, runtime):
        runtime.end_detour()
        self._log("detour ended", runtime)

    def _log(self, event, runtime, **fields):
        group = self._cluster.group.name
        self._cluster.log.info(event, group=group, instance=runtime.spec.name, **fields)
