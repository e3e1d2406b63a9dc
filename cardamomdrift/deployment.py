"""
Deployment
==========

What a daemon serves: routes from database names to database groups, and the instances
of the groups.  The values are immutable; a new version replaces them as a whole.
"""

from dataclasses import dataclass
from enum import Enum, auto


class RouteKind(Enum):
    """What the reads of a route have to see."""

    PRIMARY = auto()
    BOUNDED_STALENESS = auto()
    READ_YOUR_WRITES = auto()


@dataclass(frozen=True, slots=True)
class Route:
    """How the sessions of one database are served; times are in seconds.

    Attributes
    ----------
    database : str
        Name that callers connect to.
    kind : RouteKind
    group : str
        Database group that runs the statements.
    timeout : float
        Longest time for one statement.
    target : float
        Time within which an answer is of full use.
    priority : int
        Higher goes first.
    max_age : float or None
        How old the data of a read may be; None on primary routes.
    """

    database: str
    kind: RouteKind
    group: str
    timeout: float
    target_latency: float
    priority: int
    max_age: float | None = None


@dataclass(frozen=True, slots=True)
class Group:
    """One database group.

    Attributes
    ----------
    name : str
    connections : int
        Connections that each instance takes from all VMs together.
    synchronous : int
        Replicas that have received a commit before it is acknowledged.
    """

    name: str
    connections: int
    synchronous: int = 0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One version of the configuration.

    Attributes
    ----------
    version : int
    routes : dict of str to Route
        By database.
    groups : dict of str to Group
    transaction_idle_timeout : float
        Seconds after which an idle transaction may be ended.
    """

    version: int
    routes: dict
    groups: dict
    transaction_idle_timeout: float


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """One instance as the list of instances shows it.

    Attributes
    ----------
    name : str
    group : str
    address : str
    port : int
    failure_domain : str
    draining : bool
        Whether it is about to leave.
    primary : bool
        Whether it takes itself for the primary.
    started_at_ms : int
        Start of its process; another value means that it may have lost its log.
    """

    name: str
    group: str
    address: str
    port: int
    failure_domain: str
    draining: bool
    primary: bool
    started_at_ms: int = 0
