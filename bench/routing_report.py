"""Lines of the routing bench, and figures drawn from its samples."""

import statistics
import sys
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from routing_load import Sample

from swifthoistd.work import Unknown

_MS_PER_S = 1_000
_PERCENTILES = 100
_DIGITS = 4


class Line(NamedTuple):
    """One figure.

    :ivar name: its name.
    :ivar value: what was measured.
    :ivar unit: unit of the value.
    :ivar target: what it should be, empty for none.
    :ivar holds: whether it is; ``None`` without a target.
    """

    name: str
    value: float
    unit: str
    target: str = ''
    holds: bool | None = None


def at_most(name: str, value: float, unit: str, target: float) -> Line:
    """Make a line for a figure that should be small.

    :param name: its name.
    :param value: what was measured.
    :param unit: unit of the value.
    :param target: the most that holds.
    :returns: the line.
    """
    rounded = round(value, _DIGITS)
    return Line(name, rounded, unit, f'<= {target}', value <= target)


def at_least(name: str, value: float, unit: str, target: float) -> Line:
    """Make a line for a figure that should be large.

    :param name: its name.
    :param value: what was measured.
    :param unit: unit of the value.
    :param target: the least that holds.
    :returns: the line.
    """
    rounded = round(value, _DIGITS)
    return Line(name, rounded, unit, f'>= {target}', value >= target)


def info(name: str, value: float, unit: str) -> Line:
    """Make a line for a figure without a target.

    :param name: its name.
    :param value: what was measured.
    :param unit: unit of the value.
    :returns: the line.
    """
    return Line(name, round(value, _DIGITS), unit)


def show(line: Line) -> None:
    """Print a line.

    :param line: the figure.
    """
    encoded = msgspec.json.encode(line._asdict()).decode()
    sys.stdout.write(f'{encoded}\n')
    sys.stdout.flush()


def p99_ms(samples: Sequence[Sample]) -> float:
    """Find the 99th percentile of the time to an outcome.

    :param samples: the requests.
    :returns: the time in ms.
    """
    times = [sample.took_s for sample in samples]
    cuts = statistics.quantiles(times, n=_PERCENTILES)
    return cuts[-1] * _MS_PER_S


def answered(samples: Sequence[Sample], within_s: float) -> int:
    """Count whole answers in time.

    :param samples: the requests.
    :param within_s: the longest time that counts, in s.
    :returns: their number.
    """
    in_time = [sample for sample in samples if sample.took_s <= within_s]
    return sum(int(sample.whole) for sample in in_time)


def unknown(samples: Sequence[Sample]) -> int:
    """Count requests of which nobody knows what became.

    :param samples: the requests.
    :returns: their number.
    """
    return sum(int(isinstance(item.outcome, Unknown)) for item in samples)
