"""
Credit
======

What a daemon holds of a customer's quota: tokens with an end, remembered refusals, and
the operations that it may send while the home does not answer.  Pure: times are passed
in, in seconds of the boot clock.

Load patterns: a customer below its limit is served from credit obtained ahead where its
load on this daemon is high enough to use it; one at its limit is refused without a
message for each refusal.
"""

import math
from collections import deque
from enum import Enum, auto

from cardamomdrift.membership.rendezvous import rank
from cardamomdrift.util import seconds

DEMAND_TIME = 2.0  # seconds over which the arrivals are averaged
AHEAD_TIME = 0.5  # seconds of expected use for which credit is requested ahead
# Seconds of expected use that are still held when more is requested.  A round trip
# takes 3 ms.
REFILL_TIME = 0.02
# Seconds for which a refusal is remembered.  The lower bound limits the messages of a
# large customer at its limit, whose next token comes within milliseconds.
MIN_REFUSAL_TIME, MAX_REFUSAL_TIME = 0.1, 0.5
NOT_GRANTING_TIME = 0.1  # seconds until a home that does not grant yet is asked again
# Seconds that an attempt waits for a home to begin its grants if its deadline is not
# known.  After a restart of all daemons a refused caller would meet the same at the
# next one, and its retries are few.
WAIT_TIME = 0.5
# Seconds after a home's first grant in which operations wait behind those that arrived
# before it.  Longer, a customer above its limit would be refused late.
RECOVERY_TIME = 1.0


def allowance_share(customer, total, members, vm):
    """Return the part of the operations without a home that belongs to a daemon.

    Parameters
    ----------
    customer : str
    total : int
        Operations of all daemons together.
    members : tuple of str
    vm : str
    """
    if vm not in members:
        return 0
    share, remainder = divmod(total, len(members))
    return share + (rank(customer, members).index(vm) < remainder)


class TokenStep(Enum):
    """How a daemon obtains a token for an operation."""

    TAKE = auto()  # a token that it holds
    REFUSE = auto()
    TAKE_OWN = auto()  # one of the operations that it may send without the home
    ASK = auto()  # the home


class Demand:
    """Exponentially weighted rate of arrivals."""

    def __init__(self):
        self._value = 0.0
        self._updated_at = -math.inf

    def add(self, now):
        """Count an arrival."""
        self._value = self.rate(now) + 1.0 / DEMAND_TIME
        self._updated_at = now

    def rate(self, now):
        """Return the arrivals per second."""
        return self._value * math.exp(-max(now - self._updated_at, 0.0) / DEMAND_TIME)


class CustomerCredit:
    """Credit of one customer at one daemon.

    Parameters
    ----------
    terms : QuotaTerms
    """

    def __init__(self, terms):
        self._terms = terms
        self._lots = []
        self._demand = Demand()
        self._refused_until = -math.inf
        self._retry_at = -math.inf
        self._homeless_until = -math.inf
        self._grants_at = -math.inf
        self._granting_since = -math.inf
        self._ahead_from = -math.inf
        self._own_uses = deque()

    @property
    def terms(self):
        """The QuotaTerms in force."""
        return self._terms

    def change(self, terms):
        """Return the credit under new terms; a stricter limit drops all tokens."""
        changed = CustomerCredit(terms)
        changed._demand = self._demand
        changed._own_uses = self._own_uses
        if not terms.is_stricter_than(self._terms):
            changed._lots = self._lots
        return changed

    def next_step(self, now, must_queue=False):
        """Return the TokenStep for an operation that needs a token now.

        Parameters
        ----------
        now : float
        must_queue : bool
            Whether operations that came before wait for a home that started late.
        """
        if not must_queue and self.held(now):
            return TokenStep.TAKE
        may_queue = must_queue and self.is_recovering(now)
        if self.refused_for(now) and not may_queue:
            return TokenStep.REFUSE
        if not self.awaits_start and self.homeless_for(now):
            return TokenStep.TAKE_OWN
        return TokenStep.ASK

    def step_after_answer(self, now):
        """Return the TokenStep after the home was asked; it is not asked again."""
        if self.held(now):
            return TokenStep.TAKE
        without_home = self.awaits_start or self.homeless_for(now)
        return TokenStep.TAKE_OWN if without_home else TokenStep.REFUSE

    def note_arrival(self, now):
        """Count an operation that asks for a token."""
        self._demand.add(now)

    def held(self, now):
        """Return the tokens that may be used."""
        self._lots = [lot for lot in self._lots if lot[0] > now]
        return sum(tokens for _, tokens in self._lots)

    def add(self, tokens, end):
        """Add granted tokens, which must not be used from ``end`` on."""
        if tokens > 0:
            self._lots.append((end, tokens))
            self._lots.sort()
            self._refused_until = -math.inf

    def take(self, now):
        """Take a token, the one that ends first; return its end, or None."""
        if not self.held(now):
            return None
        end, tokens = self._lots[0]
        if tokens > 1:
            self._lots[0] = (end, tokens - 1)
        else:
            del self._lots[0]
        return end

    def give_back(self, end, now):
        """Return a token that was not used."""
        if end > now:
            self._lots.append((end, 1))
            self._lots.sort()

    def ahead(self, now):
        """Return the tokens to request beyond those needed now."""
        time = min(AHEAD_TIME, self._terms.lifetime)
        return max(math.floor(self._demand.rate(now) * time) - self.held(now), 0)

    def wants_ahead(self, now):
        """Whether to request tokens before an operation needs one."""
        if now < max(self._refused_until, self._homeless_until, self._ahead_from):
            return False
        soon = self._demand.rate(now) * REFILL_TIME
        return self.ahead(now) > 0 and self.held(now) <= soon

    def postpone_ahead(self, now):
        """Remember that the home grants nothing beyond what operations wait for."""
        self._ahead_from = now + MAX_REFUSAL_TIME

    # Refusals

    def refuse(self, retry_after, now):
        """Remember that the home has no tokens."""
        self._retry_at = now + retry_after
        time = min(max(retry_after, MIN_REFUSAL_TIME), MAX_REFUSAL_TIME)
        self._refused_until = now + time

    def refused_for(self, now):
        """Return the seconds after which a retry may be admitted; 0 if not refused."""
        if now >= self._refused_until:
            return 0.0
        return max(self._retry_at, self._refused_until) - now

    def retry_after(self, now):
        """Return after how many seconds a refused caller is told to come back."""
        return max(
            self.refused_for(now), self.homeless_for(now), self.grants_in(now), 0.001
        )

    def record_answer(self, answer, asked_at, now, expects_start):
        """Record the answer of a home, or None without one; return what it means.

        Parameters
        ----------
        answer : CreditAnswer or None
        asked_at : float
        now : float
        expects_start : bool
            Whether a home that does not answer has probably not started yet.

        Returns
        -------
        str
            ``no_answer``, ``not_granting``, ``limited`` or ``granted``.
        """
        if answer is None or not answer.granting:
            grants_after = 0.0 if answer is None else seconds(answer.retry_after_ms)
            if not grants_after and expects_start:
                grants_after = NOT_GRANTING_TIME
            if answer is None and not grants_after:
                self.miss_home(now)
            else:
                self.await_home(grants_after, now)
            return "no_answer" if answer is None else "not_granting"
        self.begin_grants(now)
        lifetime = min(seconds(answer.lifetime_ms), self._terms.lifetime)
        self.add(answer.tokens, asked_at + lifetime)
        if not answer.retry_after_ms:
            return "granted"
        self.refuse(seconds(answer.retry_after_ms), now)
        return "limited"

    def miss_home(self, now):
        """Remember that the home has not answered."""
        self._homeless_until = now + MAX_REFUSAL_TIME
        self._grants_at = -math.inf

    def await_home(self, grants_after, now):
        """Remember that the home does not grant yet.

        Parameters
        ----------
        grants_after : float
            Seconds until its first grant, or until it is asked again if that is not
            known; 0 if it has ceased to grant.
        now : float
        """
        self._homeless_until = now + NOT_GRANTING_TIME
        self._grants_at = now + grants_after if grants_after > 0 else -math.inf

    def grants_in(self, now):
        """Return the seconds until the home grants; 0 if not known."""
        return max(self._grants_at - now, 0.0)

    def starts_after(self, until, now):
        """Whether the home has not begun its grants and does not before a time."""
        return self.awaits_start and now + self.grants_in(now) >= until

    def is_open(self, now):
        """Whether no token is held and the home may still grant one."""
        if self.held(now) or self.refused_for(now):
            return False
        return self.awaits_start or not self.homeless_for(now)

    @property
    def awaits_start(self):
        """Whether the home had not begun its grants when it was last asked."""
        return self._grants_at > -math.inf

    def retry_in(self, now):
        """Return the seconds until the home expects its next token."""
        return max(self._retry_at - now, 0.0)

    def begin_grants(self, now):
        """Note a grant of the home, and whether it is the first."""
        if self.awaits_start:
            self._granting_since = now
        self.find_home()

    def is_recovering(self, now):
        """Whether operations still wait for the tokens after the first grant."""
        return now < self._granting_since + RECOVERY_TIME

    def find_home(self):
        """Note that the home answers, or that there is another one."""
        self._homeless_until = self._grants_at = -math.inf

    def homeless_for(self, now):
        """Return the seconds for which the home is not asked again, or 0."""
        return max(self._homeless_until - now, 0.0)

    def take_own(self, share, window, now):
        """Take one of the operations without a home; return its end, or None.

        Parameters
        ----------
        share : int
            This daemon's part of them, as `allowance_share` returns it.
        window : float
        now : float
        """
        # The operation may be sent until its end, so it counts for that much longer.
        counted = window + self._terms.lifetime
        while self._own_uses and self._own_uses[0] <= now - counted:
            self._own_uses.popleft()
        if len(self._own_uses) >= share:
            return None
        self._own_uses.append(now)
        return now + self._terms.lifetime
