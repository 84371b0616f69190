"""What was learned of durations, for operators."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_engine.durations import RUN_WEIGHT, Durations
from swifthoist_engine.log_scale import STEPS_PER_DOUBLING, log_scale_to_ms


class DurationLine(NamedTuple):
    """What was learned of a queue.

    :ivar queue: the queue.
    :ivar declared: of its steps that tell a duration, or of the others.
    :ivar runs: how many runs that rests on, old ones counting less.
    :ivar usual_ms: what its tasks usually take, in ms.
    :ivar ratio: actual durations as a multiple of declared ones.
    :ivar followed: how far declared durations are followed: 1 if they hold, 0 if
        they tell nothing.
    """

    queue: str
    declared: bool
    runs: float
    usual_ms: float
    ratio: float
    followed: float


def duration_lines(durations: Durations) -> Iterator[DurationLine]:
    """Report what was learned.

    :param durations: what was learned.
    :returns: lines by queue, of those of which a run was done.
    """
    for key in sorted(durations.queues):
        line = durations.line(key)
        if line is None:
            continue
        yield DurationLine(
            key.queue,
            key.declared,
            round(durations.queues[key].weight / RUN_WEIGHT, 1),
            round(log_scale_to_ms(line.mean_declared + line.observed_offset)),
            round(2 ** (line.observed_offset / STEPS_PER_DOUBLING), 2)
            if key.declared
            else 0,
            round(line.slope, 2) if key.declared else 0,
        )
