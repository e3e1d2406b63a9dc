"""
Tests of statements
===================

Which answer of several attempts a read returns.
"""

import asyncio
import math
import unittest
from types import SimpleNamespace

from cardamomdrift.deployment import RouteKind
from cardamomdrift.errors import DeadlinePassed, Overloaded
from cardamomdrift.limits.budget import RetryBudget
from cardamomdrift.limits.pace import PaceController
from cardamomdrift.limits.room import NO_ROOM_TIME, RoomTracker
from cardamomdrift.ports import Refusal, Reply
from cardamomdrift.position import Position
from cardamomdrift.routing.attempt import TryElsewhere, retry_pause
from cardamomdrift.routing.cluster import ClusterCounts
from cardamomdrift.routing.statements import StatementRunner

FAILED = Reply([], "", code="EXECFAIL", refusal=Refusal.FAILED)
BUSY = Reply([], "", code="BUSY", refusal=Refusal.BUSY)
BEHIND = Reply([], "", code="LAGGING", refusal=Refusal.BEHIND)
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
        self.excluded = []

    async def _attempt_read(self, request, floor, excluded, attempt):
        name, duration, reply = self._script[len(self.started)]
        self.started.append(name)
        self.excluded.append(excluded)
        attempt.name = name
        attempt.sent = request.trace.sent = True
        await asyncio.sleep(duration)
        if reply.refusal is not None:
            raise TryElsewhere(name, reply.code, reply)
        return reply


def make_cluster():
    """Return the state of a Cluster on which reads rely."""
    return SimpleNamespace(
        budget=RetryBudget(),
        clock=asyncio.get_running_loop().time,
        costs=SimpleNamespace(expected=lambda _database: 0.01),
        counts=ClusterCounts(),
        find_floor=lambda *_: Position(1, 1),
        instances={
            name: SimpleNamespace(
                usable=True,
                in_flight=0,
                limit=2,
                pace=PaceController(lambda: 1.0),
            )
            for name in "abc"
        },
        log=SimpleNamespace(debug=lambda *_args, **_fields: None),
        pacing=SimpleNamespace(room=RoomTracker()),
        leadership=SimpleNamespace(primary="c"),
        view=SimpleNamespace(primary="c", known_catch_up_time=lambda *_: 0.0),
    )


def make_request():
    """Return a read of a route that any instance may serve."""
    route = SimpleNamespace(
        kind=RouteKind.READ_YOUR_WRITES, max_age=1.0, target_latency=0.2, database="d"
    )
    return SimpleNamespace(
        route=route,
        caller="caller",
        arrived_boot=0.0,
        last_write=None,
        sample_since=-math.inf,
        extensible=True,
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


class LaggingReplicasTest(unittest.IsolatedAsyncioTestCase):
    """Load pattern: replicas lag or follow a new primary, so all reads go to that."""

    SCRIPT = (("a", 0.0, BEHIND), ("b", 0.0, BEHIND), ("c", 0.01, SERVED))

    def make_cluster(self, retries):
        cluster = make_cluster()
        cluster.budget = RetryBudget(limit=1000.0, tokens=retries)
        return cluster

    async def read(self, cluster, script):
        runner = ScriptedRunner(cluster, script)
        try:
            return runner, await runner.read(make_request())
        except Overloaded as error:
            return runner, error

    async def test_the_primary_serves_what_the_replicas_refuse(self):
        """The primary had room, but the daemon had no tokens for the retry."""
        cluster = self.make_cluster(0.0)
        runner, reply = await self.read(cluster, (self.SCRIPT[0], self.SCRIPT[2]))
        self.assertIs(reply, SERVED)
        self.assertEqual(runner.excluded, [frozenset(), frozenset("ab")])
        self.assertEqual(cluster.counts.primary_retries, 1)
        self.assertEqual(cluster.budget.tokens, 0.1)

    async def test_a_read_does_not_wait_for_a_full_primary_only(self):
        """It passed its deadline although another replica could serve it at once."""
        cluster = self.make_cluster(0.0)
        cluster.instances["c"].in_flight = cluster.instances["c"].limit
        script = (self.SCRIPT[0], ("b", 0.0, SERVED))
        runner, reply = await self.read(cluster, script)
        self.assertIs(reply, SERVED)
        self.assertEqual(runner.excluded, [frozenset(), frozenset("a")])

    async def test_the_budget_limits_the_reads_that_go_on_to_the_primary(self):
        """Load pattern: the primary has no room, or cannot be used."""
        for state in "refused", "late", "unknown", "unusable":
            with self.subTest(state):
                cluster = self.make_cluster(0.0)
                room, now = cluster.pacing.room, cluster.clock()
                match state:
                    case "refused":
                        room.record_refusal("c", now)
                    case "late":
                        room.record_answer("c", 0.3, 0.01, now)
                    case "unknown":
                        cluster.view.primary = None
                    case "unusable":
                        cluster.instances["c"].usable = False
                runner, error = await self.read(cluster, self.SCRIPT)
                self.assertIsInstance(error, Overloaded)
                self.assertEqual(runner.started, ["a"])

    async def test_a_read_has_one_retry_without_a_token(self):
        """Without a limit, rounds of such retries flood the primary."""
        scripts = {
            "refused at the primary": (self.SCRIPT[0], ("c", 0.0, BUSY)),
            "behind there, too": (self.SCRIPT[0], ("c", 0.0, BEHIND)),
        }
        for name, script in scripts.items():
            with self.subTest(name):
                runner, error = await self.read(self.make_cluster(0.0), script)
                self.assertIsInstance(error, Overloaded)
                self.assertEqual(runner.started, ["a", "c"])

    async def test_room_at_another_instance_does_not_matter(self):
        cluster = self.make_cluster(0.0)
        cluster.pacing.room.record_refusal("b", cluster.clock())
        cluster.pacing.room.record_refusal("c", cluster.clock() - NO_ROOM_TIME)
        _, reply = await self.read(cluster, (self.SCRIPT[0], self.SCRIPT[2]))
        self.assertIs(reply, SERVED)

    async def test_a_served_retry_returns_a_part_of_its_token(self):
        cluster = self.make_cluster(1.0)
        cluster.pacing.room.record_refusal("c", cluster.clock())
        _, reply = await self.read(cluster, (("a", 0.0, BUSY), self.SCRIPT[2]))
        self.assertIs(reply, SERVED)
        self.assertAlmostEqual(cluster.budget.tokens, 1.1 - 1 + 0.8)

    async def test_instances_are_not_asked_all_the_time(self):
        script = [(name, 0.0, BEHIND) for name in "abc"] * 100
        runner = ScriptedRunner(self.make_cluster(1000.0), script)
        with self.assertRaises(DeadlinePassed):
            await runner.read(make_request())
        self.assertLessEqual(len(runner.started), 36)

    def test_the_pause_grows_up_to_a_limit(self):
        pauses = [retry_pause(rounds) for rounds in range(6)]
        self.assertEqual(pauses, [0.02, 0.04, 0.08, 0.16, 0.16, 0.16])


if __name__ == "__main__":
    unittest.main()
