"""
Session handler
===============

One caller session: its values, prepared statements and transaction.  Commands that need
no instance are answered here; the others go to the group of the session's route.
"""

import asyncio
from dataclasses import dataclass

from cardamomdrift.clock import boot_clock
from cardamomdrift.customers.identity import NO_CUSTOMER
from cardamomdrift.errors import (
    GUARD_ERRORS,
    AccessDenied,
    BadRequest,
    CallerError,
    OutcomeUnknown,
    Overloaded,
    ReadFailed,
    ShuttingDown,
    TransactionLost,
    UnknownDatabase,
    UnknownStatement,
)
from cardamomdrift.limits.memory import STATE
from cardamomdrift.ports import TransactionState
from cardamomdrift.position import Position
from cardamomdrift.routing.pinned import PinnedTransaction
from cardamomdrift.routing.request import StatementRequest, find_deadline
from cardamomdrift.sessions.commands import (
    Begin,
    Commit,
    Discard,
    Execute,
    Malformed,
    Prepare,
    Read,
    Rollback,
    SetValue,
    Write,
)
from cardamomdrift.sessions.operations import Operations
from cardamomdrift.sessions.positions import SessionPositions
from cardamomdrift.sessions.state import (
    PREPARED_LIMIT,
    VALUES_LIMIT,
    SessionState,
)

RETRY_AFTER = 0.2  # seconds after which callers are told to retry
# Commands whose access the guard of their operation checks.
RUN_AT_INSTANCES = (Read, Write, Execute, Commit)
ENDS_FAILED = (Commit,)  # commands that end a failed transaction; it runs nowhere
SHUTDOWN_REASON = "the daemon is shutting down"


@dataclass(slots=True)
class Answer:
    """A successful answer; ``signature`` is empty if no instance ran the command."""

    rows: list
    signature: str
    position: Position | None = None


_EMPTY_ANSWER = Answer([], "")


class SessionHandler:
    """One session of a caller.

    Parameters
    ----------
    clusters : Clusters
        Finds routes and clusters, and records the outcomes of requests.
    database : str
        Name that the caller connected to.
    caller : str
        Name under which its requests queue where customers are not in force.
    identity : Identity, optional
        Customer and digest of the key that the caller showed.
    gate : AccessGate, optional
        Decides about each operation where customers are in force.
    """

    def __init__(self, clusters, database, caller, identity=NO_CUSTOMER, gate=None):
        self._clusters = clusters
        self._database = database
        self._caller = caller
        self._operations = Operations(identity, gate)
        self._session = SessionState()
        self._holder = None
        self._transaction = None
        self._state = TransactionState.IDLE
        self._positions = SessionPositions()
        self._last_route = None
        self.position = None

    @property
    def state(self):
        """Transaction state between two statements."""
        return self._state

    @property
    def database(self):
        """Name that the caller connected to."""
        return self._database

    @property
    def transaction(self):
        """The open transaction, or None."""
        return self._transaction

    async def handle(self, request_id, command, payload_bytes=0):
        """Return the Answer to a command.

        Parameters
        ----------
        request_id : str
        command : object
        payload_bytes : int
            Size of the text that must reach the instance unchanged.

        Raises
        ------
        CallerError
            ``state`` already holds the state to report to the caller.
        """
        self._check_key(request_id, command)
        if self._state is TransactionState.FAILED:
            return await self._handle_failed(command)
        match command:
            case Read() | Write() | Execute():
                return await self._run(request_id, command, payload_bytes)
            case Begin(read_only):
                return self._begin(read_only)
            case Commit():
                return await self._commit(request_id, command, payload_bytes)
            case Rollback():
                return self._rollback()
            case SetValue(name, value):
                return self._set_value(name, value)
            case Prepare():
                return self._prepare(command)
            case Discard(name):
                self._session.discard(name)
                self._account_state()
                return _EMPTY_ANSWER
            case Malformed(reason):
                self._fail()
                raise BadRequest(reason)
        raise TypeError(f"no handler for {type(command).__name__}")

    async def _handle_failed(self, command):
        match command:
            case Rollback():
                return self._rollback()
            case Commit():
                self._rollback()
                raise TransactionLost("the transaction had failed; it is rolled back")
        raise BadRequest("the transaction has failed; roll it back")

    def _fail(self):
        if self._state is TransactionState.OPEN:
            self._state = TransactionState.FAILED

    # Customers

    def _check_key(self, request_id, command):
        """Check the session's key for a command that runs at no instance.

        The guard checks the others.  What only ends a transaction is always allowed.

        Raises
        ------
        AccessDenied
        ProofExpired
        """
        failed = self._state is TransactionState.FAILED
        unchecked = ENDS_FAILED if failed else RUN_AT_INSTANCES
        route = self._present_route()
        if isinstance(command, (Rollback, Malformed, *unchecked)) or route is None:
            return
        try:
            self._operations.check(route)
        except GUARD_ERRORS as error:
            self._abandon(error)
            self._clusters.record(request_id, self._database, None, error)
            raise

    def _abandon(self, error):
        """Roll back an open transaction that its customer may not continue."""
        transaction = self._transaction
        self._fail()
        if transaction is not None and not transaction.lost:
            transaction.mark_lost(error)
            self._clusters.run_in_background(transaction.rollback())

    def end_if_withdrawn(self):
        """Roll back the open transaction if its key has been withdrawn.

        A statement that runs in it is answered before.  The state becomes FAILED with
        the next statement, since the caller learns of it only then.
        """
        transaction = self._transaction
        if transaction is None or transaction.busy or transaction.lost:
            return
        if self._operations.is_withdrawn(self._present_route()):
            transaction.mark_lost(TransactionLost("the key was withdrawn"))
            self._clusters.run_in_background(transaction.rollback())

    # Commands that need no instance

    def _set_value(self, name, value):
        values = self._session.values
        if name not in values and len(values) >= VALUES_LIMIT:
            self._fail()
            raise Overloaded("the session has too many values")
        self._keep(self._session.set_value(name, value))
        return _EMPTY_ANSWER

    def _prepare(self, command):
        prepared = self._session.prepared
        if command.name not in prepared and len(prepared) >= PREPARED_LIMIT:
            self._fail()
            raise Overloaded("the session has too many prepared statements")
        self._keep(self._session.prepare(command))
        return _EMPTY_ANSWER

    def _keep(self, kept):
        """Account for the session's state; raise Overloaded if it was not kept."""
        if not kept:
            self._fail()
            raise Overloaded("the session's values and statements take too many bytes")
        self._account_state()

    def _account_state(self):
        if self._holder is not None:
            self._holder.set(STATE, self._session.size)

    def use_memory(self, holder):
        """Account for the session's state in a MemoryHolder."""
        self._holder = holder
        self._session.size_limit = holder.budget.state_limit

    @property
    def state_size(self):
        """Bytes in memory of the session's values and prepared statements."""
        return self._session.size

    def refuse(self, reason):
        """Return the error of a command that is refused because of load."""
        self._fail()
        return Overloaded(reason, RETRY_AFTER)

    def _begin(self, read_only):
        if self._state is not TransactionState.IDLE:
            self._fail()
            raise BadRequest("a transaction is open")
        route = self._route()
        cluster = self._clusters.cluster_of(route)
        self._transaction = PinnedTransaction(cluster, read_only, route)
        self._state = TransactionState.OPEN
        self._clusters.track_transaction(self)
        return _EMPTY_ANSWER

    def _rollback(self):
        transaction, self._transaction = self._transaction, None
        self._state = TransactionState.IDLE
        self._operations.end_transaction()
        if transaction is not None:
            # The caller does not wait until the instance has rolled back.
            self._clusters.run_in_background(transaction.rollback())
        return _EMPTY_ANSWER

    # Commands that an instance runs

    def _route(self):
        route = self._clusters.route_of(self._database)
        if route is None:
            raise UnknownDatabase(f"no route for database {self._database}")
        self._last_route = route
        return route

    def _make_request(self, request_id, command, payload_bytes=0):
        prepared = None
        if isinstance(command, Execute):
            prepared = self._session.prepared.get(command.name)
            if prepared is None:
                raise UnknownStatement(f"nothing prepared as {command.name}")
        transaction = self._transaction
        route = self._route() if transaction is None else transaction.route
        now = self._clusters.clock()
        guard = self._operations.guard_for(
            self._present_route(), transaction is not None
        )
        return StatementRequest(
            request_id=request_id,
            command=command,
            prepared=prepared,
            values=dict(self._session.values),
            route=route,
            caller=guard.identity.customer or self._caller,
            customer=self._clusters.customer_of(guard.identity.customer),
            arrived_at=now,
            deadline_at=find_deadline(route, now, self._clusters.answer_by),
            arrived_boot=boot_clock(),
            last_write=self._positions.last_write(route.group),
            sample_since=self._positions.unplaced_at,
            payload_bytes=payload_bytes,
            identity=guard.identity,
            guard=guard,
        )

    def _present_route(self):
        """Return the route in force, or the last one if it was removed.

        It decides about access, which a transaction does not keep from its beginning.
        """
        return self._clusters.route_of(self._database) or self._last_route

    async def _run(self, request_id, command, payload_bytes):
        request = None
        try:
            request = self._make_request(request_id, command, payload_bytes)
            await self._admit(request)
            reply = await self._dispatch(request)
        except CallerError as error:
            self._end_failed(request, error)
            self.end_if_withdrawn()
            self._clusters.record(request_id, self._database, request, error)
            raise
        finally:
            if request is not None:
                self._operations.end_statement(request.guard)
        self.end_if_withdrawn()
        self._clusters.record(request_id, self._database, request, None)
        return self._make_answer(reply, request)

    async def _admit(self, request):
        """Admit the operation of a request, or raise the error that refuses it."""
        try:
            await request.guard.admit(request.deadline_boot)
        except AccessDenied as denied:
            route = self._present_route()
            if self._transaction is None or not self._operations.may_run_again(route):
                raise
            # The key is known, so a new transaction is served.
            error = TransactionLost("the customer of the session has changed")
            self._abandon(error)
            raise error from denied

    def _end_failed(self, request, error):
        """Apply the failure of a statement to its operation and its transaction."""
        if request is not None:
            request.guard.record_failure(error)
        if isinstance(error, GUARD_ERRORS):
            self._abandon(error)
        else:
            self._fail()

    async def _dispatch(self, request):
        if not self._clusters.can_answer(request):
            raise self._make_shutdown_error()
        if self._transaction is not None:
            return await self._transaction.run(request)
        runner = self._clusters.runner_of(request.route)
        if self._is_write(request):
            reply = await runner.write(request)
            self._record_write(request, reply)
            return reply
        return await runner.read(request)

    def _make_shutdown_error(self):
        """Return the error of a request that comes too late to be answered."""
        if self._transaction is not None:
            return TransactionLost(SHUTDOWN_REASON, RETRY_AFTER)
        return ShuttingDown(SHUTDOWN_REASON, RETRY_AFTER)

    @staticmethod
    def _is_write(request):
        if isinstance(request.command, Execute):
            return request.prepared.writes
        return isinstance(request.command, Write)

    def _record_write(self, request, reply):
        self._positions.record(request.route.group, reply.position, boot_clock())

    def _make_answer(self, reply, request):
        if reply.position is not None:
            self.position = reply.position
        return Answer(reply.rows, reply.signature, reply.position)

    async def _commit(self, request_id, command, payload_bytes):
        transaction = self._transaction
        if transaction is None:
            raise BadRequest("no transaction is open")
        request = self._make_request(request_id, command, payload_bytes)
        try:
            await self._admit(request)
            if not self._clusters.can_answer(request):
                self._rollback()
                raise TransactionLost(SHUTDOWN_REASON, RETRY_AFTER)
            reply = await transaction.commit(request)
        except CallerError as error:
            request.guard.record_failure(error)
            if isinstance(error, GUARD_ERRORS):
                self._rollback()
            self._clusters.record(request_id, self._database, request, error)
            raise
        finally:
            self._transaction = None
            self._state = TransactionState.IDLE
            self._operations.end_transaction()
        if transaction.wrote:
            self._record_write(request, reply)
        self._clusters.record(request_id, self._database, request, None)
        return self._make_answer(reply, request)

    # End

    def interrupt(self, command, reason):
        """Return the error of a command that ended without an outcome.

        An open transaction is rolled back when its connection closes, because its
        commit has not been sent.
        """
        if self._transaction is not None:
            self._fail()
            return TransactionLost(reason, RETRY_AFTER)
        if isinstance(command, Read):
            return ReadFailed(reason)
        return OutcomeUnknown(reason)

    def expire(self, now, limit):
        """Roll back a transaction that was idle too long; return whether it was.

        Parameters
        ----------
        now : float
        limit : float
            Seconds for which it may be idle.
        """
        transaction = self._transaction
        if transaction is None or not transaction.opened or transaction.busy:
            return False
        if now - transaction.idle_since < limit:
            return False
        # A statement may come before the rollback begins; it must not run.
        transaction.mark_expired()
        self._clusters.run_in_background(transaction.rollback())
        return True

    async def close(self):
        """End the session: an open transaction is rolled back."""
        transaction, self._transaction = self._transaction, None
        self._operations.end_transaction()
        if transaction is not None:
            await asyncio.shield(
                self._clusters.run_in_background(transaction.rollback())
            )
