"""Tests of when a blocked unit is expected to find room."""

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.model import Resources, StepSpec, UnitId
from swifthoist_engine.occupancy import occupancy_of
from swifthoist_engine.placing import Placer
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.records import Submitted
from swifthoist_engine.reservations import Reservations, earliest_reservation
from tests.engine.scenes import (
    BATCH,
    NOW_MS,
    Scene,
    job_spec,
    task,
    view,
    waiting_gang,
)

RUNNERS = 4

runs = st.lists(
    st.tuples(
        st.integers(0, RUNNERS - 1),
        st.integers(1, 4),
        st.integers(100, 5_000),
        st.integers(0, 8_000),
    ),
    max_size=10,
)


def capacity_with(running: list[tuple[int, int, int, int]]) -> CapacityPlan:
    """Make the capacity plan of a cell where some tasks run."""
    scene = Scene()
    for number, (runner, size, estimate_ms, ran_ms) in enumerate(running):
        step = task(Resources(1_000, 1_000, size), estimate_ms=estimate_ms)
        scene = _add(scene, f'r{number}', step, runner, ran_ms)
    views = tuple(map(view, range(RUNNERS)))
    occupancy = occupancy_of(scene.cell, views)
    return CapacityPlan(scene.cell, occupancy, NOW_MS, frozenset())


def _add(
    scene: Scene, name: str, step: StepSpec, runner: int, ran_ms: int
) -> Scene:
    scene.fold(Submitted(job_spec(name, BATCH, step)))
    unit = UnitId(name, 0, 0, 0)
    scene.start(unit, f'runner-{runner}', at_ms=NOW_MS - ran_ms)
    return scene


def reference_earliest(
    waiting: PendingUnit, capacity: CapacityPlan, names: list[str]
) -> tuple[int, tuple[str, ...]] | None:
    """Try each expected end of a run, and each runner."""
    need = waiting.step.allocated
    ends = {end.at_ms for name in names for end in capacity.expected_ends(name)}
    for at_ms in sorted(ends):
        found: list[str] = []
        for name in names:
            room = capacity.room_at(name, at_ms)
            while need.fits(room) and len(found) < waiting.members:
                room = room.minus(need)
                found.append(name)
        if len(found) >= waiting.members:
            return at_ms, tuple(found)
    return None


class EarliestTest(unittest.TestCase):
    """The search over expected ends, compared with a reference search."""

    @settings(max_examples=150, deadline=None)
    @given(runs, st.integers(1, 6), st.integers(1, 8))
    def test_it_finds_what_a_plain_search_finds(
        self,
        running: list[tuple[int, int, int, int]],
        members: int,
        accelerators: int,
    ) -> None:
        """Time and runners are the same."""
        capacity = capacity_with(running)
        names = list(capacity.views)
        waiting = waiting_gang(BATCH, members, accelerators)
        found = earliest_reservation(waiting, capacity, names)
        reference = reference_earliest(waiting, capacity, names)
        self.assertEqual(None if found is None else tuple(found), reference)

    def test_later_moments_than_one_that_is_known_do_not_count(self) -> None:
        """A rack that has room sooner is preferred."""
        capacity = capacity_with([(0, 8, 1_000, 0)])
        waiting = waiting_gang(BATCH, 1, 8)
        names = ['runner-0']
        ends_ms = NOW_MS + 1_000
        self.assertIsNone(
            earliest_reservation(waiting, capacity, names, ends_ms)
        )
        self.assertIsNotNone(
            earliest_reservation(waiting, capacity, names, ends_ms + 1)
        )


class DeferredTest(unittest.TestCase):
    """Reservations are made only once another unit could take the room."""

    def test_nothing_is_foreseen_where_nothing_fits(self) -> None:
        """In a full cell no expected ends are computed."""
        capacity = capacity_with([(n, 8, 1_000, 0) for n in range(RUNNERS)])
        reservations = Reservations(Placer(capacity, NOW_MS, {}))
        reservations.request(waiting_gang(BATCH, 2, 8))
        with patch.object(CapacityPlan, 'expected_end') as foreseen:
            self.assertFalse(
                capacity.fits(waiting_gang(BATCH, 1, 1), 'runner-0')
            )
        foreseen.assert_not_called()

    def test_room_is_kept_before_anything_takes_it(self) -> None:
        """A long task does not overtake the gang, a short one may."""
        capacity = capacity_with([(n, 8, 1_000, 0) for n in range(1, RUNNERS)])
        reservations = Reservations(Placer(capacity, NOW_MS, {}))
        reservations.request(waiting_gang(BATCH, RUNNERS, 8))
        other = waiting_gang(BATCH, 1, 8)
        long = other._replace(step=other.step._replace(estimate_ms=9_000))
        self.assertFalse(capacity.fits(long, 'runner-0'))
        self.assertTrue(capacity.fits(other, 'runner-0'))


if __name__ == '__main__':
    unittest.main()
