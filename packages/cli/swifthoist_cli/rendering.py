"""Rendering of reports as text, JSON and CSV."""

import csv
import enum
import io
from typing import TypeAlias

import msgspec

from swifthoist_cli.tables import Cell, Row, Table, burn_tables, usage_tables
from swifthoist_core.burn import BurnReport
from swifthoist_core.errors import Finding, raise_findings
from swifthoist_core.plain import plain_of
from swifthoist_core.reports import UsageReport

Report: TypeAlias = UsageReport | BurnReport

_FORMULA_MARKS = ('=', '+', '-', '@', '\t', '\r')
_GAP = '  '


class Format(enum.StrEnum):
    """How a report is written."""

    TEXT = 'text'
    JSON = 'json'
    CSV = 'csv'


def render(report: Report, form: Format, table: str = '') -> str:
    """Write a report.

    :param report: the report.
    :param form: text, JSON or CSV.
    :param table: name of the one table wanted; for CSV, which holds one
        table, the first one by default.
    :returns: the text, with a line break at its end.
    :raises InvalidInputError: when there is no such table.
    """
    if form is Format.JSON:
        packed = msgspec.json.encode(plain_of(report))
        return msgspec.json.format(packed, indent=2).decode() + '\n'
    tables = tuple(one for one in tables_of(report) if table in {'', one.name})
    if not tables:
        names = ', '.join(one.name for one in tables_of(report))
        finding = Finding('table', f'must be one of: {names}')
        raise_findings('report', (finding,))
    if form is Format.CSV:
        return _csv(tables[0])
    texts = [_head(report), *(_text(one) for one in tables)]
    return '\n'.join(texts)


def tables_of(report: Report) -> tuple[Table, ...]:
    """Lay a report out as tables.

    :param report: the report.
    :returns: its tables.
    """
    match report:
        case UsageReport():
            return usage_tables(report)
        case BurnReport():
            return burn_tables(report)


def _head(report: Report) -> str:
    lines = [f'holds to offset {report.offset}']
    match report:
        case UsageReport(spans_dropped=dropped) if dropped:
            lines.append(f'{dropped} older spans are in the totals only')
        case BurnReport(exit_code=code):
            lines.append(f'exit code {code}')
        case _:
            pass
    return '\n'.join((*lines, ''))


def _text(table: Table) -> str:
    header = Row(table.header)
    texts = [[_show(cell) for cell in row.cells] for row in table.rows]
    columns = list(zip(header.cells, *texts, strict=True))
    widths = [max(len(str(cell)) for cell in column) for column in columns]
    lines = [f'{table.name} ({len(table.rows)})']
    for texts_of_row in (list(table.header), *texts):
        cells = zip(texts_of_row, widths, strict=True)
        line = _GAP.join(cell.ljust(width) for cell, width in cells)
        lines.append(line.rstrip())
    return '\n'.join((*lines, ''))


def _show(cell: Cell) -> str:
    match cell:
        case float():
            return f'{cell:,.10g}'
        case int():
            return f'{cell:,}'
        case _:
            return ' '.join(str(cell).split())


def _csv(table: Table) -> str:
    out = io.StringIO()
    writer = csv.writer(out, lineterminator='\n')
    writer.writerow(table.header)
    writer.writerows([_safe(cell) for cell in row.cells] for row in table.rows)
    return out.getvalue()


def _safe(cell: Cell) -> Cell:
    """Keep a spreadsheet from reading a name as a formula."""
    if isinstance(cell, str) and cell.startswith(_FORMULA_MARKS):
        return f"'{cell}" if len(cell) > 1 else cell
    return cell
