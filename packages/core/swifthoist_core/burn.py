"""Service-level burn: how fast error budgets are spent, and who is called.

The windows and factors are those of the workbook on site reliability: a fast
burn that has lasted for the long window, and still lasts in the short one.
"""

import enum
from typing import NamedTuple

from swifthoist_core.catalogue import Objective
from swifthoist_core.ledger import Ledger
from swifthoist_core.series import Outcomes
from swifthoist_core.types import ClassName, Millis, Offset, OwnerId

_MINUTE_MS = 60_000
_HOUR_MS = 60 * _MINUTE_MS
_DAY_MS = 24 * _HOUR_MS

BUDGET_MS: Millis = 30 * _DAY_MS
"""The time for which an error budget is granted, in ms."""

NO_BUDGET_RATE = 1_000_000.0
"""Burn rate of a bad outcome where the objective allows none."""


class Severity(enum.IntEnum):
    """What an alert asks for; also the exit code of a report."""

    NONE = 0
    TICKET = 1
    PAGE = 2


class Rule(NamedTuple):
    """When an alert is raised.

    :ivar long_ms: the long window, in ms.
    :ivar short_ms: the short window, in ms.
    :ivar rate: burn rate that both windows must reach; 1 spends exactly the
        budget in thirty days.
    :ivar severity: what the alert asks for.
    """

    long_ms: Millis
    short_ms: Millis
    rate: float
    severity: Severity


RULES: tuple[Rule, ...] = (
    Rule(_HOUR_MS, 5 * _MINUTE_MS, 14.4, Severity.PAGE),
    Rule(6 * _HOUR_MS, 30 * _MINUTE_MS, 6, Severity.PAGE),
    Rule(3 * _DAY_MS, 6 * _HOUR_MS, 1, Severity.TICKET),
)
"""Pairs of windows, from the fastest burn to the slowest."""


class Burn(NamedTuple):
    """One rule applied to one owner and class.

    :ivar rule: the rule.
    :ivar long_rate: burn rate over the long window.
    :ivar short_rate: burn rate over the short window.
    :ivar alert: whether both reach the rule's rate.
    """

    rule: Rule
    long_rate: float
    short_rate: float
    alert: bool


class BurnLine(NamedTuple):
    """The service level of one owner and class.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar objective: what was promised.
    :ivar good: good outcomes of thirty days.
    :ivar bad: other outcomes of thirty days.
    :ivar budget_left: share of the error budget that is left; below 0 when
        more was spent than granted.
    :ivar burns: every rule with its rates.
    """

    owner: OwnerId
    class_name: ClassName
    objective: Objective
    good: int
    bad: int
    budget_left: float
    burns: tuple[Burn, ...]


class BurnReport(NamedTuple):
    """Service levels at an offset.

    :ivar offset: the report holds for the records before this offset.
    :ivar time_ms: log time of the last of them.
    :ivar lines: one for each owner and class with an entry.
    :ivar exit_code: the greatest severity of an alert.
    """

    offset: Offset
    time_ms: Millis
    lines: tuple[BurnLine, ...]
    exit_code: int


def burn_report(ledger: Ledger, owner: OwnerId | None = None) -> BurnReport:
    """Report how error budgets are spent.

    :param ledger: the state at an offset.
    :param owner: one team only, or ``None`` for all.
    :returns: the report, equal on every instance at this offset.
    """
    entries = (versioned.entry for versioned in ledger.catalogue.entries())
    lines = tuple(
        _line(ledger, entry.owner, entry.class_name, entry.objective)
        for entry in entries
        if entry is not None and owner in {None, entry.owner}
    )
    severities = (
        burn.rule.severity
        for line in lines
        for burn in line.burns
        if burn.alert
    )
    worst = max(severities, default=Severity.NONE)
    return BurnReport(ledger.offset, ledger.time_ms, lines, int(worst))


def burn_rate(outcomes: Outcomes, good_ratio: float) -> float:
    """Tell how fast a budget is spent.

    :param outcomes: what came out in a window.
    :param good_ratio: share that must be good.
    :returns: the rate; 1 spends exactly the budget.
    """
    if not outcomes.bad:
        return 0
    allowed = 1 - good_ratio
    if allowed <= 0:
        return NO_BUDGET_RATE
    return min(NO_BUDGET_RATE, outcomes.bad / outcomes.total / allowed)


def _line(
    ledger: Ledger,
    owner: OwnerId,
    class_name: ClassName,
    objective: Objective,
) -> BurnLine:
    ratio = objective.good_ratio
    burns: list[Burn] = []
    for rule in RULES:
        long = _window(ledger, owner, class_name, rule.long_ms)
        short = _window(ledger, owner, class_name, rule.short_ms)
        rates = burn_rate(long, ratio), burn_rate(short, ratio)
        burns.append(Burn(rule, *rates, alert=min(rates) >= rule.rate))
    month = _window(ledger, owner, class_name, BUDGET_MS)
    return BurnLine(
        owner,
        class_name,
        objective,
        month.good,
        month.bad,
        1 - burn_rate(month, ratio),
        tuple(burns),
    )


def _window(
    ledger: Ledger, owner: OwnerId, class_name: ClassName, length_ms: Millis
) -> Outcomes:
    return ledger.account.outcomes(owner, class_name, ledger.time_ms, length_ms)
