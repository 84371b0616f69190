"""How much filling tasks may work beside tasks that serve users.

The pace falls by half while a serving task on the runner is near its target,
and rises in steps while all of them are well below it, so it settles below
what disturbs them, also where that changes within seconds.
"""

from collections.abc import Sequence
from typing import NamedTuple

FULL_PACE = 100
"""Pace of a task that may work all the time, in percent."""

HIGH_TAIL_SHARE = 0.8
"""Share of its target from which a tail makes the pace fall."""

LOW_TAIL_SHARE = 0.55
"""Share of its target below which all tails must be for the pace to rise."""

PACE_STEP = 10
"""What the pace rises by at a time, in percent."""

MIN_PACE = 10
"""A pace below this is no pace at all, in percent."""


class Tail(NamedTuple):
    """Tail latency of a task that serves users.

    :ivar tail_ms: the tail, in ms.
    :ivar target_ms: what it must stay below, in ms.
    """

    tail_ms: float
    target_ms: float


def next_pace(pace: int, tails: Sequence[Tail]) -> int:
    """Decide the pace of the filling tasks of a runner.

    :param pace: pace now, in percent.
    :param tails: tails of the tasks that serve on the runner.
    :returns: the pace from now on, in percent.
    """
    if any(tail.tail_ms > HIGH_TAIL_SHARE * tail.target_ms for tail in tails):
        halved = pace // 2
        return halved if halved >= MIN_PACE else 0
    if all(tail.tail_ms < LOW_TAIL_SHARE * tail.target_ms for tail in tails):
        return min(pace + PACE_STEP, FULL_PACE)
    return pace
