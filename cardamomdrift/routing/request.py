"""
Statement request
=================

One statement of a caller, and the record of how it was served.
"""

import math
from dataclasses import dataclass, field

from cardamomdrift.customers.identity import NO_CUSTOMER, NO_GUARD, Identity
from cardamomdrift.deployment import Customer, Route
from cardamomdrift.position import Position
from cardamomdrift.sessions.commands import (
    MESSAGE_OVERHEAD_LIMIT,
    MESSAGE_SIZE_LIMIT,
)
from cardamomdrift.util import text_size


def find_deadline(route, arrived_at, answer_by):
    """Return when a statement that has arrived must have been answered.

    Parameters
    ----------
    route : Route
    arrived_at : float
    answer_by : float
        When the daemon must have answered all requests.
    """
    return min(arrived_at + route.timeout, answer_by)


def can_answer(request, costs, answer_by):
    """Whether a request is expected to be answered before the daemon exits.

    Parameters
    ----------
    request : StatementRequest
    costs : CostEstimator
    answer_by : float
    """
    expected = costs.expected(request.route.database)
    return request.arrived_at + expected <= answer_by


@dataclass(slots=True)
class StatementRequest:
    """One statement; times are in seconds of the loop's clock.

    Attributes
    ----------
    request_id : str
        The caller's id of the statement.
    command : object
        Command to run; an Execute has the session's name of its statement.
    prepared : Prepare or None
        The prepared statement that the command executes.
    values : dict of str to str
        Values of the session.
    route : Route
    caller : str
        Caller whose turn it takes in queues.
    arrived_at : float
    deadline_at : float
    arrived_boot : float
        When it arrived, by the boot clock.
    last_write : Position or None
        Position of the session's last acknowledged write in the route's group.
    sample_since : float
        When the sample of a read's floor must have begun, at the earliest, by the boot
        clock.
    payload_bytes : int
        Size of the caller's text that must reach the instance unchanged.
    identity : Identity
    customer : Customer or None
        Customer whose turn it takes; None if customers are not in force.
    guard : object
        Checks key, proof and quota before anything is sent; see `customers.identity`.
    trace : Trace
    """

    request_id: str
    command: object
    prepared: object
    values: dict
    route: Route
    caller: str
    arrived_at: float
    deadline_at: float
    arrived_boot: float
    last_write: Position | None = None
    sample_since: float = -math.inf
    payload_bytes: int = 0
    identity: Identity = NO_CUSTOMER
    customer: Customer | None = None
    guard: object = NO_GUARD
    trace: "Trace" = field(default_factory=lambda: Trace())

    @property
    def priority(self):
        """Priority of the route; requests with a higher value go first."""
        return self.route.priority

    @property
    def deadline_boot(self):
        """Its deadline by the boot clock."""
        return self.arrived_boot + self.deadline_at - self.arrived_at

    @property
    def extensible(self):
        """Whether a daemon may add to its text within the size of a message."""
        size = self.payload_bytes + text_size(self.request_id)
        return size + MESSAGE_OVERHEAD_LIMIT <= MESSAGE_SIZE_LIMIT

    @property
    def aim_at(self):
        """When it should be answered, in seconds of the loop's clock."""
        return self.arrived_at + self.route.target_latency


@dataclass(slots=True)
class Trace:
    """How a request was served, for its log line.

    Attributes
    ----------
    instance : str
        Instance of the last attempt.
    floor : Position or None
        Position that the instance had to have reached.
    floor_age : float or None
        Age of the sample that gave the floor, in seconds.
    lender : str
        VM whose connection it last borrowed; empty if it used only connections of
        this VM.
    generation : int
        Number of the replacement of the primary in force at the last attempt.
    attempts : int
        Number of times that it got a placement.
    placed_at : float or None
        When it got its last placement, in seconds of the loop's clock.
    sent : bool
        Whether anything was sent that may have run.
    sent_bytes : int or None
        Size of the caller's text in the last statement that was sent; None if it was
        not answered.
    events : list of str
        Failed attempts and hedges, in order.
    """

    instance: str = ""
    lender: str = ""
    floor: Position | None = None
    floor_age: float | None = None
    generation: int = 0
    attempts: int = 0
    placed_at: float | None = None
    sent: bool = False
    sent_bytes: int | None = None
    events: list = field(default_factory=list)
