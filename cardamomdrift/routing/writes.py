"""
Writes
======

Runs writes outside transactions on the primary.  A write is acknowledged only when no
primary of a higher term can have replaced that primary before the commit.  The key of a
write is recorded in the same transaction, so that a repeated write finds it.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.bundle.model import Durability
from cardamomdrift.errors import (
    DeadlinePassed,
    KeyReused,
    NoPrimary,
    OutcomeUnknown,
    Overloaded,
    RefusedByInstance,
    StatementRefused,
    UpstreamError,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.limits.admission import make_ticket
from cardamomdrift.mysql.contract import REQUEST_TABLE
from cardamomdrift.mysql.wire import Ok
from cardamomdrift.position import Position
from cardamomdrift.routing.answers import make_answer
from cardamomdrift.routing.cost import attempt_timeout
from cardamomdrift.routing.dispatch import ForWrite
from cardamomdrift.routing.proof import Replaced, WriteProven, WriteQuestion
from cardamomdrift.sessions.parameters import quote
from cardamomdrift.sessions.statement import shape_of
from cardamomdrift.util import hash_text

DUPLICATE_KEY_ERROR = 1062  # MySQL error code
READ_ONLY_ERRORS = (1290, 1792, 1836)  # MySQL error codes
RETRY_PAUSE = 0.05  # seconds


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """One write; times are in seconds of the loop's clock.

    Attributes
    ----------
    sql : str
    database : str or None
    caller : str
        Caller whose turn it takes in the queue.
    key : str or None
        Idempotency key.
    repeatable : bool
        Whether it may run twice without harm.
    durability : Durability
    priority : int
    arrived_at : float
    deadline_at : float
    """

    sql: str
    database: str | None
    caller: str
    key: str | None
    repeatable: bool
    durability: Durability
    priority: int
    arrived_at: float
    deadline_at: float


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Answer of an acknowledged write, and a position that includes the write."""

    answer: object
    position: Position


class _WriteNotRun(Exception):
    """The write did not run; another attempt is safe."""


class _CommitUnknown(Exception):
    """The write may have been committed."""


def select_key(key):
    """Return the statement that looks up an idempotency key."""
    return (
        f"SELECT request_digest, affected_rows, insert_id FROM {REQUEST_TABLE} "
        f"WHERE request_key = {quote(key)}"
    )


def insert_key(key, digest, affected_rows, insert_id):
    """Return the statement that records an idempotency key."""
    return (
        f"INSERT INTO {REQUEST_TABLE} "
        "(request_key, request_digest, affected_rows, insert_id) VALUES "
        f"({quote(key)}, '{digest}', {affected_rows}, {insert_id})"
    )


class WriteRunner:
    """Runs the writes of one group.

    Parameters
    ----------
    components : GroupComponents
        Components that the group's runners share.
    """

    def __init__(self, components):
        self._components = components

    async def run(self, request):
        """Return the answer to a write once it may be acknowledged.

        Raises
        ------
        CallerError
        """
        self._components.budget.earn()
        unknown = False
        failures = 0
        while True:
            try:
                return await self._attempt(request, failures)
            except _WriteNotRun:
                pass
            except _CommitUnknown as error:
                unknown = True
                if request.key is None and not request.repeatable:
                    raise OutcomeUnknown("no answer to the write") from error
            except (Overloaded, DeadlinePassed, NoPrimary) as error:
                if unknown:
                    raise OutcomeUnknown("no answer to the write") from error
                raise
            failures += 1
            await self._pause_before_retry(request, unknown)

    async def _pause_before_retry(self, request, unknown):
        """Wait before the next attempt, if there is time and budget for one."""
        late = self._components.clock() + RETRY_PAUSE >= request.deadline_at
        if late or not self._components.budget.spend():
            if unknown:
                raise OutcomeUnknown("no answer to the write")
            raise NoPrimary("the primary could not be reached", 1.0)
        await asyncio.sleep(RETRY_PAUSE)

    async def _attempt(self, request, failures):
        components = self._components
        shape = shape_of(request.sql)
        expected = components.costs.expected(shape)
        ticket = make_ticket(request, expected)
        async with components.dispatcher.acquire(ForWrite(), ticket) as placement:
            runtime = components.instances[placement.name]
            try:
                async with runtime.pool.connection(
                    request.database, request.deadline_at
                ) as connection:
                    started = components.clock()
                    timeout = attempt_timeout(expected, failures)
                    answer = await self._run_statement(
                        connection, request, placement, started + timeout
                    )
                    components.costs.learn(shape, components.clock() - started)
            except UpstreamUnreachable as error:
                runtime.record_failure()
                raise _WriteNotRun() from error
            except (_CommitUnknown, _WriteNotRun):
                if not connection.waits_for_memory:
                    runtime.record_failure()
                    runtime.pool.drop_idle()
                raise
        position = await prove_commit(
            components, placement, request.durability, request.deadline_at, request.key
        )
        return WriteAnswer(answer, position)

    async def _run_statement(self, connection, request, placement, give_up_at):
        if request.key is not None:
            keyed_write = _KeyedWrite(self._components, connection, request, placement)
            return await keyed_write.run(min(give_up_at, request.deadline_at))
        try:
            async with asyncio.timeout_at(request.deadline_at):
                result = await connection.execute_all(request.sql)
        except StatementRefused as error:
            raise_refusal(self._components, error, placement)
        except (UpstreamLost, TimeoutError) as error:
            raise _CommitUnknown() from error
        if connection.in_transaction:
            # The connection is not used again, which rolls the transaction back.
            raise OutcomeUnknown("the statement left a transaction open")
        return make_answer(result)


def raise_refusal(components, error, placement):
    """Raise the error for a statement that an instance refused.

    Raises
    ------
    _WriteNotRun
        The instance accepts no writes, so it is not the primary any more.
    RefusedByInstance
    """
    if error.code in READ_ONLY_ERRORS:
        components.view.demote(placement.name, placement.term)
        components.instances[placement.name].prober.request_probe()
        raise _WriteNotRun() from error
    raise RefusedByInstance(error.code, error.message) from error


async def prove_commit(components, placement, durability, deadline_at, key):
    """Return a position that includes a committed write, once it may be acknowledged.

    Raises
    ------
    _CommitUnknown
        The primary was replaced; the write has a key, so another attempt is safe.
    OutcomeUnknown
        The primary was replaced and the write has no key, or nothing was proven by the
        deadline.
    """
    question = WriteQuestion(
        since=components.clock(),
        majority=components.spec.majority,
        primary=placement.name,
        term=placement.term,
        durability=durability,
    )
    try:
        proof = await components.status_collector.ask(question, deadline_at)
    except TimeoutError:
        raise OutcomeUnknown("the commit was not confirmed in time") from None
    match proof:
        case WriteProven(position):
            return position
        case Replaced(term) if key is not None:
            raise _CommitUnknown() from None
        case Replaced(term):
            raise OutcomeUnknown(f"the primary was replaced in term {term}")


class _KeyedWrite:
    """One attempt of a write with a key, as a transaction that records the key."""

    def __init__(self, components, connection, request, placement):
        self._components = components
        self._connection = connection
        self._request = request
        self._placement = placement
        self._digest = hash_text(request.sql)

    async def run(self, give_up_at):
        """Return the answer of this attempt, or of the earlier write with the key."""
        try:
            async with asyncio.timeout_at(give_up_at):
                return await self._transaction()
        except TimeoutError as error:
            # The connection is closed, so the transaction can commit only if its COMMIT
            # had been sent.
            raise _CommitUnknown() from error

    async def _transaction(self):
        connection = self._connection
        try:
            await connection.execute("BEGIN")
            result = await connection.execute_all(self._request.sql)
            await connection.execute(
                insert_key(
                    self._request.key,
                    self._digest,
                    result.affected_rows,
                    result.insert_id,
                )
            )
        except StatementRefused as error:
            return await self._handle_refusal(error)
        except UpstreamLost as error:
            raise _WriteNotRun() from error  # COMMIT was not sent
        try:
            await connection.execute("COMMIT")
        except StatementRefused as error:
            raise_refusal(self._components, error, self._placement)
        except UpstreamError as error:
            raise _CommitUnknown() from error
        return make_answer(result)

    async def _handle_refusal(self, error):
        try:
            await self._connection.execute("ROLLBACK")
            key_result = await self._connection.execute(select_key(self._request.key))
        except UpstreamError as failure:
            raise _WriteNotRun() from failure
        if not key_result.rows:
            raise_refusal(self._components, error, self._placement)
        digest, affected_rows, insert_id = key_result.rows[0]
        if digest.decode() != self._digest:
            raise KeyReused("the key was used for another statement")
        return Ok(int(affected_rows), int(insert_id))
