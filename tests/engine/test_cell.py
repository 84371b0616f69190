"""Tests of the fold that builds the state of a cell from records."""

import unittest

import msgspec

from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import MAX_EARLY_CANCELS, CellState
from swifthoist_engine.demand import count_waiting
from swifthoist_engine.jobs import JobState
from swifthoist_engine.model import GANG_ORDINAL, TaskId, UnitId
from swifthoist_engine.records import (
    Canceled,
    Claimed,
    Ending,
    Placement,
    Released,
    Started,
    Submitted,
    Vanished,
    decode_record,
    encode_record,
)
from tests.engine.scenes import (
    BATCH,
    BULK,
    KEEP_MS,
    NOW_MS,
    Scene,
    gang,
    job_spec,
    task,
    view,
)


class EarlyCancelTest(unittest.TestCase):
    """A cancel binds a submission that comes behind it."""

    def setUp(self) -> None:
        """Cancel a job that is not known."""
        self.scene = Scene()
        self.scene.fold(Canceled('j', NOW_MS))
        self.spec = job_spec('j', BATCH, task())

    def test_a_submission_behind_its_cancel_starts_nothing(self) -> None:
        """Nobody hears of the job otherwise, so it is shown as canceled."""
        self.scene.fold(Submitted(self.spec))
        self.assertIs(self.scene.job().state, JobState.CANCELED)
        self.assertEqual(self.scene.decide([view(1)]).starts, ())

    def test_it_binds_through_takeover_and_snapshot(self) -> None:
        """A newcomer folds what comes later as all others do."""
        self.scene.fold(Claimed(2, 'other', NOW_MS))
        packed = msgspec.msgpack.encode(self.scene.cell.state)
        state = msgspec.msgpack.decode(packed, type=CellState)
        cell = Cell(KEEP_MS, state)
        cell.fold(Submitted(self.spec))
        self.assertIs(cell.state.jobs['j'].state, JobState.CANCELED)

    def test_it_is_forgotten_like_a_job_that_is_over(self) -> None:
        """The id may be used for another job then."""
        self.scene.beat(NOW_MS + KEEP_MS)
        self.assertIn('j', self.scene.cell.state.early_cancels)
        self.scene.beat(NOW_MS + KEEP_MS + 1)
        self.scene.fold(Submitted(self.spec))
        self.assertIs(self.scene.job().state, JobState.QUEUED)

    def test_the_holder_repeats_it_until_it_is_folded(self) -> None:
        """Versions that dropped the first cancel fold the second one."""
        self.assertEqual(self.scene.cell.state.late_jobs(), [])
        self.scene.fold(Submitted(self.spec))
        self.scene.beat(NOW_MS + KEEP_MS // 2)
        self.assertEqual(self.scene.cell.state.late_jobs(), ['j'])
        self.scene.fold(Canceled('j', NOW_MS))
        self.assertEqual(self.scene.cell.state.late_jobs(), [])
        self.assertEqual(self.scene.cell.state.early_cancels, {})

    def test_only_the_newest_are_remembered(self) -> None:
        """Anybody may cancel any number of ids."""
        for number in range(MAX_EARLY_CANCELS):
            self.scene.fold(Canceled(f'{number:016x}', NOW_MS))
        known = self.scene.cell.state.early_cancels
        self.assertEqual(len(known), MAX_EARLY_CANCELS)
        self.assertNotIn('j', known)


class JobStateTest(unittest.TestCase):
    """States of jobs follow from the records."""

    def test_a_job_is_complete_once_every_task_is_done(self) -> None:
        """It needs the end of the last task, and of the right run."""
        scene = Scene(job_spec('j', BULK, task(count=2)))
        job = scene.job()
        self.assertIs(job.state, JobState.QUEUED)
        for ordinal in (0, 1):
            scene.start(UnitId('j', 0, 0, ordinal), 'r')
        self.assertIs(job.state, JobState.ACTIVE)
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        self.assertIs(job.state, JobState.ACTIVE)
        scene.end(TaskId('j', 0, 0, 1), 'r', Ending.DONE)
        self.assertIs(job.state, JobState.COMPLETE)

    def test_one_done_end_represents_a_gang(self) -> None:
        """The other members stay open until their own ends are recorded."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'r', 's')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        self.assertIs(scene.job().state, JobState.COMPLETE)
        self.assertEqual(len(scene.cell.runs_on('s')), 1)

    def test_a_gang_that_fails_counts_one_attempt(self) -> None:
        """Two failed members of one run count as one failure."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'r', 's')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.FAILED)
        scene.end(TaskId('j', 0, 0, 1), 's', Ending.FAILED)
        job = scene.job()
        self.assertIs(job.state, JobState.ACTIVE)
        scene.start(UnitId('j', 0, 0, GANG_ORDINAL), 'r', 's', run=2)
        scene.end(TaskId('j', 0, 0, 1), 's', Ending.FAILED, run=2)
        self.assertIs(job.state, JobState.FAILED)

    def test_stops_and_lapses_are_no_attempts(self) -> None:
        """Only ends with a failure use up attempts."""
        scene = Scene(job_spec('j', BATCH, task()))
        for run, ending in enumerate(
            (Ending.STOPPED, Ending.LAPSED, Ending.BROKEN, Ending.ALONE), 1
        ):
            scene.start(UnitId('j', 0, 0, 0), 'r', run=run)
            scene.end(TaskId('j', 0, 0, 0), 'r', ending, run=run)
        self.assertIs(scene.job().state, JobState.ACTIVE)

    def test_a_lasting_task_never_completes_its_job(self) -> None:
        """It starts again, however it ended."""
        scene = Scene(job_spec('j', BATCH, task(lasting=True)))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        self.assertIs(scene.job().state, JobState.ACTIVE)

    def test_a_final_state_stays(self) -> None:
        """A canceled job does not become complete later, nor the reverse."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.fold(Canceled('j', NOW_MS))
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        self.assertIs(scene.job().state, JobState.CANCELED)

    def test_a_job_that_is_submitted_again_stays_as_it_is(self) -> None:
        """The first record counts; repeated submissions change nothing."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.fold(Submitted(job_spec('j', BULK, task(count=9))))
        job = scene.job()
        self.assertEqual(job.spec.terms, BATCH)

    def test_finished_jobs_are_forgotten_after_a_while(self) -> None:
        """They are kept for the whole retention time."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.fold(Canceled('j', NOW_MS))
        scene.beat(NOW_MS + KEEP_MS)
        self.assertIn('j', scene.cell.state.jobs)
        scene.beat(NOW_MS + KEEP_MS + 1)
        self.assertNotIn('j', scene.cell.state.jobs)

    def test_only_jobs_that_have_not_begun_are_waiting(self) -> None:
        """Jobs are counted by queue."""
        scene = Scene(
            job_spec('a', BATCH, task()),
            job_spec('b', BATCH, task()),
            job_spec('c', BULK, task()),
        )
        scene.start(UnitId('a', 0, 0, 0), 'r')
        self.assertEqual(count_waiting(scene.cell.state, 'batch'), 1)

    def test_a_start_decided_before_a_late_done_end_changes_nothing(
        self,
    ) -> None:
        """The late end of a run that vanished may precede the next start."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.fold(Vanished(1, TaskId('j', 0, 0, 0), 1, 'r', 'test'))
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
        scene.start(UnitId('j', 0, 0, 0), 's', run=2)
        self.assertIs(scene.job().state, JobState.COMPLETE)
        self.assertEqual(scene.cell.runs_on('s'), [])

    def test_a_run_that_vanished_leaves_its_checkpoint(self) -> None:
        """The next run resumes from its last checkpoint that was seen."""
        scene = Scene(job_spec('j', BATCH, task(checkpointing=True)))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        vanished = Vanished(1, TaskId('j', 0, 0, 0), 1, 'r', 'test', 'saved')
        scene.fold(vanished, vanished._replace(checkpoint='late'))
        unit = scene.job().find_unit(UnitId('j', 0, 0, 0))
        assert unit is not None
        self.assertEqual(unit.checkpoint, 'saved')


class EpochTest(unittest.TestCase):
    """Only records of the newest holder take effect."""

    def test_the_first_claim_of_an_epoch_wins(self) -> None:
        """A second claim of the same epoch changes nothing."""
        scene = Scene()
        scene.fold(Claimed(2, 'first', NOW_MS), Claimed(2, 'second', NOW_MS))
        self.assertEqual(scene.cell.state.holder, 'first')

    def test_records_of_a_deposed_holder_are_passed_over(self) -> None:
        """Its starts, ends and releases have no effect."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.fold(Claimed(2, 'other', NOW_MS))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.fold(Released(1))
        self.assertEqual(scene.cell.runs_on('r'), [])
        self.assertEqual(scene.cell.state.holder, 'other')

    def test_runs_stay_open_over_a_takeover(self) -> None:
        """The next holder closes them with records of its own."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.fold(Claimed(2, 'other', NOW_MS))
        self.assertEqual(len(scene.cell.runs_on('r')), 1)
        scene.fold(Vanished(2, TaskId('j', 0, 0, 0), 1, 'r', 'test'))
        self.assertEqual(scene.cell.runs_on('r'), [])

    def test_a_decision_that_was_made_twice_holds_as_it_was_first(
        self,
    ) -> None:
        """Guards against a task that runs twice.

        If the reply to an append is lost, the decision is made again, and the
        run of the first one would be forgotten on its runner.
        """
        scene = Scene(job_spec('j', BULK, task()))
        unit = UnitId('j', 0, 0, 0)
        for runner in ('r', 's'):
            placed = (Placement(0, runner),)
            scene.fold(Started(1, unit, 1, '', placed, NOW_MS))
        self.assertEqual(len(scene.cell.runs_on('r')), 1)
        self.assertEqual(scene.cell.runs_on('s'), [])

    def test_an_end_is_folded_once(self) -> None:
        """A repeated end is recognized by its number at the runner."""
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'r')
        scene.end(TaskId('j', 0, 0, 0), 'r', Ending.FAILED)
        unit = scene.job().find_unit(UnitId('j', 0, 0, 0))
        again = Scene.end
        scene._numbers['r'] = 0
        again(scene, TaskId('j', 0, 0, 0), 'r', Ending.FAILED)
        self.assertIsNotNone(unit)
        self.assertEqual(unit.failures if unit else 0, 1)


class EncodingTest(unittest.TestCase):
    """Encoding and decoding preserve records."""

    def test_records_come_back_as_they_were(self) -> None:
        """Also nested named tuples, enumerations and defaults."""
        spec = job_spec('j', BATCH, gang(3), task(depends_on=(0,)))
        unit = UnitId('j', 0, 0, GANG_ORDINAL)
        for record in (
            Submitted(spec),
            Started(4, unit, 2, 'c', (), NOW_MS),
            Vanished(4, TaskId('j', 0, 1, 0), 1, 'r', 'why'),
        ):
            self.assertEqual(decode_record(encode_record(record)), record)
