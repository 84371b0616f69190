"""Tests of the turns of costly requests."""

import unittest

import anyio

from swifthoist_instance.fair_turns import MAX_PAUSE_MS, FairTurns
from tests.instance.fakes import LoopClock, run


class _SlowClock(LoopClock):
    """A clock that moves on by itself, as if each look took long."""

    def __init__(self, step_ms: int) -> None:
        """Move on by a step with each look."""
        self._step_ms = step_ms
        self._now_ms = 0

    def boot_ms(self) -> int:
        """Return the time of this look."""
        self._now_ms += self._step_ms
        return self._now_ms


class FairTurnsTest(unittest.TestCase):
    """Between two turns others run."""

    def test_a_turn_is_followed_by_a_pause_as_long(self) -> None:
        """Costly requests take half of the time at most."""

        async def main() -> None:
            turns = FairTurns(_SlowClock(200))
            async with turns.turn():
                self.assertEqual(anyio.current_time(), 0)
            self.assertAlmostEqual(anyio.current_time(), 0.2)

        run(main)

    def test_a_suspension_in_a_turn_is_no_reason_for_a_long_pause(self) -> None:
        """The machine slept for a minute, not the request."""

        async def main() -> None:
            turns = FairTurns(_SlowClock(60_000))
            async with turns.turn():
                self.assertEqual(anyio.current_time(), 0)
            self.assertAlmostEqual(anyio.current_time(), MAX_PAUSE_MS / 1_000)

        run(main)
