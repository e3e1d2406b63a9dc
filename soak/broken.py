"""
Broken daemons
==============

Starts a daemon with one deliberate defect, to show that the soak test detects it.
"""

import math
import sys
from unittest import mock

from cardamomdrift.customers.access import Granted
from cardamomdrift.limits.credit import CustomerCredit
from cardamomdrift.platform.line_protocol import render_command
from cardamomdrift.position import ORIGIN
from cardamomdrift.sessions.operations import Operations

_add_credit = CustomerCredit.add
_guard_for = Operations.guard_for


def _take_any_idle(self, prefer=None, customer=""):
    connection = self._idle.take(self._idle.richest_customer(), prefer)
    if connection is not None:
        self._in_use[connection] = customer
    return connection


def _hand_over_to_any(self, connection, _customer):
    waiter = self._waiters.first()
    if waiter is None:
        return False
    self._in_use[connection] = waiter.customer
    self._waiters.grant(waiter, connection)
    return True


def _guard_checked_once(self, route, in_transaction):
    guard = _guard_for(self, route, in_transaction)
    first = vars(self).setdefault("first_guard", guard)
    if guard is not first:
        guard.check_access = lambda: None
    return guard


BREAKS = {
    # Replicas serve reads however far they lag.
    "no-floor": (
        "cardamomdrift.routing.cluster.Cluster.find_floor",
        lambda self, since, at_least: ORIGIN,
    ),
    # A daemon uses a primary that another daemon may have replaced.
    "no-permission": (
        "cardamomdrift.failover.permission.Permission.holds",
        lambda self, now: True,
    ),
    # A write whose outcome is unknown is sent again.
    "repeat-writes": (
        "cardamomdrift.routing.statements.OutcomeUnknown",
        lambda reason: __import__(
            "cardamomdrift.routing.attempt", fromlist=["TryElsewhere"]
        ).TryElsewhere("", reason),
    ),
    # Every error says that the statement did not run, also if that is unknown.
    "false-refusals": (
        "cardamomdrift.platform.line_protocol._ERROR_CODES",
        ((Exception, "BUSY"),),
    ),
    # A daemon that stops closes all sessions, also those that wait for an answer.
    "cut-at-stop": (
        "cardamomdrift.platform.callers.CallerServer.close_idle",
        lambda self: [session.task.cancel() for session in list(self._sessions)],
    ),
    # A replacement does not wait until the others have released the old primary.
    "hasty": (
        "cardamomdrift.failover.execution.is_released",
        lambda intent, others, quorum_at, now: True,
    ),
    # Statements lose the blanks at their end on the way to an instance.
    "strip-blanks": (
        "cardamomdrift.platform.connection.render_command",
        lambda command: render_command(command).rstrip(" "),
    ),
    # The key of an open session is not checked again.
    "key-at-start-only": (
        "cardamomdrift.customers.gate.decide_access",
        lambda deployment, identity, *state: Granted(identity),
    ),
    # Only the first operation of a session checks its key.
    "key-once-per-session": (
        "cardamomdrift.sessions.operations.Operations.guard_for",
        _guard_checked_once,
    ),
    # Keys are served however long ago the configuration was the newest.
    "proof-without-end": (
        "cardamomdrift.customers.proof.FreshnessProof.until",
        lambda self, own_version: math.inf,
    ),
    # Operations take tokens that no home has granted.
    "spend-without-asking": (
        "cardamomdrift.limits.credit.CustomerCredit.take",
        lambda self, now: math.inf,
    ),
    # A daemon uses granted credit after its end.
    "credit-without-end": (
        "cardamomdrift.limits.credit.CustomerCredit.add",
        lambda self, tokens, end: _add_credit(self, tokens, math.inf),
    ),
    # A released connection is given to the first waiter, also of another customer.
    "handed-to-any": (
        "cardamomdrift.upstreams.pool.InstancePool._hand_over",
        _hand_over_to_any,
    ),
    # A request takes an idle connection of any customer.
    "any-connection": (
        "cardamomdrift.upstreams.pool.InstancePool.take_idle",
        _take_any_idle,
    ),
}


def main():
    """Run a daemon with the defect that the first argument names."""
    from cardamomdrift.platform.main import main as run

    target, value = BREAKS[sys.argv[1]]
    with mock.patch(target, value):
        return run()


if __name__ == "__main__":
    sys.exit(main())
