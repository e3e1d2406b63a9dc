"""
Requests for credit
===================

Datagrams by which a daemon asks the home of a customer for credit, and the answers.  A
sequence number matches them.  A request that is repeated has the same number, and the
home repeats its answer instead of granting twice.
"""

import asyncio
import secrets
from typing import Annotated

import msgspec

from cardamomdrift.util import DECODE_ERRORS

CREDIT_PORT_OFFSET = 1  # from the heartbeat port; by datagram, beside the queries
CREDIT_FORMAT = 1  # raised with each change of the fields below
ATTEMPTS = 2
ATTEMPT_TIMEOUT = 0.05  # seconds; a round trip between failure domains takes 3 ms

_Tokens = Annotated[int, msgspec.Meta(ge=0)]


class CreditRequest(msgspec.Struct, array_like=True, frozen=True, tag="q"):
    """Request for credit.

    Attributes
    ----------
    format : int
        ``CREDIT_FORMAT`` of the sender; those of another format are dropped.
    sequence : int
    sender : str
    customer : str
    needed : int
        Tokens for operations that wait now.
    ahead : int
        Further tokens that the sender expects to use.
    """

    format: int
    sequence: int
    sender: str
    customer: str
    needed: _Tokens
    ahead: _Tokens


class CreditAnswer(msgspec.Struct, array_like=True, frozen=True, tag="a"):
    """Answer to a request for credit; times are in milliseconds.

    Attributes
    ----------
    format : int
    sequence : int
        That of the request.
    granting : bool
        Whether the sender may grant; if not, it says nothing about the limit.
    tokens : int
    lifetime_ms : int
        From before the request was first sent to the end of the credit.
    retry_after_ms : int
        Time until a token is expected, if the home has none left or does not grant
        yet; 0 if it has some or the time is not known.
    """

    format: int
    sequence: int
    granting: bool
    tokens: _Tokens = 0
    lifetime_ms: int = 0
    retry_after_ms: int = 0


class SilenceQuery(msgspec.Struct, array_like=True, frozen=True, tag="u"):
    """Question to a voter for how long it has not heard some daemons."""

    format: int
    sequence: int
    daemons: tuple[str, ...]


class SilenceAnswer(msgspec.Struct, array_like=True, frozen=True, tag="v"):
    """Answer of a voter, in the order of the question.

    0 if it cannot tell, or does not know the same voters.
    """

    format: int
    sequence: int
    epoch: int
    silences_ms: tuple[_Tokens, ...]


class _CreditProtocol(asyncio.DatagramProtocol):
    def __init__(self, on_data, log):
        self._on_data = on_data
        self._log = log

    def datagram_received(self, data, address):
        self._on_data(data, address)

    def error_received(self, error):
        self._log.debug("request for credit not delivered", error=str(error))


class CreditPort:
    """Sends requests for credit and answers those of others; a context manager.

    Parameters
    ----------
    address : str
    port : int
        The same on every VM.
    on_request : callable
        Takes a CreditRequest; returns a CreditAnswer, or None to send none.
    on_query : callable
        Takes a SilenceQuery; returns a SilenceAnswer.
    log : structlog logger
    """

    def __init__(self, address, port, on_request, on_query, log):
        self._address = address
        self._port = port
        self._on_request = on_request
        self._on_query = on_query
        self._log = log
        self._transport = None
        self._encode = msgspec.msgpack.Encoder().encode
        self._decode = msgspec.msgpack.Decoder(
            CreditRequest | CreditAnswer | SilenceQuery | SilenceAnswer
        ).decode
        # Not from 0: an answer to an earlier process must not match.
        self._sequence = secrets.randbits(48)
        self._pending = {}
        self.sent_bytes = 0

    async def __aenter__(self):
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _CreditProtocol(self._receive, self._log),
            local_addr=(self._address, self._port),
        )
        return self

    async def __aexit__(self, *exc_info):
        self._transport.close()

    def next_sequence(self):
        """Return a number that no earlier request of this process had."""
        self._sequence += 1
        return self._sequence

    async def ask(self, address, sender, customer, needed, ahead):
        """Ask a home for credit; return its CreditAnswer, or None without one."""
        sequence = self.next_sequence()
        return await self._exchange(
            CreditRequest(CREDIT_FORMAT, sequence, sender, customer, needed, ahead),
            address,
        )

    async def ask_silence(self, address, daemons):
        """Ask a voter about daemons; return its SilenceAnswer, or None without one."""
        query = SilenceQuery(CREDIT_FORMAT, self.next_sequence(), daemons)
        return await self._exchange(query, address)

    async def _exchange(self, request, address):
        sequence = request.sequence
        answer = asyncio.get_running_loop().create_future()
        self._pending[sequence] = answer
        try:
            for _ in range(ATTEMPTS):
                self._send(request, (address, self._port))
                await asyncio.wait((answer,), timeout=ATTEMPT_TIMEOUT)
                if answer.done():
                    return answer.result()
            return None
        finally:
            del self._pending[sequence]

    def _send(self, message, address):
        data = self._encode(message)
        self.sent_bytes += len(data)
        self._transport.sendto(data, address)

    def _receive(self, data, source):
        try:
            message = self._decode(data)
        except DECODE_ERRORS:
            self._log.debug("request for credit not understood", size=len(data))
            return
        if message.format != CREDIT_FORMAT:
            self._log.debug("request for credit of another format", size=len(data))
            return
        match message:
            case CreditRequest():
                answer = self._on_request(message)
                if answer is not None:
                    self._send(answer, source)
            case SilenceQuery():
                self._send(self._on_query(message), source)
            case CreditAnswer() | SilenceAnswer():
                pending = self._pending.get(message.sequence)
                if pending is not None and not pending.done():
                    pending.set_result(message)
