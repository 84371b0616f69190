"""Tests of the choice of a runner."""

import unittest
from collections import Counter
from random import Random

import anyio

from swifthoist_core.clock import ManualClock
from swifthoistd.choice import ChoiceConfig, Chooser, Scarcity, Slot
from swifthoistd.runner_health import Verdict
from swifthoistd.runners import Runner
from swifthoistd.shares import Shares

_NEAR = [Runner(f'a{number}', f'a{number}:1', 'a', 1, 's') for number in (1, 2)]
_FAR = [Runner(f'b{number}', f'b{number}:1', 'b', 1, 's') for number in (1, 2)]


class ChooserTest(unittest.TestCase):
    """The runner with the least expected time is taken."""

    def setUp(self) -> None:
        """Make a chooser of a lone instance in zone a."""
        self.clock = ManualClock()
        self.shares = Shares('i0', self.clock, 0)
        self.shares.update(['i0'])
        self.chooser = self._chooser(ChoiceConfig())

    def _chooser(self, cfg: ChoiceConfig) -> Chooser:
        return Chooser('a', self.clock, self.shares, Random(1), cfg)

    def _choose(self, runners: list[Runner], *, trial: bool = True) -> Slot:
        slot = self.chooser.choose(runners, trial=trial, usual_ms=10)
        assert isinstance(slot, Slot)
        return slot

    def _fail(self, runner: Runner, verdict: Verdict, times: int) -> None:
        for _ in range(times):
            self._choose([runner]).free(verdict)

    def _pick(self, runners: list[Runner], times: int = 50) -> Counter[str]:
        picked: Counter[str] = Counter()
        for _ in range(times):
            slot = self._choose(runners)
            picked[slot.runner.runner_id] += 1
            slot.free()
        return picked

    def test_the_own_zone_goes_first_until_it_is_clearly_busier(self) -> None:
        """A little load stays near, more of it spills over."""
        zones = [self._choose(_NEAR + _FAR).runner.zone for _ in range(16)]
        self.assertEqual(set(zones[:6]), {'a'})
        self.assertGreater(zones.count('b'), 0)

    def test_a_slow_runner_is_left_alone_and_tried_again_later(self) -> None:
        """What was slow a minute ago may be quick now."""
        self._choose([_NEAR[0]]).free(Verdict.GOOD, 10)
        self.assertEqual(self._pick(_NEAR), {'a2': 50})
        self.clock.advance(300_000)
        self.assertGreater(self._pick(_NEAR)['a1'], 0)

    def test_an_attempt_still_running_shows_that_a_runner_is_slow(self) -> None:
        """No answer has come yet, but the time has passed."""
        self._choose([_NEAR[0]])
        busier = [self._choose([_NEAR[1]]) for _ in range(3)]
        self.assertEqual(self._pick(_NEAR), {'a1': 50})
        self.clock.advance(100)
        for slot in busier:
            slot.free()
            self._choose([_NEAR[1]])
        self.assertEqual(self._pick(_NEAR), {'a2': 50})

    def test_slots_are_kept_and_given_back_once(self) -> None:
        """A ninth request finds every slot taken."""
        slots = [self._choose([_NEAR[0]]) for _ in range(8)]
        busy = self.chooser.choose([_NEAR[0]], trial=True)
        self.assertIs(busy, Scarcity.BUSY)
        slots[0].free()
        slots[0].free()
        self.assertEqual(self.chooser.in_flight(), {'a1': 7})

    def test_peers_use_counts_until_it_is_old(self) -> None:
        """A runner that peers keep busy is avoided for a while."""
        self.chooser.note_peer_use('i1', {'a1': 6})
        self.assertEqual(self._pick(_NEAR), {'a2': 50})
        self.clock.advance(1_001)
        self.assertGreater(self._pick(_NEAR)['a1'], 0)

    def test_idle_slots_of_peers_are_used_only_within_the_reserve(self) -> None:
        """With two slots in reserve, six may be in use in all."""
        self.shares.update([f'i{number}' for number in range(8)])
        self.chooser = self._chooser(ChoiceConfig(reserve=2))
        self.chooser.note_peer_use('i1', {'a1': 3})
        for _ in range(3):
            self._choose([_NEAR[0]])
        busy = self.chooser.choose([_NEAR[0]], trial=True)
        self.assertIs(busy, Scarcity.BUSY)

    def test_a_runner_that_fails_everything_is_set_aside(self) -> None:
        """One trial at a time brings it back, idempotent work only."""
        self._pick(_NEAR)
        self._fail(_NEAR[0], Verdict.FAILED, 2)
        self.assertEqual(self._pick(_NEAR), {'a2': 50})
        self.clock.advance(1_000)
        denied = self.chooser.choose([_NEAR[0]], trial=False)
        self.assertIs(denied, Scarcity.NONE)
        trial = self._choose([_NEAR[0]])
        denied = self.chooser.choose([_NEAR[0]], trial=True)
        self.assertIs(denied, Scarcity.NONE)
        trial.free(Verdict.FAILED)
        self.clock.advance(1_999)
        denied = self.chooser.choose([_NEAR[0]], trial=True)
        self.assertIs(denied, Scarcity.NONE)
        self.clock.advance(1)
        self._choose([_NEAR[0]]).free(Verdict.GOOD)
        self._choose([_NEAR[0]], trial=False)

    def test_requests_that_fail_everywhere_condemn_no_runner(self) -> None:
        """All runners alike fail them, so the fault is theirs."""
        for _ in range(20):
            for runner in _NEAR + _FAR:
                self._fail(runner, Verdict.FAILED, 1)
        aside = self.chooser.choose(_NEAR + _FAR, trial=False)
        self.assertIsInstance(aside, Slot)

    def test_a_new_life_starts_without_a_record(self) -> None:
        """What the runner did before its restart counts no more."""
        self._fail(_NEAR[0], Verdict.UNREACHABLE, 2)
        denied = self.chooser.choose([_NEAR[0]], trial=False)
        self.assertIs(denied, Scarcity.NONE)
        self._choose([_NEAR[0]._replace(incarnation=2)], trial=False)

    def test_who_waits_is_woken_by_a_slot_given_back(self) -> None:
        """The wait ends with the attempt."""

        async def scenario() -> None:
            chooser = self._chooser(ChoiceConfig())
            slot = chooser.choose(_NEAR, trial=True)
            assert isinstance(slot, Slot)
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(chooser.wait_freed)
                    await anyio.wait_all_tasks_blocked()
                    slot.free()

        anyio.run(scenario)
