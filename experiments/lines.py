"""Lines of the logs of instances, with the time of the play before each."""

import json
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple, TypeAlias

JSON_MARK = '{"time"'

Line: TypeAlias = dict[str, Any]


class Moment(NamedTuple):
    """A line of a log.

    :ivar at_s: when it was written, from the start of traffic.
    :ivar line: what it says.
    """

    at_s: float
    line: Line


def read_lines(lines: Iterable[str]) -> Iterator[Moment]:
    """Read logs with the time of the play before each line.

    :param lines: lines of the logs of all instances.
    :returns: those that can be read.
    """
    for text in lines:
        head, mark, rest = text.partition(JSON_MARK)
        if not mark:
            continue
        try:
            yield Moment(float(head.split()[0]), json.loads(mark + rest))
        except (ValueError, IndexError):
            continue
