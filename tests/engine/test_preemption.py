"""Tests of the choice of victims against a simple reference search."""

import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.model import Resources, UnitId
from swifthoist_engine.occupancy import occupancy_of
from swifthoist_engine.placing import Placer
from swifthoist_engine.preemption import Preemption, Victim
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.records import Submitted
from tests.engine.scenes import (
    BATCH,
    NOW_MS,
    URGENT,
    Scene,
    job_spec,
    task,
    view,
    waiting_gang,
)

RUNNERS = 6
PER_RACK = 3

Running = tuple[int, int, int, bool]

runs = st.lists(
    st.tuples(
        st.integers(0, RUNNERS - 1),
        st.integers(1, 5),
        st.integers(0, 8_000),
        st.booleans(),
    ),
    max_size=14,
)


def preemption_with(running: Sequence[Running]) -> Preemption:
    """Set up preemption in a cell where tasks run, as far as they fit."""
    scene = Scene()
    views = [view(n, rack=n // PER_RACK) for n in range(RUNNERS)]
    for number, (runner, size, ran_ms, saves) in enumerate(running):
        step = task(Resources(1_000, 1_000, size), checkpointing=saves)
        used = scene.cell.runs.used_on(views[runner].runner)
        if not step.need.fits(views[runner].room.minus(used)):
            continue
        scene.fold(Submitted(job_spec(f'r{number}', BATCH, step)))
        unit = UnitId(f'r{number}', 0, 0, 0)
        scene.start(unit, f'runner-{runner}', at_ms=NOW_MS - ran_ms)
    occupancy = occupancy_of(scene.cell, tuple(views))
    capacity = CapacityPlan(scene.cell, occupancy, NOW_MS, frozenset())
    placer = Placer(capacity, NOW_MS, {})
    return Preemption(scene.cell, placer, frozenset(), NOW_MS)


def reference_plan(
    waiting: PendingUnit, preemption: Preemption
) -> tuple[list[str], list[str]] | None:
    """Plan each rack by placing members one by one at the least loss."""
    groups = preemption._placer.runner_groups(waiting)
    plans = [
        plan
        for names in groups
        if (plan := _reference_plan_on(waiting, preemption, names))
    ]
    if not plans:
        names = preemption._placer.eligible(waiting).names
        plan = _reference_plan_on(waiting, preemption, names)
        plans = [plan] if plan else []
    if not plans:
        return None
    best = min(plans, key=lambda plan: sum(it.loss for it in plan[1]))
    return best[0], [victim.run.task.job for victim in best[1]]


def _reference_plan_on(
    waiting: PendingUnit, preemption: Preemption, names: Sequence[str]
) -> tuple[list[str], list[Victim]] | None:
    capacity = preemption._capacity
    need = waiting.step.allocated
    free = {name: capacity.free[name] for name in names}
    left = {
        name: sorted(
            map(preemption.as_victim, capacity.runs(name)),
            key=lambda it: it.loss,
        )
        for name in names
    }
    chosen: list[str] = []
    stopped: list[Victim] = []
    for _ in range(waiting.members):
        found = (
            _cheapest_fit(need, free[name], left[name], name) for name in names
        )
        options = [option for option in found if option is not None]
        if not options:
            return None
        _, count, name, room = min(options)
        stopped.extend(left[name][:count])
        left[name] = left[name][count:]
        free[name] = room.minus(need)
        chosen.append(name)
    return chosen, stopped


def _cheapest_fit(
    need: Resources, room: Resources, victims: Sequence[Victim], name: str
) -> tuple[float, int, str, Resources] | None:
    """Count the runs with the least loss to stop until a task fits."""
    loss = float(0)
    for count, victim in enumerate((*victims, None)):
        if need.fits(room):
            return loss, count, name, room
        if victim is not None:
            room = room.plus(victim.need)
            loss += victim.loss
    return None


class FillingTest(unittest.TestCase):
    """A filling task loses no more work than it can have done."""

    def plan_with(self, cpu: int) -> list[str]:
        """Name the jobs that are stopped for a whole runner."""
        scene = Scene(
            job_spec('new', BATCH, task(Resources(cpu, 10, 8), filling=True)),
            job_spec('old', BATCH, task(Resources(64_000, 10, 8))),
        )
        for number, name in enumerate(('new', 'old')):
            began_ms = NOW_MS - (1_000, 60_000)[number]
            unit = UnitId(name, 0, 0, 0)
            scene.start(unit, f'runner-{number}', at_ms=began_ms)
        views = (view(0), view(1))
        occupancy = occupancy_of(scene.cell, views)
        capacity = CapacityPlan(scene.cell, occupancy, NOW_MS, frozenset())
        placer = Placer(capacity, NOW_MS, {})
        preemption = Preemption(scene.cell, placer, frozenset(), NOW_MS)
        plan = preemption.make_room(waiting_gang(URGENT, 1, 8))
        assert plan is not None
        return [run.task.job for run in plan.victims]

    def test_a_filling_task_that_asks_for_any_cpu_is_not_kept_for_it(
        self,
    ) -> None:
        """Others were stopped instead, though they had worked for longer."""
        for cpu in (4_000, 64_000, 2**53 - 1):
            self.assertEqual(self.plan_with(cpu), ['new'])


class PreemptionTest(unittest.TestCase):
    """The optimized search rates runners once and skips costly racks."""

    @settings(max_examples=150, deadline=None)
    @given(runs, st.integers(1, 4), st.integers(1, 8))
    def test_it_stops_what_a_plain_search_stops(
        self, running: list[Running], members: int, accelerators: int
    ) -> None:
        """Victims and runners are the same."""
        preemption = preemption_with(running)
        waiting = waiting_gang(URGENT, members, accelerators)
        reference = reference_plan(waiting, preemption)
        plan = preemption.make_room(waiting)
        if plan is None:
            self.assertIsNone(reference)
            return
        victims = [run.task.job for run in plan.victims]
        self.assertEqual((list(plan.runners), victims), reference)


if __name__ == '__main__':
    unittest.main()
