"""Tests that the size of a job does not hold up the decisions on others."""

import unittest
from unittest.mock import patch

from swifthoist_engine import queueing
from swifthoist_engine.catalogue import Catalogue, Team
from swifthoist_engine.job_checks import MAX_TASKS
from swifthoist_engine.job_costs import (
    COSTLY_JOB_MS,
    DECISION_MS,
    MAX_LEFT_OUT_MS,
    JobCosts,
    LeftOutJobs,
)
from swifthoist_engine.model import JobSpec, Schedule, UnitId
from swifthoist_engine.planner import MAX_STARTS, DecisionInput, decide
from swifthoist_engine.preemption import Preemption
from swifthoist_engine.queueing import MAX_PREPARED_STEPS
from tests.engine.scenes import (
    BULK,
    CATALOGUE,
    NOW_MS,
    URGENT,
    Scene,
    job_spec,
    runners_by_unit,
    task,
    view,
)

RUNNERS = [view(number) for number in range(4)]
HOPELESS = task(label='of no runner')
MANY_STEPS = 10 * MAX_PREPARED_STEPS
PROBE = UnitId('probe', 0, 0, 0)


def _wide(step=HOPELESS) -> JobSpec:
    return job_spec('large', URGENT, step._replace(width=MAX_TASKS))


def _many_steps() -> JobSpec:
    return job_spec('large', URGENT, *(HOPELESS for _ in range(MANY_STEPS)))


def _occurrences() -> JobSpec:
    spec = job_spec('large', URGENT, HOPELESS)
    return spec._replace(schedule=Schedule(NOW_MS - 1, 0, MAX_TASKS))


class _Counting:
    """Counts the calls of a function."""

    def __init__(self, function) -> None:
        self.calls = 0
        self._function = function

    def __call__(self, *args, **named):
        self.calls += 1
        return self._function(*args, **named)


class SizeTest(unittest.TestCase):
    """A decision asks about a bounded number of units, whatever their number."""

    def decide(self, scene: Scene) -> tuple[dict, int, int]:
        """Return what starts, the units asked about and attempts at room."""
        asked = _Counting(queueing._is_startable)
        room = _Counting(Preemption.make_room)

        def make_room(self, pending):
            return room(self, pending)

        with (
            patch.object(queueing, '_is_startable', asked),
            patch.object(Preemption, 'make_room', make_room),
        ):
            decision = scene.decide(RUNNERS)
        return runners_by_unit(decision), asked.calls, room.calls

    def test_an_urgent_step_that_no_runner_can_hold_is_tried_once(self) -> None:
        """Its 100,000 tasks are alike: three such jobs stopped the scheduler."""
        scene = Scene(_wide(), job_spec('probe', URGENT, task()))
        started, asked, attempts = self.decide(scene)
        self.assertIn(PROBE, started)
        self.assertEqual(attempts, 1)
        self.assertLess(asked, 10)

    def test_steps_and_occurrences_that_are_alike_are_tried_once(self) -> None:
        """As many as one decision goes through."""
        for spec in (_many_steps(), _occurrences()):
            scene = Scene(spec, job_spec('probe', URGENT, task()))
            for _ in range(15):
                started, asked, attempts = self.decide(scene)
                self.assertIn(PROBE, started)
                self.assertLessEqual(attempts, 1)
                self.assertLess(asked, 3 * queueing.MAX_STEPS)

    def test_a_wide_step_is_asked_about_as_far_as_it_starts(self) -> None:
        """Also when most of it has been started."""
        scene = Scene(_wide(task()))
        for _ in range(3):
            decision = scene.decide(RUNNERS)
            scene.fold(*decision.starts)
        started, asked, _ = self.decide(scene)
        self.assertLess(asked, 3 * MAX_STARTS)
        self.assertEqual(started, {})

    def test_a_guaranteed_job_is_not_behind_others_of_any_size(self) -> None:
        """Urgent jobs beyond their team's guarantee came before it."""
        often = _occurrences()._replace(steps=(task(),))
        for other in (_wide(task()), often):
            spec = other._replace(team='blue')
            scene = Scene(spec, job_spec('probe', URGENT, task()))
            blue = Team('blue', frozenset(), 32)
            teams = (*CATALOGUE.teams, blue)
            catalogue = Catalogue(1, CATALOGUE.queues, teams, 1_000)
            for _ in range(2):
                decision = scene.decide(RUNNERS, catalogue=catalogue)
            self.assertEqual(decision.starts[0].unit, PROBE)

    def test_a_job_that_a_fast_clock_accepted_is_not_forgotten(self) -> None:
        """It is due at once, whatever the cell's time is."""
        ahead_ms = NOW_MS + 5_000
        spec = job_spec('ahead', BULK, task(), accepted_ms=ahead_ms)
        scene = Scene(spec)
        self.assertEqual(len(scene.decide(RUNNERS).starts), 1)

    def test_a_canceled_job_of_any_size_is_over_at_once(self) -> None:
        """Nothing of it is examined again."""
        scene = Scene(_many_steps())
        scene.decide(RUNNERS)
        scene.job('large').canceled = True
        scene.decide(RUNNERS)
        self.assertEqual(scene.cell.dirty, set())

    def test_a_new_job_of_many_steps_is_prepared_in_slices(self) -> None:
        """Its first tasks start once it is, and other jobs before."""
        steps = (task() for _ in range(MANY_STEPS))
        scene = Scene(job_spec('large', BULK, *steps))
        decisions = 0
        while not scene.decide(RUNNERS).starts:
            decisions += 1
        self.assertEqual(decisions, MANY_STEPS // MAX_PREPARED_STEPS - 1)


class _Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_ms = 0

    def boot_ms(self) -> int:
        return self.now_ms

    def cpu_ms(self) -> int:
        return self.now_ms


class TimeTest(unittest.TestCase):
    """A decision that takes too long ends, and leaves its costly jobs out."""

    def setUp(self) -> None:
        """Submit three jobs, of which placing the second takes long."""
        self.clock = _Clock()
        self.scene = Scene(
            *(job_spec(name, BULK, task()) for name in ('a', 'b', 'c'))
        )

    def decide(self, took_ms: int, *left_out: str):
        """Decide while each unit of job b takes some time."""
        is_startable = queueing._is_startable
        units = iter('abc' if not left_out else 'ac')

        def slow(*args):
            self.clock.now_ms += took_ms if next(units) == 'b' else 0
            return is_startable(*args)

        inputs = DecisionInput(
            self.scene.cell,
            CATALOGUE,
            tuple(RUNNERS),
            frozenset(),
            {},
            NOW_MS,
            frozenset(left_out),
            costs=JobCosts(self.clock),
        )
        with patch.object(queueing, '_is_startable', slow):
            return decide(inputs, 1)

    def names(self, decision) -> list[str]:
        """List the jobs that a decision starts."""
        return [started.unit.job for started in decision.starts]

    def test_a_decision_ends_once_its_time_is_used_up(self) -> None:
        """What it has decided until then is carried out."""
        decision = self.decide(DECISION_MS + 1)
        self.assertEqual(self.names(decision), ['a', 'b'])
        self.assertEqual(dict(decision.costly), {'b': DECISION_MS + 1})

    def test_a_job_that_took_long_is_left_out_for_a_while(self) -> None:
        """The others come first in the next decisions."""
        left_out = LeftOutJobs()
        decision = self.decide(COSTLY_JOB_MS)
        self.assertEqual(self.names(decision), ['a', 'b', 'c'])
        left_out.note(decision.costly, 1_000)
        self.assertEqual(left_out.at(1_000), {'b'})
        next_one = self.decide(0, *left_out.at(1_000))
        self.assertEqual(self.names(next_one), ['a', 'c'])
        self.assertEqual(left_out.at(1_000 + MAX_LEFT_OUT_MS), frozenset())

    def test_an_ordinary_decision_leaves_nothing_out(self) -> None:
        """Its jobs take a few milliseconds at most."""
        decision = self.decide(COSTLY_JOB_MS - 1)
        self.assertEqual(dict(decision.costly), {})
        self.assertEqual(self.names(decision), ['a', 'b', 'c'])
