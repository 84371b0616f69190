"""Tests of detecting runs that hang."""

import unittest

from swifthoist_engine.hang_detector import HUNG_AFTER_MS, HangDetector
from swifthoist_engine.model import GANG_ORDINAL, TaskId, UnitId
from tests.engine.scenes import BATCH, NOW_MS, Scene, gang, job_spec, task

LATER_MS = NOW_MS + HUNG_AFTER_MS + 1


class StandstillTest(unittest.TestCase):
    """Only runs that certainly hang are reported."""

    def setUp(self) -> None:
        """Run a single task and a gang of two."""
        self.scene = Scene(
            job_spec('alone', BATCH, task()), job_spec('gang', BATCH, gang(2))
        )
        self.scene.start(UnitId('alone', 0, 0, 0), 'runner-0')
        unit = UnitId('gang', 0, 0, GANG_ORDINAL)
        self.scene.start(unit, 'runner-0', 'runner-1')
        self.alone = (TaskId('alone', 0, 0, 0), 1)
        self.first = (TaskId('gang', 0, 0, 0), 1)
        self.second = (TaskId('gang', 0, 0, 1), 1)
        self.hang_detector = HangDetector()

    def hung(self) -> list[str]:
        """List the tasks that hang once the limit has passed."""
        keys = [self.alone, self.first, self.second]
        runs = self.hang_detector.hung(self.scene.cell, keys, LATER_MS)
        return [f'{run.task.job}.{run.task.ordinal}' for run in runs]

    def test_a_task_without_processor_time_hangs(self) -> None:
        """It hangs after a while, unless it uses processor time again."""
        self.hang_detector.note({self.alone: True}, NOW_MS)
        self.assertEqual(self.hung(), ['alone.0'])
        self.hang_detector.note({self.alone: False}, NOW_MS + 100)
        self.assertEqual(self.hung(), [])

    def test_a_member_that_has_done_its_part_waits_for_the_others(self) -> None:
        """Guards against stopping a gang just before its end."""
        self.hang_detector.note({self.first: True, self.second: False}, NOW_MS)
        self.assertEqual(self.hung(), [])

    def test_a_gang_of_which_all_stand_still_hangs(self) -> None:
        """The member that has been idle for longest is reported."""
        self.hang_detector.note({self.second: True}, NOW_MS - 500)
        self.hang_detector.note({self.first: True}, NOW_MS)
        self.assertEqual(self.hung(), ['gang.1'])
