"""Tests of starts that are held up until after a restart of their runner."""

import unittest
from collections.abc import Awaitable, Callable, Sequence

import anyio
from hypothesis import given
from hypothesis import strategies as st

from swifthoist_emulator.callers import Order
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.fleet import Host
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.world import World
from swifthoist_instance.lives import MAX_ORDER_DELAY_MS, RECORD_VALIDITY_MS
from tests.simulation.cluster import Cluster, simulate, wait_until
from tests.simulation.test_faults import HYPOTHESIS_SETTINGS

SITE = STANDARD._replace(lasting_ids=True)
ONE_RUNNER = SITE._replace(runners=1)
TINY = StepWork(300, (4_000, 8_000, 1))
SHORT = StepWork(2_500, (4_000, 8_000, 1))
GANG = StepWork(1_500, (8_000, 32_000, 8), gang=3)
DOWN_S = 0.2
BEHIND_S = 0.002
"""How long before the late start its runner is back, in seconds: no look can
reach it in between."""

ACKNOWLEDGED_S = (MAX_ORDER_DELAY_MS + RECORD_VALIDITY_MS) / 1_000 + 3
"""Time in which ends are acknowledged at last, in seconds."""

STOPPED_GANG = [
    ('prompt', 2, 0.1, 2.5),
    ('reborn', 1, 0.9, 5.590564872281162),
    ('job', 1, 0.27032187219787734, 2.00001),
    ('prompt', 1, 2.8836144859200044, 5.50808041995147),
    ('reborn', 1, 0.1, 6.307051355526382),
    ('kill', 1, 1.6, 7.306064412998891),
    ('restart', 1, 2.025321653749959, 8.245412061558065),
    ('late', 1, 1.9437901388851784, 6.532362648591058),
    ('late', 3, 1.8645686403655064, 8.416474947508075),
    ('job', 0, 0.35089870767858905, 4.942529418339257),
    ('restart', 3, 0.6920071680455322, 5.014686581956788),
    ('reborn', 0, 0.25, 3.148054625993349),
    ('restart', 1, 3.0, 11.567639304899929),
    ('restart', 2, 2.1316046862396925, 9.553476270298153),
    ('restart', 2, 0.3333333333333333, 3.534945593405057),
    ('job', 2, 1.6502724948704408, 7.070586253877437),
    ('late', 0, 0.05, 7.8727192113920355),
    ('prompt', 2, 1.9, 4.149681672390301),
    ('reborn', 2, 1.5, 10.332053919628148),
    ('restart', 1, 1.2620782722368018, 4.006500859860328),
    ('restart', 1, 2.437436126204286, 2.85143681190446),
    ('restart', 3, 0.75, 8.266200542560362),
    ('kill', 2, 1.8614356863475987, 3.5),
    ('reborn', 0, 1.2922194188163638, 5.076312382094436),
    ('restart', 1, 2.6964115719615154, 2.586177899511535),
    ('job', 2, 2.322937848872247, 8.75004834765454),
    ('prompt', 3, 2.899567341104594, 9.501419839452891),
    ('kill', 2, 0.9122813982102367, 4.576243511332044),
    ('reborn', 0, 0.25, 3.148054625993349),
]
"""A series in which a member of a gang is stopped on a runner whose next life
then begins it."""

Between = Callable[[Cluster], Awaitable[None]]


async def _nothing(_: Cluster) -> None:
    """Leave the cluster alone."""


async def _take_over(cluster: Cluster) -> None:
    """Kill the holder; another instance claims the cell."""
    holder = await cluster.holder()
    holder.kill()
    await anyio.sleep(2)
    await cluster.holder()


async def _come_back(cluster: Cluster) -> None:
    """Kill the holder, which claims the cell again in its next life."""
    holder = await cluster.holder()
    holder.kill()
    holder.start()
    await wait_until(lambda: holder.holds, 5)
    await anyio.sleep(0.5)


async def _restart(
    cluster: Cluster, hosts: list[Host], down_s: float = DOWN_S
) -> None:
    fleet = cluster.world.fleet
    for host in hosts:
        fleet.kill(host)
    await anyio.sleep(down_s)
    for host in hosts:
        fleet.revive(host)


class HeldUpTest(unittest.TestCase):
    """A start without an answer arrives just behind a restart."""

    def play(
        self,
        delay_s: float,
        *steps: StepWork,
        between: Between = _nothing,
        site=ONE_RUNNER,
    ) -> World:
        """Hold the first starts up; restart the runners before they arrive."""

        async def scenario(cluster: Cluster) -> None:
            warm_up = cluster.order('/batch/', TINY)
            await cluster.submit(warm_up)
            await cluster.wait_state(warm_up, 'complete', 6)
            order = await self._submit(cluster, delay_s, steps)
            began = anyio.current_time()
            await anyio.sleep(0.4)
            cluster.world.faults.orders = NO_FAULT
            await between(cluster)
            await cluster.wait_state(order, 'complete', 6)
            down = began + delay_s - DOWN_S - BEHIND_S - anyio.current_time()
            await anyio.sleep(down)
            await _restart(cluster, _hosts(cluster.world))
            await anyio.sleep(ACKNOWLEDGED_S)

        world = simulate(scenario, site=site)
        self.assertEqual(world.checker.broken, [])
        self.assertFalse([it for it in _lives(world) if it.ends])
        return world

    async def _submit(
        self, cluster: Cluster, delay_s: float, steps: tuple[StepWork, ...]
    ) -> Order:
        order = cluster.order('/batch/', *steps)
        cluster.world.faults.orders = Fault(FaultEffect.LATE, delay_s=delay_s)
        starts = cluster.world.checker.starts
        await cluster.submit(order)
        self.assertEqual(cluster.world.checker.starts, starts)
        return order

    def test_an_end_is_not_acknowledged_while_its_start_may_arrive(
        self,
    ) -> None:
        """Only the memory of the former life barred the late start."""
        for delay_s in (5.3, 8, 11.9):
            self.play(delay_s, SHORT)

    def test_the_next_holder_knows_which_starts_may_arrive(self) -> None:
        """It acknowledges no end that the former holder withheld."""
        for delay_s in (7, 11.9):
            self.play(delay_s, SHORT, between=_take_over)
            self.play(delay_s, SHORT, between=_come_back)

    def test_a_gang_is_withheld_by_all_its_runners(self) -> None:
        """One acknowledged end stands for those of all members."""
        self.play(7, GANG, site=SITE)

    def test_callers_are_told_of_an_end_at_once(self) -> None:
        """Only the acknowledgement waits."""

        async def scenario(cluster: Cluster) -> None:
            warm_up = cluster.order('/batch/', TINY)
            await cluster.submit(warm_up)
            await cluster.wait_state(warm_up, 'complete', 6)
            order = await self._submit(cluster, 9, (TINY,))
            await anyio.sleep(0.4)
            cluster.world.faults.orders = NO_FAULT
            await cluster.wait_state(order, 'complete', 3)
            life = _lives(cluster.world)[0]
            self.assertEqual(len(life.ends), 1)
            # Later ends count, too, and hide behind none of them.
            for _ in range(3):
                later = cluster.order('/batch/', TINY)
                await cluster.submit(later)
                await cluster.wait_state(later, 'complete', 2)
            self.assertEqual(len(life.ends), 4)
            await wait_until(lambda: not life.ends, ACKNOWLEDGED_S)

        world = simulate(scenario, site=ONE_RUNNER)
        self.assertEqual(world.checker.broken, [])


def _hosts(world: World) -> list[Host]:
    return list(world.fleet.hosts.values())


def _lives(world: World):
    return [host.life for host in _hosts(world) if host.life]


class AnyDelayTest(unittest.TestCase):
    """Orders of all kinds are late while runners and holders restart."""

    @HYPOTHESIS_SETTINGS
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(
                    ('late', 'reborn', 'prompt', 'restart', 'kill', 'job')
                ),
                st.integers(0, 3),
                st.floats(0.05, 3),
                st.floats(2, 12),
            ),
            min_size=10,
            max_size=30,
        )
    )
    def test_no_run_begins_anew_behind_an_acknowledged_end(
        self, events: list[tuple[str, int, float, float]]
    ) -> None:
        """However late the order, and however often its runner restarts."""
        self.play(events)

    def test_a_start_that_was_stopped_does_not_reach_a_later_life(
        self,
    ) -> None:
        """Its gang runs elsewhere by then."""
        self.play(STOPPED_GANG)

    def play(self, events: Sequence[tuple[str, int, float, float]]) -> None:
        """Play a series, and expect that no guarantee was violated."""

        async def scenario(cluster: Cluster) -> None:
            for _ in range(3):
                await cluster.submit(cluster.order('/batch/', SHORT, width=3))
            for event in events:
                await self._apply(cluster, *event)
            cluster.world.faults.orders = NO_FAULT
            for order in cluster.accepted:
                await cluster.wait_state(order, 'complete', 60)
            await anyio.sleep(ACKNOWLEDGED_S)

        world = simulate(scenario, site=SITE._replace(runners=3))
        self.assertEqual(world.checker.broken, [], events)

    async def _apply(
        self,
        cluster: Cluster,
        kind: str,
        choice: int,
        pause_s: float,
        delay_s: float,
    ) -> None:
        faults, fleet = cluster.world.faults, cluster.world.fleet
        match kind:
            case 'late':
                faults.orders = Fault(FaultEffect.LATE, 0.6, delay_s)
            case 'reborn':
                faults.orders = Fault(FaultEffect.REBORN, 0.2, delay_s)
            case 'prompt':
                faults.orders = NO_FAULT
            case 'restart':
                host = list(fleet.hosts.values())[choice % 3]
                fleet.kill(host)
                await anyio.sleep(min(pause_s, 1))
                fleet.revive(host)
            case 'kill':
                node = cluster.nodes[choice % 3]
                node.kill()
                node.start()
            case _:
                work = (TINY, SHORT, GANG)[choice % 3]
                order = cluster.order('/batch/', work, width=1 + choice % 3)
                await cluster.submit(order)
        await anyio.sleep(pause_s)
