"""The usage report: who got which accelerators, when, and what was refused."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.histograms import Counts, Percentiles, percentiles
from swifthoist_core.holdings import Holding
from swifthoist_core.jobs import PLACED, Job
from swifthoist_core.ledger import Ledger
from swifthoist_core.lines import Line
from swifthoist_core.months import month_of, pieces
from swifthoist_core.shortfalls import Shortfall
from swifthoist_core.spans import Span
from swifthoist_core.types import ClassName, Millis, Offset, OwnerId

_MS_PER_S = 1_000


class UsageLine(NamedTuple):
    """Use, waiting and refusals of one owner and class in one month.

    Attempts count once they are over, by the times that the workers gave.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar guaranteed_s: accelerator-seconds within the guarantee.
    :ivar borrowed_s: accelerator-seconds beyond it.
    :ivar reclaimed_s: of those borrowed, the ones of attempts that were
        ended by a reclaim.
    :ivar estimated_s: accelerator-seconds that no worker has reported yet.
    :ivar corrected_s: what late reports added, or took away if negative.
    :ivar reclaims: times that a borrowed place was reclaimed.
    :ivar jobs: jobs that ended, by their last state.
    :ivar good: requests complete and within the objective.
    :ivar late: requests complete, but later.
    :ivar failed: requests answered with an error or unknown.
    :ivar refused: refusals by reason.
    :ivar waiting: percentiles of the waiting times.
    :ivar waits: the histogram: counts by the greatest time of the bucket.
    """

    month: str
    owner: OwnerId
    class_name: ClassName
    guaranteed_s: float
    borrowed_s: float
    reclaimed_s: float
    estimated_s: float
    corrected_s: float
    reclaims: int
    jobs: dict[str, int]
    good: int
    late: int
    failed: int
    refused: dict[str, int]
    waiting: Percentiles
    waits: Counts


class LendingLine(NamedTuple):
    """What an owner lent out of its guarantee in one month.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar owner: the lender.
    :ivar lent_out_s: accelerator-seconds, by log time.
    """

    month: str
    owner: OwnerId
    lent_out_s: float


class UsageReport(NamedTuple):
    """What a manager asks at month's end, at an offset.

    :ivar offset: the report holds for the records before this offset.
    :ivar time_ms: log time of the last of them.
    :ivar owner: the team asked for, empty for all.
    :ivar month: the month asked for, empty for all that are kept.
    :ivar lines: totals.
    :ivar lendings: what was lent out.
    :ivar spans: which accelerators, when, how long.
    :ivar running: the same for attempts that hold a place now, from log
        time of the placement until ``time_ms``; not in the totals yet.
    :ivar spans_dropped: older spans of any owner that are only in totals.
    :ivar shortfalls: guarantees asked for and not given.
    :ivar shortfalls_dropped: older ones that are no longer kept.
    """

    offset: Offset
    time_ms: Millis
    owner: OwnerId
    month: str
    lines: tuple[UsageLine, ...]
    lendings: tuple[LendingLine, ...]
    spans: tuple[Span, ...]
    running: tuple[Span, ...]
    spans_dropped: int
    shortfalls: tuple[Shortfall, ...]
    shortfalls_dropped: int


class _Question(NamedTuple):
    owner: OwnerId | None
    month: str | None

    def wants(self, owner: OwnerId) -> bool:
        return self.owner in {None, owner}

    def covers(self, since_ms: Millis, until_ms: Millis) -> bool:
        if self.month is None:
            return True
        months = (piece.month for piece in pieces(since_ms, until_ms))
        return self.month in months


def usage_report(
    ledger: Ledger, owner: OwnerId | None = None, month: str | None = None
) -> UsageReport:
    """Report who got what.

    :param ledger: the state at an offset.
    :param owner: one team only, or ``None`` for all.
    :param month: one month only, as ``2026-12``, or ``None`` for all.
    :returns: the report, equal on every instance at this offset.
    """
    question = _Question(owner, month)
    account = ledger.account
    lines = (line for line in account.lines() if question.wants(line.owner))
    return UsageReport(
        ledger.offset,
        ledger.time_ms,
        owner or '',
        month or '',
        tuple(_line(line) for line in lines if month in {None, line.month}),
        tuple(_lendings(ledger, question)),
        _asked(account.spans(), question),
        _asked(tuple(_running(ledger)), question),
        account.dropped,
        tuple(_shortfalls(ledger, question)),
        ledger.shortfalls.dropped,
    )


def _line(line: Line) -> UsageLine:
    return UsageLine(
        line.month,
        line.owner,
        line.class_name,
        line.guaranteed_ms / _MS_PER_S,
        line.borrowed_ms / _MS_PER_S,
        line.reclaimed_ms / _MS_PER_S,
        line.estimated_ms / _MS_PER_S,
        line.corrected_ms / _MS_PER_S,
        line.reclaims,
        dict(sorted(line.jobs.items())),
        line.good,
        line.late,
        line.failed,
        dict(sorted(line.refused.items())),
        percentiles(line.waits),
        dict(sorted(line.waits.items())),
    )


def _lendings(ledger: Ledger, question: _Question) -> Iterator[LendingLine]:
    for item in ledger.holdings.lendings(ledger.time_ms):
        if not question.wants(item.owner):
            continue
        if question.month in {None, item.month}:
            lent_out_s = item.lent_ms / _MS_PER_S
            yield LendingLine(item.month, item.owner, lent_out_s)


def _asked(spans: tuple[Span, ...], question: _Question) -> tuple[Span, ...]:
    return tuple(
        span
        for span in spans
        if question.wants(span.owner)
        and question.covers(span.started_ms, span.stopped_ms)
    )


def _running(ledger: Ledger) -> Iterator[Span]:
    for job in ledger.jobs.open_jobs():
        holding = ledger.holdings.get(job.spec.job_id)
        if holding is None or job.status not in PLACED:
            continue
        yield from _open_spans(job, holding, ledger.time_ms)


def _open_spans(job: Job, holding: Holding, time_ms: Millis) -> Iterator[Span]:
    for index, part in enumerate(job.parts):
        yield Span(
            job.spec.owner,
            job.spec.class_name,
            job.spec.job_id,
            job.attempt,
            index,
            part.worker,
            part.first,
            part.accelerators,
            holding.since_ms,
            time_ms,
            job.lent,
        )


def _shortfalls(ledger: Ledger, question: _Question) -> Iterator[Shortfall]:
    for item in ledger.shortfalls.all_items():
        until_ms = item.until_ms or ledger.time_ms
        if not question.wants(item.ask.owner):
            continue
        if question.covers(item.since_ms, until_ms):
            yield item


def current_month(ledger: Ledger) -> str:
    """Name the month of the ledger's time.

    :param ledger: the state at an offset.
    :returns: the month, as ``2026-12``.
    """
    return month_of(ledger.time_ms)
