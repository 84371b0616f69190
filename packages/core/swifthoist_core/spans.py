"""Spans: one part of a gang on one worker, for a time."""

import sys
from typing import NamedTuple

from swifthoist_core.jobs import Job
from swifthoist_core.records import PartUsage
from swifthoist_core.types import ClassName, JobId, Millis, OwnerId


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
    :ivar estimated: whether the worker was lost before it reported.
    :ivar reclaimed: whether a reclaim ended it.
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
    estimated: bool = False
    reclaimed: bool = False

    @property
    def accelerator_ms(self) -> int:
        """Accelerators times milliseconds."""
        return self.accelerators * (self.stopped_ms - self.started_ms)

    @property
    def key(self) -> 'SpanKey':
        """What names the span."""
        return SpanKey(self.job_id, self.attempt, self.part)

    def ended_by(self, time_ms: Millis) -> 'Span':
        """Move the span back so that it ends no later than a time.

        :param time_ms: log time of the worker's report.
        :returns: the span, of the same length, which is never negative.
        """
        length_ms = max(0, self.stopped_ms - self.started_ms)
        stopped_ms = max(0, min(self.stopped_ms, time_ms))
        started_ms = max(0, stopped_ms - length_ms)
        return self._replace(started_ms=started_ms, stopped_ms=stopped_ms)

    def corrected(self, use: PartUsage) -> 'Span':
        """Take the times from the worker's own report.

        :param use: the worker's report, however late.
        :returns: the span with its times.
        """
        return self._replace(
            started_ms=use.started_ms,
            stopped_ms=use.stopped_ms,
            estimated=use.estimated,
        )


class SpanKey(NamedTuple):
    """What names a span.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part.
    """

    job_id: JobId
    attempt: int
    part: int


def span_of(job: Job, use: PartUsage, *, reclaimed: bool) -> Span:
    """Make a span from what a worker reported.

    The account keeps many spans of few workers, so their names are shared.

    :param job: the job as it was while it had its place.
    :param use: the worker's report, or the holder's estimate.
    :param reclaimed: whether a reclaim ended the attempt.
    :returns: the span.
    """
    return Span(
        job.spec.owner,
        job.spec.class_name,
        job.spec.job_id,
        job.attempt,
        use.part,
        sys.intern(use.worker),
        job.parts[use.part].first,
        use.accelerators,
        use.started_ms,
        use.stopped_ms,
        job.lent,
        use.estimated,
        reclaimed,
    )
