"""How long tasks are expected to take, as one decision needs it.

Whatever in a decision goes by the time that a task takes asks here. Each figure is
found once a decision. Where nothing was learned it is the declared one.
"""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.cell import CellState
from swifthoist_engine.durations import (
    WEIGHT,
    Line,
    QueueKey,
    queue_key,
)
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import JobSpec, StepSpec, chain_ms
from swifthoist_engine.octaves import length_of, octaves_of
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_engine.spreads import bucket_of

OVERDUE_LEFT_SHARE = 0.3
"""A run that is over its expected duration is expected to go on for this share of
the time that it has run, where too little is known of runs that took so long."""

MIN_LEFT_SHARE = 0.05
"""A run is expected to go on for at least this share of the time that it has run,
since what is known of ends is rounded by more."""

MIN_KNOWN_RUNS = 5
"""Runs that went on beyond some age before the rest of others is told from them."""

MedianEnds = tuple[float | None, ...]


class DurationEstimates:
    """What one decision expects of runs and steps."""

    def __init__(self, state: CellState, *, observed: bool = True) -> None:
        """Expect by what a cell has learned.

        :param state: state of the cell.
        :param observed: go by what was observed, and not only by what is
            declared.
        """
        self._state = state
        self._observed = observed
        self._durations = state.experience.durations
        self._speeds = state.experience.speeds
        self._steps: dict[tuple[str, int], Millis] = {}
        self._lines: dict[QueueKey, Line | None] = {}
        self._ends_by_queue: dict[QueueKey, MedianEnds] = {}
        self._slowdowns: dict[RunnerId, float] = {}

    def step_ms(self, spec: JobSpec, number: int) -> Millis:
        """Tell how long the tasks of a step take.

        :param spec: their job.
        :param number: number of the step.
        :returns: time on a runner of usual speed, in ms.
        """
        key = (spec.job, number)
        found = self._steps.get(key)
        if found is None:
            found = self._estimate(spec.queue, spec.steps[number])
            self._steps[key] = found
        return found

    def usual_ms(self, run: OpenRun) -> Millis:
        """Tell how long a run like another one takes.

        :param run: the run.
        :returns: time on a runner of usual speed, in ms.
        """
        return self.step_ms(self._spec_of(run), run.task.step)

    def chain_ms(self, spec: JobSpec) -> Millis:
        """Tell how long the longest chain of work of a job takes.

        :param spec: the job.
        :returns: the time, in ms.
        """
        steps = spec.steps
        return chain_ms(
            steps, [self.step_ms(spec, it) for it in range(len(steps))]
        )

    def left_ms(self, run: OpenRun, now_ms: Millis) -> Millis:
        """Tell how long a run is expected to go on.

        :param run: the run.
        :param now_ms: time of the cell.
        :returns: the time, in ms; longer the longer it is overdue.
        """
        spec = self._spec_of(run)
        slowdown = self._slowdown(run.runner)
        ran_ms = (now_ms - run.started_ms) / slowdown
        return int(slowdown * self._left_ms(spec, run.task.step, ran_ms))

    def _spec_of(self, run: OpenRun) -> JobSpec:
        return self._state.jobs[run.task.job].spec

    def _left_ms(self, spec: JobSpec, number: int, ran_ms: float) -> float:
        """Tell the same for a runner of usual speed."""
        usual_ms = self.step_ms(spec, number)
        end = None
        key = queue_key(spec.queue, spec.steps[number])
        if self._line(key) is not None:
            place = octaves_of(usual_ms)
            end = self._median_ends(key)[bucket_of(octaves_of(ran_ms) - place)]
        if end is None:
            return max(usual_ms - ran_ms, int(ran_ms * OVERDUE_LEFT_SHARE))
        ends_ms = length_of(octaves_of(usual_ms) + end)
        return max(ends_ms - ran_ms, ran_ms * MIN_LEFT_SHARE)

    def _estimate(self, queue: str, step: StepSpec) -> Millis:
        line = self._line(queue_key(queue, step))
        if line is None:
            return step.estimate_ms
        return round(length_of(self._durations.place_by(line, queue, step)))

    def _line(self, key: QueueKey) -> Line | None:
        """Find the line of a queue; none where nothing is known."""
        if not self._observed:
            return None
        if key not in self._lines:
            self._lines[key] = self._durations.line(key)
        return self._lines[key]

    def _median_ends(self, key: QueueKey) -> MedianEnds:
        found = self._ends_by_queue.get(key)
        if found is None:
            spread = self._durations.queues[key].spread
            found = spread.median_ends(MIN_KNOWN_RUNS * WEIGHT)
            self._ends_by_queue[key] = found
        return found

    def _slowdown(self, runner: RunnerId) -> float:
        """Tell how long runs on a runner take, as a multiple."""
        found = self._slowdowns.get(runner)
        if found is None:
            found = 1.0
            if self._observed:
                facts = self._state.facts.get(runner, RunnerFacts())
                found = self._speeds.factor(facts)
            self._slowdowns[runner] = found
        return found
