"""Tests of the memory that jobs are expected to hold."""

import unittest

from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import Footprints, footprint_of
from swifthoist_engine.model import JobSpec, QueueTerms, Resources, StepSpec
from swifthoist_engine.records import Beat, Canceled, Claimed, Submitted

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
