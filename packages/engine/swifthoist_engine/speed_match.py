"""Which classes of runners a unit gets, where runners differ in speed.

It answers a load of short objectives and long work on uneven runners. A gang
goes as its slowest member does, so its members get runners that are at least of
one class. Urgent units get the fastest class that has room for all of a unit;
others take the slowest runners first that have them in time, and leave fast
ones free. Where runners are alike, nothing changes.
"""

from collections.abc import Sequence

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.mechanisms import Mechanisms
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_figures import USUAL
from swifthoist_engine.speeds import Speeds

ANY_SPEED = None
"""No class is too slow."""


class SpeedMatch:
    """Matches units and classes of runners in one decision."""

    def __init__(
        self,
        fleet: Fleet,
        speeds: Speeds,
        now_ms: Millis,
        mechanisms: Mechanisms,
    ) -> None:
        """Look at the classes that there are.

        :param fleet: the runners.
        :param speeds: what runs have told.
        :param now_ms: time of the cell.
        :param mechanisms: parts of the decision that take part.
        """
        self._classes = fleet.speeds if mechanisms.speeds else ()
        self._factors = speeds.factors
        self._views = fleet.views
        self._now_ms = now_ms

    @property
    def uneven(self) -> bool:
        """Whether runners differ."""
        return len(self._classes) > 1

    def min_speeds(self, pending: PendingUnit) -> tuple[int | None, ...]:
        """List the least classes that a unit may get, best first.

        :param pending: the unit.
        :returns: classes, and :data:`ANY_SPEED` as the last one.
        """
        if not self.uneven or _ignores_speed(pending):
            return (ANY_SPEED,)
        higher = self._classes[1:]
        if pending.urgent:
            return (*reversed(higher), ANY_SPEED)
        min_speed = self._slowest_in_time(pending)
        return (min_speed, ANY_SPEED) if min_speed in higher else (ANY_SPEED,)

    def rank(self, pending: PendingUnit, view: RunnerView) -> int:
        """Tell what speaks against a runner by its speed.

        :param pending: the unit.
        :param view: a runner of a class that the unit may get.
        :returns: its class: no faster runner is taken than is needed.
        """
        if not self.uneven or _ignores_speed(pending):
            return USUAL
        return view.speed

    def delay_ms(
        self, pending: PendingUnit, runners: Sequence[RunnerId]
    ) -> float:
        """Tell how much longer a unit takes than on the fastest class.

        :param pending: the unit.
        :param runners: where its tasks would go.
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
