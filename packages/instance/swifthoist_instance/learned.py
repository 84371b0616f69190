"""Estimates learned from runs, as metrics and for bug reports."""

from collections.abc import Iterator
from typing import Any

from swifthoist_core.types import RunnerId
from swifthoist_engine.duration_lines import DurationLine, duration_lines
from swifthoist_engine.experience import Experience
from swifthoist_engine.jobs import Job
from swifthoist_engine.speed_lines import speed_counts
from swifthoist_instance.follower import Follower
from swifthoist_instance.metrics import Metrics


def _crash_lines(job: Job) -> list[dict[str, Any]]:
    return [
        {
            'job': job.job,
            'task': '.'.join(map(str, (*key[:2], ordinal))),
            'crashes': [crash._asdict() for crash in crashes],
        }
        for key, unit in job.units.items()
        for ordinal, crashes in unit.task_crashes.items()
        if not job.final
    ]


class LearnedView:
    """Current estimates of durations and speeds, and the doubted runners."""

    def __init__(self, follower: Follower) -> None:
        """Read the estimates of a cell state.

        :param follower: maintains the cell state.
        """
        self._follower = follower

    def register(self, metrics: Metrics) -> None:
        """Register the estimates as metrics.

        :param metrics: where they are registered.
        """
        metrics.register('runners_doubted', lambda: len(self._doubted()))
        metrics.register('tasks_suspected', lambda: len(self._suspected()))
        metrics.register_durations(self._durations)
        metrics.register_all(self._speeds)

    def describe(self) -> dict[str, Any]:
        """Return the estimates, for bug reports."""
        return {
            'speeds': self._speeds(),
            'runners_doubted': self._doubted(),
            'tasks_suspected': self._suspected(),
            'durations': [line._asdict() for line in self._durations()],
        }

    @property
    def _learned(self) -> Experience:
        return self._follower.cell.state.experience

    def _doubted(self) -> list[RunnerId]:
        now_ms = self._follower.cell.state.time_ms
        return self._learned.breakers.doubted(now_ms)

    def _suspected(self) -> list[dict[str, Any]]:
        cell = self._follower.cell
        found = map(cell.find_job, sorted(cell.suspects))
        return [
            line
            for job in found
            if job is not None
            for line in _crash_lines(job)
        ]

    def _durations(self) -> Iterator[DurationLine]:
        return duration_lines(self._learned.durations)

    def _speeds(self) -> dict[str, float]:
        return speed_counts(self._follower.cell.state)
