"""Tests of policies, maintenance waves and filling tasks, on virtual time."""

import unittest
from unittest.mock import patch

import anyio
import msgspec

from swifthoist_emulator.duties import Machines
from swifthoist_emulator.faults import Fault, FaultEffect
from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.lives import TAIL_TARGET_MS, StepWork
from swifthoist_emulator.site import STANDARD, QueueSpec
from swifthoist_platform import names
from swifthoist_platform.store import STATUS_TOPIC
from tests.simulation.cluster import Cluster, simulate, wait_until

POLICED = STANDARD._replace(
    lines=(
        *STANDARD.lines,
        QueueSpec('policed', '/policed/', 1, needs_ticket=True),
    )
)
SMALL = StepWork(600, (4_000, 8_000, 1))
LONG = StepWork(5_000, (4_000, 8_000, 1))
SERVING = StepWork(0, (4_000, 8_000, 0), lasting=True, serves=True)
FILLING = StepWork(6_000, (4_000, 8_000, 0), fills=True)

WAVE = 3
MACHINES = tuple(f'runner-{number}' for number in range(5))
AT_ONCE = 2


def _state_of(cluster: Cluster, wave: int) -> str:
    """Read the published state of a wave; empty if there is none."""
    newest = cluster.world.store.topic(STATUS_TOPIC).newest()
    content = newest.get(f'wave/{wave}')
    return msgspec.json.decode(content)[names.STATE] if content else ''


class PolicyTest(unittest.TestCase):
    """A policy decides which runners may run a step."""

    def test_tasks_start_only_where_their_policy_allows(self) -> None:
        """Each start carries the ticket that the runner requires."""

        async def scenario(cluster: Cluster) -> None:
            await anyio.sleep(1)
            work = SMALL._replace(needs_ticket=True)
            order = cluster.order('/policed/', work, work, width=8)
            self.assertTrue(await cluster.submit(order))
            await cluster.wait_state(order, 'complete', 15)

        world = simulate(scenario, site=POLICED)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 16)


class UpkeepTest(unittest.TestCase):
    """Maintenance waves complete, a few machines at a time."""

    def _play(self, fault: Fault | None, *, kill: bool) -> None:
        async def scenario(cluster: Cluster) -> None:
            await anyio.sleep(1)
            order = cluster.order('/bulk/', LONG, width=40)
            lasting = cluster.order('/batch/', SERVING, width=4)
            await cluster.submit(order)
            await cluster.submit(lasting)
            if fault is not None:
                cluster.world.faults.duties = fault
            cluster.world.order_upkeep(WAVE, MACHINES, AT_ONCE)
            if kill:
                await anyio.sleep(3)
                (await cluster.holder()).kill()
            begun = cluster.world.machines.begun
            await wait_until(lambda: _state_of(cluster, WAVE) == 'complete')
            self.assertEqual(begun(WAVE), set(MACHINES))
            await cluster.wait_state(order, 'complete', 40)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(lasting.job)) == 4)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])

    def test_every_machine_has_its_upkeep(self) -> None:
        """Tasks that ran on the machines run elsewhere."""
        self._play(None, kill=False)

    def test_a_wave_is_taken_over(self) -> None:
        """The next holder continues the wave where it stands."""
        self._play(None, kill=True)

    def test_orders_without_an_answer_are_not_counted_twice(self) -> None:
        """The order may have been carried out, in time or late, or not at all."""
        for harm in (
            FaultEffect.LOST,
            FaultEffect.LATE,
            FaultEffect.SILENT,
            FaultEffect.BUSY,
        ):
            with self.subTest(harm=harm):
                self._play(Fault(harm, share=0.5, delay_s=2.5), kill=False)

    def test_an_order_without_an_answer_holds_up_no_other(self) -> None:
        """One machine answers only once all the others have their upkeep."""
        answer = Machines.order_upkeep

        async def order_upkeep(self: Machines, req: Request) -> Response:
            last = len(self.begun(WAVE)) == len(MACHINES) - 1
            if req.document()[names.MACHINE] == MACHINES[0] and not last:
                await self.faults.hold_unanswered()
            return await answer(self, req)

        with patch.object(Machines, 'order_upkeep', order_upkeep):
            self._play(None, kill=False)


class FillingTest(unittest.TestCase):
    """Filling tasks yield to serving tasks."""

    def test_filling_tasks_are_paced_down(self) -> None:
        """The serving tasks beside them return below their target latency."""

        async def scenario(cluster: Cluster) -> None:
            await anyio.sleep(1)
            serving = cluster.order('/batch/', SERVING, width=12)
            await cluster.submit(serving)
            await anyio.sleep(1)
            filling = cluster.order('/bulk/', FILLING, width=12)
            await cluster.submit(filling)
            await anyio.sleep(5)
            for host in cluster.world.fleet.hosts.values():
                life = host.life
                assert life is not None
                served = [run for run in life.runs.values() if run.work.serves]
                for run in served:
                    self.assertLessEqual(life.gauge(run), TAIL_TARGET_MS)
            await cluster.wait_state(filling, 'complete', 60)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])
        self.assertGreaterEqual(world.checker.starts, 24)
