"""Tests of input that is made to bring down whoever decodes it."""

import unittest
from collections.abc import Mapping
from unittest.mock import patch

import anyio
import msgspec

from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.lives import Life, StepWork
from swifthoist_emulator.runner_calls import RunnerCalls
from swifthoist_emulator.site import SERVICE
from swifthoist_engine.records import Joined, encode_record
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_platform import names
from swifthoist_platform.store import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    RUNNER_TOPIC,
    WAVE_PREFIX,
)
from tests.simulation.cluster import Cluster, simulate

SMALL = StepWork(300, (4_000, 8_000, 1))
TOO_DEEP = b'[' * 100_000
CAPACITY = {names.CPU: 64_000, names.MEM_MB: 256_000, names.GPU: 8}
ENTRY = {
    names.SERVICE: SERVICE,
    names.ADDRESS: 'runner-0:1',
    names.ZONE: 'north',
    names.STATE: 'ready',
    names.CAPACITY: CAPACITY,
    names.LABELS: ['standard', 'rack-0'],
    names.MACHINE: 'odd',
}
ODD_ADDRESSES = (
    '127.0.0.1:99999',
    '127.0.0.1:65536',
    f'127.0.0.1:{"9" * 20}',
    f'127.0.0.1:{"9" * 5_000}',
    '127.0.0.1:0',
    '127.0.0.1:\u0663',
    '\u2603:80',
    'a\x01:80',
    'xn--a:80',
    '999.1.1.1:80',
    '[::1:80',
    'x:1:80',
    f'{"x" * 70_000}:80',
)
ODD_NUMBERS = (
    '9007199254740992',
    '9007199254740993',
    '9223372036854775808',
    '18446744073709551616',
    '-1',
    '1e300',
    '1e400',
    '0.5',
    'NaN',
    'true',
    '"8"',
    '9' * 5_000,
)
ODD_KEYS = (
    '',
    ' ',
    'caf\xe9',
    '\u2603',
    'a\nb',
    'a\x00b',
    'a b',
    'x' * 255,
)


_TASK = b'"0123456789abcdef.0.0.0"'
_ODD_TASKS = (
    b'"0123456789abcdef.0.0.%b"' % (b'9' * 5_000),
    '"0123456789abcdef.0.0.\u0663"'.encode(),
    b'"%b.0.0.0"' % (b'x' * 70_000),
    b'7',
    b'""',
)
_TOO_LARGE = (b'-1', b'true', b'9223372036854775808', b'9' * 30)
ODD_ROWS = {
    names.RUNNING: (
        *(b'[%b,1,"",100,0]' % task for task in _ODD_TASKS),
        *(b'[%b,%b,"",100,0]' % (_TASK, number) for number in _TOO_LARGE),
        *(b'[%b,1,"",%b,0]' % (_TASK, number) for number in _TOO_LARGE),
        *(b'[%b,1,"",100,%b]' % (_TASK, number) for number in _TOO_LARGE),
        b'[]',
        b'{}',
        b'7',
    ),
    names.ENDED_RUNS: (
        *(b'[1,%b,1,"done",""]' % task for task in _ODD_TASKS),
        *(b'[%b,%b,1,"done",""]' % (number, _TASK) for number in _TOO_LARGE),
        *(b'[1,%b,%b,"done",""]' % (_TASK, number) for number in _TOO_LARGE),
        b'[1,%b,1,"unheard-of",""]' % _TASK,
        b'[]',
        b'{}',
        b'7',
    ),
}


def _entry(**changes: object) -> bytes:
    return msgspec.json.encode({**ENTRY, **changes})


def _with_number(text: str) -> bytes:
    content = _entry(
        **{
            names.CAPACITY: {name: msgspec.Raw(b'0') for name in CAPACITY},
            names.REMAINING_MS: msgspec.Raw(b'0'),
            names.COLD_LEFT_MS: msgspec.Raw(b'0'),
            names.BORN: msgspec.Raw(b'0'),
        }
    )
    return content.replace(b':0', b':' + text.encode())


class PoisonousInputTest(unittest.TestCase):
    """One document must not end the instances that read it, one by one."""

    def play(self, scenario) -> None:
        """Play a scenario and expect that no guarantee was violated."""
        self.assertEqual(simulate(scenario).checker.broken, [])

    def play_entries(
        self, entries: Mapping[str, bytes], topic: str = RUNNER_TOPIC
    ) -> None:
        """Expect that work goes on beside entries that another writer left."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            epoch = holder.cell.state.epoch
            for key, content in entries.items():
                cluster.world.store.put(topic, key, content)
            await self.expect_service(cluster, epoch)
            # The next holder lists the entries at once.
            holder.kill()
            await anyio.sleep(4)
            await self.expect_service(cluster, epoch + 1)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    async def expect_service(self, cluster: Cluster, epoch: int) -> None:
        """Expect one holder that completes jobs, and instances that follow."""
        await anyio.sleep(2)
        order = cluster.order('/batch/', SMALL, width=20)
        assert await cluster.submit(order)
        await cluster.wait_state(order, 'complete', 10)
        await anyio.sleep(3)
        nodes = [node for node in cluster.nodes if node.app is not None]
        self.assertEqual({it.cell.state.epoch for it in nodes}, {epoch})
        ages = [node.app._follower.age_ms for node in nodes]
        self.assertLess(max(ages), 2_000)

    def test_a_call_that_nests_too_deep_gets_an_answer(self) -> None:
        """It is refused as invalid by every instance."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            order = cluster.order('/batch/', SMALL)
            for node in cluster.nodes:
                answer = await node.call('POST', order, TOO_DEEP)
                assert answer is not None
                self.assertEqual(answer.status, 400)

        self.play(scenario)

    def test_entries_that_nest_too_deep_are_passed_over(self) -> None:
        """They come from the operator and from a runner."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            epoch = holder.cell.state.epoch
            store = cluster.world.store
            store.put(RUNNER_TOPIC, 'poisonous', TOO_DEEP)
            store.put(OPERATOR_TOPIC, CONFIG_KEY, TOO_DEEP)
            await anyio.sleep(2)
            order = cluster.order('/batch/', SMALL, width=3)
            await cluster.submit(order)
            await cluster.wait_state(order, 'complete', 10)
            self.assertEqual(holder.cell.state.epoch, epoch)

        self.play(scenario)

    def test_addresses_that_name_no_runner_end_no_term(self) -> None:
        """Whoever lists them goes on with the other runners."""
        entries = {
            f'odd-{number}': _entry(**{names.ADDRESS: address})
            for number, address in enumerate(ODD_ADDRESSES)
        }
        self.play_entries(entries)

    def test_ids_that_no_call_can_carry_end_no_term(self) -> None:
        """A call to a runner names its id in a header."""
        self.play_entries({key: _entry() for key in ODD_KEYS})

    def test_numbers_out_of_range_end_no_term(self) -> None:
        """They are capacities, times and births, some of runners that answer."""
        self.play_entries(
            {f'odd-{text[:30]}': _with_number(text) for text in ODD_NUMBERS}
        )
        for text in ('9007199254740992', '0.5', '-1', '9' * 5_000):
            with self.subTest(text=text[:30]):
                self.play_entries({'runner-0-1': _with_number(text)})

    def test_entries_of_other_forms_end_no_term(self) -> None:
        """Some of them are nested, large, or no text."""
        deep_value = _entry()[:-1] + b',"More":' + TOO_DEEP
        self.play_entries(
            {
                'too-deep': TOO_DEEP,
                'too-deep-inside': deep_value,
                'deep': _entry(More=msgspec.Raw(b'[' * 900 + b']' * 900)),
                'no-text': b'\xff\xfe',
                'surrogate': _entry()[:-1] + b',"Zone":"\\ud800"}',
                'duplicate': _entry()[:-1] + b',"Address":7}',
                'large': _entry(Zone='z' * 1_000_000),
                'labels': _entry(Labels=['k' * 200_000, 'r' * 200_000]),
                'rows': _entry(Labels=[[], {}, None, 1]),
            }
        )

    def test_a_thousand_odd_entries_end_no_term(self) -> None:
        """They are listed over several pages."""
        address = {names.ADDRESS: '127.0.0.1:99999'}
        self.play_entries(
            {f'odd-{number}': _entry(**address) for number in range(1_000)}
        )

    def test_a_runner_keeps_its_work_when_its_entry_turns_odd(self) -> None:
        """The entry names no other runner; what was known before holds."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            order = cluster.order(
                '/batch/', StepWork(5_000, SMALL[1]), width=40
            )
            assert await cluster.submit(order)
            await anyio.sleep(1)
            epoch = holder.cell.state.epoch
            odd = _entry(**{names.ADDRESS: '127.0.0.1:99999'})
            for host in cluster.world.fleet.hosts.values():
                cluster.world.store.put(RUNNER_TOPIC, host.runner, odd)
            await cluster.wait_state(order, 'complete', 15)
            self.assertEqual(holder.cell.state.epoch, epoch)
            job = holder.cell.state.jobs[order.job]
            self.assertEqual({it.last_run for it in job.units.values()}, {1})

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    def test_odd_entries_of_the_operator_are_passed_over(self) -> None:
        """They are waves, evacuations, configurations and unknown keys."""
        huge = b'{"Wave":9007199254740993,"Machines":["runner-1"]}'
        self.play_entries(
            {
                f'{WAVE_PREFIX}1': TOO_DEEP,
                f'{WAVE_PREFIX}2': huge,
                f'{WAVE_PREFIX}3': b'{"Wave":3,"DeadlineS":1e400}',
                f'{WAVE_PREFIX}x': b'{"Wave":true,"Machines":7}',
                f'{EVACUATION_PREFIX}\u2603': TOO_DEEP,
                CONFIG_KEY: b'{"Version":1e400}',
                '': b'{}',
                'unknown': TOO_DEEP,
            },
            OPERATOR_TOPIC,
        )

    def test_odd_rows_of_a_runner_end_no_term(self) -> None:
        """They are among the runs that it lists, and those that ended."""
        real = RunnerCalls._poll
        odd_lives: set[str] = set()

        async def poll(
            calls: RunnerCalls, request: Request, life: Life
        ) -> Response:
            response = await real(calls, request, life)
            if life.runner not in odd_lives or response.status != 200:
                return response
            content = response.content
            for name, rows in ODD_ROWS.items():
                begin = f'"{name}":['.encode()
                with_odd = begin + b','.join((*rows, b''))
                content = content.replace(begin, with_odd)
            return Response(200, content.replace(b',]', b']'))

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            epoch = holder.cell.state.epoch
            host = cluster.world.fleet.hosts['runner-0:1']
            odd_lives.add(host.runner)
            await anyio.sleep(2)
            odd_lives.clear()
            await self.expect_service(cluster, epoch)

        with patch.object(RunnerCalls, '_poll', poll):
            world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    def test_addresses_of_instances_that_can_not_be_used_end_no_task(
        self,
    ) -> None:
        """They are told on the log."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            epoch = holder.cell.state.epoch
            records = [
                encode_record(Joined(f'odd-{number}', address, 64))
                for number, address in enumerate(ODD_ADDRESSES)
            ]
            now_ms = cluster.nodes[0].clock.boot_ms()
            cluster.world.store.topic(CELL_TOPIC).append(records, now_ms)
            await anyio.sleep(1)
            for node in cluster.nodes:
                await node.app._peers.hand_over(epoch)
            await self.expect_service(cluster, epoch + 1)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])
