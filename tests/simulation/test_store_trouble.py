"""Tests of a store that is slow, or that turns some instances away."""

import unittest
from typing import NamedTuple

import anyio

from swifthoist_emulator.callers import Order, write_job
from swifthoist_emulator.faults import NO_FAULT, Fault, FaultEffect
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import STANDARD
from swifthoist_emulator.store_calls import USUAL_PACE
from swifthoist_emulator.world import World
from tests.simulation.cluster import (
    OK,
    STORE,
    Cluster,
    Node,
    simulate,
    wait_until,
)

SETTLE_S = 2.5
"""Time until every instance has told the others where it is, in seconds."""

SHORT = StepWork(500, (100, 100, 0))
CALLS_PER_S = 6
TRIES = 4
QUICK_S = 0.3
NORMAL_AFTER_S = 0.5
"""Time behind a slow spell after which a job starts as ever, in seconds."""
ANSWERS = 5
"""Answers of the store within which an accepted task starts."""


class Placed(NamedTuple):
    """What became of a job.

    :ivar status: status of the answer to its submission; 0 without an answer.
    :ivar answer_s: time until that answer, in seconds.
    :ivar start_s: time from that answer until it ran, in seconds.
    """

    status: int
    answer_s: float
    start_s: float


async def _place(
    cluster: Cluster, node: Node, order: Order, placed: list[Placed]
) -> None:
    """Submit a job, from a node on, and wait until it runs.

    Like any caller, this one comes back as it is told.
    """
    began = anyio.current_time()
    cluster.world.checker.submitted.add(order.job)
    status = 0
    for _ in range(TRIES):
        answer = await node.call('POST', order, write_job(order))
        status = answer.status if answer else 0
        if answer is None or status in {OK, 400}:
            break
        await anyio.sleep(answer.retry_after_s)
        node = cluster.random.choice(cluster.nodes)
    answered = anyio.current_time()
    running = cluster.world.checker.running_of
    if status == OK:
        cluster.accepted.append(order)
        await wait_until(lambda: bool(running(order.job)))
    placed.append(
        Placed(status, answered - began, anyio.current_time() - answered)
    )


async def _submit_steadily(cluster: Cluster, for_s: float) -> list[Placed]:
    """Submit jobs at all nodes in turn; return what became of them."""
    placed: list[Placed] = []
    async with anyio.create_task_group() as tasks:
        for number in range(int(for_s * CALLS_PER_S)):
            node = cluster.nodes[number % len(cluster.nodes)]
            order = cluster.order('/urgent/', SHORT)
            tasks.start_soon(_place, cluster, node, order, placed)
            await anyio.sleep(1 / CALLS_PER_S)
    return placed


class SlowStoreTest(unittest.TestCase):
    """Instances go on with a store that is slow."""

    def play(
        self, factor: float, count: int, for_s: float = 5
    ) -> tuple[World, list[Placed], int]:
        """Slow the store down under load; return the epochs that passed."""
        placed: list[Placed] = []
        epochs: list[int] = []

        async def scenario(cluster: Cluster) -> None:
            store = cluster.world.store
            store.pace = USUAL_PACE
            holder = await cluster.holder()
            await anyio.sleep(SETTLE_S)
            epochs.append(holder.cell.state.epoch)
            store.pace = USUAL_PACE.slowed(factor)
            placed.extend(await _submit_steadily(cluster, for_s))
            store.pace = USUAL_PACE
            await anyio.sleep(NORMAL_AFTER_S)
            behind: list[Placed] = []
            order = cluster.order('/urgent/', SHORT)
            await _place(cluster, cluster.nodes[0], order, behind)
            self.assertLess(behind[0].answer_s + behind[0].start_s, QUICK_S)
            epochs.append(holder.cell.state.epoch)
            for order in cluster.accepted:
                await cluster.wait_state(order, 'complete', 20)

        world = simulate(scenario, count, STANDARD)
        self.assertEqual(world.checker.broken, [])
        return world, placed, epochs[1] - epochs[0]

    def check(self, factor: float, count: int) -> None:
        """The holder stays, nothing is sent twice, work starts soon."""
        world, placed, epochs = self.play(factor, count)
        self.assertEqual(epochs, 0)
        self.assertEqual(world.store.queued_repeats, 0)
        self.assertEqual({it.status for it in placed}, {OK})
        # A start may wait for the append before it, in any case.
        allowed_s = ANSWERS * (USUAL_PACE.answer_s + USUAL_PACE.append_s)
        late = [it for it in placed if it.start_s > allowed_s * factor + 0.3]
        self.assertEqual(late, [])

    def test_a_tenfold_slow_store_changes_nothing(self) -> None:
        """Eight instances."""
        self.check(10, 8)

    def test_instances_do_not_crowd_a_store_that_is_sixty_times_slow(
        self,
    ) -> None:
        """Eight instances."""
        self.check(60, 8)

    def test_many_instances_do_not_crowd_a_very_slow_store(self) -> None:
        """32 instances, each with callers of its own."""
        self.check(91, 32)

    def test_the_slowest_store_keeps_its_holder(self) -> None:
        """An answer takes nearly as long as the timeout of an append."""
        self.check(150, 8)


class TurnedAwayTest(unittest.TestCase):
    """The store refuses the holder and serves the others."""

    def hand_over(self, effect: FaultEffect, after_s: float = 0) -> float:
        """Turn the holder away; return the time until another one holds."""
        took_s: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(SETTLE_S + after_s)
            fault = Fault(effect, callers=frozenset((holder.name,)))
            cluster.world.faults.store_writes = fault
            cluster.world.faults.store_reads = fault
            began = anyio.current_time()
            others = [node for node in cluster.nodes if node is not holder]
            await wait_until(lambda: any(node.holds for node in others))
            took_s.append(anyio.current_time() - began)
            order = cluster.order('/urgent/', SHORT)
            await cluster.submit(order)
            await cluster.wait_state(order, 'complete', 5)
            cluster.world.faults.store_writes = NO_FAULT
            cluster.world.faults.store_reads = NO_FAULT

        world = simulate(scenario, 4)
        self.assertEqual(world.checker.broken, [])
        return took_s[0]

    def test_a_refused_holder_hands_the_cell_over(self) -> None:
        """Whenever within a heartbeat the refusals begin."""
        for step in range(8):
            self.assertLess(self.hand_over(FaultEffect.BUSY, step * 0.07), 1)

    def test_an_outage_for_all_moves_no_cell(self) -> None:
        """The others are asked, and can't claim either."""
        epochs: list[int] = []

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(SETTLE_S)
            epochs.append(holder.cell.state.epoch)
            cluster.world.faults.store_writes = Fault(FaultEffect.BUSY)
            cluster.world.faults.store_reads = Fault(FaultEffect.BUSY)
            await anyio.sleep(4)
            cluster.world.faults.store_writes = NO_FAULT
            cluster.world.faults.store_reads = NO_FAULT
            await anyio.sleep(3)
            epochs.append(holder.cell.state.epoch)

        simulate(scenario, 4)
        self.assertEqual(epochs[0], epochs[1])


class CutOffTest(unittest.TestCase):
    """An instance that is cut off passes its callers on."""

    def call_cut_off(
        self,
        wait_s: float,
        *,
        from_others: bool = False,
        silently: bool = False,
    ) -> list[tuple[float, int, int]]:
        """Call an instance that is cut off from the store, or from all.

        Silently, its calls to the store hang; otherwise they fail at once.

        :returns: time, status and Retry-After of each answer.
        """
        answers: list[tuple[float, int, int]] = []

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(SETTLE_S)
            cut = next(node for node in cluster.nodes if node is not holder)
            if silently:
                fault = Fault(
                    FaultEffect.SILENT, callers=frozenset((cut.name,))
                )
                cluster.world.faults.store_writes = fault
                cluster.world.faults.store_reads = fault
            else:
                cut.link.cut.add(STORE)
            if from_others:
                others = (node.internal_address for node in cluster.nodes)
                cut.link.cut.update(others)
            await anyio.sleep(wait_s)
            for _ in range(10):
                order = cluster.order('/urgent/', SHORT)
                cluster.world.checker.submitted.add(order.job)
                began = anyio.current_time()
                answer = await cut.call('POST', order, write_job(order))
                took_s = anyio.current_time() - began
                assert answer is not None
                answers.append((took_s, answer.status, answer.retry_after_s))
                if answer.status == OK:
                    await cluster.wait_state(order, 'complete', 10)

        world = simulate(scenario, 4)
        self.assertEqual(world.checker.broken, [])
        return answers

    def test_its_callers_are_taken_in_elsewhere(self) -> None:
        """Also once it can't confirm the configuration any more."""
        for wait_s, silently in ((0, False), (4, False), (0, True), (4, True)):
            answers = self.call_cut_off(wait_s, silently=silently)
            self.assertEqual({status for _, status, _ in answers}, {OK})
            slow = [took_s for took_s, _, _ in answers if took_s > QUICK_S]
            self.assertLessEqual(len(slow), 1)

    def test_alone_it_sends_callers_elsewhere_at_once(self) -> None:
        """Nothing was recorded, and other instances serve meanwhile."""

        answers = self.call_cut_off(4, from_others=True)
        for took_s, status, retry_after_s in answers:
            self.assertEqual((status, retry_after_s), (503, 0))
            self.assertLess(took_s, QUICK_S)

    def test_a_key_is_judged_by_the_instance_that_serves(self) -> None:
        """A key that was revoked behind the cut is refused."""
        statuses: list[int] = []

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(SETTLE_S)
            cut = next(node for node in cluster.nodes if node is not holder)
            cut.link.cut.add(STORE)
            accounts = tuple(it._replace(keys=()) for it in STANDARD.accounts)
            cluster.world.configure(STANDARD._replace(accounts=accounts))
            await anyio.sleep(4)
            order = cluster.order('/urgent/', SHORT)
            answer = await cut.call('POST', order, write_job(order))
            assert answer is not None
            statuses.append(answer.status)

        simulate(scenario, 3)
        self.assertEqual(statuses, [401])
