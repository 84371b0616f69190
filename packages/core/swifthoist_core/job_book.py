"""Jobs as they are remembered, and the ways to look them up."""

from collections.abc import Iterator

from swifthoist_core.job_index import JobIndex, Load
from swifthoist_core.job_states import ENDED, PLACED, Job
from swifthoist_core.types import (
    ClassName,
    JobId,
    Millis,
    OwnerId,
    RequestKey,
    WorkerId,
)

KEEP_MS = 24 * 3_600_000
"""How long an ended job can be looked up, in ms of log time."""


class JobBook:
    """Jobs by id, key, state, worker and owner."""

    DERIVED = frozenset(('_index',))
    """What :meth:`rebuild` computes from the rest of the state."""

    def __init__(self) -> None:
        """Start with no job."""
        self._jobs: dict[JobId, Job] = {}
        self._keys: dict[tuple[OwnerId, RequestKey], JobId] = {}
        self._open: dict[JobId, None] = {}
        self._index = JobIndex()

    def rebuild(self) -> None:
        """Build what is derived anew, after the state was loaded."""
        self._index = JobIndex()
        by_change = sorted(self._jobs.values(), key=_last_change)
        for job in by_change:
            self._index.put(None, job)

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

    def waiting(self) -> Iterator[Job]:
        """Go through the jobs that wait for a place."""
        return (self._jobs[job_id] for job_id in self._index.waiting)

    def lent(self) -> Iterator[Job]:
        """Go through the jobs on lent places."""
        return (self._jobs[job_id] for job_id in self._index.lent)

    def on_worker(self, worker: WorkerId) -> tuple[Job, ...]:
        """List the jobs that have a part on a worker.

        :param worker: id of the worker.
        :returns: the jobs, by id.
        """
        ids = sorted(self._index.by_worker.get(worker, ()))
        return tuple(self._jobs[job_id] for job_id in ids)

    def load(self, owner: OwnerId, class_name: ClassName) -> Load:
        """Count the open jobs of an owner and class.

        :param owner: the team.
        :param class_name: class of work.
        :returns: how many wait and how many have a place.
        """
        return self._index.load(owner, class_name)

    def forget(self, time_ms: Millis) -> None:
        """Drop the jobs that ended long ago.

        :param time_ms: time of the log now.
        """
        old = [
            self._jobs[job_id]
            for job_id in self._index.ended_before(time_ms - KEEP_MS)
        ]
        for job in old:
            self._index.forget(job.spec.job_id)
            self._jobs.pop(job.spec.job_id)
            self._keys.pop((job.spec.owner, job.key), None)

    def _current(self, job_id: JobId, attempt: int) -> Job | None:
        job = self._jobs.get(job_id)
        if job is None or job.status not in PLACED:
            return None
        return job if job.attempt == attempt else None

    def _put(self, job: Job) -> None:
        self._index.put(self._jobs.get(job.spec.job_id), job)
        self._jobs[job.spec.job_id] = job
        if job.status in ENDED:
            self._open.pop(job.spec.job_id, None)
        else:
            self._open[job.spec.job_id] = None


def _last_change(job: Job) -> tuple[Millis, JobId]:
    return (job.changed_ms, job.spec.job_id)
