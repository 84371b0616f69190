"""The account of who got which accelerators, when, and what was refused."""

from typing import NamedTuple

from swifthoist_core.histograms import add_wait, merge
from swifthoist_core.lines import Line, LineKey, empty_line
from swifthoist_core.months import month_of, oldest_kept, pieces
from swifthoist_core.records import PartUsage, Tally
from swifthoist_core.series import EMPTY, Outcomes, Series
from swifthoist_core.spans import Span, SpanKey
from swifthoist_core.types import ClassName, Millis, OwnerId

KEEP_SPANS = 20_000
"""How many of the latest spans are kept one by one, at least."""

_DROP_SPANS = 1_000

NEVER_FITS = 'no workers could ever hold this shape'
"""The one refusal that breaks no promise: the job could not run anywhere."""


class SeriesKey(NamedTuple):
    """What names a series of outcomes.

    :ivar owner: the team.
    :ivar class_name: class of work.
    """

    owner: OwnerId
    class_name: ClassName


class Account:
    """The aggregate of totals by month, owner and class.

    :ivar dropped: how many spans are no longer kept one by one.
    """

    def __init__(self) -> None:
        """Start with nothing on the account."""
        self.dropped = 0
        self._lines: dict[LineKey, Line] = {}
        self._spans: list[Span] = []
        self._series: dict[SeriesKey, Series] = {}

    def lines(self) -> tuple[Line, ...]:
        """All lines, by month, owner and class."""
        return tuple(self._lines[key] for key in sorted(self._lines))

    def spans(self) -> tuple[Span, ...]:
        """The latest spans, one for each part that ran."""
        return tuple(self._spans)

    def outcomes(
        self,
        owner: OwnerId,
        class_name: ClassName,
        time_ms: Millis,
        length_ms: Millis,
    ) -> Outcomes:
        """Add up the outcomes of a window that ends now.

        :param owner: the team.
        :param class_name: class of work.
        :param time_ms: log time now.
        :param length_ms: length of the window, in ms.
        :returns: how many were good and how many were not.
        """
        series = self._series.get(SeriesKey(owner, class_name), EMPTY)
        return series.window(time_ms, length_ms)

    def add_span(self, span: Span, time_ms: Millis) -> None:
        """Note that a part ran.

        The time is split at the ends of months by the worker's clock; a
        span of a clock that is ahead of the log is moved back to the log.

        :param span: what ran, where and when.
        :param time_ms: time of the record in the log.
        """
        bounded = span.ended_by(time_ms)
        self._spans.append(bounded)
        if len(self._spans) >= KEEP_SPANS + _DROP_SPANS:
            del self._spans[:_DROP_SPANS]
            self.dropped += _DROP_SPANS
        self._count_span(bounded, sign=1)

    def correct_span(
        self, key: SpanKey, use: PartUsage, time_ms: Millis
    ) -> str:
        """Replace an estimate by what the worker reported late.

        :param key: the span.
        :param use: the worker's own report.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        found = [span for span in self._spans if span.key == key]
        if not found:
            return 'no such span, or it is no longer kept'
        span = found[0]
        if not span.estimated or span.worker != use.worker:
            return 'the worker has reported this span already'
        better = span.corrected(use).ended_by(time_ms)
        self._spans[self._spans.index(span)] = better
        self._count_span(span, sign=-1)
        self._count_span(better, sign=1)
        line = self._line(month_of(time_ms), span.owner, span.class_name)
        change = better.accelerator_ms - span.accelerator_ms
        self._put(line._replace(corrected_ms=line.corrected_ms + change))
        return ''

    def add_reclaim(
        self, time_ms: Millis, owner: OwnerId, class_name: ClassName
    ) -> None:
        """Note that a borrowed place was reclaimed.

        :param time_ms: time of the record in the log.
        :param owner: the borrower.
        :param class_name: class of work.
        """
        line = self._line(month_of(time_ms), owner, class_name)
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
        line = self._line(month_of(time_ms), owner, class_name)
        self._put(line._replace(jobs=_plus(line.jobs, {status: 1})))

    def add_outcomes(
        self,
        time_ms: Millis,
        owner: OwnerId,
        class_name: ClassName,
        outcomes: Outcomes,
    ) -> None:
        """Note what came out, for the service level.

        :param time_ms: time of the record in the log.
        :param owner: the team.
        :param class_name: class of work.
        :param outcomes: how many were good and how many were not.
        """
        if not outcomes.total:
            return
        key = SeriesKey(owner, class_name)
        series = self._series.get(key, EMPTY)
        self._series[key] = series.add(time_ms, outcomes)

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
        line = self._line(month_of(time_ms), owner, class_name)
        self._put(line._replace(refused=_plus(line.refused, {reason: 1})))
        bad = Outcomes(bad=int(reason != NEVER_FITS))
        self.add_outcomes(time_ms, owner, class_name, bad)

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
        line = self._line(month_of(time_ms), owner, class_name)
        self._put(line._replace(waits=add_wait(line.waits, wait_ms)))

    def add_tally(self, time_ms: Millis, tally: Tally) -> None:
        """Add what an instance counted of requests.

        :param time_ms: time of the record in the log.
        :param tally: the counts.
        """
        line = self._line(month_of(time_ms), tally.owner, tally.class_name)
        self._put(
            line._replace(
                good=line.good + tally.good,
                late=line.late + tally.late,
                failed=line.failed + tally.failed,
                refused=_plus(line.refused, tally.refused),
                waits=merge(line.waits, tally.waits),
            )
        )
        bad = tally.late + tally.failed + sum(tally.refused.values())
        outcomes = Outcomes(tally.good, bad)
        self.add_outcomes(time_ms, tally.owner, tally.class_name, outcomes)

    def _count_span(self, span: Span, *, sign: int) -> None:
        for piece in pieces(span.started_ms, span.stopped_ms):
            used = sign * span.accelerators * piece.length_ms
            lent = used * span.lent
            line = self._line(piece.month, span.owner, span.class_name)
            self._put(
                line._replace(
                    guaranteed_ms=line.guaranteed_ms + used - lent,
                    borrowed_ms=line.borrowed_ms + lent,
                    reclaimed_ms=line.reclaimed_ms + lent * span.reclaimed,
                    estimated_ms=line.estimated_ms + used * span.estimated,
                )
            )

    def _line(self, month: str, owner: OwnerId, class_name: ClassName) -> Line:
        key = LineKey(month, owner, class_name)
        return self._lines.get(key) or empty_line(key)

    def _put(self, line: Line) -> None:
        key = LineKey(line.month, line.owner, line.class_name)
        if key not in self._lines:
            self._drop_months(line.month)
        self._lines[key] = line

    def _drop_months(self, new_month: str) -> None:
        oldest = oldest_kept((new_month, *(key.month for key in self._lines)))
        old = [key for key in self._lines if key.month < oldest]
        for key in old:
            self._lines.pop(key)


def _plus(one: dict[str, int], other: dict[str, int]) -> dict[str, int]:
    sums = dict(one)
    for name, times in other.items():
        sums[name] = sums.get(name, 0) + times
    return sums
