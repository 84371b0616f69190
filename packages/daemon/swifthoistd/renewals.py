"""Renewal of the leases of running parts, shared by all instances.

Each worker is renewed by one live instance, chosen by rendezvous hashing, so
the work is divided without a coordinator and goes on through an outage of
the log and the death of the cell's holder. A renewal extends what is
granted; it can neither grant nor revive.
"""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeAlias

import anyio
import xxhash
from thrift.Thrift import TException

from swifthoist_core.clock import Clock
from swifthoist_core.errors import SwifthoistError, UnreachableError
from swifthoist_core.jobs import Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.types import InstanceId, Millis, WorkerId
from swifthoist_platform.orders import PartKey, RenewOrder
from swifthoistd.commands import Commands
from swifthoistd.members import Members
from swifthoistd.parts import ENDED, WorkerAnswer

RENEW_S = 1.0
"""Time for one renewal, in seconds."""

MAX_PARALLEL = 64
"""Renewals under way at the same time."""

ROUNDS_PER_LEASE = 3
"""How often a lease is renewed before it would lapse."""

PAUSE_PER_WORKER_MS = 150
"""Pause between rounds for each busy worker of the share, in ms; it bounds
the processor time that renewals take, whatever the share."""

MIN_PAUSE_MS = 250
"""Least pause between two rounds, in ms."""

IDLE_ROUNDS_PER_LEASE = 2
"""How often a worker without parts is asked in the time of a lease."""

_MS_PER_S = 1_000
_log = logging.getLogger(__name__)

Report: TypeAlias = Callable[[tuple[WorkerAnswer, ...]], Awaitable[None]]


def renewer_of(worker: WorkerId, instances: Iterable[InstanceId]) -> InstanceId:
    """Choose the instance that renews a worker's leases.

    :param worker: the worker.
    :param instances: ids of the live instances, at least one.
    :returns: the one with the greatest hash.
    """
    return max(
        instances,
        key=lambda instance: xxhash.xxh64_intdigest(
            f'{instance}/{worker}'.encode()
        ),
    )


class Renewals:
    """Renews the leases of this instance's share of the workers."""

    def __init__(
        self,
        ledger: Ledger,
        members: Members,
        commands: Commands,
        clock: Clock,
        lease_ms: Millis,
        report: Report,
    ) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param members: the other instances.
        :param commands: gives the clients of workers.
        :param clock: clocks of the machine.
        :param lease_ms: lease of a running part, in ms.
        :param report: takes the workers' answers to the cell's holder.
        """
        self._ledger = ledger
        self._members = members
        self._commands = commands
        self._clock = clock
        self._lease_ms = lease_ms
        self._report = report
        self._limiter = anyio.Semaphore(MAX_PARALLEL)
        self._sent: dict[WorkerId, frozenset[PartKey]] = {}
        self._due_ms: dict[WorkerId, Millis] = {}
        self._busy = 0

    async def run(self) -> None:
        """Renew, for as long as the instance lives."""
        while True:
            started_ms = self._clock.boot_ms()
            await self.renew_round()
            spent_ms = self._clock.boot_ms() - started_ms
            pause_ms = self._pause_ms() - spent_ms
            await anyio.sleep(max(pause_ms, MIN_PAUSE_MS) / _MS_PER_S)

    async def renew_round(self) -> None:
        """Renew each worker of this instance's share that is due."""
        if self._is_behind():
            _log.warning('renews nothing while behind the others')
            return
        leases = self._leases()
        answers: list[WorkerAnswer] = []
        due = self._due_workers(leases)
        async with anyio.create_task_group() as group:
            for worker in due:
                keys = leases.get(worker, ())
                group.start_soon(self._renew, worker, keys, answers)
        if answers:
            await self._pass_on(tuple(answers))

    def _pause_ms(self) -> float:
        """Few busy workers are asked often, so that the end of a job is
        seen soon; with many the leases alone set the pace."""
        return min(
            self._busy * PAUSE_PER_WORKER_MS,
            self._lease_ms / ROUNDS_PER_LEASE,
        )

    def _due_workers(
        self, leases: dict[WorkerId, tuple[PartKey, ...]]
    ) -> list[WorkerId]:
        """Choose the workers with leases or with ended parts to settle, and
        those that have not been asked for long."""
        now_ms = self._clock.boot_ms()
        idle_ms = self._lease_ms // IDLE_ROUNDS_PER_LEASE
        share = self._share()
        busy = {
            worker
            for worker in share
            if worker in leases or self._sent.get(worker)
        }
        due = [
            worker
            for worker in share
            if worker in busy or self._due_ms.get(worker, 0) <= now_ms
        ]
        self._due_ms.update(dict.fromkeys(due, now_ms + idle_ms))
        self._busy = len(busy)
        return due

    async def _pass_on(self, answers: tuple[WorkerAnswer, ...]) -> None:
        try:
            await self._report(answers)
        except (SwifthoistError, TException) as exc:
            _log.info('report not passed on', extra={'error': str(exc)})

    def _is_behind(self) -> bool:
        """Tell whether others know of records that are not folded here.

        Such a record may have stopped a part, and only then can a renewal
        do harm; while the log is down nobody is ahead.
        """
        lag = self._members.newest_offset() - self._ledger.offset
        return lag > 0 and self._ledger.time_ms + self._lease_ms < (
            self._clock.wall_ms()
        )

    def _share(self) -> tuple[WorkerId, ...]:
        live = self._members.live_ids()
        me = self._members.me.instance
        return tuple(
            spec.worker
            for spec in self._ledger.fleet.specs()
            if renewer_of(spec.worker, live) == me
        )

    def _leases(self) -> dict[WorkerId, tuple[PartKey, ...]]:
        leases: dict[WorkerId, list[PartKey]] = {}
        for job in self._ledger.jobs.open_jobs():
            if job.status not in {Status.STARTING, Status.RUNNING}:
                continue
            for index, part in enumerate(job.parts):
                key = PartKey(job.spec.job_id, job.attempt, index)
                leases.setdefault(part.worker, []).append(key)
        return {worker: tuple(keys) for worker, keys in leases.items()}

    async def _renew(
        self,
        worker: WorkerId,
        keys: tuple[PartKey, ...],
        answers: list[WorkerAnswer],
    ) -> None:
        client = self._commands.client(worker)
        if client is None:
            return
        ended = self._sent.get(worker, frozenset())
        forget = tuple(key for key in ended if self._is_settled(key))
        order = RenewOrder(
            self._ledger.cell.state.epoch, keys, self._lease_ms, forget
        )
        async with self._limiter:
            try:
                states = await client.renew(order, RENEW_S)
            except (SwifthoistError, UnreachableError):
                answers.append(WorkerAnswer(worker, False, ()))
                return
        self._sent[worker] = frozenset(
            state.key for state in states if state.state in ENDED
        )
        answers.append(WorkerAnswer(worker, True, states))

    def _is_settled(self, key: PartKey) -> bool:
        job = self._ledger.jobs.get(key.job_id)
        return job is None or job.attempt != key.attempt or not job.parts
