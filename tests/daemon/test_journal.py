"""Tests of the writer and the reader of records."""

import unittest

import anyio

from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.records import EntryChanged
from swifthoist_core.requests import Phase
from swifthoistd import journal
from swifthoistd.logs import LEDGER_STREAM
from tests.daemon.fakes import (
    FakeLog,
    Instance,
    Mode,
    intent,
    run,
    stream_size,
)


class GroupCommitTest(unittest.TestCase):
    """Records that come together go out together."""

    def test_a_burst_takes_few_appends_and_keeps_its_order(self) -> None:
        """A hundred commits at once need no more than three appends."""

        async def main() -> None:
            log = FakeLog()
            entry = Instance('e1', log)
            offsets: list[int] = []

            async def commit(index: int) -> None:
                verdict = await entry.journal.commit(intent(f'{index}'), 5)
                offsets.append(verdict.offset)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                async with anyio.create_task_group() as burst:
                    for index in range(100):
                        burst.start_soon(commit, index)
                entry.kill()
            self.assertEqual(sorted(offsets), list(range(100)))
            self.assertLessEqual(log.appends, 3)

        run(main)

    def test_a_record_that_cannot_be_encoded_fails_alone(self) -> None:
        """The instance goes on with the records behind it."""

        async def main() -> None:
            entry = Instance('e1', FakeLog())
            too_large = EntryChanged('e', 1 << 70, None, 'op')
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                refused = await entry.journal.commit(too_large, 5)
                taken = await entry.journal.commit(intent('next'), 5)
                entry.kill()
            self.assertIn('cannot be encoded', refused.reason)
            self.assertTrue(taken.accepted)

        run(main)

    def test_a_full_queue_is_refused_at_once(self) -> None:
        """What was not taken surely does not run."""

        async def main() -> None:
            entry = Instance('e1', FakeLog())
            for index in range(journal.MAX_QUEUE):
                entry.journal.post(intent(f'{index}'))
            with self.assertRaises(journal.BacklogError):
                await entry.journal.commit(intent('late'), 5)

        run(main)


class LostReplyTest(unittest.TestCase):
    """A reply that was lost is settled by reading on."""

    def _fate(self, mode: Mode, timeout_s: float) -> tuple[str, int]:
        """Commit once while the log is in a mode, then let it recover."""
        fate = ''
        size = 0

        async def main() -> None:
            nonlocal fate, size
            log = FakeLog()
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                log.nursery = tasks
                log.mode = mode
                tasks.start_soon(lambda: entry.run(decides=False))
                try:
                    await entry.journal.commit(intent('k'), timeout_s)
                except (LogUnavailableError, OutcomeUnknownError) as exc:
                    fate = type(exc).__name__
                log.mode = Mode.UP
                await anyio.sleep(10)
                size = stream_size(log)
                entry.kill()

        run(main)
        return fate, size

    def test_a_record_whose_reply_was_lost_is_found_on_the_log(self) -> None:
        """The commit succeeds with one copy on the log."""
        self.assertEqual(self._fate(Mode.REPLY_LOST, 5), ('', 1))

    def test_a_record_that_was_lost_is_sent_again(self) -> None:
        """The caller hears that its fate is unknown; then it lands once."""
        fate = self._fate(Mode.CALL_LOST, 0.5)
        self.assertEqual(fate, ('OutcomeUnknownError', 1))

    def test_what_a_dead_log_never_took_stays_away(self) -> None:
        """Surely not appended means that it does not appear later."""
        fate = self._fate(Mode.DOWN, 0.5)
        self.assertEqual(fate, ('LogUnavailableError', 0))

    def test_late_copies_fold_once(self) -> None:
        """An append that takes effect after its retry changes nothing."""

        async def main() -> None:
            log = FakeLog()
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                log.nursery = tasks
                tasks.start_soon(lambda: entry.run(decides=False))
                log.mode = Mode.LATE
                with anyio.move_on_after(0.04):
                    await entry.journal.commit(intent('k'), 5)
                log.mode = Mode.UP
                verdict = await entry.journal.commit(intent('l'), 5)
                self.assertTrue(verdict.accepted)
                await anyio.sleep(3)
                self.assertGreater(stream_size(log), 2)
                self.assertEqual(entry.ledger.authors.upto(entry.author), 2)
                known = entry.ledger.requests.get('a', 'k')
                self.assertIs(known.phase, Phase.OPEN)
                entry.kill()

        run(main)


class FollowerTest(unittest.TestCase):
    """The reader goes past what is no record, and says how fresh it is."""

    def test_an_entry_that_is_no_record_is_passed_over(self) -> None:
        """The record behind it is folded at its own offset."""

        async def main() -> None:
            log = FakeLog()
            log.apply(LEDGER_STREAM, [b'\xff not a record'])
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                verdict = await entry.journal.commit(intent('k'), 5)
                self.assertEqual(verdict.offset, 1)
                self.assertEqual(entry.ledger.passed_over, 1)
                entry.kill()

        run(main)

    def test_freshness_grows_while_the_log_is_down(self) -> None:
        """An instance knows for how long it has heard nothing."""

        async def main() -> None:
            log = FakeLog()
            entry = Instance('e1', log)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: entry.run(decides=False))
                await anyio.sleep(5)
                self.assertLess(entry.follower.freshness_ms, 2_500)
                log.mode = Mode.DOWN
                await anyio.sleep(60)
                self.assertGreater(entry.follower.freshness_ms, 59_000)
                entry.kill()

        run(main)
