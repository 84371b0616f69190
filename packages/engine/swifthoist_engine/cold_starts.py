"""Decides which units may start on cold runners, which are slow after a start.

A zone that comes back has only cold runners. Units that do not tolerate a slow
start prefer warm ones, and the others ramp up on each cold runner in steps, so
that a wrong estimate of the slowdown costs little.
"""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.fleet import Candidates
from swifthoist_engine.model import Resources
from swifthoist_engine.queueing import IN_TIME, PendingUnit

COLD_SLOWDOWN = 2
"""Assumed factor by which a task takes longer on a cold runner; no setting
provides it."""

WARM_RUNNER_WAIT_MS = 2_000
"""How long a unit waits for warm runners, in ms: less than the 3 s after which
a job counts as stalled."""

RAMP_STEP_MS = 700
"""Length of a ramp-up step on a cold runner, in ms."""

RAMP_PARTS = 4
"""Each ramp-up step uses at most a runner's room divided by this: half of it is
in use within two steps, so that no job stalls for 3 s beside free room."""


class ColdStarts:
    """Handling of cold runners in one decision."""

    def __init__(
        self, capacity: CapacityPlan, now_ms: Millis, *, enabled: bool
    ) -> None:
        """Look for cold runners in a capacity plan.

        :param capacity: the capacity plan.
        :param now_ms: time of the cell.
        :param enabled: whether cold runners are treated differently at all.
        """
        self._capacity = capacity
        self._now_ms = now_ms
        self._enabled = enabled and capacity.fleet.any_cold

    def avoids(self, name: RunnerId) -> bool:
        """Tell whether a runner is avoided for being cold.

        :param name: the runner.
        :returns: whether it is cold, and cold runners are treated differently.
        """
        return self._enabled and self._capacity.views[name].cold

    def exclude_cold(
        self, pending: PendingUnit, found: Candidates, waited_ms: Millis
    ) -> Candidates:
        """Leave out cold runners if a unit does not tolerate a slow start.

        :param pending: the unit.
        :param found: runners that may run it.
        :param waited_ms: how long it has waited.
        :returns: the warm ones, for a limited time and if they could hold the
            unit; else all of them.
        """
        if not self._enabled or waited_ms > WARM_RUNNER_WAIT_MS:
            return found
        if tolerates_cold(pending, self._now_ms):
            return found
        return found.warm if _could_hold(found.warm, pending) else found

    def may_start(self, pending: PendingUnit, name: RunnerId) -> bool:
        """Tell whether one more task may start on a runner now.

        :param pending: a unit; gangs need all of their room at once and may
            start.
        :param name: the runner.
        :returns: whether it is warm, or the task fits into the ramp-up step.
        """
        if pending.step.gang or not self.avoids(name):
            return True
        begun = self._capacity.room_used_since(
            name, self._now_ms - RAMP_STEP_MS
        )
        if begun == Resources():
            return True
        step = Resources(
            *(part // RAMP_PARTS for part in self._capacity.views[name].room)
        )
        return begun.plus(pending.step.allocated).fits(step)


def tolerates_cold(pending: PendingUnit, now_ms: Millis) -> bool:
    """Tell whether a unit tolerates a slow start.

    :param pending: the unit.
    :param now_ms: time of the cell.
    :returns: whether it is a single task, not urgent, and would not miss its
        deadline only because of the slow start.
    """
    if pending.urgent or pending.step.gang:
        return False
    if pending.tier != IN_TIME:
        return True
    left_ms = pending.deadline_ms - now_ms
    duration_ms = pending.duration_ms
    # A unit that is late in any case gains nothing from a warm runner.
    return not duration_ms <= left_ms < COLD_SLOWDOWN * duration_ms


def _could_hold(found: Candidates, pending: PendingUnit) -> bool:
    """Tell whether runners could hold a unit if they were empty."""
    if pending.step.gang and pending.step.same_rack:
        return max(found.copies.values(), default=0) >= pending.members
    return found.could_hold(pending.members)
