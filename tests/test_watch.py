"""
Tests of the status collector
=============================

One status answers every question that waits for it.
"""

import asyncio
import unittest

from cardamomdrift.mysql.contract import FencedInstanceStatus
from cardamomdrift.position import ORIGIN, Position
from cardamomdrift.routing.samples import FloorRule
from cardamomdrift.routing.status_collector import StatusCollector
from cardamomdrift.routing.view import make_view
from tests.values import bundle


def status(sequence):
    return FencedInstanceStatus(1, "o", Position(1, sequence), False, "a", 0.0)


class StatusCollectorTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        spec = bundle().groups["g"]
        self.probe_requests = []
        self.status_collector = StatusCollector(
            spec, make_view(spec), self.probe_requests.append
        )

    def answer(self, begun_at, sequence):
        """Add statuses of a majority from probes that began at ``begun_at``."""
        for name in ("a", "b"):
            self.status_collector.add_status(
                name, status(sequence), begun_at, begun_at + 0.01
            )

    def ask(self, since, now):
        """Return a task that gets the floor of a sample begun at ``since`` or later."""
        deadline_at = asyncio.get_running_loop().time() + 60
        rule = FloorRule(since, ORIGIN)
        return asyncio.ensure_future(
            self.status_collector.floor(rule, now, False, deadline_at)
        )

    async def test_statuses_of_probes_begun_before_the_question_do_not_count(self):
        floor_task = self.ask(10.0, 10.0)
        await asyncio.sleep(0)
        self.answer(9.9, 5)
        await asyncio.sleep(0)
        self.assertFalse(floor_task.done())
        self.answer(10.1, 6)
        self.assertEqual(await floor_task, Position(1, 6))

    async def test_one_probe_of_each_instance_answers_all_questions(self):
        floor_tasks = [self.ask(10.0 + i / 100, 10.0 + i / 100) for i in range(20)]
        await asyncio.sleep(0)
        self.answer(11.0, 6)
        floors = await asyncio.gather(*floor_tasks)
        self.assertEqual(set(floors), {Position(1, 6)})
        self.assertEqual(self.status_collector.open_questions, 0)

    async def test_reads_with_a_maximum_age_refresh_samples_without_waiting(self):
        first_task = self.ask(8.0, 10.0)
        await asyncio.sleep(0)
        self.answer(10.1, 1)
        await first_task
        self.probe_requests.clear()
        self.assertEqual(await self.ask(8.1, 10.1), Position(1, 1))
        self.assertEqual(self.probe_requests, [])
        self.assertEqual(await self.ask(8.5, 10.5), Position(1, 1))
        self.assertEqual(self.probe_requests, ["a", "b", "c"])
        self.assertEqual(await self.ask(8.6, 10.6), Position(1, 1))
        self.assertEqual(self.status_collector.open_questions, 1)
        self.answer(10.7, 2)
        self.assertEqual(self.status_collector.open_questions, 0)
        self.assertEqual(await self.ask(10.4, 12.4), Position(1, 2))

    async def test_a_question_without_an_answer_times_out(self):
        rule = FloorRule(10.0, ORIGIN)
        with self.assertRaises(TimeoutError):
            await self.status_collector.floor(
                rule, 10.0, False, asyncio.get_running_loop().time()
            )
        self.assertEqual(self.status_collector.open_questions, 0)


if __name__ == "__main__":
    unittest.main()
