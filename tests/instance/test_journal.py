"""Tests of appends: they are batched and take effect once."""

import unittest

import anyio
import anyio.lowlevel

from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_engine.records import Beat, Submitted
from swifthoist_instance.journal import CELL_TOPIC, MAX_BATCH_BYTES, Journal
from tests.engine.scenes import BATCH, job_spec, task
from tests.instance.fakes import FakeStore, LoopClock, run


class _PausingClock(LoopClock):
    """A clock that counts pauses, which the event loop's doesn't.

    :ivar paused_ms: length of the pauses so far, in ms.
    """

    def __init__(self) -> None:
        """Start without a pause."""
        self.paused_ms = 0

    def boot_ms(self) -> int:
        """Return the loop's time and the pauses, in ms."""
        return super().boot_ms() + self.paused_ms


class JournalTest(unittest.TestCase):
    """Appends take effect once and report their outcome correctly."""

    def test_what_waits_goes_in_one_append(self) -> None:
        """Each caller gets the offset of its own record."""

        async def main() -> None:
            store = FakeStore()
            journal = Journal(store, 'me', LoopClock())
            offsets: list[int] = []

            async def append(number: int) -> None:
                offsets.append(await journal.append([Beat(1, number)], 1))

            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as callers:
                    for number in range(5):
                        callers.start_soon(append, number)
                    await anyio.lowlevel.checkpoint()
                    tasks.start_soon(journal.run)
                self.assertEqual(sorted(offsets), [0, 1, 2, 3, 4])
                self.assertEqual(journal.appends, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_large_records_go_in_several_appends(self) -> None:
        """The store limits the bytes of a call."""

        async def main() -> None:
            store = FakeStore()
            journal = Journal(store, 'me', LoopClock())
            spec = job_spec('j', BATCH, task())
            spec = spec._replace(payload='x' * (MAX_BATCH_BYTES // 2))
            async with anyio.create_task_group() as tasks:
                async with anyio.create_task_group() as callers:
                    for _ in range(4):
                        callers.start_soon(journal.append, [Submitted(spec)], 1)
                    await anyio.lowlevel.checkpoint()
                    tasks.start_soon(journal.run)
                self.assertEqual(store.topic(CELL_TOPIC).end, 4)
                self.assertGreater(journal.appends, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_append_that_was_not_sent_is_withdrawn(self) -> None:
        """Its caller may report that it never takes effect."""

        async def main() -> None:
            store = FakeStore()
            store.silent = True
            journal = Journal(store, 'me', LoopClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                with self.assertRaises(OutcomeUnknownError):
                    await journal.append([Beat(1, 1)], 0.5)
                self.assertFalse(journal.available)
                with self.assertRaises(LogUnavailableError):
                    await journal.append([Beat(1, 2)], 0.5)
                store.silent = False
                await anyio.sleep(3)
                self.assertEqual(store.topic(CELL_TOPIC).end, 1)
                self.assertTrue(journal.available)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_append_whose_caller_left_is_not_sent_later(self) -> None:
        """Another instance has recorded the same request meanwhile."""

        async def main() -> None:
            store = FakeStore()
            store.silent = True
            journal = Journal(store, 'me', LoopClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                async with anyio.create_task_group() as callers:
                    callers.start_soon(journal.append, [Beat(1, 1)], 9)
                    await anyio.sleep(0.2)
                    callers.start_soon(journal.append, [Beat(1, 2)], 9)
                    await anyio.sleep(0.2)
                    callers.cancel_scope.cancel()
                store.silent = False
                await anyio.sleep(3)
                self.assertEqual(store.topic(CELL_TOPIC).end, 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_an_append_whose_time_passed_during_a_pause_is_not_sent(
        self,
    ) -> None:
        """Its caller has been answered elsewhere, or not at all."""

        async def main() -> None:
            store = FakeStore()
            store.silent = True
            clock = _PausingClock()
            journal = Journal(store, 'me', clock)
            refused: list[str] = []

            async def append_late() -> None:
                try:
                    await journal.append([Beat(1, 2)], 3)
                except LogUnavailableError as exc:
                    refused.append(str(exc))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                tasks.start_soon(journal.append, [Beat(1, 1)], 9)
                await anyio.sleep(0.1)
                tasks.start_soon(append_late)
                await anyio.sleep(0.1)
                clock.paused_ms = 5_000
                store.silent = False
                await anyio.sleep(2)
                self.assertEqual(store.topic(CELL_TOPIC).end, 1)
                self.assertEqual(refused, ['the append was not sent in time'])
                await journal.append([Beat(1, 3)], 1)
                tasks.cancel_scope.cancel()

        run(main)

    def test_lost_replies_are_settled_by_the_same_append(self) -> None:
        """No record is stored twice, however many replies are lost."""

        async def main() -> None:
            store = FakeStore()
            store.replies_to_lose = 3
            journal = Journal(store, 'me', LoopClock())
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(journal.run)
                self.assertEqual(await journal.append([Beat(1, 1)], 9), 0)
                self.assertEqual(await journal.append([Beat(1, 2)], 9), 1)
                self.assertEqual(store.topic(CELL_TOPIC).end, 2)
                tasks.cancel_scope.cancel()

        run(main)
