"""Tests of the memory that jobs are expected to hold."""

import gc
import tracemalloc
import unittest

from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import Footprints, footprint_of
from swifthoist_engine.model import (
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    TaskId,
    UnitId,
)
from swifthoist_engine.records import Beat, Canceled, Claimed, Ending, Submitted
from tests.engine.scenes import BULK, NOW_MS, Scene, job_spec, task
from tests.engine.scenes import KEEP_MS as SCENE_KEEP_MS

TERMS = QueueTerms(1, 3, 1, 500, 'pool')
KEEP_MS = 1_000


def _spec(job: str, team: str = 'red', **fields: object) -> JobSpec:
    step = StepSpec(1, Resources(1))._replace(**fields)
    return JobSpec(job, 'bulk', team, 'x', (step,) * 10, TERMS, 1)


class FootprintTest(unittest.TestCase):
    """What a job holds follows from what was submitted."""

    def test_everything_that_a_caller_can_make_large_counts(self) -> None:
        """Else a job could hold more than the limit."""
        plain = footprint_of(_spec('a'))
        larger = (
            _spec('a', label='x' * 1_000),
            _spec('a', data_rack='x' * 1_000),
            _spec('a', image='x' * 1_000),
            _spec('a', depends_on=(0,) * 100),
            _spec('a')._replace(payload='x' * 4_000),
        )
        for spec in larger:
            self.assertGreater(footprint_of(spec), plain + 3_000)

    def test_a_job_counts_once_and_until_it_is_forgotten(self) -> None:
        """Also if it is submitted twice, or the state comes from a snapshot."""
        cell = Cell(KEEP_MS)
        spec = _spec('a')
        cell.fold(Claimed(1, 'holder', 1))
        cell.fold(Submitted(spec))
        cell.fold(Submitted(spec._replace(payload='other')))
        self.assertEqual(cell.footprints.total, footprint_of(spec))
        again = Cell(KEEP_MS, cell.state)
        self.assertEqual(again.footprints.of_team('red'), footprint_of(spec))
        cell.fold(Canceled('a', 2))
        cell.fold(Beat(1, KEEP_MS + 3))
        self.assertEqual(cell.footprints.total, 0)
        self.assertEqual(cell.footprints.of_team('red'), 0)

    def test_removing_an_unknown_job_changes_nothing(self) -> None:
        """It may be reserved twice and released twice."""
        footprints = Footprints((_spec('a'),))
        footprints.remove('b')
        self.assertEqual(footprints.total, footprint_of(_spec('a')))

    def test_tasks_that_are_done_hold_no_more_than_was_counted(self) -> None:
        """What a job holds grew with each task that had run."""
        spec = job_spec('many', BULK, task(count=2_000))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        scene = Scene(spec)
        for ordinal in range(2_000):
            scene.start(UnitId('many', 0, 0, ordinal), 'runner-1')
            done = TaskId('many', 0, 0, ordinal)
            scene.end(done, 'runner-1', Ending.DONE)
        with_job = _held_bytes()
        scene.beat(NOW_MS + SCENE_KEEP_MS + 1)
        self.assertEqual(scene.jobs(), [])
        self.assertLessEqual(with_job - _held_bytes(), footprint_of(spec))


def _held_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]
