"""Tests of learned task durations, and of decisions based on them."""

import random
import unittest
from itertools import repeat
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.load import DHUAN
from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.duration_estimates import (
    MIN_KNOWN_RUNS,
    DurationEstimates,
)
from swifthoist_engine.durations import (
    DECAY_INTERVAL_MS,
    MAX_QUEUES,
    MAX_SHAPES,
    RUN_WEIGHT,
    SAMPLED_TASKS_PER_STEP,
    Durations,
    QueueKey,
)
from swifthoist_engine.experience import Experience
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS
from swifthoist_engine.model import JobSpec, StepSpec, TaskId, UnitId
from swifthoist_engine.past_runs import PastRun, RunnerFacts
from swifthoist_engine.records import (
    Belated,
    Ended,
    Ending,
    RunnerDescribed,
    Submitted,
)
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from swifthoist_engine.speeds import Speeds
from tests.engine.noted import DecisionTrace, trace_decisions
from tests.engine.scenes import (
    BATCH,
    BULK,
    KEEP_MS,
    NOW_MS,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

SPEEDS = Speeds()
NEAR = RunnerFacts(rack='rack-0')
FAR = RunnerFacts(rack='rack-1')


def spec_of(step: StepSpec, name: str = 'j', queue: str = 'bulk') -> JobSpec:
    """Make a job of one step."""
    return job_spec(name, BULK, step)._replace(queue=queue)


def past_run(
    took_ms: int,
    step: StepSpec,
    ending: Ending = Ending.DONE,
    queue: str = 'bulk',
    **changes: object,
) -> PastRun:
    """Make a run that has ended."""
    run = OpenRun(TaskId('j', 0, 0, 0), 1, 'r', 1, NOW_MS)
    members = step.width if step.gang else 1
    found = PastRun(
        Job(spec_of(step, queue=queue)),
        step,
        run,
        ending,
        NOW_MS + took_ms,
        NEAR,
        (run,) * members,
        (NEAR,) * members,
    )
    return found._replace(**changes)


def learn_durations(*runs: PastRun) -> Durations:
    """Learn durations from some runs."""
    durations = Durations()
    for run in runs:
        durations.observe(run, SPEEDS)
    return durations


def estimates_from(durations: Durations) -> DurationEstimates:
    """Estimate from learned durations, in a cell with one job."""
    state = CellState()
    state.experience.durations = durations
    state.jobs['j'] = Job(spec_of(task()))
    return DurationEstimates(state)


def run_since(began_ms: int) -> OpenRun:
    """Make an open run of that job."""
    return OpenRun(TaskId('j', 0, 0, 0), 1, 'r', 1, began_ms)


class LineTest(unittest.TestCase):
    """Estimates combine declared and observed durations."""

    def test_the_declared_one_is_told_where_nothing_is_known(self) -> None:
        """It is used unchanged; an undeclared duration is never 0."""
        durations = learn_durations(past_run(500, task(), Ending.STOPPED))
        self.assertEqual(durations.typical_ms('bulk', task()), 1_000)
        undeclared = task(estimate_ms=0)
        self.assertGreater(durations.typical_ms('bulk', undeclared), 0)

    def test_declared_durations_that_hold_go_on_counting(self) -> None:
        """Holds for durations over two orders of magnitude."""
        rng = random.Random(1)
        lengths = [rng.randrange(500, 50_000) for _ in range(100)]
        durations = learn_durations(
            *(
                past_run(int(it * rng.uniform(0.8, 1.25)), task(estimate_ms=it))
                for it in lengths
            )
        )
        for declared in (700, 5_000, 40_000):
            step = task(estimate_ms=declared)
            share = durations.typical_ms('bulk', step) / declared
            self.assertAlmostEqual(share, 1, delta=0.15)

    def test_what_is_always_off_by_the_same_is_set_right(self) -> None:
        """Declared durations are ten times too short, whatever the length."""
        rng = random.Random(1)
        lengths = [rng.randrange(500, 50_000) for _ in range(100)]
        durations = learn_durations(
            *(past_run(10 * it, task(estimate_ms=it)) for it in lengths)
        )
        for declared in (1_000, 20_000):
            step = task(estimate_ms=declared)
            share = durations.typical_ms('bulk', step) / declared
            self.assertAlmostEqual(share, 10, delta=2)

    def test_declared_durations_that_tell_nothing_stop_counting(self) -> None:
        """Tasks take 2 to 3 s and are declared as 0.4 to 15 s."""
        rng = random.Random(1)
        durations = learn_durations(
            *(
                past_run(
                    rng.randrange(2_000, 3_000),
                    task(estimate_ms=int(2_500 * 6 ** rng.uniform(-1, 1))),
                )
                for _ in range(100)
            )
        )
        for declared in (500, 2_000, 12_000):
            typical_ms = durations.typical_ms(
                'bulk', task(estimate_ms=declared)
            )
            self.assertGreater(typical_ms, 1_800)
            self.assertLess(typical_ms, 3_400)

    def test_a_few_runs_outweigh_little_of_what_is_declared(self) -> None:
        """The prior counts as five runs."""
        durations = learn_durations(past_run(4_000, task()))
        self.assertLess(durations.typical_ms('bulk', task()), 1_400)

    def test_shapes_of_a_queue_may_differ(self) -> None:
        """Gangs take three times the declared duration, tasks as long as it."""
        wide = gang(16)
        runs = [past_run(1_000, task()), past_run(3_000, wide)]
        durations = learn_durations(*(40 * runs))
        self.assertLess(durations.typical_ms('bulk', task()), 1_500)
        self.assertGreater(durations.typical_ms('bulk', wide), 2_100)

    def test_a_change_is_learned(self) -> None:
        """It takes a few hundred runs; old ones also expire with time."""
        durations = learn_durations(*(1_000 * [past_run(4_000, task())]))
        for _ in range(400):
            durations.observe(past_run(1_000, task()), SPEEDS)
        self.assertLess(durations.typical_ms('bulk', task()), 1_600)
        later = past_run(4_000, task(), at_ms=NOW_MS + 200 * DECAY_INTERVAL_MS)
        durations.observe(later._replace(ending=Ending.STOPPED), SPEEDS)
        self.assertEqual(durations.typical_ms('bulk', task()), 1_000)

    def test_a_run_counts_as_on_a_usual_runner(self) -> None:
        """Durations are scaled by the speed of a gang's slowest runner."""
        with patch.object(Speeds, 'factor', lambda _, it: 1 + 2 * (it == FAR)):
            durations = Durations()
            step = gang(2, same_rack=False)
            run = past_run(3_000, step, gang_facts=(NEAR, FAR))
            for _ in range(50):
                durations.observe(run, Speeds())
        self.assertAlmostEqual(
            durations.typical_ms('bulk', step), 1_000, delta=30
        )


class TellingTest(unittest.TestCase):
    """Which ends of runs count as observed durations."""

    def test_only_runs_that_were_done_from_the_beginning_count(self) -> None:
        """They also ended in time, near their data and on one rack."""
        near = task(data_rack='rack-0')
        resumed = run_since(NOW_MS)
        resumed.checkpoint = 'saved'
        cases = (
            past_run(9_000, task(), run=resumed),
            past_run(9_000, task(), Ending.FAILED),
            past_run(9_000, task(), timely=False),
            past_run(9_000, task(lasting=True)),
            past_run(9_000, task(filling=True)),
            past_run(9_000, near, gang_facts=(FAR,)),
            past_run(9_000, gang(2), gang_facts=(NEAR, FAR)),
            past_run(9_000, gang(3), gang=(run_since(0),)),
        )
        for run in cases:
            with self.subTest(run=run):
                self.assertEqual(learn_durations(run).queues, {})

    def test_stops_count_as_at_least_so_long(self) -> None:
        """They set a lower bound, also where most runs are stopped early."""
        stopped = past_run(300, task(), Ending.STOPPED)
        runs = [*repeat(stopped, 9), past_run(3_000, task())]
        durations = learn_durations(*(40 * runs))
        self.assertGreater(durations.typical_ms('bulk', task()), 2_500)

    def test_a_wide_job_counts_as_some_runs(self) -> None:
        """A thousand tasks of one step count as a bounded number of runs."""
        step = task(count=1_000)
        durations = learn_durations(
            *(past_run(9_000, step, run=_member(it)) for it in range(1_000))
        )
        weight = durations.queues[QueueKey('bulk', declared=True)].weight
        self.assertEqual(weight, SAMPLED_TASKS_PER_STEP * RUN_WEIGHT)

    def test_ends_that_were_read_late_tell_no_duration(self) -> None:
        """Later ends at the same runner count again."""
        scene = Scene(spec_of(task(count=3)))
        for ordinal in range(3):
            scene.start(UnitId('j', 0, 0, ordinal), 'r')
        scene.fold(Belated(1, 'r', 2))
        for ordinal in range(3):
            scene.end(TaskId('j', 0, 0, ordinal), 'r', Ending.DONE)
        experience = scene.cell.state.experience
        weights = [it.weight for it in experience.durations.queues.values()]
        self.assertEqual(weights, [RUN_WEIGHT])


def _member(ordinal: int) -> OpenRun:
    return OpenRun(TaskId('j', 0, 0, ordinal), 1, 'r', 1, NOW_MS)


class PoisonTest(unittest.TestCase):
    """Effects of a caller's declarations on other callers."""

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.integers(0, 10**12), min_size=1, max_size=5))
    def test_absurd_declarations_hardly_move_those_of_others(
        self, absurd: list[int]
    ) -> None:
        """Up to five absurd declarations among a hundred correct ones."""
        rng = random.Random(2)
        runs = [
            past_run(it, task(estimate_ms=it))
            for it in (rng.randrange(500, 8_000) for _ in range(100))
        ]
        for number, declared in enumerate(absurd):
            runs.insert(
                20 * number, past_run(2_000, task(estimate_ms=declared))
            )
        durations = learn_durations(*runs)
        for declared in (700, 2_000, 6_000):
            step = task(estimate_ms=declared)
            share = durations.typical_ms('bulk', step) / declared
            self.assertLess(max(share, 1 / share), 1.6)

    def test_ten_thousand_queues_and_shapes_take_bounded_room(self) -> None:
        """A queue that is used often is not evicted."""
        used = past_run(3_000, task(), queue='used')
        durations = learn_durations(*(30 * [used]))
        before = durations.typical_ms('used', task())
        for number in range(10_000):
            step = task(count=2 ** (number % 20))
            name = f'queue-{number}'
            durations.observe(past_run(1_000, step, queue=name), SPEEDS)
        self.assertLessEqual(len(durations.queues), MAX_QUEUES)
        self.assertLessEqual(len(durations.shapes), MAX_SHAPES)
        self.assertEqual(durations.typical_ms('used', task()), before)

    @settings(max_examples=50, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 10**15),
                st.integers(0, 10**15),
                st.sampled_from(tuple(Ending)),
                st.integers(0, 10**6),
            ),
            max_size=40,
        )
    )
    def test_whatever_ran_the_figures_stay_sane(
        self, runs: list[tuple[int, int, Ending, int]]
    ) -> None:
        """Estimates are above 0, and a remaining time exists for every age."""
        durations = Durations()
        for took_ms, declared, ending, wait in runs:
            run = past_run(took_ms, task(estimate_ms=declared), ending)
            durations.observe(run._replace(at_ms=run.at_ms + wait), SPEEDS)
        estimates = estimates_from(durations)
        self.assertGreater(estimates.step_ms(spec_of(task()), 0), 0)
        for ran_ms in (0, 900, 7_000, 10**9):
            left_ms = estimates.left_ms(run_since(NOW_MS - ran_ms), NOW_MS)
            self.assertGreaterEqual(left_ms, 0)


class RestTest(unittest.TestCase):
    """Estimates of the remaining time of runs."""

    def test_without_knowledge_it_is_the_declared_rest(self) -> None:
        """For overdue runs it is a share of their age."""
        estimates = estimates_from(Durations())
        for ran_ms, left_ms in ((0, 1_000), (400, 600), (7_000, 2_100)):
            run = run_since(NOW_MS - ran_ms)
            self.assertEqual(estimates.left_ms(run, NOW_MS), left_ms)

    def test_a_run_at_seven_times_the_usual_goes_on_for_long(self) -> None:
        """One in thirty takes ten times as long; young runs end near 1 s."""
        runs = [*repeat(past_run(1_000, task()), 29), past_run(10_000, task())]
        estimates = estimates_from(learn_durations(*(10 * runs)))
        young = estimates.left_ms(run_since(NOW_MS - 100), NOW_MS)
        self.assertLess(young, 1_200)
        old = estimates.left_ms(run_since(NOW_MS - 4_000), NOW_MS)
        self.assertGreater(old, 4_000)

    def test_little_is_not_taken_for_knowledge(self) -> None:
        """A minimum number of runs must have lasted beyond the age."""
        late = past_run(9_000, task())
        runs = [
            *(20 * [past_run(1_000, task())]),
            *((MIN_KNOWN_RUNS - 1) * [late]),
        ]
        estimates = estimates_from(learn_durations(*runs))
        left_ms = estimates.left_ms(run_since(NOW_MS - 4_000), NOW_MS)
        self.assertEqual(left_ms, 1_200)


class DecisionTest(unittest.TestCase):
    """Decisions with learned durations."""

    def test_one_that_takes_over_decides_the_same(self) -> None:
        """A cell restored from a snapshot decides as the original one does."""
        scene = Scene(*(spec_of(task(count=8), f'j{it}') for it in range(6)))
        scene.fold(RunnerDescribed(1, 'runner-0', 'm', 'rack-0', 'z', '', 0))
        for number in range(4):
            for ordinal in range(8):
                unit = UnitId(f'j{number}', 0, 0, ordinal)
                scene.start(unit, 'runner-0')
                numbers = (len(scene.cell.state.account.spans) + 1,)
                scene.fold(
                    Ended(
                        1, 'runner-0', *numbers, TaskId(*unit), 1,
                        Ending.DONE, '', NOW_MS + 700 * (number + 1),
                    )
                )  # fmt: skip
        scene.fold(Submitted(job_spec('b', BATCH, task(count=3))))
        state = scene.cell.state
        snapshot = take_snapshot(state, 1, 0, 1_000_000)
        restored = restore(
            {**snapshot.chunks, HEAD_KEY: encode_head(snapshot.head)}
        )
        assert restored is not None
        self.assertTrue(state.experience.durations.queues)
        self.assertEqual(restored.state.experience, state.experience)
        views = [view(0), view(1)]
        before = scene.decide(views, now_ms=NOW_MS + 4_000)
        scene.cell = Cell(KEEP_MS, restored.state)
        self.assertEqual(scene.decide(views, now_ms=NOW_MS + 4_000), before)
        self.assertTrue(runners_by_unit(before))

    def test_decisions_are_the_same_where_nothing_was_learned(self) -> None:
        """A simulation makes the same decisions with the mechanism off."""
        with patch.object(Experience, 'observe'):
            trace = _trace_decisions(observed=True)
            self.assertEqual(trace, _trace_decisions(observed=False))
        self.assertGreater(len(trace), 100)


def _trace_decisions(*, observed: bool) -> DecisionTrace:
    """Simulate a load with observed durations enabled or disabled."""
    mechanisms = DEFAULT_MECHANISMS._replace(observed_durations=observed)
    return trace_decisions(DHUAN, mechanisms, 3, 8)


if __name__ == '__main__':
    unittest.main()
