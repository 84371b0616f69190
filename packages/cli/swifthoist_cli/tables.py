"""Tables: reports as rows of cells, for text and for CSV."""

import datetime as dt
from collections.abc import Iterable, Iterator
from typing import NamedTuple, TypeAlias

from swifthoist_core.burn import Burn, BurnLine, BurnReport
from swifthoist_core.reports import UsageLine, UsageReport
from swifthoist_core.shortfalls import Shortfall
from swifthoist_core.spans import Span
from swifthoist_core.types import Millis

_MS_PER_S = 1_000

Cell: TypeAlias = str | int | float


class Row(NamedTuple):
    """One row of a table.

    :ivar cells: a cell for each column.
    """

    cells: tuple[Cell, ...]


class Table(NamedTuple):
    """One table of a report.

    :ivar name: name of the table, to choose it by.
    :ivar header: titles of the columns, with units.
    :ivar rows: the rows.
    """

    name: str
    header: tuple[str, ...]
    rows: tuple[Row, ...]


def utc(time_ms: Millis) -> str:
    """Show a point in time.

    :param time_ms: ms since the epoch, 0 for none.
    :returns: the time in UTC, to the second, or a dash.
    """
    if not time_ms:
        return '-'
    when = dt.datetime.fromtimestamp(time_ms / _MS_PER_S, dt.UTC)
    return when.strftime('%Y-%m-%d %H:%M:%SZ')


def usage_tables(report: UsageReport) -> tuple[Table, ...]:
    """Lay a usage report out.

    :param report: the report.
    :returns: totals, lending, refusals, shortfalls, spans, what runs.
    """
    lent = (
        (line.month, line.owner, line.lent_out_s) for line in report.lendings
    )
    first = (
        _totals(report.lines),
        _table('lent out', ('month', 'owner', 'lent out s'), lent),
        _refusals(report.lines),
    )
    return (
        *first,
        _shortfalls(report.shortfalls, report.time_ms),
        _spans('spans', report.spans),
        _spans('running', report.running),
    )


def burn_tables(report: BurnReport) -> tuple[Table, ...]:
    """Lay a burn report out.

    :param report: the report.
    :returns: budgets, and the rate of each rule.
    """
    budgets = (
        (
            line.owner,
            line.class_name,
            line.objective.good_ratio,
            line.objective.within_ms,
            line.good,
            line.bad,
            round(line.budget_left, 4),
        )
        for line in report.lines
    )
    header = ('owner', 'class', 'objective', 'within ms', 'good', 'bad')
    return (
        _table('budgets', (*header, 'budget left'), budgets),
        _burns(report.lines),
    )


def _table(
    name: str, header: tuple[str, ...], rows: Iterable[tuple[Cell, ...]]
) -> Table:
    return Table(name, header, tuple(Row(cells) for cells in rows))


def _totals(lines: tuple[UsageLine, ...]) -> Table:
    header = (
        'month', 'owner', 'class', 'guaranteed s', 'borrowed s',
        'reclaimed s', 'estimated s', 'corrected s', 'reclaims', 'jobs',
        'good', 'late', 'failed', 'refused', 'waited', 'p50 ms', 'p90 ms',
        'p99 ms', 'max ms',
    )  # fmt: skip
    rows = (
        (
            line.month,
            line.owner,
            line.class_name,
            line.guaranteed_s,
            line.borrowed_s,
            line.reclaimed_s,
            line.estimated_s,
            line.corrected_s,
            line.reclaims,
            ' '.join(f'{name}={line.jobs[name]}' for name in line.jobs),
            line.good,
            line.late,
            line.failed,
            sum(line.refused.values()),
            *line.waiting,
        )
        for line in lines
    )
    return _table('totals', header, rows)


def _refusals(lines: tuple[UsageLine, ...]) -> Table:
    rows = (
        (line.month, line.owner, line.class_name, reason, times)
        for line in lines
        for reason, times in line.refused.items()
    )
    header = ('month', 'owner', 'class', 'reason', 'refused')
    return _table('refusals', header, rows)


def _shortfalls(items: tuple[Shortfall, ...], now_ms: Millis) -> Table:
    rows = (
        (
            item.ask.owner,
            item.ask.class_name,
            item.ask.job_id,
            item.ask.accelerators,
            utc(item.since_ms),
            utc(item.until_ms),
            ((item.until_ms or now_ms) - item.since_ms) / _MS_PER_S,
            '; then '.join(item.causes),
        )
        for item in items
    )
    header = (
        'owner', 'class', 'job', 'accelerators', 'since', 'until',
        'lasted s', 'cause',
    )  # fmt: skip
    return _table('shortfalls', header, rows)


def _spans(name: str, spans: tuple[Span, ...]) -> Table:
    header = (
        'owner', 'class', 'job', 'attempt', 'part', 'worker', 'accelerators',
        'started', 'stopped', 'accelerator s', 'kind',
    )  # fmt: skip
    rows = (
        (
            span.owner,
            span.class_name,
            span.job_id,
            span.attempt,
            span.part,
            span.worker,
            _places(span),
            utc(span.started_ms),
            utc(span.stopped_ms),
            span.accelerator_ms / _MS_PER_S,
            kind(span),
        )
        for span in spans
    )
    return _table(name, header, rows)


def kind(span: Span) -> str:
    """Name the kind of a span.

    :param span: the span.
    :returns: guaranteed or borrowed, and what else is to be known.
    """
    words = ['borrowed' if span.lent else 'guaranteed']
    if span.reclaimed:
        words.append('reclaimed')
    if span.estimated:
        words.append('estimated')
    return ', '.join(words)


def _places(span: Span) -> str:
    if not span.accelerators:
        return '-'
    return f'{span.first}..{span.first + span.accelerators - 1}'


def _burns(lines: tuple[BurnLine, ...]) -> Table:
    header = (
        'owner', 'class', 'long', 'short', 'threshold', 'long rate',
        'short rate', 'alert',
    )  # fmt: skip
    return _table('burn', header, _burn_rows(lines))


def _burn_rows(
    lines: tuple[BurnLine, ...],
) -> Iterator[tuple[Cell, ...]]:
    for line in lines:
        for burn in line.burns:
            yield (line.owner, line.class_name, *_burn_cells(burn))


def _burn_cells(burn: Burn) -> tuple[Cell, ...]:
    alert = burn.rule.severity.name if burn.alert else '-'
    windows = (duration(burn.rule.long_ms), duration(burn.rule.short_ms))
    rates = (round(burn.long_rate, 2), round(burn.short_rate, 2))
    return (*windows, burn.rule.rate, *rates, alert.lower())


def duration(length_ms: Millis) -> str:
    """Show the length of a window.

    :param length_ms: length in ms, whole minutes.
    :returns: such as ``5m``, ``6h`` or ``3d``.
    """
    minutes = length_ms // 60_000
    if minutes % 1_440 == 0:
        return f'{minutes // 1_440}d'
    return f'{minutes // 60}h' if minutes % 60 == 0 else f'{minutes}m'
