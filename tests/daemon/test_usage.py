"""Tests of the account against what workers report late."""

import unittest

import anyio

from swifthoist_core import records
from swifthoistd.usage import Reconciler, UsageReader
from tests.daemon.sites import Site, play


class ReconcilerTest(unittest.TestCase):
    """Differences are shown, and estimates replaced."""

    def test_an_estimate_is_replaced_by_the_workers_own_report(self) -> None:
        """After it, the account and the reports agree."""

        async def scene() -> None:
            site = Site()
            reconciler = Reconciler(
                site.book.ledger, UsageReader(site.commands), site.clock
            )
            job = site.place('j', 'run_ms=2000')
            await site.commands.hold(1, job)
            await site.commands.start(1, job)
            await anyio.sleep(10)
            now_ms = site.clock.wall_ms()
            usage = tuple(
                records.PartUsage(
                    index, f'w{index}', 8, now_ms - 9_000, now_ms, True
                )
                for index in range(2)
            )
            ended = records.JobEnded(1, 'j', 1, 'lost', usage)
            await site.commit(ended, 1)
            self.assertEqual(len(await reconciler.differences()), 2)
            for correction in await reconciler.corrections(1):
                verdict = await site.commit(correction, 1)
                self.assertTrue(verdict.accepted, verdict.reason)
            self.assertEqual(await reconciler.differences(), ())
            spans = site.book.ledger.account.spans()
            ran = [span.stopped_ms - span.started_ms for span in spans]
            self.assertEqual(ran, [2_000, 2_000])

        play(scene)
