"""Units that are suspected of crashing their runners, in the jobs of a cell."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.crashes import (
    RUNNING_WEIGHT,
    STARTING_ALONE_WEIGHT,
    STARTING_WEIGHT,
    Crash,
    should_give_up,
    with_crash,
    with_unreported,
)
from swifthoist_engine.jobs import Job, OpenRun, Unit, find_open_run
from swifthoist_engine.model import RunKey, TaskId, UnitId
from swifthoist_engine.records import (
    Ended,
    Ending,
    Record,
    RunnerCrashed,
    TaskGivenUp,
)

CRASH_REASONS = frozenset(
    ('another life of the runner answers', 'its runner has started again')
)
"""Reasons with which holders that report no crashes close runs after one."""

CRASH_RUNNER_PREFIX = 'crash of '
"""Begins the name of the runner in failed ends that no runner has listed."""

MAX_FAILED_ENDS = 100
"""Most failed ends recorded for a task that is given up."""


def note_crash(
    jobs: Mapping[JobId, Job], record: RunnerCrashed
) -> Iterator[JobId]:
    """Count a crash against the units that may have caused it.

    :param jobs: the jobs by id.
    :param record: the crash.
    :returns: jobs of these units.
    """
    starting = _open_units(jobs, record.starting)
    weight = STARTING_WEIGHT
    if record.certain and len(starting) == 1:
        weight = STARTING_ALONE_WEIGHT
    blamed = starting
    if not starting:
        weight = RUNNING_WEIGHT
        blamed = _open_units(jobs, record.running)
    for unit_id, run in blamed.items():
        unit = jobs[unit_id.job].ensure_unit(unit_id)
        crash = Crash(run, record.runner, record.machine, weight, record.at_ms)
        unit.crashes = with_crash(unit.crashes, crash)
        yield unit_id.job


def note_unreported_crash(
    unit: Unit, run: OpenRun, reason: str, at_ms: Millis
) -> bool:
    """Count a crash that its holder closed a run for without reporting it.

    :param unit: unit of the run.
    :param run: the run.
    :param reason: why it was closed.
    :param at_ms: time of the cell.
    :returns: whether the unit is suspected.
    """
    if reason in CRASH_REASONS:
        crash = Crash(run.run, run.runner, '', RUNNING_WEIGHT, at_ms)
        unit.crashes = with_unreported(unit.crashes, crash)
    return bool(unit.crashes)


def has_suspects(job: Job) -> bool:
    """Tell whether runners have crashed under some unit of a job.

    :param job: the job.
    :returns: whether it has such a unit.
    """
    return any(unit.crashes for unit in job.units.values())


def is_suspected(job: Job, task: TaskId) -> bool:
    """Tell whether runners have crashed under the unit of a task.

    :param job: the job.
    :param task: a task of it.
    :returns: whether it is suspected.
    """
    unit = job.find_unit(job.unit_of(task))
    return unit is not None and bool(unit.crashes)


def units_to_give_up(job: Job) -> Iterator[UnitId]:
    """List the units of a job that must not start again.

    :param job: the job.
    :returns: ids of the units, also of those that were given up.
    """
    for key, unit in job.units.items():
        if not unit.done and should_give_up(unit.crashes):
            yield UnitId(job.job, *key)


def runners_on_probation(
    jobs: Iterable[Job], since_ms: Millis
) -> frozenset[RunnerId]:
    """List the runners that may still crash by the start of a suspected unit.

    :param jobs: the jobs with suspected units.
    :param since_ms: time of the cell; runs started later count.
    :returns: ids of the runners.
    """
    found: set[RunnerId] = set()
    for job in jobs:
        for unit in filter(_is_suspected, job.units.values()):
            found |= {
                run.runner
                for run in unit.open.values()
                if run.started_ms > since_ms
            }
    return frozenset(found)


def give_up_records(
    job: Job, unit_id: UnitId, epoch: int, at_ms: Millis
) -> Sequence[Record]:
    """Make the records that give a unit up and fail its job.

    Versions that don't know :class:`TaskGivenUp` fail the job by failed ends,
    as many as the unit has attempts left.

    :param job: the job.
    :param unit_id: the unit.
    :param epoch: epoch of the holder.
    :param at_ms: time of the decision.
    :returns: the records.
    """
    unit = job.ensure_unit(unit_id)
    task = TaskId(*unit_id[:3], max(unit_id.ordinal, 0))
    last = unit.crashes[-1]
    records: list[Record] = [TaskGivenUp(epoch, task, at_ms)]
    if job.step(unit_id).lasting:
        return records
    runner = f'{CRASH_RUNNER_PREFIX}{last.runner}'
    first = max(unit.last_run, unit.failed_run + 1)
    left = max(job.spec.terms.max_attempts - unit.failures, 1)
    records.extend(
        Ended(
            epoch,
            runner,
            number + 1,
            task,
            first + number,
            Ending.FAILED,
            '',
            at_ms,
        )
        for number in range(min(left, MAX_FAILED_ENDS))
    )
    return records


def _is_suspected(unit: Unit) -> bool:
    return bool(unit.crashes)


def _open_units(
    jobs: Mapping[JobId, Job], lost: Iterable[RunKey]
) -> dict[UnitId, int]:
    """Return the units of runs that are still open, with their run numbers."""
    return {
        jobs[task.job].unit_of(task): run
        for task, run in lost
        if find_open_run(jobs, task, run) is not None
    }
