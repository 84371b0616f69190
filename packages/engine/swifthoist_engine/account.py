"""Usage accounting per team and queue: resources, waiting times and outcomes.

It is part of the folded state, so every instance gives the same report at a
given offset. Times are those of the records: a run counts from the decision to
start it until its end was read, some tens of milliseconds more than it worked.
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
from swifthoist_engine.model import TaskId, critical_path_ms
from swifthoist_engine.records import Ending

MIN_KEPT_SPANS = 5_000
"""At least this many of the newest spans are kept individually."""

URGENT_START_TARGET_MS = 2_900
"""Time from acceptance within which an urgent job should start, in ms."""


MIN_USEFUL_RUN_MS = 700
"""Shortest run that gains anything for a checkpointing task when it is stopped,
in ms: the time until the stop is over and the task goes on elsewhere."""


CARRY_MS = 1 << 62
"""What one figure of a total holds, in ms; a snapshot holds 64 bits of it."""


class LineKey(NamedTuple):
    """Key of the usage totals.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar team: the team; empty for jobs of public queues.
    :ivar queue: the queue.
    """

    month: str
    team: OwnerId
    queue: str


@dataclass(slots=True)
class UsageTotals:
    """Totals of one month, team and queue.

    :ivar used_ms: accelerator-milliseconds that all runs held, without what is
        carried; the same for the next two.
    :ivar wasted_ms: those of runs that were neither done nor saved progress.
    :ivar cpu_ms: core-milliseconds that all runs held.
    :ivar runs: number of ended runs by ending.
    :ivar jobs: number of ended jobs by final state.
    :ivar waits: times from acceptance to the first start.
    :ivar prompt: urgent jobs that started within the target.
    :ivar tardy: urgent jobs that started later.
    :ivar vain: runs stopped, while their job went on, before they gained
        anything.
    :ivar used_carry: multiples of ``CARRY_MS`` beyond ``used_ms``.
    :ivar wasted_carry: the same beyond ``wasted_ms``.
    :ivar cpu_carry: the same beyond ``cpu_ms``.
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
    used_carry: int = 0
    wasted_carry: int = 0
    cpu_carry: int = 0

    @property
    def held(self) -> 'HeldTime':
        """What all runs held, in whole."""
        return HeldTime(
            self.used_carry * CARRY_MS + self.used_ms,
            self.wasted_carry * CARRY_MS + self.wasted_ms,
            self.cpu_carry * CARRY_MS + self.cpu_ms,
        )

    def add_held(self, added: 'HeldTime') -> None:
        """Add what a run held.

        :param added: what it held.
        """
        used, wasted, cpu = self.held.plus(added)
        self.used_ms = used % CARRY_MS
        self.used_carry = used // CARRY_MS
        self.wasted_ms = wasted % CARRY_MS
        self.wasted_carry = wasted // CARRY_MS
        self.cpu_ms = cpu % CARRY_MS
        self.cpu_carry = cpu // CARRY_MS


class HeldTime(NamedTuple):
    """Resources that runs held, times the time for which they held them.

    :ivar used_ms: accelerator-milliseconds.
    :ivar wasted_ms: those of runs that were neither done nor saved progress.
    :ivar cpu_ms: core-milliseconds.
    """

    used_ms: Millis
    wasted_ms: Millis
    cpu_ms: Millis

    def plus(self, other: 'HeldTime') -> 'HeldTime':
        """Add figure by figure.

        :param other: what to add.
        :returns: the sum.
        """
        return HeldTime(
            self.used_ms + other.used_ms,
            self.wasted_ms + other.wasted_ms,
            self.cpu_ms + other.cpu_ms,
        )


class Span(NamedTuple):
    """Resources and time of one run.

    :ivar team: the team.
    :ivar queue: the queue.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar runner: runner on which it ran.
    :ivar accelerators: number of accelerators that it held.
    :ivar began_ms: time at which it was started.
    :ivar ended_ms: time at which its end was read.
    :ivar ending: how it ended; ``vanished`` if no runner listed its end.
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
    """Usage totals and the newest spans.

    :ivar lines: totals.
    :ivar spans: the newest spans.
    :ivar dropped: number of spans that only the totals still include.
    :ivar series: outcomes of each queue's jobs over time.
    """

    lines: dict[LineKey, UsageTotals] = field(default_factory=dict)
    spans: list[Span] = field(default_factory=list)
    dropped: int = 0
    series: dict[str, Series] = field(default_factory=dict)

    def add_run(
        self, job: Job, run: OpenRun, ended_ms: Millis, ending: str
    ) -> None:
        """Account for an ended run.

        :param job: its job.
        :param run: the run.
        :param ended_ms: time at which its end was read.
        :param ending: how it ended.
        """
        step = job.step(run.task)
        held = step.allocated
        kept = ending == Ending.DONE or step.checkpointing or step.lasting
        last_ms = max(ended_ms, run.started_ms)
        for piece in split_by_month(run.started_ms, last_ms):
            used_ms = held.accelerators * piece.length_ms
            cpu_ms = held.cpu * piece.length_ms // 1_000
            self._line(piece.month, job).add_held(
                HeldTime(used_ms, 0 if kept else used_ms, cpu_ms)
            )
        line = self._line(month_of(last_ms), job)
        line.runs[ending] = line.runs.get(ending, 0) + 1
        if ending == Ending.STOPPED and not job.final:
            saved = kept and last_ms - run.started_ms >= MIN_USEFUL_RUN_MS
            line.vain += int(not saved)
        self._add_span(
            Span(
                job.spec.team,
                job.spec.queue,
                run.task,
                run.run,
                run.runner,
                held.accelerators,
                run.started_ms,
                last_ms,
                ending,
            )
        )

    def add_wait(self, job: Job, started_ms: Millis) -> None:
        """Account for the waiting time of a job whose first unit starts.

        :param job: the job.
        :param started_ms: time of the decision.
        """
        line = self._line(month_of(started_ms), job)
        wait_ms = max(started_ms - job.spec.accepted_ms, 0)
        if job.spec.schedule is None:
            line.waits = add_wait(line.waits, wait_ms)
        if job.spec.terms.priority == 0 and job.spec.schedule is None:
            line.prompt += int(wait_ms <= URGENT_START_TARGET_MS)
            line.tardy += int(wait_ms > URGENT_START_TARGET_MS)

    def add_finish(self, job: Job, state: JobState) -> None:
        """Account for a job that reached its final state.

        :param job: the job.
        :param state: its final state.
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
        if len(self.spans) >= 2 * MIN_KEPT_SPANS:
            self.spans = self.spans[-MIN_KEPT_SPANS:]
            self.dropped += MIN_KEPT_SPANS

    def _line(self, month: str, job: Job) -> UsageTotals:
        key = LineKey(month, job.spec.team, job.spec.queue)
        line = self.lines.get(key)
        if line is None:
            line = UsageTotals()
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
    return terms.slack * critical_path_ms(job.spec.steps) + terms.objective_ms


class UsageLine(NamedTuple):
    """Usage, waiting times and outcomes of one month, team and queue.

    :ivar month: the month, as ``2026-12``, in UTC.
    :ivar team: the team.
    :ivar queue: the queue.
    :ivar accelerator_s: accelerator-seconds that runs held.
    :ivar wasted_s: those of runs that were neither done nor saved progress.
    :ivar core_s: core-seconds that runs held; a filling task holds none.
    :ivar runs: number of ended runs by ending.
    :ivar jobs: number of ended jobs by final state.
    :ivar prompt: urgent jobs that started within the target.
    :ivar tardy: urgent jobs that started later.
    :ivar waiting: percentiles of the waiting times.
    :ivar vain: runs stopped, while their job went on, before they gained
        anything.
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


class UsageFilter(NamedTuple):
    """Selects usage totals.

    :ivar month: the only month to report; empty for all.
    :ivar team: the only team to report; empty for all.
    """

    month: str = ''
    team: OwnerId = ''

    def matches(self, key: LineKey) -> bool:
        """Return whether the totals of a key are selected.

        :param key: the key.
        :returns: whether they are.
        """
        return self.month in {'', key.month} and self.team in {'', key.team}


def usage_lines(
    account: Account, usage_filter: UsageFilter
) -> Iterator[UsageLine]:
    """Report the selected usage totals.

    :param account: the account.
    :param usage_filter: selects the totals.
    :returns: lines by month, team and queue.
    """
    for key in sorted(account.lines):
        if usage_filter.matches(key):
            yield _usage_line(key, account.lines[key])


def _usage_line(key: LineKey, line: UsageTotals) -> UsageLine:
    held = line.held
    return UsageLine(
        *key,
        held.used_ms / 1_000,
        held.wasted_ms / 1_000,
        held.cpu_ms / 1_000,
        dict(line.runs),
        dict(line.jobs),
        line.prompt,
        line.tardy,
        percentiles(line.waits),
        line.vain,
    )
