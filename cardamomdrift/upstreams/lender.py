"""
Lender
======

Lends this VM's connections to other daemons.  A connection goes back to its pool only
if the borrower returns it outside a transaction; otherwise it is closed, and the
instance rolls back.
"""

import asyncio
from functools import partial

import msgspec

from cardamomdrift.errors import PacketTooLarge, UpstreamError, UpstreamUnreachable
from cardamomdrift.limits.memory import MemoryBudget, MemoryHolder
from cardamomdrift.listening import listen
from cardamomdrift.peers.loans import (
    REQUEST_SIZE_LIMIT,
    STREAM_ERRORS,
    LoanGranted,
    LoanLost,
    LoanRefused,
    LoanRequest,
    LoanReturn,
    LoanRows,
    LoanSteps,
    LoanStream,
    is_ping,
    pack_replies,
    pack_text,
    pack_values,
    unpack_steps,
    unpack_values,
)
from cardamomdrift.ports import TransactionState
from cardamomdrift.sessions.commands import Reset
from cardamomdrift.sessions.state import LoadedState

# Seconds to the next request; borrowers keep an unused stream for 2 s.
REQUEST_TIMEOUT = 5.0
EXCHANGE_TIMEOUT = 5.0  # seconds for an instance's answer; longer than callers wait
OPEN_TIMEOUT = 0.1  # seconds to open a connection; the time of several handshakes
FINISH_TIMEOUT = 0.2  # seconds to pass on the last replies at a shutdown
FINISH_POLL_INTERVAL = 0.01  # seconds


class Lender:
    """Serves loan requests of other daemons; an async context manager.

    Parameters
    ----------
    address : (str, int)
    find_instance : callable
        Takes a name and returns its InstanceRuntime, or None.
    idle_limit : callable
        Returns the seconds for which a transaction may be idle.
    clock : callable
    log : structlog logger
    budget : MemoryBudget, optional
    stream_limit : int, optional
        Streams at once; above it the one without a loan that has waited longest gives
        way to a new one.
    check_access : callable, optional
        Takes a customer and a key's digest; returns why statements of that customer are
        not sent, or None.
    """

    def __init__(
        self,
        address,
        find_instance,
        idle_limit,
        clock,
        log,
        budget=None,
        stream_limit=None,
        check_access=lambda customer, key_digest: None,
    ):
        self._budget = budget or MemoryBudget()
        self._stream_limit = stream_limit
        self._waiting = {}
        self.closed_early = 0
        self._check_access = check_access
        self._address = address
        self._find_instance = find_instance
        self._idle_limit = idle_limit
        self._clock = clock
        self._log = log
        self._server = None
        self._streams = set()
        self._stopping = False
        self._finishing = False
        self._running_steps = 0
        self.active_loans = 0
        self.counts = {"granted": 0, "refused": 0, "lost": 0}

    async def __aenter__(self):
        start = partial(asyncio.start_server, self._serve)
        self._server = await listen(start, self._address)
        return self

    async def __aexit__(self, *exc_info):
        self._server.close()
        for stream in list(self._streams):
            stream.abort()
        await asyncio.sleep(0)

    def stop(self):
        """Refuse all further loans."""
        self._stopping = True

    async def finish(self):
        """Run no further statements, and pass on the replies to those that run."""
        self._stopping = self._finishing = True
        give_up_at = self._clock() + FINISH_TIMEOUT
        while self._running_steps and self._clock() < give_up_at:
            await asyncio.sleep(FINISH_POLL_INTERVAL)

    def _admit(self, stream):
        """Return whether a new stream may stay."""
        limit = self._stream_limit
        if limit is not None and len(self._streams) >= limit:
            self.closed_early += 1
            oldest = next(iter(self._waiting), None)
            if oldest is None:
                return False
            del self._waiting[oldest]
            self._streams.discard(oldest)
            oldest.abort()
        self._streams.add(stream)
        return True

    async def _serve(self, reader, writer):
        stream = LoanStream(reader, writer, MemoryHolder(self._budget))
        if not self._admit(stream):
            stream.abort()
            return
        try:
            while (request := await self._next_request(stream)) is not None:
                if not await self._handle_request(stream, request):
                    break
        except STREAM_ERRORS as error:
            self._log.info("loan ended", error=f"{type(error).__name__} {error}")
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _next_request(self, stream):
        """Return the next LoanRequest, or None if the stream is to be closed."""
        self._waiting[stream] = None
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT):
                request = await stream.receive(REQUEST_SIZE_LIMIT)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None
        finally:
            self._waiting.pop(stream, None)
        if isinstance(request, LoanRequest):
            return request
        self._log.warning("unexpected loan message", got=type(request).__name__)
        return None

    async def _handle_request(self, stream, request):
        """Lend a connection or refuse; return whether the stream can be used again."""
        runtime = self._find_instance(request.instance)
        usable = runtime is not None and runtime.usable and not runtime.uses_detour
        if self._stopping or not usable:
            self._refuse(stream, "instance not in use here")
            return True
        reason = self._check_access(request.customer, request.key_digest)
        # A ping over a detour belongs to no customer; `_may_run` lets nothing else run.
        if reason is not None and request.customer:
            self._refuse(stream, reason)
            return True
        deadline_at = self._clock() + OPEN_TIMEOUT
        connection = await runtime.pool.lend(
            request.pinned, deadline_at, request.customer
        )
        if connection is None:
            self._refuse(stream, "no connection to spare")
            return True
        self.active_loans += 1
        self.counts["granted"] += 1
        returned = False
        try:
            returned = await self._serve_loan(stream, runtime, connection, request)
        finally:
            self.active_loans -= 1
            if not returned:
                self.counts["lost"] += 1
                connection.close()
            runtime.pool.release(connection)
        return returned

    def _refuse(self, stream, reason):
        self.counts["refused"] += 1
        stream.write(LoanRefused(reason))

    async def _serve_loan(self, stream, runtime, connection, request):
        """Run the borrower's statements; return whether it returned the connection."""
        try:
            values = pack_values(connection.loaded.values)
        except PacketTooLarge:
            if not await self._reset(runtime, connection):
                return False
            values = {}
        prepared = sorted(connection.loaded.prepared)
        stream.write(LoanGranted(values, prepared, connection.position))
        while True:
            async with asyncio.timeout(EXCHANGE_TIMEOUT + self._idle_limit()):
                message = await stream.receive()
            match message:
                case LoanSteps():
                    if not self._may_run(stream, request, message):
                        return False
                    if not await self._run_steps(stream, runtime, connection, message):
                        return False
                case LoanReturn(values, prepared):
                    connection.loaded = LoadedState(
                        unpack_values(values), set(prepared)
                    )
                    return connection.state is TransactionState.IDLE
                case _:
                    return False

    def _may_run(self, stream, request, message):
        """Check key and proof again; tell the borrower if a statement is not sent."""
        reason = self._check_access(request.customer, request.key_digest)
        if reason is not None and not request.customer and is_ping(message):
            return True
        if reason is not None:
            self._log.info(
                "loan refused later", customer=request.customer, reason=reason
            )
            stream.write(LoanLost(False, pack_text(reason)))
        return reason is None

    async def _reset(self, runtime, connection):
        """Clear a connection's state; return whether the instance did so."""
        runtime.silence.record_request(self._clock())
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                [reply] = await connection.exchange([(None, Reset())])
        except (UpstreamError, TimeoutError):
            runtime.record_failure()
            return False
        runtime.record_reply()
        connection.loaded = LoadedState()
        return reply.refusal is None

    async def _run_steps(self, stream, runtime, connection, message):
        """Run statements and pass the replies on; return False if there are none."""
        if self._finishing:
            stream.write(LoanLost(False, b"the daemon is shutting down"))
            return False
        try:
            steps = unpack_steps(message)
        except msgspec.ValidationError as error:
            stream.write(LoanLost(False, pack_text(str(error))))
            return False
        runtime.silence.record_request(self._clock())
        self._running_steps += 1
        try:
            return await self._exchange(stream, runtime, connection, steps)
        finally:
            self._running_steps -= 1

    async def _exchange(self, stream, runtime, connection, steps):
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT):
                replies = await connection.exchange(steps)
        except (UpstreamError, TimeoutError) as error:
            runtime.record_failure()
            sent = not isinstance(error, UpstreamUnreachable)
            reason = pack_text(f"{type(error).__name__} {error}")
            stream.write(LoanLost(sent, reason))
            return False
        runtime.record_reply()
        for message in pack_replies(replies):
            stream.write(message)
            if isinstance(message, LoanRows):
                async with asyncio.timeout(EXCHANGE_TIMEOUT):
                    await stream.drain()
        return True
