"""
Ticket
======

A request that waits for an instance, as queues see it.
"""

from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Ticket:
    """Waiting request; times are in seconds of the loop's clock.

    Attributes
    ----------
    caller : str
    priority : int
    arrived_at : float
    deadline_at : float
    cost : float
        Expected service time.
    long : bool
        Whether the expected service time is long.
    payload : object
        Object with which the dispatcher starts or evicts the request.
    aim_at : float or None
        When it should be answered; None if at any time before the deadline.
    late : bool
        Whether it waits among those that are not expected to be answered by then.
    customer : str
        Customer whose connections it uses; empty without customers.
    customer_priority : int
        Priority of the customer within the same priority.
    weight : float or None
        Weight of the customer's turns; None if no customer is known.
    """

    caller: str
    priority: int
    arrived_at: float
    deadline_at: float
    cost: float
    long: bool = False
    payload: object = None
    aim_at: float | None = None
    late: bool = False
    customer: str = ""
    customer_priority: int = 0
    weight: float | None = None

    @property
    def rank(self):
        """Priority, then that of the customer; a higher rank goes first."""
        return self.priority, self.customer_priority

    def meets_aim(self, start_at):
        """Whether it is answered in time if it starts at a time."""
        return self.aim_at is None or start_at + self.cost <= self.aim_at

    @property
    def turn(self):
        """Key of the turn that the request takes.

        Long requests of a caller have a turn of their own, so that they do not delay
        its short ones.
        """
        return self.caller, self.long
