"""Tests that what callers were told was rejected does not run."""

import dataclasses
import unittest

import anyio

from swifthoist_emulator.callers import are_rejections, write_job
from swifthoist_emulator.faults import Fault, FaultEffect
from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.lives import StepWork
from tests.simulation.cluster import Cluster, Node, simulate

SMALL = StepWork(600, (4_000, 8_000, 1))
LATE_S = 1.0
"""Longer than an instance waits while it can ask another one, in seconds."""

JOBS = 10


def _answer_late(cluster: Cluster, node: Node) -> None:
    """Delay what a node answers to others; it serves them at once."""
    address = node.internal_address
    serve = cluster.world.instances[address]

    async def serve_late(request: Request) -> Response:
        response = await serve(request)
        await anyio.sleep(LATE_S)
        return response

    cluster.world.instances[address] = serve_late


def _drop_keys(node: Node) -> None:
    """Give a node a newer configuration, in which no key is valid."""
    configuration = node.app._configuration
    newest = configuration.catalogue
    configuration.catalogue = dataclasses.replace(
        newest, version=newest.version + 1, teams=()
    )


class RejectionTest(unittest.TestCase):
    """Instances differ in their configuration for a while."""

    def test_a_job_that_one_instance_recorded_is_not_rejected_by_the_next(
        self,
    ) -> None:
        """The first one's answer is late, and the next one knows no key."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            await anyio.sleep(1)
            first, late = (it for it in cluster.nodes if it is not holder)
            callers = frozenset((first.name,))
            cluster.world.faults.store_writes = Fault(
                FaultEffect.BUSY, callers=callers
            )
            _answer_late(cluster, late)
            _drop_keys(holder)
            for _ in range(JOBS):
                order = cluster.order('/batch/', SMALL)
                cluster.world.checker.submitted.add(order.job)
                answer = await first.call('POST', order, write_job(order))
                status = 0 if answer is None else answer.status
                if are_rejections([status]):
                    cluster.world.checker.note_rejected(order.job)
            await anyio.sleep(5)

        world = simulate(scenario)
        self.assertGreater(world.checker.starts, 0)
        self.assertEqual(world.checker.broken, [])
