"""The records that the system keeps on the platform's log.

Every record is a claim: the fold in :mod:`swifthoist_core.ledger` accepts or
rejects it by rules that every instance computes alike.
"""

from typing import NamedTuple, TypeAlias

from swifthoist_core.catalogue import Entry, Policy, Urgency
from swifthoist_core.shapes import Shape, WorkerSpec
from swifthoist_core.types import (
    ClassName,
    EntryId,
    Epoch,
    InstanceId,
    JobId,
    Millis,
    OwnerId,
    RequestKey,
    WorkerId,
)


class EntryChanged(NamedTuple):
    """An operator publishes, changes or withdraws a catalogue entry.

    :ivar entry_id: id of the entry.
    :ivar expected_version: version that the operator saw, 0 for none.
    :ivar entry: the new content, ``None`` to withdraw.
    :ivar operator: who asked.
    """

    entry_id: EntryId
    expected_version: int
    entry: Entry | None
    operator: str


class PolicyChanged(NamedTuple):
    """An operator changes the settings of placement.

    :ivar expected_version: version that the operator saw, 0 for none.
    :ivar policy: the new settings.
    :ivar operator: who asked.
    """

    expected_version: int
    policy: Policy
    operator: str


class CellClaimed(NamedTuple):
    """An instance claims to decide for the cell.

    :ivar epoch: the epoch it wants to open, one more than the last.
    :ivar holder: the instance.
    :ivar lease_ms: how long the claim holds without renewal.
    """

    epoch: Epoch
    holder: InstanceId
    lease_ms: Millis


class CellRenewed(NamedTuple):
    """The holder of the cell extends its lease.

    :ivar epoch: its epoch.
    :ivar lease_ms: how long from the record's time in the log.
    """

    epoch: Epoch
    lease_ms: Millis


class CellReleased(NamedTuple):
    """The holder of the cell gives it up, at graceful shutdown.

    :ivar epoch: its epoch.
    """

    epoch: Epoch


class JobSpec(NamedTuple):
    """A gang job as its owner asked for it.

    :ivar job_id: id of the job.
    :ivar owner: the team.
    :ivar class_name: class of work, with an entry in the catalogue.
    :ivar shape: what it needs.
    :ivar urgency: order of service, from the entry.
    :ivar idempotent: whether it may run more than once.
    :ivar expected_ms: run time as declared; a hint only.
    :ivar steps: opaque work for the workers, such as a command.
    """

    job_id: JobId
    owner: OwnerId
    class_name: ClassName
    shape: Shape
    urgency: Urgency
    idempotent: bool
    expected_ms: Millis
    steps: str = ''


class JobSubmitted(NamedTuple):
    """An owner asks for a job.

    :ivar spec: the job.
    :ivar key: idempotency key, unique for the owner.
    """

    spec: JobSpec
    key: RequestKey


class PartPlacement(NamedTuple):
    """Where one part of a gang goes.

    :ivar worker: the worker.
    :ivar first: index of its first accelerator on the worker.
    :ivar accelerators: how many accelerators, from ``first`` on.
    """

    worker: WorkerId
    first: int
    accelerators: int


class JobPlaced(NamedTuple):
    """The holder gives a job its place.

    :ivar epoch: the holder's epoch.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt, from 1.
    :ivar parts: a place for each part.
    :ivar lent: whether the place is beyond the owner's guarantee, so that
        it can be reclaimed.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    parts: tuple[PartPlacement, ...]
    lent: bool


class JobStarted(NamedTuple):
    """Every part of an attempt runs.

    :ivar epoch: the holder's epoch.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int


class JobReclaimed(NamedTuple):
    """The holder asks an attempt to checkpoint and stop.

    :ivar epoch: the holder's epoch.
    :ivar job_id: the job that must give way.
    :ivar attempt: number of its attempt.
    :ivar beneficiary: the job that reclaims the place.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    beneficiary: JobId


class PartUsage(NamedTuple):
    """What a worker reports of one part that it ran.

    :ivar part: index of the part in the gang.
    :ivar worker: the worker.
    :ivar accelerators: how many accelerators it held.
    :ivar started_ms: start by the worker's clock, 0 if it never started.
    :ivar stopped_ms: end by the worker's clock.
    :ivar estimated: whether the times are the holder's estimate, because
        the worker was lost before it reported.
    """

    part: int
    worker: WorkerId
    accelerators: int
    started_ms: Millis
    stopped_ms: Millis
    estimated: bool = False


class JobEnded(NamedTuple):
    """An attempt is over on every worker.

    :ivar epoch: the holder's epoch.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar outcome: ``done``, ``failed``, ``cancelled``, ``reclaimed``,
        ``lost`` (a worker is gone) or ``unstarted`` (never ran).
    :ivar usage: what the workers reported, by part; parts of lost workers
        are estimated.
    :ivar blamed: the worker on which the first part failed, or empty.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    outcome: str
    usage: tuple[PartUsage, ...]
    blamed: WorkerId = ''


class UsageCorrected(NamedTuple):
    """A worker reported late how long a part of an ended attempt ran.

    :ivar epoch: the holder's epoch.
    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar use: the worker's own report.
    """

    epoch: Epoch
    job_id: JobId
    attempt: int
    use: PartUsage


class JobCancelled(NamedTuple):
    """An owner takes a job back.

    :ivar job_id: the job.
    :ivar owner: the owner who asked.
    """

    job_id: JobId
    owner: OwnerId


class WorkerJoined(NamedTuple):
    """A worker is there, for the first time or again.

    :ivar epoch: the holder's epoch.
    :ivar spec: the worker.
    """

    epoch: Epoch
    spec: WorkerSpec


class WorkerLeft(NamedTuple):
    """A worker is leaving or lost.

    :ivar epoch: the holder's epoch.
    :ivar worker: the worker.
    :ivar lost: ``True`` when it is gone, ``False`` when it drains.
    """

    epoch: Epoch
    worker: WorkerId
    lost: bool


class RequestIntended(NamedTuple):
    """An instance is about to send a non-idempotent request to a runner.

    :ivar key: idempotency key of the request, unique for the owner.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar digest: hash of the request, so that one key names one request.
    :ivar valid_ms: the author must send it within this time, in ms.
    """

    key: RequestKey
    owner: OwnerId
    class_name: ClassName
    digest: str
    valid_ms: Millis


class RequestClosed(NamedTuple):
    """What became of a non-idempotent request.

    :ivar key: idempotency key of the request.
    :ivar owner: the team.
    :ivar outcome: ``done``, ``not_run`` or ``unknown``.
    :ivar status: status of the runner's answer, 0 for none.
    :ivar answer: the runner's answer, if it was small enough to keep.
    """

    key: RequestKey
    owner: OwnerId
    outcome: str
    status: int
    answer: bytes


class Tally(NamedTuple):
    """Requests of one owner and class that one instance has counted.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar good: complete and within the objective.
    :ivar late: complete, but later than the objective.
    :ivar failed: answered with an error or unknown.
    :ivar refused: refusals by reason.
    :ivar waits: waiting times, counted by bucket of
        :mod:`swifthoist_core.histograms`.
    """

    owner: OwnerId
    class_name: ClassName
    good: int
    late: int
    failed: int
    refused: dict[str, int]
    waits: dict[Millis, int]


class RequestsCounted(NamedTuple):
    """Counts of an instance since its last such record.

    :ivar tallies: one for each owner and class with requests.
    """

    tallies: tuple[Tally, ...]


Record: TypeAlias = (
    EntryChanged
    | PolicyChanged
    | CellClaimed
    | CellRenewed
    | CellReleased
    | JobSubmitted
    | JobPlaced
    | JobStarted
    | JobReclaimed
    | JobEnded
    | JobCancelled
    | UsageCorrected
    | WorkerJoined
    | WorkerLeft
    | RequestIntended
    | RequestClosed
    | RequestsCounted
)


class Author(NamedTuple):
    """One life of an instance, as the writer of records.

    :ivar instance: id of the instance.
    :ivar incarnation: start of this life, ms since the epoch.
    """

    instance: InstanceId
    incarnation: Millis


class Envelope(NamedTuple):
    """A record with what identifies it.

    :ivar author: who wrote it.
    :ivar seq: number of the record among those of its author, from 1.
    :ivar record: the record; ``None`` if its kind is unknown to this
        version of the program, in which case the fold passes over it.
    """

    author: Author
    seq: int
    record: Record | None
