"""Tests of the loss of instances and runners, on virtual time."""

import unittest

import anyio

from swifthoist_emulator.callers import Order
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD
from tests.simulation.cluster import STORE, Cluster, simulate, wait_until

SHORT = StepWork(2_000, (4_000, 8_000, 1))
LONG = StepWork(4_000, (4_000, 8_000, 1))
TINY = StepWork(500, (100, 100, 0))
LASTING = StepWork(20_000, (4_000, 8_000, 1))
ENDLESS = StepWork(30_000, (4_000, 8_000, 1))


async def _start_job(cluster: Cluster, work: StepWork) -> Order:
    """Submit a job of one task and wait until it runs."""
    await cluster.holder()
    await anyio.sleep(1)
    order = cluster.order('/batch/', work)
    await cluster.submit(order)
    running = cluster.world.checker.running_of
    await wait_until(lambda: bool(running(order.job)))
    return order


def _kill_busy_runners(cluster: Cluster) -> None:
    fleet = cluster.world.fleet
    for host in fleet.hosts.values():
        if host.life is not None and host.life.runs:
            fleet.kill(host)


class LossTest(unittest.TestCase):
    """Jobs survive the loss of instances and runners at any time."""

    def test_a_runner_that_crashed_in_a_takeover_is_found_out(self) -> None:
        """A new life answers at once at the runner's known address."""

        async def scenario(cluster: Cluster) -> None:
            order = cluster.order('/batch/', LONG, width=4)
            await cluster.submit(order)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(order.job)) == 4)
            (await cluster.holder()).kill()
            fleet = cluster.world.fleet
            for host in fleet.hosts.values():
                if host.life is not None and host.life.runs:
                    fleet.kill(host)
                    fleet.revive(host)
            began = anyio.current_time()
            await cluster.wait_state(order, 'complete', 30)
            took_s = anyio.current_time() - began
            self.assertLess(took_s, 2 + 4 + 2)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])

    def lose_all_with_a_runner(self, held_s: float) -> float:
        """Lose all instances and the busy runners; return the recovery time.

        The runners are lost for good. The former holder restarts first and
        takes over the cell again.
        """
        took_s: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            order = await _start_job(cluster, SHORT)
            await anyio.sleep(0.5)
            if held_s:
                await anyio.sleep(held_s)
                order = await _start_job(cluster, SHORT)
            _kill_busy_runners(cluster)
            for node in cluster.nodes:
                node.kill()
            await anyio.sleep(1)
            holder.start()
            began = anyio.current_time()
            await anyio.sleep(0.3)
            for node in cluster.nodes:
                node.start()
            await cluster.wait_state(order, 'complete', 40)
            took_s.append(anyio.current_time() - began)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])
        return took_s[0]

    def test_a_lost_runner_is_given_up_a_lease_after_the_holder_came_back(
        self,
    ) -> None:
        """Only the holder's own former life can have renewed leases lately."""
        self.assertLess(self.lose_all_with_a_runner(held_s=10), 8.4 + 2 + 1.5)

    def test_holders_before_the_former_life_may_have_renewed_leases(
        self,
    ) -> None:
        """It held for less time than a holder keeps renewing in an outage."""
        self.assertGreater(self.lose_all_with_a_runner(held_s=0), 8 + 8)

    def test_a_decision_of_unknown_outcome_is_not_made_again(self) -> None:
        """Both decisions could reach the log and start the task twice."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            faults = cluster.world.faults
            order = cluster.order('/batch/', LONG, width=4)
            await cluster.submit(order)
            # The decision on this job has not been sent yet.
            faults.store_writes = Fault(FaultEffect.SILENT)
            await anyio.sleep(0.2)
            faults.store_reads = Fault(FaultEffect.SILENT)
            await anyio.sleep(9)
            for host in list(cluster.world.fleet.hosts.values())[:6]:
                host.draining = True
            await anyio.sleep(1)
            faults.store_reads = NO_FAULT
            await wait_until(lambda: holder.holds)
            await anyio.sleep(0.6)
            # The first decision gets through, the second one only after the
            # runs of the first have been started.
            faults.store_writes = Fault(FaultEffect.SLOW, delay_s=0.65)
            await anyio.sleep(0.6)
            faults.store_writes = Fault(FaultEffect.SILENT)
            await anyio.sleep(4)
            faults.store_writes = NO_FAULT
            await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_an_order_that_ended_with_its_term_is_given_again(self) -> None:
        """The next term has the same epoch."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.SILENT)
            order = cluster.order('/batch/', LONG, width=4)
            await cluster.submit(order)
            await anyio.sleep(0.5)
            faults.store_writes = Fault(FaultEffect.SILENT)
            faults.store_reads = Fault(FaultEffect.SILENT)
            await wait_until(lambda: not holder.holds)
            faults.store_writes = NO_FAULT
            faults.store_reads = NO_FAULT
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_starts_renew_the_lease_as_looks_do(self) -> None:
        """An end stays valid though polls fail to deliver it for long."""
        tiny = StepWork(600, (1_000, 1_000, 0))

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            orders = []
            cluster.world.faults.looks = Fault(FaultEffect.SILENT)
            for _ in range(24):
                orders.append(cluster.order('/batch/', tiny))
                await cluster.submit(orders[-1])
                await anyio.sleep(0.5)
            cluster.world.faults.looks = NO_FAULT
            for order in orders:
                await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 24)

    def test_starts_on_a_runner_that_was_replaced_are_given_up(self) -> None:
        """Including those folded while its other runs are given up."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            order = cluster.order('/batch/', LONG, width=4)
            await cluster.submit(order)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(order.job)) == 4)
            cluster.world.faults.store_writes = Fault(
                FaultEffect.SLOW, delay_s=0.4
            )
            fleet = cluster.world.fleet
            host = next(iter(fleet.hosts.values()))
            fleet.kill(host)
            fleet.revive(host)
            async with anyio.create_task_group() as tasks:
                for _ in range(20):
                    tiny = cluster.order('/batch/', TINY)
                    tasks.start_soon(cluster.submit, tiny)
                    await anyio.sleep(0.1)
            cluster.world.faults.store_writes = NO_FAULT
            for order in cluster.accepted:
                await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1, site=STANDARD._replace(runners=1))
        self.assertEqual(world.checker.broken, [])

    def test_looks_without_answers_renew_the_lease_too(self) -> None:
        """Otherwise an end within a live lease is void and its task runs again."""

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, SHORT)
            cluster.world.faults.looks = Fault(FaultEffect.LOST)
            await anyio.sleep(8.9)
            cluster.world.faults.looks = NO_FAULT
            await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 1)

    def test_a_done_end_counts_after_its_lease(self) -> None:
        """It is not certain whether the lease expired before the end."""

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, SHORT)
            cluster.world.faults.looks = Fault(FaultEffect.SILENT)
            await anyio.sleep(8.9)
            for host in cluster.world.fleet.hosts.values():
                self.assertGreater(host.life.now_ms, host.life.until_ms)
            cluster.world.faults.looks = NO_FAULT
            await cluster.wait_state(order, 'complete', 1)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 1)

    def test_a_start_ordered_again_ends_with_a_late_done_end(self) -> None:
        """Otherwise the task starts after its job was reported as complete."""

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, SHORT)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.SILENT)
            hosts = cluster.world.fleet.hosts.items()
            faults.cut.update(at for at, host in hosts if host.life.runs)
            job = (await cluster.holder()).cell.state.jobs[order.job]
            await wait_until(
                lambda: [run.run for run in job.open_runs()] == [2]
            )
            faults.cut.clear()
            await cluster.wait_state(order, 'complete', 1)
            faults.orders = NO_FAULT
            await anyio.sleep(3)
            self.assertEqual(list(job.open_runs()), [])

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 1)

    def test_an_end_that_was_recorded_and_not_acknowledged_counts(self) -> None:
        """The holder dies and the lease expires before the acknowledgement."""

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, SHORT)
            world = cluster.world
            host = next(it for it in world.fleet.hosts.values() if it.life.runs)
            # The poll that delivers the end is answered before it is recorded.
            world.faults.store_writes = Fault(FaultEffect.SLOW, delay_s=0.6)
            await wait_until(lambda: len(host.life.ends) == 1)
            await anyio.sleep(0.2)
            world.faults.cut.add(host.place.address)
            job = (await cluster.holder()).cell.find_job(order.job)
            await wait_until(lambda: job.complete)
            for node in cluster.nodes:
                node.kill()
            world.faults.store_writes = NO_FAULT
            await wait_until(lambda: host.life.now_ms > host.life.until_ms)
            self.assertEqual(len(host.life.ends), 1)
            world.faults.cut.clear()
            cluster.nodes[0].start()
            await cluster.wait_state(order, 'complete', 10)
            await wait_until(lambda: not host.life.ends)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 1)

    def test_a_start_of_an_earlier_term_that_is_refused_may_be_there(
        self,
    ) -> None:
        """A runner that refuses a repeated start may already run the task."""
        work = StepWork(20_000, (4_000, 8_000, 1))

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, work)
            holder = await cluster.holder()
            faults = cluster.world.faults
            faults.store_reads = Fault(FaultEffect.SILENT)
            await wait_until(lambda: not holder.holds)
            faults.orders = Fault(FaultEffect.BUSY)
            faults.store_reads = NO_FAULT
            await wait_until(lambda: holder.holds)
            await anyio.sleep(0.2)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_leases_are_renewed_while_ends_are_slow_to_record(self) -> None:
        """A runner that was not polled meanwhile is not considered silent."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            brief = cluster.order('/batch/', TINY, width=4)
            order = cluster.order('/batch/', LASTING)
            await cluster.submit(order)
            await cluster.submit(brief)
            running = cluster.world.checker.running_of
            await wait_until(lambda: running(order.job))
            cluster.world.faults.store_writes = Fault(FaultEffect.SILENT)
            await anyio.sleep(12)
            cluster.world.faults.store_writes = NO_FAULT
            await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1, site=STANDARD._replace(runners=1))
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 5)

    def test_leases_outlast_a_holder_that_was_cut_from_the_store(self) -> None:
        """It renews leases for as long as it can't know of its replacement."""

        async def scenario(cluster: Cluster) -> None:
            first = await cluster.holder()
            second = next(node for node in cluster.nodes if node is not first)
            await anyio.sleep(12)
            order = cluster.order('/batch/', ENDLESS, width=4)
            await cluster.submit(order)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(order.job)) == 4)
            hosts = cluster.world.fleet.hosts
            busy = [at for at, host in hosts.items() if host.life.runs]
            second.link.cut.update(hosts)
            first.link.cut.add(STORE)
            await wait_until(lambda: second.holds)
            await anyio.sleep(9)
            second.link.cut.intersection_update(busy)
            await anyio.sleep(4)
            first.link.cut.clear()
            second.link.cut.clear()
            await cluster.wait_state(order, 'complete', 90)

        world = simulate(scenario, count=2)
        self.assertEqual(world.checker.broken, [])

    def test_a_start_on_a_runner_that_is_found_replaced_is_given_up(
        self,
    ) -> None:
        """Including a start folded while the runs there are recorded as gone."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(1)
            faults = cluster.world.faults
            faults.store_writes = Fault(FaultEffect.SLOW, delay_s=0.2)
            fleet = cluster.world.fleet
            for host in fleet.hosts.values():
                fleet.kill(host)
                fleet.revive(host)
            orders = [
                cluster.order('/batch/', SHORT, width=4) for _ in range(12)
            ]
            async with anyio.create_task_group() as tasks:
                for order in orders:
                    tasks.start_soon(cluster.submit, order)
                    await anyio.sleep(0.1)
            faults.store_writes = NO_FAULT
            for order in orders:
                await cluster.wait_state(order, 'complete', 30)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
