"""
Borrower
========

Borrows connections to an instance from other daemons.  Statements are sent to the
lender, which runs them on its connection and returns the replies; `peers.loans` has the
messages.  A connection is borrowed when the instance accepts no more connections of
this VM, when all of this VM's connections to it are in use, or while it does not answer
this VM.
"""

import asyncio
import math
from itertools import islice

from cardamomdrift.customers.identity import NO_CUSTOMER
from cardamomdrift.errors import UpstreamLost, UpstreamUnreachable
from cardamomdrift.peers.loans import (
    ENCODE_ERRORS,
    LOAN_PORT_OFFSET,
    STREAM_ERRORS,
    LoanGranted,
    LoanLost,
    LoanReplies,
    LoanRequest,
    LoanReturn,
    LoanRows,
    LoanStream,
    pack_steps,
    pack_values,
    unpack_replies,
    unpack_text,
    unpack_values,
)
from cardamomdrift.ports import TransactionState
from cardamomdrift.sessions.state import LoadedState
from cardamomdrift.upstreams.lenders import order_lenders

LOAN_REQUEST_TIMEOUT = 0.15  # seconds; the lender may have to open a connection
LENDERS_ASKED_LIMIT = 6  # daemons asked for one loan, one after the other
# Seconds until a daemon that granted no loan is asked again: about two heartbeat
# intervals, because heartbeats can change the daemons' shares of the connections.
LENDER_BACKOFF = 0.5
STREAM_IDLE_TIMEOUT = 2.0  # seconds for which an unused stream to a lender is kept
# Unused streams kept to each lender, which rarely grants more loans at a time.
IDLE_STREAM_LIMIT = 2
# Seconds for which no daemon is asked after none of them lent a connection.
NO_LENDER_BACKOFF = 0.05


class BorrowedConnection:
    """A connection of another daemon; see `ports.StatementConnection`.

    Parameters
    ----------
    stream : LoanStream
    lender : str
    granted : LoanGranted
    on_returned : callable
        Called with the lender and the stream after the connection was returned.
    """

    def __init__(self, stream, lender, granted, on_returned):
        self._stream = stream
        self._on_returned = on_returned
        self._awaiting_reply = False
        self._closed = False
        self.lender = lender
        self.loaded = LoadedState(unpack_values(granted.values), set(granted.prepared))
        self.state = TransactionState.IDLE
        self.position = granted.position

    @property
    def reusable(self):
        """Whether the next statement may use the connection."""
        return not (self._closed or self._awaiting_reply or self._stream.ended)

    def close(self):
        """End the loan immediately; the lender closes the connection."""
        self._closed = True
        self._stream.abort()

    def give_back(self):
        """Return the connection, or close it if it cannot be returned."""
        if not (self.reusable and self._write_return()):
            self.close()
            return
        self._closed = True
        self._on_returned(self.lender, self._stream)

    def _write_return(self):
        """Send the loaded state; return False if it cannot be encoded."""
        loaded = self.loaded
        try:
            values = pack_values(loaded.values)
            self._stream.write(LoanReturn(values, sorted(loaded.prepared)))
        except ENCODE_ERRORS:
            return False
        return True

    async def exchange(self, steps):
        """Send statements and return their replies in order.

        They are sent in one write unless they are larger than a message.  The last one
        is the caller's: if a part before it fails, nothing of the caller was sent.
        """
        if not self.reusable:
            raise UpstreamUnreachable(f"loan of {self.lender} has ended")
        self._awaiting_reply = True
        replies = []
        try:
            for part in pack_steps(steps):
                replies.extend(await self._exchange_part(part))
        except ENCODE_ERRORS as error:
            self.close()
            raise UpstreamUnreachable(f"statement not encoded: {error}") from error
        except UpstreamLost as error:
            self.close()
            if len(replies) + len(part.steps) < len(steps):
                raise UpstreamUnreachable(str(error)) from error
            raise
        except BaseException:
            self.close()
            raise
        self._awaiting_reply = False
        return replies

    async def _exchange_part(self, part):
        self._stream.write(part)
        first_rows = []
        try:
            while isinstance(answer := await self._stream.receive(), LoanRows):
                first_rows.extend(answer.rows)
        except STREAM_ERRORS as error:
            raise UpstreamLost(f"{self.lender} lost: {error}") from error
        match answer:
            case LoanReplies(replies) if len(replies) == len(part.steps):
                return self._apply_replies(unpack_replies(answer, first_rows))
            case LoanLost(sent, reason):
                failure = UpstreamLost if sent else UpstreamUnreachable
                raise failure(f"{self.lender}: {unpack_text(reason)}")
        raise UpstreamLost(f"{self.lender} sent {type(answer).__name__}")

    def _apply_replies(self, replies):
        for reply in replies:
            self.state = reply.state
            self.position = reply.position or self.position
        return replies


class Borrower:
    """Requests loans from other daemons; a context manager.

    Parameters
    ----------
    vm : str
    peers : callable
        Returns the addresses of the live daemons, by name.
    port : int
        Port for heartbeats, the same on every VM.
    clock : callable
    log : structlog logger
    domains : callable, optional
        Returns the failure domain by daemon, as far as known.

    Attributes
    ----------
    domain_counts : dict of str to int
        Loans by the failure domain of the lender.
    """

    def __init__(self, vm, peers, port, clock, log, domains=dict):
        self._vm = vm
        self._domains = domains
        self._peers = peers
        self._port = port + LOAN_PORT_OFFSET
        self._clock = clock
        self._log = log
        self._streams = {}
        self._last_lenders = {}
        self._refused_at = {}
        self._backoff_until = {}
        self.counts = {"borrowed": 0, "nobody": 0}
        self.domain_counts = {"own": 0, "other": 0}

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for kept in self._streams.values():
            for stream in kept:
                stream.abort()

    async def borrow(
        self, instance, lenders, pinned, deadline_at, identity=NO_CUSTOMER
    ):
        """Return a BorrowedConnection to an instance, or None.

        Parameters
        ----------
        instance : str
        lenders : sequence of str
            VMs that may have a connection to lend.
        pinned : bool
            Whether a transaction is to hold the connection.
        deadline_at : float
        identity : Identity
            Customer that the connection must belong to.
        """
        key = (instance, pinned, identity.customer)
        if self._clock() < self._backoff_until.get(key, -math.inf):
            return None
        live = self._peers()
        peers = {name: live[name] for name in lenders if name in live}
        for lender in islice(self._candidates(key, peers), LENDERS_ASKED_LIMIT):
            if self._clock() >= deadline_at:
                return None
            connection = await self._request_loan(
                lender, peers[lender], instance, pinned, identity
            )
            if connection is not None:
                self._last_lenders[key] = lender
                self.counts["borrowed"] += 1
                domains = self._domains()
                is_own = domains.get(lender, "") == domains.get(self._vm)
                self.domain_counts["own" if is_own else "other"] += 1
                return connection
            self._refused_at[(*key, lender)] = self._clock()
            self._last_lenders.pop(key, None)
        self.counts["nobody"] += 1
        self._backoff_until[key] = self._clock() + NO_LENDER_BACKOFF
        return None

    def _candidates(self, key, peers):
        """Yield the daemons to ask; see `order_lenders`.

        Those that were asked within the last LENDER_BACKOFF and granted no loan are
        left out.
        """
        now = self._clock()
        self._refused_at = {
            refusal: refused_at
            for refusal, refused_at in self._refused_at.items()
            if now - refused_at < LENDER_BACKOFF
        }
        # All daemons of a failure domain ask the same lender first for a customer,
        # because it is the one that has a connection of the customer.  Without
        # customers the order differs between daemons, so that not all ask the same one.
        instance, _, customer = key
        domains = self._domains()
        for lender in order_lenders(
            f"{instance}/{customer or self._vm}",
            tuple(peers),
            domains.get(self._vm, ""),
            domains,
            self._last_lenders.get(key),
        ):
            if (*key, lender) not in self._refused_at:
                yield lender

    async def _request_loan(self, lender, address, instance, pinned, identity):
        """Request a loan; return the BorrowedConnection, or None."""
        request = LoanRequest(
            self._vm, instance, pinned, identity.customer, identity.digest
        )
        stream = self._reuse_stream(lender)
        try:
            async with asyncio.timeout(LOAN_REQUEST_TIMEOUT):
                if stream is None:
                    streams = await asyncio.open_connection(address, self._port)
                    stream = LoanStream(*streams)
                stream.write(request)
                answer = await stream.receive()
        except BaseException as error:
            if stream is not None:
                stream.abort()
            if not isinstance(error, STREAM_ERRORS):
                raise
            # What ended this stream has probably ended the unused ones, too.
            for kept in self._streams.pop(lender, ()):
                kept.abort()
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

    def _reuse_stream(self, lender):
        """Return a kept stream to a lender, or None."""
        kept = self._streams.get(lender, [])
        while kept:
            stream = kept.pop()
            if not stream.ended:
                return stream
            stream.abort()
        return None

    def _keep_stream(self, lender, stream):
        kept = self._streams.setdefault(lender, [])
        if len(kept) >= IDLE_STREAM_LIMIT:
            stream.close()
            return
        kept.append(stream)
        loop = asyncio.get_running_loop()
        loop.call_later(STREAM_IDLE_TIMEOUT, self._drop_stream, lender, stream)

    def _drop_stream(self, lender, stream):
        """Close a stream that has been unused for STREAM_IDLE_TIMEOUT."""
        kept = self._streams.get(lender, [])
        if stream in kept:
            kept.remove(stream)
            stream.close()
        if not kept:
            self._streams.pop(lender, None)
