"""
Tests of statements
===================

Which answer of several attempts a read returns.
"""

import asyncio
import unittest
from types import SimpleNamespace

from cardamomdrift.deployment import RouteKind
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.ports import Refusal, Reply
from cardamomdrift.position import Position
from cardamomdrift.routing.attempt import TryElsewhere
from cardamomdrift.routing.cluster import ClusterCounts
from cardamomdrift.routing.statements import StatementRunner

FAILED = Reply([], "", code="EXECFAIL", refusal=Refusal.FAILED)
SERVED = Reply(["a"], "sig")


class ScriptedRunner(StatementRunner):
    """Runs attempts that end after a time with a reply, or fail with it.

    Parameters
    ----------
    cluster : SimpleNamespace
    script : list of (str, float, Reply)
        Instance of each attempt, seconds until it ends, and the reply.
    """

    def __init__(self, cluster, script):
        super().__init__(cluster)
        self._script = script
        self.started = []

    async def _attempt_read(self, request, floor, excluded, attempt):
        name, duration, reply = self._script[len(self.started)]
        self.started.append(name)
        attempt.name = name
        attempt.sent = request.trace.sent = True
        await asyncio.sleep(duration)
        if reply.refusal is not None:
            raise TryElsewhere(name, reply.code, reply)
        return reply


def make_cluster():
    """Return the state of a Cluster on which reads rely."""
    runtime = SimpleNamespace(usable=True, in_flight=0, limit=2)
    return SimpleNamespace(
        budget=RetryBudget(),
        clock=asyncio.get_running_loop().time,
        costs=SimpleNamespace(expected=lambda _database: 0.01),
        counts=ClusterCounts(),
        find_floor=lambda *_: Position(1, 1),
        instances={name: runtime for name in ("a", "b", "c")},
        log=SimpleNamespace(debug=lambda *_args, **_fields: None),
    )


def make_request():
    """Return a read of a route that any instance may serve."""
    route = SimpleNamespace(
        kind=RouteKind.READ_YOUR_WRITES, max_age=1.0, target_latency=0.2, database="d"
    )
    return SimpleNamespace(
        route=route,
        arrived_boot=0.0,
        last_write=None,
        deadline_at=asyncio.get_running_loop().time() + 1.0,
        trace=SimpleNamespace(events=[], sent=False, floor=None),
    )


class HedgedReadTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_failure_does_not_end_a_read_whose_hedge_still_runs(self):
        """Load pattern: an instance that fails part of its reads, slowly."""
        script = [("a", 0.08, FAILED), ("b", 0.1, SERVED), ("c", 0.5, SERVED)]
        runner = ScriptedRunner(make_cluster(), script)
        self.assertIs(await runner.read(make_request()), SERVED)
        self.assertEqual(runner.started[:2], ["a", "b"])

    async def test_a_failure_while_another_attempt_runs_spends_no_retry(self):
        cluster = make_cluster()
        cluster.budget.tokens = 1.0  # for the hedge
        runner = ScriptedRunner(cluster, [("a", 0.2, SERVED), ("b", 0.01, FAILED)])
        self.assertIs(await runner.read(make_request()), SERVED)

    async def test_a_read_is_repeated_after_all_attempts_failed(self):
        runner = ScriptedRunner(
            make_cluster(),
            [("a", 0.1, FAILED), ("b", 0.02, FAILED), ("c", 0.01, SERVED)],
        )
        self.assertIs(await runner.read(make_request()), SERVED)
        self.assertEqual(runner.started, ["a", "b", "c"])


if __name__ == "__main__":
    unittest.main()
