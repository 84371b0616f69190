"""One log line for each finished job: how it ended and what it lost.

The folded state has the outcomes of its runs, no matter which instances held
the cell. The reasons of stops are known only to the holder that ordered them.
"""

import logging
from collections.abc import Mapping

from swifthoist_core.types import JobId, Millis
from swifthoist_engine.histories import Attempt
from swifthoist_engine.jobs import Job
from swifthoist_engine.records import Ending
from swifthoist_instance.follower import Follower
from swifthoist_instance.run_lines import RunLines, UnitRun

JOB_OVER = 'job over'
"""Message of the line."""

MAX_OPEN_WAIT_MS = 3_000
"""How long a line waits for the ends of open runs, in ms: their stops are
carried out, or their leases expire, within a few seconds."""

REPEAT_WINDOW_MS = 6_000
"""A new holder logs jobs again that had been finished for less than this when
it claimed the cell, in ms: the former holder may still have been waiting for
open runs, and its loss was not noticed at once."""

UNKNOWN_REASON = 'ordered by an earlier holder'

_log = logging.getLogger(__name__)


class JobLines:
    """Logs finished jobs during one tenure."""

    def __init__(self, follower: Follower, lines: RunLines) -> None:
        """Find the jobs that the former holder may not have logged.

        :param follower: folds the log.
        :param lines: keeps the reasons of stops.
        """
        self._follower = follower
        self._lines = lines
        state = follower.cell.state
        limit_ms = state.claimed_ms - REPEAT_WINDOW_MS
        follower.cell.finished.clear()
        self._again = frozenset(
            job.job for job in state.jobs.values() if job.finished_ms > limit_ms
        )
        self._waiting = list(self._again)

    def write_finished(self) -> None:
        """Write the lines of finished jobs that don't have to wait for runs."""
        finished = self._follower.cell.finished
        while finished:
            self._waiting.append(finished.popleft())
        late_ms = self._follower.time.now_ms() - MAX_OPEN_WAIT_MS
        self._waiting = [
            name for name in self._waiting if not self._try_write(name, late_ms)
        ]

    def _try_write(self, name: JobId, late_ms: Millis) -> bool:
        """Write the line of a job unless it has to wait; drop it if it fails."""
        try:
            return self._write_line(name, late_ms)
        except Exception:
            _log.exception('line of a job failed', extra={'job': name})
            return True

    def _write_line(self, name: JobId, late_ms: Millis) -> bool:
        """Write the line of a job, unless it has to wait."""
        job = self._follower.cell.find_job(name)
        if job is None:
            return True
        open_runs = sum(1 for _ in job.open_runs())
        if open_runs and job.finished_ms > late_ms:
            return False
        fields = describe_end(job, self._lines.take_reasons(name))
        fields['open'] = open_runs
        if name in self._again:
            fields['again'] = True
        _log.info(JOB_OVER, extra=fields)
        return True


def describe_end(job: Job, reasons: Mapping[UnitRun, str]) -> dict[str, object]:
    """Describe a job and the outcomes of its runs.

    :param job: the job.
    :param reasons: known reasons of stops, by unit and run.
    :returns: fields of its line; durations in ms, points in time in ms since
        acceptance.
    """
    spec = job.spec
    history = job.history
    began_ms = history.began_ms
    lost = [_describe(job, attempt, reasons) for attempt in history.lost]
    longest = history.longest
    return {
        'job': job.job,
        'outcome': job.state.value,
        'team': spec.team,
        'queue': spec.queue,
        'tasks': job.occurrences * sum(step.width for step in spec.steps),
        'took_ms': job.finished_ms - spec.accepted_ms if job.final else None,
        'waited_ms': began_ms - spec.accepted_ms if began_ms else None,
        'ends': {how: it.runs for how, it in history.tallies.items()},
        'ran_ms': {how: it.ran_ms for how, it in history.tallies.items()},
        'lost': lost,
        'lost_omitted': history.omitted,
        'longest': longest and _describe(job, longest, reasons),
    }


def _describe(
    job: Job, attempt: Attempt, reasons: Mapping[UnitRun, str]
) -> dict[str, object]:
    accepted_ms = job.spec.accepted_ms
    ordinal = str(attempt.ordinal)
    fields: dict[str, object] = {
        'task': f'{attempt.occurrence}.{attempt.step}.{ordinal}',
        'run': attempt.run,
        'runner': attempt.runner,
        'end': attempt.ending,
        'from_ms': attempt.began_ms - accepted_ms,
        'to_ms': attempt.ended_ms - accepted_ms,
    }
    if attempt.members > 1:
        fields['members'] = attempt.members
    if attempt.reason:
        fields['reason'] = attempt.reason
    unit = job.unit_of(attempt.task_of(job.job))
    stopped = UNKNOWN_REASON if attempt.ending == Ending.STOPPED else ''
    stopped = reasons.get((unit, attempt.run), stopped)
    if stopped and attempt.ending != Ending.FAILED:
        fields['stopped_for'] = stopped
    return fields
