"""
Pinned transactions
===================

An interactive transaction holds one connection from its first statement to its end.  It
is opened with its first statement, so it can move to another connection until that
statement has been sent.
"""

import asyncio
from contextlib import AsyncExitStack

from cardamomdrift.errors import (
    CallerError,
    DeadlinePassed,
    OutcomeUnknown,
    Overloaded,
    RefusedByInstance,
    SetupBusy,
    TransactionLost,
    UpstreamError,
    UpstreamUnreachable,
)
from cardamomdrift.ports import Refusal, TransactionState
from cardamomdrift.routing.attempt import (
    RETRY_AFTER,
    RETRY_PAUSE,
    TryElsewhere,
    acquire_connection,
    all_tried,
    count_primary_write,
    find_read_floor,
    record_unanswered,
    retry_pause,
    run_command,
    send_with_setup,
)
from cardamomdrift.routing.dispatch import ForRead, ForTransaction
from cardamomdrift.sessions.commands import Begin, Execute, Rollback, Write
from cardamomdrift.sessions.state import plan_setup

ROLLBACK_TIMEOUT = 0.5  # seconds; a rollback needs no slot of the instance


class PinnedTransaction:
    """One interactive transaction of a caller.

    Parameters
    ----------
    cluster : Cluster
    read_only : bool
    route : Route
        Route in force at BEGIN; it holds until the end of the transaction.
    """

    def __init__(self, cluster, read_only, route):
        self._cluster = cluster
        self._read_only = read_only
        self._stack = AsyncExitStack()
        self._placement = None
        self._runtime = None
        self._connection = None
        self._on_primary = False
        self._wrote = False
        self._answered = False
        self._lost_error = None
        self._route = route
        self.idle_since = cluster.clock()
        self.busy = False

    @property
    def route(self):
        """Route in force at BEGIN."""
        return self._route

    @property
    def opened(self):
        """Whether it was opened on an instance and not rolled back since."""
        return self._connection is not None

    @property
    def lost(self):
        """Whether it failed, so that it can only be rolled back."""
        return self._lost_error is not None

    @property
    def wrote(self):
        """Whether a statement may have changed something."""
        return self._wrote

    async def run(self, request):
        """Run one statement and return its Reply.

        Raises
        ------
        CallerError
        """
        self._check_usable()
        self.busy = True
        rounds = 0
        try:
            while True:
                if not self.opened:
                    await self._open(request)
                try:
                    reply = await self._execute(request)
                except TryElsewhere as failure:
                    request.trace.events.append(str(failure))
                    await self.rollback()
                    await self._back_off(request, failure, rounds)
                    rounds += 1
                    continue
                self._answered = True
                return reply
        finally:
            self.busy = False
            self.idle_since = self._cluster.clock()

    def _check_usable(self):
        if self._lost_error is not None:
            raise self._lost_error

    # Opening

    async def _open(self, request):
        cluster = self._cluster
        cluster.budget.earn()
        behind = set()
        rounds = 0
        while True:
            try:
                await self._try_open(request, frozenset(behind))
                if rounds:
                    cluster.budget.refund()
                return
            except TryElsewhere as failure:
                await self._stack.aclose()
                request.trace.events.append(str(failure))
                cluster.counts.retries += 1
                if failure.behind:
                    behind.add(failure.instance)
                    if not all_tried(cluster, behind):
                        continue
                await self._back_off(request, failure, rounds)
                rounds += 1
                behind.clear()
            except BaseException:
                await self._stack.aclose()
                raise

    async def _back_off(self, request, failure, rounds):
        """Wait before the next attempt, if there is time and budget for one."""
        pause = retry_pause(rounds)
        if self._cluster.clock() + pause > request.deadline_at:
            raise DeadlinePassed(str(failure), RETRY_AFTER) from failure
        if not self._cluster.budget.spend():
            raise Overloaded(f"too many retries; {failure}", RETRY_AFTER) from failure
        await asyncio.sleep(pause)

    async def _try_open(self, request, excluded):
        """Open the transaction on an instance that is not excluded."""
        cluster = self._cluster
        floor = find_read_floor(cluster, request) if self._read_only else None
        if floor is None:
            dispatcher, need = cluster.primary_dispatcher, ForTransaction()
        else:
            dispatcher, need = cluster.any_dispatcher, ForRead(floor, excluded)
        context = acquire_connection(cluster, dispatcher, need, request, pinned=True)
        placement, runtime, connection = await self._stack.enter_async_context(context)
        reply = await self._begin(request, placement, runtime, connection, floor)
        if reply.refusal is Refusal.BEHIND:
            cluster.counts.behind += 1
        if reply.refusal is not None:
            raise TryElsewhere(placement.name, reply.code, reply)
        self._on_primary = floor is None
        if self._on_primary and not cluster.is_primary(placement.name, placement.term):
            connection.close()
            raise TryElsewhere(placement.name, "was replaced meanwhile")
        self._placement, self._runtime = placement, runtime
        self._connection = connection

    async def _begin(self, request, placement, runtime, connection, floor):
        """Bring the connection to the session's values and open the transaction."""
        setup = plan_setup(connection.loaded, request.values, None)
        step = (None, Begin(self._read_only, floor))
        try:
            async with asyncio.timeout_at(request.deadline_at):
                return await send_with_setup(
                    self._cluster, connection, placement.name, setup, step
                )
        except SetupBusy as error:
            raise TryElsewhere(placement.name, error.code) from error
        except (UpstreamError, TimeoutError) as error:
            record_unanswered(runtime, connection, error)
            raise TryElsewhere(
                placement.name, f"no answer to BEGIN: {error}"
            ) from error

    # Statements

    async def _execute(self, request):
        cluster = self._cluster
        trace = request.trace
        trace.instance = self._placement.name
        trace.generation = self._placement.term
        request.guard.check_access()
        trace.sent = True
        writes = isinstance(request.command, Write) or (
            isinstance(request.command, Execute) and request.prepared.writes
        )
        self._wrote = self._wrote or writes
        try:
            async with asyncio.timeout_at(request.deadline_at):
                reply = await run_command(
                    cluster,
                    self._connection,
                    self._placement.name,
                    request,
                    request.command,
                )
        except SetupBusy as error:
            if self._answered:
                raise
            self._wrote = False
            raise TryElsewhere(self._placement.name, error.code) from error
        except (UpstreamError, TimeoutError) as error:
            record_unanswered(self._runtime, self._connection, error)
            await self._fail(f"{self._placement.name} did not answer: {error}", error)
        if reply.refusal is None:
            return reply
        if reply.refusal is Refusal.BUSY and not self._answered:
            # The caller knows nothing of the transaction yet, so it may begin anew.
            self._wrote = False
            raise TryElsewhere(self._placement.name, reply.code, reply)
        if reply.refusal is Refusal.READ_ONLY:
            await self._fail(f"{self._placement.name} no longer leads", None)
        if reply.state is not TransactionState.OPEN:
            self._lost_error = TransactionLost(
                "an earlier statement failed", RETRY_AFTER
            )
        raise RefusedByInstance(reply.code, reply.detail)

    async def _fail(self, reason, cause):
        self._lost_error = TransactionLost(reason, RETRY_AFTER)
        self._connection.close()
        await self._stack.aclose()
        raise self._lost_error from cause

    async def commit(self, request):
        """Commit and return the Reply.

        Raises
        ------
        TransactionLost
            Nothing was committed.
        RefusedByInstance
        OutcomeUnknown
        """
        self._check_usable()
        self.busy = True
        if not self.opened:
            await self._open(request)
        placement = self._placement
        request.trace.instance = placement.name
        await self._check_commit_access(request)
        request.trace.sent = True
        try:
            with count_primary_write(self._cluster):
                async with asyncio.timeout_at(request.deadline_at):
                    reply = await self._send_commit(request)
        except UpstreamUnreachable as error:
            await self._fail(f"{placement.name} was not reached for the commit", error)
        except (UpstreamError, TimeoutError) as error:
            record_unanswered(self._runtime, self._connection, error)
            await self._handle_unanswered_commit(placement, error)
        await self._stack.aclose()
        self._check_commit(placement, reply)
        return reply

    async def _check_commit_access(self, request):
        """Roll back if the caller's key does not hold any more."""
        try:
            request.guard.check_access()
        except CallerError:
            await self.rollback()
            raise

    async def _send_commit(self, request):
        """Send the commit; repeat it while the instance refuses it as busy."""
        while True:
            reply = await run_command(
                self._cluster,
                self._connection,
                self._placement.name,
                request,
                request.command,
            )
            if reply.refusal is not Refusal.BUSY:
                return reply
            await asyncio.sleep(RETRY_PAUSE)
            await self._check_commit_access(request)

    async def _handle_unanswered_commit(self, placement, error):
        reason = f"{placement.name} did not answer the commit"
        if not self._wrote:
            await self._fail(reason, error)
        await self._stack.aclose()
        raise OutcomeUnknown(reason) from error

    def _check_commit(self, placement, reply):
        if reply.refusal is Refusal.READ_ONLY:
            raise TransactionLost(f"{placement.name} no longer leads", RETRY_AFTER)
        if reply.refusal is not None:
            raise RefusedByInstance(reply.code, reply.detail)
        if self._wrote and not self._cluster.is_primary(placement.name, placement.term):
            raise OutcomeUnknown(f"{placement.name} was replaced meanwhile")

    def mark_expired(self):
        """Let no further statement run, since the transaction was idle for too long.

        It must be rolled back afterwards.
        """
        self.mark_lost(TransactionLost("the transaction was idle for too long"))

    def mark_lost(self, error):
        """Let no further statement run; each ends with the error.

        It must be rolled back afterwards.

        Parameters
        ----------
        error : CallerError
        """
        self._lost_error = error

    async def rollback(self):
        """Roll back and release the connection; close it if it does not answer."""
        connection, self._connection = self._connection, None
        if connection is not None and connection.reusable:
            try:
                async with asyncio.timeout(ROLLBACK_TIMEOUT):
                    await connection.exchange([(None, Rollback())])
            except (UpstreamError, TimeoutError) as error:
                self._cluster.log.info(
                    "rollback not answered, connection closed",
                    instance=self._placement.name,
                    error=f"{type(error).__name__} {error}",
                )
                connection.close()
        elif connection is not None:
            connection.close()
        await self._stack.aclose()
