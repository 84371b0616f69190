"""Tests of instances whose wall clocks are wrong or jump."""

import unittest

import anyio
import msgspec

from swifthoist_emulator.callers import Order, write_job
from swifthoist_emulator.lives import StepWork
from swifthoist_engine.model import TaskId
from swifthoist_engine.queueing import RETRY_PAUSE_MS
from swifthoist_instance.tenure import CLAIM_JITTER_MS, HOLDER_TIMEOUT_MS
from swifthoist_platform import names
from tests.instance.fakes import START_WALL_MS
from tests.simulation.cluster import CALL_S, Cluster, Node, simulate, wait_until

JUMP_MS = 8_000
"""How far a wall clock jumps, in ms."""

STATUS_S = 120.0
"""Default time for which a finished job can be queried, in seconds."""

SLACK_S = 2.0
"""Allowance for polls, records and pauses before a start, in seconds."""

POLL_S = 0.01
"""Interval at which a test polls a condition, in seconds."""

TAKEOVER_S = (HOLDER_TIMEOUT_MS + CLAIM_JITTER_MS) / 1_000 + SLACK_S
WORK_MS = 4_000
LONG = StepWork(WORK_MS, (4_000, 8_000, 1))
TINY = StepWork(300, (1_000, 1_000, 0))
FAILS = TINY._replace(fails=True)


async def _submit_at(node: Node, order: Order, content: bytes) -> None:
    """Submit a job to a given instance."""
    answer = await node.call('POST', order, content)
    assert answer is not None and answer.status == 200, answer


def _write_recurring_job(
    order: Order, first_ms: int, interval_ms: int, times: int
) -> bytes:
    """Encode a job that has several occurrences."""
    document = msgspec.json.decode(write_job(order))
    document[names.START_AT_MS] = first_ms
    document[names.INTERVAL_MS] = interval_ms
    document[names.REPEAT_COUNT] = times
    return msgspec.json.encode(document)


def _restart_busy_runners(cluster: Cluster) -> None:
    """Crash and restart the runners that run any task."""
    fleet = cluster.world.fleet
    for host in fleet.hosts.values():
        if host.life is not None and host.life.runs:
            fleet.kill(host)
            fleet.revive(host)


async def _start_wide_job(cluster: Cluster) -> Order:
    """Submit a job of four tasks and wait until all of them run."""
    order = cluster.order('/batch/', LONG, width=4)
    await cluster.submit(order)
    running = cluster.world.checker.running_of
    await wait_until(lambda: len(running(order.job)) == 4)
    return order


class ClocksTest(unittest.TestCase):
    """Pauses, waits and retention follow elapsed time, not the wall clock."""

    def test_a_lost_run_starts_again_after_the_holders_clock_went_back(
        self,
    ) -> None:
        """A pause timed by the wall clock would last until the clock catches up."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            holder.clock.ahead_ms = JUMP_MS
            order = await _start_wide_job(cluster)
            await anyio.sleep(1)
            holder.clock.ahead_ms = 0
            _restart_busy_runners(cluster)
            with anyio.fail_after(WORK_MS / 1_000 + 2 * SLACK_S):
                await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])

    def test_a_lost_run_starts_again_at_a_holder_whose_clock_is_behind(
        self,
    ) -> None:
        """The former holder's clock, and so the cell's time, was ahead."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            holder.clock.ahead_ms = JUMP_MS
            order = await _start_wide_job(cluster)
            await anyio.sleep(1)
            holder.kill()
            _restart_busy_runners(cluster)
            with anyio.fail_after(TAKEOVER_S + WORK_MS / 1_000 + SLACK_S):
                await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])

    def test_a_lost_run_starts_again_when_the_holder_came_back(self) -> None:
        """A restarted instance knows the cell's time only from the log."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            holder.clock.ahead_ms = JUMP_MS
            order = await _start_wide_job(cluster)
            await anyio.sleep(1)
            holder.kill()
            _restart_busy_runners(cluster)
            holder.clock.ahead_ms = 0
            holder.start()
            with anyio.fail_after(TAKEOVER_S + WORK_MS / 1_000 + SLACK_S):
                await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario, count=1)
        self.assertEqual(world.checker.broken, [])

    def test_attempts_follow_each_other_while_the_clock_goes_back(
        self,
    ) -> None:
        """The end of the run was recorded with a time now in the future."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            holder.clock.ahead_ms = JUMP_MS
            order = cluster.order('/batch/', FAILS)
            await cluster.submit(order)
            running = cluster.world.checker.running_of
            while not running(order.job):
                await anyio.sleep(POLL_S)
            while running(order.job):
                await anyio.sleep(POLL_S)
            await anyio.sleep(RETRY_PAUSE_MS / 2_000)
            holder.clock.ahead_ms = 0
            with anyio.fail_after(3 * (0.3 + SLACK_S)):
                await cluster.wait_state(order, 'failed', 60)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])

    def test_a_finished_job_is_known_for_its_time_whatever_clocks_say(
        self,
    ) -> None:
        """A clock that was far ahead made the job expire at once."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            order = cluster.order('/batch/', TINY)
            await cluster.submit(order)
            await cluster.wait_state(order, 'complete', 30)
            done = anyio.current_time()
            for node in cluster.nodes:
                node.clock.ahead_ms = 10 * int(STATUS_S * 1_000)
            await anyio.sleep(5)
            holder.kill()
            await anyio.sleep(TAKEOVER_S)
            holder.start()
            await anyio.sleep(SLACK_S)
            while anyio.current_time() < done + STATUS_S:
                for node in cluster.nodes:
                    answer = await node.call('GET', order)
                    self.assertEqual(answer and answer.status, 200)
                await anyio.sleep(5)

        simulate(scenario)

    def test_a_job_is_as_old_as_it_is_whoever_accepts_it(self) -> None:
        """The wait for a single rack would grow by the difference of the clocks."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            others = [node for node in cluster.nodes if node is not holder]
            for number, node in enumerate(others):
                node.clock.ahead_ms = -JUMP_MS if number else JUMP_MS
                order = cluster.order('/batch/', TINY)
                cluster.world.checker.submitted.add(order.job)
                await _submit_at(node, order, write_job(order))
                await cluster.wait_state(order, 'complete', 30)
                assert holder.app is not None
                state = holder.app._follower.cell.state
                age_ms = state.time_ms - state.jobs[order.job].spec.accepted_ms
                self.assertGreaterEqual(age_ms, 0)
                self.assertLess(age_ms, CALL_S * 1_000)

        simulate(scenario)


class OccurrenceTest(unittest.TestCase):
    """Occurrences are due by the holder's wall clock."""

    def test_occurrences_start_once_each_and_no_earlier_than_clocks_err(
        self,
    ) -> None:
        """The holder's clock jumps, and the holder changes in between."""
        times, interval_ms = 6, 3_000
        starts: dict[int, float] = {}

        async def watch(cluster: Cluster, order: Order) -> None:
            while len(starts) < times:
                for task in cluster.world.checker.running_of(order.job):
                    starts.setdefault(task.occurrence, anyio.current_time())
                await anyio.sleep(POLL_S)

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            order = cluster.order('/batch/', TINY)
            first_ms = (
                START_WALL_MS + int(anyio.current_time() * 1_000) + interval_ms
            )
            cluster.world.checker.submitted.add(order.job)
            content = _write_recurring_job(order, first_ms, interval_ms, times)
            await _submit_at(holder, order, content)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch, cluster, order)
                holder.clock.ahead_ms = JUMP_MS // 2
                await anyio.sleep(4)
                holder.clock.ahead_ms = -JUMP_MS // 2
                await anyio.sleep(4)
                holder.kill()
                await anyio.sleep(TAKEOVER_S)
                holder.start()
                limit_s = times * interval_ms / 1_000 + JUMP_MS / 1_000
                await cluster.wait_state(order, 'complete', limit_s)
            for occurrence, start in starts.items():
                due_ms = first_ms + occurrence * interval_ms - START_WALL_MS
                self.assertGreaterEqual(start * 1_000, due_ms - JUMP_MS // 2)
            done = cluster.world.checker.done[order.job]
            wanted = {TaskId(order.job, item, 0, 0) for item in range(times)}
            self.assertEqual(done, wanted)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, times)

    def test_an_occurrence_that_began_goes_on_after_the_clock_went_back(
        self,
    ) -> None:
        """The lost run would wait until the occurrence is due again."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            holder.clock.ahead_ms = JUMP_MS
            order = cluster.order('/batch/', LONG)
            due_ms = START_WALL_MS + int(anyio.current_time() * 1_000) + JUMP_MS
            cluster.world.checker.submitted.add(order.job)
            await _submit_at(
                holder, order, _write_recurring_job(order, due_ms, 1_000, 1)
            )
            running = cluster.world.checker.running_of
            await wait_until(lambda: bool(running(order.job)))
            holder.clock.ahead_ms = -JUMP_MS
            _restart_busy_runners(cluster)
            with anyio.fail_after(WORK_MS / 1_000 + 2 * SLACK_S):
                await cluster.wait_state(order, 'complete', 60)

        world = simulate(scenario)
        self.assertEqual(world.checker.broken, [])
