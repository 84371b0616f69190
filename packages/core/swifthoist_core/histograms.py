"""Sparse histograms of waiting times, with the buckets of HdrHistogram."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from hdrh.histogram import HdrHistogram

from swifthoist_core.types import Millis

MAX_WAIT_MS: Millis = 30 * 24 * 3_600_000
"""Longest waiting time that is recorded, in ms; longer ones count as this."""

SIGNIFICANT_DIGITS = 1
"""Decimal digits of precision; a bucket is at most 1/16 of its value wide."""

Counts: TypeAlias = dict[Millis, int]
"""Counts, keyed by the longest waiting time of their bucket, in ms."""

_BUCKETS = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)


class Percentiles(NamedTuple):
    """Percentiles of waiting times, each rounded up to the end of its bucket.

    :ivar total: number of waiting times.
    :ivar p50_ms: median, in ms.
    :ivar p90_ms: 90th percentile, in ms.
    :ivar p99_ms: 99th percentile, in ms.
    :ivar max_ms: maximum, in ms.
    """

    total: int
    p50_ms: Millis
    p90_ms: Millis
    p99_ms: Millis
    max_ms: Millis


def bucket_of(wait_ms: Millis) -> Millis:
    """Find the bucket of a waiting time.

    :param wait_ms: the waiting time, in ms.
    :returns: the longest waiting time of the bucket, in ms.
    """
    bounded = min(max(wait_ms, 0), MAX_WAIT_MS)
    return int(_BUCKETS.get_highest_equivalent_value(bounded))


def add_wait(counts: Mapping[Millis, int], wait_ms: Millis) -> Counts:
    """Add a waiting time to counts.

    :param counts: the counts, which are not changed.
    :param wait_ms: the waiting time, in ms.
    :returns: new counts that include it.
    """
    return merge(counts, {bucket_of(wait_ms): 1})


def merge(one: Mapping[Millis, int], other: Mapping[Millis, int]) -> Counts:
    """Add the counts of two histograms.

    :param one: counts of one histogram.
    :param other: counts of the other.
    :returns: their sums by bucket.
    """
    sums = dict(one)
    for bucket, count in other.items():
        sums[bucket] = sums.get(bucket, 0) + count
    return sums


def percentiles(counts: Mapping[Millis, int]) -> Percentiles:
    """Compute the percentiles of counts.

    :param counts: counts by bucket.
    :returns: the percentiles, all 0 if there are no counts.
    """
    histogram = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)
    for bucket, count in counts.items():
        histogram.record_value(bucket_of(bucket), max(0, count))
    ranks = (50, 90, 99, 100)
    waits = (int(histogram.get_value_at_percentile(rank)) for rank in ranks)
    return Percentiles(int(histogram.get_total_count()), *waits)
