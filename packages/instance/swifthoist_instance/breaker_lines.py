"""Log lines of the circuit breakers of runners: opened, tried, and closed."""

import logging
from collections.abc import Iterable

from swifthoist_core.types import RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.runners import RunnerView

MAX_LOGGED_STRIKES = 5
"""Maximum number of strikes in a line; the newest are kept."""

_log = logging.getLogger(__name__)


class BreakerLines:
    """Logs changes of the circuit breakers of runners."""

    def __init__(self, cell: Cell) -> None:
        """Create a logger that takes all breakers for closed.

        :param cell: the folded state, with the strikes against runners.
        """
        self._cell = cell
        self._shut: dict[RunnerId, int] = {}

    def note(self, views: Iterable[RunnerView]) -> None:
        """Log what changed since the previous decision.

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
