"""
Tests of the numbers
====================

Numbers drawn from the store before and after it was restored from an older copy.
"""

import unittest

from cardamomdrift.failover.leadership import Leadership
from cardamomdrift.failover.numbers import (
    NUMBERS_PER_ERA,
    first_number,
    is_next_number,
    next_number,
)


class NumbersTest(unittest.TestCase):
    def test_numbers_rise_when_the_store_forgets_the_last_ones(self):
        first = next_number(1, 0)
        second = next_number(1, first)
        # The second number was lost.
        third = next_number(2, first)
        self.assertEqual((first, second), (1, 2))
        self.assertLess(second, third)
        self.assertEqual(next_number(2, third), third + 1)
        self.assertLess(next_number(2, third), next_number(3, 0))

    def test_a_store_without_eras_begins_with_one(self):
        self.assertEqual((first_number(0), first_number(1)), (1, 1))

    def test_the_next_number(self):
        self.assertTrue(is_next_number(5, 4))
        self.assertFalse(is_next_number(6, 4))
        self.assertTrue(is_next_number(NUMBERS_PER_ERA + 1, 4))
        self.assertFalse(is_next_number(NUMBERS_PER_ERA + 2, 4))

    def test_a_leaving_primary_still_answers_across_a_restore(self):
        leadership = Leadership("g", generation=4, primary="i", released=4)
        leadership.adopt(first_number(2), False, 1, "i", 10.0)
        leadership.drain_until = 10.2
        self.assertTrue(leadership.accepts_answer("i", 4, 10.1))
        self.assertFalse(leadership.accepts_answer("i", 3, 10.1))


if __name__ == "__main__":
    unittest.main()
