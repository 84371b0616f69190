"""Demand of jobs that wait or run, computed from the folded log.

A new holder computes the same figure, since the fold keeps finished jobs.
"""

from collections import Counter

from swifthoist_core.types import Millis, OwnerId
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.jobs import JobState

DEMAND_WINDOW_MS = 10_000
"""Time window of the demand, in ms: some ten urgent jobs on a site of 24
runners, and short against the load phases of a day."""


def urgent_accelerators(cell: Cell, now_ms: Millis) -> float:
    """Compute how many accelerators urgent jobs request per second.

    There is no prior: the result is 0 before the first urgent job.

    :param cell: the cell.
    :param now_ms: time of the cell.
    :returns: accelerators per second, over the last :data:`DEMAND_WINDOW_MS`.
    """
    demand = sum(
        job.progress.passing_accelerators
        for job in cell.urgent.values()
        if 0 <= now_ms - job.spec.accepted_ms < DEMAND_WINDOW_MS
    )
    return demand / DEMAND_WINDOW_MS * 1_000


def teams_within_guarantee(
    cell: Cell, catalogue: Catalogue, guard: FaultGuard
) -> frozenset[OwnerId]:
    """List the teams whose urgent jobs fit within their guarantees.

    :param cell: the cell.
    :param catalogue: configuration in force.
    :param guard: isolates faults by job and team.
    :returns: names of the teams.
    """
    demand: Counter[OwnerId] = Counter()
    unknown: set[OwnerId] = set()
    for job in cell.urgent.values():
        if job.final:
            continue
        with guard.isolate(FaultSource.JOB, job.job):
            demand[job.spec.team] += job.progress.demand
            if not job.progress.prepared:
                unknown.add(job.spec.team)
    found: set[OwnerId] = set()
    for team, accelerators in demand.items():
        with guard.isolate(FaultSource.TEAM, team):
            if accelerators <= catalogue.guaranteed(team):
                found.add(team)
    return frozenset(found - unknown)


def count_waiting(state: CellState, queue: str) -> int:
    """Count the accepted jobs of a queue that have not started any task.

    :param state: state of the cell.
    :param queue: name of the queue.
    :returns: number of jobs.
    """
    return sum(
        job.spec.queue == queue and job.state is JobState.QUEUED
        for job in state.jobs.values()
    )
