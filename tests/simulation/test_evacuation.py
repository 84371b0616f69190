"""Tests that evacuated zones get no work during faults, on virtual time."""

import unittest

import anyio

from swifthoist_core.errors import LogUnavailableError
from swifthoist_emulator.callers import Order
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_platform.store_records import Batch
from tests.simulation.cluster import Cluster, simulate

SOUTH = 'south'
BOUND_S = 5.5
"""Time after which nothing may start in an evacuated zone, with a margin, in
seconds."""

COLD_S = 6

SHORT = StepWork(800, (4_000, 8_000, 1))
GANG = StepWork(1_500, (4_000, 8_000, 8), gang=4)


async def _overload(cluster: Cluster, seconds: float) -> list[Order]:
    """Submit more work than one zone can hold, for some time."""
    orders: list[Order] = []
    until = anyio.current_time() + seconds
    while anyio.current_time() < until:
        for prefix, work in (('/batch/', SHORT), ('/urgent/', GANG)):
            order = cluster.order(prefix, work, width=work.gang or 30)
            if await cluster.submit(order):
                orders.append(order)
        await anyio.sleep(0.5)
    return orders


async def _await_all(cluster: Cluster, orders: list[Order]) -> None:
    for order in orders:
        await cluster.wait_state(order, 'complete', 90)


def _runs_south(cluster: Cluster) -> int:
    hosts = cluster.world.fleet.hosts.values()
    lives = [host.life for host in hosts if host.place.zone == SOUTH]
    return sum(len(life.runs) for life in lives if life is not None)


class _UnreadableTopic:
    """The operator's topic of a store that refuses all reads."""

    async def read(self, *_: object) -> Batch:
        """Fail as when the store refuses the client."""
        raise LogUnavailableError('refused')

    newest = read


class EvacuationTest(unittest.TestCase):
    """The emulated platform reports each start in an evacuated zone."""

    def test_a_zone_empties_and_gets_work_again(self) -> None:
        """Guards against starts going on because nothing reads the request."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = await _overload(cluster, 3)
            cluster.world.evacuate(SOUTH)
            orders += await _overload(cluster, 10)
            self.assertEqual(_runs_south(cluster), 0)
            cluster.world.cancel_evacuation(SOUTH)
            orders += await _overload(cluster, 3)
            self.assertGreater(_runs_south(cluster), 0)
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])

    def test_a_zone_that_comes_back_cold_is_known_to_be(self) -> None:
        """Its runners report for how long; all work is still completed."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            assert holder.app is not None
            cold = holder.app._cold_zones
            cluster.world.evacuate(SOUTH)
            await anyio.sleep(1)
            cluster.world.cancel_evacuation(SOUTH, COLD_S)
            orders = await _overload(cluster, COLD_S - 1)
            self.assertEqual(cold.runners, {SOUTH: 6})
            self.assertGreater(_runs_south(cluster), 0)
            orders += await _overload(cluster, 3)
            self.assertEqual(cold.runners, {})
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])

    def test_a_takeover_knows_it(self) -> None:
        """The holder dies during an evacuation, and so does its successor."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            orders = await _overload(cluster, 3)
            cluster.world.evacuate(SOUTH)
            holder.kill()
            orders += await _overload(cluster, 6)
            (await cluster.holder()).kill()
            orders += await _overload(cluster, 6)
            self.assertEqual(_runs_south(cluster), 0)
            for node in cluster.nodes:
                node.start()
            cluster.world.cancel_evacuation(SOUTH)
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])

    def test_it_comes_and_goes_while_the_store_is_away(self) -> None:
        """Requests made in an outage take effect when it ends."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = await _overload(cluster, 3)
            faults = cluster.world.faults
            faults.store_reads = Fault(FaultEffect.SILENT)
            faults.store_writes = Fault(FaultEffect.SILENT)
            cluster.world.evacuate(SOUTH)
            await anyio.sleep(BOUND_S)
            faults.store_reads = NO_FAULT
            faults.store_writes = NO_FAULT
            orders += await _overload(cluster, 6)
            self.assertEqual(_runs_south(cluster), 0)
            faults.store_reads = Fault(FaultEffect.BUSY)
            cluster.world.cancel_evacuation(SOUTH)
            await anyio.sleep(2)
            faults.store_reads = NO_FAULT
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])

    def test_all_zones_at_once_hold_all_work_up(self) -> None:
        """Nothing starts; all accepted jobs complete afterwards."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = await _overload(cluster, 2)
            for zone in ('north', SOUTH, 'nowhere'):
                cluster.world.evacuate(zone)
            await anyio.sleep(BOUND_S)
            starts = cluster.world.checker.starts
            orders += await _overload(cluster, 4)
            self.assertEqual(cluster.world.checker.starts, starts)
            for zone in ('north', SOUTH):
                cluster.world.cancel_evacuation(zone)
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])

    def test_a_holder_that_cannot_read_requests_starts_nothing(self) -> None:
        """Guards against starts going on as long as the log is available."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            orders = await _overload(cluster, 3)
            assert holder.app is not None
            configuration = holder.app._configuration
            original = configuration._store
            configuration._store = _UnreadableTopic()
            cluster.world.evacuate(SOUTH)
            await anyio.sleep(BOUND_S)
            starts = cluster.world.checker.starts
            orders += await _overload(cluster, 6)
            self.assertTrue(holder.holds)
            self.assertEqual(cluster.world.checker.starts, starts)
            configuration._store = original
            orders += await _overload(cluster, 3)
            self.assertEqual(_runs_south(cluster), 0)
            cluster.world.cancel_evacuation(SOUTH)
            await _await_all(cluster, orders)

        self.assertEqual(simulate(scenario).checker.broken, [])


if __name__ == '__main__':
    unittest.main()
