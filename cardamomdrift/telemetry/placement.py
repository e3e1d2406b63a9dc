"""
PlacementAnswer of a request
======================

Tells where a daemon would send a request in a given state, and why.  It calls the
functions that serve requests, on a copy of the state, so nothing is sent or changed.
"""

import math

from cardamomdrift.customers.access import decide_access, identify
from cardamomdrift.customers.gate import find_access_error
from cardamomdrift.customers.identity import NO_CUSTOMER, Identity
from cardamomdrift.customers.quota_preview import (
    REFUSED,
    REQUESTED,
    WAITS,
    quota_error,
)
from cardamomdrift.customers.quota_queue import SERVICE_TIME
from cardamomdrift.deployment import Deployment
from cardamomdrift.errors import Overloaded, ShuttingDown, UnknownDatabase
from cardamomdrift.position import Position
from cardamomdrift.routing.attempt import find_read_floor, make_statement_ticket
from cardamomdrift.routing.choice import NoneAvailable, choose_instance, time_parts
from cardamomdrift.routing.dispatch import ForRead, ForWrite, need_of_read
from cardamomdrift.routing.request import (
    StatementRequest,
    can_answer,
    find_deadline,
)
from cardamomdrift.sessions.handler import RETRY_AFTER, SHUTDOWN_REASON
from cardamomdrift.telemetry.placement_answer import (
    GOES,
    IS_REFUSED,
    WAITS_IN_QUEUE,
    CustomerAnswer,
    FloorAnswer,
    InstanceAnswer,
    PlacementAnswer,
    PlacementDecision,
    PrimaryAnswer,
    RequestAnswer,
)
from cardamomdrift.telemetry.saved_group import SavedGroup

NO_ROOM = "no room"


def find_placement(state, question):
    """Return the PlacementAnswer of a request in a state.

    Parameters
    ----------
    state : DaemonState
    question : PlacementQuery
    """
    route = next(
        (each for each in state.routes if each.database == question.database), None
    )
    if not state.version:
        error = Overloaded("no configuration is known yet")
        return PlacementAnswer(state.vm, state.version, _refuse(error))
    if route is None:
        error = UnknownDatabase(f"no route for database {question.database}")
        return PlacementAnswer(state.vm, state.version, _refuse(error))
    return _Search(state, question, route).find()


def _digest_of(customer):
    return customer.encode("utf-8", "surrogateescape")


def _refuse(error):
    return PlacementDecision(
        IS_REFUSED,
        error=type(error).__name__,
        reason=error.reason,
        retry_after=error.retry_after,
    )


def _explain_unusable(state):
    if state.leaving:
        return "leaves its group"
    if state.failed:
        return "failed a request; no ping has succeeded since"
    return f"silent for {state.silent:.2f} s"


def _explain_pace(state):
    return f"its pace admits the next one in {state.pace_delay:.2f} s"


class _Search:
    """Search for the placement of one request.

    Parameters
    ----------
    state : DaemonState
    question : PlacementQuery
    route : Route
    """

    def __init__(self, state, question, route):
        self._state = state
        self._question = question
        self._route = route
        self._saved = state.groups[route.group]
        self._group = SavedGroup(state, route.group)
        self._deployment = Deployment(
            version=state.version,
            routes={route.database: route},
            groups={},
            transaction_idle_timeout=0.0,
            customers={customer.name: customer for customer in state.customers},
            # In place of the digests of keys, which the state does not hold.
            customer_by_digest={_digest_of(name): name for name in state.with_key},
        )
        self._identity = self._find_identity()
        self._answer_by = math.inf if state.answer_by is None else state.answer_by
        self._request = self._make_request()
        self._ticket = make_statement_ticket(self._group.costs, self._request)

    def _find_identity(self):
        if self._state.proof is None:
            return NO_CUSTOMER
        name = self._question.customer
        shown = Identity(name, _digest_of(name))
        return identify(self._deployment, shown, self._route)

    def _make_request(self):
        state, question, route = self._state, self._question, self._route
        last_write = None if question.position is None else Position(*question.position)
        customer = self._identity.customer
        return StatementRequest(
            request_id="",
            command=None,
            prepared=None,
            values={},
            route=route,
            caller=customer,
            customer=self._deployment.customers.get(customer),
            arrived_at=state.now,
            deadline_at=find_deadline(route, state.now, self._answer_by),
            arrived_boot=state.boot_now,
            last_write=last_write,
            payload_bytes=question.payload_bytes,
            identity=self._identity,
        )

    def find(self):
        """Return the PlacementAnswer."""
        state, route = self._state, self._route
        floor, need = None, ForWrite()
        if not self._question.writes:
            floor = self._describe_floor(find_read_floor(self._group, self._request))
            need = need_of_read(floor.position)
        return PlacementAnswer(
            state.vm,
            state.version,
            self._decide(need),
            RequestAnswer(
                route.database,
                "write" if self._question.writes else "read",
                route.group,
                route.kind.value,
                route.priority,
                route.timeout,
                route.target_latency,
                route.max_age,
                route.public,
            ),
            self._describe_customer(),
            floor,
            self._describe_primary(),
            self._describe_instances(need),
        )

    # Decision

    def _decide(self, need):
        error = self._find_access_error()
        token = self._state.tokens.get(self._identity.customer)
        if error is None and token is not None and token.outcome == REFUSED:
            error = quota_error(token.reason, token.retry_after)
        if error is None:
            costs = self._group.costs
            if not can_answer(self._request, costs, self._answer_by):
                error = ShuttingDown(SHUTDOWN_REASON, RETRY_AFTER)
        if error is not None:
            return _refuse(error)
        is_late = self._is_late(token)
        if is_late and token.late == REFUSED:
            return _refuse(quota_error("no_home", token.retry_after))
        if token is not None and token.outcome == WAITS and not is_late:
            reason = "the customer's home does not grant yet"
            return PlacementDecision(WAITS_IN_QUEUE, wait=token.wait, reason=reason)
        decision = self._group.dispatcher_of(need).decide(need, self._ticket)
        if decision.error is not None:
            return _refuse(decision.error)
        if decision.placement is None:
            return self._describe_wait(need, decision.judgement)
        name = decision.placement.name
        verified = not isinstance(need, ForRead) or (
            name == self._group.view.primary
            or self._group.view.instances[name].position >= need.floor
        )
        condition = ""
        if token is not None and token.outcome == REQUESTED:
            condition = f"{token.home} grants a token"
        return PlacementDecision(GOES, name, verified, condition)

    def _is_late(self, token):
        """Whether the deadline is too early to wait for the home's first grant."""
        if token is None or not token.late:
            return False
        left = self._request.deadline_at - self._state.now
        return token.wait >= left - SERVICE_TIME

    def _find_access_error(self):
        proof = self._state.proof
        if proof is None:
            return None
        until = math.inf
        if proof.needed:
            until = -math.inf if proof.until is None else proof.until
        return find_access_error(
            decide_access(
                self._deployment,
                self._identity,
                self._route,
                until,
                self._state.boot_now,
            )
        )

    def _describe_wait(self, need, judgement):
        wait = judgement.wait
        reason = "no instance that may serve it has room"
        if not isinstance(need, ForRead) and not self._is_primary_usable():
            reason = "the primary cannot be used"
            wait = max(wait, self._saved.outage_expected)
        elif judgement.ahead:
            reason = "requests that came before wait"
        elif delay := self._find_pace_delay(need):
            reason = "the pace of instances that have returned"
            wait = max(wait, delay)
        return PlacementDecision(
            WAITS_IN_QUEUE, wait=wait, place=judgement.ahead + 1, reason=reason
        )

    def _find_pace_delay(self, need):
        """Return the seconds until a pace admits the request, 0 if none delays it."""
        dispatcher = self._group.dispatcher_of(need)
        if isinstance(need, ForRead):
            found = dispatcher.candidates(
                need.floor, need.excluded, self._ticket, ignore_pace=True
            )
            names = [each.name for each in found if self._has_room(each, need)]
        else:
            placement = dispatcher.find_primary(ignore_pace=True)
            names = [] if placement is None else [placement.name]
        return min(
            (self._saved.instances[name].pace_delay for name in names), default=0.0
        )

    def _has_room(self, candidate, need):
        alone = choose_instance([candidate], need.floor, self._ticket.long)
        return not isinstance(alone, NoneAvailable)

    def _is_primary_usable(self):
        name = self._group.view.primary
        return name is not None and self._group.instances[name].usable

    # Description

    def _describe_customer(self):
        proof = self._state.proof
        customer = self._deployment.customers.get(self._identity.customer)
        if proof is None or customer is None:
            return None
        return CustomerAnswer(
            customer,
            proof.age,
            None if proof.until is None else proof.until - self._state.boot_now,
            proof.needed,
            self._state.tokens.get(customer.name),
        )

    def _describe_floor(self, floor):
        route, request = self._route, self._request
        if route.max_age is None:
            return FloorAnswer(None, "reads of this route run on the primary")
        if not request.extensible:
            return FloorAnswer(None, "the statement has no room for a position")
        if floor is None:
            return FloorAnswer(None, "no sample is recent enough; only the primary")
        sample = self._group.find_sample(request.arrived_boot - route.max_age)
        if floor != sample.floor:
            return FloorAnswer(floor, "position of the session")
        age = request.arrived_boot - sample.begun_at
        return FloorAnswer(floor, "sample of the primary", age)

    def _describe_primary(self):
        saved = self._saved
        return PrimaryAnswer(
            saved.primary,
            self._is_primary_usable(),
            saved.generation,
            saved.settled,
            self._state.permission,
            saved.outage_expected,
        )

    def _describe_instances(self, need):
        describe = self._describe_for_primary
        if isinstance(need, ForRead):
            describe = self._describe_for_read
        return [
            describe(name, state, need)
            for name, state in sorted(self._saved.instances.items())
        ]

    def _describe_for_primary(self, name, state, need):
        dispatcher = self._group.dispatcher_of(need)
        obstacle = ""
        if name != self._saved.primary:
            obstacle = "not the primary"
        elif not state.usable:
            obstacle = _explain_unusable(state)
        elif name != self._group.view.primary:
            obstacle = "primary, but may not be used"
        elif dispatcher.find_primary(ignore_pace=True) is None:
            obstacle = NO_ROOM
        elif dispatcher.find_primary(ignore_pace=False) is None:
            obstacle = _explain_pace(state)
        return self._describe_instance(name, state, obstacle)

    def _describe_for_read(self, name, state, need):
        candidate = self._find_candidate(name, need, ignore_pace=True)
        if candidate is None:
            return self._describe_instance(name, state, _explain_unusable(state), need)
        obstacle = ""
        if not self._has_room(candidate, need):
            obstacle = NO_ROOM
        elif self._find_candidate(name, need, ignore_pace=False) is None:
            obstacle = _explain_pace(state)
        return self._describe_instance(name, state, obstacle, need, candidate)

    def _find_candidate(self, name, need, ignore_pace):
        dispatcher = self._group.dispatcher_of(need)
        found = dispatcher.candidates(
            need.floor, need.excluded, self._ticket, ignore_pace
        )
        return next((each for each in found if each.name == name), None)

    def _describe_instance(self, name, state, obstacle, need=None, candidate=None):
        position, missing, parts = state.view.position, None, {}
        if candidate is not None:
            # The choice may expect another position than the last known one.
            position = candidate.position
            parts = time_parts(candidate, need.floor)._asdict()
        if need is not None and position.term == need.floor.term:
            missing = max(need.floor.sequence - position.sequence, 0)
        return InstanceAnswer(
            name=name,
            obstacle=obstacle,
            position=position,
            missing=missing,
            in_flight=state.in_flight,
            limit=state.limit,
            connection=self._find_connection(state),
            pace_rate=state.pace_rate,
            pace_delay=state.pace_delay,
            avoided=state.penalty > 0,
            expected=sum(parts.values()) if parts else None,
            parts=parts,
        )

    def _find_connection(self, state):
        if state.detour:
            return "detour"
        if state.idle.get(self._identity.customer):
            return "own idle"
        if state.has_room:
            return "to be opened"
        return "borrowed" if state.borrows else "awaited"
