"""Duration estimates for one decision.

Every part of a decision that depends on durations uses them. Each figure is
computed once per decision. Where nothing was learned, it is the declared one.
"""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.durations import (
    RUN_WEIGHT,
    QueueKey,
    RegressionLine,
    queue_key,
)
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.log_scale import log_scale_to_ms, ms_to_log_scale
from swifthoist_engine.model import JobSpec, StepSpec, critical_path_ms
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_engine.spreads import bucket_of

OVERDUE_LEFT_SHARE = 0.3
"""Where too few runs took as long as an overdue one, its remaining time is
estimated as this share of the time that it has run."""

MIN_LEFT_SHARE = 0.05
"""Minimum remaining time of a run, as a share of the time that it has run,
since the known ends of runs are rounded by more than this."""

MIN_KNOWN_RUNS = 5
"""Number of runs that must have gone on beyond some age before the remaining
time of others is estimated from them."""

MedianEnds = tuple[float | None, ...]


class DurationEstimates:
    """Estimated durations of runs and steps in one decision."""

    def __init__(self, state: CellState, *, observed: bool = True) -> None:
        """Estimate from what a cell has learned.

        :param state: state of the cell.
        :param observed: use observed durations, not only declared ones.
        """
        self._state = state
        self._observed = observed
        self._durations = state.experience.durations
        self._speeds = state.experience.speeds
        self._steps: dict[tuple[str, int], Millis] = {}
        self._lines: dict[QueueKey, RegressionLine | None] = {}
        self._ends_by_queue: dict[QueueKey, MedianEnds] = {}
        self._slowdowns: dict[RunnerId, float] = {}

    def step_ms(self, spec: JobSpec, number: int) -> Millis:
        """Estimate the duration of a step's tasks.

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
        """Estimate the duration of a run's task.

        :param run: the run.
        :returns: time on a runner of usual speed, in ms.
        """
        return self.step_ms(self._spec_of(run), run.task.step)

    def critical_path_ms(self, spec: JobSpec) -> Millis:
        """Estimate the duration of a job's critical path.

        :param spec: the job.
        :returns: the time, in ms.
        """
        steps = spec.steps
        return critical_path_ms(
            steps, [self.step_ms(spec, it) for it in range(len(steps))]
        )

    def left_ms(self, run: OpenRun, now_ms: Millis) -> Millis:
        """Estimate the remaining time of a run.

        :param run: the run.
        :param now_ms: time of the cell.
        :returns: the time, in ms; longer the longer the run is overdue.
        """
        spec = self._spec_of(run)
        slowdown = self._slowdown(run.runner)
        ran_ms = (now_ms - run.started_ms) / slowdown
        return int(slowdown * self._left_ms(spec, run.task.step, ran_ms))

    def _spec_of(self, run: OpenRun) -> JobSpec:
        return self._state.jobs[run.task.job].spec

    def _left_ms(self, spec: JobSpec, number: int, ran_ms: float) -> float:
        """Estimate the remaining time on a runner of usual speed."""
        usual_ms = self.step_ms(spec, number)
        end = None
        key = queue_key(spec.queue, spec.steps[number])
        if self._line(key) is not None:
            place = ms_to_log_scale(usual_ms)
            end = self._median_ends(key)[
                bucket_of(ms_to_log_scale(ran_ms) - place)
            ]
        if end is None:
            return max(usual_ms - ran_ms, int(ran_ms * OVERDUE_LEFT_SHARE))
        ends_ms = log_scale_to_ms(ms_to_log_scale(usual_ms) + end)
        return max(ends_ms - ran_ms, ran_ms * MIN_LEFT_SHARE)

    def _estimate(self, queue: str, step: StepSpec) -> Millis:
        line = self._line(queue_key(queue, step))
        if line is None:
            return step.estimate_ms
        return round(
            log_scale_to_ms(self._durations.predict_with(line, queue, step))
        )

    def _line(self, key: QueueKey) -> RegressionLine | None:
        """Return the regression line of a queue; None if nothing is known."""
        if not self._observed:
            return None
        if key not in self._lines:
            self._lines[key] = self._durations.line(key)
        return self._lines[key]

    def _median_ends(self, key: QueueKey) -> MedianEnds:
        found = self._ends_by_queue.get(key)
        if found is None:
            spread = self._durations.queues[key].spread
            found = spread.median_ends(MIN_KNOWN_RUNS * RUN_WEIGHT)
            self._ends_by_queue[key] = found
        return found

    def _slowdown(self, runner: RunnerId) -> float:
        """Return how much longer runs take on a runner, as a factor."""
        found = self._slowdowns.get(runner)
        if found is None:
            found = 1.0
            if self._observed:
                facts = self._state.facts.get(runner, RunnerFacts())
                found = self._speeds.factor(facts)
            self._slowdowns[runner] = found
        return found
