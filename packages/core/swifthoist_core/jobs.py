"""Jobs: gangs that run whole or not at all."""

from swifthoist_core.job_book import JobBook
from swifthoist_core.job_states import ENDED as ENDED
from swifthoist_core.job_states import PLACED as PLACED
from swifthoist_core.job_states import Job as Job
from swifthoist_core.job_states import Status as Status
from swifthoist_core.records import (
    JobCancelled,
    JobEnded,
    JobPlaced,
    JobReclaimed,
    JobStarted,
    JobSubmitted,
)
from swifthoist_core.types import (
    JobId,
    Millis,
    Offset,
)

MAX_FAILURES = 3
"""An idempotent job that failed this often is not tried again."""


class Jobs(JobBook):
    """The aggregate of jobs; the fleet's room is settled by the ledger."""

    def demote(self, job_id: JobId) -> None:
        """Turn a guaranteed place into a lent one.

        :param job_id: a job whose guarantee was withdrawn.
        """
        job = self._jobs[job_id]
        if job.parts:
            self._put(job._replace(lent=True))

    def refuse(self, job_id: JobId, reason: str, time_ms: Millis) -> None:
        """Refuse a waiting job that can no longer run.

        :param job_id: id of the job.
        :param reason: why it cannot.
        :param time_ms: time of the log now.
        """
        job = self._jobs[job_id]
        refused = job._replace(status=Status.REFUSED, changed_ms=time_ms)
        self._put(refused._replace(reason=reason))

    def submit(
        self, record: JobSubmitted, time_ms: Millis, refusal: str
    ) -> str:
        """Take a job in.

        :param record: the submission.
        :param time_ms: time of the record in the log.
        :param refusal: why the job can never run, empty if it can.
        :returns: why the record is rejected, empty if accepted.
        """
        spec = record.spec
        if spec.job_id in self._jobs:
            return 'job already known'
        if (spec.owner, record.key) in self._keys:
            return 'key already used'
        status = Status.REFUSED if refusal else Status.WAITING
        self._keys[spec.owner, record.key] = spec.job_id
        self._put(
            Job(spec, record.key, status, time_ms, time_ms, reason=refusal)
        )
        return ''

    def check_place(self, record: JobPlaced) -> str:
        """Tell whether a job can take a place.

        :param record: the placement.
        :returns: why not, empty if it can.
        """
        job = self._jobs.get(record.job_id)
        if job is None or job.status is not Status.WAITING:
            return 'job does not wait'
        if record.attempt != job.attempt + 1:
            return 'stale attempt'
        if len(record.parts) != job.spec.shape.parts:
            return 'gang is not whole'
        if record.lent and not job.spec.idempotent:
            return 'a job that runs at most once takes no lent place'
        return ''

    def place(self, record: JobPlaced, time_ms: Millis, offset: Offset) -> None:
        """Give a waiting job the place that was checked.

        :param record: the placement.
        :param time_ms: time of the record in the log.
        :param offset: offset of the record.
        """
        job = self._jobs[record.job_id]
        self._put(
            job._replace(
                status=Status.STARTING,
                changed_ms=time_ms,
                attempt=record.attempt,
                parts=record.parts,
                lent=record.lent,
                offset=offset,
                reason='',
            )
        )

    def start(self, record: JobStarted, time_ms: Millis) -> str:
        """Note that every part runs.

        :param record: the start.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        job = self._current(record.job_id, record.attempt)
        if job is None or job.status is not Status.STARTING:
            return 'attempt is not starting'
        self._put(job._replace(status=Status.RUNNING, changed_ms=time_ms))
        return ''

    def check_reclaim(self, record: JobReclaimed) -> str:
        """Tell whether an attempt can be asked to stop.

        :param record: the reclaim.
        :returns: why not, empty if it can.
        """
        job = self._current(record.job_id, record.attempt)
        if job is None or job.status is Status.STOPPING:
            return 'attempt does not run'
        return '' if job.lent else 'place is not lent'

    def reclaim(
        self, record: JobReclaimed, time_ms: Millis, offset: Offset
    ) -> None:
        """Ask an attempt on a lent place to stop.

        :param record: the reclaim, which was checked.
        :param time_ms: time of the record in the log.
        :param offset: offset of the record.
        """
        job = self._jobs[record.job_id]
        self._put(
            job._replace(
                status=Status.STOPPING,
                changed_ms=time_ms,
                offset=offset,
                beneficiary=record.beneficiary,
                reason=f'place reclaimed for job {record.beneficiary}',
            )
        )

    def cancel(
        self, record: JobCancelled, time_ms: Millis, offset: Offset
    ) -> str:
        """Take a job back; one that has a place must stop first.

        :param record: the cancellation.
        :param time_ms: time of the record in the log.
        :param offset: offset of the record.
        :returns: why it is rejected, empty if accepted.
        """
        job = self._jobs.get(record.job_id)
        if job is None or job.spec.owner != record.owner:
            return 'unknown job'
        if job.status in ENDED:
            return 'job has ended'
        held = job.status in PLACED
        status = Status.STOPPING if held else Status.CANCELLED
        self._put(
            job._replace(
                status=status,
                changed_ms=time_ms,
                offset=offset if held else job.offset,
                cancelled=True,
                reason='cancelled by its owner',
            )
        )
        return ''

    def end(self, record: JobEnded, time_ms: Millis) -> str:
        """End an attempt; the job ends or waits again.

        :param record: the end.
        :param time_ms: time of the record in the log.
        :returns: why it is rejected, empty if accepted.
        """
        job = self._current(record.job_id, record.attempt)
        if job is None:
            return 'stale attempt'
        failures = job.failures + int(record.outcome == 'failed')
        banned = tuple(sorted({*job.banned, record.blamed} - {''}))
        after = job._replace(
            changed_ms=time_ms,
            parts=(),
            lent=False,
            failures=failures,
            banned=banned,
            beneficiary='',
        )
        status = _after_attempt(after, record)
        self._put(after._replace(status=status, reason=_reason(record)))
        return ''


def _after_attempt(job: Job, record: JobEnded) -> Status:
    if record.outcome == 'done':
        return Status.DONE
    if job.cancelled:
        return Status.CANCELLED
    ran = any(use.started_ms for use in record.usage)
    if record.outcome in {'unstarted', 'reclaimed'} and not ran:
        return Status.WAITING
    if not job.spec.idempotent:
        lost = record.outcome == 'lost'
        return Status.UNKNOWN if lost else Status.FAILED
    if job.failures >= MAX_FAILURES:
        return Status.FAILED
    return Status.WAITING


def _reason(record: JobEnded) -> str:
    if record.blamed:
        return f'{record.outcome} on worker {record.blamed}'
    return record.outcome
