"""Tests of losses of runners at the same moment."""

import unittest

from swifthoist_instance.crash_counts import (
    MAX_LOSSES,
    SAME_MOMENT_MS,
    CrashCounts,
)
from swifthoist_instance.crashes import SILENT_STARTUP_MS


class LossTest(unittest.TestCase):
    """Runners that are lost together hardly crashed by what one was starting."""

    def test_a_loss_is_alone_unless_another_one_is_near(self) -> None:
        """Only the newest loss of each runner counts."""
        counts = CrashCounts()
        counts.note_loss('a', 1_000)
        self.assertTrue(counts.lost_alone('a'))
        counts.note_loss('b', 1_000 + SAME_MOMENT_MS)
        self.assertFalse(counts.lost_alone('a'))
        counts.note_loss('b', 1_001 + SAME_MOMENT_MS)
        self.assertTrue(counts.lost_alone('a'))
        self.assertFalse(counts.lost_alone('unknown'))

    def test_losses_that_are_noticed_late_are_near_over_a_longer_time(
        self,
    ) -> None:
        """Calls to runners that fall silent together time out one by one."""
        counts = CrashCounts()
        counts.note_loss('a', 1_000)
        counts.note_loss('b', 1_000 + SILENT_STARTUP_MS)
        self.assertTrue(counts.lost_alone('a'))
        self.assertFalse(counts.lost_alone('a', SILENT_STARTUP_MS))

    def test_old_losses_are_dropped(self) -> None:
        """Ids of runners are not used again on most platforms."""
        counts = CrashCounts()
        for number in range(MAX_LOSSES + 1):
            counts.note_loss(f'runner-{number}', number * 1_000)
        self.assertFalse(counts.lost_alone('runner-0'))
        self.assertTrue(counts.lost_alone('runner-1'))
