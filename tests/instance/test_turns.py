"""A holder's event loop is watched, and decisions leave it to others."""

import unittest

import anyio

from swifthoist_instance.turns import (
    LOGGED_DELAY_MS,
    MIN_LOG_GAP_MS,
    YIELD_FACTOR,
    LoopMonitor,
)
from tests.instance.fakes import LoopClock, run


class TurnsTest(unittest.TestCase):
    """What operators are told of a loop that was held up."""

    def test_a_late_loop_is_logged_with_the_decision_before_it(self) -> None:
        """And the longest delay stays in the metrics."""
        turns = LoopMonitor(LoopClock())

        async def scene() -> None:
            await turns.yield_to_others(40)
            turns.note_delay(LOGGED_DELAY_MS)
            turns.note_delay(1)

        with self.assertLogs('swifthoist_instance.turns') as logs:
            run(scene)
        self.assertEqual(logs.records[0].decision_ms, 40)
        self.assertEqual(logs.records[0].late_ms, LOGGED_DELAY_MS)
        self.assertEqual(turns.longest_ms, LOGGED_DELAY_MS)

    def test_a_loop_that_stays_late_does_not_flood_the_log(self) -> None:
        """One line a second."""
        turns = LoopMonitor(LoopClock())

        async def scene() -> None:
            for _ in range(20):
                turns.note_delay(LOGGED_DELAY_MS)
                await anyio.sleep(MIN_LOG_GAP_MS / 10_000)

        with self.assertLogs('swifthoist_instance.turns') as logs:
            run(scene)
        self.assertEqual(len(logs.records), 2)

    def test_a_slow_decision_is_followed_by_a_longer_pause(self) -> None:
        """So that renewals and answers are not starved by decisions."""
        turns = LoopMonitor(LoopClock())
        took_s: list[float] = []

        async def scene() -> None:
            began = anyio.current_time()
            await turns.yield_to_others(100)
            took_s.append(anyio.current_time() - began)

        run(scene)
        self.assertAlmostEqual(took_s[0], YIELD_FACTOR * 0.1, places=2)


if __name__ == '__main__':
    unittest.main()
