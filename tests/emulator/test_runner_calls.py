"""Tests of calls to emulated runners."""

import unittest

import anyio

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from tests.simulation.cluster import Cluster, simulate

WORK = StepWork(1_000, (4_000, 8_000, 1))
WIDTH = 4


class LateOrderTest(unittest.TestCase):
    """An order may arrive after its runner has crashed and restarted."""

    def test_a_life_that_is_over_starts_nothing(self) -> None:
        """A late order must not start a run in a former life.

        That run would count as a second run of a task that was done elsewhere.
        """

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.LATE, delay_s=6)
            order = cluster.order('/batch/', WORK, width=WIDTH)
            await cluster.submit(order)
            await anyio.sleep(0.5)
            fleet = cluster.world.fleet
            for host in fleet.hosts.values():
                fleet.kill(host)
                fleet.revive(host)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 30)
            await anyio.sleep(6)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)
