"""Tests of open connections that fall silent while new ones work."""

import random
import unittest
from collections import Counter

import anyio

from swifthoist_emulator.callers import Order
from swifthoist_emulator.lives import StepWork
from swifthoist_instance.contacts import CALL_S as RUNNER_CALL_S
from swifthoist_instance.contacts import RETRY_S as RUNNER_RETRY_S
from swifthoist_instance.follower import READ_GRACE_S, READ_WAIT_S, RETRY_S
from swifthoist_instance.journal import APPEND_TIMEOUT_S
from swifthoist_instance.journal import RETRY_S as APPEND_RETRY_S
from swifthoist_instance.sessions import LOOK_TIMEOUT_MS
from swifthoist_instance.tenure import CLAIM_JITTER_MS, HOLDER_TIMEOUT_MS
from swifthoist_platform.endpoint import MAX_CONNECTIONS
from tests.simulation.cluster import (
    CALL_S,
    STORE,
    Cluster,
    simulate,
    wait_until,
)

APPEND_S = APPEND_TIMEOUT_S + APPEND_RETRY_S
READ_S = READ_WAIT_S + READ_GRACE_S + RETRY_S
LOOK_S = LOOK_TIMEOUT_MS / 1_000 + RUNNER_CALL_S + RUNNER_RETRY_S
START_S = RUNNER_CALL_S + RUNNER_RETRY_S
"""Time until each kind of call is retried on another connection, in seconds."""

TAKEOVER_S = (HOLDER_TIMEOUT_MS + CLAIM_JITTER_MS) / 1_000
"""Time until a holder whose appends fall silent is replaced, in seconds."""

SLACK_S = 0.6
"""Allowance for everything that is normally immediate, in seconds."""

BEGIN_S = APPEND_S + READ_S + TAKEOVER_S + APPEND_S + START_S + SLACK_S
"""Time until a job submitted as connections fall silent runs, in seconds: it is
accepted, read by the holder or its successor, decided and started."""

END_S = LOOK_S + APPEND_S + READ_S + SLACK_S
"""Time until an end that occurs in the silence is reported, in seconds."""

WORK_S = 0.6
SHORT = StepWork(600, (4_000, 8_000, 1))
LONG = StepWork(4_000, (4_000, 8_000, 1))
SERIES = 6
WIDTH = 4


async def _warm_up(cluster: Cluster) -> None:
    """Open connections: some idle, some with a call in progress."""
    await cluster.holder()
    await cluster.submit(cluster.order('/batch/', SHORT, width=12))
    await anyio.sleep(3)


async def _submit(cluster: Cluster, *steps: StepWork) -> Order:
    order = cluster.order('/batch/', *steps, width=WIDTH)
    assert await cluster.submit(order)
    return order


class SilenceTest(unittest.TestCase):
    """Silence is detected by deadlines and costs no more time than these."""

    def test_a_job_starts_and_ends_though_all_connections_fell_silent(
        self,
    ) -> None:
        """Those to the store and to runners, with and without a call."""

        async def scenario(cluster: Cluster) -> None:
            await _warm_up(cluster)
            network = cluster.network
            self.assertTrue(
                any(conn.busy for conn in network.open_connections())
            )
            self.assertGreater(len(network.open_connections()), 12)
            network.silence(network.open_connections())
            with anyio.fail_after(BEGIN_S):
                order = await _submit(cluster, SHORT)
                await wait_until(
                    lambda: (
                        bool(cluster.world.checker.done[order.job])
                        or bool(cluster.world.checker.running_of(order.job))
                    )
                )
            network.silence(network.open_connections())
            await cluster.wait_state(order, 'complete', WORK_S + END_S)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 12 + WIDTH)

    def test_a_start_waits_for_one_silent_connection_only(self) -> None:
        """Even when every connection to its runner is silent."""

        async def scenario(cluster: Cluster) -> None:
            await _warm_up(cluster)
            network = cluster.network
            runners = set(cluster.world.fleet.hosts)
            to_runners = [
                it for it in network.open_connections() if it.address in runners
            ]
            silent = Counter(it.address for it in to_runners)
            network.silence(to_runners)
            await cluster.submit(cluster.order('/batch/', SHORT))
            hosts = cluster.world.fleet.hosts.values()
            busy = lambda: [it for it in hosts if it.life and it.life.runs]
            await wait_until(lambda: bool(busy()), START_S + SLACK_S)
            address = busy()[0].place.address
            self.assertEqual(silent[address], MAX_CONNECTIONS)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    def test_runs_go_on_while_connections_fall_silent(self) -> None:
        """Leases are longer than the deadlines, so no work is lost."""

        async def scenario(cluster: Cluster) -> None:
            await _warm_up(cluster)
            order = await _submit(cluster, LONG)
            running = cluster.world.checker.running_of
            await wait_until(lambda: len(running(order.job)) == WIDTH)
            runners = set(cluster.world.fleet.hosts)
            network = cluster.network
            for conn in network.open_connections():
                if conn.address in runners:
                    network.silence([conn])
            await anyio.sleep(LOOK_S)
            network.silence(network.open_connections(), replies_only=True)
            await cluster.wait_state(order, 'complete', 4 + END_S)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])
        self.assertEqual(world.checker.starts, 12 + WIDTH)

    def test_callers_are_answered_while_the_store_falls_silent(self) -> None:
        """An append is retried on another connection in time."""

        async def scenario(cluster: Cluster) -> None:
            await _warm_up(cluster)
            network = cluster.network
            for replies_only in (False, True):
                network.silence(
                    network.open_connections(address=STORE),
                    replies_only=replies_only,
                )
                for node in cluster.nodes:
                    order = cluster.order('/batch/', SHORT)
                    with anyio.fail_after(CALL_S):
                        await cluster.submit(order)
                    self.assertIn(order, cluster.accepted, node.name)
                await anyio.sleep(READ_S)
            for order in cluster.accepted:
                await cluster.wait_state(order, 'complete', BEGIN_S + END_S)

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    def test_promises_hold_under_any_series_of_silence(self) -> None:
        """Connections fall silent repeatedly while jobs run."""

        def simulate_series(seed: int) -> None:
            rng = random.Random(seed)

            async def scenario(cluster: Cluster) -> None:
                await _warm_up(cluster)
                for _ in range(24):
                    cluster.network.silence_some(rng, rng.choice((0.1, 0.5, 1)))
                    if rng.choice((False, True)):
                        await cluster.submit(
                            cluster.order('/bulk/', SHORT, SHORT)
                        )
                    await anyio.sleep(rng.choice((0, 0.02, 0.3, 1)))
                with anyio.fail_after(2 * (BEGIN_S + WORK_S + END_S)):
                    for order in cluster.accepted:
                        await cluster.wait_state(order, 'complete', 60)

            world = simulate(scenario, over_network=True)
            self.assertEqual(world.checker.broken, [])

        for seed in range(SERIES):
            with self.subTest(seed=seed):
                simulate_series(seed)
