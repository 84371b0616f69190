"""Tests of placement on runners that differ in speed."""

import unittest

from bench.load import UNEVEN, FaultPeriod, FleetProfile, SiteLoad
from bench.load_simulation import LoadSimulation
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS
from swifthoist_engine.model import QueueTerms, Resources, StepSpec
from swifthoist_engine.planner import DecisionInput, decide
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_estimates import FASTER, SLOWER
from tests.engine.noted import DecisionTrace, trace_decisions
from tests.engine.scenes import (
    BATCH,
    BULK,
    CATALOGUE,
    NOW_MS,
    ONE_ACCELERATOR,
    URGENT,
    Scene,
    gang,
    job_spec,
    runners_by_unit,
    task,
    view,
)

HALF = Resources(13_000, 50_000, 4)


def views(*speeds: int, rack: int = 0) -> list[RunnerView]:
    """Make a rack of runners of the given speed classes."""
    return [
        view(10 * rack + number, rack, speed=speed)
        for number, speed in enumerate(speeds)
    ]


def chosen_runners(
    terms: QueueTerms, step: StepSpec, *runners: RunnerView, now_ms: int = 0
) -> list[str]:
    """Return the runners on which a unit is placed."""
    scene = Scene(job_spec('j', terms, step))
    state = scene.cell.state
    state.experience.speeds.factors = {-1: 2.0, 0: 1.0, 1: 0.5}
    world = DecisionInput(
        scene.cell,
        CATALOGUE,
        tuple(runners),
        frozenset(),
        {},
        now_ms or NOW_MS,
        mechanisms=DEFAULT_MECHANISMS._replace(speeds=True),
    )
    found = runners_by_unit(decide(world, 1))
    return next(iter(found.values()), [])


class MatchTest(unittest.TestCase):
    """Placement of one unit on runners of several speed classes."""

    def test_an_urgent_gang_gets_runners_of_like_speed(self) -> None:
        mixed = views(FASTER, 0, 0, FASTER)
        self.assertEqual(
            chosen_runners(URGENT, gang(2), *mixed), ['runner-0', 'runner-3']
        )

    def test_an_urgent_gang_takes_the_rack_that_goes_fastest(self) -> None:
        racks = [*views(FASTER, 0, 0), *views(FASTER, FASTER, 0, rack=1)]
        self.assertEqual(
            chosen_runners(URGENT, gang(2), *racks), ['runner-10', 'runner-11']
        )

    def test_no_fast_runner_is_wasted_beside_a_usual_one(self) -> None:
        self.assertEqual(
            chosen_runners(URGENT, gang(2), *views(FASTER, 0, 0)),
            ['runner-1', 'runner-2'],
        )

    def test_a_gang_that_fits_nowhere_else_is_mixed(self) -> None:
        self.assertEqual(
            len(chosen_runners(URGENT, gang(3), *views(FASTER, 0, SLOWER))), 3
        )

    def test_a_rack_goes_before_speed(self) -> None:
        racks = [*views(FASTER, 0), *views(FASTER, 0, rack=1)]
        found = chosen_runners(URGENT, gang(2), *racks)
        self.assertEqual(len({name[:-1] for name in found}), 1)

    def test_data_goes_before_speed(self) -> None:
        racks = [*views(FASTER), *views(0, rack=1)]
        near = task(data_rack='rack-1')
        self.assertEqual(chosen_runners(URGENT, near, *racks), ['runner-10'])

    def test_bulk_leaves_fast_runners_free(self) -> None:
        mixed = views(FASTER, 0, SLOWER)
        self.assertEqual(chosen_runners(BULK, task(), *mixed), ['runner-2'])

    def test_bulk_that_is_late_on_slow_runners_gets_usual_ones(self) -> None:
        mixed = views(FASTER, 0, SLOWER)
        # It is due 6 s after its submission and takes 1 s, or 2 s if slow.
        late = chosen_runners(BULK, task(), *mixed, now_ms=NOW_MS + 4_500)
        self.assertEqual(late, ['runner-1'])
        later = chosen_runners(BULK, task(), *mixed, now_ms=NOW_MS + 5_300)
        self.assertEqual(later, ['runner-0'])

    def test_a_batch_gang_leaves_fast_runners_free(self) -> None:
        mixed = views(FASTER, 0, FASTER, 0)
        self.assertEqual(
            chosen_runners(BATCH, gang(2), *mixed), ['runner-1', 'runner-3']
        )

    def test_doubts_go_before_speed(self) -> None:
        fast, usual = views(FASTER, 0)
        doubted = fast._replace(suspicion=1)
        self.assertEqual(
            chosen_runners(BULK, task(), doubted, usual), ['runner-1']
        )

    def test_a_serving_task_goes_where_it_went(self) -> None:
        lasting = task(ONE_ACCELERATOR, lasting=True)
        for speeds in ((FASTER, 0, SLOWER), (0, 0, 0)):
            self.assertEqual(
                chosen_runners(BULK, lasting, *views(*speeds)), ['runner-0']
            )


EVEN = SiteLoad(
    'even',
    UNEVEN.room,
    UNEVEN.kinds,
    FleetProfile(
        4, 8, (1.0,), 1_000, 100, 900,
        failing=FaultPeriod(0, 0), slow=FaultPeriod(0, 0), teams=4,
    ),
)  # fmt: skip


def _trace_decisions(*, speeds: bool) -> DecisionTrace:
    """Simulate a load with the speed mechanism enabled or disabled."""
    mechanisms = DEFAULT_MECHANISMS._replace(speeds=speeds)
    return trace_decisions(EVEN, mechanisms, 3, 20, 0.25)


class EvenTest(unittest.TestCase):
    """Decisions on runners of equal speed."""

    def test_decisions_stay_the_same(self) -> None:
        trace = _trace_decisions(speeds=True)
        self.assertEqual(trace, _trace_decisions(speeds=False))
        self.assertGreater(len(trace), 100)


class UnevenTest(unittest.TestCase):
    """A load on runners, a quarter of which is over twice as fast."""

    def test_a_load_tells_which_runners_are_fast(self) -> None:
        play = LoadSimulation(UNEVEN, decide, 2, 34, 0.9)
        play.run()
        state = play._cell.state
        found = {
            name
            for name, facts in state.facts.items()
            if state.experience.speeds.speed(facts) == FASTER
        }
        fast = {
            f'runner-{number:03}'
            for number, speed in enumerate(play._speeds)
            if speed > 1
        }
        self.assertGreater(len(found & fast), len(fast) / 2)
        self.assertLess(len(found - fast), len(found) / 10)
