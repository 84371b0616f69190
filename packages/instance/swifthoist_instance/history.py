"""Tracks how much of the log's past the newest snapshot covers."""

import logging

from swifthoist_core.types import Millis, Offset
from swifthoist_platform.store_records import Batch

_log = logging.getLogger(__name__)


class History:
    """The part of the log that an instance without state has to read.

    :ivar earliest: offset of the oldest record that the store retains.
    :ivar covered: offset of the first record that the newest snapshot doesn't
        include; None if no snapshot is known.
    """

    def __init__(self) -> None:
        """Know of no snapshot."""
        self.earliest: Offset = 0
        self.covered: Offset | None = None
        self._taken_ms: Millis = 0
        self._uncovered_bytes = 0
        self._forgotten = False

    def note_read(self, batch: Batch) -> None:
        """Take note of records that were read.

        :param batch: the records.
        """
        self.earliest = max(batch.earliest, self.earliest)
        self._uncovered_bytes += sum(map(len, batch.records))

    def note_snapshot(self, position: Offset, at_ms: Millis) -> None:
        """Take note of a snapshot that is in the store.

        :param position: offset of the first record that it doesn't include.
        :param at_ms: time of the cell at which it was taken.
        """
        if self.covered is None or position >= self.covered:
            self.covered = position
            self._taken_ms = at_ms
            self._uncovered_bytes = 0

    @property
    def forgotten(self) -> int:
        """Number of records that the store has dropped and no snapshot has."""
        return max(self.earliest - (self.covered or 0), 0)

    def age_ms(self, now_ms: Millis) -> Millis | None:
        """Return the age of the newest snapshot.

        :param now_ms: time of the cell.
        :returns: the age, in ms; None if no snapshot is known.
        """
        return None if self.covered is None else now_ms - self._taken_ms

    def log_forgotten(self, now_ms: Millis) -> None:
        """Log when records expire that no snapshot has, and when one has all.

        They are lost once no instance is left that has folded them.

        :param now_ms: time of the cell.
        """
        forgotten = bool(self.forgotten)
        if forgotten == self._forgotten:
            return
        self._forgotten = forgotten
        fields = {
            'earliest': self.earliest,
            'covered': self.covered,
            'age_ms': self.age_ms(now_ms),
        }
        if forgotten:
            _log.error('records expired that no snapshot has', extra=fields)
        else:
            _log.info('all records are covered again', extra=fields)

    def needs_snapshot(
        self, now_ms: Millis, max_age_ms: Millis, max_bytes: int
    ) -> bool:
        """Return whether the newest snapshot is too old.

        :param now_ms: time of the cell.
        :param max_age_ms: age from which it is, in ms.
        :param max_bytes: size of the newer records from which it is, in bytes.
        :returns: whether it is, or records before its position are missing.
        """
        if self.covered is None or self.covered < self.earliest:
            return True
        aged = now_ms - self._taken_ms >= max_age_ms
        return aged or self._uncovered_bytes >= max_bytes
