"""Tests of the speed of runners as learned from runs."""

import math
import random
import unittest

from swifthoist_engine import speed_estimates, speeds
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.model import StepSpec, TaskId
from swifthoist_engine.past_runs import PastRun, RunnerFacts
from swifthoist_engine.records import (
    Beat,
    Belated,
    Claimed,
    Ended,
    Ending,
    Placement,
    RunnerDescribed,
    Started,
    Submitted,
)
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    encode_head,
    restore,
    take_snapshot,
)
from swifthoist_engine.speed_estimates import FASTER, SLOWER, USUAL
from swifthoist_engine.speeds import Speeds
from tests.engine.scenes import BULK, KEEP_MS, NOW_MS, gang, job_spec, task

TYPICAL_MS = 5_000
TRUE_FACTORS = (0.55, 1.2, 1.2, 1.2)


def facts(number: int, kind: str = 'a', born_ms: int = 1) -> RunnerFacts:
    """Make the facts of a runner on a machine."""
    return RunnerFacts(f'machine-{number}', 'rack', 'z', kind, born_ms)


def past_run(
    step: StepSpec,
    took_ms: float,
    *members: RunnerFacts,
    at_ms: int = NOW_MS,
    **changes: object,
) -> PastRun:
    """Make a run that has ended."""
    name = f'{at_ms}-{members[0].machine}'
    job = Job(job_spec(name, BULK, step))
    begun = at_ms - int(took_ms)
    runs = tuple(
        OpenRun(TaskId(name, 0, 0, index), 1, 'runner', 1, begun)
        for index in range(len(members))
    )
    done = Ending.DONE
    base = PastRun(job, step, runs[0], done, at_ms, members[0], runs, members)
    return base._replace(**changes)


class SimulatedRuns:
    """Simulates runs on some machines, with realistic noise."""

    def __init__(self, true_factors: tuple[float, ...], seed: int = 1) -> None:
        """Start without knowledge."""
        self.found = Speeds()
        self.true_factors = true_factors
        self.random = random.Random(seed)
        self.at_ms = NOW_MS

    def noise(self) -> float:
        """Draw the factor by which a run differs from the typical duration."""
        tail = 7 if self.random.randrange(100) < 3 else 1
        return tail * math.exp(self.random.gauss(0, 0.3))

    def run_tasks(self, times: int, only: tuple[int, ...] = ()) -> None:
        """Run single tasks on each machine."""
        for _ in range(times):
            self.at_ms += TYPICAL_MS
            for number in only or range(len(self.true_factors)):
                took = TYPICAL_MS * self.true_factors[number] * self.noise()
                run = past_run(task(), took, facts(number), at_ms=self.at_ms)
                self.found.observe(run, TYPICAL_MS)

    def run_gangs(self, times: int, width: int) -> None:
        """Run gangs, each on machines drawn at random."""
        for _ in range(times):
            self.at_ms += 100
            chosen = self.random.sample(range(len(self.true_factors)), width)
            slowest = max(self.true_factors[number] for number in chosen)
            took = TYPICAL_MS * slowest * self.noise()
            members = tuple(map(facts, chosen))
            run = past_run(gang(width), took, *members, at_ms=self.at_ms)
            self.found.observe(run, TYPICAL_MS)

    def classes(self) -> list[int]:
        """Return the speed class of each machine."""
        return [
            self.found.speed(facts(number))
            for number in range(len(self.true_factors))
        ]


class LearningTest(unittest.TestCase):
    """A quarter of the machines is over twice as fast as the others."""

    def test_nothing_is_known_at_first(self) -> None:
        found = Speeds()
        self.assertEqual(found.factor(facts(1)), 1)
        self.assertEqual(found.factor(RunnerFacts()), 1)
        self.assertEqual(found.speed(facts(1)), USUAL)

    def test_few_tasks_each_tell_the_fast_machines(self) -> None:
        true_factors = TRUE_FACTORS * 20
        right = 0
        total = 0
        for seed in range(5):
            simulated = SimulatedRuns(true_factors, seed)
            simulated.run_tasks(4)
            for speed, factor in zip(
                simulated.classes(), true_factors, strict=True
            ):
                right += (speed == FASTER) == (factor < 1)
                total += 1
        self.assertGreater(right / total, 0.95)

    def test_the_factor_nears_the_true_one(self) -> None:
        simulated = SimulatedRuns(TRUE_FACTORS * 10)
        simulated.run_tasks(12)
        usual = max(TRUE_FACTORS)
        for number, true_factor in enumerate(simulated.true_factors):
            found = simulated.found.factor(facts(number))
            self.assertLess(abs(math.log(found / (true_factor / usual))), 0.45)

    def test_alike_machines_stay_in_one_class(self) -> None:
        for seed in range(5):
            simulated = SimulatedRuns((1.0,) * 80, seed)
            simulated.run_tasks(12)
            self.assertLessEqual(sum(map(abs, simulated.classes())), 1)

    def test_wrong_durations_make_no_classes(self) -> None:
        simulated = SimulatedRuns((1.0,) * 80)
        noise = simulated.noise
        simulated.noise = lambda: noise() * simulated.random.uniform(0.3, 5.5)
        simulated.run_tasks(12)
        self.assertLessEqual(sum(map(abs, simulated.classes())), 2)

    def test_gangs_alone_tell_fast_machines(self) -> None:
        simulated = SimulatedRuns((0.5,) * 12 + (1.2,) * 12)
        simulated.run_gangs(600, 2)
        fast = [
            number
            for number, speed in enumerate(simulated.classes())
            if speed == FASTER
        ]
        self.assertGreater(len(fast), 6)
        self.assertLess(max(fast), 12)

    def test_a_slow_gang_says_little_of_each_member(self) -> None:
        found = Speeds()
        members = tuple(map(facts, range(5)))
        found.observe(past_run(gang(5), 4 * TYPICAL_MS, *members), TYPICAL_MS)
        for member in members:
            self.assertAlmostEqual(found.factor(member), 1.1, delta=0.2)

    def test_a_fast_gang_proves_every_member_fast(self) -> None:
        found = Speeds()
        members = tuple(map(facts, range(5)))
        for number in range(20):
            found.observe(
                past_run(task(), TYPICAL_MS, facts(number)), TYPICAL_MS
            )
        for _ in range(4):
            found.observe(
                past_run(gang(5), TYPICAL_MS / 4, *members), TYPICAL_MS
            )
        for member in members:
            self.assertLess(found.factor(member), 0.8)
        self.assertGreater(found.factor(facts(9)), 0.9)

    def test_a_kind_is_the_prior_of_its_machines(self) -> None:
        found = Speeds()
        for turn in range(8):
            for number in range(40):
                kind, factor = ('b', 0.5) if number % 4 == 0 else ('a', 1.2)
                run = past_run(
                    task(),
                    factor * TYPICAL_MS,
                    facts(number, kind),
                    at_ms=NOW_MS + turn * TYPICAL_MS,
                )
                found.observe(run, TYPICAL_MS)
        self.assertLess(found.factor(facts(99, 'b')), 0.65)
        self.assertEqual(found.speed(facts(99, 'b')), FASTER)
        self.assertEqual(found.speed(facts(99, 'a')), USUAL)


class ForgettingTest(unittest.TestCase):
    """Machines change their speed, and some never return."""

    def test_a_machine_that_turned_slow_is_found_and_comes_back(self) -> None:
        simulated = SimulatedRuns((1.0,) * 30)
        simulated.run_tasks(6)
        simulated.true_factors = (4.0, *simulated.true_factors[1:])
        simulated.run_tasks(4)
        self.assertEqual(simulated.classes()[0], SLOWER)
        simulated.true_factors = (1.0, *simulated.true_factors[1:])
        simulated.run_tasks(8)
        self.assertEqual(simulated.classes()[0], USUAL)

    def test_another_life_begins_from_its_machine(self) -> None:
        simulated = SimulatedRuns(TRUE_FACTORS * 10)
        simulated.run_tasks(8)
        found = simulated.found
        restarted = facts(0, born_ms=2)
        self.assertEqual(found.factor(restarted), found.factor(facts(0)))
        self.assertEqual(found.speed(restarted), FASTER)
        run = past_run(
            task(), 1.2 * TYPICAL_MS, restarted, at_ms=simulated.at_ms
        )
        before = found.machines['machine-0'].runs
        found.observe(run, TYPICAL_MS)
        self.assertLess(found.machines['machine-0'].runs, before)

    def test_a_machine_of_another_kind_is_not_what_it_was(self) -> None:
        simulated = SimulatedRuns(TRUE_FACTORS * 10)
        simulated.run_tasks(8)
        self.assertGreater(simulated.found.factor(facts(0, 'new')), 0.9)

    def test_what_was_not_seen_for_long_fades(self) -> None:
        simulated = SimulatedRuns(TRUE_FACTORS * 10)
        simulated.run_tasks(8)
        simulated.at_ms += 20 * speed_estimates.HALF_LIFE_MS
        simulated.run_tasks(3, tuple(range(1, 40)))
        self.assertGreater(simulated.found.factor(facts(0)), 0.9)

    def test_machines_that_never_return_take_bounded_memory(self) -> None:
        found = Speeds()
        for number in range(speeds.MAX_MACHINES + 50):
            run = past_run(task(), 5_000, facts(number), at_ms=NOW_MS + number)
            found.observe(run, TYPICAL_MS)
        self.assertEqual(len(found.machines), speeds.MAX_MACHINES)
        self.assertNotIn('machine-0', found.machines)


class ToldApartTest(unittest.TestCase):
    """Durations that say nothing about the speed of the runner."""

    def assert_ignored(self, run: PastRun) -> None:
        """Check that a run does not change the learned speeds."""
        found = Speeds()
        found.observe(run, TYPICAL_MS)
        self.assertEqual(found, Speeds())

    def test_what_says_nothing_of_its_runner_is_left_out(self) -> None:
        one = past_run(task(), 5_000, facts(1))
        resumed = OpenRun(one.run.task, 2, 'runner', 1, 0, 'saved')
        far = RunnerFacts('machine-2', 'other')
        for run in (
            one._replace(ending=Ending.FAILED),
            one._replace(ending=Ending.STOPPED),
            one._replace(run=resumed),
            one._replace(timely=False),
            past_run(task(lasting=True), 5_000, facts(1)),
            past_run(task(filling=True), 5_000, facts(1)),
            past_run(task(data_rack='elsewhere'), 5_000, facts(1)),
            past_run(gang(2), 5_000, facts(1), far),
            past_run(gang(2), 5_000, facts(1)),
            past_run(task(), 5_000, RunnerFacts()),
        ):
            with self.subTest(run=run):
                self.assert_ignored(run)


class FoldTest(unittest.TestCase):
    """Learned speeds survive snapshots and takeovers."""

    def play(self, cell: Cell, turns: range, epoch: int) -> None:
        """Run a task on each of eight machines in each turn."""
        for turn in turns:
            at_ms = NOW_MS + turn * 6_000
            name = f'j{turn}'
            spec = job_spec(name, BULK, task(count=8, estimate_ms=TYPICAL_MS))
            cell.fold(Submitted(spec))
            cell.fold(Beat(epoch, at_ms))
            for number in range(8):
                unit = TaskId(name, 0, 0, number)
                runner = f'runner-{number}'
                placed = (Placement(number, runner),)
                cell.fold(Started(epoch, unit, 1, '', placed, at_ms))
            for beat in range(1, 16):
                cell.fold(Beat(epoch, at_ms + beat * 400))
                self.end(cell, name, beat, turn)

    def end(self, cell: Cell, name: str, beat: int, turn: int) -> None:
        """End the tasks that are done at a heartbeat."""
        for number in range(8):
            if beat == round(12.5 * TRUE_FACTORS[number % 4]):
                cell.fold(
                    Ended(
                        cell.state.epoch,
                        f'runner-{number}',
                        turn + 1,
                        TaskId(name, 0, 0, number),
                        1,
                        Ending.DONE,
                        '',
                        NOW_MS + turn * 6_000 + beat * 400,
                    )
                )

    def begin(self) -> Cell:
        """Make a cell with eight runners that are described."""
        cell = Cell(KEEP_MS)
        cell.fold(Claimed(1, 'me', NOW_MS))
        for number in range(8):
            name = f'runner-{number}'
            cell.fold(RunnerDescribed(1, name, *facts(number)))
        return cell

    def test_a_snapshot_and_a_takeover_lose_nothing(self) -> None:
        whole = self.begin()
        self.play(whole, range(4), 1)
        taken = take_snapshot(whole.state, 0, 0, 1_000_000)
        kept = {HEAD_KEY: encode_head(taken.head), **taken.chunks}
        restored = restore(kept)
        assert restored is not None
        resumed = Cell(KEEP_MS, restored.state)
        for cell in (whole, resumed):
            cell.fold(Claimed(2, 'other', NOW_MS + 26_000))
            self.play(cell, range(5, 9), 2)
        learned = whole.state.experience.speeds
        self.assertEqual(learned, resumed.state.experience.speeds)
        self.assertEqual(learned.speed(facts(0)), FASTER)
        self.assertEqual(learned.speed(facts(1)), USUAL)

    def test_a_belated_end_is_no_slow_run(self) -> None:
        cell = self.begin()
        unit = TaskId('j', 0, 0, 0)
        cell.fold(Submitted(job_spec('j', BULK, task())))
        placed = (Placement(0, 'runner-0'),)
        cell.fold(Started(1, unit, 1, '', placed, NOW_MS))
        cell.fold(Claimed(2, 'other', NOW_MS + 9_000))
        cell.fold(Belated(2, 'runner-0', 1))
        done = Ending.DONE
        cell.fold(Ended(2, 'runner-0', 1, unit, 1, done, '', NOW_MS + 9_500))
        self.assertEqual(cell.state.experience.speeds, Speeds())
