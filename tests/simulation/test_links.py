"""Tests of links that need seconds to transfer what the store sends."""

import unittest

import anyio
import msgspec

from swifthoist_engine.model import JobSpec, QueueTerms, Resources, StepSpec
from swifthoist_engine.records import Submitted
from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_platform.store import MAX_READ_KB
from tests.simulation.cluster import Cluster, Node, simulate, wait_until
from tests.simulation.network import NarrowLink

UNKNOWN_RECORD = msgspec.msgpack.encode(
    ('KindOfAnotherVersion', [bytes(9_000)])
)
"""A record of unknown type, skipped but large enough to load a link."""

START_S = 5.0
"""Allowance for all work besides reading, in seconds."""

LOG_SHARE = 0.6
"""Share of a link's bandwidth that is used for the log."""


PAYLOAD = 'x' * 4_000
BURST = 60
NARROW_MBPS = 0.8


def _large_job(number: int) -> Submitted:
    """Make a job with a large payload that no runner serves."""
    terms = QueueTerms(1, 1, 1, 1_000, 'a pool without runners')
    steps = (StepSpec(1, Resources(1, 1, 1), 1_000),)
    job = f'{number:016x}'
    return Submitted(JobSpec(job, 'no queue', 'red', PAYLOAD, steps, terms, 0))


def _ready(node: Node) -> bool:
    return node.app is not None and node.app.web.intake.ready


async def _grow_log(cluster: Cluster, size: int) -> None:
    topic = cluster.world.store.topic(CELL_TOPIC)
    now_ms = cluster.nodes[0].clock.boot_ms()
    for _ in range(size // len(UNKNOWN_RECORD)):
        topic.append([UNKNOWN_RECORD], now_ms)


class NarrowLinkTest(unittest.TestCase):
    """A transfer may take as long as its size needs while it progresses."""

    def start_all(self, bytes_per_s: float, log_bytes: int) -> None:
        """Restart all instances; each is ready in the time its link allows."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await _grow_log(cluster, log_bytes)
            for node in cluster.nodes:
                node.kill()
                cluster.network.links[node.name] = NarrowLink(bytes_per_s)
            await anyio.sleep(1)
            for node in cluster.nodes:
                node.start()
            limit_s = START_S + log_bytes / (LOG_SHARE * bytes_per_s)
            await wait_until(lambda: all(map(_ready, cluster.nodes)), limit_s)
            await cluster.holder()

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])

    def test_every_instance_follows_a_log_that_takes_longer_than_a_read(
        self,
    ) -> None:
        """A read of the largest size takes over two seconds here."""
        self.start_all(bytes_per_s=400_000, log_bytes=3 * MAX_READ_KB * 1_024)

    def test_every_instance_follows_the_log_over_a_very_narrow_link(
        self,
    ) -> None:
        """A read of the largest size takes half a minute here."""
        self.start_all(bytes_per_s=40_000, log_bytes=2 * MAX_READ_KB * 1_024)

    def append_burst(self, settings_mbps: float) -> None:
        """Append a burst of large jobs as fast as the link allows."""

        async def scenario(cluster: Cluster) -> None:
            node = cluster.nodes[0]
            node.kill()
            bytes_per_s = NARROW_MBPS * 125_000
            cluster.network.links[node.name] = NarrowLink(bytes_per_s)
            node.link_mbps = settings_mbps
            node.start()
            await wait_until(lambda: _ready(node))
            limit_s = BURST * len(PAYLOAD) / (LOG_SHARE * bytes_per_s)
            with anyio.fail_after(START_S + limit_s):
                async with anyio.create_task_group() as tasks:
                    for number in range(BURST):
                        record = _large_job(number)
                        tasks.start_soon(node.app._journal.append, [record], 30)

        simulate(scenario, over_network=True)

    def test_a_burst_of_large_jobs_is_appended_over_a_narrow_link(
        self,
    ) -> None:
        """A single append of all of them would time out."""
        self.append_burst(NARROW_MBPS)

    def test_a_burst_is_appended_over_a_link_narrower_than_its_settings_say(
        self,
    ) -> None:
        """An append that has been sent can't be split any more."""
        self.append_burst(settings_mbps=1_000)


class SharedReadsTest(unittest.TestCase):
    """Concurrent reads by all instances share the store's bandwidth."""

    def test_newcomers_read_the_log_from_a_store_that_is_pressed_by_all(
        self,
    ) -> None:
        """Three reads of the largest size take four seconds here."""
        store_bytes_per_s = 800_000
        log_bytes = 3 * MAX_READ_KB * 1_024

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            await _grow_log(cluster, log_bytes)
            for node in cluster.nodes:
                node.kill()
            cluster.world.store.read_bytes_s = store_bytes_per_s
            for node in cluster.nodes:
                node.start()
            limit_s = START_S + len(cluster.nodes) * log_bytes / (
                LOG_SHARE * store_bytes_per_s
            )
            await wait_until(lambda: all(map(_ready, cluster.nodes)), limit_s)
            await cluster.holder()

        world = simulate(scenario, over_network=True)
        self.assertEqual(world.checker.broken, [])


if __name__ == '__main__':
    unittest.main()
