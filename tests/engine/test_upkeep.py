"""Tests of upkeep waves, which take machines down for maintenance."""

import unittest

from swifthoist_engine.model import UnitId
from swifthoist_engine.records import Beat, RunnerGone, UpkeepBegun, WaveDone
from swifthoist_engine.upkeep import (
    WARM_UP_MS,
    MachineState,
    WaveState,
    cordoned_runners,
    next_step,
)
from tests.engine.scenes import BATCH, NOW_MS, Scene, job_spec, task

DEADLINE_MS = 20_000


def _machine(
    number: int, cordoned_ms: int | None = None, *, up: bool = True
) -> MachineState:
    return MachineState(f'm{number}', up, f'runner-{number}', cordoned_ms)


class WaveTest(unittest.TestCase):
    """A few machines at a time go down, once they are idle."""

    def setUp(self) -> None:
        """Start with a cell that has no jobs."""
        self.scene = Scene()

    def step(
        self,
        *machines: MachineState,
        begun: dict[str, str] | None = None,
        now_ms: int = NOW_MS,
    ) -> tuple[list[str], list[str], bool]:
        """Decide the next step of a wave in which one machine may be down."""
        wave = WaveState(1, DEADLINE_MS, machines, begun or {})
        step = next_step(wave, self.scene.cell, now_ms)
        ordered = [item.machine for item in step.order]
        return list(step.cordon), ordered, step.complete

    def test_machines_are_emptied_before_they_go_down(self) -> None:
        """One more than may be down is cordoned, so that it is idle in time."""
        cordon, ordered, complete = self.step(*map(_machine, range(4)))
        self.assertEqual(cordon, ['m0', 'm1'])
        self.assertEqual(ordered, [])
        self.assertFalse(complete)

    def test_an_idle_machine_goes_down(self) -> None:
        """No more machines go down than the limit allows."""
        machines = [_machine(number, NOW_MS) for number in range(2)]
        self.assertEqual(self.step(*machines)[1], ['m0'])

    def test_no_machine_goes_while_another_is_away(self) -> None:
        """The next one waits until the first is back as another runner."""
        away = _machine(0, NOW_MS, up=False)
        begun = {'m0': 'runner-0'}
        ordered = self.step(away, _machine(1, NOW_MS), begun=begun)[1]
        self.assertEqual(ordered, [])
        back = MachineState('m0', up=True, runner='new', cordoned_ms=NOW_MS)
        ordered = self.step(back, _machine(1, NOW_MS), begun=begun)[1]
        self.assertEqual(ordered, ['m1'])

    def test_an_order_that_was_lost_is_given_again(self) -> None:
        """The machine is still up with the same runner."""
        ordered = self.step(_machine(0, NOW_MS), begun={'m0': 'runner-0'})[1]
        self.assertEqual(ordered, ['m0'])

    def test_a_busy_machine_is_waited_for_only_so_long(self) -> None:
        """The deadline of the wave limits the wait."""
        self.scene = Scene(job_spec('j', BATCH, task()))
        self.scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        busy = _machine(0, NOW_MS)
        self.assertEqual(self.step(busy, now_ms=NOW_MS + 4_000)[1], [])
        self.assertEqual(self.step(busy, now_ms=NOW_MS + 6_000)[1], ['m0'])

    def test_a_lasting_step_keeps_the_tasks_that_it_needs(self) -> None:
        """A machine waits while too many tasks of the step are not running."""
        step = task(count=2, lasting=True, may_miss=1)
        self.scene = Scene(job_spec('j', BATCH, step))
        self.scene.start(UnitId('j', 0, 0, 0), 'runner-0')
        late = NOW_MS + 20_000
        busy = _machine(0, NOW_MS)
        self.assertEqual(self.step(busy, now_ms=late)[1], [])
        self.scene.start(UnitId('j', 0, 0, 1), 'runner-1')
        self.assertEqual(self.step(busy, now_ms=late)[1], [])
        self.scene.fold(Beat(1, NOW_MS + WARM_UP_MS + 100))
        self.assertEqual(self.step(busy, now_ms=late)[1], ['m0'])

    def test_two_machines_do_not_share_what_a_step_can_miss(self) -> None:
        """If both have a task of the step, only one of them goes down."""
        step = task(count=3, lasting=True, may_miss=1)
        self.scene = Scene(job_spec('j', BATCH, step))
        for number in range(3):
            self.scene.start(UnitId('j', 0, 0, number), f'runner-{number}')
        self.scene.fold(Beat(1, NOW_MS + WARM_UP_MS + 100))
        machines = tuple(_machine(number, NOW_MS) for number in range(2))
        wave = WaveState(2, DEADLINE_MS, machines, {})
        step = next_step(wave, self.scene.cell, NOW_MS + 20_000)
        self.assertEqual([item.machine for item in step.order], ['m0'])
        begun = {'m0': 'runner-0'}
        wave = WaveState(2, DEADLINE_MS, machines, begun)
        step = next_step(wave, self.scene.cell, NOW_MS + 20_000)
        self.assertEqual([item.machine for item in step.order], ['m0'])
        self.assertEqual(step.moved, ())

    def test_a_machine_at_its_upkeep_gets_no_work(self) -> None:
        """Its runner is cordoned even if it is still listed.

        Guards against starts on a runner that is down, each of which waits for
        an answer.
        """
        away = MachineState('m0', up=False, runner='', cordoned_ms=NOW_MS)
        wave = WaveState(1, DEADLINE_MS, (away,), {'m0': 'runner-0'})
        self.assertIn('runner-0', cordoned_runners(wave))

    def test_tasks_of_a_lasting_step_leave_one_by_one(self) -> None:
        """This empties a machine with more of its tasks than may be missing."""
        step = task(count=3, lasting=True, may_miss=1)
        self.scene = Scene(job_spec('j', BATCH, step))
        for number in range(3):
            self.scene.start(UnitId('j', 0, 0, number), 'runner-0')
        self.scene.fold(Beat(1, NOW_MS + WARM_UP_MS + 100))
        wave = WaveState(1, DEADLINE_MS, (_machine(0, NOW_MS),), {})
        step = next_step(wave, self.scene.cell, NOW_MS + 20_000)
        self.assertEqual(step.order, ())
        self.assertEqual(len(step.moved), 1)

    def test_a_wave_is_complete_once_all_are_back(self) -> None:
        """The wave is not complete while the last machine is away."""
        begun = {'m0': 'runner-0'}
        self.assertFalse(self.step(_machine(0, up=False), begun=begun)[2])
        back = MachineState('m0', up=True, runner='new', cordoned_ms=None)
        self.assertTrue(self.step(back, begun=begun)[2])

    def test_a_machine_that_returns_under_its_id_is_back(self) -> None:
        """Otherwise it counts as down for good and the wave never ends."""
        cell = self.scene.cell
        self.scene.fold(UpkeepBegun(1, 3, 'm0', 'runner-0'))
        begun = cell.state.upkeeps[3]
        self.assertFalse(self.step(_machine(0), begun=begun)[2])
        self.scene.fold(RunnerGone(1, 'runner-0'))
        self.assertTrue(self.step(_machine(0), begun=begun)[2])

    def test_a_takeover_knows_what_was_begun(self) -> None:
        """The machines that went down are known from the log."""
        self.scene.fold(UpkeepBegun(1, 7, 'm0', 'runner-0'))
        self.scene.fold(UpkeepBegun(1, 7, 'm0', 'new'))
        state = self.scene.cell.state
        self.assertEqual(state.upkeeps, {7: {'m0': 'runner-0'}})
        self.scene.fold(WaveDone(1, 7))
        self.assertEqual(state.waves_done, {7})
