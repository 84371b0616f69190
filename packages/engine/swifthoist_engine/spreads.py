"""How far durations are from what was expected, and what that tells of a run.

Runs that were ended early count too: they tell that a run takes at least so long.
"""

from dataclasses import dataclass, field
from itertools import accumulate

from swifthoist_engine.octaves import OCTAVE

BUCKET_WIDTH = OCTAVE // 4
"""Width of a bucket, on the scale of equal ratios."""

BUCKET_COUNT = 32
"""Buckets, from a sixteenth of what was expected to sixteen times as much."""

_MIDDLE = BUCKET_COUNT // 2


def bucket_of(deviation: float) -> int:
    """Find the bucket of a deviation.

    :param deviation: actual less expected duration, on the scale.
    :returns: its number.
    """
    return min(
        max(int(deviation // BUCKET_WIDTH) + _MIDDLE, 0), BUCKET_COUNT - 1
    )


def deviation_at(bucket: int) -> float:
    """Tell what deviation is in the middle of a bucket.

    :param bucket: its number.
    :returns: the deviation, on the scale.
    """
    return BUCKET_WIDTH * (bucket - _MIDDLE + 0.5)


def _suffix_sums(counts: list[int]) -> list[int]:
    """Add up what is in each bucket and beyond."""
    sums = list(accumulate(reversed(counts)))
    sums.reverse()
    return sums


def _zeros() -> list[int]:
    return [0 for _ in range(BUCKET_COUNT)]


@dataclass(slots=True)
class Spread:
    """Weights of runs by how far they were off.

    :ivar ended: runs that came to their end.
    :ivar cut: runs that were ended before.
    """

    ended: list[int] = field(default_factory=_zeros)
    cut: list[int] = field(default_factory=_zeros)

    def add(self, deviation: float, weight: int, *, ended: bool) -> None:
        """Count a run.

        :param deviation: how far it was off, on the scale.
        :param weight: its weight.
        :param ended: it came to its end.
        """
        counts = self.ended if ended else self.cut
        counts[bucket_of(deviation)] += weight

    def shrink(self, share: int, total: int) -> None:
        """Keep a share of what is known.

        :param share: the share, in parts.
        :param total: the parts of the whole.
        """
        self.ended = [count * share // total for count in self.ended]
        self.cut = [count * share // total for count in self.cut]

    def median_ends(self, min_weight: int) -> tuple[float | None, ...]:
        """Tell which end is in the middle of those that are still ahead.

        A run that was cut is taken to have gone on as those that went on from
        there (Kaplan and Meier).

        :param min_weight: weight that has to be known from an age on.
        :returns: for an age in each bucket, the deviation of the end; none
            where too little is known.
        """
        found: list[float | None] = []
        known = _suffix_sums(self.ended)
        left = self._survival(known, _suffix_sums(self.cut))
        at = 0
        for bucket in range(BUCKET_COUNT):
            before = left[bucket]
            at = max(at, bucket)
            while at < BUCKET_COUNT - 1 and left[at + 1] > before / 2:
                at += 1
            found.append(
                deviation_at(at) if known[bucket] >= min_weight else None
            )
        return tuple(found)

    def _survival(self, known: list[int], cut: list[int]) -> list[float]:
        """Tell which share of the runs goes on at the begin of each bucket."""
        left = [1.0]
        for bucket in range(BUCKET_COUNT):
            at_risk = known[bucket] + cut[bucket]
            gone = self.ended[bucket] / at_risk if at_risk else 0
            left.append(left[-1] * (1 - gone))
        return left
