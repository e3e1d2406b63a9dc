"""
Borrower
========

Borrows connections from other daemons when an instance takes no more of this VM's, or
all of them are held.
"""

import asyncio
import math
from itertools import islice

from cardamomdrift.errors import UpstreamLost, UpstreamUnreachable
from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.peers.loans import (
    PORT_OFFSET,
    STREAM_FAILURES,
    LoanGranted,
    LoanLost,
    LoanReplies,
    LoanRequest,
    LoanReturn,
    LoanStream,
    pack_steps,
)
from cardamomdrift.ports import TransactionState
from cardamomdrift.sessions.state import LoadedState

ASKING_TIME = 0.15  # seconds for a daemon's word; it may open a connection first
ASKED_AT_ONCE = 6  # daemons asked for one loan, one after the other
REFUSED_MEMORY = 0.5  # seconds; twice a heartbeat, since shares change with them
STREAM_TIME = 2.0  # seconds for which an unused stream to a lender is kept
STREAMS_KEPT = 2  # to each lender; more loans of one at once are rare
NOBODY_PAUSE = 0.05  # seconds without a question after nobody had a connection


class BorrowedConnection:
    """A connection of another daemon; see `ports.StatementConnection`.

    Parameters
    ----------
    stream : LoanStream
    lender : str
    granted : LoanGranted
    keep : callable
        Takes the lender and the stream after the connection has been returned.
    """

    def __init__(self, stream, lender, granted, keep):
        self._stream = stream
        self._keep = keep
        self._outstanding = False
        self._closed = False
        self.lender = lender
        self.loaded = LoadedState(granted.values, set(granted.prepared))
        self.state = TransactionState.IDLE
        self.position = granted.position

    @property
    def reusable(self):
        """Whether the next statement may use the connection."""
        return not (self._closed or self._outstanding or self._stream.ended)

    def close(self):
        """End the loan at once; the lender closes the connection."""
        self._closed = True
        self._stream.abort()

    def give_back(self):
        """Return the connection, if nothing is outstanding on it."""
        if not self.reusable:
            self.close()
            return
        self._closed = True
        loaded = self.loaded
        self._stream.write(LoanReturn(loaded.values, sorted(loaded.prepared)))
        self._keep(self.lender, self._stream)

    async def exchange(self, steps):
        """Send statements in one write and return their replies in order."""
        if not self.reusable:
            raise UpstreamUnreachable(f"loan of {self.lender} has ended")
        self._outstanding = True
        try:
            self._stream.write(pack_steps(steps))
        except UnicodeEncodeError as error:
            self.close()
            raise UpstreamUnreachable(f"statement is no text: {error}") from error
        try:
            answer = await self._stream.receive()
        except STREAM_FAILURES as error:
            self.close()
            raise UpstreamLost(f"{self.lender} lost: {error}") from error
        except BaseException:
            self.close()
            raise
        self._outstanding = False
        match answer:
            case LoanReplies(replies) if len(replies) == len(steps):
                return self._take(replies)
            case LoanLost(sent, reason):
                self.close()
                failure = UpstreamLost if sent else UpstreamUnreachable
                raise failure(f"{self.lender}: {reason}")
        self.close()
        raise UpstreamLost(f"{self.lender} sent {type(answer).__name__}")

    def _take(self, replies):
        for reply in replies:
            self.state = reply.state
            self.position = reply.position or self.position
        return replies


class Borrower:
    """Finds daemons that lend connections; a context manager.

    Parameters
    ----------
    vm : str
    peers : callable
        Returns the addresses of the live daemons, by name.
    port : int
        Port for heartbeats, the same on every VM.
    clock : callable
    log : structlog logger
    """

    def __init__(self, vm, peers, port, clock, log):
        self._vm = vm
        self._peers = peers
        self._port = port + PORT_OFFSET
        self._clock = clock
        self._log = log
        self._streams = {}
        self._last = {}
        self._refused = {}
        self._not_before = {}
        self.counts = {"borrowed": 0, "nobody": 0}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for kept in self._streams.values():
            for stream in kept:
                stream.abort()

    async def borrow(self, instance, homes, pinned, deadline_at):
        """Return a BorrowedConnection to an instance, or None.

        Parameters
        ----------
        instance : str
        homes : sequence of str
            VMs that may have connections of their own.
        pinned : bool
            Whether a transaction is to hold it.
        deadline_at : float
        """
        key = (instance, pinned)
        if self._clock() < self._not_before.get(key, -math.inf):
            return None
        live = self._peers()
        peers = {name: live[name] for name in homes if name in live}
        for lender in islice(self._candidates(key, peers), ASKED_AT_ONCE):
            if self._clock() >= deadline_at:
                return None
            granted = await self._ask(lender, peers[lender], instance, pinned)
            if granted is not None:
                self._last[key] = lender
                self.counts["borrowed"] += 1
                return granted
            self._refused[(*key, lender)] = self._clock()
            self._last.pop(key, None)
        self.counts["nobody"] += 1
        self._not_before[key] = self._clock() + NOBODY_PAUSE
        return None

    def _candidates(self, key, peers):
        """Yield the daemons to ask, the one that lent last before the others."""
        now = self._clock()
        self._refused = {
            one: at for one, at in self._refused.items() if now - at < REFUSED_MEMORY
        }
        last = self._last.get(key)
        if last in peers and (*key, last) not in self._refused:
            yield last
        # Each daemon has an order of its own, so that not all ask the same one.
        for one in rank(f"{key[0]}/{self._vm}", tuple(peers)):
            if one != last and (*key, one) not in self._refused:
                yield one

    async def _ask(self, lender, address, instance, pinned):
        """Return a BorrowedConnection of one daemon, or None."""
        request = LoanRequest(self._vm, instance, pinned)
        stream = self._take_stream(lender)
        try:
            async with asyncio.timeout(ASKING_TIME):
                if stream is None:
                    streams = await asyncio.open_connection(address, self._port)
                    stream = LoanStream(*streams)
                stream.write(request)
                answer = await stream.receive()
        except BaseException as error:
            if stream is not None:
                stream.abort()
            if not isinstance(error, STREAM_FAILURES):
                raise
            self._log.info(
                "loan not answered",
                lender=lender,
                instance=instance,
                error=f"{type(error).__name__} {error}",
            )
            return None
        if isinstance(answer, LoanGranted):
            return BorrowedConnection(stream, lender, answer, self._keep_stream)
        self._keep_stream(lender, stream)
        return None

    def _take_stream(self, lender):
        """Return a stream to a lender that was kept, or None."""
        kept = self._streams.get(lender, [])
        while kept:
            stream = kept.pop()
            if not stream.ended:
                return stream
            stream.abort()
        return None

    def _keep_stream(self, lender, stream):
        kept = self._streams.setdefault(lender, [])
        if len(kept) >= STREAMS_KEPT:
            stream.close()
            return
        kept.append(stream)
        loop = asyncio.get_running_loop()
        loop.call_later(STREAM_TIME, self._drop_stream, lender, stream)

    def _drop_stream(self, lender, stream):
        """Close a stream that has been kept for long, unless it is in use."""
        kept = self._streams.get(lender, [])
        if stream in kept:
            kept.remove(stream)
            stream.close()
        if not kept:
            self._streams.pop(lender, None)
