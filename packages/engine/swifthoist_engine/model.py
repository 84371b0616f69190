"""What teams ask for: queues, jobs, steps and the resources of a task."""

from collections.abc import Sequence
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, OwnerId


class Resources(NamedTuple):
    """Processor, memory and accelerators of a task or of a runner.

    :ivar cpu: processor, in thousandths of a core.
    :ivar memory: memory, in MB.
    :ivar accelerators: number of whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, free: 'Resources') -> bool:
        """Tell whether this fits into some room.

        :param free: what is free.
        :returns: whether no part exceeds it.
        """
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Add, part by part.

        :param other: what to add.
        :returns: the sum.
        """
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Subtract, part by part; the difference may be negative.

        :param other: what to subtract.
        :returns: the difference.
        """
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


class StepSpec(NamedTuple):
    """One step of a job: tasks that are alike.

    :ivar width: number of tasks.
    :ivar need: resources of each task.
    :ivar estimate_ms: declared duration of a task; far from the truth.
    :ivar depends_on: numbers of the steps that must be done before.
    :ivar checkpointing: the tasks save their progress.
    :ivar gang: the tasks run all together or not at all.
    :ivar same_rack: the gang is slower across racks.
    :ivar label: label that a runner must have; empty for none.
    :ivar data_rack: rack of the data; empty for none.
    :ivar spread_limit: most tasks of the step on one runner; 0 for any.
    :ivar copies: copies of a task may run in parallel.
    :ivar lasting: the tasks run until the job is canceled.
    :ivar image: what the tasks run; tasks of one image behave alike.
    :ivar tail_target_ms: bound of the tail latency of the tasks' own users;
        0 for none.
    :ivar filling: the tasks take only processor time that others leave.
    :ivar may_miss: tasks of a lasting step that may be away at a time.
    """

    width: int
    need: Resources
    estimate_ms: Millis = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    spread_limit: int = 0
    copies: bool = False
    lasting: bool = False
    image: str = ''
    tail_target_ms: Millis = 0
    filling: bool = False
    may_miss: int = 0

    @property
    def allocated(self) -> Resources:
        """What a task takes of a runner's capacity."""
        if self.filling:
            return self.need._replace(cpu=0)
        return self.need


class QueueTerms(NamedTuple):
    """Terms of a queue as they were when a job was accepted.

    :ivar priority: 0 comes first and may preempt others.
    :ivar max_attempts: failed runs of a task after which its job fails.
    :ivar slack: the objective is this multiple of the longest chain of work.
    :ivar objective_ms: what the objective adds to that, in ms.
    :ivar service: runners that the queue is sent to.
    """

    priority: int
    max_attempts: int
    slack: float
    objective_ms: Millis
    service: str


class SiteTerms(NamedTuple):
    """Terms of the site that decisions go by.

    :ivar restore_ms: time that a run needs to go on from a checkpoint, in ms.
    :ivar reclaim_ms: time within which a guarantee is to be met, in ms.
    :ivar remote_factor: how many times as long a task takes that is far from its
        data, or a gang over several racks.
    """

    restore_ms: Millis
    reclaim_ms: Millis
    remote_factor: float


DEFAULT_SITE_TERMS = SiteTerms(
    restore_ms=100, reclaim_ms=2_900, remote_factor=3
)
"""What is gone by where settings tell nothing."""


class Schedule(NamedTuple):
    """Times at which the steps of a job run.

    :ivar first_ms: time of the first occurrence, since the Unix epoch.
    :ivar interval_ms: time between occurrences.
    :ivar times: number of occurrences.
    """

    first_ms: Millis
    interval_ms: Millis
    times: int

    def due_ms(self, occurrence: int) -> Millis:
        """Tell when an occurrence is due.

        :param occurrence: its number, from 0.
        :returns: time since the Unix epoch, in ms.
        """
        return self.first_ms + occurrence * self.interval_ms


class JobSpec(NamedTuple):
    """A job as it was accepted.

    :ivar job: id that the caller chose.
    :ivar queue: name of its queue.
    :ivar team: owner of the key that it came with; empty for none.
    :ivar payload: text that runners get with each task.
    :ivar steps: its steps.
    :ivar terms: terms of the queue.
    :ivar accepted_ms: time of its acceptance, since the Unix epoch.
    :ivar schedule: its occurrences in time; none for a job that runs once.
    """

    job: JobId
    queue: str
    team: OwnerId
    payload: str
    steps: tuple[StepSpec, ...]
    terms: QueueTerms
    accepted_ms: Millis
    schedule: Schedule | None = None


class TaskId(NamedTuple):
    """One task of one occurrence of a job.

    :ivar job: the job.
    :ivar occurrence: number of the occurrence, from 0.
    :ivar step: number of the step, from 0.
    :ivar ordinal: number of the task within the step, from 0.
    """

    job: JobId
    occurrence: int
    step: int
    ordinal: int


class UnitId(NamedTuple):
    """What is started as one: a gang, or a task by itself.

    :ivar job: the job.
    :ivar occurrence: number of the occurrence.
    :ivar step: number of the step.
    :ivar ordinal: number of the task; -1 for a whole gang.
    """

    job: JobId
    occurrence: int
    step: int
    ordinal: int


GANG_ORDINAL = -1
"""Ordinal of a unit that is a whole gang."""


def critical_path_ms(
    steps: tuple[StepSpec, ...], lengths: Sequence[Millis] | None = None
) -> Millis:
    """Estimate the longest chain of work of a job.

    :param steps: the steps.
    :param lengths: duration of each step, in ms; the declared ones without.
    :returns: time of the chain, in ms.
    """
    if lengths is None:
        lengths = [step.estimate_ms for step in steps]
    ends: list[Millis] = []
    for step, length in zip(steps, lengths, strict=True):
        begin = max((ends[before] for before in step.depends_on), default=0)
        ends.append(begin + length)
    return max(ends, default=0)
