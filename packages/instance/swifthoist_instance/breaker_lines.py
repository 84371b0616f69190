"""Log lines of runners that are taken out of use, tried, and taken back."""

import logging
from collections.abc import Iterable

from swifthoist_core.types import RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.runners import RunnerView

MAX_LOGGED_STRIKES = 5
"""Most of what speaks against a runner that a line names, the newest."""

_log = logging.getLogger(__name__)


class BreakerLines:
    """Tells when the decisions' view of runners changes."""

    def __init__(self, cell: Cell) -> None:
        """Start with all runners in use.

        :param cell: tells what speaks against runners.
        """
        self._cell = cell
        self._shut: dict[RunnerId, int] = {}

    def note(self, views: Iterable[RunnerView]) -> None:
        """Write what changed since the decision before.

        :param views: the runners of this decision.
        """
        shut = {
            view.runner: view.trials
            for view in views
            if view.trials is not None
        }
        for runner, trials in shut.items():
            if runner not in self._shut:
                _log.warning('runner shut', extra=self._breaker_fields(runner))
            elif trials > self._shut[runner]:
                _log.info('runner tried', extra=self._breaker_fields(runner))
        for runner in self._shut.keys() - shut.keys():
            _log.info('runner taken back', extra=self._breaker_fields(runner))
        self._shut = shut

    def _breaker_fields(self, runner: RunnerId) -> dict[str, object]:
        state = self._cell.state
        breakers = self._cell.state.experience.breakers
        strikes = breakers.strikes.get(runner, [])
        return {
            'runner': runner,
            'suspicion': breakers.suspicion(runner, state.time_ms),
            'strikes': [
                {'job': it.job, 'ago_ms': state.time_ms - it.at_ms}
                for it in strikes[-MAX_LOGGED_STRIKES:]
            ],
        }
