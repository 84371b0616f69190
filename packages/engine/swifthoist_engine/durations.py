"""How long tasks take, from the runs that are over.

For each queue a line is fitted through declared and actual durations, on a scale
of equal ratios. Its prior is that declared durations hold: a queue of which
nothing is known is taken at its word. Where they tell nothing the line becomes
level, at what the queue's tasks usually take. Steps of one shape may differ from
their queue's line by a constant. What the line leaves unexplained is counted, so
that the rest of a run can be told from its age.

All sums are whole numbers, and what is computed from them is the same on every
machine, since all instances have to learn the same.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_engine.log_scale import (
    STEPS_PER_DOUBLING,
    log_scale_to_ms,
    ms_to_log_scale,
)
from swifthoist_engine.model import StepSpec
from swifthoist_engine.past_runs import PastRun
from swifthoist_engine.records import Ending
from swifthoist_engine.speeds import Speeds
from swifthoist_engine.spreads import Spread

MIN_DURATION_MS = 1
"""Least duration that is told, in ms, so that others can divide by it."""

PRIOR_RUNS = 5
"""How many runs the belief that declared durations hold counts for."""

PRIOR_DEVIATION = 24
"""Spread of declared durations by which those runs differ, in steps of the scale:
as many differ by 1.7 times or more as by less."""

MAX_RATIO_OFFSET = 2 * STEPS_PER_DOUBLING
"""What a declared duration may be off its queue's usual ratio; beyond, it counts
as if it were off by so much: one caller's figure is not to bend the line."""

MAX_LINE_REACH = 8 * STEPS_PER_DOUBLING
"""How far from the middle of a queue's declared durations its line reaches."""

SAMPLED_TASKS_PER_STEP = 8
"""About so many tasks of a step count, whatever its width."""

RUN_WEIGHT = 16
"""What a run counts, so that little is lost when sums are halved."""

MAX_RUNS = 256
"""Sums are halved at this number of runs, so that changes are learned."""

DECAY_INTERVAL_MS = 600_000
"""Span of the cell's time in which a sixteenth of what is known is forgotten."""

MAX_DECAY_INTERVALS = 256
"""Spans after which nothing is left of what was known."""

MAX_QUEUES = 256
"""Most queues that something is known of."""

MAX_SHAPES = 512
"""Most shapes that something is known of."""


class QueueKey(NamedTuple):
    """What has a line of its own.

    :ivar queue: name of the queue.
    :ivar declared: its steps tell a duration.
    """

    queue: str
    declared: bool


class ShapeKey(NamedTuple):
    """What steps of a queue have in common that differ from its line alike.

    :ivar queue: name of the queue.
    :ivar gang: the tasks run together.
    :ivar breadth: number of binary digits of the width.
    :ivar accelerators: accelerators of a task.
    """

    queue: str
    gang: bool
    breadth: int
    accelerators: int


class RegressionLine(NamedTuple):
    """What a queue's tasks take, by what is declared.

    :ivar mean_declared: middle of the declared durations, on the scale.
    :ivar offset: by how much actual ones are above it there.
    :ivar slope: how far declared durations are followed: 1 if they hold, 0 if
        they tell nothing.
    :ivar observed_offset: by how much actual ones were above it there, without the prior.
    """

    mean_declared: float = 0
    offset: float = 0
    slope: float = 1
    observed_offset: float = 0

    def predict(self, declared: float) -> float:
        """Tell what a task takes.

        :param declared: what is declared, on the scale.
        :returns: the duration, on the scale.
        """
        distance = min(
            max(declared - self.mean_declared, -MAX_LINE_REACH), MAX_LINE_REACH
        )
        return declared + self.offset - (1 - self.slope) * distance


@dataclass(slots=True)
class QueueStats:
    """What is known of a queue; each sum counts a run by its weight.

    :ivar weight: weight of the runs.
    :ivar actual: sum of actual durations, on the scale.
    :ivar declared: sum of declared durations.
    :ivar squares: sum of squares of declared durations.
    :ivar products: sum of products of the two.
    :ivar spread: what the line leaves unexplained.
    :ivar span: span of time up to which it was aged.
    """

    weight: int = 0
    actual: int = 0
    declared: int = 0
    squares: int = 0
    products: int = 0
    spread: Spread = field(default_factory=Spread)
    span: int = 0

    def line(self, prior_runs: int) -> RegressionLine:
        """Fit the line.

        :param prior_runs: what the prior counts for.
        :returns: the line; some run has to have been counted.
        """
        runs = self.weight / RUN_WEIGHT
        mean_declared = self.declared / self.weight
        actual = self.actual / self.weight
        squares = self.squares / self.weight - mean_declared * mean_declared
        products = self.products / self.weight - mean_declared * actual
        prior = PRIOR_RUNS * PRIOR_DEVIATION * PRIOR_DEVIATION / runs
        slope = (max(products, 0) + prior) / (max(squares, 0) + prior)
        observed_offset = actual - mean_declared
        offset = observed_offset * runs / (runs + prior_runs)
        return RegressionLine(
            mean_declared, offset, min(slope, 1), observed_offset
        )

    def add(self, declared: int, actual: int) -> None:
        """Count a run.

        :param declared: its declared duration, on the scale.
        :param actual: what it took.
        """
        self.weight += RUN_WEIGHT
        self.actual += RUN_WEIGHT * actual
        self.declared += RUN_WEIGHT * declared
        self.squares += RUN_WEIGHT * declared * declared
        self.products += RUN_WEIGHT * declared * actual
        if self.weight > RUN_WEIGHT * MAX_RUNS:
            self.shrink(1, 2)

    def age(self, span: int) -> None:
        """Forget with time.

        :param span: number of the span of time that it is.
        """
        passed = min(max(span - self.span, 0), MAX_DECAY_INTERVALS)
        self.span = max(span, self.span)
        for _ in range(passed):
            self.shrink(15, 16)

    def shrink(self, share: int, whole: int) -> None:
        """Keep a share of what is known.

        :param share: the share, in parts.
        :param whole: the parts of the whole.
        """
        self.weight = self.weight * share // whole
        self.actual = self.actual * share // whole
        self.declared = self.declared * share // whole
        self.squares = self.squares * share // whole
        self.products = self.products * share // whole
        self.spread.shrink(share, whole)


@dataclass(slots=True)
class ShapeStats:
    """By how much steps of a shape are off their queue's line.

    :ivar weight: weight of the runs.
    :ivar actual: sum of actual durations, on the scale.
    :ivar declared: sum of declared durations.
    :ivar span: span of time in which the newest was.
    """

    weight: int = 0
    actual: int = 0
    declared: int = 0
    span: int = 0

    def offset(self, line: RegressionLine) -> float:
        """Tell by how much the next one is expected to be off.

        :param line: line of the queue.
        :returns: the difference, on the scale.
        """
        runs = self.weight / RUN_WEIGHT
        if not runs:
            return 0
        expected = line._replace(offset=line.observed_offset).predict(
            self.declared / self.weight
        )
        offset = self.actual / self.weight - expected
        return offset * runs / (runs + PRIOR_RUNS)

    def add(self, declared: int, actual: int, span: int) -> None:
        """Count a run.

        :param declared: its declared duration, on the scale.
        :param actual: what it took.
        :param span: span of time that it is.
        """
        for _ in range(min(max(span - self.span, 0), MAX_DECAY_INTERVALS)):
            self.shrink(15, 16)
        self.span = max(span, self.span)
        self.weight += RUN_WEIGHT
        self.actual += RUN_WEIGHT * actual
        self.declared += RUN_WEIGHT * declared
        if self.weight > RUN_WEIGHT * MAX_RUNS:
            self.shrink(1, 2)

    def shrink(self, share: int, whole: int) -> None:
        """Keep a share of what is known.

        :param share: the share, in parts.
        :param whole: the parts of the whole.
        """
        self.weight = self.weight * share // whole
        self.actual = self.actual * share // whole
        self.declared = self.declared * share // whole


@dataclass(slots=True)
class Durations:
    """How long the tasks of each queue took.

    :ivar queues: what is known of each queue.
    :ivar shapes: what is known of each shape.
    """

    queues: dict[QueueKey, QueueStats] = field(default_factory=dict)
    shapes: dict[ShapeKey, ShapeStats] = field(default_factory=dict)

    def observe(self, past: PastRun, speeds: Speeds) -> None:
        """Learn from a run that is over.

        :param past: the run.
        :param speeds: how fast runners are.
        """
        if not _is_informative(past):
            return
        queue = past.job.spec.queue
        slowest = max(map(speeds.factor, past.gang_facts), default=1)
        actual = ms_to_log_scale(past.ran_ms / max(slowest, 0.01))
        span = past.at_ms // DECAY_INTERVAL_MS
        stats = self._queue_stats(queue_key(queue, past.step), span)
        expected = self.predict(queue, past.step)
        if past.ending is not Ending.DONE:
            stats.spread.add(actual - expected, RUN_WEIGHT, ended=False)
            return
        stats.spread.add(actual - expected, RUN_WEIGHT, ended=True)
        line = self.line(queue_key(queue, past.step)) or RegressionLine()
        declared = round(_bounded_declared(line, past.step, actual))
        shape = self._shape_stats(shape_key(queue, past.step), span)
        shape.add(declared, round(actual), span)
        stats.add(declared, round(actual))

    def line(self, key: QueueKey) -> RegressionLine | None:
        """Fit the line of a queue.

        :param key: names it.
        :returns: the line; none if no run was done so far.
        """
        stats = self.queues.get(key)
        if stats is None or not stats.weight:
            return None
        return stats.line(PRIOR_RUNS if key.declared else 0)

    def predict(self, queue: str, step: StepSpec) -> float:
        """Tell what a task takes on a runner of usual speed.

        :param queue: queue of its job.
        :param step: its step.
        :returns: the duration, on the scale.
        """
        line = self.line(queue_key(queue, step)) or RegressionLine()
        return self.predict_with(line, queue, step)

    def predict_with(
        self, line: RegressionLine, queue: str, step: StepSpec
    ) -> float:
        """Tell the same by a line that is known already.

        :param line: line of the queue.
        :param queue: queue of its job.
        :param step: its step.
        :returns: the duration, on the scale.
        """
        shape = self.shapes.get(shape_key(queue, step))
        offset = 0 if shape is None else shape.offset(line)
        return line.predict(ms_to_log_scale(step.estimate_ms)) + offset

    def typical_ms(self, queue: str, step: StepSpec) -> float:
        """Tell what a task takes on a runner of usual speed.

        :param queue: queue of its job.
        :param step: its step.
        :returns: time in ms, never 0; the declared one where nothing is known.
        """
        if self.line(queue_key(queue, step)) is None:
            return max(step.estimate_ms, MIN_DURATION_MS)
        return log_scale_to_ms(self.predict(queue, step))

    def _queue_stats(self, key: QueueKey, span: int) -> QueueStats:
        stats = self.queues.get(key)
        if stats is None:
            if len(self.queues) >= MAX_QUEUES:
                self.queues.pop(min(self.queues, key=self._queue_eviction_key))
            stats = QueueStats(span=span)
            self.queues[key] = stats
        stats.age(span)
        return stats

    def _shape_stats(self, key: ShapeKey, span: int) -> ShapeStats:
        shape = self.shapes.get(key)
        if shape is None:
            if len(self.shapes) >= MAX_SHAPES:
                self.shapes.pop(min(self.shapes, key=self._shape_eviction_key))
            shape = ShapeStats(span=span)
            self.shapes[key] = shape
        return shape

    def _queue_eviction_key(self, key: QueueKey) -> tuple[int, int, QueueKey]:
        stats = self.queues[key]
        return (stats.weight, stats.span, key)

    def _shape_eviction_key(self, key: ShapeKey) -> tuple[int, int, ShapeKey]:
        shape = self.shapes[key]
        return (shape.weight, shape.span, key)


def queue_key(queue: str, step: StepSpec) -> QueueKey:
    """Find what names the line of a step.

    :param queue: name of the queue.
    :param step: the step.
    :returns: the key.
    """
    return QueueKey(queue, step.estimate_ms > 0)


def shape_key(queue: str, step: StepSpec) -> ShapeKey:
    """Find what names the shape of a step.

    :param queue: name of the queue.
    :param step: the step.
    :returns: the key.
    """
    return ShapeKey(
        queue, step.gang, step.width.bit_length(), step.need.accelerators
    )


def _bounded_declared(
    line: RegressionLine, step: StepSpec, actual: float
) -> float:
    """Bring a declared duration near to what is usual for an actual one."""
    if not step.estimate_ms:
        return 0
    offset = actual - ms_to_log_scale(step.estimate_ms)
    offset = min(
        max(offset, line.offset - MAX_RATIO_OFFSET),
        line.offset + MAX_RATIO_OFFSET,
    )
    return max(actual - offset, 0)


def _is_informative(past: PastRun) -> bool:
    """Tell whether a run says how long tasks like it take."""
    if past.ending is Ending.FAILED or not past.comparable:
        return False
    if past.step.gang:
        return True
    return (
        past.run.task.ordinal % -(-past.step.width // SAMPLED_TASKS_PER_STEP)
        == 0
    )
