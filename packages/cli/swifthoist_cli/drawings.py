"""Drawings of reports as SVG elements for a page."""

import math
from collections.abc import Sequence
from typing import NamedTuple
from xml.etree.ElementTree import Element, SubElement

from swifthoist_cli.tables import kind, utc
from swifthoist_core.burn import BurnLine
from swifthoist_core.reports import UsageLine
from swifthoist_core.spans import Span

MAX_WORKERS = 96
"""How many workers the chart of accelerators has room for."""

MAX_BARS = 4_000
"""How many spans the chart of accelerators has room for, the latest ones."""

_PALETTE = (
    '#1f77b4', '#ff7f0e', '#2ca02c', '#d62728', '#9467bd', '#8c564b',
    '#e377c2', '#7f7f7f', '#bcbd22', '#17becf',
)  # fmt: skip
_WIDTH = 1_000
_LABEL = 220
_ROOM = 600
_LANE = 3
_ROW = 18
_LEVELS = ('p50', 'p99', 'max')


class Scale(NamedTuple):
    """A linear scale of time.

    :ivar low_ms: time at the left edge.
    :ivar high_ms: time at the right edge.
    """

    low_ms: int
    high_ms: int

    def x_of(self, time_ms: int) -> float:
        """Find the place of a time.

        :param time_ms: ms since the epoch.
        :returns: distance from the left edge of the drawing, in pixels.
        """
        length_ms = max(1, self.high_ms - self.low_ms)
        share = (time_ms - self.low_ms) / length_ms
        return _LABEL + share * (_WIDTH - _LABEL)


def colour(owner: str, owners: Sequence[str]) -> str:
    """Choose the colour of an owner.

    :param owner: the team.
    :param owners: all teams of the page, in order.
    :returns: the colour.
    """
    return _PALETTE[owners.index(owner) % len(_PALETTE)]


def gantt(spans: Sequence[Span], owners: Sequence[str]) -> Element:
    """Draw who had which accelerators, when.

    Each row is a worker, each lane in it an accelerator.

    :param spans: at least one span.
    :param owners: all teams of the page, in order.
    :returns: the drawing.
    """
    shown = spans[-MAX_BARS:]
    workers = sorted({span.worker for span in shown})[:MAX_WORKERS]
    lanes = max(span.first + span.accelerators for span in shown)
    height = max(_ROW, lanes * _LANE + 4)
    drawing = _drawing(height * len(workers))
    for index, worker in enumerate(workers):
        _label(drawing, index * height + 13, worker)
    scale = Scale(
        min(span.started_ms for span in shown),
        max(span.stopped_ms for span in shown),
    )
    for span in shown:
        if span.worker in workers:
            bar = _span(
                drawing, workers.index(span.worker) * height, span, scale
            )
            bar.set('fill', colour(span.owner, owners))
    return drawing


def waiting(lines: Sequence[UsageLine]) -> Element:
    """Draw percentiles of waiting on a scale of powers of ten.

    :param lines: lines with at least one waiting time.
    :returns: the drawing.
    """
    drawing = _drawing(_ROW * 3 * len(lines))
    longest = max(line.waiting.max_ms for line in lines)
    unit = _ROOM / math.log10(longest + 10)
    for index, line in enumerate(lines):
        _waits(drawing, index * _ROW * 3, line, unit)
    return drawing


def burning(lines: Sequence[BurnLine]) -> Element:
    """Draw the burn rate of each long window against its threshold.

    :param lines: at least one line.
    :returns: the drawing.
    """
    height = _ROW * 3 * len(lines)
    drawing = _drawing(height)
    for index, line in enumerate(lines):
        _rates(drawing, index * _ROW * 3, line)
    mark = _bar(drawing, _LABEL + _ROOM / 2, 0, 1, height)
    mark.set('fill', '#000')
    return drawing


def _span(drawing: Element, top: float, span: Span, scale: Scale) -> Element:
    left = scale.x_of(span.started_ms)
    width = max(1, scale.x_of(span.stopped_ms) - left)
    lane = max(1, span.accelerators) * _LANE - 0.5
    bar = _bar(drawing, left, top + span.first * _LANE, width, lane)
    bar.set('fill-opacity', '0.55' if span.lent else '1')
    SubElement(bar, 'title').text = _describe(span)
    return bar


def _waits(drawing: Element, top: float, line: UsageLine, unit: float) -> None:
    _label(drawing, top + 13, f'{line.month} {line.owner} {line.class_name}')
    levels = (line.waiting.p50_ms, line.waiting.p99_ms, line.waiting.max_ms)
    for place, wait_ms in enumerate(levels):
        y = top + place * (_ROW - 3)
        width = math.log10(wait_ms + 1) * unit
        bar = _bar(drawing, _LABEL, y, max(1, width), _ROW - 6)
        bar.set('fill', _PALETTE[place])
        note = f'{_LEVELS[place]} {wait_ms:,} ms'
        _text(drawing, _LABEL + width + 6, y + 11, note)


def _rates(drawing: Element, top: float, line: BurnLine) -> None:
    _label(drawing, top + 13, f'{line.owner} {line.class_name}')
    for place, burn in enumerate(line.burns):
        y = top + place * (_ROW - 3)
        share = min(1, burn.long_rate / burn.rule.rate / 2)
        bar = _bar(drawing, _LABEL, y, max(1, share * _ROOM), _ROW - 6)
        bar.set('fill', _PALETTE[3] if burn.alert else _PALETTE[2])
        note = f'{burn.long_rate:.2f} of {burn.rule.rate:g}'
        _text(drawing, _LABEL + _ROOM + 6, y + 11, note)


def _describe(span: Span) -> str:
    return (
        f'{span.owner} {span.class_name} {span.job_id} part {span.part}, '
        f'{utc(span.started_ms)} to {utc(span.stopped_ms)}, {kind(span)}'
    )


def _drawing(height: float) -> Element:
    size = {
        'viewBox': f'0 0 {_WIDTH} {height + 4:g}',
        'width': '100%',
        'role': 'img',
    }
    return Element('svg', size)


def _bar(
    drawing: Element, x: float, y: float, width: float, height: float
) -> Element:
    place = {
        'x': f'{x:.1f}',
        'y': f'{y:.1f}',
        'width': f'{width:.1f}',
        'height': f'{height:.1f}',
    }
    return SubElement(drawing, 'rect', place)


def _label(drawing: Element, y: float, text: str) -> None:
    _text(drawing, 0, y, text[:32])


def _text(drawing: Element, x: float, y: float, text: str) -> None:
    place = {'x': f'{x:.1f}', 'y': f'{y:.1f}', 'font-size': '12'}
    SubElement(drawing, 'text', place).text = text
