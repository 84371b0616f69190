"""Crashes of runners as an instance sees them: counts, and moments of losses."""

from swifthoist_core.types import Millis, RunnerId

SAME_MOMENT_MS = 300
"""Largest difference between losses of contact that have one cause, in ms."""

MAX_LOSSES = 1_000
"""Most runners whose losses are remembered; the oldest are dropped."""


class CrashCounts:
    """Crashes, as this instance saw them.

    :ivar crashes: runners that went down without notice, with runs on them.
    :ivar given_up: tasks given up because they crash their runners.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.crashes = 0
        self.given_up = 0
        self._lost_ms: dict[RunnerId, Millis] = {}

    def note_loss(self, runner: RunnerId, lost_ms: Millis) -> None:
        """Remember when the contact with a runner was lost.

        :param runner: the runner.
        :param lost_ms: the time, in ms of the clock that includes suspension.
        """
        self._lost_ms.pop(runner, None)
        self._lost_ms[runner] = lost_ms
        if len(self._lost_ms) > MAX_LOSSES:
            self._lost_ms.pop(next(iter(self._lost_ms)))

    def lost_alone(
        self, runner: RunnerId, within_ms: Millis = SAME_MOMENT_MS
    ) -> bool:
        """Tell whether no other runner was lost at the same moment.

        :param runner: a runner that was lost.
        :param within_ms: how far apart losses at one moment may be noticed, in
            ms.
        :returns: whether the cause can be on that runner.
        """
        lost_ms = self._lost_ms.get(runner)
        return lost_ms is not None and not any(
            abs(other_ms - lost_ms) <= within_ms
            for other, other_ms in self._lost_ms.items()
            if other != runner
        )
