"""Tests of the size that a read of the log asks for."""

import unittest

import anyio

from swifthoist_core.errors import LogSilentError, LogUnavailableError
from swifthoist_core.types import Offset
from swifthoist_engine.cell import Cell
from swifthoist_instance.follower import Follower
from swifthoist_instance.read_size import (
    INITIAL_KB,
    MIN_READ_KB,
    STEP_KB,
    ReadSize,
)
from swifthoist_platform.store import MAX_READ_KB
from swifthoist_platform.store_records import Batch
from tests.engine.scenes import KEEP_MS
from tests.instance.fakes import LoopClock, run

MAX_RECORD_KB = 256
"""Largest record that the platform's store accepts, in KB."""

RECORD = bytes(MAX_RECORD_KB * 1_024)
LIMIT_S = 10
ANSWER_S = 0.01


class _SizeLimitedStore:
    """A store that fails some reads, then sends at most the size asked for.

    :ivar requested_kb: sizes that were asked for, in KB.
    """

    def __init__(
        self, *failures: LogUnavailableError, records: int = 1
    ) -> None:
        """Create a store with records of the largest size.

        :param failures: errors of the first reads.
        :param records: number of records.
        """
        self.requested_kb: list[int] = []
        self._failures = failures
        self._end = records

    async def read(
        self,
        topic: str,
        start: Offset,
        wait_s: float,
        timeout_s: float,
        max_kb: int,
    ) -> Batch:
        """Read as many records as were asked for."""
        self.requested_kb.append(max_kb)
        await anyio.sleep(ANSWER_S)
        if len(self.requested_kb) <= len(self._failures):
            raise self._failures[len(self.requested_kb) - 1]
        count = min(max_kb // MAX_RECORD_KB, self._end - start)
        return Batch(start, (RECORD,) * count, self._end)


def _catch_up(store: _SizeLimitedStore, limit_s: float = LIMIT_S) -> None:
    """Have a new instance read the whole log, or fail at the limit."""

    async def main() -> None:
        follower = Follower(store, Cell(KEEP_MS), LoopClock())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            with anyio.fail_after(limit_s):
                while not follower.caught_up:
                    await follower.wait_progress()
            tasks.cancel_scope.cancel()

    run(main)


class ReadSizeTest(unittest.TestCase):
    """The size shrinks until reads are served, then grows again."""

    def test_a_read_that_is_late_is_followed_by_smaller_ones_down_to_a_floor(
        self,
    ) -> None:
        """Each read asks for half of the one before, down to a minimum."""
        size = ReadSize()
        sizes = []
        for _ in range(9):
            sizes.append(size.max_kb)
            size.note_timeout()
        self.assertEqual(
            sizes[:3], [INITIAL_KB, INITIAL_KB // 2, INITIAL_KB // 4]
        )
        self.assertEqual(size.max_kb, MIN_READ_KB)

    def test_reads_that_are_served_grow_by_steps_to_the_largest(self) -> None:
        """The size stays at ``MAX_READ_KB`` from then on."""
        size = ReadSize()
        sizes = []
        for _ in range(MAX_READ_KB // STEP_KB):
            size.note_served()
            sizes.append(size.max_kb)
        self.assertEqual(sizes[0], INITIAL_KB + STEP_KB)
        self.assertEqual(sizes[-1], MAX_READ_KB)

    def test_a_newcomer_does_not_pause_while_there_is_more_to_read(
        self,
    ) -> None:
        """Its reads follow each other without a pause."""
        store = _SizeLimitedStore(records=40)
        _catch_up(store, limit_s=0.5)
        self.assertGreater(len(store.requested_kb), 10)

    def test_a_record_larger_than_the_smallest_read_does_not_stop_a_newcomer(
        self,
    ) -> None:
        """The store sends it only when the size asked for is large enough."""
        store = _SizeLimitedStore(*(LogSilentError('no answer'),) * 8)
        _catch_up(store)
        self.assertIn(MIN_READ_KB, store.requested_kb)

    def test_a_store_that_refuses_is_not_asked_for_less(self) -> None:
        """Smaller reads are more calls, which a busy store refuses as well."""
        store = _SizeLimitedStore(*(LogUnavailableError('answered 503'),) * 8)
        _catch_up(store)
        self.assertEqual(min(store.requested_kb), INITIAL_KB)


if __name__ == '__main__':
    unittest.main()
