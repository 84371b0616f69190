"""Lists the runs to stop whatever else is scheduled."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.types import Millis
from swifthoist_engine.cell import Cell
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.jobs import Job, OpenRun, Unit
from swifthoist_engine.runners import RunnerView

GANG_END_GRACE_MS = 1_000
"""Members of a gang end together, but their ends are reported at different
times. Only members that still run after this time, in ms, have to be
stopped."""


class Stop(NamedTuple):
    """A run to stop.

    :ivar run: the run.
    :ivar reason: why it is stopped.
    """

    run: OpenRun
    reason: str


def unwanted_runs(
    cell: Cell, now_ms: Millis, guard: FaultGuard
) -> Iterator[Stop]:
    """List the open runs to stop.

    :param cell: the cell.
    :param now_ms: time of the cell.
    :param guard: isolates faults by job.
    :returns: runs of jobs in a final state, of units that are done, and of
        gangs with missing members.
    """
    for job in cell.dirty_jobs():
        with guard.isolate(FaultSource.JOB, job.job):
            for key in job.progress.open:
                unit = job.units[key]
                reason = _why_unwanted(job, unit, now_ms)
                if reason:
                    yield from (Stop(run, reason) for run in unit.open.values())


def leaving_runs(
    cell: Cell,
    runners: Iterable[RunnerView],
    now_ms: Millis,
    guard: FaultGuard,
    estimates: DurationEstimates,
) -> Iterator[Stop]:
    """List the runs to stop because their runner leaves before they end.

    Their checkpoints are reported when they are stopped; a checkpoint that is
    not reported is lost with the runner.

    :param cell: the cell.
    :param runners: the runners.
    :param now_ms: time of the cell.
    :param guard: isolates faults by job.
    :param estimates: duration estimates.
    :returns: runs of checkpointing tasks on draining runners that leave before
        the expected end of the task.
    """
    for view in runners:
        if view.leaving_ms is None:
            continue
        for run in cell.runs_on(view.runner):
            with guard.isolate(FaultSource.JOB, run.task.job):
                if _leaves_early(cell, run, view.leaving_ms, now_ms, estimates):
                    yield Stop(run, 'its runner leaves')


def _leaves_early(
    cell: Cell,
    run: OpenRun,
    leaving_ms: Millis,
    now_ms: Millis,
    estimates: DurationEstimates,
) -> bool:
    job = cell.state.jobs[run.task.job]
    left_ms = estimates.usual_ms(run) - (now_ms - run.started_ms)
    return job.step(run.task).checkpointing and left_ms > leaving_ms


def _why_unwanted(job: Job, unit: Unit, now_ms: Millis) -> str:
    if unit.done and now_ms < unit.done_ms + GANG_END_GRACE_MS:
        return ''
    if job.final:
        return f'job is {job.state}'
    if unit.done:
        return 'unit is done'
    step = job.step(next(iter(unit.open.values())).task)
    if step.gang and len(unit.open) < step.width:
        return 'gang in part'
    return ''
