"""Tests of when a snapshot is due."""

import unittest

from swifthoist_instance.history import History
from swifthoist_platform.store_records import Batch

AGE_MS = 4_000
MAX_BYTES = 100


class HistoryTest(unittest.TestCase):
    """The newest snapshot in the store decides, whoever wrote it."""

    def setUp(self) -> None:
        """Know of a snapshot at offset 10."""
        self.history = History()
        self.history.note_snapshot(10, 1_000)

    def expect_due(self, now_ms: int, *, due: bool) -> None:
        """Check whether a snapshot is due."""
        self.assertEqual(
            self.history.needs_snapshot(now_ms, AGE_MS, MAX_BYTES), due
        )

    def test_none_is_due_without_a_reason(self) -> None:
        """The newest one is recent and covers what is missing."""
        self.history.note_read(Batch(10, (b'x',), 11, 10))
        self.expect_due(4_999, due=False)

    def test_the_first_one_is_due_at_once(self) -> None:
        """A tenure may be shorter than the age."""
        self.history = History()
        self.expect_due(0, due=True)

    def test_age_and_size_make_one_due(self) -> None:
        """The log drops records by time and by size."""
        self.expect_due(5_000, due=True)
        self.history.note_read(Batch(10, (b'x' * 60, b'x' * 40), 12))
        self.expect_due(1_000, due=True)
        self.history.note_snapshot(12, 1_000)
        self.expect_due(1_000, due=False)

    def test_missing_records_make_one_due(self) -> None:
        """Nobody could start from the newest one."""
        self.history.note_read(Batch(12, (), 12, 11))
        self.expect_due(1_000, due=True)

    def test_an_earlier_snapshot_changes_nothing(self) -> None:
        """Its record may be read late."""
        self.history.note_snapshot(9, 900)
        self.history.note_snapshot(10, 2_000)
        self.assertEqual(self.history.covered, 10)
        self.expect_due(5_500, due=False)
