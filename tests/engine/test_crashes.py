"""Tests of what is concluded from crashes of runners."""

import unittest

from swifthoist_engine.crash_records import (
    CrashWitnessed,
    RunnerCrashed,
)
from swifthoist_engine.crashes import MAX_CRASHES, MAX_UNREPORTED, Crash
from swifthoist_engine.isolation import (
    ISOLATION_WAIT_MS,
    PROBATION_MS,
    PROBATION_WAIT_MS,
)
from swifthoist_engine.jobs import JobState
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_engine.records import (
    Ending,
    HolderGeneration,
    Record,
    RunnerDescribed,
    Vanished,
)
from swifthoist_engine.suspects import CRASH_REASONS, give_up_records
from tests.engine.scenes import (
    BATCH,
    BULK,
    NOW_MS,
    URGENT,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

FIRST = TaskId('j', 0, 0, 0)
SECOND = TaskId('j', 0, 0, 1)
REASON = 'another life of the runner answers'


class CrashScene(Scene):
    """A scene whose holder reports crashes."""

    def __init__(self, *specs) -> None:
        """Claim the cell, tell the generation, and submit some jobs."""
        super().__init__(*specs)
        self.fold(HolderGeneration(1, 'me', 1))

    def crash(
        self,
        runner: str,
        *starting: tuple[TaskId, int],
        running: tuple[tuple[TaskId, int], ...] = (),
        certain: bool = True,
        witnessed: bool = True,
        machine: str = '',
        at_ms: int = NOW_MS,
    ) -> None:
        """Fold the crash of a runner, and the loss of its runs."""
        machine = machine or f'machine of {runner}'
        lost = (*starting, *running)
        self.fold(
            RunnerCrashed(1, runner, machine, starting, running, certain, at_ms)
        )
        if witnessed:
            seen, likely = (lost, ()) if certain else ((), lost)
            self.fold(CrashWitnessed(1, runner, seen, likely))
        for task_id, run in lost:
            self.fold(Vanished(1, task_id, run, runner, REASON))

    def start_and_crash(
        self,
        number: int,
        *tasks: TaskId,
        certain: bool = True,
        witnessed: bool = True,
        machine: str = '',
    ) -> None:
        """Start tasks on a runner of that number, which then crashes."""
        runner = f'runner-{number}'
        for task_id in tasks:
            self.start(UnitId(*task_id), runner, run=number)
        keys = ((task_id, number) for task_id in tasks)
        self.crash(
            runner,
            *keys,
            certain=certain,
            witnessed=witnessed,
            machine=machine,
        )

    def crashes(self, task_id: TaskId) -> list[Crash]:
        """List the crashes that count against a task."""
        job = self.job(task_id.job)
        unit = job.units[job.unit_of(task_id)[1:]]
        return unit.task_crashes.get(task_id.ordinal, [])

    @property
    def given_up(self) -> tuple[TaskId, ...]:
        """Tasks that the next decision gives up."""
        return self.decide([view(9)]).given_up


class EvidenceTest(unittest.TestCase):
    """A crash counts for more the fewer runs the runner was starting."""

    def setUp(self) -> None:
        """Submit a job of two tasks."""
        self.scene = CrashScene(job_spec('j', BATCH, task(count=2)))

    def test_two_crashes_by_starts_of_one_task_alone_suffice(self) -> None:
        """One crash does not."""
        self.scene.start_and_crash(1, FIRST)
        self.assertEqual(self.scene.given_up, ())
        self.scene.start_and_crash(2, FIRST)
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_a_crash_shared_with_others_is_told_apart_by_the_next(
        self,
    ) -> None:
        """The task that was started beside it is not given up."""
        self.scene.start_and_crash(1, FIRST, SECOND)
        self.scene.start_and_crash(2, FIRST)
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_tasks_that_always_crash_together_are_given_up_after_three(
        self,
    ) -> None:
        """Two crashes that both were part of tell nothing about either."""
        for number in (1, 2):
            self.scene.start_and_crash(number, FIRST, SECOND)
        self.assertEqual(self.scene.given_up, ())
        self.scene.start_and_crash(3, FIRST, SECOND)
        self.assertEqual(len(self.scene.given_up), 2)

    def test_runs_that_were_there_before_a_start_are_not_blamed(self) -> None:
        """Only where no start was in progress they are, and lightly."""
        self.scene.start(UnitId(*SECOND), 'runner-1')
        self.scene.start(UnitId(*FIRST), 'runner-1')
        self.scene.crash('runner-1', (FIRST, 1), running=((SECOND, 1),))
        self.assertEqual(self.scene.crashes(SECOND), [])
        for number in range(2, 2 + MAX_CRASHES):
            self.assertEqual(self.scene.given_up, ())
            self.scene.start(UnitId(*SECOND), f'runner-{number}', run=number)
            self.scene.crash(f'runner-{number}', running=((SECOND, number),))
        self.assertEqual(self.scene.given_up, (SECOND,))

    def test_a_run_that_outlasts_its_start_clears_its_unit(self) -> None:
        """A crash at its start before was not its doing."""
        self.scene.start_and_crash(1, FIRST)
        self.scene.start(UnitId(*FIRST), 'runner-2', run=2)
        self.scene.crash('runner-2', running=((FIRST, 2),))
        self.scene.start_and_crash(3, FIRST)
        self.assertEqual(self.scene.given_up, ())
        self.assertEqual(
            [it.weight for it in self.scene.crashes(FIRST)], [1, 1, 5]
        )

    def test_a_runner_that_may_be_unreachable_counts_less(self) -> None:
        """Two such losses don't suffice, three do."""
        for number in (1, 2):
            self.scene.start_and_crash(number, FIRST, certain=False)
        self.assertEqual(self.scene.given_up, ())
        self.scene.start_and_crash(3, FIRST, certain=False)
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_a_crash_that_is_recorded_twice_counts_once(self) -> None:
        """The run is closed by then."""
        self.scene.start_and_crash(1, FIRST)
        self.scene.crash('runner-1', (FIRST, 1))
        self.assertEqual(len(self.scene.crashes(FIRST)), 1)

    def test_a_rack_that_is_lost_under_a_gang_counts_once(self) -> None:
        """Several of its runners go down during one run."""
        scene = CrashScene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, -1), 'runner-1', 'runner-2')
        scene.crash('runner-1', (FIRST, 1))
        scene.crash('runner-2', (SECOND, 1))
        self.assertEqual([len(scene.crashes(FIRST))], [1])
        self.assertEqual([len(scene.crashes(SECOND))], [1])
        self.assertEqual(scene.given_up, ())

    def test_crashes_under_each_member_in_turn_fail_no_gang(self) -> None:
        """No member has lost more than one runner."""
        members = [TaskId('j', 0, 0, number) for number in range(8)]
        scene = CrashScene(job_spec('j', BATCH, gang(8)))
        for run, crashing in enumerate(members, 1):
            runners = [f'runner-{run}-{number}' for number in range(8)]
            scene.start(UnitId('j', 0, 0, -1), *runners, run=run)
            scene.crash(runners[crashing.ordinal], running=((crashing, run),))
            for task_id, runner in zip(members, runners, strict=True):
                if task_id != crashing:
                    scene.end(task_id, runner, Ending.BROKEN, run)
            self.assertEqual(scene.given_up, ())

    def test_crashes_at_starts_under_two_members_fail_no_gang(self) -> None:
        """Two runners that happen to go down as it starts are not its doing."""
        scene = CrashScene(job_spec('j', BATCH, gang(2)))
        for run, crashing in ((1, FIRST), (2, SECOND)):
            runners = (f'a-{run}', f'b-{run}')
            scene.start(UnitId('j', 0, 0, -1), *runners, run=run)
            scene.crash(runners[crashing.ordinal], (crashing, run))
            other = SECOND if crashing == FIRST else FIRST
            scene.end(other, runners[other.ordinal], Ending.BROKEN, run)
            self.assertEqual(scene.given_up, ())

    def test_a_member_that_crashes_its_runner_each_time_is_given_up(
        self,
    ) -> None:
        """Two starts suffice, as for a task by itself."""
        scene = CrashScene(job_spec('j', BATCH, gang(2)))
        for run in (1, 2):
            self.assertEqual(scene.given_up, ())
            runners = (f'a-{run}', f'b-{run}')
            scene.start(UnitId('j', 0, 0, -1), *runners, run=run)
            scene.crash(runners[1], (SECOND, run))
            scene.end(FIRST, runners[0], Ending.BROKEN, run)
        self.assertEqual(scene.given_up, (SECOND,))

    def test_runs_that_may_not_have_been_there_fail_no_task(self) -> None:
        """However often a runner is lost that only a record places them on."""
        for number in range(1, 3 * MAX_CRASHES):
            self.scene.start_and_crash(number, FIRST, witnessed=False)
            self.assertEqual(self.scene.given_up, ())
        for number in (100, 101):
            self.scene.start_and_crash(number, FIRST)
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_a_silent_loss_counts_once_the_machine_has_another_life(
        self,
    ) -> None:
        """Before that the runner may only be cut off."""
        for number in (1, 2, 3):
            runner, machine = f'runner-{number}', f'm{number}'
            self.scene.start(UnitId(*FIRST), runner, run=number)
            key = (FIRST, number)
            self.scene.fold(
                RunnerCrashed(
                    1, runner, machine, (key,), (), certain=False, at_ms=NOW_MS
                ),
                CrashWitnessed(1, runner, (), (), (key,)),
                Vanished(1, FIRST, number, runner, 'lease ended'),
            )
        self.assertEqual(self.scene.given_up, ())
        for number in (1, 2, 3):
            self.assertEqual(self.scene.given_up, ())
            facts = RunnerFacts(f'm{number}', 'rack-0', 'z', 'a')
            name = f'next-{number}'
            self.scene.fold(RunnerDescribed(1, name, *facts))
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_a_machine_that_crashes_again_and_again_weighs_once(self) -> None:
        """Until the task has taken as many runners as any may."""
        for number in range(1, MAX_CRASHES + 1):
            self.assertEqual(self.scene.given_up, ())
            self.scene.start_and_crash(number, FIRST, machine='one machine')
        self.assertEqual(self.scene.given_up, (FIRST,))

    def test_runners_that_crash_long_after_the_start_add_no_weight(
        self,
    ) -> None:
        """Two crashes at starts that others shared are still not enough."""
        for number in (1, 2):
            runner = f'runner-{number}'
            self.scene.start(UnitId(*FIRST), runner, run=number)
            self.scene.crash(runner, running=((FIRST, number),))
        for number in (3, 4):
            self.scene.start_and_crash(number, FIRST, certain=False)
            self.assertEqual(self.scene.given_up, ())

    def test_a_crash_of_a_runner_without_the_run_is_not_counted(self) -> None:
        """The record names a run that has started elsewhere since."""
        self.scene.start(UnitId(*FIRST), 'runner-1')
        self.scene.crash('runner-2', (FIRST, 1))
        self.assertEqual(self.scene.crashes(FIRST), [])

    def test_crashes_under_an_older_holder_count_lightly(self) -> None:
        """It starts suspects beside each other, so they convict nobody alone."""
        scene = Scene(job_spec('j', BATCH, task()))
        reason = next(iter(CRASH_REASONS))
        for number in range(1, 9):
            scene.start(UnitId(*FIRST), 'runner-1', run=number)
            scene.fold(Vanished(1, FIRST, number, 'runner-1', reason))
        crashes = scene.job().units[0, 0, 0].task_crashes
        self.assertEqual(len(crashes[0]), MAX_UNREPORTED)
        self.assertEqual(scene.decide([view(1)]).given_up, ())

    def test_a_gang_that_an_older_holder_loses_counts_once_a_run(self) -> None:
        """Each of its members is closed with the reason of a crash."""
        scene = Scene(job_spec('j', BATCH, gang(2)))
        scene.start(UnitId('j', 0, 0, -1), 'runner-1', 'runner-2')
        for task_id, runner in ((FIRST, 'runner-1'), (SECOND, 'runner-2')):
            scene.fold(Vanished(1, task_id, 1, runner, REASON))
        crashes = scene.job().units[0, 0, -1].task_crashes
        self.assertEqual(list(map(len, crashes.values())), [1, 1])

    def test_the_generation_is_that_of_the_instance_that_won_the_claim(
        self,
    ) -> None:
        """A record of a claim that lost follows it with the same epoch."""
        scene = Scene()
        scene.fold(HolderGeneration(1, 'other', 1))
        self.assertEqual(scene.cell.state.holder_generation, 0)
        scene.fold(HolderGeneration(1, 'me', 1))
        self.assertEqual(scene.cell.state.holder_generation, 1)


class GivingUpTest(unittest.TestCase):
    """A unit that is given up fails its job, whatever reads the records."""

    def setUp(self) -> None:
        """Let a task crash two runners."""
        self.scene = CrashScene(job_spec('j', BATCH, task(count=2)))
        self.scene.start(UnitId(*SECOND), 'runner-7')
        for number in (1, 2):
            self.scene.start_and_crash(number, FIRST)

    def _records(self, kind: str = '') -> list[Record]:
        records = give_up_records(self.scene.job(), FIRST, 1, NOW_MS)
        return [it for it in records if not kind or type(it).__name__ == kind]

    def test_the_job_fails_and_the_rest_of_it_is_stopped(self) -> None:
        """It starts nothing any more."""
        self.assertEqual(self.scene.decide([view(1)]).starts, ())
        self.scene.fold(*self._records())
        self.assertIs(self.scene.job().state, JobState.FAILED)
        decision = self.scene.decide([view(1)])
        self.assertEqual((decision.starts, decision.given_up), ((), ()))
        self.assertEqual([it.run.task for it in decision.stops], [SECOND])

    def test_failed_ends_alone_fail_it_as_well(self) -> None:
        """Versions that skip the new kind of record read only these."""
        self.scene.fold(*self._records('Ended'))
        self.assertIs(self.scene.job().state, JobState.FAILED)

    def test_a_lasting_task_has_no_failed_ends(self) -> None:
        """Its attempts are not limited."""
        scene = CrashScene(job_spec('j', BATCH, task(lasting=True)))
        for number in (1, 2):
            scene.start_and_crash(number, FIRST)
        records = give_up_records(scene.job(), FIRST, 1, NOW_MS)
        scene.fold(*records)
        self.assertEqual(len(records), 1)
        self.assertIs(scene.job().state, JobState.FAILED)

    def test_a_canceled_job_stays_canceled(self) -> None:
        """It was final before."""
        self.scene.job().canceled = True
        self.scene.fold(*self._records())
        self.assertIs(self.scene.job().state, JobState.CANCELED)


class IsolationTest(unittest.TestCase):
    """Suspected units start apart from each other and from other units."""

    def setUp(self) -> None:
        """Let a runner crash under two tasks, with a third one waiting."""
        self.scene = CrashScene(
            job_spec('j', BATCH, task(count=2)), job_spec('k', BULK, task())
        )
        self.scene.start_and_crash(1, FIRST, SECOND)
        self.later_ms = NOW_MS + 200
        self.scene.beat(self.later_ms)

    def _placed(self, *views, now_ms: int | None = None) -> dict:
        return runners_by_unit(
            self.scene.decide(views, now_ms=now_ms or self.later_ms)
        )

    def test_each_of_them_gets_a_runner_of_its_own(self) -> None:
        """They would fit on one runner together."""
        placed = self._placed(view(2), view(3), view(4))
        self.assertEqual(len(placed), 3)
        self.assertEqual(len({runners[0] for runners in placed.values()}), 3)

    def test_they_wait_for_runners_of_their_own_for_a_limited_time(
        self,
    ) -> None:
        """Then one with others is better than none."""
        self.assertEqual(len(self._placed(view(2))), 1)
        late_ms = NOW_MS + ISOLATION_WAIT_MS + 100
        placed = self._placed(view(2), now_ms=late_ms)
        self.assertEqual(set(placed) >= {UnitId(*FIRST), UnitId(*SECOND)}, True)

    def test_an_urgent_one_does_not_wait_for_a_runner_of_its_own(self) -> None:
        """It takes one without other starts if there is one."""
        scene = CrashScene(
            job_spec('j', URGENT, task()), job_spec('k', BULK, task())
        )
        scene.start_and_crash(1, FIRST)
        scene.start(UnitId('k', 0, 0, 0), 'runner-2', at_ms=self.later_ms)
        for views, chosen in (
            ([view(2)], 'runner-2'),
            ([view(2), view(3)], 'runner-3'),
        ):
            decision = scene.decide(views, now_ms=self.later_ms)
            placed = runners_by_unit(decision)
            self.assertEqual(placed, {UnitId(*FIRST): [chosen]})

    def test_nothing_else_starts_beside_one_on_probation(self) -> None:
        """A guaranteed urgent unit may, and others after some time."""
        self.scene.start(UnitId(*FIRST), 'runner-2', run=2, at_ms=self.later_ms)
        self.scene.start(
            UnitId(*SECOND), 'runner-3', run=2, at_ms=self.later_ms
        )
        only = view(2)
        self.assertEqual(self._placed(only), {})
        over_ms = self.later_ms + PROBATION_MS + 1
        self.assertEqual(len(self._placed(only, now_ms=over_ms)), 1)
        self.assertLess(PROBATION_WAIT_MS, PROBATION_MS)
        urgent = CrashScene(
            job_spec('j', BATCH, task()), job_spec('u', URGENT, task())
        )
        urgent.start_and_crash(1, FIRST)
        urgent.start(UnitId(*FIRST), 'runner-2', run=2, at_ms=self.later_ms)
        placed = runners_by_unit(urgent.decide([only], now_ms=self.later_ms))
        self.assertEqual(set(placed), {UnitId('u', 0, 0, 0)})

    def test_a_machine_that_crashed_under_a_unit_comes_last_for_it(
        self,
    ) -> None:
        """Its new life has another id."""
        facts = RunnerFacts('machine of runner-1', 'rack-0', 'z', 'a')
        self.scene.fold(RunnerDescribed(1, 'runner-0', *facts))
        placed = self._placed(view(0), view(5), view(6))
        self.assertNotIn(['runner-0'], [placed[UnitId(*FIRST)]])

    def test_a_runner_with_less_to_lose_is_preferred(self) -> None:
        """Otherwise units are packed onto the fullest runner."""
        self.scene.start(UnitId('k', 0, 0, 0), 'runner-2', at_ms=1)
        placed = self._placed(view(2), view(3), view(4))
        used = {placed[UnitId(*it)][0] for it in (FIRST, SECOND)}
        self.assertEqual(used, {'runner-3', 'runner-4'})
