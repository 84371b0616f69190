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

ANY = None
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

    def floors(self, waiting: PendingUnit) -> tuple[int | None, ...]:
        """List the least classes that a unit may get, best first.

        :param waiting: the unit.
        :returns: classes, and :data:`ANY` as the last one.
        """
        if not self.uneven or _is_unhurried(waiting):
            return (ANY,)
        higher = self._classes[1:]
        if waiting.urgent:
            return (*reversed(higher), ANY)
        floor = self._slowest_in_time(waiting)
        return (floor, ANY) if floor in higher else (ANY,)

    def rank(self, waiting: PendingUnit, view: RunnerView) -> int:
        """Tell what speaks against a runner by its speed.

        :param waiting: the unit.
        :param view: a runner of a class that the unit may get.
        :returns: its class: no faster runner is taken than is needed.
        """
        if not self.uneven or _is_unhurried(waiting):
            return USUAL
        return view.speed

    def delay_ms(
        self, waiting: PendingUnit, runners: Sequence[RunnerId]
    ) -> float:
        """Tell how much longer a unit takes than on the fastest class.

        :param waiting: the unit.
        :param runners: where its tasks would go.
        :returns: the difference, in ms.
        """
        if not self.uneven or _is_unhurried(waiting):
            return 0
        slowest = min(self._views[name].speed for name in runners)
        most = self._factors.get(slowest, 1)
        least = self._factors.get(self._classes[-1], 1)
        return max(most - least, 0) * waiting.lasts_ms

    def _slowest_in_time(self, waiting: PendingUnit) -> int | None:
        """Find the slowest class on which a unit meets its objective."""
        left_ms = waiting.deadline_ms - self._now_ms
        for speed in self._classes:
            if waiting.lasts_ms * self._factors.get(speed, 1) <= left_ms:
                return speed
        return ANY


def _is_unhurried(waiting: PendingUnit) -> bool:
    """Tell whether a unit does not end sooner on a faster runner."""
    return waiting.step.lasting or waiting.step.filling
