"""Tests of the connections to runners."""

import unittest

import anyio
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from swifthoistd.choice import ChoiceConfig
from swifthoistd.counters import Dropped
from swifthoistd.runners import RunnerState
from swifthoistd.work import Done, Unknown
from tests.daemon.fake_runners import (
    FakeRunner,
    Instance,
    Mode,
    make_entry,
    make_request,
    run_virtual,
)

_NAMES = ('i1', 'i2', 'i3', 'i4')
_SETTLE_MS = 2_600
# More slots than connections, so that only the share of those binds.
_MANY_SLOTS = ChoiceConfig(slots=1_000, reserve=1_000)
_CHANGES = st.lists(
    st.sampled_from(_NAMES), min_size=1, max_size=2, unique=True
)


async def _ask(instance: Instance, count: int, deadline_ms: int) -> None:
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(
                instance.dispatcher.send,
                make_request(number, deadline_ms=deadline_ms),
                make_entry(),
            )


class ShareTest(unittest.TestCase):
    """All instances together keep within what a runner serves."""

    @settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=4,
        phases=(Phase.generate,),
    )
    @given(_CHANGES)
    def test_joins_and_leaves_never_exceed_a_runner(
        self, joining: list[str]
    ) -> None:
        """Every instance holds all that it may while the set changes."""

        async def scenario() -> None:
            runner = FakeRunner('r1', delay_s=2)
            members = ['i0']
            instances = [_wide(runner, 'i0', members)]
            async with anyio.create_task_group() as tasks:
                for name in (*joining, ''):
                    tasks.start_soon(_hold_all, instances[-1])
                    await anyio.sleep(_SETTLE_MS / 1000 + 0.5)
                    members.append(name)
                    if not name:
                        break
                    instances.append(_wide(runner, name, members))
                    await anyio.sleep(0.5)
                    for instance in instances:
                        instance.shares.update(members)
                tasks.cancel_scope.cancel()
            self.assertLessEqual(runner.most_open, 64)
            self.assertGreater(runner.most_open, 60)

        run_virtual(scenario)


def _wide(runner: FakeRunner, name: str, members: list[str]) -> Instance:
    return Instance([runner], name, members, _SETTLE_MS, _MANY_SLOTS)


async def _hold_all(instance: Instance) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(instance.dispatcher.run)
        while True:
            tasks.start_soon(_ask, instance, 40, 3_000)
            await anyio.sleep(1)


class TrustTest(unittest.TestCase):
    """A connection is trusted for as long as something is heard over it."""

    def test_silent_connections_are_replaced_within_two_seconds(self) -> None:
        """Every kept connection goes silent; idempotent requests go on."""

        async def scenario() -> None:
            runners = [FakeRunner(f'r{number}') for number in range(4)]
            instance = Instance(runners, members=['i1', 'i2'])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.dispatcher.run)
                await _ask(instance, 100, 5_000)
                for runner in runners:
                    runner.silence += 1
                began_s = anyio.current_time()
                await _ask(instance, 100, 5_000)
                self.assertLess(anyio.current_time() - began_s, 2)
                tasks.cancel_scope.cancel()
            outcomes = instance.counters.outcomes
            self.assertEqual(
                {key.outcome: count for key, count in outcomes.items()},
                {'done': 200},
            )

        run_virtual(scenario)

    def test_idle_connections_are_probed_and_replaced(self) -> None:
        """Without any request, silence is noticed within two seconds."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.dispatcher.run)
                await _ask(instance, 8, 1_000)
                await anyio.sleep(5)
                await _ask(instance, 8, 1_000)
                self.assertEqual(instance.counters.replaced, 0)
                self.assertEqual(instance.connections.held('r1'), 8)
                runner.silence += 1
                await anyio.sleep(2)
                self.assertEqual(instance.counters.replaced, 8)
                tasks.cancel_scope.cancel()

        run_virtual(scenario)

    def test_recorded_work_never_uses_a_kept_connection(self) -> None:
        """It is answered although the whole share is kept and silent."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            members = ['i1', *(f'j{number}' for number in range(7))]
            instance = Instance([runner], members=members, cfg=_MANY_SLOTS)
            await _ask(instance, 8, 1_000)
            self.assertEqual(runner.open, 8)
            runner.silence += 1
            outcome = await instance.dispatcher.send(
                make_request(9, idempotent=False), make_entry()
            )
            self.assertIsInstance(outcome, Done)

        run_virtual(scenario)

    def test_a_connection_idle_too_long_is_not_used(self) -> None:
        """Without probes nothing vouches for it."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            await _ask(instance, 1, 1_000)
            runner.silence += 1
            await anyio.sleep(3)
            began_s = anyio.current_time()
            await _ask(instance, 1, 1_000)
            self.assertLess(anyio.current_time() - began_s, 0.1)

        run_virtual(scenario)

    def test_a_leaving_runner_is_found_by_its_own_word(self) -> None:
        """The list lags, but probes hear of it; the next life serves."""

        async def scenario() -> None:
            runners = [FakeRunner('r1'), FakeRunner('r2')]
            instance = Instance(runners)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(instance.dispatcher.run)
                await anyio.sleep(1)
                runners[0].leaving = True
                await anyio.sleep(3)
                serving = instance.runners.serving('svc')
                self.assertEqual([item.runner_id for item in serving], ['r2'])
                runners[0].leaving = False
                live = RunnerState.LIVE
                instance.runners.replace([runners[0].listed(live, 2)])
                self.assertEqual(len(instance.runners.serving('svc')), 1)
                tasks.cancel_scope.cancel()

        run_virtual(scenario)

    def test_connections_to_a_runner_that_is_gone_are_closed(self) -> None:
        """They would count against nobody, but take memory."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            instance = Instance([runner])
            await _ask(instance, 3, 1_000)
            self.assertEqual(instance.connections.held('r1'), 3)
            instance.runners.replace([])
            await instance.connections.maintain()
            self.assertEqual(
                (instance.connections.held('r1'), runner.open), (0, 0)
            )

        run_virtual(scenario)

    def test_dropped_answers_are_counted(self) -> None:
        """An answer to another request reaches nobody."""

        async def scenario() -> None:
            runner = FakeRunner('r1')
            runner.mode = Mode.WRONG_ID
            instance = Instance([runner])
            outcome = await instance.dispatcher.send(
                make_request(idempotent=False), make_entry()
            )
            self.assertEqual(outcome, Unknown('mismatched'))
            dropped = instance.counters.dropped
            self.assertEqual(dropped[Dropped.MISMATCHED], 1)

        run_virtual(scenario)
