"""Tests of the measured time of the store's answers."""

import unittest

from swifthoist_instance.store_latency import (
    NORMAL_ANSWER_S,
    SLOW_ANSWER_S,
    STORE_QUEUE_S,
    StoreLatency,
)
from tests.instance.fakes import LoopClock, run

USUAL_S = 0.006


class StoreLatencyTest(unittest.TestCase):
    """Slow and normal are told apart by single answers."""

    def test_one_late_answer_tells_that_the_store_is_slow(self) -> None:
        """A wait for several would last as long as the slow spell."""

        async def main() -> None:
            latency = StoreLatency(LoopClock())
            latency.note_answer(USUAL_S)
            self.assertEqual(latency.append_timeout_s, 0)
            latency.note_answer(60 * USUAL_S)
            self.assertTrue(latency.slow)
            self.assertGreater(latency.append_timeout_s, STORE_QUEUE_S)

        run(main)

    def test_between_the_bounds_it_stays_what_it_is(self) -> None:
        """An answer time near one bound must not flap."""

        async def main() -> None:
            latency = StoreLatency(LoopClock())
            between_s = (NORMAL_ANSWER_S + SLOW_ANSWER_S) / 2
            latency.note_answer(between_s)
            self.assertFalse(latency.slow)
            latency.note_answer(SLOW_ANSWER_S)
            latency.note_answer(between_s)
            self.assertTrue(latency.slow)
            latency.note_answer(USUAL_S)
            self.assertFalse(latency.slow)

        run(main)

    def test_answers_that_get_slower_get_more_time_at_once(self) -> None:
        """The first slow read of a spell must not be given up."""

        async def main() -> None:
            latency = StoreLatency(LoopClock())
            for _ in range(20):
                latency.note_answer(USUAL_S)
            self.assertEqual(latency.grace_s(0.7), 0.7)
            latency.note_answer(0.6)
            self.assertGreater(latency.grace_s(0.7), 2 * 0.6 - 0.01)

        run(main)
