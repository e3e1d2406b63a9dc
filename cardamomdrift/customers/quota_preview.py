"""
Preview of a token
==================

What a daemon would do to obtain a token of a customer's quota, computed on copies of
its credit and of its home.  Nothing is taken, granted or requested.
"""

from dataclasses import dataclass

from cardamomdrift.errors import QuotaExceeded
from cardamomdrift.limits.credit import TokenStep, allowance_share
from cardamomdrift.peers.credit import CREDIT_FORMAT, CreditRequest

PREVIEW_SEQUENCE = -1  # no request has it

HELD = "held"
GRANTED_HERE = "granted_here"
REQUESTED = "requested"
WAITS = "waits"
WITHOUT_HOME = "without_home"
REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class TokenPreview:
    """How an operation of a customer would obtain its token; times are in seconds.

    Attributes
    ----------
    outcome : str
        ``held``, ``granted_here``, ``requested`` (of another daemon), ``waits`` (for
        the first grant), ``without_home`` or ``refused``.
    held : int
        Tokens that the daemon holds.
    home, deputy : str or None
    wait : float
        Least time until a grant, if it waits for that.
    reason : str
        ``limit`` or ``no_home``, if it is refused.
    retry_after : float
    late : str
        Outcome in place of ``waits`` if the deadline is before the first grant:
        ``without_home`` or ``refused``; empty if the operation waits in any case.
    """

    outcome: str
    held: int
    home: str | None
    deputy: str | None
    wait: float = 0.0
    reason: str = ""
    retry_after: float = 0.0
    late: str = ""


def quota_error(reason, retry_after):
    """Return the error of an operation that the quota refuses."""
    return QuotaExceeded(f"customer is over its limit ({reason})", retry_after)


def own_share(customer, credit, members, vm):
    """Return a daemon's part of the operations without a home; see `take_own`."""
    return allowance_share(customer, credit.terms.allowance, members, vm)


def preview_token(
    customer, credit, home, window, now, must_queue=False, expects_start=False
):
    """Return the TokenPreview of an operation.

    Parameters
    ----------
    customer : str
    credit : CustomerCredit
        A copy, which changes.
    home : QuotaHome
        A copy, which changes.
    window : float
        Window of the quota in seconds.
    now : float
    must_queue : bool
        Whether operations that came before wait for a home that started late.
    expects_start : bool
        Whether a home that does not answer has probably not started yet.
    """
    vm, homes = home.vm, home.homes
    names = (credit.held(now), homes.home_of(customer), homes.deputy_of(customer))
    outcome, wait, late = HELD, 0.0, ""
    step = credit.next_step(now, must_queue)
    if step is TokenStep.ASK:
        outcome = WAITS if must_queue else REQUESTED
        if not must_queue and names[1] == vm:
            outcome = GRANTED_HERE
            request = CreditRequest(CREDIT_FORMAT, PREVIEW_SEQUENCE, vm, customer, 1, 0)
            answer = home.answer(request)
            credit.record_answer(answer, now, now, expects_start)
            if not credit.awaits_start:
                step = credit.step_after_answer(now)
        if step is TokenStep.ASK and credit.awaits_start:
            outcome = WAITS
    if step is TokenStep.REFUSE:
        return TokenPreview(REFUSED, *names, 0.0, "limit", credit.retry_after(now))
    if outcome == WAITS:
        wait = max(credit.grants_in(now), credit.retry_in(now))
    retry_after = 0.0
    if step is TokenStep.TAKE_OWN or credit.awaits_start and outcome == WAITS:
        share = own_share(customer, credit, home.members, vm)
        late = WITHOUT_HOME
        if credit.take_own(share, window, now) is None:
            late, retry_after = REFUSED, credit.retry_after(now)
    if step is TokenStep.TAKE_OWN:
        reason = "no_home" if late == REFUSED else ""
        return TokenPreview(late, *names, 0.0, reason, retry_after)
    return TokenPreview(outcome, *names, wait, "", retry_after, late)
