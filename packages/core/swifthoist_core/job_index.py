"""Jobs by state, worker and owner, so that no decision goes through all."""

from typing import NamedTuple

from swifthoist_core.job_states import ENDED, Job, Status
from swifthoist_core.types import ClassName, JobId, Millis, OwnerId, WorkerId


class Load(NamedTuple):
    """Open jobs of one owner and class.

    :ivar waiting: how many wait for a place.
    :ivar placed: how many have one.
    """

    waiting: int = 0
    placed: int = 0


class LoadKey(NamedTuple):
    """What open jobs are counted by.

    :ivar owner: the team.
    :ivar class_name: class of work.
    """

    owner: OwnerId
    class_name: ClassName


class JobIndex:
    """What is derived from the jobs; it is built anew from them.

    :ivar waiting: jobs that wait, by the time when they began to.
    :ivar lent: jobs on lent places.
    :ivar by_worker: jobs with a part on a worker.
    """

    def __init__(self) -> None:
        """Start with no job."""
        self.waiting: dict[JobId, None] = {}
        self.lent: dict[JobId, None] = {}
        self.by_worker: dict[WorkerId, dict[JobId, None]] = {}
        self._ended: dict[JobId, Millis] = {}
        self._loads: dict[LoadKey, Load] = {}

    def put(self, before: Job | None, after: Job) -> None:
        """Note that a job changed.

        :param before: the job as it was, ``None`` if it is new.
        :param after: the job as it is.
        """
        if before is not None:
            self._take_out(before)
        job_id = after.spec.job_id
        if after.status is Status.WAITING:
            self.waiting[job_id] = None
        if after.lent:
            self.lent[job_id] = None
        for part in after.parts:
            self.by_worker.setdefault(part.worker, {})[job_id] = None
        if after.status in ENDED:
            self._ended[job_id] = after.changed_ms
        self._count(after, 1)

    def load(self, owner: OwnerId, class_name: ClassName) -> Load:
        """Count the open jobs of an owner and class.

        :param owner: the team.
        :param class_name: class of work.
        :returns: how many wait and how many have a place.
        """
        return self._loads.get(LoadKey(owner, class_name), Load())

    def ended_before(self, time_ms: Millis) -> list[JobId]:
        """Find the jobs that ended before a time.

        :param time_ms: log time.
        :returns: ids of the jobs.
        """
        found: list[JobId] = []
        for job_id, ended_ms in self._ended.items():
            if ended_ms >= time_ms:
                break
            found.append(job_id)
        return sorted(found)

    def forget(self, job_id: JobId) -> None:
        """Drop a job that ended.

        :param job_id: id of the job.
        """
        self._ended.pop(job_id, None)

    def _take_out(self, job: Job) -> None:
        job_id = job.spec.job_id
        self.waiting.pop(job_id, None)
        self.lent.pop(job_id, None)
        for part in job.parts:
            self.by_worker[part.worker].pop(job_id, None)
        self._count(job, -1)

    def _count(self, job: Job, by: int) -> None:
        key = LoadKey(job.spec.owner, job.spec.class_name)
        load = self._loads.get(key, Load())
        if job.status is Status.WAITING:
            self._loads[key] = load._replace(waiting=load.waiting + by)
        elif job.status not in ENDED:
            self._loads[key] = load._replace(placed=load.placed + by)
