"""
Statement request
=================

One statement of a caller on its way through a daemon.
"""

from dataclasses import dataclass, field

from cardamomdrift.deployment import Route
from cardamomdrift.position import Position


@dataclass(slots=True)
class StatementRequest:
    """One statement; times are in seconds of the loop's clock.

    Attributes
    ----------
    request_id : str
        The caller's id of the statement.
    command : object
        What to run, with the names that instances know.
    prepared : Prepare or None
        The prepared statement that it executes.
    values : dict of str to str
        Values of the session.
    route : Route
    caller : str
        Whose turn it takes in queues.
    arrived_at : float
    deadline_at : float
    arrived_boot : float
        When it arrived, by the boot clock.
    written : Position or None
        Position of the session's last acknowledged write.
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
    trace: "Trace" = field(default_factory=lambda: Trace())

    @property
    def priority(self):
        """Higher goes first."""
        return self.route.priority


@dataclass(slots=True)
class Trace:
    """What decided a request, for its log line.

    Attributes
    ----------
    instance : str
        Where it ran last.
    floor : Position or None
        What that instance had to have reached.
    floor_age : float or None
        Age of the sample that gave the floor, in seconds.
    lender : str
        VM whose connection it used; empty for one's own.
    generation : int
        Replacement of the primary that was in force.
    attempts : int
    placed_at : float or None
        When it got its last place, in seconds of the loop's clock.
    sent : bool
        Whether anything was sent that may have run.
    events : list of str
        What went wrong on the way.
    """

    instance: str = ""
    lender: str = ""
    floor: Position | None = None
    floor_age: float | None = None
    generation: int = 0
    attempts: int = 0
    placed_at: float | None = None
    sent: bool = False
    events: list = field(default_factory=list)
