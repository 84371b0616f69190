"""Tests that the last attempt of a unit is used on healthy runners only."""

import unittest

from bench.load import DHUAN, FaultPeriod
from bench.load_simulation import LoadSimulation, SimulationResult
from swifthoist_engine.breakers import STRIKE_EXPIRY_MS
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.planner import decide
from swifthoist_engine.records import Ending
from tests.engine.scenes import (
    BATCH,
    BULK,
    NOW_MS,
    WHOLE_RUNNER,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

GANG = UnitId('j', 0, 0, -1)
LATER_MS = NOW_MS + 500
FAILING = DHUAN._replace(
    fleet=DHUAN.fleet._replace(
        failing=FaultPeriod(0.125, 8_000), hanging=FaultPeriod(0, 0), leaving=0
    )
)
SEEDS = range(5)
SECONDS = 20


def _play(seed: int, *, sound: bool) -> SimulationResult:
    # With the breaker on, last attempts avoid failing runners in either case.
    mechanisms = DEFAULT_MECHANISMS._replace(
        sound_attempts=sound, breaker=False
    )
    play = LoadSimulation(FAILING, decide, seed, SECONDS, mechanisms=mechanisms)
    return play.run()


class ScarceAttemptsTest(unittest.TestCase):
    """The last attempt of a unit goes to a healthy runner, or waits for one."""

    def setUp(self) -> None:
        """Submit a gang that has used one of its two attempts."""
        self.scene = Scene(
            job_spec('j', BATCH, gang(1)),
            job_spec('k', BULK, task(WHOLE_RUNNER)),
        )
        self.scene.start(UnitId('k', 0, 0, 0), 'runner-9')
        self.scene.start(GANG, 'runner-0')
        self.scene.end(TaskId('j', 0, 0, 0), 'runner-0', Ending.FAILED)

    def test_a_last_attempt_waits_for_a_sound_runner_and_takes_it(self) -> None:
        """The free runner on which the first attempt failed is not used."""
        bad = view(0, suspicion=1)
        decision = self.scene.decide([bad], now_ms=LATER_MS)
        self.assertEqual(decision.starts, ())
        decision = self.scene.decide([bad, view(1)], now_ms=LATER_MS)
        self.assertEqual(runners_by_unit(decision), {GANG: ['runner-1']})

    def test_a_last_attempt_does_not_stand_still_where_all_are_doubtful(
        self,
    ) -> None:
        """It starts after 2 s if none is healthy; at 3 s it would be lost."""
        views = [view(0, suspicion=1), view(1, suspicion=1)]
        early = self.scene.decide(views, now_ms=NOW_MS + 1_900)
        self.assertEqual(early.starts, ())
        late = self.scene.decide(views, now_ms=NOW_MS + 2_100)
        self.assertEqual(len(late.starts), 1)
        views.append(view(9))
        late = self.scene.decide(views, now_ms=NOW_MS + 2_100)
        self.assertEqual(late.starts, ())

    def test_a_rack_with_a_doubtful_runner_is_waited_for(self) -> None:
        """Spreading the gang over racks would cost more than the wait."""
        scene = Scene(job_spec('g', BATCH, gang(2)))
        scene.start(UnitId('g', 0, 0, -1), 'runner-0', 'runner-1')
        scene.end(TaskId('g', 0, 0, 0), 'runner-0', Ending.FAILED)
        scene.end(TaskId('g', 0, 0, 1), 'runner-1', Ending.BROKEN)
        views = [view(0, 0, suspicion=1), view(1, 0), view(2, 1)]
        self.assertEqual(scene.decide(views, now_ms=LATER_MS).starts, ())

    def test_a_last_attempt_stops_nothing_on_a_doubtful_runner(self) -> None:
        """The attempt could not use the room that a stop frees there."""
        decision = self.scene.decide([view(0, suspicion=2)], now_ms=LATER_MS)
        self.assertEqual((decision.starts, decision.stops), ((), ()))

    def test_a_doubtful_runner_takes_work_that_can_afford_to_fail(self) -> None:
        """A success there brings the runner back into use."""
        scene = Scene(job_spec('k', BULK, task()))
        decision = scene.decide([view(0, suspicion=2)])
        self.assertEqual(len(decision.starts), 1)

    def test_a_runner_gets_last_attempts_again_once_its_failures_are_old(
        self,
    ) -> None:
        """Evidence expires without a successful run."""
        state = self.scene.cell.state
        breakers = state.experience.breakers
        self.assertEqual(breakers.suspicion('runner-0', NOW_MS), 1)
        now_ms = NOW_MS + STRIKE_EXPIRY_MS
        suspicion = breakers.suspicion('runner-0', now_ms)
        views = [view(0, suspicion=suspicion)]
        decision = self.scene.decide(views, now_ms=now_ms)
        self.assertEqual(runners_by_unit(decision), {GANG: ['runner-0']})


class FailingRunnersTest(unittest.TestCase):
    """An eighth of the runners fails all that they start, for 8 s."""

    def test_more_jobs_are_done_than_if_attempts_went_to_any_runner(
        self,
    ) -> None:
        """In every simulation more than 95 % of the jobs are served."""
        enabled = [_play(seed, sound=True) for seed in SEEDS]
        disabled = [_play(seed, sound=False) for seed in SEEDS]
        served_shares = [played.served for played in enabled]
        self.assertGreater(
            sum(served_shares), sum(it.served for it in disabled)
        )
        self.assertGreater(min(served_shares), 0.95)


if __name__ == '__main__':
    unittest.main()
