"""Tests of terms that begin again, on virtual time.

A long outage of the store or a gap in the tenure ends a term; it then begins
again within the tenure of the same instance.
"""

import unittest
from collections.abc import Awaitable, Callable
from unittest import mock

import anyio

from swifthoist_emulator.callers import Order
from swifthoist_emulator.direct import Link
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.http import Request
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, QueueSpec
from swifthoist_instance import leases
from swifthoist_instance.context import TenureContext
from swifthoist_instance.roster import Roster
from swifthoist_instance.turns import CHECK_INTERVAL_S
from swifthoist_platform import names
from swifthoist_platform.calls import Reply
from tests.simulation.cluster import Cluster, Node, simulate, wait_until

HOLD_S = 12
"""Pause before an outage, in seconds; long enough for leases of earlier holders
to expire."""

CUT_S = 7
"""How long runners are unreachable, in seconds; slightly less than a lease."""

WIDTH = 4
LASTING = StepWork(30_000, (4_000, 8_000, 1))


async def _start_wide_job(cluster: Cluster) -> Order:
    """Submit a job of several tasks and wait until all of them run."""
    order = cluster.order('/batch/', LASTING, width=WIDTH)
    await cluster.submit(order)
    running = cluster.world.checker.running_of
    await wait_until(lambda: len(running(order.job)) == WIDTH)
    return order


def _busy_addresses(cluster: Cluster) -> list[str]:
    """List the addresses of runners that run any task."""
    return [
        address
        for address, host in cluster.world.fleet.hosts.items()
        if host.life is not None and host.life.runs
    ]


async def _replace_runners(cluster: Cluster) -> None:
    """Crash and restart all runners while appends are refused."""
    cluster.world.faults.store_writes = Fault(FaultEffect.BUSY)
    fleet = cluster.world.fleet
    for host in fleet.hosts.values():
        fleet.kill(host)
        fleet.revive(host)
    await anyio.sleep(4)
    cluster.world.faults.store_writes = NO_FAULT
    await anyio.sleep(1)


def _lose_store(cluster: Cluster) -> None:
    faults = cluster.world.faults
    faults.store_writes = Fault(FaultEffect.SILENT)
    faults.store_reads = Fault(FaultEffect.SILENT)


def _restore_store(cluster: Cluster) -> None:
    faults = cluster.world.faults
    faults.store_writes = NO_FAULT
    faults.store_reads = NO_FAULT


async def _restart_supervised(cluster: Cluster) -> Node:
    """Restart the only node with supervision: failed tasks are restarted."""
    holder = cluster.nodes[0]
    holder.kill()
    holder.supervised = True
    holder.start()
    await anyio.sleep(2 * HOLD_S)
    return holder


async def _end_term() -> None:
    """End the term for good, as a gap in the tenure does."""
    over = mock.Mock(return_value=False)
    with mock.patch.object(TenureContext, 'may_act', over):
        await wait_until(lambda: over.called)
        await anyio.sleep(2 * CHECK_INTERVAL_S)


def _delay_starts(
    cluster: Cluster, link: Link
) -> Callable[[str, Request], Awaitable[Reply]]:
    """Deliver starts 3 s late, even if their caller is gone by then."""
    carry = link.carry

    async def deliver(address: str, request: Request) -> None:
        await anyio.sleep(3)
        await carry(address, request)

    async def send(address: str, request: Request) -> Reply:
        if request.path != f'{names.ROOT}{names.RUN_START}':
            return await carry(address, request)
        cluster.tasks.start_soon(deliver, address, request)
        return await anyio.sleep_forever()

    return send


class LeaseTest(unittest.TestCase):
    """Leases renewed by the earlier term may last their full length."""

    def test_runs_outlast_an_outage_that_the_tenure_outlasts(self) -> None:
        """The interrupted tenure renewed leases right before the outage."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(HOLD_S)
            order = await _start_wide_job(cluster)
            _lose_store(cluster)
            await wait_until(lambda: not holder.holds)
            holder.link.cut.update(_busy_addresses(cluster))
            _restore_store(cluster)
            await wait_until(lambda: holder.holds)
            await anyio.sleep(CUT_S)
            holder.link.cut.clear()
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)

    def test_runs_outlast_a_lease_that_the_settings_shorten(self) -> None:
        """The earlier term granted leases of the former, longer duration."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(HOLD_S)
            order = await _start_wide_job(cluster)
            _lose_store(cluster)
            with mock.patch.object(leases, 'LEASE_SHARE', 0.2):
                await wait_until(lambda: not holder.holds)
                holder.link.cut.update(_busy_addresses(cluster))
                _restore_store(cluster)
                await wait_until(lambda: holder.holds)
                await anyio.sleep(CUT_S)
                holder.link.cut.clear()
                await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_runs_outlast_a_term_that_begins_again(self) -> None:
        """A term that a gap ended renewed leases as well."""

        async def scenario(cluster: Cluster) -> None:
            holder = await _restart_supervised(cluster)
            order = await _start_wide_job(cluster)
            holder.link.cut.update(_busy_addresses(cluster))
            await _end_term()
            await anyio.sleep(CUT_S - 1)
            holder.link.cut.clear()
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)


class OrderTest(unittest.TestCase):
    """Runs that the earlier term ordered continue or are known to be absent."""

    def test_a_rejection_does_not_give_up_a_run_that_is_there(self) -> None:
        """A runner that is briefly unhealthy keeps its runs."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(HOLD_S)
            order = await _start_wide_job(cluster)
            _lose_store(cluster)
            await wait_until(lambda: not holder.holds)
            faults = cluster.world.faults
            faults.orders = Fault(FaultEffect.BUSY)
            _restore_store(cluster)
            await wait_until(lambda: holder.holds)
            await anyio.sleep(0.3)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)

    def test_an_order_of_an_ended_term_may_be_carried_out_late(self) -> None:
        """A rejection of the same order does not rule that out."""

        async def scenario(cluster: Cluster) -> None:
            link = (await _restart_supervised(cluster)).link
            faults = cluster.world.faults
            order = cluster.order('/batch/', LASTING, width=WIDTH)
            with mock.patch.object(link, 'carry', _delay_starts(cluster, link)):
                await cluster.submit(order)
                await anyio.sleep(0.3)
                await _end_term()
            faults.orders = Fault(FaultEffect.BUSY)
            await anyio.sleep(1)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_an_order_from_before_an_outage_may_be_carried_out_late(
        self,
    ) -> None:
        """A rejection after the outage does not rule that out."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(HOLD_S)
            faults = cluster.world.faults
            order = cluster.order('/batch/', LASTING, width=WIDTH)
            delayed = _delay_starts(cluster, holder.link)
            with mock.patch.object(holder.link, 'carry', delayed):
                await cluster.submit(order)
                await anyio.sleep(0.3)
                _lose_store(cluster)
                faults.orders = Fault(FaultEffect.BUSY)
                await wait_until(lambda: not holder.holds)
            _restore_store(cluster)
            await wait_until(lambda: holder.holds)
            await anyio.sleep(0.5)
            faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_runs_outlast_a_term_that_has_no_tickets_yet(self) -> None:
        """A runner refuses a start without a ticket, even of a run it has."""
        line = QueueSpec('policed', '/policed/', 1, needs_ticket=True)
        site = STANDARD._replace(lines=(*STANDARD.lines, line))

        async def scenario(cluster: Cluster) -> None:
            await _restart_supervised(cluster)
            work = LASTING._replace(needs_ticket=True)
            order = cluster.order('/policed/', work, width=WIDTH)
            await cluster.submit(order)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(order.job)) == WIDTH)
            await _end_term()
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1, site=site)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)


class EntryTest(unittest.TestCase):
    """Registry entries of live runners expire in an outage of the store."""

    def test_an_address_that_was_not_recorded_is_recorded_later(self) -> None:
        """Runs of an unlisted runner are looked for at that address."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await _replace_runners(cluster)
            known = holder.cell.state.addresses
            living = {
                host.runner for host in cluster.world.fleet.hosts.values()
            }
            self.assertLessEqual(living, known.keys())

        simulate(scenario, count=1)

    def test_unlisted_runs_of_an_earlier_tenure_outlast_an_outage(self) -> None:
        """Their address is unknown, but this tenure renewed their leases."""

        async def scenario(cluster: Cluster) -> None:
            node = await cluster.holder()
            await anyio.sleep(HOLD_S)
            with mock.patch.object(Roster, '_note_addresses'):
                await _replace_runners(cluster)
                order = await _start_wide_job(cluster)
                node.kill()
                node.start()
                await wait_until(lambda: node.holds)
                await anyio.sleep(10)
                _lose_store(cluster)
                cluster.world.faults.unlisted = True
                await wait_until(lambda: not node.holds)
                node.link.cut.update(_busy_addresses(cluster))
                _restore_store(cluster)
                await anyio.sleep(1)
                cluster.world.faults.unlisted = False
                await anyio.sleep(5)
            node.link.cut.clear()
            await cluster.wait_state(order, 'complete', 90)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)

    def test_runs_outlast_entries_that_expired_in_an_outage(self) -> None:
        """Live runners are listed again a few seconds after the outage."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(HOLD_S)
            order = await _start_wide_job(cluster)
            _lose_store(cluster)
            cluster.world.faults.unlisted = True
            await wait_until(lambda: not holder.holds)
            _restore_store(cluster)
            await anyio.sleep(2)
            cluster.world.faults.unlisted = False
            await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, WIDTH)
