"""What the fold has learned from runs, as operators see it."""

from collections.abc import Iterator
from typing import Any

from swifthoist_core.types import RunnerId
from swifthoist_engine.duration_lines import DurationLine, duration_lines
from swifthoist_engine.experience import Experience
from swifthoist_engine.speed_lines import speed_counts
from swifthoist_instance.follower import Follower
from swifthoist_instance.metrics import Metrics


class LearnedView:
    """Shows durations, speeds and doubted runners as they are by now."""

    def __init__(self, follower: Follower) -> None:
        """Show what a fold has learned.

        :param follower: folds the log.
        """
        self._follower = follower

    def register(self, metrics: Metrics) -> None:
        """Expose it as metrics.

        :param metrics: what exposes them.
        """
        metrics.register('runners_doubted', lambda: len(self._doubted()))
        metrics.register_durations(self._durations)
        metrics.register_all(self._speeds)

    def describe(self) -> dict[str, Any]:
        """Describe it, for bug reports."""
        return {
            'speeds': self._speeds(),
            'runners_doubted': self._doubted(),
            'durations': [line._asdict() for line in self._durations()],
        }

    @property
    def _learned(self) -> Experience:
        return self._follower.cell.state.experience

    def _doubted(self) -> list[RunnerId]:
        now_ms = self._follower.cell.state.time_ms
        return self._learned.breakers.doubted(now_ms)

    def _durations(self) -> Iterator[DurationLine]:
        return duration_lines(self._learned.durations)

    def _speeds(self) -> dict[str, float]:
        return speed_counts(self._follower.cell.state)
