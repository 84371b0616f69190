"""Tests of the circuit breakers of runners: suspicion, pauses and trials."""

import unittest
from collections.abc import Sequence

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.breakers import (
    MAX_EXCLUDED_SHARE,
    MAX_SUSPICION,
    STRIKE_EXPIRY_MS,
    Breakers,
    readmit_runners,
)
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.past_runs import PastRun, RunnerFacts
from swifthoist_engine.records import (
    Belated,
    Claimed,
    Doubt,
    Ended,
    Ending,
    RunnerDoubted,
    RunnerGone,
)
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.snapshots import encode_head, restore, take_snapshot
from tests.engine.scenes import (
    BATCH,
    BULK,
    NOW_MS,
    URGENT,
    WHOLE_RUNNER,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)


def _open_run(job: JobId, runner: RunnerId, began_ms: Millis) -> OpenRun:
    return OpenRun(TaskId(job, 0, 0, 0), 1, runner, 1, began_ms)


def _past_run(
    ending: Ending,
    runner: RunnerId,
    job: JobId,
    at_ms: Millis,
    began_ms: Millis,
) -> PastRun:
    spec = job_spec(job, BULK, task())
    run = _open_run(job, runner, began_ms)
    facts = RunnerFacts()
    return PastRun(
        Job(spec), spec.steps[0], run, ending, at_ms, facts, (run,), (facts,)
    )


class _BreakersFixture:
    """Breakers, with shortcuts to record ends of runs."""

    def __init__(self) -> None:
        self.breakers = Breakers()

    def fail(
        self, runner: RunnerId, *jobs: JobId, at_ms: Millis = NOW_MS
    ) -> None:
        """Record a failed task of each job."""
        for job in jobs:
            past = _past_run(Ending.FAILED, runner, job, at_ms, at_ms - 100)
            self.breakers.observe(past)

    def done(self, runner: RunnerId, job: JobId, began_ms: Millis) -> None:
        """Record a task that was done after 1 s."""
        at_ms = began_ms + 1_000
        self.breakers.observe(
            _past_run(Ending.DONE, runner, job, at_ms, began_ms)
        )

    def doubt(self, runner: RunnerId, job: JobId, doubt: Doubt) -> None:
        """Record that the holder doubts a runner."""
        record = RunnerDoubted(1, runner, job, doubt, NOW_MS)
        self.breakers.observe_doubt(record)

    def suspicion(self, now_ms: Millis = NOW_MS) -> int:
        """Return the suspicion of the runner ``r``."""
        return self.breakers.suspicion('r', now_ms)

    def trials(
        self, now_ms: Millis, runs: Sequence[OpenRun] = ()
    ) -> int | None:
        """Return how many trials it may get; None is unlimited."""
        return self.breakers.trials('r', now_ms, runs)


class SuspicionTest(unittest.TestCase):
    """Runners on which several jobs fail are used last."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.scene = _BreakersFixture()

    def test_failures_of_several_jobs_add_up(self) -> None:
        """Those of one job count once, as the job may be the cause."""
        self.scene.fail('r', 'one', 'one', 'one')
        self.assertEqual(self.scene.suspicion(), 1)
        self.scene.fail('r', 'two')
        self.assertEqual(self.scene.suspicion(), 2)

    def test_a_success_clears_a_runner(self) -> None:
        """A success shows that the runner works."""
        self.scene.doubt('r', 'one', Doubt.HANG)
        self.assertGreater(self.scene.suspicion(), 1)
        self.scene.done('r', 'two', NOW_MS + 1)
        self.assertEqual(self.scene.suspicion(), 0)

    def test_a_run_that_began_before_a_failure_does_not_clear_a_runner(
        self,
    ) -> None:
        """A runner that fails new tasks may still complete older ones."""
        self.scene.fail('r', 'one')
        self.scene.done('r', 'two', NOW_MS - 1)
        self.assertEqual(self.scene.suspicion(), 1)

    def test_a_job_that_fails_everywhere_says_nothing_about_runners(
        self,
    ) -> None:
        """Otherwise two such jobs would put all runners out of use."""
        for runner in 'rstu':
            self.scene.fail(runner, 'one')
        self.assertEqual(self.scene.suspicion(), 0)

    def test_a_job_of_which_a_task_was_done_counts_on(self) -> None:
        """A success rules the job out as the cause of its failures."""
        for runner in 'rstu':
            self.scene.fail(runner, 'one')
        self.scene.done('v', 'one', NOW_MS)
        self.assertEqual(self.scene.suspicion(), 1)

    def test_evidence_grows_old(self) -> None:
        """Faults may be temporary, so a runner must come back into use."""
        self.scene.fail('r', *'abcdef')
        self.assertEqual(self.scene.suspicion(), MAX_SUSPICION)
        self.assertEqual(self.scene.suspicion(NOW_MS + STRIKE_EXPIRY_MS), 0)

    def test_runners_that_fall_silent_again_and_again_are_doubted_each(
        self,
    ) -> None:
        """No job can be the cause, so the number of runners is irrelevant."""
        for runner in 'rstu':
            self.scene.doubt(runner, '', Doubt.FLAPPING)
        self.assertEqual(self.scene.suspicion(), 2)

    def test_what_is_remembered_is_bounded(self) -> None:
        """Memory stays bounded with jobs and runners that never return."""
        for number in range(12_000):
            self.scene.fail(f'r-{number}', f'j-{number}', 'k', 'k')
        for number in range(100):
            self.scene.fail('r', f'j-{number}')
        breakers = self.scene.breakers
        self.assertLessEqual(len(breakers.strikes), 10_000)
        self.assertLessEqual(len(breakers.struck), 1_000)
        self.assertLessEqual(len(breakers.strikes['r']), 8)
        self.assertLessEqual(max(map(len, breakers.struck.values())), 3)


class BreakerTest(unittest.TestCase):
    """A doubted runner is paused, gets trials, and comes back into use."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.scene = _BreakersFixture()

    def test_a_runner_with_one_unlucky_task_is_back_within_two_seconds(
        self,
    ) -> None:
        """After 2 s without a successful run, and at once with one."""
        self.scene.fail('r', 'one')
        self.assertEqual(self.scene.trials(NOW_MS), 0)
        self.assertIsNone(self.scene.trials(NOW_MS + 2_000))
        self.scene.done('r', 'two', NOW_MS + 1)
        self.assertIsNone(self.scene.trials(NOW_MS + 1))

    def test_no_more_than_two_failures_a_second_are_spent_on_a_runner(
        self,
    ) -> None:
        """Also if the runner fails everything at once, with 1 or 8 jobs."""
        for jobs in (('one',), tuple('abcdefgh')):
            self.scene = _BreakersFixture()
            self.scene.fail('r', jobs[0])
            failed_at_ms: list[int] = []
            for now_ms in range(NOW_MS, NOW_MS + 6_500, 10):
                if self.scene.trials(now_ms) != 0:
                    self.scene.fail(
                        'r',
                        jobs[len(failed_at_ms) % 8 % len(jobs)],
                        at_ms=now_ms,
                    )
                    failed_at_ms.append(now_ms)
            for at_ms in failed_at_ms:
                within_a_second = [
                    it for it in failed_at_ms if at_ms <= it < at_ms + 1_000
                ]
                self.assertLessEqual(len(within_a_second), 2)
        self.assertLessEqual(len(failed_at_ms), 5)

    def test_one_trial_is_under_way_at_a_time(self) -> None:
        """A run that began before the failure does not count as a trial."""
        self.scene.fail('r', 'one', 'two')
        later = NOW_MS + 1_500
        old = _open_run('a', 'r', NOW_MS - 1)
        self.assertEqual(self.scene.trials(later, [old]), 1)
        trial = _open_run('b', 'r', NOW_MS + 1_100)
        self.assertEqual(self.scene.trials(later, [old, trial]), 0)

    def test_an_end_read_late_counts_only_if_its_run_is_young(self) -> None:
        """Otherwise a fault long past would pause runners after an outage."""
        scene = Scene(job_spec('j', BULK, task(count=2)))
        old_ms, late_ms = NOW_MS + 100, NOW_MS + 8_000
        for at, (runner, began_ms) in enumerate(
            (('r', old_ms), ('s', late_ms - 500))
        ):
            scene.start(UnitId('j', 0, 0, at), runner, at_ms=began_ms)
            ended = TaskId('j', 0, 0, at)
            scene.fold(
                Belated(1, runner, 1),
                Ended(1, runner, 1, ended, 1, Ending.FAILED, '', late_ms),
            )
        breakers = scene.cell.state.experience.breakers
        self.assertEqual(breakers.doubted(late_ms), ['s'])
        scene.fold(RunnerGone(1, 's'))
        self.assertEqual(breakers.doubted(late_ms), [])

    def test_never_so_many_are_shut_that_the_rest_cannot_carry_the_load(
        self,
    ) -> None:
        """The least suspect runners are readmitted, as far as needed."""
        views = [view(number, suspicion=1, trials=0) for number in range(8)]
        views[5] = views[5]._replace(suspicion=3)
        readmitted = readmit_runners(views, 0)
        excluded = [it.runner for it in readmitted if it.trials is not None]
        self.assertEqual(len(excluded), 8 * MAX_EXCLUDED_SHARE)
        self.assertIn('runner-5', excluded)
        promised = 8 * 7
        excluded = [
            it for it in readmit_runners(views, promised) if it.trials == 0
        ]
        self.assertEqual([it.runner for it in excluded], ['runner-5'])


class TrialTest(unittest.TestCase):
    """Only tasks that can afford a failure are used as trials."""

    def setUp(self) -> None:
        """Make a suspect runner that may get one trial."""
        self.views = [view(0, suspicion=2, trials=1)]

    def test_one_task_tries_a_runner(self) -> None:
        """It gets one task of a step, and none while it is paused."""
        scene = Scene(job_spec('k', BULK, task(count=8)))
        self.assertEqual(len(scene.decide(self.views).starts), 1)
        paused = [self.views[0]._replace(trials=0)]
        self.assertEqual(scene.decide(paused).starts, ())

    def test_neither_gangs_nor_urgent_tasks_try_a_runner(self) -> None:
        """They go to other runners, or wait up to 2 s, as last attempts do."""
        specs = (
            job_spec('g', BATCH, gang(1)),
            job_spec('u', URGENT, task(WHOLE_RUNNER)),
        )
        for spec in specs:
            scene = Scene(spec)
            self.assertEqual(scene.decide(self.views).starts, ())
            decision = scene.decide([*self.views, view(1)])
            self.assertEqual(
                list(runners_by_unit(decision).values()), [['runner-1']]
            )
            later = scene.decide(self.views, now_ms=NOW_MS + 2_100)
            self.assertEqual(len(later.starts), 1)

    def test_a_switch_leaves_decisions_as_they_were(self) -> None:
        """It turns the breaker off, so that its effect can be measured."""
        without = DEFAULT_MECHANISMS._replace(breaker=False)
        scene = Scene(job_spec('u', URGENT, task(WHOLE_RUNNER)))
        decision = scene.decide(self.views, mechanisms=without)
        self.assertEqual(len(decision.starts), 1)


class TakeoverTest(unittest.TestCase):
    """A new holder decides as the former one would have."""

    def test_the_fold_and_a_snapshot_keep_what_speaks_against_runners(
        self,
    ) -> None:
        """Guards against jobs that fail on runners known to be bad before."""
        scene = Scene(
            job_spec('a', BULK, task(count=2)),
            job_spec('b', BULK, task(count=2)),
            job_spec('g', BATCH, gang(1)),
        )
        for job in 'ab':
            scene.start(UnitId(job, 0, 0, 0), 'runner-0')
            scene.end(TaskId(job, 0, 0, 0), 'runner-0', Ending.FAILED)
        scene.fold(RunnerDoubted(1, 'runner-1', 'a', Doubt.HANG, NOW_MS))
        snapshot = take_snapshot(scene.cell.state, 1, 0, 10_000)
        contents = {
            **snapshot.chunks,
            'snapshot/head': encode_head(snapshot.head),
        }
        restored = restore(contents)
        assert restored is not None
        before = _views(scene.cell)
        self.assertEqual([it.trials for it in before], [0, 0, None])
        expected = scene.decide(before)
        self.assertEqual(
            runners_by_unit(expected)[UnitId('g', 0, 0, -1)], ['runner-2']
        )
        scene.fold(Claimed(2, 'next', NOW_MS))
        self.assertEqual(_views(scene.cell), before)
        scene.cell = Cell(60_000, restored.state)
        self.assertEqual(_views(scene.cell), before)
        self.assertEqual(
            runners_by_unit(scene.decide(before)), runners_by_unit(expected)
        )


def _views(cell: Cell) -> list[RunnerView]:
    """Make views of three runners, with suspicion and trials of the cell."""
    breakers = cell.state.experience.breakers
    now_ms = cell.state.time_ms
    return [
        view(
            number,
            suspicion=breakers.suspicion(name, now_ms),
            trials=breakers.trials(name, now_ms, cell.runs_on(name)),
        )
        for number in range(3)
        for name in (f'runner-{number}',)
    ]
