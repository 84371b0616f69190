"""The account: who got which accelerators, when, and what was promised.

It is part of the fold, so every instance gives the same report at an offset.
Time is that of the records: a run counts from the decision to start it until
its end was read, which is some tens of milliseconds more than it worked.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.histograms import (
    Counts,
    Percentiles,
    add_wait,
    percentiles,
)
from swifthoist_core.months import month_of, oldest_kept_month, split_by_month
from swifthoist_core.series import EMPTY_SERIES, Outcomes, Series
from swifthoist_core.types import Millis, OwnerId, RunnerId
from swifthoist_engine.jobs import Job, JobState, OpenRun
from swifthoist_engine.model import TaskId, chain_ms
from swifthoist_engine.records import Ending

KEEP_SPANS = 5_000
"""How many of the newest spans are kept one by one."""

PROMISE_MS = 2_900
"""Time within which an urgent job is to have begun, in ms."""


VAIN_MS = 700
"""A task that saves its progress gains nothing by a run that is stopped sooner, in
ms: until a stop is over, and the task goes on elsewhere."""


class LineKey(NamedTuple):
    """What names a line of the account.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar team: the team; empty for jobs of public queues.
    :ivar queue: the queue.
    """

    month: str
    team: OwnerId
    queue: str


@dataclass(slots=True)
class Line:
    """Totals of one month, team and queue.

    :ivar used_ms: accelerator-milliseconds of all runs.
    :ivar wasted_ms: those of runs that neither were done nor saved anything.
    :ivar cpu_ms: core-milliseconds of all runs.
    :ivar runs: runs that ended, by how.
    :ivar jobs: jobs that ended, by their state.
    :ivar waits: times from acceptance to the first start.
    :ivar prompt: urgent jobs that began in time.
    :ivar tardy: urgent jobs that began later.
    :ivar vain: runs that were stopped for others before they gained anything.
    """

    used_ms: Millis = 0
    wasted_ms: Millis = 0
    cpu_ms: Millis = 0
    runs: dict[str, int] = field(default_factory=dict)
    jobs: dict[str, int] = field(default_factory=dict)
    waits: Counts = field(default_factory=dict)
    prompt: int = 0
    tardy: int = 0
    vain: int = 0


class Span(NamedTuple):
    """One run: which accelerators, when, how long.

    :ivar team: the team.
    :ivar queue: the queue.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar runner: where it ran.
    :ivar accelerators: how many it held.
    :ivar began_ms: when it was started.
    :ivar ended_ms: when its end was read.
    :ivar ending: how it ended; ``vanished`` where no runner told.
    """

    team: OwnerId
    queue: str
    task: TaskId
    run: int
    runner: RunnerId
    accelerators: int
    began_ms: Millis
    ended_ms: Millis
    ending: str


@dataclass(slots=True)
class Account:
    """The aggregate of lines and the newest spans.

    :ivar lines: totals.
    :ivar spans: the newest spans.
    :ivar dropped: spans that are only in the totals.
    :ivar series: outcomes of each queue's jobs over time.
    """

    lines: dict[LineKey, Line] = field(default_factory=dict)
    spans: list[Span] = field(default_factory=list)
    dropped: int = 0
    series: dict[str, Series] = field(default_factory=dict)

    def add_run(
        self, job: Job, run: OpenRun, ended_ms: Millis, ending: str
    ) -> None:
        """Note that a run is over.

        :param job: its job.
        :param run: the run.
        :param ended_ms: when that was read.
        :param ending: how it ended.
        """
        step = job.step(run.task)
        kept = ending == Ending.DONE or step.checkpointing or step.lasting
        last_ms = max(ended_ms, run.started_ms)
        for piece in split_by_month(run.started_ms, last_ms):
            line = self._line(piece.month, job)
            used = step.need.accelerators * piece.length_ms
            line.used_ms += used
            line.wasted_ms += 0 if kept else used
            line.cpu_ms += step.need.cpu * piece.length_ms // 1_000
        line = self._line(month_of(last_ms), job)
        line.runs[ending] = line.runs.get(ending, 0) + 1
        if ending == Ending.STOPPED and not job.final:
            saved = kept and last_ms - run.started_ms >= VAIN_MS
            line.vain += int(not saved)
        self._add_span(
            Span(
                job.spec.team,
                job.spec.queue,
                run.task,
                run.run,
                run.runner,
                step.need.accelerators,
                run.started_ms,
                last_ms,
                ending,
            )
        )

    def add_wait(self, job: Job, started_ms: Millis) -> None:
        """Note that the first unit of a job starts.

        :param job: the job.
        :param started_ms: time of the decision.
        """
        line = self._line(month_of(started_ms), job)
        wait_ms = max(started_ms - job.spec.accepted_ms, 0)
        if job.spec.schedule is None:
            line.waits = add_wait(line.waits, wait_ms)
        if job.spec.terms.priority == 0 and job.spec.schedule is None:
            line.prompt += int(wait_ms <= PROMISE_MS)
            line.tardy += int(wait_ms > PROMISE_MS)

    def add_finish(self, job: Job, state: JobState) -> None:
        """Note that a job reached its final state.

        :param job: the job.
        :param state: the state.
        """
        jobs = self._line(month_of(job.finished_ms), job).jobs
        jobs[state.value] = jobs.get(state.value, 0) + 1
        if state is JobState.CANCELED or job.spec.schedule is not None:
            return
        took_ms = job.finished_ms - job.spec.accepted_ms
        met = state is JobState.COMPLETE and took_ms <= _objective_ms(job)
        outcomes = Outcomes(good=int(met), bad=int(not met))
        series = self.series.get(job.spec.queue, EMPTY_SERIES)
        series = series.add(job.finished_ms, outcomes)
        self.series[job.spec.queue] = series

    def _add_span(self, span: Span) -> None:
        self.spans.append(span)
        if len(self.spans) >= 2 * KEEP_SPANS:
            self.spans = self.spans[-KEEP_SPANS:]
            self.dropped += KEEP_SPANS

    def _line(self, month: str, job: Job) -> Line:
        key = LineKey(month, job.spec.team, job.spec.queue)
        line = self.lines.get(key)
        if line is None:
            line = Line()
            self.lines[key] = line
            self._drop_months(month)
        return line

    def _drop_months(self, new_month: str) -> None:
        months = {key.month for key in self.lines}
        oldest = oldest_kept_month((new_month, *months))
        self.lines = {
            key: line for key, line in self.lines.items() if key.month >= oldest
        }


def _objective_ms(job: Job) -> float:
    terms = job.spec.terms
    return terms.slack * chain_ms(job.spec.steps) + terms.objective_ms


class UsageLine(NamedTuple):
    """Use, waiting and promises of one month, team and queue.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar team: the team.
    :ivar queue: the queue.
    :ivar accelerator_s: accelerator-seconds.
    :ivar wasted_s: of those, the ones that came to nothing.
    :ivar core_s: core-seconds.
    :ivar runs: runs by how they ended.
    :ivar jobs: jobs by their final state.
    :ivar prompt: urgent jobs that began in time.
    :ivar tardy: urgent jobs that began later.
    :ivar waiting: percentiles of the waiting times.
    :ivar vain: runs that were stopped for others before they gained anything.
    """

    month: str
    team: OwnerId
    queue: str
    accelerator_s: float
    wasted_s: float
    core_s: float
    runs: dict[str, int]
    jobs: dict[str, int]
    prompt: int
    tardy: int
    waiting: Percentiles
    vain: int = 0


class Question(NamedTuple):
    """Which part of the account is asked for.

    :ivar month: one month only; empty for all.
    :ivar team: one team only; empty for all.
    """

    month: str = ''
    team: OwnerId = ''

    def covers(self, key: LineKey) -> bool:
        """Tell whether a line is asked for.

        :param key: names the line.
        :returns: whether it is.
        """
        return self.month in {'', key.month} and self.team in {'', key.team}


def usage_lines(account: Account, question: Question) -> Iterator[UsageLine]:
    """Report who got what.

    :param account: the account.
    :param question: which part of it.
    :returns: lines by month, team and queue.
    """
    for key in sorted(account.lines):
        if question.covers(key):
            yield _usage_line(key, account.lines[key])


def _usage_line(key: LineKey, line: Line) -> UsageLine:
    return UsageLine(
        *key,
        line.used_ms / 1_000,
        line.wasted_ms / 1_000,
        line.cpu_ms / 1_000,
        dict(line.runs),
        dict(line.jobs),
        line.prompt,
        line.tardy,
        percentiles(line.waits),
        line.vain,
    )
