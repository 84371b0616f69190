"""Tests of the index of open runs, and of the jobs that need a decision."""

import unittest

from swifthoist_engine.model import Resources, TaskId, UnitId
from swifthoist_engine.records import Ending
from tests.engine.scenes import (
    BATCH,
    NOW_MS,
    ONE_ACCELERATOR,
    Scene,
    job_spec,
    runners_by_unit,
    task,
    view,
)


class RunIndexTest(unittest.TestCase):
    """The index is kept up to date by the records."""

    def test_what_runs_take_is_given_back(self) -> None:
        """Resources of a run are released exactly at its end."""
        scene = Scene(job_spec('j', BATCH, task(count=2)))
        for ordinal in (0, 1):
            scene.start(UnitId('j', 0, 0, ordinal), 'r')
        runs = scene.cell.runs
        self.assertEqual(
            runs.used_on('r'), ONE_ACCELERATOR.plus(ONE_ACCELERATOR)
        )
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        self.assertEqual(runs.used_on('r'), ONE_ACCELERATOR)
        scene.end(TaskId('j', 0, 0, 1), 'r', Ending.FAILED)
        self.assertEqual(runs.used_on('r'), Resources())

    def test_a_run_is_carried_once(self) -> None:
        """A run that was closed before is not sent at all."""
        scene = Scene(job_spec('j', BATCH, task(count=2)))
        for ordinal in (0, 1):
            scene.start(UnitId('j', 0, 0, ordinal), 'r')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        fresh = scene.cell.runs.take_unsent()
        self.assertEqual([run.task.ordinal for run in fresh], [1])
        self.assertEqual(scene.cell.runs.take_unsent(), [])


class DirtyJobsTest(unittest.TestCase):
    """Decisions consider only jobs that a record or passing time made dirty."""

    def test_a_job_that_runs_is_settled_until_an_end(self) -> None:
        """The end makes it dirty, and the next step starts."""
        scene = Scene(job_spec('j', BATCH, task(), task(depends_on=(0,))))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        self.assertEqual(scene.decide([view(0)]).starts, ())
        self.assertEqual(scene.cell.dirty, set())
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.DONE)
        started = runners_by_unit(scene.decide([view(0)]))
        self.assertEqual(list(started), [UnitId('j', 0, 1, 0)])

    def test_a_pause_after_a_failure_ends_without_a_record(self) -> None:
        """The job stays dirty during the pause."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.FAILED)
        self.assertEqual(scene.decide([view(0)]).starts, ())
        later = scene.decide([view(0)], now_ms=NOW_MS + 1_000)
        self.assertEqual(len(later.starts), 1)
