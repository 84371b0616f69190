"""Jobs: gangs that run whole or not at all."""

import enum
from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.records import (
    JobCancelled,
    JobEnded,
    JobPlaced,
    JobReclaimed,
    JobSpec,
    JobStarted,
    JobSubmitted,
    PartPlacement,
)
from swifthoist_core.types import JobId, Millis, Offset, OwnerId, RequestKey

MAX_FAILURES = 3
"""An idempotent job that failed this often is not tried again."""

KEEP_MS = 24 * 3_600_000
"""How long an ended job can be looked up, in ms of log time."""


class Status(enum.StrEnum):
    """State of a job."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


ENDED = frozenset(
    (
        Status.DONE,
        Status.FAILED,
        Status.CANCELLED,
        Status.REFUSED,
        Status.UNKNOWN,
    )
)
PLACED = frozenset((Status.STARTING, Status.RUNNING, Status.STOPPING))


class Job(NamedTuple):
    """One job at an offset.

    :ivar spec: the job as its owner asked for it.
    :ivar key: its idempotency key.
    :ivar status: its state.
    :ivar submitted_ms: log time of its submission.
    :ivar changed_ms: log time of its last change.
    :ivar attempt: number of the latest attempt, 0 before the first.
    :ivar parts: its place while it has one.
    :ivar lent: whether that place can be reclaimed.
    :ivar offset: offset of the record that gave its place or took it.
    :ivar failures: attempts that failed.
    :ivar banned: workers on which it failed.
    :ivar reason: why it waits or ended so.
    :ivar beneficiary: the job for which its place is reclaimed.
    :ivar cancelled: whether the owner took it back.
    """

    spec: JobSpec
    key: RequestKey
    status: Status
    submitted_ms: Millis
    changed_ms: Millis
    attempt: int = 0
    parts: tuple[PartPlacement, ...] = ()
    lent: bool = False
    offset: Offset = 0
    failures: int = 0
    banned: tuple[str, ...] = ()
    reason: str = ''
    beneficiary: JobId = ''
    cancelled: bool = False


class Jobs:
    """The aggregate of jobs; the fleet's room is settled by the ledger."""

    def __init__(self) -> None:
        """Start with no job."""
        self._jobs: dict[JobId, Job] = {}
        self._keys: dict[tuple[OwnerId, RequestKey], JobId] = {}
        self._open: dict[JobId, None] = {}

    def get(self, job_id: JobId) -> Job | None:
        """Find a job.

        :param job_id: id of the job.
        :returns: the job, or ``None``.
        """
        return self._jobs.get(job_id)

    def by_key(self, owner: OwnerId, key: RequestKey) -> Job | None:
        """Find the job that an owner submitted under a key.

        :param owner: the team.
        :param key: the idempotency key.
        :returns: the job, or ``None``.
        """
        job_id = self._keys.get((owner, key))
        return self._jobs.get(job_id) if job_id is not None else None

    def open_jobs(self) -> Iterator[Job]:
        """Go through the jobs that have not ended, by submission."""
        return (self._jobs[job_id] for job_id in tuple(self._open))

    def all_jobs(self) -> Iterator[Job]:
        """Go through every job that is remembered, by submission."""
        return iter(tuple(self._jobs.values()))

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

    def reclaim(
        self, record: JobReclaimed, time_ms: Millis, offset: Offset
    ) -> str:
        """Ask an attempt on a lent place to stop.

        :param record: the reclaim.
        :param time_ms: time of the record in the log.
        :param offset: offset of the record.
        :returns: why it is rejected, empty if accepted.
        """
        job = self._current(record.job_id, record.attempt)
        if job is None or job.status is Status.STOPPING:
            return 'attempt does not run'
        if not job.lent:
            return 'place is not lent'
        self._put(
            job._replace(
                status=Status.STOPPING,
                changed_ms=time_ms,
                offset=offset,
                beneficiary=record.beneficiary,
                reason=f'place reclaimed for job {record.beneficiary}',
            )
        )
        return ''

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

    def forget(self, time_ms: Millis) -> None:
        """Drop the jobs that ended long ago.

        :param time_ms: time of the log now.
        """
        old = [
            job
            for job in self._jobs.values()
            if job.status in ENDED and job.changed_ms + KEEP_MS < time_ms
        ]
        for job in old:
            self._jobs.pop(job.spec.job_id)
            self._keys.pop((job.spec.owner, job.key), None)

    def _current(self, job_id: JobId, attempt: int) -> Job | None:
        job = self._jobs.get(job_id)
        if job is None or job.status not in PLACED:
            return None
        return job if job.attempt == attempt else None

    def _put(self, job: Job) -> None:
        self._jobs[job.spec.job_id] = job
        if job.status in ENDED:
            self._open.pop(job.spec.job_id, None)
        else:
            self._open[job.spec.job_id] = None


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
