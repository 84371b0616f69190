"""Which units may find out whether a doubted runner works again."""

from collections import Counter

from swifthoist_core.types import RunnerId
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.queueing import PendingUnit

SCARCE_ATTEMPTS = 2
"""A task with so many attempts left is not spent on a trial: if it fails there,
one more fault of its own would fail its job."""

UNLIMITED_ATTEMPTS = 1_000_000
"""Attempts of a unit that may fail as often as it likes."""


class Trials:
    """The trials of one decision."""

    def __init__(self, fleet: Fleet, *, enabled: bool = True) -> None:
        """Start without a trial.

        :param fleet: the runners.
        :param enabled: whether doubted runners are tried at all, or just used.
        """
        self._fleet = fleet
        self._enabled = enabled and fleet.any_on_trial
        self._tried: Counter[RunnerId] = Counter()

    def barred(self, pending: PendingUnit) -> bool:
        """Tell whether a unit must not try a runner.

        :param pending: the unit.
        :returns: whether there is one that could be tried, and the unit is no
            task by itself, urgent, or has few attempts left.
        """
        if not self._enabled:
            return False
        if pending.urgent or pending.step.gang:
            return True
        return attempts_left(pending) <= SCARCE_ATTEMPTS

    def may_start(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether one more task may be started on a runner.

        :param pending: the unit; one that must not try a runner comes here
            where the others could not hold it.
        :param runner: the runner.
        :returns: whether it may.
        """
        if not self._enabled:
            return True
        trials = self._fleet.views[runner].trials
        if trials is None or self.barred(pending):
            return True
        return self._tried[runner] < trials

    def note_start(self, runner: RunnerId) -> None:
        """Note that a task goes to a runner.

        :param runner: the runner.
        """
        self._tried[runner] += 1


def attempts_left(pending: PendingUnit) -> int:
    """Tell how many runs of a unit may still fail, its next one among them.

    :param pending: the unit.
    :returns: the number; a unit that lasts has no end of them.
    """
    failures = 0 if pending.state is None else pending.state.failures
    if pending.step.lasting:
        return UNLIMITED_ATTEMPTS
    return pending.terms.max_attempts - failures
