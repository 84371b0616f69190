"""Log lines of runs: the members of a gang share one for each thing that happens.

What reasons runs were stopped for is kept until their job is over: the line
that tells of its end names them.
"""

import logging
from dataclasses import dataclass, field
from typing import TypeAlias

from swifthoist_core.clock import Clock
from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import Job, OpenRun
from swifthoist_engine.model import GANG_ORDINAL, TaskId, UnitId

GATHER_MS = 300
"""How long the line of a gang waits for what its other members have to tell, in
ms. Orders go to all members at once, and are answered within a call."""

MAX_JOBS = 10_000
"""Most jobs of which reasons are kept; those of the oldest are forgotten."""

MAX_REASONS = 64
"""Most reasons that are kept of one job; the oldest is forgotten."""

Attempted: TypeAlias = tuple[UnitId, int]
"""A unit, and the number of one of its runs."""

_Key: TypeAlias = tuple[object, ...]

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Gathered:
    """What members of a gang have told alike."""

    since_ms: Millis
    about: dict[str, object]
    runners: dict[int, RunnerId] = field(default_factory=dict)


class RunLines:
    """Writes what happens to runs."""

    def __init__(self, cell: Cell, clock: Clock) -> None:
        """Start without anything gathered.

        :param cell: tells which runs belong to gangs.
        :param clock: tells the time.
        """
        self._cell = cell
        self._clock = clock
        self._gathered: dict[_Key, _Gathered] = {}
        self._reasons: dict[JobId, dict[Attempted, str]] = {}

    def note(
        self,
        message: str,
        task: TaskId,
        run: int,
        runner: RunnerId,
        **about: object,
    ) -> None:
        """Write what happened to a run, together with its gang.

        :param message: what happened.
        :param task: the task.
        :param run: number of the run.
        :param runner: its runner.
        :param about: what else the line holds; members that differ in it don't
            share a line.
        """
        job = self._cell.find_job(task.job)
        if job is None or not _in_gang(job, task):
            names = _names(task, str(task.ordinal), run)
            _log.info(message, extra={**names, 'runner': runner, **about})
            return
        key = (message, *task[:3], run, *map(str, about.values()))
        if key not in self._gathered:
            names = _names(task, '*', run)
            now_ms = self._clock.boot_ms()
            self._gathered[key] = _Gathered(now_ms, {**names, **about})
        gathered = self._gathered[key]
        gathered.runners[task.ordinal] = runner
        if len(gathered.runners) == job.step(task).width:
            self._write(key)

    def note_stop(self, run: OpenRun, reason: str) -> None:
        """Write that a run is stopped, and keep why.

        :param run: the run.
        :param reason: why.
        """
        self.note(
            'stop', run.task, run.run, run.runner,
            epoch=run.epoch, reason=reason,
        )  # fmt: skip
        job = self._cell.find_job(run.task.job)
        if job is None or not _is_known(job, run.task):
            return
        reasons = self._reasons.setdefault(job.job, {})
        reasons.setdefault((job.unit_of(run.task), run.run), reason)
        if len(reasons) > MAX_REASONS:
            reasons.pop(next(iter(reasons)))
        if len(self._reasons) > MAX_JOBS:
            self._reasons.pop(next(iter(self._reasons)))

    def take_reasons(self, job: JobId) -> dict[Attempted, str]:
        """Take out why runs of a job were stopped.

        :param job: the job.
        :returns: reasons by unit and number of the run.
        """
        return self._reasons.pop(job, {})

    def flush(self, *, everything: bool = False) -> None:
        """Write lines of gangs that have waited for long enough.

        :param everything: write the others, too.
        """
        limit_ms = self._clock.boot_ms() - GATHER_MS
        for key, gathered in list(self._gathered.items()):
            if everything or gathered.since_ms <= limit_ms:
                self._write(key)

    def _write(self, key: _Key) -> None:
        gathered = self._gathered.pop(key)
        # The first part of the key is the message.
        about = {**gathered.about, 'runners': gathered.runners}
        _log.info(str(key[0]), extra=about)


def _names(task: TaskId, ordinal: str, run: int) -> dict[str, object]:
    return {
        'job': task.job,
        'task': f'{task.occurrence}.{task.step}.{ordinal}',
        'run': run,
    }


def _is_known(job: Job, task: TaskId) -> bool:
    return task.step < len(job.spec.steps)


def _in_gang(job: Job, task: TaskId) -> bool:
    return _is_known(job, task) and job.unit_of(task).ordinal == GANG_ORDINAL
