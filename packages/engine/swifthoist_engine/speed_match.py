"""Matches units to speed classes where runners differ in speed.

This helps a mix of short objectives and long work on uneven runners. A gang is
as slow as its slowest member, so its members get runners of at least one class.
Urgent units get the fastest class that has room for the whole unit. Others get
the slowest runners that meet their objective, which leaves fast ones free.
Where all runners are alike, this has no effect.
"""

from collections.abc import Sequence

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.mechanisms import Mechanisms
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_estimates import USUAL
from swifthoist_engine.speeds import Speeds

ANY_SPEED = None
"""No speed class is too slow."""


class SpeedMatch:
    """Matches units to speed classes in one decision."""

    def __init__(
        self,
        fleet: Fleet,
        speeds: Speeds,
        now_ms: Millis,
        mechanisms: Mechanisms,
    ) -> None:
        """Determine the speed classes present.

        :param fleet: the runners.
        :param speeds: speed factors learned from runs.
        :param now_ms: time of the cell.
        :param mechanisms: mechanisms of the scheduler that are enabled.
        """
        self._classes = fleet.speeds if mechanisms.speeds else ()
        self._factors = speeds.factors
        self._views = fleet.views
        self._now_ms = now_ms

    @property
    def uneven(self) -> bool:
        """Whether runners differ in speed."""
        return len(self._classes) > 1

    def min_speeds(self, pending: PendingUnit) -> tuple[int | None, ...]:
        """List the minimum speed classes to try for a unit, best first.

        :param pending: the unit.
        :returns: classes, ending with :data:`ANY_SPEED`.
        """
        if not self.uneven or _ignores_speed(pending):
            return (ANY_SPEED,)
        higher = self._classes[1:]
        if pending.urgent:
            return (*reversed(higher), ANY_SPEED)
        min_speed = self._slowest_in_time(pending)
        return (min_speed, ANY_SPEED) if min_speed in higher else (ANY_SPEED,)

    def rank(self, pending: PendingUnit, view: RunnerView) -> int:
        """Rank a runner by its speed, lowest first.

        :param pending: the unit.
        :param view: a runner of a class that the unit may get.
        :returns: its class, so that no faster runner is used than needed.
        """
        if not self.uneven or _ignores_speed(pending):
            return USUAL
        return view.speed

    def delay_ms(
        self, pending: PendingUnit, runners: Sequence[RunnerId]
    ) -> float:
        """Compute how much longer a unit takes than on the fastest class.

        :param pending: the unit.
        :param runners: the runners of its tasks.
        :returns: the difference, in ms.
        """
        if not self.uneven or _ignores_speed(pending):
            return 0
        slowest = min(self._views[name].speed for name in runners)
        most = self._factors.get(slowest, 1)
        least = self._factors.get(self._classes[-1], 1)
        return max(most - least, 0) * pending.duration_ms

    def _slowest_in_time(self, pending: PendingUnit) -> int | None:
        """Find the slowest class on which a unit meets its objective."""
        left_ms = pending.deadline_ms - self._now_ms
        for speed in self._classes:
            if pending.duration_ms * self._factors.get(speed, 1) <= left_ms:
                return speed
        return ANY_SPEED


def _ignores_speed(pending: PendingUnit) -> bool:
    """Tell whether a unit does not end sooner on a faster runner."""
    return pending.step.lasting or pending.step.filling
