"""How long tasks take, from the runs that are over."""

from dataclasses import dataclass

from swifthoist_engine.model import StepSpec
from swifthoist_engine.past_runs import PastRun

LEAST_MS = 1
"""Least duration that is told, in ms, so that others can divide by it."""


@dataclass(slots=True)
class Durations:
    """How long the tasks of each queue took."""

    def note(self, past: PastRun) -> None:
        """Learn from a run that is over.

        :param past: the run.
        """

    def typical_ms(self, queue: str, step: StepSpec) -> float:
        """Tell what a task takes on a runner of usual speed.

        :param queue: queue of its job.
        :param step: its step.
        :returns: time in ms, never 0; the declared one where nothing is known.
        """
        return max(step.estimate_ms, LEAST_MS)
