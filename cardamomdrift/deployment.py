"""
Deployment
==========

Model of the configuration that a daemon serves: routes from database names to database
groups, and the instances of the groups.  The values are immutable; a new version
replaces them as a whole.
"""

from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Consistency of the reads of a route."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_YOUR_WRITES = "read_your_writes"


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
        Maximum time for one statement.
    target_latency : float
        Time within which a statement should be answered.
    priority : int
        Requests with a higher value go first.
    max_age : float or None
        Maximum staleness of a read; None on primary routes.
    public : bool
        Whether callers need no key.
    """

    database: str
    kind: RouteKind
    group: str
    timeout: float
    target_latency: float
    priority: int
    max_age: float | None = None
    public: bool = False


@dataclass(frozen=True, slots=True)
class Group:
    """Database group: a primary and its replicas.

    Attributes
    ----------
    name : str
    connections : int
        Number of connections that each instance accepts from all VMs together.
    synchronous : int
        Number of replicas that have received a commit before it is acknowledged.
    """

    name: str
    connections: int
    synchronous: int = 0


@dataclass(frozen=True, slots=True)
class Customer:
    """Customer whose callers show one of its keys.

    Attributes
    ----------
    name : str
    rate : float or None
        Operations per second that all daemons together may send; None without a limit.
    burst : float
        Operations that may be sent above the rate after a pause.
    priority : int
        Requests of customers with a higher value go first.
    """

    name: str
    rate: float | None = None
    burst: float = 0.0
    priority: int = 0


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
        Seconds after which an idle transaction may be rolled back.
    customers : dict of str to Customer
        By name.
    customer_by_digest : dict of bytes to str
        Name of the customer that holds a key, by the key's digest.
    """

    version: int
    routes: dict
    groups: dict
    transaction_idle_timeout: float
    customers: dict = field(default_factory=dict)
    customer_by_digest: dict = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class InstanceRecord:
    """Instance as an entry of the platform's list.

    Attributes
    ----------
    name : str
    group : str
    address : str
    port : int
    failure_domain : str
    draining : bool
        Whether it is about to leave the group.
    primary : bool
        Whether it reports itself as the primary.
    started_at_ms : int
        Start time of its process.  If it changes, the instance may have lost its log.
    """

    name: str
    group: str
    address: str
    port: int
    failure_domain: str
    draining: bool
    primary: bool
    started_at_ms: int = 0
