"""
Tests of the soak
=================

Short soaks of daemon processes under random faults: correct daemons pass the checker,
and a daemon with one decision broken on purpose does not.
"""

import tempfile
import unittest

from soak.__main__ import soak

SEEDS = (101, 7)  # 101 failed once, see soak/regressions.txt
SECONDS = 8.0


class SoakTest(unittest.IsolatedAsyncioTestCase):
    async def run_soak(self, seed, seconds, **options):
        with tempfile.TemporaryDirectory() as folder:
            checker, done = await soak(seed, seconds, folder, **options)
        return checker, done

    async def test_promises_hold(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                checker, done = await self.run_soak(seed, SECONDS)
                self.assertEqual(checker.violations, [], done)
                self.assertGreater(checker.reads, 200)
                self.assertGreater(len(checker.writes), 200)

    async def assert_caught(self, break_name, expected_text, *names):
        """Check that a soak of broken daemons reports a fault with this text.

        Parameters
        ----------
        break_name : str
            Key of soak.broken.BREAKS.
        expected_text : str
            Part of the reported fault.
        *names : str
            Faults to draw from.
        """
        options = {"module": ("soak.broken", break_name), "names": names}
        checker, done = await self.run_soak(21, 12.0, **options)
        found = [one for one in checker.violations if expected_text in one]
        self.assertTrue(found, (break_name, checker.violations[:5], done))

    async def test_a_repeated_write_is_caught(self):
        await self.assert_caught("repeat-writes", "ran", "lose_answers")

    async def test_a_false_refusal_is_caught(self):
        await self.assert_caught("false-refusals", "ran, although", "lose_answers")

    async def test_a_read_without_its_floor_is_caught(self):
        await self.assert_caught("no-floor", "not", "lag", "deaf")


if __name__ == "__main__":
    unittest.main()
