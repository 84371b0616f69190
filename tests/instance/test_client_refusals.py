"""Tests of the counts and log lines of what clients are refused."""

import unittest

import anyio

from swifthoist_instance.refusals import Refusal, Refusals
from tests.instance.fakes import LoopClock, run


class RefusalsTest(unittest.TestCase):
    """All are counted, some are logged."""

    def test_a_crowd_is_counted_and_logged_once_a_second(self) -> None:
        """A line for each would be a load of its own."""

        async def main() -> None:
            refusals = Refusals(LoopClock())
            with self.assertLogs('swifthoist_instance.refusals') as logs:
                for _ in range(500):
                    refusals.note(Refusal.BODY_LATE, {'client': 'a'})
                await anyio.sleep(1)
                refusals.note(Refusal.BODY_LATE, {'client': 'b'})
                refusals.note(Refusal.JOB_ROOM, {'team': 'red'})
            counts = [record.count for record in logs.records]
            self.assertEqual(counts, [1, 500, 1])
            self.assertEqual(refusals.counts()['refused_body_late'], 501)
            self.assertEqual(refusals.counts()['refused_job_room'], 1)

        run(main)
