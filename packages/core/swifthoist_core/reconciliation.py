"""Reconciliation of the account with what workers report late."""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.records import PartUsage
from swifthoist_core.spans import Span, SpanKey
from swifthoist_core.types import JobId, Millis


class ReportedUse(NamedTuple):
    """One entry of a worker's usage report.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar use: the part and its times.
    """

    job_id: JobId
    attempt: int
    use: PartUsage

    @property
    def key(self) -> SpanKey:
        """What names the span that the report is about."""
        return SpanKey(self.job_id, self.attempt, self.use.part)


class Mismatch(enum.StrEnum):
    """How the account and the workers' reports differ."""

    NOT_REPORTED = 'on the account, but not reported'
    NOT_ACCOUNTED = 'reported, but not on the account'
    DIFFERENT_TIME = 'other times or accelerators'
    DIFFERENT_WORKER = 'another worker'
    REPORTED_TWICE = 'reported more than once, with other times'


class Difference(NamedTuple):
    """One difference between the account and the workers' reports.

    :ivar key: job, attempt and part.
    :ivar worker: the worker that the account names, else the reporting one.
    :ivar mismatch: how they differ.
    :ivar accounted_ms: accelerator-ms on the account.
    :ivar reported_ms: accelerator-ms as reported.
    :ivar estimated: whether the account holds only an estimate.
    """

    key: SpanKey
    worker: str
    mismatch: Mismatch
    accounted_ms: int
    reported_ms: int
    estimated: bool


def reconcile(
    spans: Iterable[Span],
    reported: Iterable[ReportedUse],
    due_ms: Millis,
) -> tuple[Difference, ...]:
    """Show every difference between the account and the reports.

    :param spans: spans of the account.
    :param reported: what workers have reported so far, in any order.
    :param due_ms: a span that ended later than this, ms since the epoch,
        may still be reported, so that its absence is no difference yet.
    :returns: the differences, by job, attempt and part.
    """
    accounted = {span.key: span for span in spans}
    differences: list[Difference] = []
    uses: dict[SpanKey, PartUsage] = {}
    for item in reported:
        before = uses.setdefault(item.key, item.use)
        if before != item.use:
            twice = _unaccounted(item, Mismatch.REPORTED_TWICE)
            differences.append(twice)
        elif item.key not in accounted:
            new = _unaccounted(item, Mismatch.NOT_ACCOUNTED)
            differences.append(new)
    for key, span in accounted.items():
        mismatch = _mismatch(span, uses.get(key), due_ms)
        if mismatch is not None:
            differences.append(_difference(span, uses.get(key), mismatch))
    return tuple(sorted(set(differences)))


def _mismatch(
    span: Span, use: PartUsage | None, due_ms: Millis
) -> Mismatch | None:
    if use is None:
        late = span.stopped_ms <= due_ms
        return Mismatch.NOT_REPORTED if late else None
    if use.worker != span.worker:
        return Mismatch.DIFFERENT_WORKER
    same = (
        use.accelerators == span.accelerators
        and use.started_ms == span.started_ms
        and use.stopped_ms == span.stopped_ms
    )
    return None if same else Mismatch.DIFFERENT_TIME


def _difference(
    span: Span, use: PartUsage | None, mismatch: Mismatch
) -> Difference:
    return Difference(
        span.key,
        span.worker,
        mismatch,
        span.accelerator_ms,
        _used_ms(use) if use else 0,
        span.estimated,
    )


def _unaccounted(item: ReportedUse, mismatch: Mismatch) -> Difference:
    used_ms = _used_ms(item.use)
    worker = item.use.worker
    return Difference(item.key, worker, mismatch, 0, used_ms, False)


def _used_ms(use: PartUsage) -> int:
    return use.accelerators * (use.stopped_ms - use.started_ms)
