"""Lines of the logs of instances, as they are or with the time of a play before."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any, NamedTuple, TypeAlias

JSON_MARK = '{"time"'

Line: TypeAlias = dict[str, Any]


class Moment(NamedTuple):
    """A line of a log.

    :ivar at_s: when it was written, in seconds from the start of traffic or
        since the Unix epoch.
    :ivar line: what it says.
    """

    at_s: float
    line: Line


def read_lines(lines: Iterable[str]) -> Iterator[Moment]:
    """Read logs; lines without a time of a play have their own time of day.

    :param lines: lines of the logs of all instances.
    :returns: those that can be read.
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
    """Tell the members of a gang apart that share a line."""
    runners = moment.line.get('runners')
    if not isinstance(runners, dict):
        yield moment
        return
    step = moment.line['task'].removesuffix('*')
    for ordinal, runner in runners.items():
        own = {'task': f'{step}{ordinal}', 'runner': runner}
        yield Moment(moment.at_s, {**moment.line, **own})


def _seconds(line: Line) -> float:
    """Tell when a line was written, in seconds since the Unix epoch."""
    return datetime.fromisoformat(line['time'].replace(',', '.')).timestamp()
