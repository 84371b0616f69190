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

GANG_LINE_DELAY_MS = 300
"""How long the line of a gang waits for what its other members have to tell, in
ms. Orders go to all members at once, and are answered within a call."""

MAX_JOBS = 10_000
"""Most jobs of which reasons are kept; those of the oldest are forgotten."""

MAX_REASONS = 64
"""Most reasons that are kept of one job; the oldest is forgotten."""

UnitRun: TypeAlias = tuple[UnitId, int]
"""A unit, and the number of one of its runs."""

_Key: TypeAlias = tuple[object, ...]

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _PendingLine:
    """What members of a gang have told alike."""

    since_ms: Millis
    fields: dict[str, object]
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
        self._pending: dict[_Key, _PendingLine] = {}
        self._reasons: dict[JobId, dict[UnitRun, str]] = {}

    def note(
        self,
        message: str,
        task: TaskId,
        run: int,
        runner: RunnerId,
        **fields: object,
    ) -> None:
        """Write what happened to a run, together with its gang.

        :param message: what happened.
        :param task: the task.
        :param run: number of the run.
        :param runner: its runner.
        :param fields: what else the line holds; members that differ in it don't
            share a line.
        """
        job = self._cell.find_job(task.job)
        if job is None or not _in_gang(job, task):
            run_fields = _run_fields(task, str(task.ordinal), run)
            _log.info(message, extra={**run_fields, 'runner': runner, **fields})
            return
        key = (message, *task[:3], run, *map(str, fields.values()))
        if key not in self._pending:
            run_fields = _run_fields(task, '*', run)
            now_ms = self._clock.boot_ms()
            self._pending[key] = _PendingLine(now_ms, {**run_fields, **fields})
        line = self._pending[key]
        line.runners[task.ordinal] = runner
        if len(line.runners) == job.step(task).width:
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

    def take_reasons(self, job: JobId) -> dict[UnitRun, str]:
        """Take out why runs of a job were stopped.

        :param job: the job.
        :returns: reasons by unit and number of the run.
        """
        return self._reasons.pop(job, {})

    def flush(self, *, everything: bool = False) -> None:
        """Write lines of gangs that have waited for long enough.

        :param everything: write the others, too.
        """
        limit_ms = self._clock.boot_ms() - GANG_LINE_DELAY_MS
        for key, line in list(self._pending.items()):
            if everything or line.since_ms <= limit_ms:
                self._write(key)

    def _write(self, key: _Key) -> None:
        line = self._pending.pop(key)
        # The first part of the key is the message.
        fields = {
            **line.fields,
            'runners': line.runners,
            'ago_ms': self._clock.boot_ms() - line.since_ms,
        }
        _log.info(str(key[0]), extra=fields)


def _run_fields(task: TaskId, ordinal: str, run: int) -> dict[str, object]:
    return {
        'job': task.job,
        'task': f'{task.occurrence}.{task.step}.{ordinal}',
        'run': run,
    }


def _is_known(job: Job, task: TaskId) -> bool:
    return task.step < len(job.spec.steps)


def _in_gang(job: Job, task: TaskId) -> bool:
    return _is_known(job, task) and job.unit_of(task).ordinal == GANG_ORDINAL
