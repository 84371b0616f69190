"""Tests that decisions and the fold contain faults of the program itself."""

import unittest
from collections.abc import Callable, Iterator
from unittest.mock import patch

from swifthoist_engine import cell, fleet, preemption, queueing, stops
from swifthoist_engine.account import Account
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.catalogue import Catalogue, Team
from swifthoist_engine.cell import Cell
from swifthoist_engine.experience import Experience
from swifthoist_engine.faults import FaultSource
from swifthoist_engine.jobs import Job
from swifthoist_engine.model import GANG_ORDINAL, TaskId, UnitId
from swifthoist_engine.placing import Placer
from swifthoist_engine.planner import MAX_ATTEMPTS, Decision
from swifthoist_engine.records import Canceled, Ending, Vanished
from swifthoist_engine.run_index import RunIndex
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from tests.engine.scenes import (
    BATCH,
    BULK,
    CATALOGUE,
    KEEP_MS,
    NOW_MS,
    URGENT,
    WHOLE_RUNNER,
    Scene,
    failing,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)


def fault_subjects(decision: Decision) -> list[tuple[FaultSource, str]]:
    """List the kind and name of what a decision failed on."""
    return [(fault.kind, fault.name) for fault in decision.faults]


class JobFaultTest(unittest.TestCase):
    """A job on which a decision fails does not hold up other jobs."""

    def test_others_start(self) -> None:
        """Jobs before and after it in the order start."""
        scene = Scene(
            job_spec('a', BATCH, task()),
            job_spec('bad', BATCH, task()),
            job_spec('c', BATCH, task()),
        )
        broken = failing(Placer.place, lambda _, it: it.unit.job == 'bad')
        with patch.object(Placer, 'place', broken):
            decision = scene.decide([view(0)])
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'a', 'c'}
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'bad')])
        self.assertIsInstance(decision.faults[0].error, ValueError)

    def test_half_a_gang_takes_no_room(self) -> None:
        """Guards against phantom tasks in the capacity plan of other jobs."""
        scene = Scene(
            job_spec('bad', URGENT, gang(2)),
            job_spec('good', URGENT, gang(2, estimate_ms=2_000)),
        )
        placed_on: list[str] = []

        def fails(
            _: CapacityPlan, waiting: queueing.PendingUnit, runner: str
        ) -> bool:
            if waiting.unit.job == 'bad':
                placed_on.append(runner)
            return waiting.unit.job == 'bad' and len(placed_on) == 2

        with patch.object(
            CapacityPlan, 'put', failing(CapacityPlan.put, fails)
        ):
            decision = scene.decide([view(0), view(1)])
        self.assertEqual(len(placed_on), 2)
        self.assertEqual(
            runners_by_unit(decision),
            {UnitId('good', 0, 0, GANG_ORDINAL): ['runner-0', 'runner-1']},
        )

    def test_half_a_preemption_stops_nothing(self) -> None:
        """The room that it took in the capacity plan is given back."""
        scene = Scene(
            job_spec('old', BULK, task(WHOLE_RUNNER)),
            job_spec('bad', URGENT, task(WHOLE_RUNNER)),
        )
        scene.start(UnitId('old', 0, 0, 0), 'runner-0')
        broken = failing(
            CapacityPlan.put, lambda *args: args[1].unit.job == 'bad'
        )
        with patch.object(CapacityPlan, 'put', broken):
            decision = scene.decide([view(0)])
        self.assertEqual(decision.stops, ())
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'bad')])

    def test_a_job_that_can_not_be_listed_stays_to_be_decided_on(self) -> None:
        """Guards against a job that no later decision looks at."""
        scene = Scene(
            job_spec('bad', BATCH, task()), job_spec('good', BATCH, task())
        )
        broken = failing(queueing._of_job, lambda job, *_: job.job == 'bad')
        with patch.object(queueing, '_of_job', broken):
            decision = scene.decide([view(0)])
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'good'}
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'bad')])
        again = scene.decide([view(0)])
        self.assertIn('bad', {unit.job for unit in runners_by_unit(again)})

    def test_a_job_that_fails_half_way_through_its_units(self) -> None:
        """None of its units is started."""
        scene = Scene(job_spec('bad', BATCH, task(), task()))

        def fail_after_one(*_: object) -> Iterator[queueing.PendingUnit]:
            yield from list(of_job(*_))[:1]
            raise ValueError('a fault')

        of_job = queueing._of_job
        with patch.object(queueing, '_of_job', fail_after_one):
            decision = scene.decide([view(0)])
        self.assertEqual(decision.starts, ())

    def test_a_job_that_is_set_aside_is_left_out(self) -> None:
        """It stays dirty, and its unwanted runs are stopped."""
        scene = Scene(
            job_spec('bad', BATCH, gang(2)), job_spec('good', BATCH, task())
        )
        views = [view(0), view(1)]
        excluded_jobs = frozenset(('bad',))
        decision = scene.decide(views, excluded_jobs=excluded_jobs)
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'good'}
        )
        self.assertIn('bad', scene.cell.dirty)
        unit = UnitId('bad', 0, 0, GANG_ORDINAL)
        scene.start(unit, 'runner-0', 'runner-1')
        scene.end(TaskId('bad', 0, 0, 0), 'runner-0', Ending.LAPSED)
        stops = scene.decide(views, excluded_jobs=excluded_jobs).stops
        self.assertEqual([stop.run.runner for stop in stops], ['runner-1'])

    def test_cancels_take_effect(self) -> None:
        """Runs of the failing job and of other jobs are stopped."""
        scene = Scene(
            job_spec('bad', BATCH, task()),
            job_spec('good', BATCH, task()),
            job_spec('worse', BATCH, task()),
        )
        for name in ('bad', 'good', 'worse'):
            scene.start(UnitId(name, 0, 0, 0), 'runner-0')
            scene.fold(Canceled(name, NOW_MS))
        broken = failing(queueing._of_job, lambda job, *_: job.job == 'bad')
        unknown = failing(
            stops._why_unwanted, lambda job, *_: job.job == 'worse'
        )
        with (
            patch.object(queueing, '_of_job', broken),
            patch.object(stops, '_why_unwanted', unknown),
        ):
            decision = scene.decide([view(0)])
        self.assertEqual(
            [stop.run.task.job for stop in decision.stops], ['bad', 'good']
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'worse')])

    def test_a_decision_ends_whatever_fails(self) -> None:
        """If all attempts fail it starts nothing, but still stops runs."""
        scene = Scene(
            *(
                job_spec(f'j{number}', BATCH, task(checkpointing=True))
                for number in range(9)
            ),
            job_spec('old', BATCH, task()),
        )
        scene.start(UnitId('old', 0, 0, 0), 'runner-0')
        scene.fold(Canceled('old', NOW_MS))
        failed_plans: list[CapacityPlan] = []

        def place(placer: Placer, _: queueing.PendingUnit) -> None:
            if any(capacity is placer.capacity for capacity in failed_plans):
                return
            failed_plans.append(placer.capacity)
            raise ValueError('one more')

        with patch.object(Placer, 'place', place):
            decision = scene.decide([])
        self.assertEqual(len(decision.stops), 1)
        self.assertEqual(decision.starts, ())
        self.assertEqual(len(decision.faults), MAX_ATTEMPTS)


class RunFaultTest(unittest.TestCase):
    """A running job on which decisions about other jobs fail is blamed."""

    def _scene(self) -> Scene:
        scene = Scene(
            job_spec('bad', BULK, task(WHOLE_RUNNER)),
            job_spec('old', BULK, task(WHOLE_RUNNER)),
            job_spec('u', URGENT, task(WHOLE_RUNNER)),
        )
        scene.start(UnitId('bad', 0, 0, 0), 'runner-0', at_ms=NOW_MS - 100)
        scene.start(UnitId('old', 0, 0, 0), 'runner-1', at_ms=NOW_MS - 900)
        return scene

    def test_a_run_that_can_not_be_weighed_is_no_victim(self) -> None:
        """Other runs are stopped for urgent jobs."""
        scene = self._scene()
        broken = failing(
            preemption.Preemption._loss,
            lambda _, share: share.run.task.job == 'bad',
        )
        with patch.object(preemption.Preemption, '_loss', broken):
            decision = scene.decide([view(0), view(1)])
        self.assertEqual(
            [stop.run.task.job for stop in decision.stops], ['old']
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'bad')])

    def test_no_room_is_kept_behind_a_run_that_can_not_be_judged(self) -> None:
        """Room is reserved where other runs are expected to end."""
        scene = Scene(
            job_spec('bad', BULK, task(WHOLE_RUNNER)),
            job_spec('old', BULK, task(WHOLE_RUNNER)),
            job_spec('g', BATCH, gang(2), accepted_ms=NOW_MS - 5_000),
            job_spec('s', BULK, task()),
        )
        scene.start(UnitId('bad', 0, 0, 0), 'runner-0')
        scene.start(UnitId('old', 0, 0, 0), 'runner-1')
        broken = failing(
            CapacityPlan.expected_end,
            lambda _, share: share.run.task.job == 'bad',
        )
        with patch.object(CapacityPlan, 'expected_end', broken):
            decision = scene.decide([view(0), view(1), view(2, rack=1)])
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'s'}
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'bad')])

    def test_a_run_on_a_draining_runner_keeps_no_other_there(self) -> None:
        """Other tasks with checkpoints still leave in time."""
        scene = Scene(
            job_spec('bad', BATCH, task(checkpointing=True)),
            job_spec('good', BATCH, task(checkpointing=True)),
        )
        for name in ('bad', 'good'):
            scene.start(UnitId(name, 0, 0, 0), 'runner-0')
        broken = failing(
            stops._leaves_early, lambda *args: args[1].task.job == 'bad'
        )
        with patch.object(stops, '_leaves_early', broken):
            decision = scene.decide([view(0, leaving_ms=500)])
        self.assertEqual(
            [stop.run.task.job for stop in decision.stops], ['good']
        )


class RunnerFaultTest(unittest.TestCase):
    """A runner on which a decision fails is left out; no job is blamed."""

    def test_others_are_used(self) -> None:
        """All jobs start on the remaining runners."""
        scene = Scene(*(job_spec(name, BATCH, task()) for name in 'abc'))
        odd = view(0, labels=frozenset(('odd',)))
        broken = failing(fleet._may_run, lambda _, it: 'odd' in it.labels)
        with patch.object(fleet, '_may_run', broken):
            decision = scene.decide([odd, view(1)])
        self.assertEqual(
            sorted(runners_by_unit(decision).items()),
            [(UnitId(name, 0, 0, 0), ['runner-1']) for name in 'abc'],
        )
        self.assertEqual(
            fault_subjects(decision), [(FaultSource.RUNNER, 'runner-0')]
        )

    def test_a_runner_that_can_not_be_counted_is_left_out(self) -> None:
        """It fails before any job is considered."""
        scene = Scene(job_spec('a', BATCH, task()))
        decision = scene.decide([view(0, room=None), view(1)])
        self.assertEqual(
            runners_by_unit(decision), {UnitId('a', 0, 0, 0): ['runner-1']}
        )
        self.assertEqual(
            fault_subjects(decision), [(FaultSource.RUNNER, 'runner-0')]
        )


class ConfigurationFaultTest(unittest.TestCase):
    """Entries of the configuration on which a decision fails."""

    def test_a_team_whose_guarantee_can_not_be_read(self) -> None:
        """It counts as a team without one; its jobs and others still start."""
        scene = Scene(
            job_spec('a', URGENT, task()),
            job_spec('b', URGENT, task())._replace(team='blue'),
        )
        broken = failing(Catalogue.guaranteed, lambda _, team: team == 'blue')
        with patch.object(Catalogue, 'guaranteed', broken):
            decision = scene.decide([view(0)])
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'a', 'b'}
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.TEAM, 'blue')])

    def test_a_queue_that_can_not_be_read(self) -> None:
        """It holds up its own jobs only."""
        scene = Scene(job_spec('a', BATCH, task()), job_spec('b', BULK, task()))
        broken = failing(Catalogue.queue_named, lambda _, name: name == 'bulk')
        with patch.object(Catalogue, 'queue_named', broken):
            decision = scene.decide([view(0)])
        self.assertEqual(
            {unit.job for unit in runners_by_unit(decision)}, {'a'}
        )
        self.assertEqual(fault_subjects(decision), [(FaultSource.JOB, 'b')])

    def test_a_team_with_an_odd_entry(self) -> None:
        """A guarantee that can't be compared counts as none."""
        odd = Team('blue', frozenset(), None)  # type: ignore[arg-type]
        catalogue = Catalogue(2, CATALOGUE.queues, (odd,), 1_000)
        scene = Scene(job_spec('b', URGENT, task())._replace(team='blue'))
        decision = scene.decide([view(0)], catalogue=catalogue)
        self.assertEqual(len(decision.starts), 1)
        self.assertEqual(fault_subjects(decision), [(FaultSource.TEAM, 'blue')])


class FoldFaultTest(unittest.TestCase):
    """Records whose folding fails, midway or from the start."""

    def test_an_end_counts_though_it_can_not_be_accounted_for(self) -> None:
        """Guards against a task that runs again after it was done.

        The account can not represent the time of an earlier record.
        """
        scene = Scene(job_spec('j', BATCH, task()))
        scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        scene.beat(10**16)
        with self.assertRaises(ValueError):
            scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.DONE)
        self.assertTrue(scene.job().complete)
        later = scene.decide([view(0)], now_ms=NOW_MS + 1_000)
        self.assertEqual((later.starts, later.stops), ((), ()))

    def test_failures_count_though_the_account_fails(self) -> None:
        """Otherwise the attempts of a job would never be used up."""
        scene = Scene(job_spec('j', BATCH, task()))
        broken = failing(Account.add_run, lambda *_: True)
        with patch.object(Account, 'add_run', broken):
            for run in range(1, BATCH.max_attempts + 1):
                scene.start(UnitId('j', 0, 0, 0), 'runner-0', run=run)
                with self.assertRaises(ValueError):
                    scene.end(
                        TaskId('j', 0, 0, 0), 'runner-0', Ending.FAILED, run
                    )
        self.assertTrue(scene.job().failed)

    def test_a_start_of_no_known_step_changes_nothing(self) -> None:
        """Guards against a snapshot from which no instance can start."""
        scene = Scene(job_spec('j', BATCH, task()))
        with self.assertRaises(IndexError):
            scene.start(UnitId('j', 0, 7, 0), 'runner-0')
        self.assertEqual(scene.job().units, {})
        self.assertEqual(list(scene.job().open_runs()), [])
        self._assert_equals_restored(scene.cell)

    def test_what_a_run_takes_is_known_wherever_the_fold_fails(self) -> None:
        """The cell equals one restored from its snapshot, and can decide."""
        steps = (
            (RunIndex, 'add'),
            (RunIndex, 'remove'),
            (RunIndex, 'mark_unsent'),
            (Account, 'add_wait'),
            (Account, 'add_run'),
            (Account, 'add_finish'),
            (Job, 'all_done'),
            (cell, 'update_job_outcome'),
            (Experience, 'observe'),
        )
        for owner, name in steps:
            for failing_call in range(1, 4):
                with self.subTest(step=name, call=failing_call):
                    self._check_with_failure(owner, name, failing_call)

    def _check_with_failure(
        self, owner: object, name: str, failing_call: int
    ) -> None:
        calls: list[int] = []

        def fails(*_: object) -> bool:
            calls.append(1)
            return len(calls) == failing_call

        scene = Scene(
            job_spec('g', BATCH, gang(2), task(depends_on=(0,))),
            job_spec('j', BATCH, task(count=2)),
        )
        gang_unit = UnitId('g', 0, 0, GANG_ORDINAL)
        actions = (
            lambda: scene.start(gang_unit, 'runner-0', 'runner-1'),
            lambda: scene.start(UnitId('j', 0, 0, 0), 'runner-2'),
            lambda: scene.start(UnitId('j', 0, 0, 1), 'runner-2'),
            lambda: scene.end(TaskId('j', 0, 0, 0), 'runner-2', Ending.FAILED),
            lambda: scene.end(TaskId('g', 0, 0, 0), 'runner-0', Ending.DONE),
            lambda: scene.fold(
                Vanished(1, TaskId('g', 0, 0, 1), 1, 'runner-1', 'lost')
            ),
            lambda: scene.end(TaskId('j', 0, 0, 1), 'runner-2', Ending.DONE),
            lambda: scene.fold(Canceled('j', NOW_MS)),
        )
        with patch.object(owner, name, failing(getattr(owner, name), fails)):
            faults = sum(self._fails(action) for action in actions)
        self.assertLessEqual(faults, 1)
        self.assertFalse(scene.cell.find_run(TaskId('g', 0, 0, 0), 1))
        self._assert_equals_restored(scene.cell)
        views = [view(number) for number in range(3)]
        decision = scene.decide(views, now_ms=NOW_MS + 5_000)
        self.assertEqual(decision.faults, ())
        self.assertNotIn(gang_unit, runners_by_unit(decision))

    def _fails(self, action: Callable[[], None]) -> bool:
        try:
            action()
        except ValueError:
            return True
        return False

    def _assert_equals_restored(self, original: Cell) -> None:
        snapshot = take_snapshot(original.state, 1, 0, 1_000_000)
        contents = {**snapshot.chunks, HEAD_KEY: encode_head(snapshot.head)}
        restored = restore(contents)
        self.assertEqual(restored.state, original.state)
        restored_cell = Cell(KEEP_MS, restored.state)
        for number in range(3):
            runner = f'runner-{number}'
            self.assertCountEqual(
                original.runs_on(runner), restored_cell.runs_on(runner)
            )
            self.assertEqual(
                original.runs.used_on(runner),
                restored_cell.runs.used_on(runner),
            )
        unsettled = {
            job.job
            for job in original.state.jobs.values()
            if not job.state.final
        }
        self.assertLessEqual(unsettled, original.dirty)
