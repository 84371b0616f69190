"""Tests of the history that is kept of the runs of a job."""

import unittest

import msgspec

from swifthoist_engine.histories import MAX_LOST_ATTEMPTS
from swifthoist_engine.jobs import Job
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.records import Ending, Vanished
from swifthoist_engine.snapshots import encode_head, restore, take_snapshot
from tests.engine.scenes import BATCH, BULK, Scene, gang, job_spec, task


class HistoryTest(unittest.TestCase):
    """The history explains how a job ended."""

    def test_a_gang_is_one_attempt_whose_failed_member_is_named(self) -> None:
        """Ends of other members may be read first and do not name the cause."""
        scene = Scene(job_spec('j', BATCH, gang(3)))
        scene.start(UnitId('j', 0, 0, -1), 'r', 's', 't')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.BROKEN)
        scene.end(TaskId('j', 0, 0, 2), 't', Ending.FAILED)
        scene.end(TaskId('j', 0, 0, 1), 's', Ending.BROKEN)
        lost = scene.job().history.lost
        self.assertEqual(len(lost), 1)
        attempt = (lost[0].runner, lost[0].ordinal, lost[0].ending)
        self.assertEqual(attempt, ('t', 2, 'failed'))
        self.assertEqual(lost[0].members, 3)

    def test_failures_are_kept_whatever_else_is_lost(self) -> None:
        """Failures use up attempts; other losses are bounded and counted."""
        scene = Scene(job_spec('j', BULK, task()))
        unit, task_id = UnitId('j', 0, 0, 0), TaskId('j', 0, 0, 0)
        for run in range(1, 30):
            scene.start(unit, 'r', run=run)
            if run == 1:
                scene.end(task_id, 'r', Ending.FAILED, run)
            else:
                scene.fold(Vanished(1, task_id, run, 'r', 'not on its runner'))
        history = scene.job().history
        self.assertEqual(len(history.lost), MAX_LOST_ATTEMPTS)
        self.assertEqual(history.lost[0].ending, 'failed')
        self.assertEqual(history.omitted, 29 - MAX_LOST_ATTEMPTS)
        self.assertEqual(history.tallies['vanished'].runs, 28)

    def test_an_end_behind_a_run_that_was_given_up_is_told(self) -> None:
        """A late failure uses up an attempt, though no run is open."""
        scene = Scene(job_spec('j', BATCH, task()))
        task_id = TaskId('j', 0, 0, 0)
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.fold(Vanished(1, task_id, 1, 'r', 'lease ended'))
        scene.end(task_id, 'r', Ending.FAILED)
        lost = scene.job().history.lost
        self.assertEqual(len(lost), 1)
        self.assertEqual((lost[0].run, lost[0].ending), (1, 'failed'))

    def test_a_snapshot_keeps_it_and_one_of_an_older_version_is_read(
        self,
    ) -> None:
        """The history survives a restore; snapshots without one are read."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.FAILED)
        snapshot = take_snapshot(scene.cell.state, 1, 0, 10_000)
        contents = dict(snapshot.chunks)
        contents['snapshot/head'] = encode_head(snapshot.head)
        restored = restore(contents)
        assert restored is not None
        job = restored.state.jobs['j']
        self.assertEqual(job.history, scene.job().history)
        older = msgspec.to_builtins(scene.job())
        older.pop('history')
        decoded = msgspec.convert(older, Job)
        self.assertEqual(decoded.history.lost, [])
