"""Counts of the request path, for the metrics and the reports."""

import enum
from collections import Counter
from typing import NamedTuple

from swifthoist_core.types import ClassName, OwnerId
from swifthoistd.work import Done, NotRun, Outcome, Unknown


class Extra(enum.StrEnum):
    """Why an attempt after the first was made."""

    RETRY = 'retry'
    HEDGE = 'hedge'


class Dropped(enum.StrEnum):
    """Why an answer of a runner was not passed on."""

    MISMATCHED = 'mismatched'
    TRUNCATED = 'truncated'
    OVERSIZED = 'oversized'
    LATE = 'late'


class OutcomeKey(NamedTuple):
    """What outcomes are counted by.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar outcome: ``done``, ``not_run``, ``unknown`` or ``cancelled``.
    :ivar reason: the reason, empty for ``done``.
    """

    owner: OwnerId
    class_name: ClassName
    outcome: str
    reason: str


class Counters:
    """The aggregate of all counts since the start of the process.

    :ivar requests: requests taken in, refused ones included.
    :ivar attempts: requests sent to runners, probes not included.
    :ivar extras: attempts after the first, by cause.
    :ivar dropped: answers that were not passed on, by cause.
    :ivar outcomes: requests that ended, by owner, class and outcome.
    :ivar replaced: connections closed because they were not trusted.
    :ivar close_failures: outcomes that could not be recorded on the log.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.requests = 0
        self.attempts = 0
        self.extras: Counter[Extra] = Counter()
        self.dropped: Counter[Dropped] = Counter()
        self.outcomes: Counter[OutcomeKey] = Counter()
        self.replaced = 0
        self.close_failures = 0

    def count_request(self) -> None:
        """Count a request that was taken in."""
        self.requests += 1

    def count_attempt(self) -> None:
        """Count a request sent to a runner."""
        self.attempts += 1

    def count_extra(self, extra: Extra) -> None:
        """Count a further attempt.

        :param extra: its cause.
        """
        self.extras[extra] += 1

    def count_dropped(self, cause: Dropped) -> None:
        """Count an answer that was not passed on.

        :param cause: why not.
        """
        self.dropped[cause] += 1

    def count_replaced(self) -> None:
        """Count a connection that was closed for want of trust."""
        self.replaced += 1

    def count_close_failure(self) -> None:
        """Count an outcome that could not be recorded."""
        self.close_failures += 1

    def count_outcome(
        self, owner: OwnerId, class_name: ClassName, outcome: Outcome
    ) -> None:
        """Count a request that ended.

        :param owner: the team.
        :param class_name: class of work.
        :param outcome: what became of it.
        """
        match outcome:
            case Done():
                key = OutcomeKey(owner, class_name, 'done', '')
            case NotRun(reason):
                key = OutcomeKey(owner, class_name, 'not_run', reason)
            case Unknown(reason):
                key = OutcomeKey(owner, class_name, 'unknown', reason)
        self.outcomes[key] += 1

    def count_cancelled(self, owner: OwnerId, class_name: ClassName) -> None:
        """Count a request whose caller went away.

        :param owner: the team.
        :param class_name: class of work.
        """
        self.outcomes[OutcomeKey(owner, class_name, 'cancelled', '')] += 1
