"""Tests of the memory that jobs are expected to hold."""

import gc
import tracemalloc
import unittest
from collections.abc import Iterator

from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import Footprints, footprint_of
from swifthoist_engine.kept_units import UNIT_BYTES
from swifthoist_engine.model import (
    JobSpec,
    QueueTerms,
    Resources,
    Schedule,
    StepSpec,
    TaskId,
    UnitId,
)
from swifthoist_engine.progress import MAX_OPEN_OCCURRENCES
from swifthoist_engine.records import Beat, Canceled, Claimed, Ending, Submitted
from tests.engine.scenes import BULK, NOW_MS, Scene, job_spec, task
from tests.engine.scenes import KEEP_MS as SCENE_KEEP_MS

ALL = 100_000
MAX_UNITS = 100
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


class HeldTest(unittest.TestCase):
    """A job holds no more than was counted for it, whatever becomes of it."""

    def check(self, *steps: StepSpec, times: int = 1) -> None:
        """Have all of a job be done, and compare what it holds."""
        spec = job_spec('many', BULK, *steps)
        spec = spec._replace(schedule=Schedule(NOW_MS, 0, times))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        scene = Scene(max_units=MAX_UNITS)
        before = _held_bytes()
        scene.fold(Submitted(spec))
        progress = scene.job('many').progress
        progress.prepare(ALL)
        progress.open_due(lambda _: True, ALL * len(steps))
        progress.take_startable(ALL)
        waiting = _held_bytes()
        for unit in _units(spec, times):
            scene.start(unit, 'runner-1')
            scene.end(TaskId(*unit), 'runner-1', Ending.DONE)
        done = _held_bytes()
        self.assertTrue(scene.job('many').complete)
        scene.beat(NOW_MS + SCENE_KEEP_MS + 1)
        self.assertEqual(scene.jobs(), [])
        counted = footprint_of(spec)
        self.assertLessEqual(waiting - before, counted)
        kept = MAX_UNITS * UNIT_BYTES
        self.assertLessEqual(done - _held_bytes(), counted + kept)

    def test_a_step_of_many_tasks(self) -> None:
        """Each that was done was kept as an object of its own."""
        self.check(task(count=2_000))

    def test_many_occurrences(self) -> None:
        """Those that are due are prepared whole."""
        self.check(task(), times=MAX_OPEN_OCCURRENCES + 500)

    def test_many_steps(self) -> None:
        """Each is prepared when the job is first looked at."""
        self.check(*(task() for _ in range(2_000)))

    def test_many_occurrences_of_many_steps(self) -> None:
        """Each step is listed once for each of them."""
        self.check(*(task() for _ in range(100)), times=20)


def _units(spec: JobSpec, times: int) -> Iterator[UnitId]:
    for occurrence in range(times):
        for number, step in enumerate(spec.steps):
            for ordinal in range(step.width):
                yield UnitId(spec.job, occurrence, number, ordinal)


def _held_bytes() -> int:
    gc.collect()
    return tracemalloc.get_traced_memory()[0]
