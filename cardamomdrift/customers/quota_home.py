"""
Home of customers
=================

The part of a daemon that grants credit for the customers whose home it is.
"""

import math
from copy import copy, deepcopy
from dataclasses import dataclass

from cardamomdrift.limits.credit import NOT_GRANTING_TIME
from cardamomdrift.limits.homes import (
    CustomerHomes,
    Tenure,
    echoed_by_majority_at,
)
from cardamomdrift.limits.quota import QuotaBucket
from cardamomdrift.peers.credit import CREDIT_FORMAT, CreditAnswer
from cardamomdrift.util import MILLISECONDS


@dataclass(slots=True)
class _HomeState:
    """Bucket of one customer, and the last answer to each daemon by its name."""

    tenure: Tenure
    bucket: QuotaBucket
    answers: dict


class _NoLog:
    """Log of a copy, whose checks are no events of the daemon."""

    def info(self, _event, **_fields):
        """Write nothing."""


class QuotaHome:
    """Grants credit; a daemon has one, also while it is no customer's home.

    Parameters
    ----------
    roster : Roster
    clock : callable
        Returns the boot clock in seconds.
    log : structlog logger
    window : float
        Seconds for which the bucket of a customer that was removed is kept.
    restarts : RestartWatch, optional
        Evidence of a restart of all daemons; without it, each start needs a hold.

    Attributes
    ----------
    homes : CustomerHomes
    """

    def __init__(self, roster, clock, log, window, restarts=None):
        self._roster = roster
        self._clock = clock
        self._log = log
        self._restarts = restarts
        self._window = window
        self._terms = {}
        self._departed = {}
        self.homes = CustomerHomes(roster.vm, clock())
        self._states = {}
        self._started = set()

    @property
    def vm(self):
        """Name of this daemon."""
        return self._roster.vm

    @property
    def members(self):
        """Names of the daemons among which the homes are chosen."""
        return self.homes.members

    def home_of(self, customer):
        """Return the name of a customer's home, or None while no members are known."""
        return self.homes.home_of(customer)

    def outstanding(self):
        """Return the tokens granted whose credit has not ended."""
        now = self._clock()
        return sum(state.bucket.outstanding(now) for state in self._states.values())

    def copy(self):
        """Return a copy whose grants change nothing here, without its last answers."""
        copied = copy(self)
        copied._log = _NoLog()
        copied.homes = deepcopy(self.homes)
        copied._started = set(self._started)
        copied._states = {
            customer: _HomeState(state.tenure, deepcopy(state.bucket), {})
            for customer, state in self._states.items()
        }
        return copied

    def set_terms(self, terms):
        """Apply the QuotaTerms of the customers with a rate, by name."""
        now = self._clock()
        for customer in self._terms.keys() - terms.keys():
            self._departed[customer] = now + self._window
        self._terms = terms
        self._forget_departed(now)
        for customer, state in self._states.items():
            if customer in terms and terms[customer] != state.bucket.terms:
                state.bucket.change(terms[customer], now)
                state.answers.clear()

    def _forget_departed(self, now):
        """Forget customers whose earlier operations are in no present window."""
        self._departed = {
            customer: until
            for customer, until in self._departed.items()
            if now < until and customer not in self._terms
        }
        known = self._terms.keys() | self._departed.keys()
        self.homes.set_customers(known)
        self._started &= known
        for customer in self._states.keys() - known:
            del self._states[customer]

    def set_members(self, members):
        """Apply a change of the members; return whether there was one."""
        if members == self.homes.members:
            return False
        change = self.homes.set_members(members, self._clock())
        for customer in list(self._states):
            if self.homes.tenure(customer, self._clock()) is None:
                del self._states[customer]
            else:
                self._states[customer].answers.clear()
        if change.gained or change.lost:
            self._log.info(
                "home of customers changed",
                gained=change.gained,
                lost=change.lost,
                members=len(members),
            )
        return True

    def check(self):
        """Return whether this daemon may grant; called regularly and by each grant."""
        now = self._clock()
        if self._departed and now >= min(self._departed.values()):
            self._forget_departed(now)
        is_proved = self.homes.check(echoed_by_majority_at(self._roster, now), now)
        if is_proved and self._restarts is not None and self.homes.is_held(now):
            restarted_at = self._restarts.evidence(now)
            if restarted_at is not None:
                self.homes.end_hold(restarted_at)
                age_ms = round((now - restarted_at) * MILLISECONDS)
                self._log.info("all daemons have restarted", age_ms=age_ms)
        return is_proved

    def answer(self, request):
        """Return the CreditAnswer to a request, or None if its sender is unknown."""
        if self.homes.members and request.sender not in self.homes.members:
            return None
        state = self._state(request.customer)
        if state is None:
            retry_after = self._retry_after(request.customer)
            return CreditAnswer(
                CREDIT_FORMAT, request.sequence, False, retry_after_ms=retry_after
            )
        last = state.answers.get(request.sender)
        if last is not None and last.sequence == request.sequence:
            # The request was repeated: a second grant would be lost.
            return last
        now = self._clock()
        if now < state.tenure.early_from:
            wait = self._hold_milliseconds(state.tenure.early_from - now, now)
            return CreditAnswer(
                CREDIT_FORMAT, request.sequence, False, retry_after_ms=wait
            )
        grant = state.bucket.grant(request.needed, request.ahead, now)
        retry_after = math.ceil(grant.retry_after * MILLISECONDS)
        if now < state.tenure.begins_at:
            if not grant.tokens:
                wait = self._hold_milliseconds(grant.retry_after, now)
                return CreditAnswer(
                    CREDIT_FORMAT, request.sequence, False, retry_after_ms=wait
                )
            # The rest is asked for again, and answered with the end of the hold.
            retry_after = 0
        answer = CreditAnswer(
            CREDIT_FORMAT,
            request.sequence,
            True,
            grant.tokens,
            math.floor(state.bucket.terms.lifetime * MILLISECONDS),
            retry_after,
        )
        state.answers[request.sender] = answer
        return answer

    def _hold_milliseconds(self, wait, now):
        """Return when to ask a home again that waits; evidence may end its hold."""
        if self._restarts is not None and self._restarts.may_find_evidence(now):
            wait = min(wait, NOT_GRANTING_TIME)
        return math.ceil(wait * MILLISECONDS)

    def _retry_after(self, customer):
        """Return the milliseconds after which to ask a home that has no proof.

        0 unless it has just started: a home that is cut off does not grant soon.
        """
        if self.homes.was_proved or not self.homes.may_become_home(customer):
            return 0
        return round(NOT_GRANTING_TIME * MILLISECONDS)

    def _state(self, customer):
        """Return the state of a customer for which this daemon may grant, or None."""
        terms = self._terms.get(customer)
        proved, now = self.check(), self._clock()
        tenure = self.homes.tenure(customer, now)
        if terms is None or tenure is None or not proved:
            return None
        state = self._states.get(customer)
        if state is None or state.tenure != tenure:
            bucket = self._make_bucket(customer, tenure, now)
            state = self._states[customer] = _HomeState(tenure, bucket, {})
        return state

    def _make_bucket(self, customer, tenure, now):
        """Return the bucket with which a tenure begins."""
        terms, last = self._terms[customer], self._states.get(customer)
        if tenure.after_restart and last is not None and last.tenure.is_first:
            last.bucket.end_hold(tenure.since)
            return last.bucket
        has_early = False
        if tenure.after_restart or (tenure.is_first and now < tenure.begins_at):
            # Not once more after a cut: the slack has room for two starts.
            has_early = customer not in self._started
            self._started.add(customer)
        begins_at = math.inf if tenure.after_restart else tenure.begins_at
        bucket = QuotaBucket(terms, tenure.since, begins_at, has_early)
        if tenure.after_restart:
            bucket.end_hold(tenure.since)
        return bucket
