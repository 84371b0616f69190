"""Jobs as teams specify them: queue terms, steps, tasks and their resources."""

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

from swifthoist_core.types import JobId, Millis, OwnerId


class Resources(NamedTuple):
    """CPU, memory and accelerators of a task or a runner.

    :ivar cpu: CPU, in thousandths of a core.
    :ivar memory: memory, in MB.
    :ivar accelerators: number of whole accelerators.
    """

    cpu: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, free: 'Resources') -> bool:
        """Return whether these resources fit into what is free.

        :param free: free resources.
        :returns: whether no component exceeds it.
        """
        return (
            self.cpu <= free.cpu
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Add component by component.

        :param other: resources to add.
        :returns: the sum.
        """
        return Resources(
            self.cpu + other.cpu,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: 'Resources') -> 'Resources':
        """Subtract component by component; the difference may be negative.

        :param other: resources to subtract.
        :returns: the difference.
        """
        return Resources(
            self.cpu - other.cpu,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


class StepSpec(NamedTuple):
    """One step of a job: a set of similar tasks.

    :ivar width: number of tasks.
    :ivar need: resources of each task.
    :ivar estimate_ms: declared duration of a task, in ms; often far from the
        actual one.
    :ivar depends_on: numbers of the steps that must be done first.
    :ivar checkpointing: the tasks save their progress.
    :ivar gang: the tasks run all together or not at all.
    :ivar same_rack: the gang is slower when it spans racks.
    :ivar label: label that a runner must have; empty for none.
    :ivar data_rack: rack that holds the data; empty for none.
    :ivar spread_limit: most tasks of the step on one runner; 0 for no limit.
    :ivar copies: copies of a task may run in parallel.
    :ivar lasting: the tasks run until the job is canceled.
    :ivar image: what the tasks run; tasks of the same image behave alike.
    :ivar tail_target_ms: upper bound of the tail latency that the tasks offer
        to their own users, in ms; 0 for none.
    :ivar filling: the tasks only use CPU time that others leave idle.
    :ivar may_miss: how many tasks of a lasting step may be missing at a time.
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
        """Resources that a task takes from a runner's capacity."""
        if self.filling:
            return self.need._replace(cpu=0)
        return self.need


class QueueTerms(NamedTuple):
    """Terms of a queue at the time a job was accepted.

    :ivar priority: 0 is the most urgent and may preempt others.
    :ivar max_attempts: number of failed runs of a task after which its job
        fails.
    :ivar slack: factor of the critical path in the objective.
    :ivar objective_ms: constant part of the objective, in ms.
    :ivar service: service whose runners serve the queue.
    """

    priority: int
    max_attempts: int
    slack: float
    objective_ms: Millis
    service: str


class SiteTerms(NamedTuple):
    """Site settings that decisions depend on.

    :ivar restore_ms: time that a run needs to resume from a checkpoint, in ms.
    :ivar reclaim_ms: time within which a guarantee must be met, in ms.
    :ivar remote_factor: slowdown of a task that is far from its data, or of a
        gang that spans racks.
    """

    restore_ms: Millis
    reclaim_ms: Millis
    remote_factor: float


DEFAULT_SITE_TERMS = SiteTerms(
    restore_ms=100, reclaim_ms=2_900, remote_factor=3
)
"""Values for settings that are not given."""


class Schedule(NamedTuple):
    """Times at which the steps of a job run.

    :ivar first_ms: time of the first occurrence, in ms since the Unix epoch.
    :ivar interval_ms: time between occurrences, in ms.
    :ivar times: number of occurrences.
    """

    first_ms: Millis
    interval_ms: Millis
    times: int

    def due_ms(self, occurrence: int) -> Millis:
        """Return when an occurrence is due.

        :param occurrence: number of the occurrence, from 0.
        :returns: time in ms since the Unix epoch.
        """
        return self.first_ms + occurrence * self.interval_ms


class JobSpec(NamedTuple):
    """A job as accepted.

    :ivar job: id chosen by the caller.
    :ivar queue: name of its queue.
    :ivar team: owner of the key used to submit it; empty for none.
    :ivar payload: text passed to the runners with each task.
    :ivar steps: its steps.
    :ivar terms: terms of the queue.
    :ivar accepted_ms: time of acceptance, in ms since the Unix epoch.
    :ivar schedule: its occurrences; none for a job that runs once.
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


RunKey: TypeAlias = tuple[TaskId, int]
"""A task and the number of one of its runs."""


class UnitId(NamedTuple):
    """What is started as a whole: a gang, or a single task.

    :ivar job: the job.
    :ivar occurrence: number of the occurrence.
    :ivar step: number of the step.
    :ivar ordinal: number of the task; -1 for a gang.
    """

    job: JobId
    occurrence: int
    step: int
    ordinal: int


GANG_ORDINAL = -1
"""Ordinal of a unit that is a gang."""


def critical_path_ms(
    steps: tuple[StepSpec, ...], lengths: Sequence[Millis] | None = None
) -> Millis:
    """Return the length of a job's critical path.

    :param steps: the steps.
    :param lengths: duration of each step, in ms; the declared ones if none.
    :returns: length of the longest chain of dependent steps, in ms.
    """
    if lengths is None:
        lengths = [step.estimate_ms for step in steps]
    ends: list[Millis] = []
    for step, length in zip(steps, lengths, strict=True):
        begin = max((ends[before] for before in step.depends_on), default=0)
        ends.append(begin + length)
    return max(ends, default=0)
