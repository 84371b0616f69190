"""Log lines of runs; the members of a gang share one line for each event.

The reasons of stops are kept until the job is finished, for its log line.
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
"""How long the line of a gang waits for events of its other members, in ms.
Orders go to all members at once and are answered within one call."""

MAX_JOBS = 10_000
"""Maximum number of jobs with stored reasons; the oldest are dropped."""

MAX_REASONS = 64
"""Maximum number of reasons stored for a job; the oldest are dropped."""

UnitRun: TypeAlias = tuple[UnitId, int]
"""A unit and the number of one of its runs."""

_Key: TypeAlias = tuple[object, ...]

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class _PendingLine:
    """A line that waits for events of further members of a gang."""

    since_ms: Millis
    fields: dict[str, object]
    runners: dict[int, RunnerId] = field(default_factory=dict)


class RunLines:
    """Logs events of runs."""

    def __init__(self, cell: Cell, clock: Clock) -> None:
        """Create a logger with no pending lines.

        :param cell: the folded state; shows which runs belong to gangs.
        :param clock: source of the time.
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
        """Log an event of a run, in one line with those of its gang.

        A line that can't be written holds up nothing else.

        :param message: message of the line.
        :param task: the task.
        :param run: number of the run.
        :param runner: its runner.
        :param fields: further fields of the line; members that differ in them
            don't share a line.
        """
        try:
            self._note(message, task, run, runner, fields)
        except Exception:
            _log.exception('line of a run failed', extra={'job': task.job})

    def _note(
        self,
        message: str,
        task: TaskId,
        run: int,
        runner: RunnerId,
        fields: dict[str, object],
    ) -> None:
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
        """Log the stop of a run and store its reason.

        :param run: the run.
        :param reason: why it is stopped.
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
        """Remove and return the reasons of stops of a job.

        :param job: the job.
        :returns: reasons by unit and number of the run.
        """
        return self._reasons.pop(job, {})

    def flush(self, *, everything: bool = False) -> None:
        """Write pending lines of gangs that have waited long enough.

        :param everything: write the other pending lines, too.
        """
        limit_ms = self._clock.boot_ms() - GANG_LINE_DELAY_MS
        for key, line in list(self._pending.items()):
            if everything or line.since_ms <= limit_ms:
                self._write(key)

    def _write(self, key: _Key) -> None:
        line = self._pending.pop(key)
        # The first element of the key is the message.
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
