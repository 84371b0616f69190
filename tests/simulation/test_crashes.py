"""Tests of tasks that crash the runners that start them."""

import unittest
from functools import partial
from unittest.mock import patch

import anyio

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.fleet import Host
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, Site
from swifthoist_engine.model import TaskId
from tests.simulation.cluster import Cluster, simulate, wait_until

SMALL = StepWork(1_000, (4_000, 8_000, 1))
LONG = StepWork(9_000, (4_000, 8_000, 1))
CRASHING = SMALL._replace(crashes_ms=10)
GANG = StepWork(1_000, (8_000, 32_000, 8), gang=3)
LONG_GANG = StepWork(4_000, (8_000, 32_000, 8), gang=4)
FEW_RUNNERS = STANDARD._replace(runners=6)
SAME_IDS = FEW_RUNNERS._replace(lasting_ids=True)

MAX_CRASHES = 3
"""Runners that a task may crash before it is given up, in a calm platform."""


def _crashes(cluster: Cluster, job: str, step: int = 0) -> int:
    return cluster.world.checker.crashes[TaskId(job, 0, step, 0)]


async def _complete_all(cluster: Cluster, orders, limit_s: float = 40) -> None:
    for order in orders:
        await cluster.wait_state(order, 'complete', limit_s)


class CrashingTaskTest(unittest.TestCase):
    """A task that crashes its runners is given up, and no other one is."""

    def play(self, scenario, site: Site = FEW_RUNNERS, count: int = 3) -> None:
        """Play a scenario and expect that no guarantee was violated."""
        self.assertEqual(simulate(scenario, count, site).checker.broken, [])

    def test_a_task_that_crashes_each_runner_is_not_started_without_end(
        self,
    ) -> None:
        """Its job is reported as failed."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            order = cluster.order('/batch/', CRASHING)
            await cluster.submit(order)
            await cluster.wait_state(order, 'failed', 40)
            await anyio.sleep(10)
            self.assertLessEqual(_crashes(cluster, order.job), MAX_CRASHES)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    def test_its_neighbours_are_not_given_up_with_it(self) -> None:
        """Tasks that began with it, and ones that ran before, complete."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            before = cluster.order('/bulk/', LONG, width=12)
            await cluster.submit(before)
            await anyio.sleep(2)
            crashing = cluster.order('/batch/', CRASHING, width=4)
            beside = [cluster.order('/batch/', SMALL) for _ in range(6)]
            for order in (crashing, *beside):
                await cluster.submit(order)
            await cluster.wait_state(crashing, 'failed', 60)
            await _complete_all(cluster, (before, *beside))
            self.assertLessEqual(_crashes(cluster, crashing.job), MAX_CRASHES)

        self.play(scenario)

    def test_crashes_are_counted_over_takeovers(self) -> None:
        """Each holder is killed right after it has ordered the start."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            beside = [cluster.order('/bulk/', SMALL) for _ in range(3)]
            order = cluster.order('/batch/', CRASHING)
            for it in (*beside, order):
                await cluster.submit(it)
            for _ in range(4):
                before = _crashes(cluster, order.job)
                with anyio.move_on_after(8):
                    while _crashes(cluster, order.job) == before:
                        await anyio.sleep(0.05)
                holder = await cluster.holder()
                holder.kill()
                await anyio.sleep(0.5)
                holder.start()
            await cluster.wait_state(order, 'failed', 40)
            await _complete_all(cluster, beside)
            self.assertLessEqual(_crashes(cluster, order.job), 5)

        self.play(scenario)

    def test_a_crash_that_a_lost_holder_recorded_still_counts(self) -> None:
        """It is killed at the second crash, which it could not record."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            order = cluster.order('/batch/', CRASHING)
            beside = [cluster.order('/bulk/', SMALL) for _ in range(3)]
            await cluster.submit(order)
            await wait_until(lambda: _crashes(cluster, order.job) == 1)
            for it in beside:
                await cluster.submit(it)
            with anyio.fail_after(20):
                while _crashes(cluster, order.job) < 2:
                    await anyio.sleep(0.01)
            (await cluster.holder()).kill()
            await cluster.wait_state(order, 'failed', 40)
            await _complete_all(cluster, beside)
            await anyio.sleep(10)
            self.assertEqual(_crashes(cluster, order.job), 2)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    def test_crashes_are_counted_while_answers_are_lost(self) -> None:
        """Neither the starts nor the records get answers for some time."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            faults = cluster.world.faults
            order = cluster.order('/batch/', CRASHING)
            await cluster.submit(order)
            for _ in range(3):
                faults.orders = Fault(FaultEffect.LOST)
                await anyio.sleep(3)
                faults.orders = NO_FAULT
                faults.store_writes = Fault(FaultEffect.LOST)
                await anyio.sleep(3)
                faults.store_writes = NO_FAULT
                await anyio.sleep(2)
            await cluster.wait_state(order, 'failed', 60)

        self.play(scenario)

    def test_crashes_are_counted_over_the_loss_of_all_instances(self) -> None:
        """What was counted is in the log."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            order = cluster.order('/batch/', CRASHING)
            await cluster.submit(order)
            await wait_until(lambda: _crashes(cluster, order.job) == 1)
            await anyio.sleep(5)
            for node in cluster.nodes:
                node.kill()
            await anyio.sleep(1)
            for node in cluster.nodes:
                node.start()
            await cluster.wait_state(order, 'failed', 60)
            await anyio.sleep(8)
            self.assertLessEqual(_crashes(cluster, order.job), MAX_CRASHES)

        self.play(scenario)

    def test_a_gang_with_a_member_that_crashes_its_runner_is_given_up(
        self,
    ) -> None:
        """A gang without such a member completes beside it."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            gang = cluster.order('/batch/', GANG._replace(crashes_ms=10))
            sound = cluster.order('/batch/', GANG)
            for order in (gang, sound):
                await cluster.submit(order)
            await cluster.wait_state(gang, 'failed', 60)
            await _complete_all(cluster, (sound,))
            self.assertLessEqual(_crashes(cluster, gang.job), MAX_CRASHES)

        self.play(scenario)

    def test_a_lasting_task_that_crashes_its_runners_is_given_up(self) -> None:
        """It has no limit on failed attempts."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            lasting = CRASHING._replace(lasting=True)
            order = cluster.order('/batch/', lasting, width=2)
            await cluster.submit(order)
            await cluster.wait_state(order, 'failed', 60)
            await anyio.sleep(8)
            self.assertLessEqual(_crashes(cluster, order.job), MAX_CRASHES)

        self.play(scenario)

    def test_a_task_that_crashes_its_runner_some_time_after_its_start(
        self,
    ) -> None:
        """It is not known by its start, but its crashes are limited as well."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            late = StepWork(90_000, (4_000, 8_000, 1), crashes_ms=5_000)
            order = cluster.order('/batch/', late)
            beside = cluster.order('/bulk/', SMALL, width=8)
            for it in (order, beside):
                await cluster.submit(it)
            await cluster.wait_state(order, 'failed', 120)
            await _complete_all(cluster, (beside,))

        self.play(scenario)

    def test_runners_that_crash_by_themselves_fail_no_job(self) -> None:
        """Every task loses its runner more often than a crashing task may."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            fleet = cluster.world.fleet
            orders = [cluster.order('/bulk/', LONG, width=6) for _ in range(4)]
            for order in orders:
                await cluster.submit(order)
            for number in range(6):
                await anyio.sleep(1.7)
                hosts = list(fleet.hosts.values())
                for host in hosts[number % 3 :: 3]:
                    fleet.crash(host)
                await anyio.sleep(2)
            await _complete_all(cluster, orders, 90)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    def test_runners_that_fall_silent_by_themselves_fail_no_job(self) -> None:
        """They don't answer while they are down, so calls have to time out."""
        self.play(self._fall_silent_in_turn)

    def test_runners_of_lasting_ids_that_fall_silent_fail_no_job(self) -> None:
        """Their next lives answer at once under the same id."""
        self.play(self._fall_silent_in_turn, SAME_IDS)

    def test_runners_that_fall_silent_at_other_moments_fail_no_job(
        self,
    ) -> None:
        """Other moments and lengths of the losses than in the case above."""
        for up_s, down_s in ((0.9, 2), (1.2, 1.2), (1, 5)):
            for site in (FEW_RUNNERS, SAME_IDS):
                with self.subTest(up_s=up_s, down_s=down_s, site=site):
                    scenario = partial(
                        self._fall_silent_in_turn, up_s=up_s, down_s=down_s
                    )
                    self.play(scenario, site)

    def test_a_task_that_takes_machines_down_silently_is_given_up(self) -> None:
        """Machines that lose power don't break their connections."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            cluster.world.fleet.silent_crashes = True
            order = cluster.order('/batch/', CRASHING)
            await cluster.submit(order)
            await cluster.wait_state(order, 'failed', 60)
            await anyio.sleep(10)
            self.assertLessEqual(_crashes(cluster, order.job), MAX_CRASHES)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    def test_a_task_that_takes_machines_down_beyond_their_lease_is_given_up(
        self,
    ) -> None:
        """Their next lives come when the leases of the former ones are over."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            cluster.world.fleet.silent_crashes = True
            order = cluster.order('/batch/', CRASHING)
            await cluster.submit(order)
            await cluster.wait_state(order, 'failed', 150)
            self.assertLessEqual(_crashes(cluster, order.job), 5)

        with patch('swifthoist_emulator.fleet.RESTART_MS', 14_000):
            self.play(scenario)

    def test_silent_crashes_of_several_tasks_at_once_are_limited(self) -> None:
        """Runners that fall silent together excuse none without an end."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            cluster.world.fleet.silent_crashes = True
            orders = [cluster.order('/batch/', CRASHING) for _ in range(3)]
            for order in orders:
                await cluster.submit(order)
            for order in orders:
                await cluster.wait_state(order, 'failed', 90)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    async def _fall_silent_in_turn(
        self, cluster: Cluster, up_s: float = 1.7, down_s: float = 2
    ) -> None:
        await cluster.holder()
        fleet = cluster.world.fleet
        orders = [cluster.order('/bulk/', LONG, width=6) for _ in range(4)]
        for order in orders:
            await cluster.submit(order)
        for number in range(6):
            await anyio.sleep(up_s)
            hosts = list(fleet.hosts.values())
            for host in hosts[number % 3 :: 3]:
                fleet.kill(host)
            await anyio.sleep(down_s)
            for host in hosts[number % 3 :: 3]:
                fleet.revive(host)
        await _complete_all(cluster, orders, 90)

    def test_a_gang_whose_members_lose_a_runner_each_fails_no_job(self) -> None:
        """At each start another runner crashes by itself."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            fleet = cluster.world.fleet
            order = cluster.order('/batch/', LONG_GANG)
            await cluster.submit(order)
            for member in range(LONG_GANG.gang):
                fleet.crash(
                    await _wait_host(cluster, TaskId(order.job, 0, 0, member))
                )
            await cluster.wait_state(order, 'complete', 40)

        self.play(scenario)
        self.play(scenario, SAME_IDS)

    def test_starts_that_never_arrived_fail_no_job(self) -> None:
        """Holders die with them, and the runners crash before the next one."""

        async def scenario(cluster: Cluster) -> None:
            fleet = cluster.world.fleet
            await cluster.holder()
            order = cluster.order('/batch/', SMALL, width=4)
            for number in range(4):
                holder = await cluster.holder()
                await anyio.sleep(2)
                cluster.world.faults.orders = Fault(FaultEffect.SILENT)
                if not number:
                    await cluster.submit(order)
                await anyio.sleep(1)
                holder.kill()
                for host in list(fleet.hosts.values()):
                    fleet.crash(host)
                await anyio.sleep(4)
                cluster.world.faults.orders = NO_FAULT
                holder.start()
            await cluster.wait_state(order, 'complete', 40)

        self.play(scenario)
        self.play(scenario, SAME_IDS)


async def _wait_host(cluster: Cluster, task: TaskId) -> Host:
    """Wait until a task runs, and return its host."""
    with anyio.fail_after(20):
        while True:
            for host in cluster.world.fleet.hosts.values():
                runs = host.life.runs.values() if host.life else ()
                if any(run.task == task for run in runs):
                    return host
            await anyio.sleep(0.01)
