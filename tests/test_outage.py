"""
Tests of outages
================

How long requests wait for a primary that cannot be used.
"""

import asyncio
import random
import unittest
from types import SimpleNamespace

from cardamomdrift.errors import NoPrimary
from cardamomdrift.limits.admission import AdmissionQueue, Fifo, Ticket
from cardamomdrift.limits.outage import (
    INITIAL_DURATION,
    MIN_DURATION,
    OutageEstimator,
    spread_retry_after,
)
from cardamomdrift.routing.cost import CostEstimator
from cardamomdrift.routing.dispatch import Dispatcher, ForRead, ForWrite
from cardamomdrift.routing.identity import VmIdentity

STEP = 0.05  # seconds between two checks
TIMEOUT = 1.0  # seconds that each request may take
COST = 0.01  # seconds


def play_outage(estimator, duration, seed, begun_at=0.0):
    """Replay the requests of one outage.

    Returns
    -------
    tuple of (int, float, float)
        Requests refused although the primary came back in time, and the seconds for
        which the others were held and not served: now, and with the rule before, which
        held each to its deadline.
    """
    arrivals = random.Random(seed)
    estimator.update(True, begun_at - STEP)
    waiting = []
    wrongly_refused = 0
    held_time = held_time_before = 0.0
    step = 0
    while (elapsed := step * STEP) < duration:
        now = begun_at + elapsed
        estimator.update(False, now)
        waiting += [now] * arrivals.randrange(4)
        for arrived in list(waiting):
            remaining = (
                estimator.expected_remaining(now)
                if arrived == now
                else estimator.least_remaining(now)
            )
            deadline = arrived + TIMEOUT
            if now + remaining + COST <= deadline:
                continue
            waiting.remove(arrived)
            if begun_at + duration + COST <= deadline:
                wrongly_refused += 1
            else:
                held_time += now - arrived
                held_time_before += TIMEOUT
        step += 1
    estimator.update(True, begun_at + duration)
    return wrongly_refused, held_time, held_time_before


class EstimateTest(unittest.TestCase):
    def test_a_short_gap_is_waited_for(self):
        estimator = OutageEstimator()
        estimator.update(False, 10.0)
        now = 10.0 + MIN_DURATION - 0.1
        self.assertEqual(estimator.expected_remaining(now), 0.0)
        estimator.update(True, now)
        self.assertEqual(estimator.expected_remaining(11.0), 0.0)
        self.assertEqual(estimator.usual_duration, INITIAL_DURATION)

    def test_the_usual_duration_is_learned(self):
        self.assertAlmostEqual(self.experienced().usual_duration, 3.0, delta=0.2)

    @staticmethod
    def experienced():
        """Return an estimator that has seen many outages of 3 s."""
        estimator = OutageEstimator()
        for begun_at in range(0, 200, 10):
            play_outage(estimator, 3.0, 1, begun_at)
        return estimator

    def test_an_overdue_outage_is_expected_to_last_longer_and_longer(self):
        estimator = OutageEstimator()
        estimator.update(False, 0.0)
        self.assertLess(estimator.expected_remaining(2.0), TIMEOUT)
        self.assertGreater(estimator.expected_remaining(6.0), TIMEOUT)
        self.assertEqual(estimator.least_remaining(6.0), 0.0)

    def test_requests_that_a_replacement_serves_in_time_are_held(self):
        for duration in (0.5, 1.2, 2.0, 3.0, 4.0):
            for seed in range(20):
                wrongly_refused, *_ = play_outage(OutageEstimator(), duration, seed)
                self.assertEqual(wrongly_refused, 0, duration)

    def test_few_requests_wait_in_vain_in_a_long_partition(self):
        for seed in range(20):
            _, held_time, held_time_before = play_outage(OutageEstimator(), 20.0, seed)
            self.assertLess(held_time, 0.3 * held_time_before)

    def test_a_known_outage_refuses_at_once_what_cannot_be_served(self):
        """Outages of 2.7 to 3.3 s, after many of 3 s."""
        estimator = self.experienced()
        wrongly_refused = held_time = held_time_before = 0
        durations = random.Random(3)
        for seed in range(20):
            duration = 3.0 + durations.uniform(-0.3, 0.3)
            played = play_outage(estimator, duration, seed, 1000.0 + 10 * seed)
            wrongly_refused += played[0]
            held_time += played[1]
            held_time_before += played[2]
        self.assertEqual(wrongly_refused, 0)
        self.assertLess(held_time, 0.7 * held_time_before)


class RetryAfterTest(unittest.TestCase):
    def test_callers_come_back_after_the_outage_and_not_at_one_moment(self):
        times = [spread_retry_after(2.0, f"c{index}") for index in range(200)]
        self.assertTrue(all(2.0 <= time <= 3.0 for time in times))
        for begin in (2.0, 2.25, 2.5, 2.75):
            within = sum(begin <= time < begin + 0.25 for time in times)
            self.assertGreater(within, 25)


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    """A dispatcher of a group whose only primary cannot be used."""

    async def asyncSetUp(self):
        self.clock = asyncio.get_running_loop().time
        self.outage = OutageEstimator()
        self.dispatcher = Dispatcher(
            SimpleNamespace(name="g"),
            {},
            SimpleNamespace(primary=None, term=0, instances={}),
            AdmissionQueue(10, Fifo()),
            CostEstimator(),
            VmIdentity("vm-1", "z"),
            lambda: ("vm-1",),
            self.clock,
            outage=self.outage,
        )
        await self.enterAsyncContext(self.dispatcher)

    def begin_outage(self, ago):
        """Let the primary be unusable since a number of seconds."""
        self.outage.update(False, self.clock() - ago)

    def wait(self, need):
        now = self.clock()
        return self.dispatcher.wait(need, Ticket("c", 0, now, now + TIMEOUT, COST))

    async def refused_after(self, waiting):
        """Return the seconds until the request is refused, and its retry delay."""
        started = self.clock()
        with self.assertRaises(NoPrimary) as raised:
            await waiting
        return self.clock() - started, raised.exception.retry_after

    async def test_what_cannot_be_served_in_time_is_refused_at_once(self):
        self.begin_outage(12.0)
        elapsed, retry_after = await self.refused_after(self.wait(ForWrite()))
        self.assertLess(elapsed, 0.05)
        self.assertAlmostEqual(retry_after, spread_retry_after(3.0, "c"), delta=0.2)

    async def test_a_waiting_request_is_refused_when_that_becomes_known(self):
        for begun_at in range(-1000, -100, 10):
            play_outage(self.outage, 5.0, 1, self.clock() + begun_at)
        self.begin_outage(MIN_DURATION - 0.1)
        elapsed, _ = await self.refused_after(self.wait(ForWrite()))
        self.assertLess(elapsed, 0.4)

    async def test_reads_of_replicas_do_not_wait_for_the_primary(self):
        self.begin_outage(12.0)
        waiting = asyncio.create_task(self.wait(ForRead(None)))
        await asyncio.sleep(0.2)
        self.assertFalse(waiting.done())
        waiting.cancel()


if __name__ == "__main__":
    unittest.main()
