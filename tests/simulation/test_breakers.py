"""Tests of runners' circuit breakers in whole instances, on virtual time."""

import unittest

import anyio

from swifthoist_emulator.lives import StepWork
from tests.simulation.cluster import Cluster, simulate, wait_until

FAILS = StepWork(300, (4_000, 8_000, 1), fails=True)
TINY = StepWork(600, (4_000, 8_000, 1))


class DoubtTest(unittest.TestCase):
    """Evidence against runners is shared by all holders of the cell."""

    def test_a_runner_that_falls_silent_again_is_doubted_by_the_next_holder(
        self,
    ) -> None:
        """One silence is no evidence; the record of two outlives the holder."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            host = next(iter(cluster.world.fleet.hosts.values()))
            address = host.place.address
            cut = cluster.world.faults.cut
            doubted: list[str] = []
            for _ in range(2):
                self.assertEqual(doubted, [])
                cut.add(address)
                await anyio.sleep(4)
                cut.clear()
                await anyio.sleep(1)
                state = holder.cell.state
                doubted = state.experience.breakers.doubted(state.time_ms)
            self.assertEqual(len(doubted), 1)
            holder.kill()
            await anyio.sleep(0.2)
            state = (await cluster.holder()).cell.state
            self.assertEqual(
                state.experience.breakers.doubted(state.time_ms), doubted
            )

        simulate(scenario)

    def test_jobs_that_fail_everywhere_keep_no_runner_from_others(self) -> None:
        """Callers can't exclude runners with jobs that fail by themselves."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            for _ in range(12):
                await cluster.submit(cluster.order('/bulk/', FAILS, width=8))
            for prefix in ('/urgent/', '/batch/', '/bulk/'):
                order = cluster.order(prefix, TINY, width=4)
                await cluster.submit(order)
                await cluster.wait_state(order, 'complete', 6)
            holder = await cluster.holder()
            state = holder.cell.state

            def no_runner_doubted() -> bool:
                return not state.experience.breakers.doubted(state.time_ms)

            await wait_until(no_runner_doubted, 14)

        simulate(scenario)
