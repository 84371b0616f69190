"""Tests of whole instances under random series of faults."""

import os
import unittest
from collections.abc import Sequence

import anyio
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect, Faults
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD, Site
from tests.simulation.cluster import STORE, Cluster, Node, simulate
from tests.simulation.events import Event, EventKind

EXAMPLES = int(os.environ.get('SIMULATION_EXAMPLES', '12'))
"""Number of series; `make simulate` runs more, with fresh seeds."""

FRESH = 'SIMULATION_FRESH' in os.environ
"""Whether to draw fresh series instead of the same ones in each run."""

PHASES = (Phase.explicit, Phase.generate)
"""Without shrinking: to shrink a failing series takes as long as hundreds of
simulations."""

NODES = 3
INITIAL_JOBS = 8
"""Jobs submitted before the first fault, so that faults hit running tasks."""

OUTAGE_S = 9.0
"""Length of a store outage longer than a term, shorter than a tenure, in s."""

SETTLE_S = 60.0
"""Time in which all accepted jobs complete once the faults have ended, in
seconds: several times an unrenewed lease and a takeover."""

SHORT = StepWork(600, (4_000, 8_000, 1))
LONG = StepWork(7_000, (4_000, 8_000, 2))
GANG = StepWork(1_500, (8_000, 32_000, 8), gang=3)


EVENTS = st.lists(
    st.builds(
        Event,
        st.sampled_from(list(EventKind)),
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
CLOCK_OFFSETS_MS = (0, 2_000, -2_000, 8_000, -8_000)
"""Offsets of an instance's wall clock from true time, in ms."""

ORDER_HARMS = (
    FaultEffect.LATE,
    FaultEffect.LOST,
    FaultEffect.BUSY,
    FaultEffect.SILENT,
)


async def _apply(cluster: Cluster, event: Event) -> None:
    match event.kind:
        case EventKind.SUBMIT:
            await _submit(cluster, event.choice)
        case EventKind.CANCEL if cluster.accepted:
            choice = event.choice % len(cluster.accepted)
            await cluster.cancel(cluster.accepted[choice])
        case EventKind.HEAL:
            _heal(cluster)
        case EventKind.CRASH:
            host = _host(cluster, event.choice)
            cluster.world.fleet.kill(host)
            cluster.world.fleet.revive(host)
        case EventKind.DRAIN:
            _host(cluster, event.choice).draining = True
        case EventKind.CUT_HOST:
            host = _host(cluster, event.choice)
            cluster.world.faults.cut.add(host.place.address)
        case EventKind.OUTAGE:
            await _lose_store(cluster, event.choice)
        case _:
            _apply_to_node(cluster.nodes[event.choice % NODES], event)
            _inject_fault(cluster.world.faults, event)
    await anyio.sleep(event.pause_s)


async def _lose_store(cluster: Cluster, choice: int) -> None:
    """Cut off the store for a while, and unlist the runners until HEAL.

    Afterwards, one of the instances may be unable to reach some runners.
    """
    faults = cluster.world.faults
    writes, reads = faults.store_writes, faults.store_reads
    faults.store_writes = Fault(FaultEffect.SILENT)
    faults.store_reads = Fault(FaultEffect.SILENT)
    faults.unlisted = True
    await anyio.sleep(OUTAGE_S)
    if choice >= NODES:
        _cut_runners(cluster.nodes[choice % NODES])
    faults.store_writes = writes
    faults.store_reads = reads


def _apply_to_node(node: Node, event: Event) -> None:
    match event.kind:
        case EventKind.KILL:
            node.kill()
        case EventKind.START:
            node.start()
        case EventKind.FREEZE:
            node.link.freeze()
        case EventKind.THAW:
            node.link.thaw()
        case EventKind.CUT_STORE:
            node.link.cut.add(STORE)
        case EventKind.JUMP:
            node.clock.ahead_ms = CLOCK_OFFSETS_MS[
                event.choice % len(CLOCK_OFFSETS_MS)
            ]
        case EventKind.CUT_RUNNERS:
            _cut_runners(node)


def _cut_runners(node: Node) -> None:
    node.link.cut.update(f'runner-{number}:1' for number in range(4))


def _inject_fault(faults: Faults, event: Event) -> None:
    match event.kind:
        case EventKind.HARM_WRITES:
            faults.store_writes = _make_fault(WRITE_HARMS, event.choice)
        case EventKind.HARM_READS:
            faults.store_reads = _make_fault(READ_HARMS, event.choice)
        case EventKind.HARM_ORDERS:
            faults.orders = _make_fault(ORDER_HARMS, event.choice)
        case EventKind.HARM_LOOKS:
            harm = LOOK_HARMS[event.choice % len(LOOK_HARMS)]
            faults.looks = Fault(harm, share=0.5)
        case EventKind.UNLIST:
            faults.unlisted = True


def _make_fault(harms: Sequence[FaultEffect], choice: int) -> Fault:
    share = (0.2, 0.6, 1.0)[choice % 3]
    return Fault(harms[choice % len(harms)], share=share, delay_s=2.5)


def _host(cluster: Cluster, choice: int):
    return list(cluster.world.fleet.hosts.values())[choice]


async def _submit(cluster: Cluster, choice: int) -> None:
    orders = (
        cluster.order('/bulk/', SHORT, SHORT, width=6),
        cluster.order('/batch/', LONG, width=6),
        cluster.order('/urgent/', GANG),
        cluster.order('/batch/', GANG, SHORT),
    )
    await cluster.submit(orders[choice % len(orders)])


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
    """Remove all faults and wait until all guarantees are fulfilled."""
    _heal(cluster)
    for host in cluster.world.fleet.hosts.values():
        host.draining = False
    for node in cluster.nodes:
        node.start()
    canceled_jobs = {order.job for order in cluster.canceled}
    with anyio.move_on_after(SETTLE_S):
        for order in cluster.accepted:
            if order.job not in cluster.cancel_requested:
                await cluster.wait_state(order, 'complete', SETTLE_S)
    with anyio.move_on_after(SETTLE_S):
        while any(map(cluster.world.checker.running_of, canceled_jobs)):
            await anyio.sleep(1)


HYPOTHESIS_SETTINGS = settings(
    max_examples=EXAMPLES,
    derandomize=not FRESH,
    deadline=None,
    phases=PHASES,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class FaultsTest(unittest.TestCase):
    """All guarantees hold under any series of faults."""

    def expect_kept(self, events: list[Event], site: Site = STANDARD) -> None:
        """Check that all guarantees hold in a series."""
        missing: list[str] = []

        async def scenario(cluster: Cluster) -> None:
            await anyio.sleep(1)
            for index in range(INITIAL_JOBS):
                await _submit(cluster, index)
            for event in events:
                await _apply(cluster, event)
            await _settle(cluster)
            missing.extend(_list_unkept(cluster))

        world = simulate(scenario, NODES, site)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(missing, [])

    @HYPOTHESIS_SETTINGS
    @given(EVENTS)
    def test_promises_hold_under_any_series_of_faults(
        self, events: list[Event]
    ) -> None:
        """What was accepted is done once; what was canceled stops."""
        self.expect_kept(events)

    @HYPOTHESIS_SETTINGS
    @given(EVENTS)
    def test_promises_hold_where_lives_share_an_id(
        self, events: list[Event]
    ) -> None:
        """Runners that crash start again under the id that they had."""
        self.expect_kept(events, STANDARD._replace(lasting_ids=True))


def _list_unkept(cluster: Cluster) -> list[str]:
    """List acknowledged jobs and cancels that did not take full effect."""
    checker = cluster.world.checker
    canceled_jobs = {order.job for order in cluster.canceled}
    found: list[str] = []
    for order in cluster.accepted:
        if order.job in canceled_jobs:
            found.extend(
                f'{it} runs on' for it in checker.running_of(order.job)
            )
        if order.job in cluster.cancel_requested:
            continue
        done = {task.step for task in checker.done[order.job]}
        if len(done) < len(order.steps):
            found.append(f'{order.job}: steps {done} of {len(order.steps)}')
    return found
