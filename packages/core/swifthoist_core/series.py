"""Counts of good and bad outcomes in buckets of log time.

The counts are packed, four bytes each, so that a series is small, a snapshot
can share it, and adding to it copies a few kilobytes only.
"""

import struct
from typing import NamedTuple

from swifthoist_core.types import Millis

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS

SHORT_BUCKET_MS: Millis = 5 * _MINUTE_MS
"""Width of the narrow buckets, in ms."""

SHORT_BUCKETS = 72
"""How many narrow buckets are kept: six hours."""

LONG_BUCKET_MS: Millis = _HOUR_MS
"""Width of the wide buckets, in ms."""

LONG_BUCKETS = 720
"""How many wide buckets are kept: thirty days."""

_COUNT = struct.Struct('<I')
_FULL = 2**32 - 1


class Outcomes(NamedTuple):
    """How many outcomes were good and how many were not.

    :ivar good: completed once, on time and in full.
    :ivar bad: anything else.
    """

    good: int = 0
    bad: int = 0

    @property
    def total(self) -> int:
        """All outcomes together."""
        return self.good + self.bad


class Ring(NamedTuple):
    """The latest buckets of one width, in a fixed amount of memory.

    :ivar bucket_ms: width of a bucket, in ms.
    :ivar latest: number of the latest bucket since the epoch.
    :ivar good: packed counts of good outcomes, in the order of the ring.
    :ivar bad: packed counts of bad outcomes, in the order of the ring.
    """

    bucket_ms: Millis
    latest: int
    good: bytes
    bad: bytes

    @property
    def size(self) -> int:
        """How many buckets the ring has."""
        return len(self.good) // _COUNT.size

    def add(self, time_ms: Millis, outcomes: Outcomes) -> 'Ring':
        """Count outcomes.

        :param time_ms: log time, which does not go back.
        :param outcomes: what came out.
        :returns: the ring with them.
        """
        latest = max(self.latest, time_ms // self.bucket_ms)
        first = max(self.latest + 1, latest - self.size + 1)
        passed = [bucket % self.size for bucket in range(first, latest + 1)]
        slot = latest % self.size
        return Ring(
            self.bucket_ms,
            latest,
            _plus(self.good, passed, slot, outcomes.good),
            _plus(self.bad, passed, slot, outcomes.bad),
        )

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up the outcomes of a window that ends now.

        The window is made of whole buckets; the current one, which is not
        full yet, is the last of them.

        :param time_ms: log time now.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        current = time_ms // self.bucket_ms
        count = min(self.size, length_ms // self.bucket_ms)
        first = max(current - count + 1, self.latest - self.size + 1, 0)
        slots = [bucket % self.size for bucket in range(first, self.latest + 1)]
        return Outcomes(_sum(self.good, slots), _sum(self.bad, slots))


class Series(NamedTuple):
    """Outcomes of one owner and class over thirty days.

    :ivar short: narrow buckets.
    :ivar long: wide buckets.
    """

    short: Ring
    long: Ring

    def add(self, time_ms: Millis, outcomes: Outcomes) -> 'Series':
        """Count outcomes.

        :param time_ms: log time, which does not go back.
        :param outcomes: what came out.
        :returns: the series with them.
        """
        return Series(
            self.short.add(time_ms, outcomes), self.long.add(time_ms, outcomes)
        )

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up a window that ends now, from the narrowest buckets.

        :param time_ms: log time now.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        narrow = length_ms <= SHORT_BUCKET_MS * SHORT_BUCKETS
        ring = self.short if narrow else self.long
        return ring.window(time_ms, length_ms)


def _empty(bucket_ms: Millis, size: int) -> Ring:
    nothing = bytes(size * _COUNT.size)
    return Ring(bucket_ms, 0, nothing, nothing)


EMPTY_SERIES = Series(
    _empty(SHORT_BUCKET_MS, SHORT_BUCKETS), _empty(LONG_BUCKET_MS, LONG_BUCKETS)
)
"""A series with nothing counted."""


def _plus(packed: bytes, passed: list[int], slot: int, more: int) -> bytes:
    if not passed and not more:
        return packed
    counts = bytearray(packed)
    for old in passed:
        _COUNT.pack_into(counts, old * _COUNT.size, 0)
    place = slot * _COUNT.size
    count = _COUNT.unpack_from(counts, place)[0] + max(0, more)
    _COUNT.pack_into(counts, place, min(_FULL, count))
    return bytes(counts)


def _sum(packed: bytes, slots: list[int]) -> int:
    places = (slot * _COUNT.size for slot in slots)
    return sum(_COUNT.unpack_from(packed, place)[0] for place in places)
