"""Tests of the log line that reports how a job ended, on virtual time."""

import unittest
from unittest.mock import Mock, patch

import anyio

from swifthoist_emulator.lives import StepWork
from swifthoist_instance import job_lines
from tests.simulation.cluster import Cluster, simulate

FAILS = StepWork(600, (4_000, 8_000, 1), gang=2, fails=True)
LONG = StepWork(30_000, (4_000, 8_000, 1))


def _lines_of(log: Mock, job: str) -> list[dict[str, object]]:
    lines = [call.kwargs['extra'] for call in log.info.call_args_list]
    return [line for line in lines if line['job'] == job]


class JobOverTest(unittest.TestCase):
    """Each finished job is logged with all the runs that it lost."""

    def test_a_failed_job_names_its_attempts(self) -> None:
        """A holder that takes over right after the end logs the job again."""

        async def scenario(cluster: Cluster) -> None:
            holder = await cluster.holder()
            order = cluster.order('/batch/', FAILS)
            await cluster.submit(order)
            await cluster.wait_state(order, 'failed', 20)
            await anyio.sleep(1)
            reported = _lines_of(log, order.job)
            self.assertEqual(len(reported), 1)
            line = reported[0]
            self.assertEqual(line['outcome'], 'failed')
            self.assertIn('failed', {it['end'] for it in line['lost']})
            self.assertTrue(all(it['runner'] for it in line['lost']))
            holder.kill()
            await anyio.sleep(0.2)
            await cluster.holder()
            await anyio.sleep(1)
            again = _lines_of(log, order.job)[-1]
            self.assertEqual(again, {**line, 'again': True})

        with patch.object(job_lines, '_log') as log:
            simulate(scenario)

    def test_a_canceled_job_says_why_its_runs_were_stopped(self) -> None:
        """Its line is logged only once they have ended."""

        async def scenario(cluster: Cluster) -> None:
            await cluster.holder()
            order = cluster.order('/bulk/', LONG, width=3)
            await cluster.submit(order)
            await cluster.wait_state(order, 'active', 10)
            await anyio.sleep(2)
            await cluster.cancel(order)
            await anyio.sleep(2)
            reported = _lines_of(log, order.job)
            self.assertEqual(len(reported), 1)
            line = reported[0]
            self.assertEqual(line['outcome'], 'canceled')
            self.assertEqual(line['ends'], {'stopped': 3})
            reasons = {it['stopped_for'] for it in line['lost']}
            self.assertEqual(reasons, {'job is canceled'})

        with patch.object(job_lines, '_log') as log:
            simulate(scenario)
