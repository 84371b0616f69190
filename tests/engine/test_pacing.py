"""Tests of the pace of filling tasks."""

import unittest

from swifthoist_engine.pacing import FULL_PACE, Tail, next_pace


class PaceTest(unittest.TestCase):
    """Filling tasks are slowed down in favour of serving tasks."""

    def test_the_pace_falls_while_a_tail_is_near_its_target(self) -> None:
        """It falls to 0 within four steps."""
        pace = FULL_PACE
        steps = 0
        while pace:
            pace = next_pace(pace, (Tail(95, 100), Tail(1, 100)))
            steps += 1
        self.assertLessEqual(steps, 4)

    def test_the_pace_rises_while_all_tails_are_low(self) -> None:
        """It stays the same while they are in between."""
        self.assertGreater(next_pace(20, (Tail(10, 100),)), 20)
        self.assertEqual(next_pace(20, (Tail(70, 100),)), 20)
        self.assertEqual(next_pace(FULL_PACE, ()), FULL_PACE)
