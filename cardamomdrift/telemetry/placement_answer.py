"""
Answer about a placement
========================

What `telemetry.placement` tells about one request.  A daemon sends it as JSON.
"""

from dataclasses import dataclass

from cardamomdrift.customers.quota_preview import TokenPreview
from cardamomdrift.deployment import Customer
from cardamomdrift.position import Position

GOES, WAITS_IN_QUEUE, IS_REFUSED = "goes", "waits", "refused"


@dataclass(frozen=True, slots=True)
class PlacementDecision:
    """What would become of the request; times are in seconds.

    Attributes
    ----------
    outcome : str
        ``goes``, ``waits`` or ``refused``.
    instance : str
        Where it goes.
    verified : bool
        Whether the instance is known to have reached the floor; otherwise it is asked
        with the floor and may refuse.
    condition : str
        What has to happen at another daemon before it is sent; may be empty.
    wait : float
        Expected wait.
    place : int
        Place in the queue, from 1; 0 if it does not wait in the queue.
    error : str
        Type of the refusal.
    reason : str
        Why it waits or is refused.
    retry_after : float or None
    """

    outcome: str
    instance: str = ""
    verified: bool = True
    condition: str = ""
    wait: float = 0.0
    place: int = 0
    error: str = ""
    reason: str = ""
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class RequestAnswer:
    """The request as its route describes it; times are in seconds."""

    database: str
    command: str
    group: str
    kind: str
    priority: int
    timeout: float
    target_latency: float
    max_age: float | None
    public: bool


@dataclass(frozen=True, slots=True)
class CustomerAnswer:
    """Customer of the request; times are in seconds.

    Attributes
    ----------
    customer : Customer
    proof_age : float or None
    proof_left : float or None
        How much longer keys are served without a new proof; None if none is needed or
        there is none.
    proof_needed : bool
    token : TokenPreview or None
        None if the customer has no limit.
    """

    customer: Customer
    proof_age: float | None
    proof_left: float | None
    proof_needed: bool
    token: TokenPreview | None


@dataclass(frozen=True, slots=True)
class FloorAnswer:
    """Position that the serving instance must have reached, and where it comes from."""

    position: Position | None
    source: str
    age: float | None = None


@dataclass(frozen=True, slots=True)
class PrimaryAnswer:
    """The group's primary, and for how many seconds it may be used."""

    name: str
    usable: bool
    generation: int
    settled: bool
    permission: float | None
    outage: float


@dataclass(frozen=True, slots=True)
class InstanceAnswer:
    """One instance as a place for the request; times are in seconds.

    Attributes
    ----------
    name : str
    obstacle : str
        Why it cannot serve the request now; empty if it can.
    position : Position
    missing : int or None
        Entries from its last known position to the floor; None if not known.
    in_flight, limit : int
    connection : str
        ``own idle``, ``to be opened``, ``awaited``, ``borrowed`` or ``detour``.
    pace_rate : float or None
    pace_delay : float
    avoided : bool
    expected : float or None
        Expected time until its answer; None if it is no candidate.
    parts : dict of str to float
        Parts of the expected time.
    """

    name: str
    obstacle: str
    position: Position
    missing: int | None
    in_flight: int
    limit: int
    connection: str
    pace_rate: float | None
    pace_delay: float
    avoided: bool
    expected: float | None
    parts: dict[str, float]


@dataclass(frozen=True, slots=True)
class PlacementAnswer:
    """Where a request would go, and why.

    Attributes
    ----------
    vm : str
    version : int
        Version of the configuration in force.
    decision : PlacementDecision
    request : RequestAnswer or None
        None if the database is not known.
    customer : CustomerAnswer or None
    floor : FloorAnswer or None
        None for writes.
    primary : PrimaryAnswer or None
    instances : list of InstanceAnswer
    """

    vm: str
    version: int
    decision: PlacementDecision
    request: RequestAnswer | None = None
    customer: CustomerAnswer | None = None
    floor: FloorAnswer | None = None
    primary: PrimaryAnswer | None = None
    instances: list[InstanceAnswer] | None = None
