"""
Reads
=====

Serves reads outside transactions: finds the floor of a read, places it on an instance,
and verifies that the instance has reached the floor.  A read may be repeated until its
first rows have been passed on.
"""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

from cardamomdrift.errors import (
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
from cardamomdrift.position import Position
from cardamomdrift.routing.cost import attempt_timeout
from cardamomdrift.routing.dispatch import ForRead
from cardamomdrift.routing.read_answer import ReadAnswer
from cardamomdrift.sessions.statement import shape_of
from cardamomdrift.util import keep_task

MAX_ATTEMPTS = 4
RETRY_PAUSE = 0.02  # seconds
CATCH_UP_PAUSE = 0.002  # seconds
CATCH_UP_TIMEOUT = 0.01  # seconds that a replica may take to reach the floor


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """One read; times are in seconds of the loop's clock.

    Attributes
    ----------
    sql : str
    database : str or None
    caller : str
        Caller whose turn it takes in the queue.
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


class _ReplicaBehind(Exception):
    """The instance did not reach the floor within the catch-up timeout."""

    def __init__(self, name):
        super().__init__(name)
        self.name = name


class ReadRunner:
    """Runs the reads of one group.

    Parameters
    ----------
    components : GroupComponents
        Components that the group's runners share.
    """

    def __init__(self, components):
        self._components = components
        self._streamed = set()
        self._closing_tasks = set()

    async def run(self, request):
        """Return the answer to a read.

        Raises
        ------
        CallerError
        """
        floor = await self._find_floor(request)
        self._components.budget.earn()
        excluded = frozenset()
        failures = 0
        while failures < MAX_ATTEMPTS:
            try:
                return await self._attempt(request, floor, excluded, failures)
            except _ReplicaBehind as behind:
                excluded |= {behind.name}
                if len(excluded) == len(self._components.instances):
                    excluded = frozenset()  # a new primary may have reached the floor
                    await asyncio.sleep(RETRY_PAUSE)
            except TimeoutError:
                break
            except UpstreamError:
                failures += 1
                if not self._components.budget.spend():
                    break
                await asyncio.sleep(RETRY_PAUSE)
        raise ReadFailed("no instance answered")

    async def _find_floor(self, request):
        components = self._components
        try:
            return await components.status_collector.floor(
                request.rule,
                components.clock(),
                request.include_primary,
                request.deadline_at,
            )
        except TimeoutError:
            raise FloorUnknown("no majority of the group answered", 1.0) from None

    async def _attempt(self, request, floor, excluded, failures):
        costs = self._components.costs
        shape = shape_of(request.sql)
        expected = costs.expected(shape)
        timeout = attempt_timeout(expected, failures)
        ticket = make_ticket(request, expected, costs.is_long(shape))
        async with AsyncExitStack() as stack:
            need = ForRead(floor, excluded)
            placement = await stack.enter_async_context(
                self._components.dispatcher.acquire(need, ticket)
            )
            runtime = self._components.instances[placement.name]
            try:
                connection = await stack.enter_async_context(
                    runtime.pool.connection(request.database, request.deadline_at)
                )
                await self._verify_floor(connection, placement, floor, request)
                result = await self._execute(
                    connection, runtime, request, shape, ticket, timeout
                )
            except (UpstreamUnreachable, UpstreamLost):
                runtime.record_failure()
                raise
            replica = placement.name != self._components.view.primary
            answer = ReadAnswer(result, replica, placement.name, self._components.clock)
            if not result.complete:
                answer.stream(connection, stack.pop_all(), request.deadline_at)
                self._streamed.add(answer)
            return answer

    def cut_slow_answers(self, now):
        """Cut answers that are read slowly while requests wait for their instances."""
        for answer in list(self._streamed):
            if not answer.streamed:
                self._streamed.discard(answer)
            elif answer.may_be_cut(now):
                if self._components.dispatcher.is_awaited(answer.instance):
                    keep_task(self._closing_tasks, answer.cut())

    async def _verify_floor(self, connection, placement, floor, request):
        instance_view = self._components.view.instances[placement.name]
        fresh_connection = (
            instance_view.begun_at is None
            or connection.opened_at > instance_view.begun_at
        )
        if instance_view.position >= floor and not fresh_connection:
            return
        give_up_at = self._components.clock() + CATCH_UP_TIMEOUT
        while True:
            begun_at = self._components.clock()
            async with asyncio.timeout_at(request.deadline_at):
                status = await connection.status()
            self._components.status_collector.add_status(
                placement.name, status, begun_at, self._components.clock()
            )
            if status.position >= floor:
                return
            is_primary = (
                status.primary and status.fence_term == self._components.view.term
            )
            if is_primary and request.token_position == floor:
                raise BadToken("the token is ahead of its group")
            if self._components.clock() >= give_up_at:
                raise _ReplicaBehind(placement.name)
            await asyncio.sleep(CATCH_UP_PAUSE)

    async def _execute(self, connection, runtime, request, shape, ticket, timeout):
        started = self._components.clock()
        in_flight = runtime.in_flight
        give_up_at = min(request.deadline_at, started + timeout)
        try:
            async with asyncio.timeout_at(give_up_at):
                result = await connection.execute(request.sql)
        except TimeoutError as error:
            if connection.waits_for_memory:
                raise ReadFailed("there is no memory for the answer") from error
            # The other connections may have gone silent with this one.
            runtime.pool.drop_idle()
            raise UpstreamLost("the instance did not answer in time") from error
        except StatementRefused as error:
            raise RefusedByInstance(error.code, error.message) from error
        elapsed = self._components.clock() - started
        self._components.costs.learn(shape, elapsed)
        if ticket.long:
            self._components.costs.record_long(elapsed, self._components.clock())
        else:
            runtime.concurrency.learn(elapsed, in_flight)
        return result
