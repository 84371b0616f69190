"""Tests of learned durations while connections fall silent."""

import unittest

import anyio

from swifthoist_emulator.lives import StepWork
from swifthoist_engine.duration_lines import duration_lines
from tests.simulation.cluster import Cluster, simulate, wait_until

WORK_MS = 600
LATE_MS = 1_000
SHORT = StepWork(WORK_MS, (4_000, 8_000, 1))
WIDTH = 4


async def _run_job(cluster: Cluster, *, silenced: bool) -> None:
    """Run a job; if silenced, all connections fall silent halfway."""
    order = cluster.order('/batch/', SHORT, width=WIDTH)
    assert await cluster.submit(order)
    checker = cluster.world.checker
    await wait_until(lambda: bool(checker.running_of(order.job)))
    if silenced:
        await anyio.sleep(WORK_MS / 2_000)
        cluster.network.silence(cluster.network.open_connections())
    await cluster.wait_state(order, 'complete', 30)


class BelatedTest(unittest.TestCase):
    """Ends that were read late are not learned as durations."""

    def test_ends_behind_silence_are_not_learned_as_durations(self) -> None:
        """Only ends that were read in time are learned."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(3)
            await _run_job(cluster, silenced=True)
            node = await cluster.holder()
            learned = node.cell.state.experience.durations
            lines = list(duration_lines(learned))
            self.assertTrue(all(it.usual_ms < LATE_MS for it in lines), lines)
            await _run_job(cluster, silenced=False)
            node = await cluster.holder()
            learned = node.cell.state.experience.durations
            lines = list(duration_lines(learned))
            self.assertEqual([it.queue for it in lines], ['batch'])
            self.assertLess(lines[0].usual_ms, LATE_MS)

        simulate(scenario, over_network=True)


if __name__ == '__main__':
    unittest.main()
