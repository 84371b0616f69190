"""The scheduler: what the holder of the cell does, epoch by epoch."""

import logging

import anyio
from anyio.abc import TaskGroup

from swifthoist_core import planner
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.jobs import PLACED, Job
from swifthoist_core.records import JobPlaced, JobReclaimed, Record
from swifthoist_core.types import Epoch, JobId
from swifthoistd.follower import Follower
from swifthoistd.gangs import COMMIT_S, GangRunner
from swifthoistd.journal import Journal
from swifthoistd.tenure import Tenure
from swifthoistd.worker_registry import WorkerRegistry

IDLE_S = 0.2
"""How long the scheduler waits for new records, in seconds."""

_log = logging.getLogger(__name__)


class Scheduler:
    """Plans, places and runs jobs while this instance holds the cell."""

    def __init__(
        self,
        follower: Follower,
        journal: Journal,
        tenure: Tenure,
        gangs: GangRunner,
        worker_registry: WorkerRegistry,
    ) -> None:
        """Wire the parts.

        :param follower: the reader of records.
        :param journal: the writer of records.
        :param tenure: whether this instance may decide.
        :param gangs: runs attempts.
        :param worker_registry: takes workers in and out.
        """
        self._follower = follower
        self._ledger = follower.ledger
        self._journal = journal
        self._tenure = tenure
        self._gangs = gangs
        self._worker_registry = worker_registry
        self._running: set[tuple[JobId, int]] = set()

    async def run(self) -> None:
        """Serve every epoch that this instance opens."""
        while True:
            if self._tenure.may_act():
                await self._serve_epoch(self._tenure.epoch)
            await self._wait()

    async def _serve_epoch(self, epoch: Epoch) -> None:
        _log.info('holds the cell', extra={'epoch': epoch})
        self._running.clear()
        async with anyio.create_task_group() as group:
            while self._still_holds(epoch):
                self._adopt(group, epoch)
                if not await self._decide(epoch):
                    await self._wait()
            # The next holder goes on with every attempt; whatever this one
            # still sends is refused by the workers.
            group.cancel_scope.cancel()
        _log.info('lost the cell', extra={'epoch': epoch})

    def _still_holds(self, epoch: Epoch) -> bool:
        author = self._journal.author
        return not self._ledger.cell.check(author, epoch)

    def _adopt(self, group: TaskGroup, epoch: Epoch) -> None:
        """Start a task for every attempt that has a place and no task."""
        for job in self._ledger.jobs.open_jobs():
            key = (job.spec.job_id, job.attempt)
            if job.status in PLACED and key not in self._running:
                self._running.add(key)
                group.start_soon(self._run_gang, epoch, job)

    async def _run_gang(self, epoch: Epoch, job: Job) -> None:
        await self._gangs.run(epoch, job)
        self._running.discard((job.spec.job_id, job.attempt))

    async def _decide(self, epoch: Epoch) -> bool:
        """Decide what comes next.

        :returns: whether anything was decided.
        """
        if not self._tenure.may_act():
            return False
        decided: list[Record] = list(self._worker_registry.decide(epoch))
        decided.extend(
            _record_of(epoch, decision)
            for decision in planner.plan(self._ledger)
        )
        for record in decided:
            # What comes behind a decision that was rejected was planned on
            # a state that did not come about.
            if not await self._commit(record):
                return False
        return bool(decided)

    async def _commit(self, record: Record) -> bool:
        try:
            verdict = await self._journal.commit(record, COMMIT_S)
        except (LogUnavailableError, OutcomeUnknownError):
            return False
        if not verdict.accepted:
            _log.warning(
                'decision rejected',
                extra={
                    'kind': type(record).__name__,
                    'reason': verdict.reason,
                },
            )
        return verdict.accepted

    async def _wait(self) -> None:
        with anyio.move_on_after(IDLE_S):
            await self._follower.changed()


def _record_of(
    epoch: Epoch, decision: planner.Decision
) -> JobPlaced | JobReclaimed:
    match decision:
        case planner.Place(job_id, attempt, parts, lent):
            return JobPlaced(epoch, job_id, attempt, parts, lent)
        case planner.Reclaim(job_id, attempt, beneficiary):
            return JobReclaimed(epoch, job_id, attempt, beneficiary)
