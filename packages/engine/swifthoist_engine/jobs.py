"""Jobs with their units, open runs, attempts and state."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from swifthoist_core.types import Epoch, JobId, Millis, RunnerId
from swifthoist_engine.crashes import Crash, should_give_up
from swifthoist_engine.done_units import (
    KnownUnits,
    UnitKey,
    UnitNumbers,
    has_bit,
    has_unit,
    numbers_set,
    set_bit,
)
from swifthoist_engine.histories import Attempt, History
from swifthoist_engine.model import (
    GANG_ORDINAL,
    JobSpec,
    StepSpec,
    TaskId,
    UnitId,
)
from swifthoist_engine.progress import Progress, UnitStage
from swifthoist_engine.records import Started

MAX_REASON_CHARS = 80
"""Vanished runs keep at most this many characters of their reason."""


class JobState(StrEnum):
    """Job states as shown to callers."""

    QUEUED = 'queued'
    ACTIVE = 'active'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELED = 'canceled'

    @property
    def final(self) -> bool:
        """Whether no run of the job may start any more."""
        return self not in {JobState.QUEUED, JobState.ACTIVE}


@dataclass(slots=True)
class OpenRun:
    """A run that may still be on its runner.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar runner: runner on which it was started.
    :ivar epoch: epoch of the holder that started it.
    :ivar started_ms: time of the decision to start it.
    :ivar checkpoint: checkpoint from which it resumed; empty for a start from
        the beginning.
    :ivar sent: its start went to a runner that had just answered.
    """

    task: TaskId
    run: int
    runner: RunnerId
    epoch: Epoch
    started_ms: Millis
    checkpoint: str = ''
    sent: bool = False


@dataclass(slots=True)
class Unit:
    """State of a unit: a gang, or a single task, that is started as a whole.

    :ivar last_run: number of its newest run; 0 before the first.
    :ivar failures: number of runs that failed.
    :ivar failed_run: newest run that was counted as failed.
    :ivar done: whether a run ended as done.
    :ivar done_ms: time of that end.
    :ivar checkpoint: newest checkpoint; empty for none.
    :ivar open: open runs by the ordinal of their task.
    :ivar failed_on: runners that listed a failed end of it.
    :ivar idle_since_ms: time of the newest end of one of its runs.
    :ivar task_crashes: crashes of runners under each of its tasks that the task
        may have caused, by the ordinal of the task.
    """

    last_run: int = 0
    failures: int = 0
    failed_run: int = 0
    done: bool = False
    done_ms: Millis = 0
    checkpoint: str = ''
    open: dict[int, OpenRun] = field(default_factory=dict)
    failed_on: list[RunnerId] = field(default_factory=list)
    idle_since_ms: Millis = 0
    task_crashes: dict[int, list[Crash]] = field(default_factory=dict)

    @property
    def stage(self) -> UnitStage:
        """What the progress of its job depends on."""
        return UnitStage(self.done, bool(self.open), self.suspected)

    @property
    def suspected(self) -> bool:
        """Whether a runner has crashed that it may have caused."""
        return bool(self.task_crashes)

    @property
    def settled(self) -> bool:
        """Whether it is done, and nothing may come of it any more."""
        return self.done and not self.open and not self.suspected

    @property
    def to_give_up(self) -> bool:
        """Whether it must not start again, since it crashes its runners."""
        return any(map(should_give_up, self.task_crashes.values()))


_PACKED = UnitStage(done=True, open=False, suspected=False)


class _Derived:
    """What is derived from a job, and not stored with it."""

    __slots__ = ('_numbers', '_progress')

    _numbers: UnitNumbers
    _progress: Progress

    def forget_progress(self) -> None:
        """Derive the progress anew, since changes may have been missed."""
        if hasattr(self, '_progress'):
            del self._progress

    def _derive_numbers(self, steps: Sequence[StepSpec]) -> UnitNumbers:
        """Return the numbers of the units, which are derived once."""
        if not hasattr(self, '_numbers'):
            self._numbers = UnitNumbers(steps)
        return self._numbers

    def _derive(self, derive: Callable[[], Progress]) -> Progress:
        """Return the progress, which is derived once."""
        try:
            return self._progress
        except AttributeError:
            self._progress = derive()
            return self._progress


@dataclass(slots=True)
class Job(_Derived):
    """A job with the state of its units.

    :ivar spec: the job as accepted.
    :ivar units: units that were ever started, by occurrence, step and ordinal,
        but for those that are packed.
    :ivar started: whether any unit was started.
    :ivar canceled: whether a caller canceled it.
    :ivar failed: whether a unit used up its attempts.
    :ivar complete: whether every unit is done.
    :ivar finished_ms: time at which it reached its final state; 0 before.
    :ivar history: summary of its ended runs.
    :ivar packed: units that are done and of which nothing else is kept, a bit
        each.
    """

    spec: JobSpec
    units: dict[UnitKey, Unit] = field(default_factory=dict)
    started: bool = False
    canceled: bool = False
    failed: bool = False
    complete: bool = False
    finished_ms: Millis = 0
    history: History = field(default_factory=History)
    packed: bytearray = field(default_factory=bytearray)

    @property
    def job(self) -> JobId:
        """Id of the job."""
        return self.spec.job

    @property
    def state(self) -> JobState:
        """State as shown to callers."""
        if self.complete:
            return JobState.COMPLETE
        if self.canceled:
            return JobState.CANCELED
        if self.failed:
            return JobState.FAILED
        return JobState.ACTIVE if self.started else JobState.QUEUED

    @property
    def final(self) -> bool:
        """Whether no run of the job may start any more."""
        return self.complete or self.canceled or self.failed

    @property
    def occurrences(self) -> int:
        """Number of times its steps run."""
        schedule = self.spec.schedule
        return 1 if schedule is None else schedule.times

    @property
    def progress(self) -> Progress:
        """Which units may start, run or are done."""
        return self._derive(self._derive_progress)

    @property
    def numbers(self) -> UnitNumbers:
        """Numbers of its units."""
        return self._derive_numbers(self.spec.steps)

    def note_unit(self, unit_id: UnitId) -> None:
        """Process a change of a unit.

        :param unit_id: the unit.
        """
        unit = self.find_unit(unit_id)
        if unit is not None:
            self.progress.note(unit_id[1:], unit.stage)

    def pack(self, unit_id: UnitId) -> None:
        """Keep of a unit only that it is done, unless the job has no such unit.

        :param unit_id: the unit; it is settled.
        """
        key = unit_id[1:]
        if has_unit(self.spec, self.occurrences, key):
            set_bit(self.packed, self.numbers.number(key))
            self.units.pop(key, None)

    def _derive_progress(self) -> Progress:
        numbers = self.numbers
        known = KnownUnits(self.units, self.packed, numbers)
        progress = Progress(self.spec, self.occurrences, known, numbers)
        for key, unit in self.units.items():
            progress.note(key, unit.stage)
        for number in numbers_set(self.packed):
            progress.note(numbers.key(number), _PACKED)
        return progress

    def step(self, unit: UnitId | TaskId) -> StepSpec:
        """Return the step of a unit or task.

        :param unit: the unit or task.
        :returns: its step.
        """
        return self.spec.steps[unit.step]

    def unit_of(self, task: TaskId) -> UnitId:
        """Return the unit with which a task is started.

        :param task: the task.
        :returns: id of its gang, or of the task by itself.
        """
        index = GANG_ORDINAL if self.step(task).gang else task.ordinal
        return UnitId(task.job, task.occurrence, task.step, index)

    def find_unit(self, unit: UnitId) -> Unit | None:
        """Return the state of a unit.

        :param unit: id of the unit.
        :returns: its state; none if it was never started. Changes of a
            packed unit are not kept.
        """
        key = unit[1:]
        found = self.units.get(key)
        if found is not None or not self.packed:
            return found
        packed = has_bit(self.packed, self.numbers.number(key))
        return Unit(done=True) if packed else None

    def ensure_unit(self, unit: UnitId) -> Unit:
        """Return the state of a unit, creating it if needed.

        :param unit: id of the unit.
        :returns: its state.
        """
        return self.units.setdefault(unit[1:], self.find_unit(unit) or Unit())

    def task_done(self, task: TaskId) -> bool:
        """Return whether the unit of a task is done.

        :param task: the task.
        :returns: whether the unit is done, so that it needs no other run.
        """
        unit = self.find_unit(self.unit_of(task))
        return unit is not None and unit.done

    def step_done(self, occurrence: int, number: int) -> bool:
        """Return whether all units of a step are done.

        :param occurrence: number of the occurrence.
        :param number: number of the step.
        :returns: whether they are.
        """
        return self.progress.step_done((occurrence, number))

    def all_done(self) -> bool:
        """Return whether every unit of every occurrence is done."""
        return self.progress.complete

    def open_runs(self) -> Iterator[OpenRun]:
        """Yield the runs that may still be on their runners."""
        for key in self.progress.open:
            yield from self.units[key].open.values()

    def add_to_history(
        self, run: OpenRun, ending: str, at_ms: Millis, reason: str = ''
    ) -> None:
        """Add an ended run to the job's history.

        :param run: the run.
        :param ending: how it ended.
        :param at_ms: time at which its end was folded.
        :param reason: for a vanished run, why it is certain to be gone; else
            empty.
        """
        unit = self.find_unit(self.unit_of(run.task))
        self.history.add(
            Attempt(
                *run.task[1:],
                run.run,
                run.runner,
                ending,
                reason[:MAX_REASON_CHARS],
                run.started_ms,
                at_ms,
            ),
            gang=self.step(run.task).gang,
            needed=unit is None or not unit.done,
        )


def find_open_run(
    jobs: Mapping[JobId, Job], task: TaskId, run: int
) -> OpenRun | None:
    """Return an open run.

    :param jobs: the jobs by id.
    :param task: its task.
    :param run: number of the run.
    :returns: the run; none if it is not open.
    """
    job = jobs.get(task.job)
    if job is None or task.step >= len(job.spec.steps):
        return None
    unit = job.find_unit(job.unit_of(task))
    found = unit.open.get(task.ordinal) if unit else None
    return found if found and found.run == run else None


def open_runs_from(record: Started) -> dict[int, OpenRun]:
    """Create the open runs of a unit from the record of its start.

    :param record: the start.
    :returns: the runs by the ordinal of their task.
    """
    return {
        placed.ordinal: OpenRun(
            TaskId(*record.unit[:3], placed.ordinal),
            record.run,
            placed.runner,
            record.epoch,
            record.at_ms,
            record.checkpoint,
        )
        for placed in record.placements
    }
