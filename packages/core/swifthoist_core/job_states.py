"""States of a job."""

import enum
from typing import NamedTuple

from swifthoist_core.records import JobSpec, PartPlacement
from swifthoist_core.types import JobId, Millis, Offset, RequestKey


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
