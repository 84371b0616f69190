"""How far durations are from what was expected, and what that tells of a run.

Runs that were ended early count too: they tell that a run takes at least so long.
"""

from dataclasses import dataclass, field
from itertools import accumulate

from swifthoist_engine.log_scale import STEPS_PER_DOUBLING

STEP = STEPS_PER_DOUBLING // 4
"""Width of a bucket, on the scale of equal ratios."""

BUCKETS = 32
"""Buckets, from a sixteenth of what was expected to sixteen times as much."""

_MIDDLE = BUCKETS // 2


def bucket_of(off: float) -> int:
    """Find the bucket of a deviation.

    :param off: actual less expected duration, on the scale.
    :returns: its number.
    """
    return min(max(int(off // STEP) + _MIDDLE, 0), BUCKETS - 1)


def off_at(bucket: int) -> float:
    """Tell what deviation is in the middle of a bucket.

    :param bucket: its number.
    :returns: the deviation, on the scale.
    """
    return STEP * (bucket - _MIDDLE + 0.5)


def _sums_from(counts: list[int]) -> list[int]:
    """Add up what is in each bucket and beyond."""
    sums = list(accumulate(reversed(counts)))
    sums.reverse()
    return sums


def _zeros() -> list[int]:
    return [0 for _ in range(BUCKETS)]


@dataclass(slots=True)
class Spread:
    """Weights of runs by how far they were off.

    :ivar ended: runs that came to their end.
    :ivar cut: runs that were ended before.
    """

    ended: list[int] = field(default_factory=_zeros)
    cut: list[int] = field(default_factory=_zeros)

    def add(self, off: float, weight: int, *, ended: bool) -> None:
        """Count a run.

        :param off: how far it was off, on the scale.
        :param weight: its weight.
        :param ended: it came to its end.
        """
        counts = self.ended if ended else self.cut
        counts[bucket_of(off)] += weight

    def shrink(self, share: int, of_all: int) -> None:
        """Keep a share of what is known.

        :param share: the share, in parts.
        :param of_all: the parts of the whole.
        """
        self.ended = [count * share // of_all for count in self.ended]
        self.cut = [count * share // of_all for count in self.cut]

    def outlook(self, least: int) -> tuple[float | None, ...]:
        """Tell which end is in the middle of those that are still ahead.

        A run that was cut is taken to have gone on as those that went on from
        there (Kaplan and Meier).

        :param least: weight that has to be known from an age on.
        :returns: for an age in each bucket, the deviation of the end; none
            where too little is known.
        """
        found: list[float | None] = []
        known = _sums_from(self.ended)
        left = self._shares_left(known, _sums_from(self.cut))
        at = 0
        for bucket in range(BUCKETS):
            before = left[bucket]
            at = max(at, bucket)
            while at < BUCKETS - 1 and left[at + 1] > before / 2:
                at += 1
            found.append(off_at(at) if known[bucket] >= least else None)
        return tuple(found)

    def _shares_left(self, known: list[int], cut: list[int]) -> list[float]:
        """Tell which share of the runs goes on at the begin of each bucket."""
        left = [1.0]
        for bucket in range(BUCKETS):
            at_risk = known[bucket] + cut[bucket]
            gone = self.ended[bucket] / at_risk if at_risk else 0
            left.append(left[-1] * (1 - gone))
        return left
