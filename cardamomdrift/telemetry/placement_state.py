"""
State for placements
====================

What decides where a daemon sends a request, as plain values that can be saved as JSON
and hold no keys.  Times of the loop's clock and of the boot clock are in seconds.
"""

import math
from dataclasses import dataclass, field

from cardamomdrift.customers.quota_preview import TokenPreview
from cardamomdrift.deployment import Customer, Group, Route
from cardamomdrift.limits.admission import SavedQueue
from cardamomdrift.position import Position
from cardamomdrift.routing.expected_position import PositionAnswer
from cardamomdrift.routing.samples import Sample
from cardamomdrift.routing.view import InstanceView

# Customers in the state of a whole daemon, those with the highest rates.  It bounds the
# time that a query for the status takes.
CUSTOMER_LIMIT = 200


@dataclass(frozen=True, slots=True)
class InstanceState:
    """One instance as a daemon uses it; see `InstanceRuntime` and `InstancePool`.

    Attributes
    ----------
    failure_domain : str
    usable, leaving, failed : bool
    silent : float
        Seconds for which it has not answered.
    detour, borrows : bool
    in_flight, long_in_flight, transactions, limit, transaction_limit : int
    connections, share : int
        Own connections, and how many there may be.
    has_room : bool
        Whether a connection may be opened.
    idle : dict of str to int
        Idle connections by customer.
    view : InstanceView
    pace_rate : float or None
        Statements per second that may be sent; None if the rate is not limited.
    pace_delay : float
        Seconds until the pace admits a statement.
    pace_refused : bool
        Whether it refused statements since the pace began.
    penalty : float
        Seconds added because it fails statements.
    work : float
        Recent seconds of its answers; see `GroupLoad`.
    answer : PositionAnswer or None
        Last answer with a position; see `PositionView`.
    """

    failure_domain: str
    usable: bool
    leaving: bool
    failed: bool
    silent: float
    detour: bool
    borrows: bool
    in_flight: int
    long_in_flight: int
    transactions: int
    limit: int
    transaction_limit: int
    connections: int
    share: int
    has_room: bool
    idle: dict[str, int]
    view: InstanceView
    pace_rate: float | None
    pace_delay: float
    pace_refused: bool
    penalty: float
    work: float = 0.0
    answer: PositionAnswer | None = None


@dataclass(frozen=True, slots=True)
class GroupState:
    """One database group as a daemon uses it; see `Cluster`.

    Attributes
    ----------
    group : Group
    primary : str
    generation : int
    settled : bool
    samples : list of Sample
        Those that may be floors now or show the lag of an instance; times by the boot
        clock.
    expected : dict of str to float
        Expected seconds of a statement, by database.
    long_penalty : float
        Expected seconds behind long statements on the replica that runs them.
    outage_expected, outage_least, outage_usual : float
        See `OutageEstimator`.
    primary_queue, any_queue : SavedQueue
        Requests that wait for the primary, and for any instance.
    instances : dict of str to InstanceState
    """

    group: Group
    primary: str
    generation: int
    settled: bool
    samples: list[Sample]
    expected: dict[str, float]
    long_penalty: float
    outage_expected: float
    outage_least: float
    outage_usual: float
    primary_queue: SavedQueue
    any_queue: SavedQueue
    instances: dict[str, InstanceState]


@dataclass(frozen=True, slots=True)
class ProofState:
    """Proof that the configuration in force is the newest one.

    Attributes
    ----------
    needed : bool
    until : float or None
        Boot clock; None if there is none.
    age : float or None
    """

    needed: bool
    until: float | None
    age: float | None


@dataclass(frozen=True, slots=True)
class DaemonState:
    """State of one daemon, or the part of it that one question needs.

    Attributes
    ----------
    vm, failure_domain : str
    version : int
        Version of the configuration in force; 0 before the first.
    now, boot_now : float
        When it was captured, by the loop's and by the boot clock.
    permission : float or None
        Seconds for which the primary may be used; None before the first permission.
    answer_by : float or None
        When the daemon must have answered all requests; None unless it shuts down.
    members : list of str
    routes : list of Route
    customers : list of Customer
    left_out : int
        Number of customers that ``customers`` lacks.
    with_key : list of str
        Customers that hold a key.
    proof : ProofState or None
        None where customers are not in force.
    tokens : dict of str to TokenPreview
        By customer; those without a limit are left out.
    groups : dict of str to GroupState
    """

    vm: str
    failure_domain: str
    version: int
    now: float
    boot_now: float
    permission: float | None
    answer_by: float | None
    members: list[str]
    routes: list[Route] = field(default_factory=list)
    customers: list[Customer] = field(default_factory=list)
    left_out: int = 0
    with_key: list[str] = field(default_factory=list)
    proof: ProofState | None = None
    tokens: dict[str, TokenPreview] = field(default_factory=dict)
    groups: dict[str, GroupState] = field(default_factory=dict)

    def lacks(self, customer):
        """Whether it cannot tell anything about a customer."""
        known = any(each.name == customer for each in self.customers)
        return self.left_out > 0 and not known

    def __post_init__(self):
        for route in self.routes:
            group = self.groups.get(route.group)
            if group is None or route.database not in group.expected:
                raise ValueError(f"no state of the group of {route.database}")


@dataclass(frozen=True, slots=True)
class Sources:
    """Parts of a daemon whose state decides; see `capture_state`.

    Attributes
    ----------
    vm : VmIdentity
    clusters : Clusters
    gate : AccessGate or None
    permission : Permission
    members : tuple of str
    """

    vm: object
    clusters: object
    gate: object
    permission: object
    members: tuple


def capture_state(sources, now, boot_now, question=None):
    """Return the DaemonState of a daemon, which does not change.

    Parameters
    ----------
    sources : Sources
    now, boot_now : float
        Times of the loop's clock and of the boot clock.
    question : PlacementQuery, optional
        Limits the state to what this question needs.
    """
    clusters, permission = sources.clusters, sources.permission
    valid_for = permission.until - boot_now
    state = {
        "vm": sources.vm.name,
        "failure_domain": sources.vm.failure_domain,
        "version": 0,
        "now": now,
        "boot_now": boot_now,
        "permission": valid_for if math.isfinite(valid_for) else None,
        "answer_by": clusters.answer_by if math.isfinite(clusters.answer_by) else None,
        "members": list(sources.members),
    }
    deployment = clusters.deployment
    if deployment is None:
        return DaemonState(**state)
    routes = list(deployment.routes.values())
    if question is not None:
        routes = [route for route in routes if route.database == question.database]
    state |= {
        "version": deployment.version,
        "routes": routes,
        "groups": {
            name: _capture_group(
                clusters.get(name),
                [route for route in routes if route.group == name],
                now,
                boot_now,
            )
            for name in {route.group: None for route in routes}
        },
    }
    if sources.gate is not None:
        customers = _choose_customers(deployment, question)
        quota = clusters.quota_gate
        names = [customer.name for customer in customers]
        state |= {
            "customers": customers,
            "left_out": len(deployment.customers) - len(customers),
            "with_key": sorted({*names} & {*deployment.customer_by_digest.values()}),
            "proof": _capture_proof(sources.gate),
            "tokens": {} if quota is None else quota.preview(names),
        }
    return DaemonState(**state)


def _choose_customers(deployment, question):
    if question is not None:
        customer = deployment.customers.get(question.customer)
        return [] if customer is None else [customer]

    def order(customer):
        rate = math.inf if customer.rate is None else customer.rate
        return -rate, customer.name

    return sorted(deployment.customers.values(), key=order)[:CUSTOMER_LIMIT]


def _capture_proof(gate):
    until = gate.proof_until()
    return ProofState(
        needed=until != math.inf,
        until=until if math.isfinite(until) else None,
        age=gate.proof_age(),
    )


def _capture_group(cluster, routes, now, boot_now):
    leadership, costs, outage = cluster.leadership, cluster.costs, cluster.outage
    work = cluster.pacing.load.save(now)
    oldest = boot_now - max((route.max_age or 0.0 for route in routes), default=0.0)
    return GroupState(
        group=cluster.group,
        primary=leadership.primary,
        generation=leadership.generation,
        settled=leadership.settled,
        samples=_capture_samples(cluster, oldest),
        expected={route.database: costs.expected(route.database) for route in routes},
        long_penalty=costs.long_replica_penalty(now),
        outage_expected=outage.expected_remaining(now),
        outage_least=outage.least_remaining(now),
        outage_usual=outage.usual_duration,
        primary_queue=cluster.primary_dispatcher.queue.save(now),
        any_queue=cluster.any_dispatcher.queue.save(now),
        instances={
            name: _capture_instance(
                runtime,
                cluster.view.instances[name],
                cluster.view.answers.get(name),
                cluster.pacing.outcomes.penalty(name),
                work.get(name, 0.0),
                now,
            )
            for name, runtime in cluster.instances.items()
        },
    )


def _capture_samples(cluster, oldest):
    """Return the samples that may be floors, or tell when an answer's lag began."""
    newest = cluster.floors.newest_sample
    lowest = None
    if newest is not None:
        lowest = min(
            (
                Position(each.position.term, each.position.sequence + 1)
                for each in cluster.view.answers.values()
                if each.position.term == newest.floor.term
            ),
            default=None,
        )
    return cluster.floors.samples_since(oldest, lowest)


def _capture_instance(runtime, view, answer, penalty, work, now):
    pool, pace = runtime.pool, runtime.pace
    return InstanceState(
        failure_domain=runtime.spec.failure_domain,
        usable=runtime.usable,
        leaving=runtime.leaving,
        failed=runtime.failed,
        silent=runtime.silence.unanswered(now),
        detour=runtime.uses_detour,
        borrows=runtime.borrows,
        in_flight=runtime.in_flight,
        long_in_flight=runtime.long_in_flight,
        transactions=runtime.transactions,
        limit=runtime.limit,
        transaction_limit=runtime.transaction_limit,
        connections=pool.size,
        share=pool.limit,
        has_room=pool.has_room,
        idle=dict(pool.idle_customers),
        view=view,
        pace_rate=pace.rate if pace.paced else None,
        pace_delay=pace.preview_delay(now),
        pace_refused=pace.refused,
        penalty=penalty,
        work=work,
        answer=answer,
    )
