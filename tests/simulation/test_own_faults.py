"""Tests of internal faults in whole instances, on virtual time."""

import unittest
from unittest.mock import patch

import anyio

from swifthoist_emulator.lives import StepWork
from swifthoist_engine.account import Account
from swifthoist_engine.breakers import Breakers
from swifthoist_engine.placing import Placer
from tests.engine.scenes import failing
from tests.simulation.cluster import Cluster, Node, simulate, wait_until

TINY = StepWork(600, (4_000, 8_000, 1))
LONG = StepWork(30_000, (4_000, 8_000, 1))


class DecisionFaultTest(unittest.TestCase):
    """A decision that always fails on one job delays no other job."""

    def test_jobs_of_others_are_completed(self) -> None:
        """Their cancels take effect, and the failing job completes once it can."""
        faulty: set[str] = set()
        broken = failing(Placer.place, lambda _, it: it.unit.job in faulty)

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            bad = cluster.order('/urgent/', TINY, width=4)
            faulty.add(bad.job)
            canceled = cluster.order('/batch/', LONG, width=4)
            await cluster.submit(canceled)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(canceled.job)) == 4)
            await cluster.submit(bad)
            for prefix in ('/urgent/', '/batch/', '/bulk/'):
                order = cluster.order(prefix, TINY, TINY, width=4)
                await cluster.submit(order)
                await cluster.wait_state(order, 'complete', 10)
            await cluster.cancel(canceled)
            await wait_until(lambda: not running(canceled.job), 3)
            self.assertEqual(await cluster.state(bad), 'queued')
            self._assert_told_once(cluster, 'job', bad.job)
            await self._assert_shown(await cluster.holder(), bad.job)
            faulty.clear()
            await cluster.wait_state(bad, 'complete', 5)

        with patch.object(Placer, 'place', broken):
            world = simulate(scenario, expect_faults=True)
        self.assertEqual(world.checker.broken, [])

    def test_a_runner_that_fails_decisions_is_left_out(self) -> None:
        """At whatever place the decision examines the runner."""
        faulty: set[str] = set()

        def fails(_: Breakers, runner: str, now_ms: int) -> bool:
            if not faulty:
                faulty.add(runner)
            return runner in faulty

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            order = cluster.order('/batch/', TINY, width=100)
            await cluster.submit(order)
            await cluster.wait_state(order, 'complete', 10)
            self._assert_told_once(cluster, 'runner', *faulty)

        broken = failing(Breakers.suspicion, fails)
        with patch.object(Breakers, 'suspicion', broken):
            world = simulate(scenario, expect_faults=True)
        self.assertEqual(world.checker.broken, [])

    def _assert_told_once(
        self, cluster: Cluster, kind: str, *names: str
    ) -> None:
        reported = [(fault['kind'], fault['name']) for fault in cluster.faults]
        self.assertEqual(reported, [(kind, name) for name in names])

    async def _assert_shown(self, holder: Node, job: str) -> None:
        """Check that the holder's state and metrics report the fault."""
        web = holder.app.web
        shown = (await web.api.answer('GET', '/v1/state', '', b'')).document
        self.assertEqual(shown['set_aside'], 1)
        self.assertEqual(shown['faults'][0]['name'], job)
        lines = web.metrics.expose().decode().splitlines()
        self.assertIn('swifthoist_state{figure="set_aside"} 1.0', lines)
        count = shown['faults'][0]['count']
        self.assertIn(f'swifthoist_state{{figure="faults"}} {count:.1f}', lines)

    def test_a_takeover_changes_nothing(self) -> None:
        """Each holder detects the fault by itself."""
        faulty: set[str] = set()
        broken = failing(Placer.place, lambda _, it: it.unit.job in faulty)

        async def scenario(cluster: Cluster) -> None:
            bad = cluster.order('/batch/', TINY, width=4)
            faulty.add(bad.job)
            await cluster.submit(bad)
            (await cluster.holder()).kill()
            await cluster.holder()
            order = cluster.order('/batch/', TINY, width=4)
            await cluster.submit(order)
            await cluster.wait_state(order, 'complete', 10)
            faulty.clear()
            await cluster.wait_state(bad, 'complete', 5)

        with patch.object(Placer, 'place', broken):
            world = simulate(scenario, expect_faults=True)
        self.assertEqual(world.checker.broken, [])


class FoldFaultTest(unittest.TestCase):
    """Records that can't be folded completely neither block nor repeat work."""

    def test_ends_that_can_not_be_accounted_for_count(self) -> None:
        """Including at holders whose term begins while the fault lasts."""
        broken = failing(Account.add_run, lambda *args: args[2].task.step == 0)

        async def scenario(cluster: Cluster) -> None:
            orders = []
            for _ in range(3):
                await cluster.holder()
                order = cluster.order('/batch/', TINY, TINY, width=8)
                orders.append(order)
                await cluster.submit(order)
                await anyio.sleep(0.5)
                holder = await cluster.holder()
                holder.kill()
                holder.start()
            for order in orders:
                await cluster.wait_state(order, 'complete', 15)
            shown = [
                (await node.app.web.api.answer('GET', '/v1/jobs', '', b''))
                for node in cluster.nodes
            ]
            self.assertEqual(shown[0], shown[1])
            self.assertEqual(shown[0], shown[2])

        with patch.object(Account, 'add_run', broken):
            world = simulate(scenario, expect_faults=True)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 3 * 2 * 8)
