"""
Callers
=======

Serves callers over the line protocol.  Each connection has a task of its own, which
runs one statement at a time.
"""

import asyncio
from functools import partial

from cardamomdrift.customers.identity import NO_CUSTOMER
from cardamomdrift.errors import (
    BadRequest,
    CallerError,
    Overloaded,
    PacketTooLarge,
    UnknownDatabase,
    UpstreamLost,
)
from cardamomdrift.limits.memory import (
    CURRENT_HOLDER,
    REQUESTS,
    ROWS,
    memory_size,
)
from cardamomdrift.listening import listen
from cardamomdrift.platform.line_protocol import (
    Query,
    Start,
    Terminate,
    parse_message,
    render_answer,
    render_error,
    render_failure,
    render_ready,
    render_rows,
)
from cardamomdrift.platform.stream import LineStream
from cardamomdrift.ports import TransactionState
from cardamomdrift.session_limits import SessionLimits
from cardamomdrift.sessions.commands import (
    Execute,
    Malformed,
    Prepare,
    Read,
    SetValue,
    Write,
)
from cardamomdrift.sessions.handler import SessionHandler
from cardamomdrift.util import MILLISECONDS, cancel_all

START_TIMEOUT = 2.0  # seconds; callers give up if opening a session takes longer
# Seconds for which a session that opens before the first configuration waits for it.
FIRST_CONFIGURATION_TIMEOUT = 1.8
UNCONFIGURED_RETRY_AFTER = 0.5  # seconds, sent to a caller that waited in vain
REFUSAL_TIMEOUT = 1.0  # seconds to read on after a message that is too large
FINISH_TIMEOUT = 0.2  # seconds to send the last answers at a shutdown
# Statements and bytes of one connection after which the others have their turn.
TURN_STATEMENTS = 16
TURN_BYTES = 64 * 1024
# Seconds between two looks at an incomplete message, above which it may be another one.
SEEN_INTERVAL = 1.0
LARGE_ANSWER = 64 * 1024  # characters above which rows are sent one by one


class _Session:
    """Connection of a caller with its session handler and its task.

    Attributes
    ----------
    busy : bool
        Whether a statement has been read and not answered yet.
    interrupted : bool
        Whether the statement is to be answered with an error when its task is
        cancelled.
    holder : MemoryHolder or None
        What it holds of the memory budget.
    owner : str or None
        Customer of the session, or its source address without customers.
    """

    def __init__(self, stream):
        self.holder = None
        self.owner = None
        self._seen = None
        self.stream = stream
        self.handler = None
        self.task = None
        self.busy = False
        self.interrupted = False

    @property
    def idle(self):
        """Whether no request, transaction or unread data would be lost by closing."""
        if self.busy or self.stream.has_unread_data:
            return False
        return self.handler is None or self.handler.state is TransactionState.IDLE

    @property
    def closable(self):
        """Whether no request, unread data or transaction at an instance is lost."""
        transaction = None if self.handler is None else self.handler.transaction
        opened = transaction is not None and transaction.opened
        return not (self.busy or self.stream.has_unread_data or opened)

    def message_begun_at(self, now):
        """Return when the incomplete message was first seen; None if there is none.

        To be called at intervals; after a longer pause the time begins anew.

        Parameters
        ----------
        now : float
        """
        stream = self.stream
        seen, self._seen = self._seen, None
        if self.busy or stream.has_line or not stream.has_unread_data:
            return None
        begun_at = now
        if seen is not None:
            lines_read, first_seen_at, last_seen_at = seen
            if lines_read == stream.lines_read and now - last_seen_at < SEEN_INTERVAL:
                begun_at = first_seen_at
        self._seen = stream.lines_read, begun_at, now
        return begun_at

    def end(self):
        """Close immediately; a statement that runs is left without an answer."""
        self.stream.abort()
        if self.busy and self.task is not None:
            self.interrupted = False
            self.task.cancel()


class CallerServer:
    """Server for callers; an async context manager.

    Parameters
    ----------
    address : (str, int)
    clusters : Clusters
    log : structlog logger
    gate : AccessGate, optional
        Decides who may open sessions; None where customers are not in force.
    budget : MemoryBudget, optional
    connection_limit : int, optional

    Attributes
    ----------
    limits : SessionLimits
    """

    def __init__(
        self, address, clusters, log, gate=None, budget=None, connection_limit=None
    ):
        self._gate = gate
        self.limits = SessionLimits(budget, connection_limit, clusters.clock, log)
        self._address = address
        self._clusters = clusters
        self._log = log
        self._server = None
        self._sessions = set()
        self._draining = False
        self._finishing = False

    @property
    def session_count(self):
        """Number of connected callers."""
        return len(self._sessions)

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        await self.limits.__aenter__()
        start = partial(loop.create_server, lambda: LineStream(self._accept))
        self._server = await listen(start, self._address)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        await cancel_all([session.task for session in self._sessions])
        await self.limits.__aexit__(*exc_info)

    def _accept(self, stream):
        session = _Session(stream)
        if not self.limits.admit(session):
            stream.abort()
            return
        self._sessions.add(session)
        session.task = asyncio.create_task(self._serve(session))

    async def _serve(self, session):
        try:
            CURRENT_HOLDER.set(session.holder)
            if await self._open_session(session):
                self.limits.mark_started(session)
                session.handler.use_memory(session.holder)
                await self._serve_queries(session)
        except UpstreamLost:
            # The caller's connection has ended.
            return
        except PacketTooLarge as error:
            self._log.warning("caller's message too large", error=str(error))
            session.stream.write(render_error(BadRequest(str(error))))
            await session.stream.finish(REFUSAL_TIMEOUT)
        except Exception as error:
            self._log.error(
                "session failed", error=f"{type(error).__name__} {error}", exc_info=True
            )
        finally:
            self._sessions.discard(session)
            self.limits.forget(session)
            session.stream.close()
            if session.handler is not None:
                await session.handler.close()

    async def _open_session(self, session):
        """Read and answer START; return whether the session is open."""
        stream = session.stream
        try:
            async with asyncio.timeout(START_TIMEOUT):
                message = parse_message(await stream.read_line())
        except TimeoutError:
            return False
        match message:
            case Start(database, key):
                pass
            case Malformed(reason):
                stream.write(render_error(BadRequest(reason)))
                return False
            case _:
                stream.write(render_error(BadRequest("START comes first")))
                return False
        if self._clusters.deployment is None and not await self._wait_deployed(session):
            return False
        try:
            identity = await self._identify(database, key)
        except CallerError as error:
            self._log_refusal(database, error)
            stream.write(render_error(error))
            return False
        session.owner = identity.customer or stream.peer_address[0]
        caller = f"{stream.peer_address[0]}:{stream.peer_address[1]}"
        session.handler = SessionHandler(
            self._clusters, database, caller, identity, self._gate
        )
        stream.write(render_ready(TransactionState.IDLE, None))
        return True

    async def _identify(self, database, key):
        """Return the Identity of a session, or raise the error that refuses it.

        Raises
        ------
        CallerError
        """
        if self._gate is not None:
            return await self._gate.open_session(database, key)
        if self._clusters.route_of(database) is None:
            raise UnknownDatabase(f"no route for database {database}")
        return NO_CUSTOMER

    def _log_refusal(self, database, error):
        fields = {}
        if self._gate is not None:
            fields["proof_ms"] = self._gate.proof_milliseconds()
        self._log.info(
            "session refused", database=database, reason=str(error), **fields
        )

    async def _wait_deployed(self, session):
        """Wait for the first configuration; return whether the session can open.

        A daemon that has just started cannot tell which databases exist.
        """
        started = self._clusters.clock()
        if await self._clusters.wait_deployed(FIRST_CONFIGURATION_TIMEOUT):
            return True
        error = Overloaded("no configuration is known yet", UNCONFIGURED_RETRY_AFTER)
        waited_ms = round((self._clusters.clock() - started) * MILLISECONDS)
        self._log.info("session refused", reason=str(error), waited_ms=waited_ms)
        session.stream.write(render_error(error))
        return False

    async def _serve_queries(self, session):
        stream = session.stream
        statements = size = 0
        while True:
            if not stream.has_line:
                statements = size = 0
            line = await stream.read_line()
            session.busy = True
            statements += 1
            size += len(line)
            line_bytes = memory_size(line)
            message = parse_message(line)
            del line
            match message:
                case Query():
                    # The message is handed over so that it can be freed early.
                    queries = [message]
                    del message
                    await self._answer_query(session, queries, line_bytes)
                case Terminate():
                    return
                case Malformed(reason):
                    stream.write(render_error(BadRequest(reason)))
                    return
                case _:
                    stream.write(render_error(BadRequest("the session is open")))
                    return
            session.busy = False
            self.limits.mark_used(session)
            if self._draining and session.idle:
                return
            if self._finishing and not stream.has_unread_data:
                return
            await stream.drain()
            if statements >= TURN_STATEMENTS or size >= TURN_BYTES:
                statements = size = 0
                await asyncio.sleep(0)

    async def _answer_query(self, session, queries, line_bytes):
        """Run a statement and send its answer, accounting for both if they are large.

        Parameters
        ----------
        session : _Session
        queries : list of Query
            The one query, which is taken out.
        line_bytes : int
            Size of its message in memory.
        """
        holder = session.holder
        needed = line_bytes + session.handler.state_size
        is_large = needed > holder.budget.share
        query = queries.pop()
        if is_large:
            if self._refuses(session, query.command, line_bytes):
                error = session.handler.refuse("the daemon is short of memory")
                self._send_failure(session, error)
                return
            holder.set(REQUESTS, needed)
        try:
            answer = await self._run_query(session, query)
            del query
            if answer is not None:
                await self._send_answer(session, answer)
        finally:
            if is_large:
                holder.set(REQUESTS, 0)
            holder.set(ROWS, 0)

    def _refuses(self, session, command, line_bytes):
        """Return whether a statement is refused because memory is short.

        Only what an instance runs needs the session's state a second time.
        """
        handler = session.handler
        match command:
            case Read() | Write() | Execute():
                needed = line_bytes + handler.state_size
            case SetValue() | Prepare():
                needed = line_bytes
            case _:
                return False
        return self.limits.refuses(session, needed)

    async def _run_query(self, session, query):
        """Return the Answer to a query; None if its error has been sent."""
        handler = session.handler
        command = query.command
        try:
            return await handler.handle(query.request_id, command, query.payload_bytes)
        except CallerError as error:
            self._send_failure(session, error)
        except asyncio.CancelledError:
            if not session.interrupted:
                raise
            session.task.uncancel()
            error = handler.interrupt(command, "the daemon is shutting down")
            self._send_failure(session, error)
        except Exception:
            error = handler.interrupt(command, "internal error")
            self._send_failure(session, error)
            raise
        return None

    @staticmethod
    def _send_failure(session, error):
        handler = session.handler
        session.stream.write(render_failure(error, handler.state, handler.position))

    async def _send_answer(self, session, answer):
        """Send an answer; a large one in pieces, as the caller reads them."""
        handler, rows = session.handler, answer.rows
        size = sum(map(len, rows))
        if size > LARGE_ANSWER:
            await self._send_rows(session, rows, size)
            rows = []
        session.stream.write(
            render_answer(rows, answer.signature, handler.state, answer.position)
        )

    async def _send_rows(self, session, rows, size):
        """Send rows as the caller reads them, or at once at a shutdown."""
        stream, holder = session.stream, session.holder
        waits = True
        held = sum(map(memory_size, rows))
        size_left = size
        for taken, data in render_rows(rows, LARGE_ANSWER):
            size_left -= taken
            stream.write(data)
            del data
            stream.account_unsent()
            holder.set(ROWS, held * size_left // size)
            try:
                if waits:
                    await stream.drain()
            except asyncio.CancelledError:
                if not session.interrupted:
                    raise
                session.task.uncancel()
                waits = False

    def close_idle(self):
        """Close idle sessions immediately, and the others as soon as they are idle."""
        self._draining = True
        for session in list(self._sessions):
            if session.idle:
                session.stream.close()

    async def finish(self):
        """Answer the statements that still run, and close all sessions.

        Sessions with an open transaction stay open for FINISH_TIMEOUT, so that their
        next statement is refused instead of lost.
        """
        self._server.close()
        self._finishing = True
        for session in self._sessions:
            if session.busy:
                session.interrupted = True
                session.task.cancel()
        self.close_idle()
        tasks = [session.task for session in self._sessions]
        if tasks:
            await asyncio.wait(tasks, timeout=FINISH_TIMEOUT)
        for session in list(self._sessions):
            session.stream.close()
