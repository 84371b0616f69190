"""Which units may find out whether a doubted runner works again."""

from collections import Counter

from swifthoist_core.types import RunnerId
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.queueing import PendingUnit

FEW_ATTEMPTS = 2
"""A task with so many attempts left is not spent on a trial: if it fails there,
one more fault of its own would fail its job."""

NO_LIMIT = 1_000_000
"""Attempts of a unit that may fail as often as it likes."""


class Trials:
    """The trials of one decision."""

    def __init__(self, fleet: Fleet, *, minded: bool = True) -> None:
        """Start without a trial.

        :param fleet: the runners.
        :param minded: whether doubted runners are tried at all, or just used.
        """
        self._fleet = fleet
        self._minded = minded and fleet.tries_some
        self._tried: Counter[RunnerId] = Counter()

    def barred(self, waiting: PendingUnit) -> bool:
        """Tell whether a unit must not try a runner.

        :param waiting: the unit.
        :returns: whether there is one that could be tried, and the unit is no
            task by itself, urgent, or has few attempts left.
        """
        if not self._minded:
            return False
        if waiting.urgent or waiting.step.gang:
            return True
        return attempts_left(waiting) <= FEW_ATTEMPTS

    def may_add(self, waiting: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether one more task may be started on a runner.

        :param waiting: the unit; one that must not try a runner comes here
            where the others could not hold it.
        :param runner: the runner.
        :returns: whether it may.
        """
        if not self._minded:
            return True
        trials = self._fleet.views[runner].trials
        if trials is None or self.barred(waiting):
            return True
        return self._tried[runner] < trials

    def note(self, runner: RunnerId) -> None:
        """Note that a task goes to a runner.

        :param runner: the runner.
        """
        self._tried[runner] += 1


def attempts_left(waiting: PendingUnit) -> int:
    """Tell how many runs of a unit may still fail, its next one among them.

    :param waiting: the unit.
    :returns: the number; a unit that lasts has no end of them.
    """
    failures = 0 if waiting.state is None else waiting.state.failures
    if waiting.step.lasting:
        return NO_LIMIT
    return waiting.terms.max_attempts - failures
