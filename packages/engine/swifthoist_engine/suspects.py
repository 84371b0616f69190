"""Units that are suspected of crashing their runners, in the jobs of a cell."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.crash_records import (
    CrashWitnessed,
    RunnerCrashed,
    TaskGivenUp,
)
from swifthoist_engine.crashes import (
    RUNNING_WEIGHT,
    STARTING_ALONE_WEIGHT,
    STARTING_WEIGHT,
    Crash,
    Evidence,
    should_give_up,
    with_crash,
    with_evidence,
    with_next_life,
    with_unreported,
)
from swifthoist_engine.jobs import Job, OpenRun, find_open_run
from swifthoist_engine.model import RunKey, TaskId
from swifthoist_engine.records import (
    Ended,
    Ending,
    Record,
    RunnerDescribed,
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
    """Count a crash against the tasks that may have caused it.

    :param jobs: the jobs by id.
    :param record: the crash.
    :returns: jobs of these tasks.
    """
    starting = _open_on(jobs, record.starting, record.runner)
    units = {jobs[task.job].unit_of(task) for task, _ in starting}
    weight = STARTING_WEIGHT
    if record.certain and len(units) == 1:
        weight = STARTING_ALONE_WEIGHT
    blamed = starting
    if not starting:
        weight = RUNNING_WEIGHT
        blamed = _open_on(jobs, record.running, record.runner)
    for task, run in blamed:
        crash = Crash(
            run,
            record.runner,
            record.machine,
            weight,
            record.at_ms,
            record.epoch,
        )
        job = jobs[task.job]
        crashes = job.ensure_unit(job.unit_of(task)).task_crashes
        known = crashes.get(task.ordinal, [])
        crashes[task.ordinal] = with_crash(known, crash)
        job.note_unit(job.unit_of(task))
        yield task.job


def note_witnessed(jobs: Mapping[JobId, Job], record: CrashWitnessed) -> None:
    """Note which runs were on a runner when it crashed.

    :param jobs: the jobs by id.
    :param record: the runs; their crash is counted already.
    """
    by_evidence = (
        (Evidence.SEEN, record.seen),
        (Evidence.LIKELY, record.likely),
        (Evidence.UNCONFIRMED, record.unconfirmed),
    )
    for evidence, runs in by_evidence:
        for task, run in _open_on(jobs, runs, record.runner):
            job = jobs[task.job]
            crashes = job.ensure_unit(job.unit_of(task)).task_crashes
            if task.ordinal in crashes:
                known = crashes[task.ordinal]
                crashes[task.ordinal] = with_evidence(known, run, evidence)


def note_next_life(
    jobs: Mapping[JobId, Job],
    suspects: Iterable[JobId],
    record: RunnerDescribed,
) -> None:
    """Confirm crashes by what is told of the next life of a machine.

    :param jobs: the jobs by id.
    :param suspects: those with suspected units.
    :param record: what the life reported about itself.
    """
    for name in suspects:
        job = jobs[name]
        for key in job.progress.suspected:
            crashes = job.units[key].task_crashes
            for ordinal, known in crashes.items():
                crashes[ordinal] = with_next_life(
                    known, record.runner, record.machine, record.born_ms
                )


def note_unreported_crash(
    job: Job, run: OpenRun, reason: str, at_ms: Millis
) -> bool:
    """Count a crash that its holder closed a run for without reporting it.

    :param job: job of the run.
    :param run: the run.
    :param reason: why it was closed.
    :param at_ms: time of the cell.
    :returns: whether the unit is suspected.
    """
    unit_id = job.unit_of(run.task)
    unit = job.ensure_unit(unit_id)
    if reason in CRASH_REASONS:
        crash = Crash(run.run, run.runner, '', RUNNING_WEIGHT, at_ms)
        known = unit.task_crashes.get(run.task.ordinal, [])
        unit.task_crashes[run.task.ordinal] = with_unreported(known, crash)
        job.note_unit(unit_id)
    return unit.suspected


def has_suspects(job: Job) -> bool:
    """Tell whether runners have crashed under some unit of a job.

    :param job: the job.
    :returns: whether it has such a unit.
    """
    return bool(job.progress.suspected)


def is_suspected(job: Job, task: TaskId) -> bool:
    """Tell whether runners have crashed under the unit of a task.

    :param job: the job.
    :param task: a task of it.
    :returns: whether it is suspected.
    """
    unit = job.find_unit(job.unit_of(task))
    return unit is not None and unit.suspected


def tasks_to_give_up(job: Job) -> Iterator[TaskId]:
    """List the tasks of a job that must not start again.

    :param job: the job.
    :returns: ids of the tasks, also of those that were given up.
    """
    for key in job.progress.suspected:
        unit = job.units[key]
        if unit.done:
            continue
        for ordinal, crashes in unit.task_crashes.items():
            if should_give_up(crashes):
                yield TaskId(job.job, *key[:2], ordinal)


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
        for key in job.progress.suspected:
            unit = job.units[key]
            found |= {
                run.runner
                for run in unit.open.values()
                if run.started_ms > since_ms
            }
    return frozenset(found)


def give_up_records(
    job: Job, task: TaskId, epoch: int, at_ms: Millis
) -> Sequence[Record]:
    """Make the records that give a task up and fail its job.

    Versions that don't know :class:`TaskGivenUp` fail the job by failed ends,
    as many as the unit has attempts left.

    :param job: the job.
    :param task: the task.
    :param epoch: epoch of the holder.
    :param at_ms: time of the decision.
    :returns: the records.
    """
    unit = job.ensure_unit(job.unit_of(task))
    last = unit.task_crashes[task.ordinal][-1]
    records: list[Record] = [TaskGivenUp(epoch, task, at_ms)]
    if job.step(task).lasting:
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


def _open_on(
    jobs: Mapping[JobId, Job], lost: Iterable[RunKey], runner: RunnerId
) -> list[RunKey]:
    """Return the runs that are still open on a runner."""
    found: list[RunKey] = []
    for task, number in lost:
        run = find_open_run(jobs, task, number)
        if run is not None and run.runner == runner:
            found.append((task, number))
    return found
