"""Burn rates: how fast each queue spends its error budget.

A job is good if it completed within its objective. The windows and factors are
those of the Site Reliability Workbook: a fast burn raises an alert if it has
lasted for the long window and still lasts in the short one.
"""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.series import EMPTY_SERIES, Outcomes
from swifthoist_core.types import Millis
from swifthoist_engine.cell_state import CellState

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_DAY_MS = 24 * _HOUR_MS

SLO_TARGET = 0.95
"""Share of a queue's jobs that should complete within their objective."""


class Severity(enum.IntEnum):
    """Urgency of an alert; also the exit code of a report."""

    NONE = 0
    TICKET = 1
    PAGE = 2


class BurnRule(NamedTuple):
    """Condition for raising an alert.

    :ivar long_ms: length of the long window, in ms.
    :ivar short_ms: length of the short window, in ms.
    :ivar rate: burn rate that both windows must reach; a rate of 1 spends
        exactly the budget in thirty days.
    :ivar severity: severity of the alert.
    """

    long_ms: Millis
    short_ms: Millis
    rate: float
    severity: Severity


RULES: tuple[BurnRule, ...] = (
    BurnRule(_HOUR_MS, 5 * _MINUTE_MS, 14.4, Severity.PAGE),
    BurnRule(6 * _HOUR_MS, 30 * _MINUTE_MS, 6, Severity.PAGE),
    BurnRule(3 * _DAY_MS, 6 * _HOUR_MS, 1, Severity.TICKET),
)
"""Alert rules, from the fastest burn to the slowest."""


class BurnLine(NamedTuple):
    """Result of one rule for one queue.

    :ivar queue: the queue.
    :ivar long_ms: length of the long window, in ms.
    :ivar long_rate: burn rate over the long window.
    :ivar short_rate: burn rate over the short window.
    :ivar severity: severity of the alert; 0 for none.
    """

    queue: str
    long_ms: Millis
    long_rate: float
    short_rate: float
    severity: int


def burn_lines(state: CellState) -> Iterator[BurnLine]:
    """Evaluate the alert rules for all queues.

    :param state: state of the cell.
    :returns: a line for each queue and rule.
    """
    for queue in sorted(state.account.series):
        for rule in RULES:
            long_rate = _rate(state, queue, rule.long_ms)
            short_rate = _rate(state, queue, rule.short_ms)
            raised = min(long_rate, short_rate) >= rule.rate
            severity = rule.severity if raised else Severity.NONE
            yield BurnLine(
                queue, rule.long_ms, long_rate, short_rate, int(severity)
            )


def burn_rate(outcomes: Outcomes) -> float:
    """Return how fast the error budget is spent.

    :param outcomes: outcomes of a window.
    :returns: the rate; 0 for a window without outcomes.
    """
    if not outcomes.total:
        return 0
    return outcomes.bad / outcomes.total / (1 - SLO_TARGET)


def _rate(state: CellState, queue: str, length_ms: Millis) -> float:
    series = state.account.series.get(queue, EMPTY_SERIES)
    return burn_rate(series.window(state.time_ms, length_ms))
