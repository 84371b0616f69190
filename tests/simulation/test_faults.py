"""What holds of whole instances whatever goes wrong, in any order."""

import os
import unittest
from collections.abc import Sequence

import anyio
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect, Faults
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, Site
from tests.simulation.cluster import STORE, Cluster, Node, play
from tests.simulation.events import Event, What

EXAMPLES = int(os.environ.get('SIMULATION_EXAMPLES', '12'))
"""Plays; more of them by hand, with other seeds: see the Makefile."""

FRESH = 'SIMULATION_FRESH' in os.environ
"""Whether to play series that no earlier run has played."""

PHASES = (Phase.explicit, Phase.generate)
"""A series that fails is shown as it was found: making it smaller takes as
long as hundreds of plays."""

NODES = 3
FIRST_JOBS = 8
"""Jobs before anything goes wrong, so that each fault meets some that run."""

OUTAGE_S = 9.0
"""An outage of the store that outlasts a term, but no tenure."""

SETTLE_S = 60.0
"""Time in which everything that was accepted is done once all is well: a
lease that nobody renews, and a takeover, several times over."""

ONE = StepWork(600, (4_000, 8_000, 1))
LONG = StepWork(7_000, (4_000, 8_000, 2))
GANG = StepWork(1_500, (8_000, 32_000, 8), gang=3)


EVENTS = st.lists(
    st.builds(
        Event,
        st.sampled_from(list(What)),
        st.integers(0, 11),
        st.sampled_from((0, 0.01, 0.02, 0.4, 1.5, 3, 6, 9)),
    ),
    min_size=8,
    max_size=30,
)

WRITE_HARMS = (
    FaultEffect.LOST,
    FaultEffect.LATE,
    FaultEffect.BUSY,
    FaultEffect.SILENT,
    FaultEffect.SLOW,
)
READ_HARMS = (FaultEffect.SILENT, FaultEffect.BUSY, FaultEffect.SLOW)
LOOK_HARMS = (FaultEffect.SILENT, FaultEffect.LOST)
CLOCKS_MS = (0, 2_000, -2_000, 8_000, -8_000)
"""How far the time of day of an instance may be ahead of true time, in ms."""

ORDER_HARMS = (
    FaultEffect.LATE,
    FaultEffect.LOST,
    FaultEffect.BUSY,
    FaultEffect.SILENT,
)


async def _happen(cluster: Cluster, event: Event) -> None:
    match event.what:
        case What.SUBMIT:
            await _submit(cluster, event.which)
        case What.CANCEL if cluster.accepted:
            which = event.which % len(cluster.accepted)
            await cluster.cancel(cluster.accepted[which])
        case What.HEAL:
            _heal(cluster)
        case What.CRASH:
            host = _host(cluster, event.which)
            cluster.world.fleet.kill(host)
            cluster.world.fleet.revive(host)
        case What.DRAIN:
            _host(cluster, event.which).draining = True
        case What.CUT_HOST:
            host = _host(cluster, event.which)
            cluster.world.faults.cut.add(host.place.address)
        case What.OUTAGE:
            await _lose_store(cluster, event.which)
        case _:
            _strike(cluster.nodes[event.which % NODES], event)
            _harm(cluster.world.faults, event)
    await anyio.sleep(event.pause_s)


async def _lose_store(cluster: Cluster, which: int) -> None:
    """Lose the store for a while, and the entries of runners until all heals.

    When it is back, one of the instances may not reach some runners.
    """
    faults = cluster.world.faults
    writes, reads = faults.store_writes, faults.store_reads
    faults.store_writes = Fault(FaultEffect.SILENT)
    faults.store_reads = Fault(FaultEffect.SILENT)
    faults.unlisted = True
    await anyio.sleep(OUTAGE_S)
    if which >= NODES:
        _cut_runners(cluster.nodes[which % NODES])
    faults.store_writes = writes
    faults.store_reads = reads


def _strike(node: Node, event: Event) -> None:
    match event.what:
        case What.KILL:
            node.kill()
        case What.START:
            node.start()
        case What.FREEZE:
            node.link.freeze()
        case What.THAW:
            node.link.thaw()
        case What.CUT_STORE:
            node.link.cut.add(STORE)
        case What.JUMP:
            node.clock.ahead_ms = CLOCKS_MS[event.which % len(CLOCKS_MS)]
        case What.CUT_RUNNERS:
            _cut_runners(node)


def _cut_runners(node: Node) -> None:
    node.link.cut.update(f'runner-{number}:1' for number in range(4))


def _harm(faults: Faults, event: Event) -> None:
    match event.what:
        case What.HARM_WRITES:
            faults.store_writes = _fault(WRITE_HARMS, event.which)
        case What.HARM_READS:
            faults.store_reads = _fault(READ_HARMS, event.which)
        case What.HARM_ORDERS:
            faults.orders = _fault(ORDER_HARMS, event.which)
        case What.HARM_LOOKS:
            harm = LOOK_HARMS[event.which % len(LOOK_HARMS)]
            faults.looks = Fault(harm, share=0.5)
        case What.UNLIST:
            faults.unlisted = True


def _fault(harms: Sequence[FaultEffect], which: int) -> Fault:
    share = (0.2, 0.6, 1.0)[which % 3]
    return Fault(harms[which % len(harms)], share=share, delay_s=2.5)


def _host(cluster: Cluster, which: int):
    return list(cluster.world.fleet.hosts.values())[which]


async def _submit(cluster: Cluster, which: int) -> None:
    orders = (
        cluster.order('/bulk/', ONE, ONE, width=6),
        cluster.order('/batch/', LONG, width=6),
        cluster.order('/urgent/', GANG),
        cluster.order('/batch/', GANG, ONE),
    )
    await cluster.submit(orders[which % len(orders)])


def _heal(cluster: Cluster) -> None:
    faults = cluster.world.faults
    faults.store_writes = NO_FAULT
    faults.store_reads = NO_FAULT
    faults.orders = NO_FAULT
    faults.looks = NO_FAULT
    faults.cut.clear()
    faults.unlisted = False
    for node in cluster.nodes:
        node.link.cut.clear()
        if node.link.frozen:
            node.link.thaw()


async def _settle(cluster: Cluster) -> None:
    """Let all be well, and wait until every promise is kept."""
    _heal(cluster)
    for host in cluster.world.fleet.hosts.values():
        host.draining = False
    for node in cluster.nodes:
        node.start()
    gone = {order.job for order in cluster.canceled}
    with anyio.move_on_after(SETTLE_S):
        for order in cluster.accepted:
            if order.job not in cluster.asked_to_cancel:
                await cluster.wait_state(order, 'complete', SETTLE_S)
    with anyio.move_on_after(SETTLE_S):
        while any(map(cluster.world.checker.running_of, gone)):
            await anyio.sleep(1)


CHOSEN = settings(
    max_examples=EXAMPLES,
    derandomize=not FRESH,
    deadline=None,
    phases=PHASES,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class FaultsTest(unittest.TestCase):
    """Every promise is kept under any series of faults."""

    def expect_kept(self, events: list[Event], site: Site = STANDARD) -> None:
        """Expect that every promise holds in a series."""
        missing: list[str] = []

        async def scene(cluster: Cluster) -> None:
            await anyio.sleep(1)
            for kind in range(FIRST_JOBS):
                await _submit(cluster, kind)
            for event in events:
                await _happen(cluster, event)
            await _settle(cluster)
            missing.extend(_missing(cluster))

        world = play(scene, NODES, site)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(missing, [])

    @CHOSEN
    @given(EVENTS)
    def test_promises_hold_under_any_series_of_faults(
        self, events: list[Event]
    ) -> None:
        """What was accepted is done once; what was canceled stops."""
        self.expect_kept(events)

    @CHOSEN
    @given(EVENTS)
    def test_promises_hold_where_lives_share_an_id(
        self, events: list[Event]
    ) -> None:
        """Runners that crash start again under the id that they had."""
        self.expect_kept(events, STANDARD._replace(lasting_ids=True))


def _missing(cluster: Cluster) -> list[str]:
    """List what was promised and not done."""
    checker = cluster.world.checker
    gone = {order.job for order in cluster.canceled}
    found: list[str] = []
    for order in cluster.accepted:
        if order.job in gone:
            found.extend(
                f'{it} runs on' for it in checker.running_of(order.job)
            )
        if order.job in cluster.asked_to_cancel:
            continue
        done = {task.step for task in checker.done[order.job]}
        if len(done) < len(order.steps):
            found.append(f'{order.job}: steps {done} of {len(order.steps)}')
    return found
