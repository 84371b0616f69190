"""Records of the cell's log, which every instance folds in offset order.

Any instance appends the requests of callers. All other records come from the
holder of the cell and carry its epoch, so that records appended by a deposed
holder are ignored.
"""

from enum import StrEnum
from typing import NamedTuple, TypeAlias, get_args

import msgspec

from swifthoist_core.types import (
    Epoch,
    InstanceId,
    JobId,
    Millis,
    RackId,
    RunnerId,
    ZoneId,
)
from swifthoist_engine.crash_records import (
    CrashWitnessed,
    RunnerCrashed,
    StartSent,
    TaskGivenUp,
)
from swifthoist_engine.model import JobSpec, TaskId, UnitId
from swifthoist_engine.snapshot_records import SnapshotTaken
from swifthoist_engine.unanswered import StartUnanswered


class Ending(StrEnum):
    """How a run ended, as listed by its runner."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class Doubt(StrEnum):
    """Evidence against a runner other than a failed run."""

    HANG = 'hang'
    REJECTED = 'rejected'
    FLAPPING = 'flapping'


class Submitted(NamedTuple):
    """A job was accepted.

    :ivar spec: the job.
    """

    spec: JobSpec


class Canceled(NamedTuple):
    """A caller canceled a job.

    :ivar job: the job.
    :ivar at_ms: time of the call.
    """

    job: JobId
    at_ms: Millis


class Claimed(NamedTuple):
    """An instance claims the cell.

    :ivar epoch: the claimed epoch: one more than the epoch that it replaces.
    :ivar instance: instance that makes the claim.
    :ivar at_ms: time of the claim.
    """

    epoch: Epoch
    instance: InstanceId
    at_ms: Millis


class Joined(NamedTuple):
    """An instance tells where others reach it.

    :ivar node: its name, without that of its life.
    :ivar address: its internal address, ``host:port``.
    :ivar cores: processor capacity of its machine, in cores.
    """

    node: str
    address: str
    cores: float


class Released(NamedTuple):
    """The holder releases the cell, so another instance may claim it at once.

    :ivar epoch: epoch of the holder.
    """

    epoch: Epoch


class Beat(NamedTuple):
    """Heartbeat of the holder.

    :ivar epoch: epoch of the holder.
    :ivar at_ms: time of the heartbeat.
    """

    epoch: Epoch
    at_ms: Millis


class Placement(NamedTuple):
    """Runner assigned to one task of a unit.

    :ivar ordinal: number of the task within its step.
    :ivar runner: the runner.
    """

    ordinal: int
    runner: RunnerId


class Started(NamedTuple):
    """The holder is about to start a unit.

    :ivar epoch: epoch of the holder.
    :ivar unit: the unit.
    :ivar run: number of the run; it increases with each start of the unit.
    :ivar checkpoint: checkpoint from which it resumes; empty for a start from
        the beginning.
    :ivar placements: one for each task of the unit.
    :ivar at_ms: time of the decision.
    """

    epoch: Epoch
    unit: UnitId
    run: int
    checkpoint: str
    placements: tuple[Placement, ...]
    at_ms: Millis


class Ended(NamedTuple):
    """A runner listed the end of a run.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar number: sequence number of the end on that runner.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar ending: how it ended.
    :ivar checkpoint: its last checkpoint; empty for none.
    :ivar at_ms: time at which the holder read the end.
    """

    epoch: Epoch
    runner: RunnerId
    number: int
    task: TaskId
    run: int
    ending: Ending
    checkpoint: str
    at_ms: Millis


class Belated(NamedTuple):
    """A runner's ends up to a number may have been read late.

    They may have happened long before the holder read them, because it was not
    polling the runner: during an outage, the runner's silence or a takeover.
    Durations must not be learned from them.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar number: sequence number of the newest such end on that runner.
    """

    epoch: Epoch
    runner: RunnerId
    number: int


class Vanished(NamedTuple):
    """A run is certainly not on its runner and never will be.

    :ivar epoch: epoch of the holder.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar runner: runner on which it was started.
    :ivar reason: why that is certain.
    :ivar checkpoint: newest checkpoint that was seen of it; empty for none.
    """

    epoch: Epoch
    task: TaskId
    run: int
    runner: RunnerId
    reason: str
    checkpoint: str = ''


class RunnerMet(NamedTuple):
    """A runner answered the holder at an address.

    After a takeover the new holder asks there for the outcome of the runner's
    runs, even if the runner is no longer listed.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar address: ``host:port``.
    """

    epoch: Epoch
    runner: RunnerId
    address: str


class RunnerDescribed(NamedTuple):
    """What a runner reported about itself when first reached in this life.

    Statistics of runs need to know where the runs were, even after the runner
    has left.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar machine: machine of which it is a life; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its availability zone; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar born_ms: start of this life, in ms since the Unix epoch; 0 if unknown.
    """

    epoch: Epoch
    runner: RunnerId
    machine: str
    rack: RackId
    zone: ZoneId
    kind: str
    born_ms: Millis


class RunnerDoubted(NamedTuple):
    """The holder observed evidence against a runner.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar job: job that was affected; empty for none.
    :ivar doubt: kind of the evidence.
    :ivar at_ms: time at which the holder observed it.
    """

    epoch: Epoch
    runner: RunnerId
    job: JobId
    doubt: Doubt
    at_ms: Millis


class HolderGeneration(NamedTuple):
    """The holder tells the generation of its version, right after its claim.

    :ivar epoch: epoch of the claim.
    :ivar instance: instance that made the claim; others may have won it.
    :ivar generation: the generation.
    """

    epoch: Epoch
    instance: InstanceId
    generation: int


class RunnerGone(NamedTuple):
    """A runner has left for good; its state can be dropped.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    """

    epoch: Epoch
    runner: RunnerId


class UpkeepBegun(NamedTuple):
    """The holder is about to order the upkeep of a machine.

    :ivar epoch: epoch of the holder.
    :ivar wave: number of the wave.
    :ivar machine: the machine.
    :ivar runner: the machine's runner before the upkeep.
    """

    epoch: Epoch
    wave: int
    machine: str
    runner: RunnerId


class WaveDone(NamedTuple):
    """Every machine of a wave has had its upkeep.

    :ivar epoch: epoch of the holder.
    :ivar wave: number of the wave.
    """

    epoch: Epoch
    wave: int


HolderRecord: TypeAlias = (
    Released
    | Beat
    | Started
    | Ended
    | Belated
    | Vanished
    | RunnerMet
    | RunnerDescribed
    | RunnerDoubted
    | RunnerCrashed
    | CrashWitnessed
    | StartSent
    | StartUnanswered
    | TaskGivenUp
    | HolderGeneration
    | SnapshotTaken
    | RunnerGone
    | UpkeepBegun
    | WaveDone
)
"""Records that only the holder of the cell appends."""

Record: TypeAlias = Submitted | Canceled | Claimed | Joined | HolderRecord

_KINDS: dict[str, type[Record]] = {
    kind.__name__: kind for kind in get_args(Record)
}
_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders = {
    name: msgspec.msgpack.Decoder(kind) for name, kind in _KINDS.items()
}


def encode_record(record: Record) -> bytes:
    """Encode a record for the log.

    :param record: the record.
    :returns: a msgpack array of the record's name and its fields.
    """
    body = msgspec.Raw(_encoder.encode(record))
    return _encoder.encode((type(record).__name__, body))


def decode_record(payload: bytes) -> Record | None:
    """Decode a record from the log.

    :param payload: bytes from :func:`encode_record`.
    :returns: the record; none if this version doesn't know its name, so that a
        newer version can be rolled out.
    :raises msgspec.MsgspecError: if the bytes are not a valid record.
    """
    kind, body = _frames.decode(payload)
    decoder = _decoders.get(kind)
    return None if decoder is None else decoder.decode(body)
