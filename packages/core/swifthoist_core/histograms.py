"""Histograms of waiting times, kept sparse with the buckets of HDR."""

from collections.abc import Mapping
from typing import NamedTuple, TypeAlias

from hdrh.histogram import HdrHistogram

from swifthoist_core.types import Millis

MAX_WAIT_MS: Millis = 30 * 24 * 3_600_000
"""Longest waiting time that is told apart, in ms."""

SIGNIFICANT_DIGITS = 1
"""Decimal digits of precision; a bucket is at most 1/16 of its value wide."""

Counts: TypeAlias = dict[Millis, int]
"""Counts by the greatest waiting time of their bucket, in ms."""

_BUCKETS = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)


class Percentiles(NamedTuple):
    """Waiting times, each rounded up to the end of its bucket.

    :ivar total: how many waited.
    :ivar p50_ms: half waited no longer than this, in ms.
    :ivar p90_ms: nine in ten waited no longer, in ms.
    :ivar p99_ms: ninety-nine in a hundred waited no longer, in ms.
    :ivar max_ms: nobody waited longer, in ms.
    """

    total: int
    p50_ms: Millis
    p90_ms: Millis
    p99_ms: Millis
    max_ms: Millis


def bucket_of(wait_ms: Millis) -> Millis:
    """Find the bucket that counts a waiting time.

    :param wait_ms: the waiting time, in ms.
    :returns: the greatest waiting time of the bucket, in ms.
    """
    bounded = min(max(wait_ms, 0), MAX_WAIT_MS)
    return int(_BUCKETS.get_highest_equivalent_value(bounded))


def add_wait(counts: Mapping[Millis, int], wait_ms: Millis) -> Counts:
    """Count one more waiting time.

    :param counts: the counts so far.
    :param wait_ms: the waiting time, in ms.
    :returns: the counts with it.
    """
    return merge(counts, {bucket_of(wait_ms): 1})


def merge(one: Mapping[Millis, int], other: Mapping[Millis, int]) -> Counts:
    """Add counts up.

    :param one: some counts.
    :param other: more counts.
    :returns: their sums by bucket.
    """
    sums = dict(one)
    for bucket, times in other.items():
        sums[bucket] = sums.get(bucket, 0) + times
    return sums


def percentiles(counts: Mapping[Millis, int]) -> Percentiles:
    """Summarize counts.

    :param counts: counts by bucket.
    :returns: the percentiles, all 0 when nothing was counted.
    """
    histogram = HdrHistogram(1, MAX_WAIT_MS, SIGNIFICANT_DIGITS)
    for bucket, times in counts.items():
        histogram.record_value(bucket_of(bucket), max(0, times))
    ranks = (50, 90, 99, 100)
    waits = (int(histogram.get_value_at_percentile(rank)) for rank in ranks)
    return Percentiles(int(histogram.get_total_count()), *waits)
