"""Months of the account, in UTC."""

import datetime as dt
import functools
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.types import Millis

KEEP_MONTHS = 3
"""How many months have totals, the current one included."""

_MS_PER_S = 1_000
_MS_PER_HOUR = 3_600_000
_MAX_PIECES = 24
_HOURS_REMEMBERED = 1_024


class MonthPeriod(NamedTuple):
    """The part of a period that lies in one month.

    :ivar month: the month, as ``2026-12``.
    :ivar length_ms: how long, in ms.
    """

    month: str
    length_ms: Millis


def month_of(time_ms: Millis) -> str:
    """Name the month of a point in time.

    :param time_ms: ms since the epoch.
    :returns: the month, as ``2026-12``.
    """
    return _month_of_hour(time_ms // _MS_PER_HOUR)


def oldest_kept_month(months: Iterable[str]) -> str:
    """Tell from which month on totals are kept.

    :param months: at least one month with totals, in any order.
    :returns: the oldest month to keep.
    """
    return sorted(set(months))[-KEEP_MONTHS:][0]


def split_by_month(
    started_ms: Millis, stopped_ms: Millis
) -> Iterator[MonthPeriod]:
    """Split a period at the ends of months.

    A period of absurd length, from a clock that is far off, is split into
    a bounded number of pieces, the last of which takes the rest.

    :param started_ms: start, ms since the epoch.
    :param stopped_ms: end, ms since the epoch.
    :returns: a piece for each month, in order.
    """
    if month_of(started_ms) == month_of(stopped_ms):
        yield MonthPeriod(month_of(started_ms), max(0, stopped_ms - started_ms))
        return
    for _ in range(_MAX_PIECES):
        end_ms = _next_month_ms(started_ms)
        if stopped_ms <= end_ms:
            break
        yield MonthPeriod(month_of(started_ms), end_ms - started_ms)
        started_ms = end_ms
    yield MonthPeriod(month_of(started_ms), max(0, stopped_ms - started_ms))


@functools.lru_cache(maxsize=_HOURS_REMEMBERED)
def _month_of_hour(hour: int) -> str:
    return _when(hour * _MS_PER_HOUR).strftime('%Y-%m')


def _when(time_ms: Millis) -> dt.datetime:
    return dt.datetime.fromtimestamp(time_ms / _MS_PER_S, dt.UTC)


def _next_month_ms(time_ms: Millis) -> Millis:
    when = _when(time_ms)
    year, month0 = divmod(when.year * 12 + when.month, 12)
    begin = dt.datetime(year, month0 + 1, 1, tzinfo=dt.UTC)
    return int(begin.timestamp()) * _MS_PER_S
