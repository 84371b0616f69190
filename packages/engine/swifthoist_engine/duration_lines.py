"""Report of the learned durations for operators."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_engine.durations import RUN_WEIGHT, Durations
from swifthoist_engine.log_scale import STEPS_PER_DOUBLING, log_scale_to_ms


class DurationLine(NamedTuple):
    """Learned durations of a queue.

    :ivar queue: the queue.
    :ivar declared: whether the line is about the steps that declare a duration,
        or about the others.
    :ivar runs: number of runs behind it; old ones count less.
    :ivar usual_ms: usual duration of its tasks, in ms.
    :ivar ratio: ratio of actual to declared durations.
    :ivar followed: weight of declared durations: 1 if they hold, 0 if they are
        uninformative.
    """

    queue: str
    declared: bool
    runs: float
    usual_ms: float
    ratio: float
    followed: float


def duration_lines(durations: Durations) -> Iterator[DurationLine]:
    """Report the learned durations.

    :param durations: duration statistics.
    :returns: lines by queue, for the queues with at least one run that was
        done.
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
