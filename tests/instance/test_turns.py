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
        monitor = LoopMonitor(LoopClock())

        async def main() -> None:
            await monitor.yield_to_others(40)
            monitor.note_delay(LOGGED_DELAY_MS)
            monitor.note_delay(1)

        with self.assertLogs('swifthoist_instance.turns') as logs:
            run(main)
        self.assertEqual(logs.records[0].decision_ms, 40)
        self.assertEqual(logs.records[0].late_ms, LOGGED_DELAY_MS)
        self.assertEqual(monitor.longest_ms, LOGGED_DELAY_MS)

    def test_a_loop_that_stays_late_does_not_flood_the_log(self) -> None:
        """One line a second."""
        monitor = LoopMonitor(LoopClock())

        async def main() -> None:
            for _ in range(20):
                monitor.note_delay(LOGGED_DELAY_MS)
                await anyio.sleep(MIN_LOG_GAP_MS / 10_000)

        with self.assertLogs('swifthoist_instance.turns') as logs:
            run(main)
        self.assertEqual(len(logs.records), 2)

    def test_a_slow_decision_is_followed_by_a_longer_pause(self) -> None:
        """So that renewals and answers are not starved by decisions."""
        monitor = LoopMonitor(LoopClock())
        pauses_s: list[float] = []

        async def main() -> None:
            began = anyio.current_time()
            await monitor.yield_to_others(100)
            pauses_s.append(anyio.current_time() - began)

        run(main)
        self.assertAlmostEqual(pauses_s[0], YIELD_FACTOR * 0.1, places=2)


if __name__ == '__main__':
    unittest.main()
