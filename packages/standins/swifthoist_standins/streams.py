"""The aggregate of one stream of the log."""

from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from swifthoist_core.errors import LogExpiredError
from swifthoist_core.types import Millis, Offset
from swifthoist_platform.log import Bounds, LogEntry

REPLY_BYTES = 1024 * 1024
"""Size of records beyond which a reply takes no further one, in bytes."""


class Retention(NamedTuple):
    """How long a stream keeps records; the first limit met counts.

    :ivar records: greatest number of records.
    :ivar age_ms: greatest age of a record, in ms.
    :ivar size_bytes: greatest size of all records, in bytes.
    """

    records: int = 200_000
    age_ms: Millis = 3_600_000
    size_bytes: int = 64 * 1024 * 1024


class Stream:
    """Records in offset order; old ones are forgotten, none is changed."""

    def __init__(self, retention: Retention) -> None:
        """Start without a record.

        :param retention: how long to keep records.
        """
        self._retention = retention
        self._entries: deque[LogEntry] = deque()
        self._end: Offset = 0
        self._last_ms: Millis = 0
        self._size = 0

    @property
    def bounds(self) -> Bounds:
        """What the stream holds."""
        return Bounds(self._end - len(self._entries), self._end)

    def append(self, payloads: Sequence[bytes], now_ms: Millis) -> Offset:
        """Add records next to each other.

        :param payloads: the records.
        :param now_ms: time of the append.
        :returns: offset of the first one.
        """
        first = self._end
        self._last_ms = max(self._last_ms, now_ms)
        for payload in payloads:
            entry = LogEntry(self._end, self._last_ms, payload)
            self._entries.append(entry)
            self._end += 1
            self._size += len(payload)
        self.forget(now_ms)
        return first

    def read(self, start: Offset, limit: int) -> tuple[LogEntry, ...]:
        """Read records in offset order.

        :param start: offset of the first one wanted.
        :param limit: greatest number of records.
        :returns: the records, at least one if there is any.
        :raises LogExpiredError: when ``start`` is no longer held.
        """
        earliest = self.bounds.earliest
        if start < earliest:
            raise LogExpiredError(earliest)
        found: list[LogEntry] = []
        size = 0
        for offset in range(start, min(start + limit, self._end)):
            found.append(self._entries[offset - earliest])
            size += len(found[-1].payload)
            if size > REPLY_BYTES:
                break
        return tuple(found)

    def forget(self, now_ms: Millis) -> None:
        """Forget the records that are over the limits.

        :param now_ms: time of now.
        """
        oldest_ms = now_ms - self._retention.age_ms
        while self._entries and self._is_over(oldest_ms):
            self._drop()

    def expire(self, before: Offset) -> None:
        """Forget records however young they are.

        :param before: offset of the first one to keep.
        """
        while self._entries and self._entries[0].offset < before:
            self._drop()

    def _is_over(self, oldest_ms: Millis) -> bool:
        return (
            len(self._entries) > self._retention.records
            or self._size > self._retention.size_bytes
            or self._entries[0].time_ms < oldest_ms
        )

    def _drop(self) -> None:
        self._size -= len(self._entries.popleft().payload)
