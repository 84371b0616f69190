"""Tests of holders that are killed again and again while the log expires."""

import unittest
from collections.abc import Callable, Sequence
from contextlib import AbstractContextManager
from typing import Any
from unittest import mock

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator import store_calls
from swifthoist_emulator.callers import Order
from swifthoist_emulator.lives import StepWork
from swifthoist_engine.account import Account
from swifthoist_engine.jobs import Job
from swifthoist_instance import snapshotting
from swifthoist_instance.journal import CELL_TOPIC
from tests.simulation.cluster import GONE, OK, Cluster, Node, simulate
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

ENDLESS = StepWork(600_000, (4_000, 8_000, 1))
TINY = StepWork(500, (4_000, 8_000, 1))
KEEP_MS = 20_000
"""How long the log keeps records, in ms."""

FAILING_S = 27.0
"""How long snapshots fail, in seconds: longer than the log keeps records."""

URGENT_S = 4.0
"""Time in which an urgent job of half a second is done, in seconds."""

DOWN_S = 0.3
CALM_S = 12.0
NINE_KILLS = tuple(('kill', 2.7) for _ in range(9))


async def _kill_holder(cluster: Cluster) -> None:
    """Kill the holder; it starts again soon."""
    holder = await cluster.holder()
    holder.kill()
    await anyio.sleep(DOWN_S)
    holder.start()


async def _find_forgotten(
    cluster: Cluster, orders: Sequence[Order]
) -> list[str]:
    """List the jobs that a node does not know, or does not answer for."""
    forgotten: list[str] = []
    for node in cluster.nodes:
        for order in orders:
            status = await _status(node, order)
            if status != OK:
                forgotten.append(f'{order.job} at {node.name}: {status}')
    return forgotten


async def _status(node: Node, order: Order) -> int:
    answer = await node.call('GET', order)
    return 0 if answer is None else answer.status


async def _lose_all(cluster: Cluster) -> None:
    """Kill all instances; they start again at once."""
    for node in cluster.nodes:
        node.kill()
    for node in cluster.nodes:
        node.start()
    await anyio.sleep(CALM_S)


async def _serve(cluster: Cluster) -> Order:
    """Complete an urgent job."""
    order = cluster.order('/urgent/', TINY)
    await cluster.submit(order)
    await cluster.wait_state(order, 'complete', URGENT_S)
    return order


class FailingSnapshotTest(unittest.TestCase):
    """Snapshots fail for longer than the log keeps, then all is lost."""

    def play(
        self,
        fail: Callable[[], AbstractContextManager[object]],
        *,
        recovers: bool,
    ) -> None:
        """Complete jobs before, during and behind the failures."""

        async def scenario(cluster: Cluster) -> None:
            for node in cluster.nodes:
                node.supervised = True
            await _lose_all(cluster)
            with fail():
                lasting = cluster.order('/batch/', ENDLESS)
                await cluster.submit(lasting)
                done = [await _serve(cluster)]
                await anyio.sleep(FAILING_S)
                done.append(await _serve(cluster))
                if not recovers:
                    await _lose_all(cluster)
            if recovers:
                await anyio.sleep(CALM_S)
                await _lose_all(cluster)
            shown = [await cluster.state(it) for it in (*done, lasting)]
            self.assertEqual(shown, ['complete', 'complete', 'active'])
            await _serve(cluster)

        with mock.patch.object(store_calls, 'RETENTION_MS', KEEP_MS):
            with mock.patch.object(snapshotting, 'MAX_AGE_MS', KEEP_MS // 5):
                world = simulate(scenario, expect_faults=None)
        self.assertEqual(world.checker.broken, [])

    def test_jobs_outlast_totals_that_no_snapshot_can_hold(self) -> None:
        """Jobs that callers were told are complete were active again."""

        def add_too_much(account: Account, job: Job, *args: Any) -> None:
            add_run(account, job, *args)
            for line in account.lines.values():
                line.vain = 2**64

        add_run = Account.add_run
        self.play(
            lambda: mock.patch.object(Account, 'add_run', add_too_much),
            recovers=False,
        )

    def test_jobs_outlast_snapshots_that_failed_for_a_while(self) -> None:
        """The next one has all that the log has forgotten meanwhile."""
        fault = mock.Mock(side_effect=RuntimeError('a fault'))
        self.play(
            lambda: mock.patch.object(snapshotting, 'take_snapshot', fault),
            recovers=True,
        )


class CrashingHolderTest(unittest.TestCase):
    """Accepted jobs outlast short tenures, and a log that forgets."""

    def play(
        self, keep_s: int, events: Sequence[tuple[str, float]], calm_s: float
    ) -> None:
        """Play a series; all accepted jobs must be known in the end."""
        found: list[str] = []

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = [cluster.order('/batch/', ENDLESS) for _ in range(3)]
            for order in orders:
                await cluster.submit(order)
            for kind, pause_s in events:
                await self._apply(cluster, kind)
                await anyio.sleep(pause_s)
                found.extend(await self._find_gone(cluster))
            await anyio.sleep(calm_s)
            found.extend(await _find_forgotten(cluster, cluster.accepted))

        with mock.patch.object(store_calls, 'RETENTION_MS', keep_s * 1_000):
            world = simulate(scenario)
        self.assertEqual(found, [])
        self.assertEqual(world.checker.broken, [])

    async def _apply(self, cluster: Cluster, kind: str) -> None:
        match kind:
            case 'kill':
                await _kill_holder(cluster)
            case 'restart':
                for node in cluster.nodes:
                    node.kill()
                    node.start()
            case 'forget':
                folded = (await cluster.holder()).app._follower.position
                cluster.world.store.topic(CELL_TOPIC).forget(folded)
            case _:
                await cluster.submit(cluster.order('/batch/', ENDLESS))

    async def _find_gone(self, cluster: Cluster) -> list[str]:
        """List the jobs of which a node says that they don't exist."""
        return [
            f'{order.job} at {node.name}'
            for node in cluster.nodes
            for order in cluster.accepted
            if await _status(node, order) == GONE
        ]

    def test_jobs_outlast_a_holder_that_crashes_again_and_again(self) -> None:
        """Each tenure was shorter than a fifth of the retention time."""
        self.play(20, NINE_KILLS, CALM_S)

    def test_jobs_outlast_the_loss_of_all_behind_short_tenures(self) -> None:
        """No instance was left that had read the first records."""
        self.play(20, [*NINE_KILLS, ('restart', 8)], CALM_S)

    def test_a_cell_is_not_kept_by_an_instance_that_keeps_crashing(
        self,
    ) -> None:
        """Its next life claimed the cell each time before others could."""
        holders: list[str] = []

        async def scenario(cluster: Cluster) -> None:
            for _ in range(6):
                await cluster.holder()
                await anyio.sleep(2.7)
                holders.append((await cluster.holder()).name)
                await _kill_holder(cluster)

        simulate(scenario)
        self.assertGreater(len(set(holders)), 1)

    @HYPOTHESIS_SETTINGS
    @given(
        st.sampled_from((20, 60)),
        st.lists(
            st.tuples(
                st.sampled_from(('kill', 'kill', 'forget', 'submit')),
                st.one_of(st.floats(2, 3), st.floats(2, 20)),
            ),
            min_size=8,
            max_size=14,
        ),
    )
    def test_jobs_outlast_any_series(
        self, keep_s: int, events: list[tuple[str, float]]
    ) -> None:
        """Holders are killed, history is forgotten, and all are lost at last."""
        self.play(keep_s, [*events, ('restart', 8)], CALM_S)
