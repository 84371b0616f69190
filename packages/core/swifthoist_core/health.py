"""Evidence against workers that fail everything they start."""

from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, OwnerId, WorkerId

OWNERS_NEEDED = 2
"""Jobs of so many owners must have failed on a worker."""

JOBS_NEEDED = 3
"""So many jobs must have failed on a worker since one was done on it."""

ASIDE_MS = 60_000
"""How long a worker is set aside at first, in ms."""

MOST_ASIDE_MS = 3_600_000
"""How long it is set aside at most, in ms."""

MOST_SHARE = 4
"""At most one worker in so many is set aside at a time."""


class Failure(NamedTuple):
    """A job that failed on a worker.

    :ivar job_id: the job.
    :ivar owner: its owner.
    """

    job_id: JobId
    owner: OwnerId


class Suspicion(NamedTuple):
    """What speaks against a worker.

    :ivar failures: jobs that failed since the last one that was done.
    :ivar times: how often it was set aside since then.
    :ivar until_ms: log time until which it is set aside, 0 if it is not.
    """

    failures: tuple[Failure, ...] = ()
    times: int = 0
    until_ms: Millis = 0

    @property
    def is_strong(self) -> bool:
        """Whether it is enough to set the worker aside."""
        if self.times and self.failures:
            return True
        owners = {failure.owner for failure in self.failures}
        enough = len(self.failures) >= JOBS_NEEDED
        return enough and len(owners) >= OWNERS_NEEDED


class Health:
    """The aggregate of suspicions, by worker."""

    def __init__(self) -> None:
        """Start with none."""
        self._suspicions: dict[WorkerId, Suspicion] = {}
        self._aside: dict[WorkerId, Millis] = {}

    def aside(self) -> tuple[tuple[WorkerId, Millis], ...]:
        """Workers that are set aside, and until which log time."""
        return tuple(sorted(self._aside.items()))

    def failed(
        self, worker: WorkerId, failure: Failure, time_ms: Millis, workers: int
    ) -> bool:
        """Note that a job failed on a worker.

        :param worker: the worker.
        :param failure: the job.
        :param time_ms: log time now.
        :param workers: how many workers there are.
        :returns: whether the worker must be set aside now.
        """
        seen = self._suspicions.get(worker, Suspicion())
        if failure not in seen.failures:
            failures = (*seen.failures, failure)
            seen = seen._replace(failures=failures)
        self._suspicions[worker] = seen
        room = len(self._aside) < max(1, workers // MOST_SHARE)
        if worker in self._aside or not seen.is_strong or not room:
            return False
        pause_ms = min(ASIDE_MS << seen.times, MOST_ASIDE_MS)
        until_ms = time_ms + pause_ms
        times = seen.times + 1
        seen = seen._replace(times=times, until_ms=until_ms)
        self._suspicions[worker] = seen
        self._aside[worker] = until_ms
        return True

    def passed(self, worker: WorkerId) -> None:
        """Note that a job was done on a worker.

        :param worker: the worker.
        """
        if worker not in self._aside:
            self._suspicions.pop(worker, None)

    def acquit(self, job_id: JobId) -> tuple[WorkerId, ...]:
        """Drop the evidence of a job that fails on every worker.

        :param job_id: the job.
        :returns: workers that need no longer be set aside.
        """
        freed: list[WorkerId] = []
        for worker, seen in sorted(self._suspicions.items()):
            left = tuple(
                failure for failure in seen.failures if failure.job_id != job_id
            )
            if left == seen.failures:
                continue
            times = seen.times if left else 0
            cleared = seen._replace(failures=left, times=times)
            self._suspicions[worker] = cleared
            weak = not cleared._replace(times=0).is_strong
            if worker in self._aside and weak and seen.times == 1:
                freed.append(worker)
                self.forget(worker)
        return tuple(freed)

    def due(self, time_ms: Millis) -> tuple[WorkerId, ...]:
        """Find the workers that are to be tried again.

        Each comes back on probation: what was held against it is dropped,
        but one more failure sets it aside for twice as long.

        :param time_ms: log time now.
        :returns: ids of the workers.
        """
        if not self._aside:
            return ()
        due = [
            worker
            for worker, until_ms in sorted(self._aside.items())
            if until_ms <= time_ms
        ]
        for worker in due:
            self._aside.pop(worker)
            times = self._suspicions[worker].times
            self._suspicions[worker] = Suspicion(times=times)
        return tuple(due)

    def forget(self, worker: WorkerId) -> None:
        """Drop what is known of a worker, when it is lost.

        :param worker: the worker.
        """
        self._suspicions.pop(worker, None)
        self._aside.pop(worker, None)
