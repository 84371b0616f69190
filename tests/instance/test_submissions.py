"""Tests of what submissions may hold, without a network."""

import unittest

import anyio
import msgspec

from swifthoist_core.errors import LogUnavailableError
from swifthoist_engine.cell import Cell
from swifthoist_engine.footprints import footprint_of
from swifthoist_engine.model import JobSpec, QueueTerms, Resources, StepSpec
from swifthoist_engine.records import Submitted
from swifthoist_instance.limits import LARGE_BODY_BYTES
from swifthoist_instance.recording import NotServedError
from swifthoist_instance.submissions import UNFOLDED_S, BusyError, Submissions
from swifthoist_platform import names
from tests.instance.fakes import GENEROUS, open_guard, run

TERMS = QueueTerms(1, 3, 1, 500, 'pool')
LIMITS = GENEROUS._replace(job_bytes=10_000_000)


def _spec(number: int, team: str, steps: int = 1) -> JobSpec:
    step = StepSpec(1, Resources(1))
    return JobSpec(
        f'{number:016x}', 'bulk', team, 'x', (step,) * steps, TERMS, 1
    )


def _submit_until_refused(
    cell: Cell, submissions: Submissions, first: int, team: str, steps: int
) -> int:
    """Submit jobs of a team; return how many are accepted."""
    for number in range(first, first + 10_000):
        spec = _spec(number, team, steps)
        try:
            with submissions.reserve(spec):
                cell.fold(Submitted(spec))
        except BusyError:
            return number - first
    raise AssertionError('no job was refused')


def _reserve(submissions: Submissions, spec: JobSpec) -> None:
    """Reserve the room of a job whose record is then appended."""
    with submissions.reserve(spec):
        return


class RoomTest(unittest.TestCase):
    """Accepted jobs keep to the limit, and each team has its part."""

    def test_accepted_jobs_keep_to_the_limit(self) -> None:
        """All teams together, whatever their jobs are."""

        async def main() -> None:
            cell = Cell(1_000)
            submissions = open_guard(cell, LIMITS).submissions
            for team in range(20):
                _submit_until_refused(
                    cell, submissions, 100_000 * team, str(team), 2_000
                )
            self.assertLessEqual(submissions.held_bytes, LIMITS.job_bytes)

        run(main)

    def test_a_team_that_fills_its_part_does_not_shut_out_others(self) -> None:
        """Another team may submit as much as half of what is left."""

        async def main() -> None:
            cell = Cell(1_000)
            submissions = open_guard(cell, LIMITS).submissions
            _submit_until_refused(cell, submissions, 0, 'red', 1)
            of_blue = _submit_until_refused(
                cell, submissions, 100_000, 'blue', 1
            )
            self.assertGreater(of_blue, 100)

        run(main)

    def test_large_jobs_leave_room_for_ordinary_ones(self) -> None:
        """Also for those of the same team."""

        async def main() -> None:
            cell = Cell(1_000)
            submissions = open_guard(cell, LIMITS).submissions
            _submit_until_refused(cell, submissions, 0, 'red', 3_900)
            small = _submit_until_refused(cell, submissions, 100_000, 'red', 1)
            self.assertGreater(small, 100)

        run(main)

    def test_jobs_that_are_being_recorded_count(self) -> None:
        """Many at once were all accepted before the first was folded."""

        async def main() -> None:
            submissions = open_guard(Cell(1_000), LIMITS).submissions
            spec = _spec(1, 'red', 5_000)
            with submissions.reserve(spec), self.assertRaises(BusyError):
                with submissions.reserve(_spec(2, 'red', 5_000)):
                    self.fail('both were accepted')
            self.assertGreater(footprint_of(spec), 2_000_000)

        run(main)

    def test_a_job_counts_from_its_record_until_it_is_folded(self) -> None:
        """The next one was accepted before this instance had read the log."""

        async def main() -> None:
            cell = Cell(1_000)
            submissions = open_guard(cell, LIMITS).submissions
            spec = _spec(1, 'red', 5_000)
            _reserve(submissions, spec)
            with self.assertRaises(BusyError):
                _reserve(submissions, _spec(2, 'red', 5_000))
            cell.fold(Submitted(spec))
            _reserve(submissions, _spec(3, 'red', 1))

        run(main)

    def test_a_repeat_of_a_job_that_is_not_folded_has_its_room(self) -> None:
        """It counted twice, and was told that nothing of it was recorded."""

        async def main() -> None:
            submissions = open_guard(Cell(1_000), LIMITS).submissions
            spec = _spec(1, 'red', 5_000)
            _reserve(submissions, spec)
            _reserve(submissions, spec)
            with self.assertRaises(BusyError):
                _reserve(submissions, _spec(2, 'red', 5_000))

        run(main)

    def test_a_job_that_was_not_recorded_gives_its_room_back(self) -> None:
        """At once if that is certain, else once its record is not to come."""

        async def main() -> None:
            submissions = open_guard(Cell(1_000), LIMITS).submissions
            for error in (NotServedError, LogUnavailableError):
                with self.assertRaises(error):
                    with submissions.reserve(_spec(1, 'red', 5_000)):
                        raise error('log away')
            _reserve(submissions, _spec(2, 'red', 5_000))
            with self.assertRaises(BusyError):
                _reserve(submissions, _spec(3, 'red', 5_000))
            await anyio.sleep(UNFOLDED_S)
            _reserve(submissions, _spec(3, 'red', 5_000))

        run(main)

    def test_a_job_that_no_record_can_hold_is_rejected(self) -> None:
        """The store refused its record each time it was submitted."""

        async def main() -> None:
            limits = GENEROUS._replace(record_bytes=10_000)
            submissions = open_guard(limits=limits).submissions
            self.assertIsNone(submissions.check_record(_spec(1, 'red', 100)))
            self.assertIsNotNone(submissions.check_record(_spec(1, 'red', 500)))

        run(main)


class DecodingTest(unittest.TestCase):
    """Large submissions are decoded one after the other."""

    def test_a_small_submission_needs_no_turn(self) -> None:
        """However many large ones wait."""

        async def main() -> None:
            submissions = open_guard().submissions
            step = msgspec.json.encode({names.COUNT: 1})
            small = b'{"%s":[%s]}' % (names.STEPS.encode(), step)
            large = small + b' ' * LARGE_BODY_BYTES
            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(submissions.decode, large, 3)
                decoded = await submissions.decode(small, 0)
            self.assertEqual(decoded.findings, ())

        run(main)

    def test_a_turn_that_does_not_come_in_time_is_told(self) -> None:
        """The caller is refused before it gives up."""

        async def main() -> None:
            submissions = open_guard().submissions
            large = b' ' * (LARGE_BODY_BYTES + 1)
            with self.assertRaises(BusyError):
                await submissions.decode(large, 0)

        run(main)
