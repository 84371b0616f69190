"""Tests that nothing starts behind a cancel that was acknowledged."""

import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator.callers import Order, write_job
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from tests.simulation.cluster import GONE, OK, Cluster, Node, simulate
from tests.simulation.events import Event, EventKind
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

LONG = StepWork(20_000, (4_000, 8_000, 1))
LATE_S = 2.5
NODES = 3

EVENTS = st.lists(
    st.builds(
        Event,
        st.sampled_from(
            (
                EventKind.WAIT,
                EventKind.FREEZE,
                EventKind.HARM_WRITES,
                EventKind.KILL,
                EventKind.CUT_STORE,
            )
        ),
        st.integers(0, 11),
        st.sampled_from((0, 0.005, 0.02, 0.4)),
    ),
    min_size=4,
    max_size=10,
)
"""What happens while a job is being submitted at one instance."""

WRITE_HARMS = (FaultEffect.LATE, FaultEffect.LOST, FaultEffect.SILENT)


async def _submit_at(cluster: Cluster, node: Node, order: Order) -> None:
    cluster.world.checker.submitted.add(order.job)
    await node.call('POST', order, write_job(order))


async def _cancel_elsewhere(cluster: Cluster, node: Node, order: Order) -> None:
    others = [it for it in cluster.nodes if it is not node]
    for other in (*others, *others):
        answer = await other.call('DELETE', order)
        if answer is not None and answer.status in {OK, GONE}:
            cluster.world.checker.note_canceled(order.job)
            return
        await anyio.sleep(0.3)


async def _harm(cluster: Cluster, node: Node, event: Event) -> None:
    choice = event.choice
    match event.kind:
        case EventKind.FREEZE:
            node.link.freeze()
        case EventKind.CUT_STORE:
            node.link.cut.add('store:1')
        case EventKind.KILL:
            cluster.nodes[choice % NODES].kill()
        case EventKind.HARM_WRITES:
            effect = WRITE_HARMS[choice % len(WRITE_HARMS)]
            cluster.world.faults.store_writes = Fault(effect, delay_s=LATE_S)
    await anyio.sleep(event.pause_s)


async def _heal(cluster: Cluster) -> None:
    cluster.world.faults.store_writes = NO_FAULT
    for node in cluster.nodes:
        node.link.cut.clear()
        if node.link.frozen:
            node.link.thaw()
        node.start()


class CancelTest(unittest.TestCase):
    """A cancel binds a submission wherever that is held up."""

    def play(self, scenario) -> None:
        """Play a scenario and expect that what was canceled is gone."""
        checker = simulate(scenario, NODES).checker
        self.assertEqual(checker.broken, [])
        running = {job: checker.running_of(job) for job in checker.canceled}
        self.assertEqual({job: it for job, it in running.items() if it}, {})

    def test_an_append_that_is_carried_out_behind_the_cancel_starts_nothing(
        self,
    ) -> None:
        """The store takes it in seconds later."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(2)
            node = next(it for it in cluster.nodes if it is not holder)
            faults = cluster.world.faults
            async with anyio.create_task_group() as tasks:
                order = cluster.order('/batch/', LONG)
                faults.store_writes = Fault(FaultEffect.LATE, delay_s=LATE_S)
                tasks.start_soon(_submit_at, cluster, node, order)
                await anyio.sleep(0.05)
                faults.store_writes = NO_FAULT
                await _cancel_elsewhere(cluster, node, order)
            self.assertIn(order.job, cluster.world.checker.canceled)
            await anyio.sleep(15)
            self.assertEqual(await cluster.state(order), 'canceled')

        self.play(scenario)

    def test_a_submission_of_a_frozen_instance_starts_nothing(self) -> None:
        """It wakes behind the cancel, and its call reaches the store."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(2)
            node = next(it for it in cluster.nodes if it is not holder)
            async with anyio.create_task_group() as tasks:
                order = cluster.order('/batch/', LONG)
                tasks.start_soon(_submit_at, cluster, node, order)
                await anyio.sleep(0.001)
                node.link.freeze()
                await _cancel_elsewhere(cluster, node, order)
                node.link.thaw()
            self.assertIn(order.job, cluster.world.checker.canceled)
            await anyio.sleep(15)

        self.play(scenario)

    @HYPOTHESIS_SETTINGS
    @given(EVENTS)
    def test_nothing_starts_behind_a_cancel_under_any_series_of_faults(
        self, events: list[Event]
    ) -> None:
        """Jobs are submitted and canceled at different instances."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await anyio.sleep(2)
            for event in events:
                node = cluster.nodes[event.choice % NODES]
                order = cluster.order('/batch/', LONG)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_submit_at, cluster, node, order)
                    await _harm(cluster, node, event)
                    if event.choice % 2:
                        cluster.world.faults.store_writes = NO_FAULT
                    await _cancel_elsewhere(cluster, node, order)
                    await _heal(cluster)
                await anyio.sleep(1)
            await anyio.sleep(15)

        self.play(scenario)
