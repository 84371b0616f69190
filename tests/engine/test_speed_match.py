"""Which runners units get, where runners differ in speed."""

import unittest

from bench.load import UNEVEN, FaultPeriod, FleetProfile, SiteLoad
from bench.load_simulation import LoadSimulation
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS
from swifthoist_engine.model import QueueTerms, Resources, StepSpec
from swifthoist_engine.planner import DecisionInput, decide
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_estimates import FASTER, SLOWER
from tests.engine.noted import Noted, starts_and_stops
from tests.engine.scenes import (
    BATCH,
    BULK,
    CATALOGUE,
    NOW_MS,
    ONE,
    URGENT,
    Scene,
    gang,
    job_spec,
    places,
    task,
    view,
)

HALF = Resources(13_000, 50_000, 4)


def views(*speeds: int, rack: int = 0) -> list[RunnerView]:
    """Make a rack of runners of some classes."""
    return [
        view(10 * rack + number, rack, speed=speed)
        for number, speed in enumerate(speeds)
    ]


def placed(
    terms: QueueTerms, step: StepSpec, *runners: RunnerView, now_ms: int = 0
) -> list[str]:
    """Tell where a unit goes."""
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
    found = places(decide(world, 1))
    return next(iter(found.values()), [])


class MatchTest(unittest.TestCase):
    """One unit, and runners of several classes."""

    def test_an_urgent_gang_gets_runners_of_like_speed(self) -> None:
        mixed = views(FASTER, 0, 0, FASTER)
        self.assertEqual(
            placed(URGENT, gang(2), *mixed), ['runner-0', 'runner-3']
        )

    def test_an_urgent_gang_takes_the_rack_that_goes_fastest(self) -> None:
        racks = [*views(FASTER, 0, 0), *views(FASTER, FASTER, 0, rack=1)]
        self.assertEqual(
            placed(URGENT, gang(2), *racks), ['runner-10', 'runner-11']
        )

    def test_no_fast_runner_is_wasted_beside_a_usual_one(self) -> None:
        self.assertEqual(
            placed(URGENT, gang(2), *views(FASTER, 0, 0)),
            ['runner-1', 'runner-2'],
        )

    def test_a_gang_that_fits_nowhere_else_is_mixed(self) -> None:
        self.assertEqual(
            len(placed(URGENT, gang(3), *views(FASTER, 0, SLOWER))), 3
        )

    def test_a_rack_goes_before_speed(self) -> None:
        racks = [*views(FASTER, 0), *views(FASTER, 0, rack=1)]
        found = placed(URGENT, gang(2), *racks)
        self.assertEqual(len({name[:-1] for name in found}), 1)

    def test_data_goes_before_speed(self) -> None:
        racks = [*views(FASTER), *views(0, rack=1)]
        near = task(data_rack='rack-1')
        self.assertEqual(placed(URGENT, near, *racks), ['runner-10'])

    def test_bulk_leaves_fast_runners_free(self) -> None:
        mixed = views(FASTER, 0, SLOWER)
        self.assertEqual(placed(BULK, task(), *mixed), ['runner-2'])

    def test_bulk_that_is_late_on_slow_runners_gets_usual_ones(self) -> None:
        mixed = views(FASTER, 0, SLOWER)
        # Its objective ends 6 s after it came; it takes 1 s, or 2 s.
        late = placed(BULK, task(), *mixed, now_ms=NOW_MS + 4_500)
        self.assertEqual(late, ['runner-1'])
        later = placed(BULK, task(), *mixed, now_ms=NOW_MS + 5_300)
        self.assertEqual(later, ['runner-0'])

    def test_a_batch_gang_leaves_fast_runners_free(self) -> None:
        mixed = views(FASTER, 0, FASTER, 0)
        self.assertEqual(
            placed(BATCH, gang(2), *mixed), ['runner-1', 'runner-3']
        )

    def test_doubts_go_before_speed(self) -> None:
        fast, usual = views(FASTER, 0)
        doubted = fast._replace(suspicion=1)
        self.assertEqual(placed(BULK, task(), doubted, usual), ['runner-1'])

    def test_a_serving_task_goes_where_it_went(self) -> None:
        lasting = task(ONE, lasting=True)
        for speeds in ((FASTER, 0, SLOWER), (0, 0, 0)):
            self.assertEqual(
                placed(BULK, lasting, *views(*speeds)), ['runner-0']
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


def _starts_and_stops(*, speeds: bool) -> Noted:
    """Play a load with a part of the decisions, or without."""
    mechanisms = DEFAULT_MECHANISMS._replace(speeds=speeds)
    return starts_and_stops(EVEN, mechanisms, 3, 20, 0.25)


class EvenTest(unittest.TestCase):
    """Runners that are alike."""

    def test_decisions_stay_the_same(self) -> None:
        told = _starts_and_stops(speeds=True)
        self.assertEqual(told, _starts_and_stops(speeds=False))
        self.assertGreater(len(told), 100)


class UnevenTest(unittest.TestCase):
    """A load on runners of which a quarter is over twice as fast."""

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
