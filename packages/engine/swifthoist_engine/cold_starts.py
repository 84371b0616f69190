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

SLOW_FACTOR = 2
"""How many times as long a task is taken to need on a cold runner: a prior, since
no setting tells it."""

WARM_RUNNER_WAIT_MS = 2_000
"""How long a unit waits for warm runners, in ms: less than the 3 s after which a
job counts as standing still."""

RAMP_STEP_MS = 700
"""How long a cold runner has what began there before it gets more, in ms."""

STEPS = 4
"""A step is at most this part of a runner's room: half of it is in use within two
steps, so that no job stands still for 3 s beside free room."""


class ColdStarts:
    """What one decision minds about cold runners."""

    def __init__(
        self, capacity: CapacityPlan, now_ms: Millis, *, minded: bool
    ) -> None:
        """Mind the cold runners of a board.

        :param capacity: the board.
        :param now_ms: time of the cell.
        :param minded: whether they are minded at all.
        """
        self._board = capacity
        self._now_ms = now_ms
        self._minded = minded and capacity.fleet.any_cold

    def minds(self, name: RunnerId) -> bool:
        """Tell whether a runner is cold, and that matters.

        :param name: the runner.
        :returns: whether it does.
        """
        return self._minded and self._board.views[name].cold

    def choose(
        self, waiting: PendingUnit, found: Candidates, waited_ms: Millis
    ) -> Candidates:
        """Leave out cold runners, if a unit can't bear a slow start.

        :param waiting: the unit.
        :param found: runners that may run it.
        :param waited_ms: for how long it has waited.
        :returns: the warm ones of them, for a while, and if they could hold it.
        """
        if not self._minded or waited_ms > WARM_RUNNER_WAIT_MS:
            return found
        if bears_cold(waiting, self._now_ms):
            return found
        return found.warm if _could_hold(found.warm, waiting) else found

    def may_add(self, waiting: PendingUnit, name: RunnerId) -> bool:
        """Tell whether a runner may get one more task now.

        :param waiting: a task by itself; gangs need all of their room at once.
        :param name: the runner.
        :returns: whether it is warm, or its newest tasks are still a step.
        """
        if waiting.step.gang or not self.minds(name):
            return True
        begun = self._board.begun_since(name, self._now_ms - RAMP_STEP_MS)
        if begun == Resources():
            return True
        step = Resources(
            *(part // STEPS for part in self._board.views[name].room)
        )
        return begun.plus(waiting.step.counted).fits(step)


def bears_cold(waiting: PendingUnit, now_ms: Millis) -> bool:
    """Tell whether a unit can bear a slow start.

    :param waiting: the unit.
    :param now_ms: time of the cell.
    :returns: whether it is a task by itself, not urgent, and not late only
        for being slow.
    """
    if waiting.urgent or waiting.step.gang:
        return False
    if waiting.tier != IN_TIME:
        return True
    left_ms = waiting.deadline_ms - now_ms
    lasts_ms = waiting.lasts_ms
    # What is late in any case need not look for a warm runner.
    return not lasts_ms <= left_ms < SLOW_FACTOR * lasts_ms


def _could_hold(found: Candidates, waiting: PendingUnit) -> bool:
    """Tell whether runners could hold a unit if they were empty."""
    if waiting.step.gang and waiting.step.same_rack:
        return max(found.copies.values(), default=0) >= waiting.members
    return found.could_hold(waiting.members)
