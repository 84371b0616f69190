"""Tests of the occupancy that is kept from one decision to the next."""

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_engine import fleet
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, UnitId
from swifthoist_engine.occupancy import FreeRoom, Occupancy, occupancy_of
from swifthoist_engine.planner import DecisionInput, decide
from swifthoist_engine.records import Canceled, Ending, Vanished
from swifthoist_engine.runners import RunnerView
from tests.engine.scenes import (
    BATCH,
    BULK,
    CATALOGUE,
    NOW_MS,
    URGENT,
    Scene,
    gang,
    job_spec,
    task,
    view,
)

RUNNERS = 6
PER_RACK = 3
JOBS = (
    job_spec('urgent', URGENT, gang(2)),
    job_spec('tight', BATCH, gang(3, checkpointing=True)),
    job_spec('wide', BULK, task(count=12)),
    job_spec('late', URGENT, gang(4)),
    job_spec('spread', BULK, task(count=3, spread_limit=1)),
)

endings = st.sampled_from((Ending.DONE, Ending.FAILED, Ending.STOPPED))
action_lists = st.lists(
    st.one_of(
        st.tuples(st.just('end'), st.integers(0, 30), endings),
        st.tuples(st.just('vanish'), st.integers(0, 30)),
        st.tuples(st.just('cancel'), st.integers(0, len(JOBS) - 1)),
        st.tuples(
            st.just('runner'),
            st.integers(0, RUNNERS - 1),
            st.booleans(),
            st.integers(0, 3),
        ),
        st.tuples(st.just('restore')),
        st.tuples(st.just('wait'), st.integers(1, 6_000)),
    ),
    max_size=25,
)


class CellDriver:
    """A cell with runners, to which random actions are applied."""

    def __init__(self) -> None:
        """Start with all jobs waiting."""
        self.scene = Scene(*JOBS)
        self.views = [view(n, rack=n // PER_RACK) for n in range(RUNNERS)]
        self.now_ms = NOW_MS

    def decision_input(self, occupancy: Occupancy | None) -> DecisionInput:
        """Make the input of a decision."""
        return DecisionInput(
            self.scene.cell,
            CATALOGUE,
            tuple(self.views),
            frozenset(),
            {},
            self.now_ms,
            occupancy=occupancy,
        )

    def apply(self, action: tuple) -> None:
        """Apply one action."""
        cell = self.scene.cell
        match action:
            case ('end', number, ending):
                run = self._run(number)
                if run is not None:
                    self.scene.end(run.task, run.runner, ending, run.run)
            case ('vanish', number):
                run = self._run(number)
                if run is not None:
                    cell.fold(Vanished(1, run.task, run.run, run.runner, ''))
            case ('cancel', number):
                cell.fold(Canceled(JOBS[number].job, self.now_ms))
            case ('runner', number, usable, suspicion):
                self.views[number] = self.views[number]._replace(
                    open=usable, suspicion=suspicion
                )
            case ('restore',):
                cell.replace_state(cell.state)
            case ('wait', pause_ms):
                self.now_ms += pause_ms

    def _run(self, number: int) -> OpenRun | None:
        runs = self.scene.cell.runs.all()
        return runs[number % len(runs)] if runs else None


class OccupancyTest(unittest.TestCase):
    """The maintained occupancy equals one that is counted from scratch."""

    @settings(max_examples=60, deadline=None)
    @given(action_lists)
    def test_it_equals_one_made_anew_after_any_records(
        self, actions: list[tuple]
    ) -> None:
        """Free room and the runs of each runner are equal."""
        driver = CellDriver()
        maintained = Occupancy()
        for action in (('wait', 1), *actions):
            driver.apply(action)
            views = tuple(driver.views)
            maintained.sync(driver.scene.cell, views)
            recounted = occupancy_of(driver.scene.cell, views)
            self._compare(maintained, recounted)
            for started in decide(driver.decision_input(None), 1).starts:
                driver.scene.fold(started)

    @settings(max_examples=40, deadline=None)
    @given(action_lists)
    def test_it_changes_no_decision(self, actions: list[tuple]) -> None:
        """Starts, stops and their order are the same."""
        driver = CellDriver()
        maintained = Occupancy()
        for action in (('wait', 1), *actions):
            driver.apply(action)
            cell = driver.scene.cell
            # A decision removes settled jobs from the dirty set.
            dirty = set(cell.dirty)
            decision = decide(driver.decision_input(maintained), 1)
            cell.dirty = dirty
            self.assertEqual(decision, decide(driver.decision_input(None), 1))
            for started in decision.starts:
                driver.scene.fold(started)

    def test_a_runner_that_can_not_be_counted_leaves_nothing_half_counted(
        self,
    ) -> None:
        """Once the runner is valid again, all runners are counted again."""
        scene = Scene(job_spec('j', BATCH, task(count=4)))
        sound = tuple(view(n) for n in range(RUNNERS))
        maintained = Occupancy()
        maintained.sync(scene.cell, sound)
        scene.start(UnitId('j', 0, 0, 0), 'runner-3')
        odd = (view(0, room=None), *sound[1:])
        for _ in range(2):
            with self.assertRaises(AttributeError):
                maintained.sync(scene.cell, odd)
        maintained.sync(scene.cell, sound)
        self._compare(maintained, occupancy_of(scene.cell, sound))

    def _compare(self, maintained: Occupancy, recounted: Occupancy) -> None:
        room, other = maintained.room(), recounted.room()
        self.assertEqual(room.free, other.free)
        self.assertEqual(+room.rack_free, +other.rack_free)
        self.assertEqual(room.accelerators, other.accelerators)
        for name in maintained.fleet.views:
            runs = maintained.runs(name, frozenset())
            self.assertCountEqual(runs, recounted.runs(name, frozenset()))

    def test_room_taken_ahead_on_one_runner_hides_none_on_another(
        self,
    ) -> None:
        """The sum over the rack is 0, yet one of its runners has room."""
        room = occupancy_of(Scene().cell, (view(0), view(1))).room()
        room.put('runner-0', 'rack-0', Resources(0, 0, -8))
        self.assertTrue(room.may_hold('rack-0', 8))
        self.assertFalse(room.may_hold('rack-0', 9))


class CostTest(unittest.TestCase):
    """The cost of a decision, as the number of runners examined."""

    def test_many_waiting_units_do_not_look_at_each_runner_again(self) -> None:
        """Equal runners are examined once for units of the same shape."""
        jobs = [job_spec(f'j{n}', BATCH, gang(3)) for n in range(40)]
        driver = CellDriver()
        driver.scene = Scene(*jobs)
        checked: list[RunnerView] = []
        original = fleet._may_run

        def count(
            requirements: fleet.RunnerRequirements, seen: RunnerView
        ) -> bool:
            checked.append(seen)
            return original(requirements, seen)

        maintained = Occupancy()
        with patch.object(fleet, '_may_run', count):
            for _ in range(5):
                decide(driver.decision_input(maintained), 1)
        racks = RUNNERS // PER_RACK
        self.assertLessEqual(len(checked), racks)

    def test_runners_on_which_nothing_changed_are_not_counted_again(
        self,
    ) -> None:
        """Only the runner on which a run started is counted."""
        scene = Scene(job_spec('j', BATCH, task(count=2)))
        views = tuple(view(n) for n in range(RUNNERS))
        maintained = Occupancy()
        maintained.sync(scene.cell, views)
        scene.start(UnitId('j', 0, 0, 0), 'runner-3')
        counted: list[str] = []
        original = FreeRoom.put

        def count(
            room: FreeRoom, runner: str, rack: str, free: Resources
        ) -> None:
            counted.append(runner)
            original(room, runner, rack, free)

        with patch.object(FreeRoom, 'put', count):
            maintained.sync(scene.cell, views)
        self.assertEqual(counted, ['runner-3'])


if __name__ == '__main__':
    unittest.main()
