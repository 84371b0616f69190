"""One life of a runner: leases, fences, gangs, ends and checkpoints.

The runner carries out every valid order, even one that violates an invariant
of the scheduler; the checker records what it did.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import msgspec

from swifthoist_core.types import Millis, RunnerId
from swifthoist_emulator.checker import InvariantChecker
from swifthoist_engine.model import Resources, TaskId
from swifthoist_engine.records import Ending

LEASE_MAX_MS = 10_000
STOP_DELAY_MS = 200
GANG_TIMEOUT_MS = 3_000
CHECKPOINT_INTERVAL_MS = 500

SHRINK_GRACE_MS = 4_500
"""How long after a runner has shrunk its former capacity still counts, in ms."""

COLD_SLOWDOWN = 3
"""Factor by which a task takes longer on a cold runner."""

FULL_PACE_PERCENT = 100

BASE_TAIL_MS = 40
"""Tail latency of a serving task without filling tasks beside it, in ms."""

INTERFERENCE_MS = 80
"""Tail latency that a filling task at full pace adds, in ms."""

TAIL_TARGET_MS = 100
"""Target for the tail latency of a serving task, in ms."""

MAX_OVER_TARGET_MS = 4_000
"""How long filling tasks may keep a tail latency above its target, in ms."""


class StepWork(NamedTuple):
    """What a task of a step does, as callers write it into the payload.

    :ivar work_ms: duration of the work, in ms.
    :ivar need: its resources: processor, memory, accelerators.
    :ivar gang: size of its gang; 0 if it runs by itself.
    :ivar fails: it fails at its end.
    :ivar needs_ticket: a start needs a ticket from the queue's policy.
    :ivar lasting: it runs until it is stopped.
    :ivar serves: it serves users and has a tail latency.
    :ivar fills: it uses capacity that is left over, and slows down serving
        tasks on the same runner.
    :ivar crashes_ms: the first task of the step crashes its runner this long
        after each of its starts, in ms; None if it does not.
    """

    work_ms: Millis
    need: tuple[int, int, int]
    gang: int = 0
    fails: bool = False
    needs_ticket: bool = False
    lasting: bool = False
    serves: bool = False
    fills: bool = False
    crashes_ms: Millis | None = None


def write_payload(steps: tuple[StepWork, ...]) -> str:
    """Encode what the tasks of a job do.

    :param steps: the work of each step.
    :returns: the payload.
    """
    return msgspec.json.encode(steps).decode()


def read_payload(payload: str) -> tuple[StepWork, ...]:
    """Decode what the tasks of a job do.

    :param payload: a result of :func:`write_payload`.
    :returns: the work of each step.
    """
    return msgspec.json.decode(payload, type=tuple[StepWork, ...])


@dataclass(slots=True)
class TaskRun:
    """A run on a runner.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar work: the work of the task.
    :ivar saved: last checkpoint, loaded or written; empty for none.
    :ivar worked_ms: work done so far, in ms.
    :ivar started_ms: when it was started.
    :ivar stop_ms: when a requested stop takes effect; none without one.
    :ivar pace: share of full speed that it may use, in percent.
    :ivar present: all members of its gang have been started.
    :ivar over_ms: how long its tail latency has been above the target.
    """

    task: TaskId
    run: int
    work: StepWork
    saved: str
    worked_ms: float
    started_ms: Millis
    stop_ms: Millis | None = None
    pace: int = FULL_PACE_PERCENT
    present: bool = True
    over_ms: Millis = 0


class EndedRun(NamedTuple):
    """An ended run that the runner reports.

    :ivar number: number of the end.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar ending: how it ended.
    :ivar saved: its last checkpoint; empty for none.
    """

    number: int
    task: TaskId
    run: int
    ending: Ending
    saved: str


@dataclass(slots=True)
class Behavior:
    """Misbehavior of a runner.

    :ivar fails: every task fails.
    :ivar hangs: tasks make no progress.
    :ivar slowness: factor by which tasks take longer.
    """

    fails: bool = False
    hangs: bool = False
    slowness: float = 1.0


@dataclass(slots=True)
class Life:
    """One life of a runner.

    :ivar runner: its id.
    :ivar room: its capacity.
    :ivar checker: records what the runner does.
    :ivar behavior: its misbehavior.
    :ivar now_ms: time on its clock.
    :ivar fence: highest fence that it has accepted.
    :ivar until_ms: end of the lease, on its clock.
    :ivar runs: current runs by task.
    :ivar ends: ended runs that have not been acknowledged.
    :ivar over: it has crashed.
    :ivar reset: its process has crashed, which resets its connections.
    :ivar cold: it is slow for now.
    :ivar born_ms: its start, in ms since the Unix epoch; 0 if it is not
        reported.
    """

    runner: RunnerId
    room: Resources
    checker: InvariantChecker
    behavior: Behavior = field(default_factory=Behavior)
    now_ms: Millis = 0
    fence: int = 0
    until_ms: Millis = 0
    runs: dict[TaskId, TaskRun] = field(default_factory=dict)
    ends: list[EndedRun] = field(default_factory=list)
    over: bool = False
    reset: bool = False
    cold: bool = False
    born_ms: Millis = 0
    _max_barred_run: dict[TaskId, int] = field(default_factory=dict)
    _last_end: int = 0
    _last_void_end: int = 0
    _former_rooms: list[tuple[Millis, Resources]] = field(default_factory=list)

    def resize(self, room: Resources) -> None:
        """Change the capacity.

        :param room: the new capacity.
        """
        self._former_rooms.append((self.now_ms, self.room))
        self.room = room

    def advance(self, now_ms: Millis) -> None:
        """Advance the time: runs progress, leases and timeouts expire.

        :param now_ms: time on its clock.
        """
        passed_ms = max(now_ms - self.now_ms, 0)
        self.now_ms = max(now_ms, self.now_ms)
        for run in tuple(self.runs.values()):
            self.checker.note_time(run.work.need[2], passed_ms)
            self._do_work(run, passed_ms)
            self._check_tail_latency(run, passed_ms)
        for run, ending in tuple(self._find_ended()):
            self._end(run, ending)
        if self.now_ms > self.until_ms:
            # Ends not acknowledged before the lease expires are void, since the
            # tasks may start elsewhere from then on.
            self._last_void_end = self._last_end

    def accept_fence(self, fence: int) -> bool:
        """Check the fence of a call, and remember it.

        :param fence: the fence.
        :returns: false if a higher fence was accepted before.
        """
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def renew(self, until_ms: Millis) -> None:
        """Extend the lease of all runs; it is never shortened.

        :param until_ms: its new end, on the clock of the runner.
        """
        longest = self.now_ms + LEASE_MAX_MS
        self.until_ms = max(self.until_ms, min(until_ms, longest))

    def start(
        self, task: TaskId, run: int, payload: str, until_ms: Millis, saved: str
    ) -> str:
        """Start a run.

        :param task: the task.
        :param run: number of the run.
        :param payload: the payload of the job.
        :param until_ms: end of the lease.
        :param saved: checkpoint to resume from; empty for none.
        :returns: why it is refused; empty if the run is started or already there.
        """
        if until_ms <= self.now_ms:
            return 'late'
        self.renew(until_ms)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return ''
        if current is not None or run <= self._max_barred_run.get(task, 0):
            return 'old'
        work = read_payload(payload)[task.step]
        worked_ms = float(saved.split('.')[0]) if saved else 0
        self.runs[task] = TaskRun(
            task,
            run,
            work,
            saved,
            worked_ms,
            self.now_ms,
            present=work.gang < 2,
        )
        self.checker.note_start(
            self.runner, task, run, work.need, self._room_in_force()
        )
        return ''

    def stop(self, task: TaskId, run: int) -> None:
        """Stop a run, or keep it from starting later.

        :param task: the task.
        :param run: number of the run.
        """
        self._max_barred_run[task] = max(self._max_barred_run.get(task, 0), run)
        current = self.runs.get(task)
        if (
            current is not None
            and current.run == run
            and current.stop_ms is None
        ):
            current.stop_ms = self.now_ms + STOP_DELAY_MS

    def acknowledge(self, seen: int) -> None:
        """Drop the ends that the scheduler has recorded.

        :param seen: number of the newest recorded end.
        """
        noted = [end for end in self.ends if end.number <= seen]
        self.ends = [end for end in self.ends if end.number > seen]
        for end in noted:
            if end.number > self._last_void_end:
                self.checker.note_acknowledged(
                    self.runner, end.task, end.run, end.ending
                )

    def gauge(self, run: TaskRun) -> int:
        """Measure a run.

        :param run: the run.
        :returns: tail latency in ms for a serving task, otherwise the processor
            use in thousandths of a core; 0 before it has done any work.
        """
        if run.worked_ms <= 0:
            return 0
        if not run.work.serves:
            return run.work.need[0]
        filling = sum(it.pace for it in self.runs.values() if it.work.fills)
        return BASE_TAIL_MS + INTERFERENCE_MS * filling // FULL_PACE_PERCENT

    def crashing_task(self) -> TaskId | None:
        """Return the task that crashes the runner now; None if none does."""
        for run in self.runs.values():
            after_ms = run.work.crashes_ms
            if after_ms is None or run.task.ordinal:
                continue
            if run.present and self.now_ms - run.started_ms >= after_ms:
                return run.task
        return None

    def crash(self) -> None:
        """Crash: all runs are lost."""
        self.over = True
        for run in tuple(self.runs.values()):
            self.checker.note_lost(self.runner, run.task, run.run)
        self.checker.note_crash(self.runner)
        self.runs.clear()

    def _room_in_force(self) -> Resources:
        """Return the capacity by which starts are judged."""
        since_ms = self.now_ms - SHRINK_GRACE_MS
        rooms = [room for at_ms, room in self._former_rooms if at_ms > since_ms]
        return Resources(*map(max, zip(self.room, *rooms, strict=True)))

    def _check_tail_latency(self, run: TaskRun, passed_ms: Millis) -> None:
        over = run.work.serves and self.gauge(run) > TAIL_TARGET_MS
        run.over_ms = run.over_ms + passed_ms if over else 0
        if run.over_ms > MAX_OVER_TARGET_MS:
            self.checker.broken.append(
                f'{run.task} exceeds its tail latency for too long'
            )
            run.over_ms = 0

    def _do_work(self, run: TaskRun, passed_ms: Millis) -> None:
        if not run.present or self.behavior.hangs or run.stop_ms is not None:
            return
        slowness = COLD_SLOWDOWN if self.cold else self.behavior.slowness
        share = run.pace / FULL_PACE_PERCENT / slowness
        run.worked_ms += passed_ms * share
        steps = int(run.worked_ms // CHECKPOINT_INTERVAL_MS)
        if steps:
            run.saved = f'{steps * CHECKPOINT_INTERVAL_MS}.{run.task.job}'

    def _find_ended(self) -> Iterator[tuple[TaskRun, Ending]]:
        for run in self.runs.values():
            ending = self._ending_of(run)
            if ending is not None:
                yield run, ending

    def _ending_of(self, run: TaskRun) -> Ending | None:
        if run.stop_ms is not None and self.now_ms >= run.stop_ms:
            return Ending.STOPPED
        if self.now_ms > self.until_ms:
            return Ending.LAPSED
        if not run.present:
            late = self.now_ms > run.started_ms + GANG_TIMEOUT_MS
            return Ending.ALONE if late else None
        if run.work.lasting or run.worked_ms < run.work.work_ms:
            return None
        failed = run.work.fails or self.behavior.fails
        return Ending.FAILED if failed else Ending.DONE

    def _end(self, run: TaskRun, ending: Ending) -> None:
        self.runs.pop(run.task)
        self._max_barred_run[run.task] = max(
            self._max_barred_run.get(run.task, 0), run.run
        )
        self._last_end += 1
        row = EndedRun(self._last_end, run.task, run.run, ending, run.saved)
        self.ends.append(row)
        self.checker.note_end(self.runner, run.task, run.run, ending)

    def break_run(self, task: TaskId) -> None:
        """End a member of a gang because another member ended.

        :param task: the task.
        """
        run = self.runs.get(task)
        if run is not None:
            self._end(run, Ending.BROKEN)
