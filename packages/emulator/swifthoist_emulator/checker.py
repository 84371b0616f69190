"""Checks the scheduler's invariants against what runners actually did."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.model import Resources, TaskId
from swifthoist_engine.records import Ending

CRASHES_BEFORE_LIMIT = 3
"""Number of runners that a task may crash before its starts are limited."""

MAX_STARTS_AFTER = 2
"""Maximum number of starts of such a task from then on."""

CANCEL_MS = 3_000
"""Time after the acknowledgement of a cancel in which tasks may still start."""

CRASHES_TO_GIVE_UP = 2
"""Runners that must have crashed under a task before it may be given up."""


class RunLocation(NamedTuple):
    """A run and the runner that it is on.

    :ivar runner: id of the runner.
    :ivar run: number of the run.
    """

    runner: RunnerId
    run: int


@dataclass(slots=True)
class InvariantChecker:
    """Records starts and ends, and reports violated invariants.

    :ivar broken: descriptions of the violations.
    :ivar starts: number of starts.
    :ivar done: tasks that have succeeded, by job.
    :ivar submitted: jobs that callers submitted.
    :ivar rejected: jobs of which callers were told at each attempt that it was
        rejected.
    :ivar canceled: when the cancel of each job was acknowledged.
    :ivar now_ms: true time since the start.
    :ivar accelerator_ms: accelerator-milliseconds that runners spent.
    :ivar closed: runners in zones whose evacuation started so long ago that no
        more starts are allowed there.
    :ivar late: the current order was delayed by a fault, so that a start in a
        closed zone is no violation.
    :ivar crashes: number of runners that each task has crashed.
    :ivar lost: number of runners that went down under each task, whatever the
        cause.
    :ivar failures: number of runs that ended as failed, by job.
    """

    broken: list[str] = field(default_factory=list)
    starts: int = 0
    done: dict[JobId, set[TaskId]] = field(
        default_factory=lambda: defaultdict(set)
    )
    submitted: set[JobId] = field(default_factory=set)
    rejected: set[JobId] = field(default_factory=set)
    canceled: dict[JobId, Millis] = field(default_factory=dict)
    now_ms: Millis = 0
    accelerator_ms: int = 0
    closed: frozenset[RunnerId] = frozenset()
    late: bool = False
    crashes: Counter[TaskId] = field(default_factory=Counter)
    lost: Counter[TaskId] = field(default_factory=Counter)
    failures: Counter[JobId] = field(default_factory=Counter)
    _started: set[JobId] = field(default_factory=set)
    _starts_after_limit: Counter[TaskId] = field(default_factory=Counter)
    _running: dict[TaskId, set[RunLocation]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _used: dict[RunnerId, dict[TaskId, Resources]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _acknowledged_done: set[TaskId] = field(default_factory=set)
    _unacknowledged_done: dict[TaskId, set[RunLocation]] = field(
        default_factory=lambda: defaultdict(set)
    )
    _superseded: set[tuple[TaskId, RunLocation]] = field(default_factory=set)

    def note_start(
        self,
        runner: RunnerId,
        task: TaskId,
        run: int,
        need: tuple[int, int, int],
        room: Resources,
    ) -> None:
        """Record a start, and check whether it is allowed.

        :param runner: the runner.
        :param task: the task.
        :param run: number of the run.
        :param need: its resources.
        :param room: capacity of the runner.
        """
        self.starts += 1
        self._started.add(task.job)
        self._check_job(task)
        if self._running[task]:
            self.broken.append(f'{task} runs twice: {self._running[task]}')
        if task in self._acknowledged_done:
            self.broken.append(f'{task} starts again, though it was done')
        if runner in self.closed and not self.late:
            self.broken.append(f'{task} starts on {runner}, which is evacuated')
        self._limit_starts(task)
        # Whether an earlier end counts is only known once the scheduler
        # acknowledges it.
        self._superseded.update(
            (task, it) for it in self._unacknowledged_done[task]
        )
        self._running[task].add(RunLocation(runner, run))
        self._used[runner][task] = Resources(*need)
        total = Resources()
        for used in self._used[runner].values():
            total = total.plus(used)
        if not total.fits(room):
            self.broken.append(f'{runner} is over its capacity: {total}')

    def _check_job(self, task: TaskId) -> None:
        """Check that the job of a task that starts is wanted."""
        if task.job in self.rejected:
            self.broken.append(f'{task} starts, though it was rejected')
        if task.job not in self.submitted:
            self.broken.append(f'{task} starts, though nobody submitted it')
        if self._is_canceled(task.job) and not self.late:
            self.broken.append(f'{task} starts, though it was canceled')

    def _limit_starts(self, task: TaskId) -> None:
        if self.late or self.crashes[task] < CRASHES_BEFORE_LIMIT:
            return
        self._starts_after_limit[task] += 1
        if self._starts_after_limit[task] > MAX_STARTS_AFTER:
            self.broken.append(f'{task} starts, though it crashes its runners')

    def note_canceled(self, job: JobId) -> None:
        """Record that the cancel of a job was acknowledged.

        :param job: the job.
        """
        self.canceled.setdefault(job, self.now_ms)

    def _is_canceled(self, job: JobId) -> bool:
        canceled_ms = self.canceled.get(job)
        if canceled_ms is None:
            return False
        return self.now_ms - canceled_ms > CANCEL_MS

    def note_rejected(self, job: JobId) -> None:
        """Record that a caller gave a job up after rejections alone.

        :param job: the job.
        """
        self.rejected.add(job)
        if job in self._started:
            self.broken.append(f'{job} was rejected, though it had started')

    def note_crashed_by(self, task: TaskId) -> None:
        """Record that a task has crashed the runner that started it.

        :param task: the task.
        """
        self.crashes[task] += 1

    def note_end(
        self, runner: RunnerId, task: TaskId, run: int, how: str
    ) -> None:
        """Record an end.

        :param runner: the runner.
        :param task: the task.
        :param run: number of the run.
        :param how: how it ended.
        """
        self._running[task].discard(RunLocation(runner, run))
        self._used[runner].pop(task, None)
        if how == Ending.FAILED:
            self.failures[task.job] += 1
        if how == Ending.DONE:
            self.done[task.job].add(task)
            self._unacknowledged_done[task].add(RunLocation(runner, run))

    def note_lost(self, runner: RunnerId, task: TaskId, run: int) -> None:
        """Record that a runner went down under a run.

        :param runner: the runner.
        :param task: the task.
        :param run: number of the run.
        """
        self.lost[task] += 1
        self.note_end(runner, task, run, 'lost')

    def note_failed(self, job: JobId) -> None:
        """Check a job that is reported as failed.

        :param job: the job.
        """
        worst = max(
            (count for task, count in self.lost.items() if task.job == job),
            default=0,
        )
        if not self.failures[job] and worst < CRASHES_TO_GIVE_UP:
            self.broken.append(
                f'{job} is failed, though no run of it has failed and at most'
                f' {worst} runners went down under a task of it'
            )

    def note_crash(self, runner: RunnerId) -> None:
        """Drop the ends of a crashed runner, since they can't be acknowledged.

        :param runner: the runner; a later life may have the same id.
        """
        for places in self._unacknowledged_done.values():
            places -= {place for place in places if place.runner == runner}
        self._superseded = {
            item for item in self._superseded if item[1].runner != runner
        }

    def note_time(self, accelerators: int, passed_ms: int) -> None:
        """Count the accelerator time of a run.

        :param accelerators: number of accelerators that it holds.
        :param passed_ms: for how long.
        """
        self.accelerator_ms += accelerators * passed_ms

    def note_acknowledged(
        self, runner: RunnerId, task: TaskId, run: int, ending: Ending
    ) -> None:
        """Record that the scheduler has acknowledged an end.

        :param runner: the runner.
        :param task: the task.
        :param run: number of the run.
        :param ending: how it ended.
        """
        if ending is not Ending.DONE:
            return
        self._acknowledged_done.add(task)
        place = RunLocation(runner, run)
        if (task, place) in self._superseded:
            self.broken.append(f'{task} started again after {place} was done')

    def note_complete(
        self, job: JobId, units: Iterable[frozenset[TaskId]]
    ) -> None:
        """Check a job that is reported as complete.

        :param job: the job.
        :param units: its single tasks and its gangs; a gang is done as soon as
            one member is.
        """
        missing = [unit for unit in units if unit.isdisjoint(self.done[job])]
        if missing:
            self.broken.append(f'{job} is complete without {missing}')

    def running_of(self, job: JobId) -> list[TaskId]:
        """List the running tasks of a job.

        :param job: the job.
        :returns: its tasks.
        """
        return [
            task
            for task, places in self._running.items()
            if task.job == job and places
        ]
