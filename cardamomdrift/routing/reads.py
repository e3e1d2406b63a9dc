"""
Reads
=====

Serves a read outside transactions: finds its floor, a place, and proves that the
serving instance has reached the floor.  A read may be repeated until its first rows
have been passed on.
"""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

from cardamomdrift.errors import (
    AnswerCut,
    BadToken,
    FloorUnknown,
    ReadFailed,
    RefusedByInstance,
    StatementRefused,
    UpstreamError,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.limits.admission import make_ticket
from cardamomdrift.mysql.wire import Rows
from cardamomdrift.position import Position
from cardamomdrift.routing.answers import make_answer
from cardamomdrift.routing.cost import attempt_patience
from cardamomdrift.routing.dispatch import ForRead
from cardamomdrift.sessions.statement import shape_of

ATTEMPTS = 4
RETRY_PAUSE = 0.02  # seconds
CATCH_UP_PAUSE = 0.002  # seconds
PATIENCE = 0.01  # seconds that a replica may take to reach the floor


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """One read; times are in seconds of the loop's clock.

    Attributes
    ----------
    sql : str
    database : str or None
    caller : str
        Whose turn it takes in the queue.
    rule : FloorRule
    token_position : Position or None
    include_primary : bool
        Whether a floor sample must include the primary.
    priority : int
    arrived_at : float
    deadline_at : float
    """

    sql: str
    database: str | None
    caller: str
    rule: object
    token_position: Position | None
    include_primary: bool
    priority: int
    arrived_at: float
    deadline_at: float


class ReadAnswer:
    """Answer of a read, its origin, and the place that a long one still holds."""

    def __init__(self, answer, replica, stack=None):
        self.answer = answer
        self.replica = replica
        self._stack = stack

    async def close(self):
        """Give up the place; a result that was not read to its end is cut."""
        stack, self._stack = self._stack, None
        if stack is not None:
            await stack.aclose()


class _ReplicaBehind(Exception):
    """The instance has not reached the floor in the time that it was given."""

    def __init__(self, name):
        super().__init__(name)
        self.name = name


class ReadRunner:
    """Runs the reads of one group.

    Parameters
    ----------
    parts : GroupParts
        What the group's runners share.
    """

    def __init__(self, parts):
        self._parts = parts

    async def run(self, request):
        """Return the answer to a read.

        Raises
        ------
        CallerError
        """
        floor = await self._find_floor(request)
        self._parts.budget.earn()
        excluded = frozenset()
        failures = 0
        while failures < ATTEMPTS:
            try:
                return await self._once(request, floor, excluded, failures)
            except _ReplicaBehind as behind:
                excluded |= {behind.name}
                if len(excluded) == len(self._parts.instances):
                    excluded = frozenset()  # a new primary may have caught up by now
                    await asyncio.sleep(RETRY_PAUSE)
            except TimeoutError:
                break
            except UpstreamError:
                failures += 1
                if not self._parts.budget.spend():
                    break
                await asyncio.sleep(RETRY_PAUSE)
        raise ReadFailed("no instance answered")

    async def _find_floor(self, request):
        parts = self._parts
        try:
            return await parts.watch.floor(
                request.rule,
                parts.clock(),
                request.include_primary,
                request.deadline_at,
            )
        except TimeoutError:
            raise FloorUnknown("no majority of the group answered", 1.0) from None

    async def _once(self, request, floor, excluded, failures):
        costs = self._parts.costs
        shape = shape_of(request.sql)
        expected = costs.expected(shape)
        patience = attempt_patience(expected, failures)
        ticket = make_ticket(request, expected, costs.is_long(shape))
        async with AsyncExitStack() as stack:
            need = ForRead(floor, excluded)
            place = await stack.enter_async_context(
                self._parts.dispatcher.place(need, ticket)
            )
            runtime = self._parts.instances[place.name]
            try:
                connection = await stack.enter_async_context(
                    runtime.pool.connection(request.database, request.deadline_at)
                )
                await self._prove(connection, place, floor, request)
                result = await self._execute(
                    connection, runtime, request, shape, ticket, patience
                )
            except (UpstreamUnreachable, UpstreamLost):
                runtime.note_failure()
                raise
            replica = place.name != self._parts.view.primary
            if result.complete:
                return ReadAnswer(make_answer(result), replica)
            rows = _stream(result, connection, request.deadline_at)
            return ReadAnswer(Rows(result.columns, rows), replica, stack.pop_all())

    async def _prove(self, connection, place, floor, request):
        known = self._parts.view.instances[place.name]
        fresh_connection = (
            known.begun_at is None or connection.opened_at > known.begun_at
        )
        if known.position >= floor and not fresh_connection:
            return
        give_up_at = self._parts.clock() + PATIENCE
        while True:
            begun_at = self._parts.clock()
            async with asyncio.timeout_at(request.deadline_at):
                status = await connection.status()
            self._parts.watch.take(place.name, status, begun_at, self._parts.clock())
            if status.position >= floor:
                return
            leads = status.primary and status.fence_term == self._parts.view.term
            if leads and request.token_position == floor:
                raise BadToken("the token is ahead of its group")
            if self._parts.clock() >= give_up_at:
                raise _ReplicaBehind(place.name)
            await asyncio.sleep(CATCH_UP_PAUSE)

    async def _execute(self, connection, runtime, request, shape, ticket, patience):
        started = self._parts.clock()
        in_flight = runtime.in_flight
        give_up_at = min(request.deadline_at, started + patience)
        try:
            async with asyncio.timeout_at(give_up_at):
                result = await connection.execute(request.sql)
        except TimeoutError as error:
            # The other connections may have gone silent with this one.
            runtime.pool.drop_idle()
            raise UpstreamLost("the instance did not answer in time") from error
        except StatementRefused as error:
            raise RefusedByInstance(error.code, error.message) from error
        elapsed = self._parts.clock() - started
        self._parts.costs.learn(shape, elapsed)
        if ticket.long:
            self._parts.costs.note_long(elapsed, self._parts.clock())
        else:
            runtime.concurrency.learn(elapsed, in_flight)
        return result


async def _stream(result, connection, deadline_at):
    yield result.rows
    while connection.streaming:
        try:
            async with asyncio.timeout_at(deadline_at):
                rows = await connection.next_batch()
        except (UpstreamLost, TimeoutError) as error:
            reason = "the instance failed in the middle of the result"
            raise AnswerCut(reason) from error
        yield rows
