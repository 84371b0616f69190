"""Finds the root cause when processing a job failed.

Placing a job compares its unit with the runners and with runs of other jobs.
If one of those fails when processed by itself, the job is not the cause.
"""

from collections.abc import Iterable

from swifthoist_core.types import JobId, Millis
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.cell import Cell
from swifthoist_engine.faults import Fault, FaultGuard, FaultSource
from swifthoist_engine.model import QueueTerms, Resources, StepSpec, UnitId
from swifthoist_engine.occupancy import occupancy_of, usage_of
from swifthoist_engine.placing import Placer
from swifthoist_engine.preemption import Preemption
from swifthoist_engine.queueing import IN_TIME, PendingUnit
from swifthoist_engine.runners import RunnerView


def find_root_causes(
    cell: Cell,
    runners: Iterable[RunnerView],
    excluded_jobs: frozenset[JobId],
    now_ms: Millis,
) -> tuple[Fault, ...]:
    """Find the runners and runs that can't be processed by themselves.

    :param cell: the cell.
    :param runners: the runners.
    :param excluded_jobs: jobs whose runs are skipped.
    :param now_ms: time of the cell.
    :returns: a fault for each such runner, and for each job of such a run.
    """
    guard = FaultGuard()
    for view in runners:
        with guard.isolate(FaultSource.RUNNER, view.runner):
            capacity = CapacityPlan(
                cell, occupancy_of(cell, (view,)), now_ms, excluded_jobs
            )
            Placer(capacity, now_ms, {}).place(_probe_unit(view, now_ms))
    capacity = CapacityPlan(cell, occupancy_of(cell, ()), now_ms, excluded_jobs)
    placer = Placer(capacity, now_ms, {})
    preemption = Preemption(cell, placer, frozenset(), now_ms)
    # Runs of a step hardly differ, so one of them is checked for each step.
    runs = {run.task[:3]: run for run in cell.runs.all()}
    for run in runs.values():
        if run.task.job in excluded_jobs:
            continue
        with guard.isolate(FaultSource.JOB, run.task.job):
            usage = usage_of(cell, run)
            preemption.as_victim(usage)
            capacity.expected_end(usage)
    return guard.faults


def _probe_unit(view: RunnerView, now_ms: Millis) -> PendingUnit:
    """Make a unit without a job that suits any runner of a service."""
    return PendingUnit(
        UnitId('', 0, 0, 0),
        StepSpec(1, Resources()),
        None,
        QueueTerms(1, 1, 1, 0, view.service),
        '',
        now_ms,
        now_ms,
        IN_TIME,
        within_guarantee=False,
        uses_policy=False,
    )
