"""
Text of a placement
===================

Formats the answer of ``cardamomdrift where`` for operators.
"""

from cardamomdrift.customers.quota_preview import (
    GRANTED_HERE,
    HELD,
    REFUSED,
    REQUESTED,
    WAITS,
    WITHOUT_HOME,
)
from cardamomdrift.telemetry.placement_answer import GOES, WAITS_IN_QUEUE
from cardamomdrift.util import MILLISECONDS

TOKEN_MEANINGS = {
    HELD: "one held here is used",
    GRANTED_HERE: "granted here, since this daemon is the home",
    REQUESTED: "must be requested from the home",
    WAITS: "the home does not grant yet",
    WITHOUT_HOME: "the home does not answer; one of the operations without a home",
    REFUSED: "refused",
}


def _ms(seconds):
    return "?" if seconds is None else f"{seconds * MILLISECONDS:.0f} ms"


def format_placement(placement):
    """Return a PlacementAnswer as text.

    Parameters
    ----------
    placement : PlacementAnswer
    """
    out = [("daemon", f"{placement.vm}, configuration {placement.version}")]
    if placement.request is not None:
        out.append(("request", _format_request(placement.request)))
    out.extend(_format_customer(placement.customer))
    if placement.floor is not None:
        out.append(("floor", _format_floor(placement.floor)))
    if placement.primary is not None:
        out.append(("primary", _format_primary(placement.primary)))
    for instance in placement.instances or ():
        out.extend(_format_instance(instance))
    out.append(("decision", format_decision(placement.decision)))
    return "\n".join(f"{label:<9} {text}" for label, text in out)


def _format_request(request):
    text = (
        f"{request.command} of {request.database}: {request.kind}, group"
        f" {request.group}, priority {request.priority}, time-out"
        f" {_ms(request.timeout)}, target {_ms(request.target_latency)}"
    )
    if request.max_age is not None:
        text += f", at most {_ms(request.max_age)} old"
    return f"{text}, public" if request.public else text


def _format_customer(answer):
    if answer is None:
        return
    customer, token = answer.customer, answer.token
    limit = "no limit"
    if customer.rate is not None:
        limit = f"{customer.rate:g} operations/s, burst {customer.burst:g}"
    yield "customer", f"{customer.name}: {limit}"
    proof = f"{_ms(answer.proof_age)} old"
    if answer.proof_age is None:
        proof = "none"
    if not answer.proof_needed:
        proof += ", not needed"
    elif answer.proof_left is not None:
        proof += f", valid for {_ms(max(answer.proof_left, 0.0))}"
    yield "proof", proof
    if token is not None:
        yield (
            "token",
            f"{TOKEN_MEANINGS[token.outcome]}; {token.held} held, home"
            f" {token.home or '?'}, deputy {token.deputy or '-'}",
        )


def _format_floor(floor):
    if floor.position is None:
        return f"none: {floor.source}"
    age = "" if floor.age is None else f", {_ms(floor.age)} old"
    return f"{floor.position}: {floor.source}{age}"


def _format_primary(primary):
    text = f"{primary.name or '?'}, generation {primary.generation}"
    if not primary.settled:
        text += ", being replaced"
    text += ", usable" if primary.usable else ", not usable"
    if primary.permission is not None:
        text += f", permission for {_ms(max(primary.permission, 0.0))}"
    if primary.outage:
        text += f", expected back in {_ms(primary.outage)}"
    return text


def _format_instance(instance):
    behind = ""
    if instance.missing is not None:
        behind = f" ({instance.missing} below the floor)"
    pace = "not paced"
    if instance.pace_rate is not None:
        pace = f"pace {instance.pace_rate:.1f}/s"
    text = (
        f"{instance.name}: {instance.obstacle or 'usable'}; position"
        f" {instance.position}{behind}; {instance.in_flight} of {instance.limit} run;"
        f" connection {instance.connection}; {pace}"
    )
    if instance.avoided:
        text += "; avoided"
    yield "instance", text
    if instance.expected is not None:
        parts = " ".join(
            f"{name}={seconds * MILLISECONDS:.1f}"
            for name, seconds in instance.parts.items()
        )
        yield "", f"  expected {instance.expected * MILLISECONDS:.1f} ms: {parts}"


def format_decision(decision):
    """Return a PlacementDecision as text."""
    if decision.outcome == GOES:
        text = f"goes to {decision.instance}"
        if not decision.verified:
            text += ", which may refuse it as below the floor"
        return f"{text}, if {decision.condition}" if decision.condition else text
    if decision.outcome == WAITS_IN_QUEUE:
        place = f" at place {decision.place} of the queue" if decision.place else ""
        return f"waits{place}, expected {_ms(decision.wait)}: {decision.reason}"
    text = f"refused: {decision.error}: {decision.reason}"
    if decision.retry_after is not None:
        text += f", Retry-After {_ms(decision.retry_after)}"
    return text
