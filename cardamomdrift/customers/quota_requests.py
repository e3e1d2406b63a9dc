"""
Requests to homes
=================

Asks the homes of customers, and their deputies, for credit and applies their answers.
"""

import math
from collections import Counter

from cardamomdrift.peers.credit import CREDIT_FORMAT, CreditRequest
from cardamomdrift.peers.restart import EVIDENCE_TIME

# Members that answer without granting before a request ends: usually the home and its
# deputy.
MAX_DENIALS = 2
MAX_UNANSWERED = 3  # members that do not answer before a request ends; 0.1 s each
SKIP_TIME = 1.0  # seconds for which a deputy that did not answer is not asked


class QuotaRequests:
    """Requests of one daemon for credit.

    Parameters
    ----------
    roster : Roster
    home : QuotaHome
        This daemon's part as a home.
    answer : callable
        Takes a CreditRequest of this daemon to itself; returns a CreditAnswer.
    clock : callable
        Returns the boot clock in seconds.

    Attributes
    ----------
    counts : Counter
        Requests, by outcome.
    """

    def __init__(self, roster, home, answer, clock):
        self._roster = roster
        self._home = home
        self._answer = answer
        self._clock = clock
        self._started_at = clock()
        self._grantors = {}
        self._skipped_until = {}
        self._answering = set()
        self.counts = Counter()

    def set_customers(self, names):
        """Forget the customers of former configurations, which would accumulate."""
        self._grantors = {
            name: last for name, last in self._grantors.items() if name in names
        }

    async def ask(self, customer, needed, ahead, port):
        """Ask the home, then its deputies; the one that granted last is asked first."""
        grantors = self._home.homes.grantors_of(customer)
        always = [self._grantors.get(customer), *grantors[:1]]
        answer, denials, unanswered = None, 0, 0
        for name in sorted(grantors, key=lambda name: name != always[0]):
            if name not in always and self._is_skipped(name):
                continue
            last = answer
            answer = await self._ask_daemon(name, customer, needed, ahead, port)
            if answer is not None and answer.granting:
                self._grantors[customer] = name
                return answer
            if answer is None:
                self._skip(name)
                unanswered += 1
            else:
                denials += 1
            if answer is None or (last is not None and last.retry_after_ms):
                answer = last
            if denials == MAX_DENIALS or unanswered == MAX_UNANSWERED:
                break
        self._grantors.pop(customer, None)
        return answer

    def _is_skipped(self, name):
        return self._clock() < self._skipped_until.get(name, -math.inf)

    def _skip(self, name):
        now = self._clock()
        self._skipped_until = {
            each: until for each, until in self._skipped_until.items() if until > now
        }
        self._skipped_until[name] = now + SKIP_TIME

    async def _ask_daemon(self, name, customer, needed, ahead, port):
        vm = self._roster.vm
        if name == vm:
            sequence = port.next_sequence()
            return self._answer(
                CreditRequest(CREDIT_FORMAT, sequence, vm, customer, needed, ahead)
            )
        peer = self._roster.peers.get(name)
        if peer is None:
            return None
        return await port.ask(peer.address, vm, customer, needed, ahead)

    def ask_own(self, customer, credit, needed, port):
        """Ask without a datagram; nothing is needed ahead."""
        now = self._clock()
        request = CreditRequest(
            CREDIT_FORMAT,
            port.next_sequence(),
            self._roster.vm,
            customer,
            needed,
            0,
        )
        self.apply(customer, credit, self._home.answer(request), now)

    def apply(self, customer, credit, answer, asked_at):
        """Apply the answer of a home, or None without one."""
        now = self._clock()
        expects_start = self.expects_start(customer, now)
        if answer is not None and answer.granting:
            self._answering.add(self._home.home_of(customer))
        outcome = credit.record_answer(answer, asked_at, now, expects_start)
        self.counts[outcome] += 1

    def expects_start(self, customer, now):
        """Whether a home that does not answer has probably not started yet.

        While its own process is young, a daemon expects homes that have never answered
        it to start as well, as after a power failure.
        """
        if now >= self._started_at + EVIDENCE_TIME:
            return False
        home = self._home.home_of(customer)
        return home is None or home not in self._answering
