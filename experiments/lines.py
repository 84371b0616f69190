"""Reads log lines of instances, with or without a prefixed time of traffic."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple, TypeAlias

JSON_MARK = '{"time"'

MS_PER_S = 1_000

Line: TypeAlias = dict[str, Any]


class Moment(NamedTuple):
    """A log line and its time.

    :ivar at_s: when it was written, in seconds since the start of traffic or
        since the Unix epoch.
    :ivar line: its fields.
    """

    at_s: float
    line: Line


def read_lines(lines: Iterable[str]) -> Iterator[Moment]:
    """Parse logs; lines without a prefixed time use their own timestamp.

    :param lines: lines of the logs of all instances.
    :returns: the lines that can be parsed.
    """
    for text in lines:
        head, mark, rest = text.partition(JSON_MARK)
        if not mark:
            continue
        try:
            line = json.loads(mark + rest)
            at_s = float(head.split()[0]) if head.strip() else _seconds(line)
            yield from _each_run(Moment(at_s, line))
        except (ValueError, KeyError):
            continue


def _each_run(moment: Moment) -> Iterator[Moment]:
    """Split a line that gang members share into one line for each."""
    runners = moment.line.get('runners')
    if not isinstance(runners, dict):
        yield moment
        return
    step = moment.line['task'].removesuffix('*')
    for ordinal, runner in runners.items():
        own = {'task': f'{step}{ordinal}', 'runner': runner}
        at_s = moment.at_s - moment.line.get('ago_ms', 0) / MS_PER_S
        yield Moment(at_s, {**moment.line, **own})


def _seconds(line: Line) -> float:
    """Return a line's timestamp, in seconds since the Unix epoch."""
    return datetime.fromisoformat(line['time'].replace(',', '.')).timestamp()
