"""
Statements
==========

Runs single statements of callers at a group's instances.  A read is asked again
elsewhere when its answer does not come; a write is sent again only if the instance says
that it did not run.  What the primary answered counts only if it is still the primary
when the answer is passed on.
"""

import asyncio

from cardamomdrift.deployment import RouteKind
from cardamomdrift.errors import (
    DeadlinePassed,
    OutcomeUnknown,
    Overloaded,
    ReadFailed,
    RefusedByInstance,
    UpstreamLost,
    UpstreamUnreachable,
)
from cardamomdrift.ports import Refusal, Reply
from cardamomdrift.routing.attempt import (
    RETRY_AFTER,
    RETRY_PAUSE,
    TryElsewhere,
    check_reply,
    note_failed,
    placed,
    primary_work,
    read_floor,
    run_on,
    with_floor,
)
from cardamomdrift.routing.dispatch import ForRead, ForWrite

HEDGE_FACTOR = 6.0  # of the expected time; one statement in a hundred takes longer
HEDGE_MINIMUM = 0.05  # seconds
HEDGE_SHARE = 0.45  # of the time within which an answer is of full use
ATTEMPTS_AT_ONCE = 3  # instances of a group
RETRY_KINDS = frozenset((Refusal.FAILED, Refusal.TIMED_OUT))


class StatementRunner:
    """Single statements of one group.

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
        while True:
            try:
                return await self._write_once(request)
            except TryElsewhere as failure:
                await self._pause(request, failure)

    async def _write_once(self, request):
        cluster = self._cluster
        dispatcher = cluster.for_primary
        async with placed(cluster, dispatcher, ForWrite(), request) as held:
            place, runtime, connection = held
            if not cluster.is_primary(place.name, place.term):
                raise TryElsewhere(place.name, "no longer the primary")
            started = cluster.clock()
            try:
                with primary_work(cluster):
                    async with asyncio.timeout_at(request.deadline_at):
                        request.trace.sent = True
                        reply = await run_on(
                            cluster, connection, place.name, request, request.command
                        )
            except UpstreamUnreachable as error:
                note_failed(runtime, connection)
                raise TryElsewhere(place.name, str(error)) from error
            except (UpstreamLost, TimeoutError) as error:
                note_failed(runtime, connection)
                reason = f"{place.name} did not answer the write"
                raise OutcomeUnknown(reason) from error
            check_reply(place, reply)
            if not cluster.is_primary(place.name, place.term):
                raise OutcomeUnknown(f"{place.name} was replaced meanwhile")
            self._learn(request, started)
            return reply

    def _learn(self, request, started):
        cluster = self._cluster
        cluster.costs.learn(request.route.database, cluster.clock() - started)

    async def _pause(self, request, failure):
        """Wait before the next attempt, if there is time and budget for one."""
        cluster = self._cluster
        request.trace.events.append(str(failure))
        cluster.counts.retries += 1
        expected = cluster.costs.expected(request.route.database)
        if cluster.clock() + RETRY_PAUSE + expected > request.deadline_at:
            raise DeadlinePassed(str(failure), RETRY_AFTER)
        behind = failure.reply is not None and failure.reply.refusal is Refusal.BEHIND
        # A replica that is behind refuses at once and spends no slot.
        if not behind and not cluster.budget.spend():
            raise Overloaded(f"too many retries; {failure}", RETRY_AFTER)
        await asyncio.sleep(RETRY_PAUSE)

    # Reads

    async def read(self, request):
        """Run a read on a safe instance and return its Reply.

        Raises
        ------
        CallerError
        """
        self._cluster.budget.earn()
        floor = read_floor(self._cluster, request)
        tried = set()
        running = {}
        try:
            async with asyncio.timeout_at(request.deadline_at):
                while True:
                    self._start_attempt(request, floor, tried, running)
                    reply = await self._first_answer(request, floor, tried, running)
                    if reply is not None:
                        return reply
        except TimeoutError as error:
            if not request.trace.sent:
                raise DeadlinePassed("no instance became free", RETRY_AFTER) from error
            raise ReadFailed("no answer in time") from error
        finally:
            for task, attempt in running.items():
                if not attempt.sent:
                    # The caller may go on, so it must not run any more.
                    task.cancel()

    def _start_attempt(self, request, floor, tried, running):
        attempt = _Attempt()
        work = self._read_once(request, floor, frozenset(tried), attempt)
        task = asyncio.create_task(work)
        running[task] = attempt
        # One that loses after it was sent goes on, so that its connection is kept.
        self._tasks.add(task)
        task.add_done_callback(self._end_attempt)

    def _end_attempt(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            # Whoever still waits for the attempt logs it with the request.
            self._cluster.log.debug("attempt failed", error=str(task.exception()))

    async def _first_answer(self, request, floor, tried, running):
        """Return the first Reply, or None if another attempt is to be made."""
        while True:
            patience = self._patience(request, running)
            done, _ = await asyncio.wait(
                running, timeout=patience, return_when=asyncio.FIRST_COMPLETED
            )
            # Without a floor only the primary may answer, so there is no other to ask.
            hedges = not done and floor is not None
            if hedges and self._may_hedge(request, tried, running):
                return None
            for task in done:
                attempt = running.pop(task)
                try:
                    return task.result()
                except TryElsewhere as failure:
                    await self._note_failure(request, failure, tried, attempt)
            if not running:
                return None

    async def _note_failure(self, request, failure, tried, attempt):
        cluster = self._cluster
        reply = failure.reply
        final = reply is not None and reply.refusal in RETRY_KINDS
        if final and failure.instance in tried:
            raise RefusedByInstance(reply.code, reply.detail)
        tried.add(failure.instance)
        usable = {name for name, one in cluster.instances.items() if one.usable}
        if usable <= tried or attempt.name is None:
            await self._pause(request, failure)
            tried.clear()
        elif not cluster.budget.spend():
            raise Overloaded(f"too many retries; {failure}", RETRY_AFTER)
        else:
            cluster.counts.retries += 1
            request.trace.events.append(str(failure))

    def _patience(self, request, running):
        """Return the seconds to wait before a further attempt is worth while."""
        if len(running) >= ATTEMPTS_AT_ONCE:
            return None
        expected = self._cluster.costs.expected(request.route.database)
        hedge = max(HEDGE_MINIMUM, HEDGE_FACTOR * expected)
        return min(hedge, HEDGE_SHARE * request.route.target_latency)

    def _may_hedge(self, request, tried, running):
        cluster = self._cluster
        waiting = {attempt.name for attempt in running.values()}
        if request.route.kind is RouteKind.PRIMARY or None in waiting:
            return False
        names = waiting | tried
        free = any(
            name not in names and one.usable and one.in_flight < one.limit
            for name, one in cluster.instances.items()
        )
        if not free or not cluster.budget.spend():
            return False
        tried |= waiting
        cluster.counts.hedges += 1
        request.trace.events.append(f"{' '.join(waiting)}: slow, asked another")
        return True

    async def _read_once(self, request, floor, excluded, attempt):
        cluster = self._cluster
        if floor is None:
            dispatcher, need = cluster.for_primary, ForWrite()
        else:
            dispatcher, need = cluster.for_any, ForRead(floor, excluded)
        command = request.command if floor is None else None
        async with placed(cluster, dispatcher, need, request) as held:
            place, runtime, connection = held
            attempt.name = place.name
            attempt.sent = True
            command = command or with_floor(request.command, floor)
            reply = await self._ask(request, held, command)
            if reply.refusal is Refusal.BEHIND:
                cluster.counts.behind += 1
            if reply.refusal in RETRY_KINDS:
                raise TryElsewhere(place.name, reply.code, reply)
            check_reply(place, reply)
            if floor is None and not cluster.is_primary(place.name, place.term):
                raise TryElsewhere(place.name, "was replaced meanwhile")
            self._count_read(place.name)
            return reply

    async def _ask(self, request, held, command) -> Reply:
        place, runtime, connection = held
        cluster = self._cluster
        started = cluster.clock()
        request.trace.sent = True
        try:
            async with asyncio.timeout_at(request.deadline_at):
                reply = await run_on(cluster, connection, place.name, request, command)
        except UpstreamUnreachable as error:
            note_failed(runtime, connection)
            raise TryElsewhere(place.name, str(error)) from error
        except (UpstreamLost, TimeoutError) as error:
            note_failed(runtime, connection)
            raise TryElsewhere(place.name, f"no answer: {error}") from error
        self._learn(request, started)
        return reply

    def _count_read(self, name):
        role = "primary" if name == self._cluster.leadership.primary else "replica"
        self._cluster.counts.reads[role] += 1


class _Attempt:
    """One attempt of a read: where it runs, once placed, and whether it was sent."""

    __slots__ = ("name", "sent")

    def __init__(self):
        self.name = None
        self.sent = False
