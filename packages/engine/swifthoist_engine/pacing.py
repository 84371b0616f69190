"""How much filling tasks may work beside tasks that serve users.

The pace is halved while a serving task on the runner is near its latency
target, and rises in steps while all of them are well below it. So it settles
below the level that disturbs them, even where that level changes within
seconds.
"""

from collections.abc import Sequence
from typing import NamedTuple

FULL_PACE = 100
"""Pace of a task that may work all the time, in percent."""

HIGH_TAIL_SHARE = 0.8
"""Share of its target above which a tail latency halves the pace."""

LOW_TAIL_SHARE = 0.55
"""Share of its target below which each tail latency must be for a rise."""

PACE_STEP = 10
"""Increase of the pace at a time, in percent."""

MIN_PACE = 10
"""A pace below this is set to 0, in percent."""


class Tail(NamedTuple):
    """Tail latency of a task that serves users.

    :ivar tail_ms: the tail latency, in ms.
    :ivar target_ms: its upper limit, in ms.
    """

    tail_ms: float
    target_ms: float


def next_pace(pace: int, tails: Sequence[Tail]) -> int:
    """Compute the next pace of the filling tasks of a runner.

    :param pace: current pace, in percent.
    :param tails: tail latencies of the serving tasks on the runner.
    :returns: the next pace, in percent.
    """
    if any(tail.tail_ms > HIGH_TAIL_SHARE * tail.target_ms for tail in tails):
        halved = pace // 2
        return halved if halved >= MIN_PACE else 0
    if all(tail.tail_ms < LOW_TAIL_SHARE * tail.target_ms for tail in tails):
        return min(pace + PACE_STEP, FULL_PACE)
    return pace
