"""
Quotas
======

Rate limit of a customer as its home grants it, and how the permitted excess is divided.
All functions and classes are pure: times are passed in, in seconds of the boot clock.

In any window of ``window`` seconds, the daemons together may send
``rate * window + burst + slack`` operations of a customer, where ``slack`` is
``overshoot * (rate * window + burst) + quota_slack``.  The slack covers, in this order:

- two homes at the same time, for ``OVERLAP_TIME``;
- use of credit that was granted before the window, at most ``rate * lifetime``;
- one operation by rounding;
- in equal parts: bucket capacity above the burst, the start of a new home, and
  operations that daemons send while the home does not answer.
"""

from collections import deque
from dataclasses import dataclass
from math import floor

MAX_LIFETIME = 1.0  # seconds of credit at most
# Seconds.  Credit must outlast a round trip, however small the slack is.
MIN_LIFETIME = 0.1
LATE_USE_PART = 0.3  # of the slack, for credit granted before a window
OVERLAP_TIME = 0.3  # seconds; views of the members differ for about one heartbeat
ROUNDING_RESERVE = 1.0  # operations
# A partition may divide the daemons' own operations twice, and a daemon that restarts
# forgets those that it has sent.
ALLOWANCE_REPETITIONS = 2
# Seconds from becoming a home by a change of the members to the first grant: the former
# home may still have the older view.
HOLD_TIME = 2.0
EARLY_PART = 0.5  # of the start, which a home grants before its hold ends
# Credit ahead of need is granted only from a bucket that is fuller than this.  Credit
# that ends unused then does not lead to refusals.
AHEAD_LEVEL = 0.5


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """Limit of one customer and the parts of its slack; see `make_terms`.

    Attributes
    ----------
    rate : float
        Operations per second.
    capacity : float
        Operations that a full bucket holds.
    lifetime : float
        Seconds from a request for credit to the end of the credit.
    start : float
        Operations that the start of a home may add.
    early : float
        Part of ``start`` that a daemon may grant after its process has started, before
        its hold ends.  A home accumulates at most the rest during its hold.
    ahead : float
        Credit beyond immediate need that may be outstanding.
    allowance : int
        Operations that all daemons together may send in a window while the home does
        not answer.
    bound : float
        Operations that all daemons together may send in a window.
    """

    rate: float
    capacity: float
    lifetime: float
    start: float
    early: float
    ahead: float
    allowance: int
    bound: float

    def is_stricter_than(self, other):
        """Whether credit that was granted under ``other`` has to be dropped."""
        return self.rate < other.rate or self.capacity < other.capacity


def make_terms(customer, bounds):
    """Return the QuotaTerms of a customer with a rate.

    Parameters
    ----------
    customer : Customer
    bounds : ServiceBounds
    """
    rate, burst = customer.rate, customer.burst
    limit = rate * bounds.quota_window + burst
    slack = bounds.quota_overshoot * limit + bounds.quota_slack
    lifetime = MAX_LIFETIME
    if rate > 0:
        lifetime = max(min(lifetime, LATE_USE_PART * slack / rate), MIN_LIFETIME)
    reserved = rate * (OVERLAP_TIME + lifetime) + ROUNDING_RESERVE
    part = max(slack - reserved, 0.0) / 3
    return QuotaTerms(
        rate=rate,
        # With less than one whole token, no operation could ever be sent.
        capacity=max(burst + part, 1.0),
        lifetime=lifetime,
        start=part,
        early=EARLY_PART * part,
        ahead=LATE_USE_PART * slack,
        allowance=floor(part / ALLOWANCE_REPETITIONS),
        bound=limit + slack,
    )


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer of a home.

    Attributes
    ----------
    tokens : int
        Operations that may be sent before the end of the credit.
    retry_after : float
        Seconds until the next token, if none is left; else 0.
    """

    tokens: int
    retry_after: float = 0.0


class QuotaBucket:
    """Token bucket of one customer at its home.

    It is empty when the daemon becomes the home, and fills while the daemon waits for
    its first grant.  So it never grants more than the rate since then, and a restart
    gives no second burst.

    Parameters
    ----------
    terms : QuotaTerms
    since : float
        When the daemon became the home.
    begins_at : float
        When it may grant.
    has_early : bool
        Whether it may grant ``terms.early`` operations before that.
    """

    def __init__(self, terms, since, begins_at, has_early=False):
        self._terms = terms
        self._tokens = 0.0
        self._filled_at = since
        self._is_waiting = since < begins_at
        self._capacity = self._capacity_under(terms)
        self._early = floor(terms.early) if has_early else 0
        self._begins_at = begins_at
        self._grants = deque()

    @property
    def terms(self):
        """The QuotaTerms in force."""
        return self._terms

    def tokens(self, now):
        """Return the tokens in the bucket."""
        self._fill(now)
        return self._tokens

    def change(self, terms, now):
        """Apply a new limit; tokens above its capacity are lost at once."""
        self._fill(now)
        self._terms = terms
        self._capacity = self._capacity_under(terms)
        self._early = min(self._early, floor(terms.early))
        self._tokens = min(self._tokens, self._capacity)

    def end_hold(self, since):
        """Grant from now on what it has gained since all daemons restarted.

        What was not granted early is kept: the slack has room for it at each start.
        """
        self._tokens, self._early = float(self._early), 0
        self._filled_at = self._begins_at = since
        self._is_waiting = False
        self._capacity = self._terms.capacity

    def _capacity_under(self, terms):
        return terms.start - terms.early if self._is_waiting else terms.capacity

    def _fill(self, now):
        if self._is_waiting and self._begins_at <= now:
            self._fill_until(self._begins_at)
            self._is_waiting = False
            self._capacity = self._terms.capacity
        self._fill_until(now)

    def _fill_until(self, now):
        gained = self._terms.rate * max(now - self._filled_at, 0.0)
        self._tokens = min(self._tokens + gained, self._capacity)
        self._filled_at = max(now, self._filled_at)

    def outstanding(self, now):
        """Return the tokens granted whose credit has not ended, used or not."""
        while self._grants and self._grants[0][0] <= now:
            self._grants.popleft()
        return sum(tokens for _, tokens, _ in self._grants)

    def grant(self, needed, ahead, now):
        """Take tokens out of the bucket.

        Parameters
        ----------
        needed : int
            Tokens for operations that wait now.
        ahead : int
            Further tokens that are expected to be used before they end.
        now : float

        Returns
        -------
        Grant
        """
        if now < self._begins_at:
            return self._grant_early(needed, now)
        self._fill(now)
        self.outstanding(now)
        granted = min(needed, floor(self._tokens))
        spare = self._tokens - granted - AHEAD_LEVEL * self._capacity
        room = self._terms.ahead - sum(extra for _, _, extra in self._grants)
        extra = max(min(ahead, floor(spare), floor(room)), 0)
        self._tokens -= granted + extra
        if granted + extra:
            end = now + self._terms.lifetime
            self._grants.append((end, granted + extra, extra))
        return Grant(granted + extra, self._retry_after())

    def _grant_early(self, needed, now):
        granted = min(needed, self._early)
        self._early -= granted
        if granted:
            self._grants.append((now + self._terms.lifetime, granted, 0))
        return Grant(granted, 0.0 if self._early else self._begins_at - now)

    def _retry_after(self):
        if self._tokens >= 1.0:
            return 0.0
        missing = max(1.0 - self._tokens, 0.0)
        return missing / self._terms.rate if self._terms.rate > 0 else HOLD_TIME
