"""Tests of the cell's time."""

import unittest

import anyio

from swifthoist_engine.cell_state import CellState
from swifthoist_instance.cell_time import CellTime
from tests.instance.fakes import START_WALL_MS, JumpingClock, run

HOUR_MS = 3_600_000


class CellTimeTest(unittest.TestCase):
    """The cell's time is monotonic, whatever the time of day does."""

    def test_it_is_the_time_of_day_before_anybody_held(self) -> None:
        """Without any record there is no other source."""

        async def main() -> None:
            clock = JumpingClock()
            clock.ahead_ms = HOUR_MS
            self.assertEqual(CellTime(clock).now_ms(), clock.wall_ms())

        run(main)

    def test_it_passes_as_the_steady_clock_does(self) -> None:
        """Jumps of the time of day, forward or back, have no effect."""

        async def main() -> None:
            clock = JumpingClock()
            cell_time = CellTime(clock)
            cell_time.note(CellState(1, 'me', START_WALL_MS), fresh=True)
            for ahead_ms in (HOUR_MS, -HOUR_MS):
                clock.ahead_ms = ahead_ms
                await anyio.sleep(1)
            self.assertEqual(cell_time.now_ms(), START_WALL_MS + 2_000)

        run(main)

    def test_a_record_that_came_late_does_not_turn_it_back(self) -> None:
        """A holder writes more often than other instances read."""

        async def main() -> None:
            cell_time = CellTime(JumpingClock())
            cell_time.note(CellState(1, 'me', START_WALL_MS), fresh=True)
            await anyio.sleep(2)
            cell_time.note(CellState(1, 'me', START_WALL_MS + 500), fresh=True)
            self.assertEqual(cell_time.now_ms(), START_WALL_MS + 2_000)

        run(main)

    def test_it_follows_a_new_holder_that_knew_less(self) -> None:
        """Otherwise instances' times would differ by what it did not know."""

        async def main() -> None:
            cell_time = CellTime(JumpingClock())
            cell_time.note(CellState(1, 'me', START_WALL_MS), fresh=True)
            await anyio.sleep(9)
            cell_time.note(CellState(2, 'other', START_WALL_MS), fresh=True)
            await anyio.sleep(1)
            self.assertEqual(cell_time.now_ms(), START_WALL_MS + 1_000)

        run(main)

    def test_records_of_the_past_do_not_tell_how_long_ago_that_was(
        self,
    ) -> None:
        """After the loss of all instances only the time of day does.

        It counts unless it is behind the newest record.
        """

        async def main() -> None:
            clock = JumpingClock()
            cell_time = CellTime(clock)
            cell_time.note(
                CellState(1, 'me', START_WALL_MS - HOUR_MS), fresh=False
            )
            self.assertEqual(cell_time.now_ms(), clock.wall_ms())
            clock.ahead_ms = -2 * HOUR_MS
            self.assertEqual(cell_time.now_ms(), START_WALL_MS - HOUR_MS)

        run(main)
