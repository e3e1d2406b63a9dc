"""
Judgement
=========

What an admission queue decides about a request.
"""

from dataclasses import dataclass

from cardamomdrift.limits.ticket import Ticket


@dataclass(frozen=True, slots=True)
class Queued:
    """The request was queued."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was refused and will not run.

    Attributes
    ----------
    reason : str
    retry_after : float
        Seconds after which another attempt may succeed.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class Judgement:
    """Decision of `AdmissionQueue.judge` about a request that is not queued yet.

    Attributes
    ----------
    decision : Queued or Refused
    late : bool
        Whether it would wait among those that cannot be answered in time.
    wait : float
        Expected seconds until it starts.
    ahead : int
        Requests that go before it.
    evicted : Ticket or None
        Request that has to leave the queue.
    reason : str
        Why that one leaves.
    """

    decision: object
    late: bool
    wait: float
    ahead: int
    evicted: Ticket | None = None
    reason: str = ""
