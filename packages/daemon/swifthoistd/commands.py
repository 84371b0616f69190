"""Commands of the cell's holder to the workers of a gang, all at a time."""

from collections.abc import Sequence
from typing import NamedTuple

import anyio
import httpx

from swifthoist_core.errors import (
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
    WorkerRefusedError,
)
from swifthoist_core.jobs import Job
from swifthoist_core.ledger import Ledger
from swifthoist_core.types import Epoch, Millis, WorkerId
from swifthoist_platform import orders
from swifthoist_platform.workers import WorkerClient

CALL_S = 1.0
"""Time for one command, in seconds."""

HOLD_MS = 5_000
"""How long a part is held before it must be started, in ms."""


class Failure(NamedTuple):
    """A command that did not succeed.

    :ivar part: index of the part in the gang.
    :ivar worker: the worker.
    :ivar reason: why.
    :ivar applied: whether the command may have taken effect.
    """

    part: int
    worker: WorkerId
    reason: str
    applied: bool


class Sighting(NamedTuple):
    """What a worker says of a part when it is asked.

    :ivar part: index of the part in the gang.
    :ivar answered: whether the worker answered.
    :ivar state: the state; ``None`` if the worker does not know the part.
    """

    part: int
    answered: bool
    state: orders.PartState | None


class Commands:
    """Sends each command to every part of a gang and collects failures."""

    def __init__(
        self, http: httpx.AsyncClient, ledger: Ledger, lease_ms: Millis
    ) -> None:
        """Keep what commands are made from.

        :param http: client whose connections are used.
        :param ledger: the state, for the addresses of workers.
        :param lease_ms: lease of a running part, in ms.
        """
        self._http = http
        self._ledger = ledger
        self._lease_ms = lease_ms

    def client(self, worker: WorkerId) -> WorkerClient | None:
        """Make a client for a worker.

        :param worker: id of the worker.
        :returns: the client, ``None`` when the worker is lost.
        """
        spec = self._ledger.fleet.spec(worker)
        return WorkerClient(self._http, spec.address) if spec else None

    async def hold(self, epoch: Epoch, job: Job) -> tuple[Failure, ...]:
        """Hold the place of every part.

        :param epoch: epoch of the holder.
        :param job: a job with a place.
        :returns: the parts that could not be held.
        """
        return await self._send_all(
            job,
            [_hold_order(epoch, job, index) for index in range(len(job.parts))],
        )

    async def start(self, epoch: Epoch, job: Job) -> tuple[Failure, ...]:
        """Start every part that is held.

        :param epoch: epoch of the holder.
        :param job: a job all of whose parts are held.
        :returns: the parts that may not have started.
        """
        return await self._send_all(
            job,
            [
                orders.StartOrder(epoch, job.offset, *key, self._lease_ms)
                for key in _keys(job)
            ],
        )

    async def checkpoint(self, epoch: Epoch, job: Job) -> tuple[Failure, ...]:
        """Let every part save its progress.

        :param epoch: epoch of the holder.
        :param job: a job that runs.
        :returns: the parts that may not have done so.
        """
        return await self._send_all(
            job,
            [
                orders.CheckpointOrder(epoch, job.offset, *key)
                for key in _keys(job)
            ],
        )

    async def stop(
        self, epoch: Epoch, job: Job, reason: str
    ) -> tuple[Failure, ...]:
        """Stop every part for good.

        :param epoch: epoch of the holder.
        :param job: a job with a place.
        :param reason: why, for the workers' records.
        :returns: the parts that may still run.
        """
        return await self._send_all(
            job,
            [
                orders.StopOrder(epoch, job.offset, *key, reason)
                for key in _keys(job)
            ],
        )

    async def look(self, epoch: Epoch, job: Job) -> tuple[Sighting, ...]:
        """Ask the worker of every part for its state.

        :param epoch: epoch of the holder.
        :param job: a job with a place.
        :returns: what each worker said, by part.
        """
        sightings: list[Sighting] = []
        async with anyio.create_task_group() as group:
            for key, place in zip(_keys(job), job.parts, strict=True):
                group.start_soon(
                    self._look_one, epoch, key, place.worker, sightings
                )
        return tuple(sorted(sightings))

    async def _look_one(
        self,
        epoch: Epoch,
        key: orders.PartKey,
        worker: WorkerId,
        sightings: list[Sighting],
    ) -> None:
        client = self.client(worker)
        if client is None:
            sightings.append(Sighting(key.part, False, None))
            return
        order = orders.RenewOrder(epoch, (), self._lease_ms)
        try:
            states = await client.renew(order, CALL_S)
        except SwifthoistError:
            sightings.append(Sighting(key.part, False, None))
            return
        known = {state.key: state for state in states}
        sightings.append(Sighting(key.part, True, known.get(key)))

    async def _send_all(
        self, job: Job, to_send: Sequence[orders.Order]
    ) -> tuple[Failure, ...]:
        failures: list[Failure] = []
        async with anyio.create_task_group() as group:
            for part, order in zip(job.parts, to_send, strict=True):
                group.start_soon(self._send, part.worker, order, failures)
        return tuple(sorted(failures))

    async def _send(
        self, worker: WorkerId, order: orders.Order, failures: list[Failure]
    ) -> None:
        index = order.part
        client = self.client(worker)
        if client is None:
            failures.append(Failure(index, worker, 'worker is lost', False))
            return
        try:
            await _command(client, order)
        except WorkerRefusedError as exc:
            failures.append(Failure(index, worker, exc.reason, False))
        except UnreachableError:
            failures.append(Failure(index, worker, 'unreachable', False))
        except OutcomeUnknownError:
            failures.append(Failure(index, worker, 'no answer', True))


async def _command(client: WorkerClient, order: orders.Order) -> None:
    match order:
        case orders.HoldOrder():
            await client.hold(order, CALL_S)
        case orders.StartOrder():
            await client.start(order, CALL_S)
        case orders.CheckpointOrder():
            await client.checkpoint(order, CALL_S)
        case orders.ThrottleOrder():
            await client.throttle(order, CALL_S)
        case orders.StopOrder():
            await client.stop(order, CALL_S)


def _keys(job: Job) -> list[orders.PartKey]:
    return [
        orders.PartKey(job.spec.job_id, job.attempt, index)
        for index in range(len(job.parts))
    ]


def _hold_order(epoch: Epoch, job: Job, index: int) -> orders.HoldOrder:
    spec = job.spec
    part = job.parts[index]
    return orders.HoldOrder(
        epoch,
        job.offset,
        spec.job_id,
        job.attempt,
        index,
        spec.owner,
        spec.class_name,
        part.first,
        part.accelerators,
        spec.shape.cores,
        spec.shape.memory_mib,
        HOLD_MS,
        spec.steps,
    )
