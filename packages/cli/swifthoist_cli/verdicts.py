"""Verdicts on requests and jobs, with their latencies."""

import enum
from collections import Counter
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from swifthoist_core.types import ClassName

_US_PER_S = 1_000_000
_US_PER_MS = 1_000
_MAX_US = 2 * 3_600 * _US_PER_S
_DIGITS = 3


class Outcome(enum.StrEnum):
    """What became of a request or a job."""

    DONE = 'done'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Verdict(NamedTuple):
    """What a caller learned.

    :ivar outcome: the outcome.
    :ivar reason: why it is not done, empty if it is.
    """

    outcome: Outcome
    reason: str = ''


class Latency(NamedTuple):
    """Latencies from the scheduled time, in ms.

    :ivar p50_ms: half ended no later.
    :ivar p90_ms: nine in ten.
    :ivar p99_ms: ninety-nine in a hundred.
    :ivar max_ms: all.
    """

    p50_ms: float
    p90_ms: float
    p99_ms: float
    max_ms: float


class KindSummary(NamedTuple):
    """Verdicts of one class of work.

    :ivar class_name: class of work.
    :ivar done: whole answers, or jobs that ran to their end.
    :ivar not_run: refusals that say so, and instances not reached.
    :ivar unknown: may or may not have run.
    :ivar reasons: reasons of those not done.
    :ivar latency: of those done, from the scheduled time.
    """

    class_name: ClassName
    done: int
    not_run: int
    unknown: int
    reasons: dict[str, int]
    latency: Latency


class Tallies:
    """The aggregate of verdicts of a run.

    :ivar ended: how many verdicts there are.
    """

    def __init__(self) -> None:
        """Start without verdicts."""
        self.ended = 0
        self._outcomes: dict[ClassName, Counter[Outcome]] = {}
        self._reasons: dict[ClassName, Counter[str]] = {}
        self._latencies: dict[ClassName, HdrHistogram] = {}

    def add(
        self, class_name: ClassName, verdict: Verdict, elapsed_s: float
    ) -> None:
        """Note a verdict.

        :param class_name: class of work.
        :param verdict: the verdict.
        :param elapsed_s: time since the scheduled time, in s.
        """
        self.ended += 1
        outcomes = self._outcomes.setdefault(class_name, Counter())
        outcomes[verdict.outcome] += 1
        reasons = self._reasons.setdefault(class_name, Counter())
        if verdict.reason:
            reasons[verdict.reason] += 1
        histogram = self._latencies.setdefault(
            class_name, HdrHistogram(1, _MAX_US, _DIGITS)
        )
        if verdict.outcome is Outcome.DONE:
            elapsed_us = max(0, round(elapsed_s * _US_PER_S))
            histogram.record_value(min(elapsed_us, _MAX_US))

    def summaries(self) -> tuple[KindSummary, ...]:
        """Summarize by class, in order."""
        return tuple(self._summary(name) for name in sorted(self._outcomes))

    def _summary(self, class_name: ClassName) -> KindSummary:
        outcomes = self._outcomes[class_name]
        histogram = self._latencies[class_name]
        ranks = (50, 90, 99, 100)
        latency = Latency(
            *(
                histogram.get_value_at_percentile(rank) / _US_PER_MS
                for rank in ranks
            )
        )
        return KindSummary(
            class_name,
            outcomes[Outcome.DONE],
            outcomes[Outcome.NOT_RUN],
            outcomes[Outcome.UNKNOWN],
            dict(sorted(self._reasons[class_name].items())),
            latency,
        )
