"""Tests of which units of a job may start, run or are done."""

import unittest
from itertools import product

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_engine.cell_state import CellState
from swifthoist_engine.model import (
    GANG_ORDINAL,
    JobSpec,
    Schedule,
    StepSpec,
    TaskId,
    UnitId,
)
from swifthoist_engine.progress import MAX_OPEN_OCCURRENCES
from swifthoist_engine.records import Ending, Vanished
from swifthoist_engine.snapshots import (
    FORMAT,
    HEAD_KEY,
    PACKED_FORMAT,
    encode_head,
    restore,
    take_snapshot,
)
from tests.engine.scenes import BATCH, NOW_MS, Scene, gang, job_spec, task

TIMES = 2
ALL = 1_000

STEPS = st.lists(
    st.tuples(
        st.integers(1, 3), st.booleans(), st.sets(st.integers(0, 3), max_size=2)
    ),
    min_size=1,
    max_size=4,
)
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(('start', 'done', 'stopped', 'vanished')),
        st.integers(0, 30),
    ),
    max_size=25,
)


def _make_spec(drawn: list) -> JobSpec:
    steps: list[StepSpec] = []
    for number, (width, whole, before) in enumerate(drawn):
        step = gang(width) if whole else task(count=width)
        after = tuple(sorted(it for it in before if it < number))
        steps.append(step._replace(depends_on=after))
    spec = job_spec('j', BATCH, *steps)
    return spec._replace(schedule=Schedule(NOW_MS, 0, TIMES))


def _ordinals(step: StepSpec) -> list[int]:
    return [GANG_ORDINAL] if step.gang else list(range(step.width))


class _Plain:
    """The same answers, computed from all units each time."""

    def __init__(self, scene: Scene) -> None:
        self.job = scene.job()
        self.steps = self.job.spec.steps

    def step_done(self, place: tuple[int, int]) -> bool:
        units = [
            self.job.find_unit(UnitId('j', *place, ordinal))
            for ordinal in _ordinals(self.steps[place[1]])
        ]
        return all(unit is not None and unit.done for unit in units)

    def startable(self) -> set[tuple[int, int, int]]:
        return {
            (occurrence, number, ordinal)
            for occurrence, number in product(
                range(TIMES), range(len(self.steps))
            )
            for ordinal in _ordinals(self.steps[number])
            if self._ready((occurrence, number))
            and self._waits((occurrence, number, ordinal))
        }

    def _ready(self, place: tuple[int, int]) -> bool:
        before = self.steps[place[1]].depends_on
        return all(self.step_done((place[0], it)) for it in before)

    def _waits(self, key: tuple[int, int, int]) -> bool:
        unit = self.job.find_unit(UnitId('j', *key))
        return unit is None or not (unit.done or unit.open)

    @property
    def complete(self) -> bool:
        return all(
            self.step_done((occurrence, number))
            for occurrence in range(TIMES)
            for number in range(len(self.steps))
        )


def _restored(scene: Scene) -> CellState:
    """Return the state as a snapshot keeps it."""
    taken = take_snapshot(scene.cell.state, 1, 1, 1_000)
    contents = {**taken.chunks, HEAD_KEY: encode_head(taken.head)}
    restored = restore(contents)
    assert restored is not None
    return restored.state


class ProgressTest(unittest.TestCase):
    """What is kept up to date equals what all units say."""

    def check(self, scene: Scene) -> None:
        """Compare the progress of the job with its units."""
        plain = _Plain(scene)
        progress = plain.job.progress
        progress.prepare(ALL)
        progress.open_due(lambda _: True, ALL)
        found = {
            (*place, ordinal)
            for place in progress.take_startable(ALL)
            for ordinal in progress.startable_ordinals(place)
        }
        self.assertEqual(found, plain.startable())
        units = plain.job.units
        self.assertEqual(
            set(progress.open), {key for key in units if units[key].open}
        )
        self.assertEqual(progress.settled, not plain.startable())
        self.assertEqual(plain.job.all_done(), plain.complete)

    def act(self, scene: Scene, action: str, choice: int) -> None:
        """Start a unit, or end an open run."""
        job = scene.job()
        if action == 'start':
            units = sorted(_Plain(scene).startable())
            if units:
                key = units[choice % len(units)]
                step = job.spec.steps[key[1]]
                members = step.width if step.gang else 1
                unit = job.find_unit(UnitId('j', *key))
                runners = [f'r{number}' for number in range(members)]
                run = 1 if unit is None else unit.last_run + 1
                scene.start(UnitId('j', *key), *runners, run=run)
            return
        runs = sorted(job.open_runs(), key=lambda run: run.task)
        if not runs:
            return
        run = runs[choice % len(runs)]
        if action == 'vanished':
            scene.fold(Vanished(1, run.task, run.run, run.runner, 'gone'))
        else:
            scene.end(run.task, run.runner, Ending(action), run.run)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS, ACTIONS, st.sampled_from((0, 2, ALL)))
    def test_it_follows_any_series_of_starts_and_ends(
        self, steps: list, actions: list, max_units: int
    ) -> None:
        """With dependencies, gangs and occurrences; also when derived anew."""
        scene = Scene(_make_spec(steps), max_units=max_units)
        for action, choice in actions:
            self.act(scene, action, choice)
            self.check(scene)
        scene.job().forget_progress()
        self.check(scene)

    @settings(derandomize=True, deadline=None, max_examples=150)
    @given(STEPS, ACTIONS)
    def test_units_that_are_packed_stay_done(
        self, steps: list, actions: list
    ) -> None:
        """What may start is the same as if all of them were kept."""
        spec = _make_spec(steps)
        kept, packed = Scene(spec), Scene(spec, max_units=0)
        for action, choice in actions:
            for scene in (kept, packed):
                self.act(scene, action, choice)
                self.check(scene)
        for state in (packed.cell.state, _restored(packed)):
            again = state.jobs['j']
            again.forget_progress()
            self.assertEqual(again.state, kept.job().state)
            self.assertEqual(
                set(again.progress.open), set(kept.job().progress.open)
            )
            for key, unit in kept.job().units.items():
                found = again.find_unit(UnitId('j', *key))
                self.assertIsNotNone(found)
                self.assertEqual(found.done, unit.done)

    def test_a_unit_that_the_job_does_not_have_completes_nothing(self) -> None:
        """Its record may come from any writer."""
        scene = Scene(job_spec('j', BATCH, task(count=2)))
        for occurrence, ordinal in ((0, 0), (0, 7), (3, 1), (0, -1)):
            scene.start(UnitId('j', occurrence, 0, ordinal), 'r')
            scene.end(TaskId('j', occurrence, 0, ordinal), 'r', Ending.DONE)
        self.assertFalse(scene.job().all_done())

    def test_earlier_versions_refuse_snapshots_with_packed_units(self) -> None:
        """They would start these units again; without any, nothing changes."""
        for max_units, wanted in ((ALL, FORMAT), (0, PACKED_FORMAT)):
            scene = Scene(job_spec('j', BATCH, task()), max_units=max_units)
            scene.start(UnitId('j', 0, 0, 0), 'r')
            scene.end(TaskId('j', 0, 0, 0), 'r', Ending.DONE)
            head = take_snapshot(scene.cell.state, 1, 1, 1_000).head
            self.assertEqual(head.format, wanted)

    def test_a_unit_that_the_job_does_not_have_packs_no_other(self) -> None:
        """Else another unit of the job would never start."""
        scene = Scene(job_spec('j', BATCH, task(count=2)), max_units=0)
        for occurrence, ordinal in ((0, 7), (3, 1), (0, -1)):
            scene.start(UnitId('j', occurrence, 0, ordinal), 'r')
            scene.end(TaskId('j', occurrence, 0, ordinal), 'r', Ending.DONE)
        self.assertEqual(scene.job().packed, b'')

    def test_many_steps_are_listed_in_turn(self) -> None:
        """Those that can't start don't hide the rest."""
        scene = Scene(job_spec('j', BATCH, *(task() for _ in range(10))))
        progress = scene.job().progress
        self.assertEqual(progress.prepare(4), 4)
        self.assertFalse(progress.prepared)
        self.assertEqual(progress.prepare(ALL), 6)
        progress.open_due(lambda _: True, ALL)
        seen = [progress.take_startable(4) for _ in range(6)]
        self.assertTrue(all(len(places) == 4 for places in seen))
        self.assertEqual(
            {it for places in seen for it in places},
            {(0, number) for number in range(10)},
        )

    def test_an_occurrence_that_is_not_due_is_not_listed(self) -> None:
        """The next ones are not looked at."""
        spec = job_spec('j', BATCH, task())
        spec = spec._replace(schedule=Schedule(NOW_MS, 1_000, 5))
        progress = Scene(spec).job().progress
        progress.prepare(ALL)
        asked: list[int] = []

        def is_due(occurrence: int) -> bool:
            asked.append(occurrence)
            return occurrence < 2

        progress.open_due(is_due, ALL)
        self.assertEqual(progress.take_startable(ALL), [(0, 0), (1, 0)])
        self.assertEqual(asked, [0, 1, 2])

    def test_occurrences_beyond_the_most_follow_as_others_are_done(
        self,
    ) -> None:
        """All that were due were prepared at once."""
        spec = job_spec('j', BATCH, task())
        times = MAX_OPEN_OCCURRENCES + 2
        scene = Scene(spec._replace(schedule=Schedule(NOW_MS, 0, times)))
        progress = scene.job().progress
        progress.prepare(ALL)
        for done in range(3):
            progress.open_due(lambda _: True, times)
            listed = progress.take_startable(times)
            self.assertEqual(len(listed), MAX_OPEN_OCCURRENCES)
            self.assertEqual(listed[-1][0], MAX_OPEN_OCCURRENCES + done - 1)
            scene.start(UnitId('j', done, 0, 0), 'r')
            scene.end(TaskId('j', done, 0, 0), 'r', Ending.DONE)
