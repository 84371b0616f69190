"""Counts of good and bad outcomes in buckets of log time."""

from array import array
from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.types import Millis

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS

SHORT_STEP_MS: Millis = 5 * _MINUTE_MS
"""Width of the narrow buckets, in ms."""

SHORT_BUCKETS = 72
"""How many narrow buckets are kept: six hours."""

LONG_STEP_MS: Millis = _HOUR_MS
"""Width of the wide buckets, in ms."""

LONG_BUCKETS = 720
"""How many wide buckets are kept: thirty days."""


_COUNT_BYTES = array('I').itemsize
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

    def plus(self, other: 'Outcomes') -> 'Outcomes':
        """Add counts up.

        :param other: more outcomes.
        :returns: the sums.
        """
        return Outcomes(self.good + other.good, self.bad + other.bad)


class RingState(NamedTuple):
    """Content of a ring, for snapshots.

    :ivar step_ms: width of a bucket, in ms.
    :ivar latest: number of the latest bucket since the epoch.
    :ivar good: good outcomes, in the order of the ring.
    :ivar bad: bad outcomes, in the order of the ring.
    """

    step_ms: Millis
    latest: int
    good: tuple[int, ...]
    bad: tuple[int, ...]


class Ring:
    """The latest buckets of one width, in a fixed amount of memory."""

    def __init__(self, step_ms: Millis, size: int) -> None:
        """Start with nothing counted.

        :param step_ms: width of a bucket, in ms.
        :param size: how many buckets are kept.
        """
        self._step_ms = step_ms
        self._latest = 0
        self._good = array('I', bytes(size * _COUNT_BYTES))
        self._bad = array('I', bytes(size * _COUNT_BYTES))

    @classmethod
    def of(cls, state: RingState) -> 'Ring':
        """Restore a ring.

        :param state: content of a snapshot.
        :returns: the ring.
        """
        ring = cls(state.step_ms, 0)
        ring._latest = state.latest
        ring._good = array('I', state.good)
        ring._bad = array('I', state.bad)
        return ring

    def state(self) -> RingState:
        """Content of the ring, for a snapshot."""
        return RingState(
            self._step_ms, self._latest, tuple(self._good), tuple(self._bad)
        )

    def add(self, time_ms: Millis, outcomes: Outcomes) -> None:
        """Count outcomes.

        :param time_ms: log time, which does not go back.
        :param outcomes: what came out.
        """
        self._advance(time_ms // self._step_ms)
        slot = self._latest % len(self._good)
        self._good[slot] = min(_FULL, self._good[slot] + outcomes.good)
        self._bad[slot] = min(_FULL, self._bad[slot] + outcomes.bad)

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up the outcomes of a window that ends now.

        The window is made of whole buckets; the current one, which is not
        full yet, is the last of them.

        :param time_ms: log time now.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        current = time_ms // self._step_ms
        size = len(self._good)
        count = min(size, length_ms // self._step_ms)
        first = max(current - count + 1, self._latest - size + 1, 0)
        slots = [bucket % size for bucket in range(first, self._latest + 1)]
        return Outcomes(_sum(self._good, slots), _sum(self._bad, slots))

    def _advance(self, bucket: int) -> None:
        size = len(self._good)
        first = max(self._latest + 1, bucket - size + 1)
        for passed in range(first, bucket + 1):
            self._good[passed % size] = 0
            self._bad[passed % size] = 0
        self._latest = max(self._latest, bucket)


class SeriesState(NamedTuple):
    """Content of a series, for snapshots.

    :ivar short: narrow buckets.
    :ivar long: wide buckets.
    """

    short: RingState
    long: RingState


class Series:
    """Outcomes of one owner and class over thirty days."""

    def __init__(self, state: SeriesState | None = None) -> None:
        """Start from a snapshot.

        :param state: content of a snapshot; none for a new series.
        """
        self._short = Ring(SHORT_STEP_MS, SHORT_BUCKETS)
        self._long = Ring(LONG_STEP_MS, LONG_BUCKETS)
        if state is not None:
            self._short = Ring.of(state.short)
            self._long = Ring.of(state.long)

    def state(self) -> SeriesState:
        """Content of the series, for a snapshot."""
        return SeriesState(self._short.state(), self._long.state())

    def add(self, time_ms: Millis, outcomes: Outcomes) -> None:
        """Count outcomes.

        :param time_ms: log time, which does not go back.
        :param outcomes: what came out.
        """
        self._short.add(time_ms, outcomes)
        self._long.add(time_ms, outcomes)

    def window(self, time_ms: Millis, length_ms: Millis) -> Outcomes:
        """Add up a window that ends now, from the narrowest buckets.

        :param time_ms: log time now.
        :param length_ms: length of the window, in ms.
        :returns: the sums.
        """
        narrow = length_ms <= SHORT_STEP_MS * SHORT_BUCKETS
        ring = self._short if narrow else self._long
        return ring.window(time_ms, length_ms)


def _sum(counts: 'array[int]', slots: Iterable[int]) -> int:
    return sum(counts[slot] for slot in slots)
