"""
Quota gate
==========

Reserves a token of the customer's quota for each operation on arrival, and spends it
when the operation is sent.
"""

import asyncio
import math
from copy import deepcopy
from functools import partial

from cardamomdrift.customers.quota_deputy import QuotaDeputy
from cardamomdrift.customers.quota_home import QuotaHome
from cardamomdrift.customers.quota_preview import own_share, preview_token
from cardamomdrift.customers.quota_queue import SERVICE_TIME, QuotaQueue
from cardamomdrift.customers.quota_refusals import QuotaRefusals
from cardamomdrift.customers.quota_requests import QuotaRequests
from cardamomdrift.customers.reservation import Reservation
from cardamomdrift.errors import QuotaExceeded
from cardamomdrift.limits.credit import (
    MAX_REFUSAL_TIME,
    WAIT_TIME,
    CustomerCredit,
    TokenStep,
)
from cardamomdrift.limits.quota import make_terms
from cardamomdrift.peers.credit import (
    CREDIT_PORT_OFFSET,
    CreditPort,
)
from cardamomdrift.util import cancel_all, keep_task

MIN_RETRY_TIME = 0.02  # seconds between two requests of operations that wait for tokens


class QuotaGate:
    """Keeps the rate limits of customers; an async context manager.

    Parameters
    ----------
    roster : Roster
    address : str
        Address of this VM.
    peer_port : int
    bounds : ServiceBounds
    clock : callable
        Returns the boot clock in seconds.
    log : structlog logger
    restarts : RestartWatch, optional

    Attributes
    ----------
    home : QuotaHome
    """

    def __init__(self, roster, address, peer_port, bounds, clock, log, restarts=None):
        self._roster = roster
        self._bounds = bounds
        self._clock = clock
        self._log = log
        self._terms = {}
        self._credits, self._departed = {}, {}
        self._queues = {}
        self._asking = set()
        self._tasks = set()
        self._stopping = False
        self._refusals = QuotaRefusals(clock, log)
        self.home = QuotaHome(roster, clock, log, bounds.quota_window, restarts)
        self._requests = QuotaRequests(roster, self.home, self.answer, clock)
        self._deputy = QuotaDeputy(roster, self.home.homes, clock, log)
        self.port = CreditPort(
            address,
            peer_port + CREDIT_PORT_OFFSET,
            self.answer,
            self._deputy.answer,
            log,
        )

    @property
    def refusals(self):
        """Counter of refused operations, by customer; see `QuotaRefusals`."""
        return self._refusals.counts

    @property
    def requests(self):
        """Counter of the requests for credit, by outcome."""
        return self._requests.counts

    async def __aenter__(self):
        await self.port.__aenter__()
        return self

    async def __aexit__(self, *exc_info):
        self._stopping = True
        await cancel_all(self._tasks)
        # A request that was cancelled before it began has not failed its operations.
        for queue in self._queues.values():
            queue.fail(self._make_stopping)
        self._queues.clear()
        await self._deputy.close()
        await self.port.__aexit__(*exc_info)

    def set_customers(self, customers):
        """Apply the customers of a new configuration, by name."""
        limited = [each for each in customers.values() if each.rate is not None]
        self._terms = {each.name: make_terms(each, self._bounds) for each in limited}
        self._refusals.set_customers(limited)
        self._requests.set_customers(self._terms)
        self.home.set_terms(self._terms)
        self._change_credits()

    def _change_credits(self):
        """Apply the terms in force.

        The credit of a customer that was removed is kept while the operations count
        that this daemon has sent without a home.
        """
        now, terms = self._clock(), self._terms
        kept = {name: last for name, last in self._departed.items() if last[1] > now}
        for name in self._credits.keys() - terms.keys():
            credit = self._credits.pop(name)
            until = now + self._bounds.quota_window + credit.terms.lifetime
            kept[name] = (credit, until)
        for name in kept.keys() & terms.keys():
            self._credits[name], _ = kept.pop(name)
        for name, credit in self._credits.items():
            if credit.terms != terms[name]:
                self._credits[name] = credit.change(terms[name])
        self._departed = kept

    def set_members(self, members):
        """Apply a change of the daemons; homes that have changed are asked at once."""
        if self.home.set_members(members):
            for credit in self._credits.values():
                credit.find_home()

    def check(self):
        """Note whether this daemon may grant as a home; to be called regularly."""
        self.home.check()

    def answer(self, request):
        """Return the CreditAnswer to another daemon's request, or None."""
        self._deputy.require(request.customer, self.port)
        return self.home.answer(request)

    def preview(self, customers):
        """Return the TokenPreviews of operations that arrive now, without a change.

        Parameters
        ----------
        customers : iterable of str
            Those without a limit are left out.

        Returns
        -------
        dict of str to TokenPreview
        """
        home, window = self.home.copy(), self._bounds.quota_window
        return {
            customer: preview_token(
                customer,
                deepcopy(self._credits.get(customer))
                or CustomerCredit(self._terms[customer]),
                home,
                window,
                self._clock(),
                self._must_queue(customer),
                self._requests.expects_start(customer, self._clock()),
            )
            for customer in customers
            if customer in self._terms
        }

    # Tokens

    async def reserve(self, customer, deadline_at=None):
        """Return a Reservation for one operation of a customer.

        Parameters
        ----------
        customer : str
        deadline_at : float, optional
            Boot clock; when the operation must be answered.  Until then it waits for a
            home that has not begun its grants; for WAIT_TIME without a deadline.

        Raises
        ------
        QuotaExceeded
        """
        if customer not in self._terms:
            return Reservation(self, customer, None, math.inf)
        self._credit(customer).note_arrival(self._clock())
        credit, end = await self._obtain(customer, deadline_at)
        return Reservation(self, customer, credit, end)

    def is_valid(self, customer, credit, end):
        """Whether a token may be spent now."""
        if customer not in self._terms:
            return True
        if credit is None or self._credits.get(customer) is not credit:
            return False  # the limit was introduced or lowered since
        return end > self._clock()

    async def spend(self, customer):
        """Obtain a token for an operation that is sent right after this call.

        Raises
        ------
        QuotaExceeded
        """
        credit, end = await self._obtain(customer)
        if not self.is_valid(customer, credit, end):
            # The process was suspended, or the limit changed, while it waited.
            raise self._refusal(customer, self._credit(customer), "ended")

    def give_back(self, customer, credit, end):
        """Return a token that was not spent."""
        if credit is not None and self._credits.get(customer) is credit:
            credit.give_back(end, self._clock())

    def _credit(self, customer):
        credit = self._credits.get(customer)
        if credit is None:
            credit = self._credits[customer] = CustomerCredit(self._terms[customer])
        return credit

    def _must_queue(self, customer):
        """Whether operations that came before wait for a home that started late."""
        queue = self._queues.get(customer)
        return queue is not None and queue.awaits_start

    async def _obtain(self, customer, deadline_at=None):
        """Return where a token came from and its end."""
        now = self._clock()
        if deadline_at is None:
            deadline_at = now + WAIT_TIME
        if customer not in self._terms:
            return None, math.inf
        credit, must_queue = self._credit(customer), self._must_queue(customer)
        match credit.next_step(now, must_queue):
            case TokenStep.TAKE:
                end = credit.take(now)
                is_home = self.home.home_of(customer) == self._roster.vm
                if not is_home and credit.wants_ahead(now):
                    self._start_asking(customer)
                return credit, end
            case TokenStep.REFUSE:
                raise self._refusal(customer, credit, "limit")
            case TokenStep.TAKE_OWN:
                return credit, self._take_own(customer, credit)
        may_queue = must_queue and credit.is_recovering(now)
        if not must_queue and self.home.home_of(customer) == self._roster.vm:
            self._requests.ask_own(customer, credit, 1, self.port)
            if not credit.awaits_start:
                return credit, self._take_answered(customer, credit)
        if credit.starts_after(deadline_at - SERVICE_TIME, now):
            return credit, self._take_own(customer, credit)
        if self._stopping:
            raise self._make_stopping()
        queue = self._queues.setdefault(customer, QuotaQueue())
        token = queue.add(deadline_at, credit.awaits_start or may_queue)
        self._start_asking(customer)
        return await token

    def _take_answered(self, customer, credit):
        """Take a token after the home was asked."""
        now = self._clock()
        match credit.step_after_answer(now):
            case TokenStep.TAKE:
                return credit.take(now)
            case TokenStep.TAKE_OWN:
                return self._take_own(customer, credit)
        raise self._refusal(customer, credit, "limit")

    def _take_own(self, customer, credit):
        """Take one of the operations that may be sent while the home is silent."""
        share = own_share(customer, credit, self.home.members, self._roster.vm)
        end = credit.take_own(share, self._bounds.quota_window, self._clock())
        if end is None:
            raise self._refusal(customer, credit, "no_home")
        return end

    # Requests for credit

    def _start_asking(self, customer):
        """Start to ask for credit, unless a request is under way."""
        if customer not in self._asking and not self._stopping:
            self._asking.add(customer)
            keep_task(self._tasks, self._ask(customer))

    async def _ask(self, customer):
        """Ask the home until nobody waits."""
        queue = self._queues.setdefault(customer, QuotaQueue())
        try:
            while True:
                await self._wait_for_home(customer, queue)
                queue.note_asked()
                await self._ask_home(customer, len(queue))
                self._serve_waiting(customer, queue)
                if not queue:
                    return
        finally:
            self._asking.discard(customer)
            self._queues.pop(customer, None)
            queue.fail(self._make_stopping)

    async def _wait_for_home(self, customer, queue):
        """Wait while the home has no token, as far as that is known."""
        credit, now = self._credits.get(customer), self._clock()
        if credit is None:
            return
        if credit.awaits_start:
            ask_at = now + credit.grants_in(now)
        elif credit.refused_for(now) and queue.awaits_start:
            ask_at = now + max(credit.retry_in(now), MIN_RETRY_TIME)
        else:
            return
        while now < ask_at:
            until = min(ask_at, queue.until) if queue else ask_at
            await asyncio.sleep(max(until - now, 0.0) + 0.001)
            now = self._clock()
            expired = queue.remove(lambda waiter, _: waiter.until <= self._clock())
            self._refuse_waiting(customer, expired)

    @staticmethod
    def _make_stopping():
        return QuotaExceeded("daemon is stopping", MAX_REFUSAL_TIME)

    def _serve_waiting(self, customer, queue):
        """Give the tokens to the first operations; refuse those that get none."""
        now = self._clock()
        if customer not in self._terms:
            while (waiter := queue.take_first()) is not None:
                waiter.token.set_result((None, math.inf))
            return
        credit = self._credit(customer)
        while credit.held(now) and (waiter := queue.take_first()) is not None:
            waiter.token.set_result((credit, credit.take(now)))
        if credit.awaits_start:
            queue.note_start()
            grants_at = now + credit.grants_in(now)
            refused = queue.remove(lambda waiter, _: waiter.until <= grants_at)
        elif credit.is_open(now):
            refused = queue.remove(lambda waiter, _: waiter.until <= now)
        elif credit.refused_for(now):
            refused = queue.remove(partial(self._ends_too_late, credit))
        else:
            refused = queue.remove(lambda waiter, _: waiter.asked)
        self._refuse_waiting(customer, refused)

    def _ends_too_late(self, credit, waiter, ahead):
        """Whether to refuse an operation at a home that has no token."""
        if not waiter.awaits_start:
            return waiter.asked
        now, rate = self._clock(), credit.terms.rate
        served_in = credit.retry_in(now) + (ahead / rate if rate > 0 else 0.0)
        return waiter.until <= now + served_in

    def _refuse_waiting(self, customer, waiters):
        """Refuse operations, unless they may be sent while the home is silent."""
        for waiter in waiters:
            if customer not in self._terms:
                waiter.token.set_result((None, math.inf))
                continue
            credit = self._credit(customer)
            try:
                end = self._take_answered(customer, credit)
            except QuotaExceeded as error:
                waiter.token.set_exception(error)
            else:
                waiter.token.set_result((credit, end))

    async def _ask_home(self, customer, needed):
        if customer not in self._terms:
            return
        asked_at = self._clock()
        credit = self._credit(customer)
        if self.home.home_of(customer) == self._roster.vm:
            self._requests.ask_own(customer, credit, needed, self.port)
            return
        ahead = credit.ahead(asked_at)
        answer = await self._requests.ask(customer, needed, ahead, self.port)
        if self._credits.get(customer) is credit:
            # Otherwise the answer is to a request under an earlier limit.
            self._requests.apply(customer, credit, answer, asked_at)
            if ahead and answer is not None and answer.tokens <= needed:
                credit.postpone_ahead(self._clock())

    def _refusal(self, customer, credit, reason):
        home = self.home.home_of(customer)
        return self._refusals.make(customer, credit, reason, home)
