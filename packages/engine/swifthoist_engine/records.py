"""Records of the cell's log; every instance folds them in offset order.

Instances append what callers asked for. Everything else comes from the
holder of the cell and carries its epoch, so that what a deposed holder still
appends is passed over.
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
from swifthoist_engine.model import JobSpec, TaskId, UnitId


class Ending(StrEnum):
    """How a run ended, as its runner listed it."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class Doubt(StrEnum):
    """What speaks against a runner without a failed end."""

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

    :ivar epoch: one more than the epoch that it replaces.
    :ivar instance: who claims.
    :ivar at_ms: time of the claim.
    """

    epoch: Epoch
    instance: InstanceId
    at_ms: Millis


class Released(NamedTuple):
    """The holder gives the cell up, so that another may claim it at once.

    :ivar epoch: epoch of the holder.
    """

    epoch: Epoch


class Beat(NamedTuple):
    """The holder lives.

    :ivar epoch: epoch of the holder.
    :ivar at_ms: time of the heartbeat.
    """

    epoch: Epoch
    at_ms: Millis


class Placement(NamedTuple):
    """Where one task of a unit runs.

    :ivar ordinal: number of the task within its step.
    :ivar runner: the runner.
    """

    ordinal: int
    runner: RunnerId


class Started(NamedTuple):
    """The holder is about to start a unit.

    :ivar epoch: epoch of the holder.
    :ivar unit: the unit.
    :ivar run: number of the run, which rises with each start of the unit.
    :ivar checkpoint: where it resumes; empty for the beginning.
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
    :ivar number: number of the end at that runner.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar ending: how it ended.
    :ivar checkpoint: its last checkpoint; empty for none.
    :ivar at_ms: time when the holder read of it.
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
    """Ends of a runner that follow may have been listed long before.

    The holder was not looking meanwhile, be it for an outage, the runner's
    silence or a takeover; so they tell no durations.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar number: number of the newest of them at that runner.
    """

    epoch: Epoch
    runner: RunnerId
    number: int


class Vanished(NamedTuple):
    """A run is certainly not on its runner, and will not be.

    :ivar epoch: epoch of the holder.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar runner: where it was started.
    :ivar reason: what made that certain.
    :ivar checkpoint: newest checkpoint that it was seen with; empty for none.
    """

    epoch: Epoch
    task: TaskId
    run: int
    runner: RunnerId
    reason: str
    checkpoint: str = ''


class RunnerMet(NamedTuple):
    """A runner answered the holder at an address.

    Whoever takes over asks there what became of its runs, also when the
    runner is no longer listed.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar address: ``host:port``.
    """

    epoch: Epoch
    runner: RunnerId
    address: str


class RunnerDescribed(NamedTuple):
    """What a runner told of itself when the holder first reached this life.

    Whatever is learned from runs needs to know where they were, also when the
    runner has left.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar machine: the machine that it is a life of; empty if unknown.
    :ivar rack: its rack; empty if unknown.
    :ivar zone: its availability zone; empty if unknown.
    :ivar kind: its kind; empty if unknown.
    :ivar born_ms: when this life began, since the Unix epoch; 0 if unknown.
    """

    epoch: Epoch
    runner: RunnerId
    machine: str
    rack: RackId
    zone: ZoneId
    kind: str
    born_ms: Millis


class RunnerDoubted(NamedTuple):
    """The holder saw something that speaks against a runner.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar job: the job that it happened to; empty for none.
    :ivar doubt: what it was.
    :ivar at_ms: time when the holder saw it.
    """

    epoch: Epoch
    runner: RunnerId
    job: JobId
    doubt: Doubt
    at_ms: Millis


class RunnerGone(NamedTuple):
    """A runner has left for good; nothing of it is needed any longer.

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
    :ivar runner: the runner that it was until then.
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
    | RunnerGone
    | UpkeepBegun
    | WaveDone
)
"""Records that only the holder appends."""

Record: TypeAlias = Submitted | Canceled | Claimed | HolderRecord

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
    :returns: its bytes: a msgpack array behind the record's name.
    """
    body = msgspec.Raw(_encoder.encode(record))
    return _encoder.encode((type(record).__name__, body))


def decode_record(payload: bytes) -> Record | None:
    """Decode a record from the log.

    :param payload: bytes as :func:`encode_record` made them.
    :returns: the record; none if this version does not know its kind, so
        that a newer version can be rolled out.
    :raises msgspec.MsgspecError: when the bytes are no record.
    """
    kind, body = _frames.decode(payload)
    decoder = _decoders.get(kind)
    return None if decoder is None else decoder.decode(body)
