"""What the stand-ins saw: every start and end, and the promises broken."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import JobId, RunnerId
from swifthoist_engine.model import Resources, TaskId
from swifthoist_engine.records import Ending


class RunLocation(NamedTuple):
    """A run and where it is.

    :ivar runner: the runner.
    :ivar run: number of the run.
    """

    runner: RunnerId
    run: int


@dataclass(slots=True)
class InvariantChecker:
    """Keeps what runners did, and judges it.

    :ivar broken: promises that were broken, in words.
    :ivar starts: number of starts.
    :ivar done: tasks that were done, by job.
    :ivar submitted: jobs that callers submitted.
    :ivar canceled: jobs whose cancel was acknowledged.
    :ivar accelerator_ms: accelerator-milliseconds that runners spent.
    :ivar closed: runners whose zone has been evacuated for longer than starts
        there may go on.
    :ivar late: what is carried out now was ordered long before.
    """

    broken: list[str] = field(default_factory=list)
    starts: int = 0
    done: dict[JobId, set[TaskId]] = field(
        default_factory=lambda: defaultdict(set)
    )
    submitted: set[JobId] = field(default_factory=set)
    canceled: set[JobId] = field(default_factory=set)
    accelerator_ms: int = 0
    closed: frozenset[RunnerId] = frozenset()
    late: bool = False
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
        """Note a start, and whether it should not have been.

        :param runner: where.
        :param task: the task.
        :param run: number of the run.
        :param need: its resources.
        :param room: capacity of the runner.
        """
        self.starts += 1
        if self._running[task]:
            self.broken.append(f'{task} runs twice: {self._running[task]}')
        if task in self._acknowledged_done:
            self.broken.append(f'{task} starts again, though it was done')
        if task.job not in self.submitted:
            self.broken.append(f'{task} starts, though nobody submitted it')
        if runner in self.closed and not self.late:
            self.broken.append(f'{task} starts on {runner}, which is evacuated')
        # Whether an end counts is known when it is seen, if it ever is.
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

    def note_end(
        self, runner: RunnerId, task: TaskId, run: int, how: str
    ) -> None:
        """Note an end.

        :param runner: where.
        :param task: the task.
        :param run: number of the run.
        :param how: how it ended.
        """
        self._running[task].discard(RunLocation(runner, run))
        self._used[runner].pop(task, None)
        if how == Ending.DONE:
            self.done[task.job].add(task)
            self._unacknowledged_done[task].add(RunLocation(runner, run))

    def note_crash(self, runner: RunnerId) -> None:
        """Note that nobody can take note of a runner's ends any more.

        :param runner: the runner; another life may have its id.
        """
        for places in self._unacknowledged_done.values():
            places -= {place for place in places if place.runner == runner}
        self._superseded = {
            item for item in self._superseded if item[1].runner != runner
        }

    def note_time(self, accelerators: int, passed_ms: int) -> None:
        """Note that a run holds accelerators.

        :param accelerators: how many.
        :param passed_ms: for how long.
        """
        self.accelerator_ms += accelerators * passed_ms

    def note_acknowledged(
        self, runner: RunnerId, task: TaskId, run: int, ending: Ending
    ) -> None:
        """Note that the scheduler has taken note of an end.

        :param runner: where.
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
        """Note that a job was shown as complete.

        :param job: the job.
        :param units: its tasks, and its gangs, of which the done end of one
            member stands for all.
        """
        missing = [unit for unit in units if unit.isdisjoint(self.done[job])]
        if missing:
            self.broken.append(f'{job} is complete without {missing}')

    def running_of(self, job: JobId) -> list[TaskId]:
        """List the tasks of a job that run now.

        :param job: the job.
        :returns: its tasks.
        """
        return [
            task
            for task, places in self._running.items()
            if task.job == job and places
        ]
