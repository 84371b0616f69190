"""Tests of the monitor of a holder's event loop."""

import unittest

import anyio

from swifthoist_instance.turns import (
    LOGGED_DELAY_MS,
    MIN_LOG_GAP_MS,
    RESUME_MS,
    YIELD_FACTOR,
    LoopMonitor,
)
from tests.instance.fakes import LoopClock, run


class TurnsTest(unittest.TestCase):
    """Delays of the loop are reported, and decisions yield to others."""

    def test_a_late_loop_is_logged_with_the_decision_before_it(self) -> None:
        """The longest delay is kept for the metrics."""
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
        """At most one line is logged per ``MIN_LOG_GAP_MS``."""
        monitor = LoopMonitor(LoopClock())

        async def main() -> None:
            for _ in range(20):
                monitor.note_delay(LOGGED_DELAY_MS)
                await anyio.sleep(MIN_LOG_GAP_MS / 10_000)

        with self.assertLogs('swifthoist_instance.turns') as logs:
            run(main)
        self.assertEqual(len(logs.records), 2)

    def test_a_slow_decision_is_followed_by_a_longer_pause(self) -> None:
        """Decisions must not starve lease renewals and answers."""
        monitor = LoopMonitor(LoopClock())
        pauses_s: list[float] = []

        async def main() -> None:
            began = anyio.current_time()
            await monitor.yield_to_others(100)
            pauses_s.append(anyio.current_time() - began)

        run(main)
        self.assertAlmostEqual(pauses_s[0], YIELD_FACTOR * 0.1, places=2)

    def test_requests_may_have_waited_while_the_loop_was_blocked(self) -> None:
        """Until all that came meanwhile has been read."""
        monitor = LoopMonitor(LoopClock())
        ages_ms: list[int] = []

        async def main() -> None:
            ages_ms.append(monitor.request_age_ms)
            monitor.note_delay(3_500)
            ages_ms.append(monitor.request_age_ms)
            await anyio.sleep(0.2)
            ages_ms.append(monitor.request_age_ms)
            await anyio.sleep(RESUME_MS / 1_000)
            ages_ms.append(monitor.request_age_ms)

        run(main)
        self.assertEqual(ages_ms, [0, 3_500, 3_700, 0])

    def test_a_short_delay_ages_requests_for_as_short_a_time(self) -> None:
        """Calls that other instances pass on have half a second in all."""
        monitor = LoopMonitor(LoopClock())
        ages_ms: list[int] = []

        async def main() -> None:
            monitor.note_delay(60)
            ages_ms.append(monitor.request_age_ms)
            await anyio.sleep(0.1)
            ages_ms.append(monitor.request_age_ms)

        run(main)
        self.assertEqual(ages_ms, [60, 0])


if __name__ == '__main__':
    unittest.main()
