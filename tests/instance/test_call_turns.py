"""Tests of how long calls wait at a server that takes them in turn."""

import unittest

from swifthoist_instance.call_turns import (
    GRACE_MS,
    MAX_TIMEOUT_MS,
    MIN_COST_MS,
    CallTurns,
)

COST_MS = 1_000


class _ManualClock:
    """A clock that a test advances."""

    now_ms = 0

    def boot_ms(self) -> int:
        """Return the time since the start, in ms."""
        return self.now_ms


class CallTurnsTest(unittest.TestCase):
    """The time to wait covers what stands before a call."""

    def setUp(self) -> None:
        """Expect the stated costs."""
        self.clock = _ManualClock()
        self.turns = CallTurns(self.clock)

    def _answer(self, took_ms: int) -> None:
        self.turns.begin(COST_MS)
        self.clock.now_ms += took_ms
        self.turns.note_answer()

    def test_a_call_is_waited_for_as_long_as_it_may_take(self) -> None:
        """By the stated figures, and longer."""
        wait_ms = self.turns.begin(COST_MS) * 1_000
        self.assertEqual(wait_ms, 2 * COST_MS + GRACE_MS)

    def test_an_abandoned_call_still_takes_its_turn(self) -> None:
        """The next call waits for both."""
        alone_s = self.turns.begin(COST_MS)
        self.turns.note_abandoned()
        self.assertGreater(self.turns.begin(COST_MS), 2 * alone_s)
        self.turns.note_answer()
        self.assertLess(self.turns.begin(COST_MS), 2 * alone_s)

    def test_answers_tell_how_long_to_wait(self) -> None:
        """Whatever is stated; a server that recovers is trusted again."""
        for _ in range(20):
            self._answer(4 * COST_MS)
        self.assertAlmostEqual(self.turns.slowness, 4, 1)
        for _ in range(20):
            self._answer(COST_MS // 2)
        self.assertAlmostEqual(self.turns.slowness, 1, 1)

    def test_a_silent_server_is_given_up_in_a_bounded_time(self) -> None:
        """It may be a connection that went silent."""
        for _ in range(50):
            self.turns.begin(COST_MS)
            self.turns.note_abandoned()
        self.assertEqual(
            self.turns.begin(COST_MS) * 1_000, float(MAX_TIMEOUT_MS)
        )

    def test_a_refused_call_pauses_for_some_turns(self) -> None:
        """Also where no cost is stated."""
        self.turns.begin(0)
        self.assertEqual(self.turns.pause_s() * 1_000, 4 * MIN_COST_MS)
