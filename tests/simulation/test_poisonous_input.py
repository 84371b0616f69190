"""Tests of input that is made to bring down whoever decodes it."""

import unittest

import anyio

from swifthoist_emulator.lives import StepWork
from swifthoist_platform.store import CONFIG_KEY, OPERATOR_TOPIC, RUNNER_TOPIC
from tests.simulation.cluster import Cluster, simulate

SMALL = StepWork(300, (4_000, 8_000, 1))
TOO_DEEP = b'[' * 100_000


class PoisonousInputTest(unittest.TestCase):
    """One document must not end the instances that read it, one by one."""

    def play(self, scenario) -> None:
        """Play a scenario and expect that no guarantee was violated."""
        self.assertEqual(simulate(scenario).checker.broken, [])

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
