"""Pages: one self-contained HTML page that opens without a network.

The page is built as a tree of elements, so that every name is escaped by the
library that writes it.
"""

from xml.etree.ElementTree import Element, SubElement, tostring

from swifthoist_cli import drawings
from swifthoist_cli.rendering import tables_of
from swifthoist_cli.tables import Table, utc
from swifthoist_core.burn import BurnReport
from swifthoist_core.reports import UsageReport

MAX_ROWS = 2_000
"""How many rows of a table the page shows; CSV has them all."""

_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
_STYLE = (
    'body{font:14px sans-serif;margin:2em;max-width:80em}'
    'table{border-collapse:collapse}'
    'td,th{border:1px solid #ccc;padding:2px 6px;text-align:left}'
    'summary{cursor:pointer;font-weight:bold}'
)


def usage_page(usage: UsageReport, burn: BurnReport) -> str:
    """Make the page of both reports.

    :param usage: the usage report.
    :param burn: the burn report.
    :returns: the HTML.
    """
    page = Element('html', {'lang': 'en'})
    _add_head(page)
    body = SubElement(page, 'body')
    SubElement(body, 'h1').text = 'Who got what'
    SubElement(body, 'p').text = (
        f'Holds to offset {usage.offset} of the ledger, {utc(usage.time_ms)}. '
        f'Owner: {usage.owner or "all"}. Month: {usage.month or "all kept"}. '
        f'{usage.spans_dropped} older spans are in the totals only.'
    )
    _add_gantt(body, usage)
    _add_waiting(body, usage)
    _add_burn(body, burn)
    for table in (*tables_of(usage), *tables_of(burn)):
        _add_table(body, table)
    return '<!DOCTYPE html>\n' + tostring(
        page, encoding='unicode', method='html'
    )


def _add_head(page: Element) -> None:
    head = SubElement(page, 'head')
    SubElement(head, 'meta', {'charset': 'utf-8'})
    policy = {'http-equiv': 'Content-Security-Policy', 'content': _POLICY}
    SubElement(head, 'meta', policy)
    SubElement(head, 'title').text = 'swifthoist: who got what'
    SubElement(head, 'style').text = _STYLE


def _add_gantt(body: Element, usage: UsageReport) -> None:
    spans = (*usage.spans, *usage.running)
    if not spans:
        return
    owners = sorted({span.owner for span in spans})
    SubElement(body, 'h2').text = 'Accelerators by owner'
    legend = SubElement(body, 'p')
    for owner in owners:
        style = f'color:{drawings.colour(owner, owners)}'
        SubElement(legend, 'b', {'style': style}).text = f'\u25a0 {owner} '
    SubElement(body, 'p').text = (
        'A row is a worker, a lane an accelerator; paler bars are borrowed. '
        f'At most {drawings.MAX_WORKERS} workers and the latest '
        f'{drawings.MAX_BARS} of {len(spans)} spans are drawn.'
    )
    body.append(drawings.gantt(spans, owners))


def _add_waiting(body: Element, usage: UsageReport) -> None:
    lines = [line for line in usage.lines if line.waiting.total]
    if not lines:
        return
    SubElement(body, 'h2').text = 'Waiting, on a scale of powers of ten'
    body.append(drawings.waiting(lines))


def _add_burn(body: Element, burn: BurnReport) -> None:
    if not burn.lines:
        return
    SubElement(body, 'h2').text = 'Service-level burn'
    SubElement(body, 'p').text = (
        'Burn rate of each long window (1h, 6h, 3d); the line marks the '
        'threshold of the alert, red bars are alerts.'
    )
    body.append(drawings.burning(burn.lines))


def _add_table(body: Element, table: Table) -> None:
    details = SubElement(body, 'details')
    shown = table.rows[:MAX_ROWS]
    SubElement(
        details, 'summary'
    ).text = f'{table.name}: {len(shown)} of {len(table.rows)} rows'
    grid = SubElement(details, 'table')
    head = SubElement(grid, 'tr')
    for title in table.header:
        SubElement(head, 'th').text = title
    for row in shown:
        line = SubElement(grid, 'tr')
        for cell in row.cells:
            SubElement(line, 'td').text = str(cell)
