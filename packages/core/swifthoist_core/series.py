"""Counts of good and bad outcomes in buckets of log time.

The counts are packed into four bytes each. This keeps a series small, lets
snapshots share it, and makes an addition copy only a few kilobytes.
"""

import struct
from typing import NamedTuple

from swifthoist_core.types import Millis

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS

SHORT_BUCKET_MS: Millis = 5 * _MINUTE_MS
"""Width of a short bucket, in ms."""

SHORT_BUCKETS = 72
"""Number of short buckets that are kept: six hours."""

LONG_BUCKET_MS: Millis = _HOUR_MS
"""Width of a long bucket, in ms."""

LONG_BUCKETS = 720
"""Number of long buckets that are kept: thirty days."""

_COUNT = struct.Struct('<I')
_MAX_COUNT = 2**32 - 1


class Outcomes(NamedTuple):
    """Numbers of good and of bad outcomes.

    :ivar good: completed once, on time and in full.
    :ivar bad: anything else.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """Number of all outcomes."""
        return self.good + self.bad


class Ring(NamedTuple):
    """A ring buffer of the latest buckets of one width.

    :ivar bucket_ms: width of a bucket, in ms.
    :ivar latest: number of the latest bucket, counted from the Unix epoch.
    :ivar good: packed counts of good outcomes, one for each slot.
    :ivar bad: packed counts of bad outcomes, one for each slot.
    """

    bucket_ms: Millis
    latest: int
    good: bytes
    bad: bytes

    @property
    def size(self) -> int:
        """Number of buckets in the ring."""
        return len(self.good) // _COUNT.size

    def add(self, time_ms: Millis, outcomes: Outcomes) -> 'Ring':
        """Add outcomes to the bucket of a time.

        :param time_ms: log time, which does not go back.
        :param outcomes: the outcomes to add.
        :returns: a new ring that includes them.
        """
        latest = max(self.latest, time_ms // self.bucket_ms)
        first = max(self.latest + 1, latest - self.size + 1)
        expired = [bucket % self.size for bucket in range(first, latest + 1)]
        slot = latest % self.size
        return Ring(
            self.bucket_ms,
            latest,
            _add_count(self.good, expired, slot, outcomes.good),
            _add_count(self.bad, expired, slot, outcomes.bad),
        )

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up the outcomes of a window that ends now.

        The window consists of whole buckets. The last one is the current
        bucket, which is still being filled.

        :param time_ms: current log time.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        current = time_ms // self.bucket_ms
        count = min(self.size, length_ms // self.bucket_ms)
        first = max(current - count + 1, self.latest - self.size + 1, 0)
        slots = [bucket % self.size for bucket in range(first, self.latest + 1)]
        return Outcomes(
            _sum_counts(self.good, slots), _sum_counts(self.bad, slots)
        )


class Series(NamedTuple):
    """Outcomes of one queue over the last thirty days.

    :ivar short: the short buckets.
    :ivar long: the long buckets.
    """

    short: Ring
    long: Ring

    def add(self, time_ms: Millis, outcomes: Outcomes) -> 'Series':
        """Add outcomes at a time.

        :param time_ms: log time, which does not go back.
        :param outcomes: the outcomes to add.
        :returns: a new series that includes them.
        """
        return Series(
            self.short.add(time_ms, outcomes), self.long.add(time_ms, outcomes)
        )

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up a window that ends now, from the shortest buckets that span it.

        :param time_ms: current log time.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        is_short = length_ms <= SHORT_BUCKET_MS * SHORT_BUCKETS
        ring = self.short if is_short else self.long
        return ring.window(time_ms, length_ms)


def _empty(bucket_ms: Millis, size: int) -> Ring:
    zeros = bytes(size * _COUNT.size)
    return Ring(bucket_ms, 0, zeros, zeros)


EMPTY_SERIES = Series(
    _empty(SHORT_BUCKET_MS, SHORT_BUCKETS), _empty(LONG_BUCKET_MS, LONG_BUCKETS)
)
"""A series without outcomes."""


def _add_count(
    packed: bytes, expired: list[int], slot: int, added: int
) -> bytes:
    if not expired and not added:
        return packed
    counts = bytearray(packed)
    for expired_slot in expired:
        _COUNT.pack_into(counts, expired_slot * _COUNT.size, 0)
    offset = slot * _COUNT.size
    count = _COUNT.unpack_from(counts, offset)[0] + max(0, added)
    _COUNT.pack_into(counts, offset, min(_MAX_COUNT, count))
    return bytes(counts)


def _sum_counts(packed: bytes, slots: list[int]) -> int:
    offsets = (slot * _COUNT.size for slot in slots)
    return sum(_COUNT.unpack_from(packed, offset)[0] for offset in offsets)
