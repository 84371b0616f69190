"""Estimates how long tasks take from ended runs.

For each queue, a line is fitted through declared and actual durations on a
logarithmic scale. Its prior is that declared durations hold, so they are
believed for a queue without data. If they turn out to be uninformative, the
line becomes level at the usual duration of the queue's tasks. Steps of the same
shape may differ from their queue's line by a constant. The deviations from the
line are counted, so that the remaining time of a run can be estimated from its
age.

All sums are integers and all derived values are the same on every machine,
since all instances have to learn the same.
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
"""Shortest estimate, in ms, so that callers can divide by it."""

PRIOR_RUNS = 5
"""Number of runs that the prior, declared durations that hold, counts for."""

PRIOR_DEVIATION = 24
"""Deviation of the declared durations of the prior's runs, in steps of the
scale: as many differ by a factor of 1.7 or more as by less."""

MAX_RATIO_OFFSET = 2 * STEPS_PER_DOUBLING
"""Largest difference of a declared duration from its queue's usual ratio, in
steps of the scale. Greater ones are clamped, so that the figure of a single
caller doesn't bend the line."""

MAX_LINE_REACH = 8 * STEPS_PER_DOUBLING
"""Range of the line around the mean of a queue's declared durations, in steps
of the scale."""

SAMPLED_TASKS_PER_STEP = 8
"""About this many tasks of a step are counted, whatever its width."""

RUN_WEIGHT = 16
"""Weight of a run, so that little is lost to rounding when sums are halved."""

MAX_RUNS = 256
"""Sums are halved at this number of runs, so that changes are learned."""

DECAY_INTERVAL_MS = 600_000
"""Interval of the cell's time, in ms, in which a sixteenth of what was learned
is forgotten."""

MAX_DECAY_INTERVALS = 256
"""Number of intervals after which nothing is left of what was learned."""

MAX_QUEUES = 256
"""Most queues with statistics."""

MAX_SHAPES = 512
"""Most shapes with statistics."""


class QueueKey(NamedTuple):
    """Key of a line.

    :ivar queue: name of the queue.
    :ivar declared: whether the steps declare a duration.
    """

    queue: str
    declared: bool


class ShapeKey(NamedTuple):
    """Common properties of the steps that differ from their queue's line alike.

    :ivar queue: name of the queue.
    :ivar gang: whether the tasks run as a gang.
    :ivar breadth: bit length of the step's width.
    :ivar accelerators: accelerators of a task.
    """

    queue: str
    gang: bool
    breadth: int
    accelerators: int


class RegressionLine(NamedTuple):
    """Duration of a queue's tasks as a function of the declared duration.

    :ivar mean_declared: mean of the declared durations, on the scale.
    :ivar offset: actual minus declared duration at that mean.
    :ivar slope: weight of declared durations: 1 if they hold, 0 if they are
        uninformative.
    :ivar observed_offset: the offset without the prior.
    """

    mean_declared: float = 0
    offset: float = 0
    slope: float = 1
    observed_offset: float = 0

    def predict(self, declared: float) -> float:
        """Predict the duration of a task.

        :param declared: declared duration, on the scale.
        :returns: expected duration, on the scale.
        """
        distance = min(
            max(declared - self.mean_declared, -MAX_LINE_REACH), MAX_LINE_REACH
        )
        return declared + self.offset - (1 - self.slope) * distance


@dataclass(slots=True)
class QueueStats:
    """Statistics of a queue; each sum includes a run by its weight.

    :ivar weight: total weight of the runs.
    :ivar actual: sum of the actual durations, on the scale.
    :ivar declared: sum of the declared durations, on the scale.
    :ivar squares: sum of the squares of the declared durations.
    :ivar products: sum of the products of declared and actual durations.
    :ivar spread: deviations from the line.
    :ivar span: number of the interval up to which decay was applied.
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

        :param prior_runs: number of runs that the prior of the offset counts
            for.
        :returns: the line; at least one run must have been added.
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
        """Add a run.

        :param declared: declared duration, on the scale.
        :param actual: actual duration, on the scale.
        """
        self.weight += RUN_WEIGHT
        self.actual += RUN_WEIGHT * actual
        self.declared += RUN_WEIGHT * declared
        self.squares += RUN_WEIGHT * declared * declared
        self.products += RUN_WEIGHT * declared * actual
        if self.weight > RUN_WEIGHT * MAX_RUNS:
            self.shrink(1, 2)

    def age(self, span: int) -> None:
        """Apply the decay up to an interval.

        :param span: number of the current interval.
        """
        passed = min(max(span - self.span, 0), MAX_DECAY_INTERVALS)
        self.span = max(span, self.span)
        for _ in range(passed):
            self.shrink(15, 16)

    def shrink(self, share: int, whole: int) -> None:
        """Scale all sums down.

        :param share: numerator of the factor.
        :param whole: denominator of the factor.
        """
        self.weight = self.weight * share // whole
        self.actual = self.actual * share // whole
        self.declared = self.declared * share // whole
        self.squares = self.squares * share // whole
        self.products = self.products * share // whole
        self.spread.shrink(share, whole)


@dataclass(slots=True)
class ShapeStats:
    """Offset of the steps of a shape from their queue's line.

    :ivar weight: total weight of the runs.
    :ivar actual: sum of the actual durations, on the scale.
    :ivar declared: sum of the declared durations, on the scale.
    :ivar span: number of the interval of the newest run.
    """

    weight: int = 0
    actual: int = 0
    declared: int = 0
    span: int = 0

    def offset(self, line: RegressionLine) -> float:
        """Return the expected offset of the next run from the line.

        :param line: line of the queue.
        :returns: the offset, on the scale.
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
        """Add a run.

        :param declared: declared duration, on the scale.
        :param actual: actual duration, on the scale.
        :param span: number of the current interval.
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
        """Scale all sums down.

        :param share: numerator of the factor.
        :param whole: denominator of the factor.
        """
        self.weight = self.weight * share // whole
        self.actual = self.actual * share // whole
        self.declared = self.declared * share // whole


@dataclass(slots=True)
class Durations:
    """Duration statistics of all queues.

    :ivar queues: statistics of each queue.
    :ivar shapes: statistics of each shape.
    """

    queues: dict[QueueKey, QueueStats] = field(default_factory=dict)
    shapes: dict[ShapeKey, ShapeStats] = field(default_factory=dict)

    def observe(self, past: PastRun, speeds: Speeds) -> None:
        """Learn from an ended run.

        :param past: the run.
        :param speeds: speeds of the runners.
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

        :param key: key of the line.
        :returns: the line; none if no run has been done so far.
        """
        stats = self.queues.get(key)
        if stats is None or not stats.weight:
            return None
        return stats.line(PRIOR_RUNS if key.declared else 0)

    def predict(self, queue: str, step: StepSpec) -> float:
        """Predict the duration of a task on a runner of usual speed.

        :param queue: queue of its job.
        :param step: its step.
        :returns: the duration, on the scale.
        """
        line = self.line(queue_key(queue, step)) or RegressionLine()
        return self.predict_with(line, queue, step)

    def predict_with(
        self, line: RegressionLine, queue: str, step: StepSpec
    ) -> float:
        """Predict the duration of a task with a line that was fitted before.

        :param line: line of the queue.
        :param queue: queue of its job.
        :param step: its step.
        :returns: the duration, on the scale.
        """
        shape = self.shapes.get(shape_key(queue, step))
        offset = 0 if shape is None else shape.offset(line)
        return line.predict(ms_to_log_scale(step.estimate_ms)) + offset

    def typical_ms(self, queue: str, step: StepSpec) -> float:
        """Return the typical duration of a task on a runner of usual speed.

        :param queue: queue of its job.
        :param step: its step.
        :returns: time in ms, never 0; the declared one if nothing was learned.
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
    """Return the key of a step's line.

    :param queue: name of the queue.
    :param step: the step.
    :returns: the key.
    """
    return QueueKey(queue, step.estimate_ms > 0)


def shape_key(queue: str, step: StepSpec) -> ShapeKey:
    """Return the key of a step's shape.

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
    """Clamp a declared duration around the usual ratio to the actual one."""
    if not step.estimate_ms:
        return 0
    offset = actual - ms_to_log_scale(step.estimate_ms)
    offset = min(
        max(offset, line.offset - MAX_RATIO_OFFSET),
        line.offset + MAX_RATIO_OFFSET,
    )
    return max(actual - offset, 0)


def _is_informative(past: PastRun) -> bool:
    """Return whether a run tells the duration of similar tasks."""
    if past.ending is Ending.FAILED or not past.comparable:
        return False
    if past.step.gang:
        return True
    return (
        past.run.task.ordinal % -(-past.step.width // SAMPLED_TASKS_PER_STEP)
        == 0
    )
