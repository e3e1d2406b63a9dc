"""
Transactions
============

An interactive transaction of a caller holds one connection to the primary from BEGIN to
its end.  Statements of other callers do not run on that connection meanwhile.
"""

import asyncio
import math
from contextlib import AsyncExitStack
from dataclasses import dataclass

from cardamomdrift.bundle.model import Durability
from cardamomdrift.errors import (
    AlreadyDone,
    NoPrimary,
    OutcomeUnknown,
    RefusedByInstance,
    StatementRefused,
    TransactionLost,
    UpstreamError,
)
from cardamomdrift.limits.admission import make_ticket
from cardamomdrift.mysql.wire import Ok
from cardamomdrift.routing.answers import make_answer
from cardamomdrift.routing.dispatch import ForTransaction
from cardamomdrift.routing.samples import FloorRule
from cardamomdrift.routing.writes import (
    DUPLICATE_KEY_ERROR,
    READ_ONLY_ERRORS,
    insert_key,
    prove_commit,
)
from cardamomdrift.util import hash_text

BEGIN_COST = 0.005  # seconds expected for the opening of a transaction
IDLE_LIMIT = 30.0  # seconds between two statements of a transaction


@dataclass(frozen=True, slots=True)
class TransactionRequest:
    """Request to open a transaction; times are in seconds of the loop's clock.

    Attributes
    ----------
    begin_sql : str
        The caller's statement that opens the transaction.
    database : str or None
    caller : str
        Caller whose turn it takes in the queue.
    key : str or None
        Idempotency key.
    durability : Durability
    priority : int
    at_least : Position
        Lower bound of the floor.
    arrived_at : float
    statement_deadline : float
        Seconds that the opening and each statement may take.
    """

    begin_sql: str
    database: str | None
    caller: str
    key: str | None
    durability: Durability
    priority: int
    at_least: object
    arrived_at: float
    statement_deadline: float

    @property
    def deadline_at(self):
        """When the transaction must have been opened."""
        return self.arrived_at + self.statement_deadline


class Transaction:
    """One interactive transaction on the primary."""

    def __init__(self, components, request):
        self._components = components
        self._request = request
        self._stack = AsyncExitStack()
        self._connection = None
        self._placement = None
        self._wrote = False
        self._idle_since = 0.0
        self._lost_error = None

    @property
    def idle_since(self):
        """When the last statement ended; infinity while one runs."""
        return self._idle_since

    @property
    def wrote(self):
        """Whether a statement may have changed something."""
        return self._wrote

    async def open(self):
        """Open the transaction on the primary.

        Raises
        ------
        CallerError
        """
        request = self._request
        deadline_at = request.deadline_at
        ticket = make_ticket(request, BEGIN_COST)
        try:
            await self._acquire_connection(ticket, deadline_at)
            await self._begin(deadline_at)
        except (UpstreamError, TimeoutError) as error:
            await self.close()
            raise NoPrimary("the primary could not be reached", 1.0) from error
        except BaseException:
            await self.close()
            raise
        self._idle_since = self._components.clock()

    async def _acquire_connection(self, ticket, deadline_at):
        components = self._components
        self._placement = await self._stack.enter_async_context(
            components.dispatcher.acquire(ForTransaction(), ticket)
        )
        pool = components.instances[self._placement.name].pool
        self._connection = await self._stack.enter_async_context(
            pool.connection(self._request.database, deadline_at)
        )

    async def _begin(self, deadline_at):
        components = self._components
        now = components.clock()
        rule = FloorRule(now, self._request.at_least)
        floor = await components.status_collector.floor(rule, now, True, deadline_at)
        async with asyncio.timeout_at(deadline_at):
            status = await self._connection.status()
            if not status.primary or status.position < floor:
                components.status_collector.add_status(
                    self._placement.name, status, now, components.clock()
                )
                raise NoPrimary("the primary was replaced", 0.2)
            await self._connection.execute(self._request.begin_sql)
            if self._request.key is not None:
                await self._record_key()

    async def _record_key(self):
        key = self._request.key
        try:
            await self._connection.execute(insert_key(key, hash_text(key), 0, 0))
        except StatementRefused as error:
            if error.code == DUPLICATE_KEY_ERROR:
                raise AlreadyDone(
                    "a transaction with this key was committed"
                ) from error
            raise
        self._wrote = True

    async def execute(self, sql, writes):
        """Run one statement inside the transaction.

        Raises
        ------
        TransactionLost
            The transaction can no longer be committed.
        OutcomeUnknown
            The statement ended the transaction, as a procedure may do.
        RefusedByInstance
        """
        self._check_usable()
        self._wrote = self._wrote or writes
        self._idle_since = math.inf
        deadline_at = self._components.clock() + self._request.statement_deadline
        try:
            async with asyncio.timeout_at(deadline_at):
                result = await self._connection.execute_all(sql)
        except StatementRefused as error:
            if error.code in READ_ONLY_ERRORS:
                await self._fail(error)
            raise RefusedByInstance(error.code, error.message) from error
        except (UpstreamError, TimeoutError) as error:
            await self._fail(error)
        finally:
            self._idle_since = self._components.clock()
        if not self._connection.in_transaction:
            self._lost_error = OutcomeUnknown("a statement ended the transaction")
            await self.close()
            raise self._lost_error
        return make_answer(result)

    def _check_usable(self):
        if self._lost_error is not None:
            raise self._lost_error

    async def _fail(self, cause):
        self._lost_error = TransactionLost(
            "the connection of the transaction was lost", 0.2
        )
        await self.close()
        raise self._lost_error from cause

    async def commit(self):
        """Commit; return a position that includes the writes, None if there are none.

        Raises
        ------
        TransactionLost
        OutcomeUnknown
        """
        self._check_usable()
        deadline_at = self._components.clock() + self._request.statement_deadline
        try:
            async with asyncio.timeout_at(deadline_at):
                await self._connection.execute("COMMIT")
        except StatementRefused as error:
            await self._fail(error)
        except (UpstreamError, TimeoutError) as error:
            await self.close()
            if not self._wrote:
                raise TransactionLost("the connection was lost", 0.2) from error
            raise OutcomeUnknown("no answer to the commit") from error
        await self.close()
        if not self._wrote:
            return None
        return await prove_commit(
            self._components,
            self._placement,
            self._request.durability,
            deadline_at,
            None,
        )

    async def rollback(self):
        """Roll back; close the connection if it does not answer."""
        if self._lost_error is None and self._connection is not None:
            try:
                async with asyncio.timeout(self._request.statement_deadline):
                    await self._connection.execute("ROLLBACK")
            except (UpstreamError, TimeoutError):
                self._connection.close()
        await self.close()
        return Ok()

    async def abandon(self):
        """End a transaction whose caller has disconnected; close its connection."""
        if self._connection is not None:
            self._connection.close()
        await self.close()

    async def close(self):
        """Release the connection, if it is still held."""
        stack, self._stack = self._stack, AsyncExitStack()
        await stack.aclose()
