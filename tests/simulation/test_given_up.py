"""Tests that no job fails because of crashes that its tasks did not cause."""

import unittest

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, Site
from tests.simulation.cluster import Cluster, simulate
from tests.simulation.events import Event, EventKind
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

RUNNERS = 6
FEW_RUNNERS = STANDARD._replace(runners=RUNNERS)
SAME_IDS = FEW_RUNNERS._replace(lasting_ids=True)

LONG = StepWork(25_000, (4_000, 8_000, 1))
GANG = StepWork(25_000, (8_000, 32_000, 4), gang=RUNNERS)
SMALL = StepWork(1_000, (4_000, 8_000, 1))

SMALL_INTERVAL_S = 1.5
ROUNDS = 4
"""How often a series is played: faults repeat on the same few runners."""

EVENTS = st.lists(
    st.builds(
        Event,
        st.sampled_from(
            (
                EventKind.CRASH,
                EventKind.CRASH,
                EventKind.CUT_HOST,
                EventKind.KILL,
                EventKind.FREEZE,
                EventKind.CUT_RUNNERS,
                EventKind.HARM_ORDERS,
                EventKind.DRAIN,
            )
        ),
        st.integers(0, RUNNERS - 1),
        st.sampled_from((0, 0.02, 0.4, 1.5, 3)),
    ),
    min_size=3,
    max_size=8,
)


async def _apply(cluster: Cluster, event: Event) -> None:
    host = list(cluster.world.fleet.hosts.values())[event.choice]
    faults = cluster.world.faults
    match event.kind:
        case EventKind.CRASH:
            cluster.world.fleet.crash(host)
        case EventKind.CUT_HOST:
            faults.cut.add(host.place.address)
        case EventKind.DRAIN:
            host.draining = True
        case EventKind.HARM_ORDERS:
            harms = (FaultEffect.LOST, FaultEffect.LATE)
            faults.orders = Fault(harms[event.choice % 2], delay_s=2.5)
        case _:
            await _disturb_holder(cluster, event.kind)
    await anyio.sleep(event.pause_s)


async def _disturb_holder(cluster: Cluster, kind: EventKind) -> None:
    node = next((it for it in cluster.nodes if it.holds), cluster.nodes[0])
    match kind:
        case EventKind.KILL:
            node.kill()
            await anyio.sleep(0.5)
            node.start()
        case EventKind.FREEZE:
            node.link.freeze()
            await anyio.sleep(2)
            node.link.thaw()
        case _:
            node.link.cut.update(f'runner-{number}:1' for number in range(3))


def _heal(cluster: Cluster) -> None:
    cluster.world.faults.orders = NO_FAULT
    cluster.world.faults.cut.clear()
    for node in cluster.nodes:
        node.link.cut.clear()
    for host in cluster.world.fleet.hosts.values():
        host.draining = False


class GivenUpTest(unittest.TestCase):
    """A job fails only after two runners went down under one of its tasks."""

    def expect_kept(self, events: list[Event], site: Site) -> None:
        """Play a series of faults beside long and short jobs."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            orders = [
                cluster.order('/batch/', GANG),
                cluster.order('/batch/', LONG, width=4),
            ]
            for order in orders:
                await cluster.submit(order)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._submit_small, cluster, orders)
                for _ in range(ROUNDS):
                    for event in events:
                        await _apply(cluster, event)
                    await anyio.sleep(2)
                    _heal(cluster)
                    await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            await anyio.sleep(5)
            for order in orders:
                await cluster.state(order)

        self.assertEqual(simulate(scenario, 3, site).checker.broken, [])

    async def _submit_small(self, cluster: Cluster, orders: list) -> None:
        while True:
            order = cluster.order('/batch/', SMALL, width=3)
            if await cluster.submit(order):
                orders.append(order)
            await anyio.sleep(SMALL_INTERVAL_S)

    @HYPOTHESIS_SETTINGS
    @given(EVENTS)
    def test_no_series_of_faults_has_an_innocent_job_given_up(
        self, events: list[Event]
    ) -> None:
        """Runners crash, fall silent and leave, and holders are replaced."""
        self.expect_kept(events, FEW_RUNNERS)

    @HYPOTHESIS_SETTINGS
    @given(EVENTS)
    def test_the_same_where_lives_share_an_id(
        self, events: list[Event]
    ) -> None:
        """Runners that crash start again under the id that they had."""
        self.expect_kept(events, SAME_IDS)
