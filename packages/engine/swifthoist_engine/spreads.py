"""Distribution of actual against expected durations.

Runs that were stopped early count too: they show that a run takes at least as
long as they did.
"""

from dataclasses import dataclass, field
from itertools import accumulate

from swifthoist_engine.log_scale import STEPS_PER_DOUBLING

BUCKET_WIDTH = STEPS_PER_DOUBLING // 4
"""Width of a bucket, on the logarithmic scale."""

BUCKET_COUNT = 32
"""Number of buckets, from 1/16 to 16 times the expected duration."""

_MIDDLE = BUCKET_COUNT // 2


def bucket_of(deviation: float) -> int:
    """Find the bucket of a deviation.

    :param deviation: actual less expected duration, on the logarithmic scale.
    :returns: its number.
    """
    return min(
        max(int(deviation // BUCKET_WIDTH) + _MIDDLE, 0), BUCKET_COUNT - 1
    )


def deviation_at(bucket: int) -> float:
    """Return the deviation in the middle of a bucket.

    :param bucket: its number.
    :returns: the deviation, on the logarithmic scale.
    """
    return BUCKET_WIDTH * (bucket - _MIDDLE + 0.5)


def _suffix_sums(counts: list[int]) -> list[int]:
    """Sum up each bucket and all later ones."""
    sums = list(accumulate(reversed(counts)))
    sums.reverse()
    return sums


def _zeros() -> list[int]:
    return [0 for _ in range(BUCKET_COUNT)]


@dataclass(slots=True)
class Spread:
    """Weights of runs by their deviation from the expected duration.

    :ivar ended: runs that ended by themselves.
    :ivar cut: runs that were stopped before their end.
    """

    ended: list[int] = field(default_factory=_zeros)
    cut: list[int] = field(default_factory=_zeros)

    def add(self, deviation: float, weight: int, *, ended: bool) -> None:
        """Count a run.

        :param deviation: its deviation, on the logarithmic scale.
        :param weight: its weight.
        :param ended: it ended by itself.
        """
        counts = self.ended if ended else self.cut
        counts[bucket_of(deviation)] += weight

    def shrink(self, share: int, total: int) -> None:
        """Scale all weights down.

        :param share: numerator of the factor.
        :param total: denominator of the factor.
        """
        self.ended = [count * share // total for count in self.ended]
        self.cut = [count * share // total for count in self.cut]

    def median_ends(self, min_weight: int) -> tuple[float | None, ...]:
        """Estimate the median end of the runs that reach each age.

        Stopped runs are treated as censored (Kaplan-Meier estimator).

        :param min_weight: weight of ended runs required from an age on.
        :returns: the deviation of the median end, by the bucket of the age;
            None where too little is known.
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
        """Compute the share of runs that reach the start of each bucket."""
        left = [1.0]
        for bucket in range(BUCKET_COUNT):
            at_risk = known[bucket] + cut[bucket]
            gone = self.ended[bucket] / at_risk if at_risk else 0
            left.append(left[-1] * (1 - gone))
        return left
