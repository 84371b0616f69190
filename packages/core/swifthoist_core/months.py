"""Calendar months in UTC, by which usage is accounted."""

import datetime as dt
import functools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.types import Millis

KEEP_MONTHS = 3
"""Number of months whose totals are kept, including the current one."""

_MS_PER_S = 1_000
_MS_PER_HOUR = 3_600_000
_MAX_PERIODS = 24
_CACHED_HOURS = 1_024


class MonthPeriod(NamedTuple):
    """The part of a period that lies in one month.

    :ivar month: the month, as ``2026-12``.
    :ivar length_ms: length of the part, in ms.
    """

    month: str
    length_ms: Millis


def month_of(time_ms: Millis) -> str:
    """Return the month of a point in time.

    :param time_ms: ms since the Unix epoch.
    :returns: the month, as ``2026-12``.
    """
    return _month_of_hour(time_ms // _MS_PER_HOUR)


def oldest_kept_month(months: Iterable[str]) -> str:
    """Find the oldest month whose totals are kept.

    :param months: at least one month with totals, in any order.
    :returns: the oldest month to keep.
    """
    return sorted(set(months))[-KEEP_MONTHS:][0]


def split_by_month(
    started_ms: Millis, stopped_ms: Millis
) -> Iterator[MonthPeriod]:
    """Split a period at the ends of months.

    The number of parts is bounded, since a clock that is far off may give a
    period of absurd length; the last part then takes the rest.

    :param started_ms: start, in ms since the Unix epoch.
    :param stopped_ms: end, in ms since the Unix epoch.
    :returns: the part in each month, in order.
    """
    if month_of(started_ms) == month_of(stopped_ms):
        yield MonthPeriod(month_of(started_ms), max(0, stopped_ms - started_ms))
        return
    for _ in range(_MAX_PERIODS):
        end_ms = _next_month_ms(started_ms)
        if stopped_ms <= end_ms:
            break
        yield MonthPeriod(month_of(started_ms), end_ms - started_ms)
        started_ms = end_ms
    yield MonthPeriod(month_of(started_ms), max(0, stopped_ms - started_ms))


@functools.lru_cache(maxsize=_CACHED_HOURS)
def _month_of_hour(hour: int) -> str:
    return _to_datetime(hour * _MS_PER_HOUR).strftime('%Y-%m')


def _to_datetime(time_ms: Millis) -> dt.datetime:
    return dt.datetime.fromtimestamp(time_ms / _MS_PER_S, dt.UTC)


def _next_month_ms(time_ms: Millis) -> Millis:
    moment = _to_datetime(time_ms)
    year, month0 = divmod(moment.year * 12 + moment.month, 12)
    next_month = dt.datetime(year, month0 + 1, 1, tzinfo=dt.UTC)
    return int(next_month.timestamp()) * _MS_PER_S
