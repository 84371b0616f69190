"""Messages between the holder of the cell and the workers.

On the wire each one is a msgpack array of its fields in their order.
"""

from typing import Literal, NamedTuple, TypeAlias

from swifthoist_core.types import (
    ClassName,
    Epoch,
    JobId,
    Millis,
    Offset,
    OwnerId,
)

State: TypeAlias = Literal[
    'held',
    'running',
    'checkpointed',
    'done',
    'failed',
    'stopped',
    'lapsed',
]
"""State of a part; a checkpointed part runs on until it is stopped."""


class PartKey(NamedTuple):
    """Which part of which attempt of which job.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt, from 1.
    :ivar part: index of the part in the gang, from 0.
    """

    job_id: JobId
    attempt: int
    part: int


class HoldOrder(NamedTuple):
    """Hold the place of a part, without running it.

    :ivar epoch: epoch of the holder of the cell.
    :ivar offset: offset of the record that allowed the order.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt, from 1.
    :ivar part: index of the part in the gang, from 0.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar first: index of the first accelerator.
    :ivar accelerators: how many accelerators, from ``first`` on.
    :ivar cores: processor cores.
    :ivar memory_mib: memory, in MiB.
    :ivar lease_ms: how long the hold lasts unless the part is started.
    :ivar steps: the work, as its owner wrote it.
    """

    epoch: Epoch
    offset: Offset
    job_id: JobId
    attempt: int
    part: int
    owner: OwnerId
    class_name: ClassName
    first: int
    accelerators: int
    cores: int
    memory_mib: int
    lease_ms: Millis
    steps: str


class StartOrder(NamedTuple):
    """Run a part that is held.

    :ivar epoch: epoch of the holder of the cell.
    :ivar offset: offset of the record that allowed the order.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar lease_ms: how long the part may run unless its lease is renewed.
    """

    epoch: Epoch
    offset: Offset
    job_id: JobId
    attempt: int
    part: int
    lease_ms: Millis


class CheckpointOrder(NamedTuple):
    """Save the progress of a part that runs.

    :ivar epoch: epoch of the holder of the cell.
    :ivar offset: offset of the record that allowed the order.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    """

    epoch: Epoch
    offset: Offset
    job_id: JobId
    attempt: int
    part: int


class ThrottleOrder(NamedTuple):
    """Run a part at another speed.

    :ivar epoch: epoch of the holder of the cell.
    :ivar offset: offset of the record that allowed the order.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar percent: speed, 1 to 100.
    """

    epoch: Epoch
    offset: Offset
    job_id: JobId
    attempt: int
    part: int
    percent: int


class StopOrder(NamedTuple):
    """Stop a part for good, also one that the worker does not know yet.

    :ivar epoch: epoch of the holder of the cell.
    :ivar offset: offset of the record that allowed the order.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar reason: why, for the part's state.
    """

    epoch: Epoch
    offset: Offset
    job_id: JobId
    attempt: int
    part: int
    reason: str = ''


class RenewOrder(NamedTuple):
    """Renew the leases of all parts on a worker in one message.

    :ivar epoch: epoch of the holder of the cell.
    :ivar leases: the parts that run and shall run on.
    :ivar lease_ms: how long each lease lasts from now.
    :ivar forget: ended parts that need not be reported again.
    """

    epoch: Epoch
    leases: tuple[PartKey, ...]
    lease_ms: Millis
    forget: tuple[PartKey, ...] = ()


Order: TypeAlias = (
    HoldOrder | StartOrder | CheckpointOrder | ThrottleOrder | StopOrder
)


class PartState(NamedTuple):
    """What a worker knows of a part.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar state: its state.
    :ivar accelerators: how many accelerators it holds or held.
    :ivar started_ms: start by the worker's wall clock, 0 if it never ran.
    :ivar stopped_ms: end by the worker's wall clock, 0 if it has not ended.
    :ivar reason: why it ended, empty for ``done``.
    """

    job_id: JobId
    attempt: int
    part: int
    state: State
    accelerators: int
    started_ms: Millis
    stopped_ms: Millis
    reason: str

    @property
    def key(self) -> PartKey:
        """Which part this is."""
        return PartKey(self.job_id, self.attempt, self.part)


class UsageReport(NamedTuple):
    """What a part that has run used.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar accelerators: how many accelerators it held.
    :ivar started_ms: start by the worker's wall clock.
    :ivar stopped_ms: end by the worker's wall clock.
    :ivar reported_ms: when the report came out, by the worker's wall clock.
    """

    job_id: JobId
    attempt: int
    part: int
    owner: OwnerId
    class_name: ClassName
    accelerators: int
    started_ms: Millis
    stopped_ms: Millis
    reported_ms: Millis


class Refusal(NamedTuple):
    """Why a worker refused an order.

    :ivar reason: the reason, such as ``stale epoch``.
    """

    reason: str
