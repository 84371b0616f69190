"""Tests of runners whose capacity changes while they run."""

import unittest

import anyio

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.fleet import Host
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import RUNNER_CAPACITY, STANDARD
from swifthoist_engine.model import Resources
from tests.simulation.cluster import Cluster, simulate

SITE = STANDARD._replace(runners=4)
SHRUNK = Resources(16_000, 65_536, 2)
SMALL = StepWork(700, (4_000, 8_000, 1))
LONG = StepWork(6_000, (4_000, 8_000, 1))
WHOLE_RUNNER = StepWork(700, (8_000, 32_000, 8))


def _resize(cluster: Cluster, room: Resources, count: int = 4) -> None:
    fleet = cluster.world.fleet
    for host in list(fleet.hosts.values())[:count]:
        fleet.resize(host, room)


def _running(host: Host) -> int:
    return len(host.life.runs) if host.life else 0


async def _change(cluster: Cluster, number: int) -> None:
    match number % 8:
        case 2:
            _resize(cluster, SHRUNK, 3)
        case 4 if number > 8:
            holder = await cluster.holder()
            holder.kill()
            holder.start()
        case 6:
            _resize(cluster, RUNNER_CAPACITY)


class CapacityTest(unittest.TestCase):
    """No start brings a runner over the capacity that it reports."""

    def play(self, scenario) -> None:
        """Play a scenario and expect that no guarantee was violated."""
        world = simulate(scenario, site=SITE)
        self.assertEqual(world.checker.broken, [])

    def test_shrunk_runners_get_no_more_than_they_hold(self) -> None:
        """They shrink and grow under load, with the loss of the holder."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = []
            for number in range(24):
                prefix = '/batch/' if number % 4 else '/urgent/'
                order = cluster.order(prefix, SMALL, width=6)
                orders.append(order)
                await cluster.submit(order)
                await anyio.sleep(0.5)
                await _change(cluster, number)
            for order in orders:
                await cluster.wait_state(order, 'complete', 40)

        self.play(scenario)

    def test_runners_that_shrink_in_a_burst_take_no_more_and_are_used_again(
        self,
    ) -> None:
        """Urgent jobs stop others there, which hold their room until the end."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            checker = cluster.world.checker
            before = [cluster.order('/bulk/', LONG, width=8) for _ in range(8)]
            for order in before:
                await cluster.submit(order)
            await anyio.sleep(2)
            _resize(cluster, SHRUNK)
            burst = []
            for number in range(12):
                prefix = '/batch/' if number % 2 else '/urgent/'
                burst.append(cluster.order(prefix, SMALL, width=4))
                await cluster.submit(burst[-1])
                await anyio.sleep(0.5)
            await anyio.sleep(4)
            fleet = cluster.world.fleet
            crowd = [_running(host) for host in fleet.hosts.values()]
            self.assertLessEqual(max(crowd), SHRUNK.accelerators)
            self.assertEqual(checker.broken, [])
            _resize(cluster, RUNNER_CAPACITY)
            with anyio.fail_after(5):
                while min(map(_running, fleet.hosts.values())) <= (
                    SHRUNK.accelerators
                ):
                    await anyio.sleep(0.1)
            for order in (*before, *burst):
                await cluster.wait_state(order, 'complete', 120)

        self.play(scenario)

    def test_a_start_without_an_answer_is_not_repeated_on_a_shrunk_runner(
        self,
    ) -> None:
        """It was decided by the room that there was before."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            before = cluster.order('/batch/', LONG._replace(work_ms=20_000))
            await cluster.submit(before)
            await anyio.sleep(1)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.SILENT)
            order = cluster.order('/batch/', LONG, width=12)
            await cluster.submit(order)
            await anyio.sleep(0.5)
            _resize(cluster, SHRUNK)
            await anyio.sleep(6)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 60)

        self.play(scenario)

    def test_a_job_that_fits_nowhere_for_now_waits_for_room_to_grow(
        self,
    ) -> None:
        """It is neither refused nor given up."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            _resize(cluster, SHRUNK)
            await anyio.sleep(6)
            order = cluster.order('/batch/', WHOLE_RUNNER)
            self.assertTrue(await cluster.submit(order))
            await anyio.sleep(8)
            self.assertEqual(await cluster.state(order), 'queued')
            _resize(cluster, RUNNER_CAPACITY)
            await cluster.wait_state(order, 'complete', 10)

        self.play(scenario)
