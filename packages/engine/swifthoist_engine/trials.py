"""Decides which units may test whether a suspect runner works again."""

from collections import Counter

from swifthoist_core.types import RunnerId
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.queueing import PendingUnit

SCARCE_ATTEMPTS = 2
"""A task with at most this many attempts left is not used for a trial: after a
failure there, one more failure would fail its job."""

UNLIMITED_ATTEMPTS = 1_000_000
"""Attempts left of a unit that may fail any number of times."""


class Trials:
    """Trials of suspect runners within one decision."""

    def __init__(self, fleet: Fleet, *, enabled: bool = True) -> None:
        """Start without trials.

        :param fleet: the runners.
        :param enabled: whether suspect runners are tried first, not just used.
        """
        self._fleet = fleet
        self._enabled = enabled and fleet.any_on_trial
        self._tried: Counter[RunnerId] = Counter()

    def barred(self, pending: PendingUnit) -> bool:
        """Tell whether a unit must not be used for a trial.

        :param pending: the unit.
        :returns: whether there are runners on trial, and the unit is urgent, a
            gang, or has few attempts left.
        """
        if not self._enabled:
            return False
        if pending.urgent or pending.step.gang:
            return True
        return attempts_left(pending) <= SCARCE_ATTEMPTS

    def may_start(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether one more task may be started on a runner.

        :param pending: the unit; a barred unit gets here only where the other
            runners could not hold it.
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
        """Count a task that is started on a runner.

        :param runner: the runner.
        """
        self._tried[runner] += 1


def attempts_left(pending: PendingUnit) -> int:
    """Count how many runs of a unit may still fail, including its next one.

    :param pending: the unit.
    :returns: the number; :data:`UNLIMITED_ATTEMPTS` for a lasting step.
    """
    failures = 0 if pending.state is None else pending.state.failures
    if pending.step.lasting:
        return UNLIMITED_ATTEMPTS
    return pending.terms.max_attempts - failures
