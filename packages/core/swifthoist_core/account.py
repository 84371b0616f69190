"""The account of who got which accelerators, when, and what was refused."""

import bisect
import datetime as dt
from typing import NamedTuple

from swifthoist_core.records import PartUsage, Tally
from swifthoist_core.types import ClassName, JobId, Millis, OwnerId

BUCKETS: tuple[Millis, ...] = (
    10,
    20,
    50,
    100,
    200,
    500,
    1_000,
    2_000,
    5_000,
    10_000,
    30_000,
    60_000,
    600_000,
    3_600_000,
    86_400_000,
)
"""Upper bounds of the waiting times that are counted together, in ms."""

KEEP_SPANS = 20_000
"""How many of the latest spans are kept one by one."""

_MS_PER_S = 1_000


class Span(NamedTuple):
    """One part of a gang on one worker, for a time.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part.
    :ivar worker: the worker.
    :ivar first: index of its first accelerator.
    :ivar accelerators: how many accelerators.
    :ivar started_ms: start by the worker's clock.
    :ivar stopped_ms: end by the worker's clock.
    :ivar lent: whether the place was beyond the owner's guarantee.
    """

    owner: OwnerId
    class_name: ClassName
    job_id: JobId
    attempt: int
    part: int
    worker: str
    first: int
    accelerators: int
    started_ms: Millis
    stopped_ms: Millis
    lent: bool

    @property
    def accelerator_ms(self) -> int:
        """Accelerators times milliseconds."""
        return self.accelerators * (self.stopped_ms - self.started_ms)


class Line(NamedTuple):
    """Totals of one owner and class in one month.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar guaranteed_ms: accelerator-ms within the guarantee.
    :ivar borrowed_ms: accelerator-ms beyond it.
    :ivar reclaims: times that a borrowed place was reclaimed.
    :ivar jobs: jobs that ended, by their last state.
    :ivar good: requests complete and within the objective.
    :ivar late: requests complete, but later.
    :ivar failed: requests answered with an error or unknown.
    :ivar refused: refusals by reason.
    :ivar waits: counts by bucket of :data:`BUCKETS`; the last is beyond.
    """

    month: str
    owner: OwnerId
    class_name: ClassName
    guaranteed_ms: int
    borrowed_ms: int
    reclaims: int
    jobs: dict[str, int]
    good: int
    late: int
    failed: int
    refused: dict[str, int]
    waits: tuple[int, ...]


class LineKey(NamedTuple):
    """What names a line of the account.

    :ivar month: the month, as ``2026-12``.
    :ivar owner: the team.
    :ivar class_name: class of work.
    """

    month: str
    owner: OwnerId
    class_name: ClassName


def bucket_of(wait_ms: Millis) -> int:
    """Find the bucket that counts a waiting time.

    :param wait_ms: the waiting time, in ms.
    :returns: index into counts of one more bucket than :data:`BUCKETS`.
    """
    return bisect.bisect_left(BUCKETS, wait_ms)


class Account:
    """The aggregate of totals by month, owner and class."""

    def __init__(self) -> None:
        """Start with nothing on the account."""
        self._lines: dict[LineKey, Line] = {}
        self._spans: list[Span] = []

    def lines(self) -> tuple[Line, ...]:
        """All lines, by month, owner and class."""
        return tuple(line for _, line in sorted(self._lines.items()))

    def spans(self) -> tuple[Span, ...]:
        """The latest spans, one for each part that ran."""
        return tuple(self._spans)

    def add_span(self, span: Span, time_ms: Millis) -> None:
        """Note that a part ran.

        :param span: what ran, where and when.
        :param time_ms: time of the record in the log.
        """
        self._spans.append(span)
        del self._spans[:-KEEP_SPANS]
        line = self._line(time_ms, span.owner, span.class_name)
        if span.lent:
            borrowed = line.borrowed_ms + span.accelerator_ms
            self._put(line._replace(borrowed_ms=borrowed))
            return
        guaranteed = line.guaranteed_ms + span.accelerator_ms
        self._put(line._replace(guaranteed_ms=guaranteed))

    def add_reclaim(
        self, time_ms: Millis, owner: OwnerId, class_name: ClassName
    ) -> None:
        """Note that a borrowed place was reclaimed.

        :param time_ms: time of the record in the log.
        :param owner: the borrower.
        :param class_name: class of work.
        """
        line = self._line(time_ms, owner, class_name)
        self._put(line._replace(reclaims=line.reclaims + 1))

    def add_end(
        self,
        time_ms: Millis,
        owner: OwnerId,
        class_name: ClassName,
        status: str,
    ) -> None:
        """Note that a job ended.

        :param time_ms: time of the record in the log.
        :param owner: the team.
        :param class_name: class of work.
        :param status: the last state of the job.
        """
        line = self._line(time_ms, owner, class_name)
        jobs = {**line.jobs, status: line.jobs.get(status, 0) + 1}
        self._put(line._replace(jobs=jobs))

    def add_refusal(
        self,
        time_ms: Millis,
        owner: OwnerId,
        class_name: ClassName,
        reason: str,
    ) -> None:
        """Note a refusal.

        :param time_ms: time of the record in the log.
        :param owner: the team.
        :param class_name: class of work.
        :param reason: why.
        """
        line = self._line(time_ms, owner, class_name)
        refused = {**line.refused, reason: line.refused.get(reason, 0) + 1}
        self._put(line._replace(refused=refused))

    def add_wait(
        self,
        time_ms: Millis,
        owner: OwnerId,
        class_name: ClassName,
        wait_ms: Millis,
    ) -> None:
        """Note how long a job waited for its place.

        :param time_ms: time of the record in the log.
        :param owner: the team.
        :param class_name: class of work.
        :param wait_ms: the waiting time, in ms.
        """
        line = self._line(time_ms, owner, class_name)
        waits = list(line.waits)
        waits[bucket_of(wait_ms)] += 1
        self._put(line._replace(waits=tuple(waits)))

    def add_tally(self, time_ms: Millis, tally: Tally) -> None:
        """Add what an instance counted of requests.

        :param time_ms: time of the record in the log.
        :param tally: the counts.
        """
        line = self._line(time_ms, tally.owner, tally.class_name)
        refused = dict(line.refused)
        for reason, times in tally.refused.items():
            refused[reason] = refused.get(reason, 0) + times
        both = zip(line.waits, tally.waits, strict=True)
        self._put(
            line._replace(
                good=line.good + tally.good,
                late=line.late + tally.late,
                failed=line.failed + tally.failed,
                refused=refused,
                waits=tuple(old + new for old, new in both),
            )
        )

    def _line(
        self, time_ms: Millis, owner: OwnerId, class_name: ClassName
    ) -> Line:
        month = month_of(time_ms)
        key = LineKey(month, owner, class_name)
        return self._lines.get(key) or Line(
            month,
            owner,
            class_name,
            guaranteed_ms=0,
            borrowed_ms=0,
            reclaims=0,
            jobs={},
            good=0,
            late=0,
            failed=0,
            refused={},
            waits=(0,) * (len(BUCKETS) + 1),
        )

    def _put(self, line: Line) -> None:
        key = LineKey(line.month, line.owner, line.class_name)
        self._lines[key] = line


def month_of(time_ms: Millis) -> str:
    """Name the month of a point in time, in UTC.

    :param time_ms: ms since the epoch.
    :returns: the month, as ``2026-12``.
    """
    when = dt.datetime.fromtimestamp(time_ms / _MS_PER_S, dt.UTC)
    return when.strftime('%Y-%m')


def span_of(
    owner: OwnerId,
    class_name: ClassName,
    job_id: JobId,
    attempt: int,
    use: PartUsage,
    first: int,
    lent: bool,
) -> Span:
    """Make a span from what a worker reported.

    :param owner: the team.
    :param class_name: class of work.
    :param job_id: the job.
    :param attempt: number of the attempt.
    :param use: the worker's report.
    :param first: index of the first accelerator.
    :param lent: whether the place was beyond the owner's guarantee.
    :returns: the span.
    """
    return Span(
        owner,
        class_name,
        job_id,
        attempt,
        use.part,
        use.worker,
        first,
        use.accelerators,
        use.started_ms,
        use.stopped_ms,
        lent,
    )
