"""Which units may start on runners that are slow for a while after their start.

A zone that comes back has all of its runners cold. What can't bear a slow start
goes elsewhere first, and the rest comes to each cold runner in steps, so that a
wrong guess of how slow they are costs little.
"""

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.fleet import Candidates
from swifthoist_engine.model import Resources
from swifthoist_engine.queueing import IN_TIME, PendingUnit

COLD_SLOWDOWN = 2
"""How many times as long a task is taken to need on a cold runner: a prior, since
no setting tells it."""

WARM_RUNNER_WAIT_MS = 2_000
"""How long a unit waits for warm runners, in ms: less than the 3 s after which a
job counts as standing still."""

RAMP_STEP_MS = 700
"""How long a cold runner has what began there before it gets more, in ms."""

RAMP_PARTS = 4
"""A step is at most this part of a runner's room: half of it is in use within two
steps, so that no job stands still for 3 s beside free room."""


class ColdStarts:
    """What one decision minds about cold runners."""

    def __init__(
        self, capacity: CapacityPlan, now_ms: Millis, *, enabled: bool
    ) -> None:
        """Mind the cold runners of a board.

        :param capacity: the board.
        :param now_ms: time of the cell.
        :param enabled: whether they are minded at all.
        """
        self._board = capacity
        self._now_ms = now_ms
        self._enabled = enabled and capacity.fleet.any_cold

    def avoids(self, name: RunnerId) -> bool:
        """Tell whether a runner is cold, and that matters.

        :param name: the runner.
        :returns: whether it does.
        """
        return self._enabled and self._board.views[name].cold

    def exclude_cold(
        self, pending: PendingUnit, found: Candidates, waited_ms: Millis
    ) -> Candidates:
        """Leave out cold runners, if a unit can't bear a slow start.

        :param pending: the unit.
        :param found: runners that may run it.
        :param waited_ms: for how long it has waited.
        :returns: the warm ones of them, for a while, and if they could hold it.
        """
        if not self._enabled or waited_ms > WARM_RUNNER_WAIT_MS:
            return found
        if tolerates_cold(pending, self._now_ms):
            return found
        return found.warm if _could_hold(found.warm, pending) else found

    def may_start(self, pending: PendingUnit, name: RunnerId) -> bool:
        """Tell whether a runner may get one more task now.

        :param pending: a task by itself; gangs need all of their room at once.
        :param name: the runner.
        :returns: whether it is warm, or its newest tasks are still a step.
        """
        if pending.step.gang or not self.avoids(name):
            return True
        begun = self._board.room_used_since(name, self._now_ms - RAMP_STEP_MS)
        if begun == Resources():
            return True
        step = Resources(
            *(part // RAMP_PARTS for part in self._board.views[name].room)
        )
        return begun.plus(pending.step.counted).fits(step)


def tolerates_cold(pending: PendingUnit, now_ms: Millis) -> bool:
    """Tell whether a unit can bear a slow start.

    :param pending: the unit.
    :param now_ms: time of the cell.
    :returns: whether it is a task by itself, not urgent, and not late only
        for being slow.
    """
    if pending.urgent or pending.step.gang:
        return False
    if pending.tier != IN_TIME:
        return True
    left_ms = pending.deadline_ms - now_ms
    duration_ms = pending.duration_ms
    # What is late in any case need not look for a warm runner.
    return not duration_ms <= left_ms < COLD_SLOWDOWN * duration_ms


def _could_hold(found: Candidates, pending: PendingUnit) -> bool:
    """Tell whether runners could hold a unit if they were empty."""
    if pending.step.gang and pending.step.same_rack:
        return max(found.copies.values(), default=0) >= pending.members
    return found.could_hold(pending.members)
