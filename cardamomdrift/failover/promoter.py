"""
Promoter
========

Carries out the actions of a promotion: statements on the instances and the row in the
table service.  Each step has a timeout; its outcome is an event of the promotion.
"""

import asyncio

from cardamomdrift.cloud.table import AppendConflict, Appended, AppendUnknown
from cardamomdrift.errors import DeadlinePassed, UpstreamError
from cardamomdrift.failover.promotion import (
    FENCE_GRACE,
    STEP_TIMEOUT,
    Fenced,
    FenceFailed,
    FenceInstance,
    FollowPrimary,
    Phase,
    Promoted,
    PromoteFailed,
    PromoteInstance,
    Recorded,
    RecordRefused,
    RecordTerm,
    RecordUnknown,
    Tick,
)
from cardamomdrift.mysql.connection import open_connection
from cardamomdrift.mysql.contract import (
    fence_statement,
    follow_statement,
    promote_statement,
)
from cardamomdrift.util import cancel_all, keep_task


class Promoter:
    """Runs one promotion.

    Parameters
    ----------
    promotion : Promotion
    spec : GroupSpec
    login : Login
    vm : str
    terms : TermLog
        Log to which the term's row is appended.
    clock : callable
    """

    def __init__(self, promotion, spec, login, vm, terms, clock):
        self._promotion = promotion
        self._specs = {instance.name: instance for instance in spec.instances}
        self._login = login
        self._vm = vm
        self._terms = terms
        self._clock = clock
        self._events = asyncio.Queue()
        self._tasks = set()

    async def run(self):
        """Run the promotion until it is done or failed; return whether it succeeded."""
        promotion = self._promotion
        self._start(promotion.begin())
        try:
            while promotion.phase not in (Phase.DONE, Phase.FAILED):
                event = await self._next_event()
                self._start(promotion.handle(event, self._clock()))
            if promotion.phase is Phase.DONE:
                await self._finish()
            return promotion.phase is Phase.DONE
        finally:
            await cancel_all(list(self._tasks))

    async def _finish(self):
        """Wait for the remaining steps, up to a limit; nothing depends on them."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=STEP_TIMEOUT)

    async def _next_event(self):
        try:
            async with asyncio.timeout(FENCE_GRACE):
                return await self._events.get()
        except TimeoutError:
            return Tick()

    def _start(self, actions):
        for action in actions:
            keep_task(self._tasks, self._carry_out(action))

    async def _carry_out(self, action):
        promotion = self._promotion
        match action:
            case FenceInstance(instance):
                statement = fence_statement(promotion.term, promotion.owner)
                status = await self._call(instance, statement)
                event = Fenced(instance, status) if status else FenceFailed(instance)
            case PromoteInstance(instance):
                statement = promote_statement(promotion.term, promotion.owner)
                status = await self._call(instance, statement)
                event = Promoted(status) if status else PromoteFailed()
            case FollowPrimary(instance, primary):
                endpoint = self._specs[primary].endpoint
                await self._call(instance, follow_statement(promotion.term, endpoint))
                return
            case RecordTerm(primary):
                event = await self._record(primary)
        self._events.put_nowait(event)

    async def _record(self, primary):
        promotion = self._promotion
        outcome = await self._terms.append(promotion.term, primary, promotion.owner)
        match outcome:
            case Appended():
                return Recorded()
            case AppendConflict():
                return RecordRefused()
            case AppendUnknown():
                return RecordUnknown()

    async def _call(self, instance, statement):
        return await call_instance(
            self._specs[instance], self._login, self._vm, statement, STEP_TIMEOUT
        )


async def call_instance(spec, login, vm, statement, timeout):
    """Call a procedure of an instance over a new connection.

    Returns
    -------
    The instance's status, or None if the call failed or timed out.
    """
    try:
        async with asyncio.timeout(timeout):
            connection = await open_connection(
                spec.address, spec.port, login, vm, timeout
            )
            try:
                return await connection.call(statement)
            finally:
                connection.close()
    except (UpstreamError, DeadlinePassed, TimeoutError):
        return None
