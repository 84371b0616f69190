"""One log line for each job that is over: how it ended, and what it lost.

The fold keeps what became of its runs, so it doesn't matter who held the cell
meanwhile. Why runs were stopped is known to the holder that stopped them.
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
"""How long the line waits for the ends of runs that are still open, in ms: their
stops are carried out, or their leases end, within a few seconds."""

REPEAT_WINDOW_MS = 6_000
"""Jobs that were over for less than this when the cell was claimed are told of
again by the new holder, in ms: the one before may have waited for open runs,
and nobody noticed its loss at once."""

UNKNOWN_REASON = 'ordered by an earlier holder'

_log = logging.getLogger(__name__)


class JobLines:
    """Writes the lines of one tenure."""

    def __init__(self, follower: Follower, lines: RunLines) -> None:
        """Look at what the holder before may not have told.

        :param follower: folds the log.
        :param lines: knows why runs were stopped.
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
        """Write the lines of jobs that are over, once nothing of them runs."""
        finished = self._follower.cell.finished
        while finished:
            self._waiting.append(finished.popleft())
        late_ms = self._follower.time.now_ms() - MAX_OPEN_WAIT_MS
        self._waiting = [
            name
            for name in self._waiting
            if not self._write_line(name, late_ms)
        ]

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
    """Describe a job and what became of its runs.

    :param job: the job.
    :param reasons: why runs were stopped, as far as is known.
    :returns: what its line says; times in ms, and moments since acceptance.
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
