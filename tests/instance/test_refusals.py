"""Tests of refusals of calls whose earlier attempt may have taken effect."""

import unittest

import anyio

from swifthoist_instance.journal import CELL_TOPIC
from swifthoist_instance.messages import GONE, OK, UNAVAILABLE
from tests.instance.entry import JOB, SETTLE_S, InstanceHarness, run_two

ID = '00000000000000aa'
UNCONFIRMED_S = 3.5
"""Time without the operator's topic after which no call is served."""


class RetryTest(unittest.TestCase):
    """A refusal promises that the job never runs, whichever attempt it is."""

    def test_no_refusal_while_the_own_append_of_the_job_is_under_way(
        self,
    ) -> None:
        """The job runs once the store is back."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.silent = True
            self.assertEqual((await first.call('POST', ID, JOB)).status, 504)
            again = await first.call('POST', ID, JOB)
            first.store.silent = False
            await anyio.sleep(3)
            self.assertEqual((await second.call('GET', ID)).status, 200)
            self.assertNotEqual(again.status, UNAVAILABLE)

        run_two(scenario, apart=True)

    def test_no_refusal_of_a_job_that_the_instance_has_folded(self) -> None:
        """It runs, though the configuration is not confirmed."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.replies_to_lose = 4
            self.assertEqual((await first.call('POST', ID, JOB)).status, 504)
            self.assertEqual(first.store.topic(CELL_TOPIC).end, 1)
            await anyio.sleep(SETTLE_S)
            self.assertIsNotNone(second.follower.cell.find_job(ID))
            second.store.refuses = True
            await anyio.sleep(UNCONFIRMED_S)
            again = await second.call('POST', ID, JOB)
            self.assertNotEqual(again.status, UNAVAILABLE)

        run_two(scenario, apart=True)

    def test_a_job_that_was_canceled_before_its_late_append_does_not_run(
        self,
    ) -> None:
        """The store may carry the append out seconds after the cancel."""

        async def scenario(
            first: InstanceHarness, second: InstanceHarness
        ) -> None:
            first.store.silent = True
            self.assertEqual((await first.call('POST', ID, JOB)).status, 504)
            canceled = await second.call('DELETE', ID)
            self.assertIn(canceled.status, {OK, GONE})
            first.store.silent = False
            await anyio.sleep(3)
            job = second.follower.cell.find_job(ID)
            self.assertTrue(job is None or job.state.final, canceled)

        run_two(scenario, apart=True)
