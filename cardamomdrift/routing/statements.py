"""
Statements
==========

Runs single statements of callers on a group's instances.  A read is sent to
another instance when its answer is late or does not come.  A write is sent again only
if it is known not to have run.  An answer of the primary is passed on only if the
instance is still the primary at that time.
"""

import asyncio

from cardamomdrift.deployment import RouteKind
from cardamomdrift.errors import (
    GUARD_ERRORS,
    DeadlinePassed,
    OutcomeUnknown,
    Overloaded,
    ReadFailed,
    RefusedByInstance,
    SetupBusy,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.ports import Refusal, Reply
from cardamomdrift.routing.attempt import (
    RETRY_AFTER,
    TryElsewhere,
    acquire_connection,
    all_tried,
    check_reply,
    count_primary_write,
    find_read_floor,
    record_unanswered,
    retry_pause,
    run_command,
    with_floor,
)
from cardamomdrift.routing.dispatch import ForWrite, need_of_read
from cardamomdrift.routing.lag_refusal import adapt_refusal, must_refuse
from cardamomdrift.routing.read_progress import (
    Attempt,
    ReadProgress,
    may_retry_at_primary,
)

# Multiple of the expected time; one statement in a hundred takes longer.
HEDGE_FACTOR = 6.0
HEDGE_MINIMUM = 0.05  # seconds
# Share of the target latency at which a hedge starts at the latest, so that its answer
# can still come within the target latency.  Such an answer has its full value.
HEDGE_TARGET_SHARE = 0.45
MAX_CONCURRENT_ATTEMPTS = 3  # the number of instances of a group
RETRYABLE_REFUSALS = frozenset((Refusal.FAILED, Refusal.TIMED_OUT))


class StatementRunner:
    """Runs the single statements of one group.

    Parameters
    ----------
    cluster : Cluster
    """

    def __init__(self, cluster):
        self._cluster = cluster
        self._tasks = set()

    # Writes

    async def write(self, request):
        """Run a write on the primary and return its Reply.

        Raises
        ------
        CallerError
        """
        cluster = self._cluster
        cluster.budget.earn()
        rounds = 0
        while True:
            try:
                reply = await self._attempt_write(request)
                if rounds:
                    cluster.budget.refund()
                return reply
            except TryElsewhere as failure:
                await self._back_off(request, failure, rounds)
                rounds += 1

    async def _attempt_write(self, request):
        cluster = self._cluster
        need = ForWrite()
        dispatcher = cluster.dispatcher_of(need)
        async with acquire_connection(cluster, dispatcher, need, request) as held:
            placement, runtime, connection = held
            if not cluster.is_primary(placement.name, placement.term):
                raise TryElsewhere(placement.name, "no longer the primary")
            started = cluster.clock()
            try:
                with count_primary_write(cluster):
                    async with asyncio.timeout_at(request.deadline_at):
                        request.trace.sent = True
                        reply = await run_command(
                            cluster,
                            connection,
                            placement.name,
                            request,
                            request.command,
                        )
            except SetupBusy as error:
                raise TryElsewhere(placement.name, error.code) from error
            except UpstreamUnreachable as error:
                record_unanswered(runtime, connection, error)
                raise TryElsewhere(placement.name, str(error)) from error
            except (UpstreamLost, TimeoutError) as error:
                record_unanswered(runtime, connection, error)
                reason = f"{placement.name} did not answer the write"
                raise OutcomeUnknown(reason) from error
            self._record_outcome(request, runtime, reply, started)
            check_reply(placement, reply)
            if not cluster.is_primary(placement.name, placement.term):
                raise OutcomeUnknown(f"{placement.name} was replaced meanwhile")
            self._record_time(request, runtime, started)
            return reply

    def _record_outcome(self, request, runtime, reply, started):
        cluster = self._cluster
        usual = cluster.costs.expected(request.route.database)
        cluster.pacing.record(runtime, reply, started, usual)

    def _record_time(self, request, runtime, started):
        cluster = self._cluster
        now = cluster.clock()
        if not runtime.pace.may_be_cold(now):
            cluster.costs.learn(request.route.database, now - started)

    async def _back_off(self, request, failure, rounds):
        """Wait before the next attempt, if there is time and budget for one.

        Parameters
        ----------
        request : StatementRequest
        failure : TryElsewhere
        rounds : int
            See `retry_pause`.
        """
        cluster = self._cluster
        request.trace.events.append(str(failure))
        cluster.counts.retries += 1
        expected = cluster.costs.expected(request.route.database)
        pause = retry_pause(rounds)
        if cluster.clock() + pause + expected > request.deadline_at:
            raise DeadlinePassed(str(failure), RETRY_AFTER)
        self._take_retry(failure)
        await asyncio.sleep(pause)

    def _take_retry(self, failure):
        """Take a retry from the budget; raise Overloaded if it has none.

        Load pattern: all replicas lag and refuse at once, so all reads go to the
        primary, which cannot serve them.  The budget limits these, too; without it the
        primary is flooded, since no daemon sees the load of the others.  Only one retry
        of each read needs no token; see `may_retry_at_primary`.
        """
        if not self._cluster.budget.spend():
            raise Overloaded(f"too many retries; {failure}", RETRY_AFTER)

    # Reads

    async def read(self, request):
        """Run a read on an instance that may serve it and return the Reply.

        Raises
        ------
        CallerError
        """
        self._cluster.budget.earn()
        progress = ReadProgress(find_read_floor(self._cluster, request))
        try:
            async with asyncio.timeout_at(request.deadline_at):
                while True:
                    self._start_attempt(request, progress)
                    reply = await self._first_reply(request, progress)
                    if reply is not None:
                        if progress.spent:
                            self._cluster.budget.refund()
                        return reply
        except Overloaded as error:
            adapted = adapt_refusal(self._cluster, request, progress.floor, error)
            raise adapted from (None if adapted is error else error)
        except TimeoutError as error:
            if not request.trace.sent:
                raise DeadlinePassed("no instance became free", RETRY_AFTER) from error
            raise ReadFailed("no answer in time") from error
        finally:
            for task, attempt in progress.running.items():
                if not attempt.sent:
                    # The caller may send its next statement now, so an unsent attempt
                    # must not run any more.
                    task.cancel()

    def _start_attempt(self, request, progress):
        attempt = Attempt()
        excluded = progress.take_excluded()
        work = self._attempt_read(request, progress.floor, excluded, attempt)
        task = asyncio.create_task(work)
        progress.running[task] = attempt
        # An attempt that was sent runs on after another has answered, because its
        # cancellation would close the connection.
        self._tasks.add(task)
        task.add_done_callback(self._end_attempt)

    def _end_attempt(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # If the attempt is still awaited, its failure is logged with the request.
            self._cluster.log.debug("attempt failed", error=str(task.exception()))

    async def _first_reply(self, request, progress):
        """Return the first Reply, or None if another attempt must be started."""
        running = progress.running
        while True:
            hedge_delay = self._hedge_delay(request, running)
            done, _ = await asyncio.wait(
                running, timeout=hedge_delay, return_when=asyncio.FIRST_COMPLETED
            )
            # Without a floor only the primary may answer, so hedging is impossible.
            hedge_possible = not done and progress.floor is not None
            if hedge_possible and self._reserve_hedge(request, progress):
                return None
            for task in done:
                attempt = running.pop(task)
                try:
                    return task.result()
                except GUARD_ERRORS as refusal:
                    if not running:
                        raise
                    # The attempts that were sent before are still answered.
                    request.trace.events.append(f"not asked again: {refusal}")
                except TryElsewhere as failure:
                    if running:
                        # The other attempts may still succeed, and no further one is
                        # started now.
                        progress.tried.add(failure.instance)
                        request.trace.events.append(str(failure))
                        continue
                    await self._handle_failure(request, failure, progress, attempt)
            if not running:
                return None

    async def _handle_failure(self, request, failure, progress, attempt):
        """Return if another attempt may follow a failed one; otherwise raise.

        A reply of RETRYABLE_REFUSALS is passed on to the caller if its instance has
        been tried already, unless that is only because the attempt was hedged.
        """
        cluster = self._cluster
        tried = progress.tried
        reply = failure.reply
        retryable = reply is not None and reply.refusal in RETRYABLE_REFUSALS
        if retryable and failure.instance in tried and not attempt.hedged:
            raise RefusedByInstance(reply.code, reply.detail)
        tried.add(failure.instance)
        if may_retry_at_primary(cluster, failure, progress):
            progress.use_primary_retry(cluster.view.primary, cluster.instances)
            cluster.counts.retries += 1
            cluster.counts.primary_retries += 1
            request.trace.events.append(str(failure))
            return
        if must_refuse(cluster, request, progress.floor, failure):
            cluster.counts.refused_lagging += 1
            raise Overloaded(f"the replicas lag; {failure}", RETRY_AFTER)
        progress.spent = True
        if all_tried(cluster, tried) or attempt.name is None:
            await self._back_off(request, failure, progress.rounds)
            progress.rounds += 1
            tried.clear()
        else:
            self._take_retry(failure)
            cluster.counts.retries += 1
            request.trace.events.append(str(failure))

    def _hedge_delay(self, request, running):
        """Return the seconds to wait before a hedge; None if no more are allowed."""
        if len(running) >= MAX_CONCURRENT_ATTEMPTS:
            return None
        expected = self._cluster.costs.expected(request.route.database)
        delay = max(HEDGE_MINIMUM, HEDGE_FACTOR * expected)
        return min(delay, HEDGE_TARGET_SHARE * request.route.target_latency)

    def _reserve_hedge(self, request, progress):
        """Take a hedge from the budget if an instance is free; return whether it did.

        The instances of the running attempts then count as tried.
        """
        cluster = self._cluster
        running = progress.running
        awaited = {attempt.name for attempt in running.values()}
        if request.route.kind is RouteKind.PRIMARY or None in awaited:
            return False
        asked = awaited | progress.tried
        free = any(
            name not in asked
            and runtime.usable
            and runtime.in_flight < runtime.limit
            and not runtime.pace.delay(cluster.clock())
            for name, runtime in cluster.instances.items()
        )
        if not free or not cluster.budget.spend():
            return False
        progress.tried |= awaited
        for attempt in running.values():
            attempt.hedged = True
        cluster.counts.hedges += 1
        request.trace.events.append(f"{' '.join(awaited)}: slow, asked another")
        return True

    async def _attempt_read(self, request, floor, excluded, attempt):
        cluster = self._cluster
        need = need_of_read(floor, excluded)
        dispatcher = cluster.dispatcher_of(need)
        command = request.command if floor is None else None
        async with acquire_connection(cluster, dispatcher, need, request) as held:
            placement, runtime, connection = held
            attempt.name = placement.name
            attempt.sent = True
            command = command or with_floor(request.command, floor)
            reply = await self._send(request, held, command)
            if reply.refusal is Refusal.BEHIND:
                cluster.counts.behind += 1
            if reply.refusal in RETRYABLE_REFUSALS:
                raise TryElsewhere(placement.name, reply.code, reply)
            check_reply(placement, reply)
            if floor is None and not cluster.is_primary(placement.name, placement.term):
                raise TryElsewhere(placement.name, "was replaced meanwhile")
            self._count_read(placement.name)
            return reply

    async def _send(self, request, held, command) -> Reply:
        placement, runtime, connection = held
        cluster = self._cluster
        started = cluster.clock()
        request.trace.sent = True
        try:
            async with asyncio.timeout_at(request.deadline_at):
                reply = await run_command(
                    cluster, connection, placement.name, request, command
                )
        except SetupBusy as error:
            raise TryElsewhere(placement.name, error.code) from error
        except UpstreamUnreachable as error:
            record_unanswered(runtime, connection, error)
            raise TryElsewhere(placement.name, str(error)) from error
        except (UpstreamLost, TimeoutError) as error:
            record_unanswered(runtime, connection, error)
            raise TryElsewhere(placement.name, f"no answer: {error}") from error
        self._record_outcome(request, runtime, reply, started)
        self._record_time(request, runtime, started)
        return reply

    def _count_read(self, name):
        role = "primary" if name == self._cluster.leadership.primary else "replica"
        self._cluster.counts.reads[role] += 1
