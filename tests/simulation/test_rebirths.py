"""Tests of runners that restart under the same id."""

import unittest

import anyio

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.fleet import Host
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.world import World
from tests.simulation.cluster import Cluster, simulate, wait_until

SITE = STANDARD._replace(lasting_ids=True)
ONE_RUNNER = SITE._replace(runners=1)
TINY = StepWork(300, (4_000, 8_000, 1))
LONG = StepWork(5_000, (4_000, 8_000, 1))
FAILING = TINY._replace(fails=True)


def _restart_hosts(cluster: Cluster, hosts: list[Host]) -> None:
    for host in hosts:
        cluster.world.fleet.kill(host)
        cluster.world.fleet.revive(host)


def _hosts(cluster: Cluster) -> list[Host]:
    return list(cluster.world.fleet.hosts.values())


def _busy_hosts(cluster: Cluster) -> list[Host]:
    return [it for it in _hosts(cluster) if it.life and it.life.runs]


async def _complete_jobs(cluster: Cluster, count: int = 1) -> None:
    """Run some jobs to completion, one by one."""
    for _ in range(count):
        order = cluster.order('/batch/', TINY)
        await cluster.submit(order)
        await cluster.wait_state(order, 'complete', 6)


async def _start_job(cluster: Cluster, work: StepWork, width: int = 4):
    """Submit a job and wait until all its tasks run."""
    await cluster.holder()
    await anyio.sleep(1)
    order = cluster.order('/batch/', work, width=width)
    await cluster.submit(order)
    running = cluster.world.checker.running_of
    await wait_until(lambda: len(running(order.job)) == width)
    return order


class RebirthTest(unittest.TestCase):
    """Ends, orders and leases of a runner start over with each life."""

    def expect_kept(self, world: World) -> None:
        """Expect that no guarantee was violated."""
        self.assertEqual(world.checker.broken, [])

    def test_ends_of_a_new_life_count_from_one(self) -> None:
        """The new ends reuse numbers of ends that were folded before."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster, 4)
            _restart_hosts(cluster, _hosts(cluster))
            await _complete_jobs(cluster, 3)
            life = _hosts(cluster)[0].life
            assert life is not None
            await wait_until(lambda: not life.ends, 3)

        self.expect_kept(simulate(scenario, site=ONE_RUNNER))

    def test_failed_ends_of_two_lives_are_counted_once_each(self) -> None:
        """Otherwise a job that always fails gets more attempts than allowed."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster, 3)
            _restart_hosts(cluster, _hosts(cluster))
            order = cluster.order('/batch/', FAILING)
            await cluster.submit(order)
            starts = cluster.world.checker.starts
            await cluster.wait_state(order, 'failed', 10)
            self.assertEqual(cluster.world.checker.starts - starts, 3)

        self.expect_kept(simulate(scenario, site=ONE_RUNNER))

    def test_a_life_that_began_in_a_takeover_is_known(self) -> None:
        """The next holder must not acknowledge new ends by old numbers."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster, 4)
            order = await _start_job(cluster, LONG, 2)
            (await cluster.holder()).kill()
            _restart_hosts(cluster, _hosts(cluster))
            began = anyio.current_time()
            await cluster.wait_state(order, 'complete', 20)
            self.assertLess(anyio.current_time() - began, 2 + 5 + 2)
            await _complete_jobs(cluster, 2)

        self.expect_kept(simulate(scenario, site=ONE_RUNNER))

    def test_a_start_that_was_held_up_does_not_reach_the_next_life(
        self,
    ) -> None:
        """The start was retried, and its run was done before the crash."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.LATE, delay_s=4)
            order = cluster.order('/batch/', TINY)
            await cluster.submit(order)
            await anyio.sleep(0.3)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 3)
            _restart_hosts(cluster, _hosts(cluster))
            await anyio.sleep(5)

        self.expect_kept(simulate(scenario, site=ONE_RUNNER))

    def test_a_late_start_at_the_next_life_does_not_run_beside_another(
        self,
    ) -> None:
        """Without an answer it is unknown which life carries out the start."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster, 2)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.LATE, delay_s=2.5)
            order = cluster.order('/batch/', LONG, width=6)
            await cluster.submit(order)
            await anyio.sleep(0.4)
            _restart_hosts(cluster, _hosts(cluster))
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 20)
            await anyio.sleep(3)

        self.expect_kept(simulate(scenario, site=SITE))

    def test_work_is_given_up_at_once_though_its_runner_is_cut_off(
        self,
    ) -> None:
        """The new life's registry entry shows that the former one is over."""

        async def scenario(cluster: Cluster) -> None:
            order = await _start_job(cluster, LONG)
            await anyio.sleep(1)
            hosts = _busy_hosts(cluster)
            cut = cluster.world.faults.cut
            cut.update(host.place.address for host in hosts)
            _restart_hosts(cluster, hosts)
            began = anyio.current_time()
            await cluster.wait_state(order, 'complete', 20)
            self.assertLess(anyio.current_time() - began, 2 + 5 + 1)

        self.expect_kept(simulate(scenario, site=SITE))

    def test_what_was_canceled_meanwhile_is_stopped_in_the_next_life(
        self,
    ) -> None:
        """A late start ordered by a dead holder may begin there."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.LATE, delay_s=1.2)
            order = cluster.order('/batch/', LONG)
            await cluster.submit(order)
            await anyio.sleep(0.3)
            (await cluster.holder()).kill()
            _restart_hosts(cluster, _hosts(cluster))
            faults.orders = NO_FAULT
            await cluster.cancel(order)
            await anyio.sleep(3)
            running = cluster.world.checker.running_of
            self.assertEqual(running(order.job), [])

        self.expect_kept(simulate(scenario, site=ONE_RUNNER))

    def test_starts_that_reach_a_life_not_yet_known_run_once(self) -> None:
        """Their answers don't show that another life gave them."""

        async def scenario(cluster: Cluster) -> None:
            await _complete_jobs(cluster)
            for _ in range(12):
                order = cluster.order('/batch/', TINY, width=4)
                await cluster.submit(order)
                _restart_hosts(cluster, _hosts(cluster))
                await anyio.sleep(0.4)
            for order in cluster.accepted:
                await cluster.wait_state(order, 'complete', 20)

        self.expect_kept(simulate(scenario, site=SITE._replace(runners=3)))
