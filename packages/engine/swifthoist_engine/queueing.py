"""Lists the units that wait for a start, and orders them.

Units of urgent queues come first. Within a priority, units that can still meet
their objective go before those that can't, ordered by deadline. Units too late
to be worth anything go last, unless they are urgent. Deadlines grow with the
job's critical path, so small jobs pass large ones, and each job moves ahead of
later ones as it ages.
"""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, OwnerId
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.jobs import Job, JobState, Unit
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import (
    QueueTerms,
    StepSpec,
    UnitId,
)

LATE_FACTOR = 3
"""A job that takes longer than this multiple of its objective has no value."""

IN_TIME = 0
LATE = 1
LOST = 2
"""Tiers: a unit can meet its objective, is late, or is too late."""

MIN_CHAIN_MS = 1_000
"""Shortest critical path that a deadline is computed from, in ms."""

RETRY_PAUSE_MS = 100
"""Pause before a unit starts again, in ms."""

FREE_RETRIES = 6
"""Number of runs of a unit after which its retry pause starts to double."""

MAX_DOUBLINGS = 4
"""How often the retry pause doubles at most, up to 1.6 s."""


class PendingUnit(NamedTuple):
    """A unit that could start now.

    :ivar unit: its id.
    :ivar step: its step.
    :ivar state: state from its earlier runs; None before the first.
    :ivar terms: terms of its queue.
    :ivar team: team of the job.
    :ivar due_ms: when its job or occurrence was due.
    :ivar deadline_ms: deadline of its objective.
    :ivar tier: 0 if it can still meet its objective, 1 if it is late but still
        worth something, 2 if it is too late.
    :ivar within_guarantee: it is urgent, and its team's guarantee covers it.
    :ivar uses_policy: its queue's policy selects its runners.
    :ivar expected_ms: expected duration of its tasks; None for the declared
        one.
    """

    unit: UnitId
    step: StepSpec
    state: Unit | None
    terms: QueueTerms
    team: str
    due_ms: Millis
    deadline_ms: Millis
    tier: int
    within_guarantee: bool
    uses_policy: bool
    expected_ms: Millis | None = None

    @property
    def urgent(self) -> bool:
        """Whether it may preempt other runs."""
        return self.terms.priority == 0

    @property
    def members(self) -> int:
        """Number of its tasks."""
        return self.step.width if self.step.gang else 1

    @property
    def duration_ms(self) -> Millis:
        """Expected duration of its tasks."""
        if self.expected_ms is None:
            return self.step.estimate_ms
        return self.expected_ms

    def waited_ms(self, now_ms: Millis) -> Millis:
        """Compute how long it has waited.

        :param now_ms: time of the cell.
        :returns: time since it was due, or since its latest run ended.
        """
        since = self.due_ms
        if self.state is not None:
            since = max(since, self.state.idle_since_ms)
        return now_ms - since

    @property
    def run(self) -> int:
        """Number of its next run."""
        return 1 if self.state is None else self.state.last_run + 1


class _Context(NamedTuple):
    """What the order of a decision depends on.

    :ivar cell_ms: time of the cell.
    :ivar ahead_ms: how far the time of day is ahead of ``cell_ms``.
    :ivar mechanisms: mechanisms of the scheduler that are enabled.
    :ivar estimates: duration estimates.
    """

    cell_ms: Millis
    ahead_ms: Millis
    mechanisms: Mechanisms
    estimates: DurationEstimates


def pending_units(
    cell: Cell,
    catalogue: Catalogue,
    now_ms: Millis,
    guard: FaultGuard,
    excluded_jobs: frozenset[JobId],
    ahead_ms: Millis = 0,
    mechanisms: Mechanisms = DEFAULT_MECHANISMS,
    estimates: DurationEstimates | None = None,
) -> list[PendingUnit]:
    """List the units that could start now, in scheduling order.

    :param cell: the cell.
    :param catalogue: configuration in force.
    :param now_ms: time of the cell.
    :param guard: isolates faults by job.
    :param excluded_jobs: jobs to leave out; they stay marked as dirty.
    :param ahead_ms: how far the time of day is ahead of ``now_ms``.
    :param mechanisms: mechanisms of the scheduler that are enabled.
    :param estimates: duration estimates; None to derive them from the cell.
    :returns: the units in the order in which they are scheduled.
    """
    estimates = estimates or DurationEstimates(cell.state)
    context = _Context(now_ms, ahead_ms, mechanisms, estimates)
    within_guarantee = teams_within_guarantee(cell, catalogue, guard)
    found: list[PendingUnit] = []
    for job in cell.dirty_jobs():
        if job.job in excluded_jobs:
            continue
        with guard.isolate(FaultSource.JOB, job.job):
            units: list[PendingUnit] = []
            if not job.final:
                units.extend(_of_job(job, catalogue, context, within_guarantee))
            if not units and _is_settled(job):
                cell.dirty.discard(job.job)
            found.extend(units)
    found.sort(key=_sort_key)
    return found


def _is_settled(job: Job) -> bool:
    """Tell whether only a new record can make a job dirty again.

    Jobs that time alone can change are not settled: occurrences become due,
    retry pauses end, and members of a gang have limited time to end together.
    """
    if job.spec.schedule is not None and not job.final:
        return False
    for unit in job.units.values():
        unsettled = unit.done or job.final
        if unit.open and unsettled:
            return False
        if not unit.open and not unsettled:
            return False
    return True


def _sort_key(pending: PendingUnit) -> tuple[bool, int, int, Millis, UnitId]:
    return (
        pending.tier == LOST and not pending.urgent,
        pending.terms.priority,
        pending.tier,
        pending.deadline_ms,
        pending.unit,
    )


def current_terms(job: Job, catalogue: Catalogue) -> QueueTerms:
    """Return the terms in force for a job's queue.

    :param job: the job.
    :param catalogue: configuration in force.
    :returns: the terms in force; those at its acceptance if the queue is gone.
    """
    queue = catalogue.queue_named(job.spec.queue)
    return job.spec.terms if queue is None else queue.terms


def _of_job(
    job: Job,
    catalogue: Catalogue,
    context: _Context,
    within_guarantee: frozenset[OwnerId],
) -> Iterator[PendingUnit]:
    schedule = job.spec.schedule
    for occurrence in range(job.occurrences):
        due = job.spec.accepted_ms
        if schedule is not None:
            due = schedule.due_ms(occurrence) - context.ahead_ms
            if due > context.cell_ms and not job.occurrence_started(occurrence):
                return
        yield from _pending_of_occurrence(
            job, catalogue, occurrence, due, context, within_guarantee
        )


def _pending_of_occurrence(
    job: Job,
    catalogue: Catalogue,
    occurrence: int,
    due: Millis,
    context: _Context,
    within_guarantee: frozenset[OwnerId],
) -> Iterator[PendingUnit]:
    terms = current_terms(job, catalogue)
    queue = catalogue.queue_named(job.spec.queue)
    chain = max(context.estimates.critical_path_ms(job.spec), MIN_CHAIN_MS)
    objective = terms.slack * chain + terms.objective_ms
    for number in job.ready_steps(occurrence):
        step = job.spec.steps[number]
        duration_ms = context.estimates.step_ms(job.spec, number)
        tier = IN_TIME
        if context.mechanisms.in_time_first and not step.lasting:
            tier = _tier_of(context.cell_ms + duration_ms - due, objective)
        for unit_id in _startable_units(job, occurrence, number, context):
            yield PendingUnit(
                unit_id,
                step,
                job.find_unit(unit_id),
                terms,
                job.spec.team,
                due,
                int(due + objective),
                tier,
                terms.priority == 0 and job.spec.team in within_guarantee,
                queue is not None and queue.advice is not None,
                duration_ms,
            )


def _tier_of(takes_ms: Millis, objective_ms: float) -> int:
    if takes_ms <= objective_ms:
        return IN_TIME
    return LATE if takes_ms <= LATE_FACTOR * objective_ms else LOST


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
    for job in cell.urgent.values():
        if job.final:
            continue
        with guard.isolate(FaultSource.JOB, job.job):
            demand[job.spec.team] += sum(
                step.width * step.need.accelerators for step in job.spec.steps
            )
    found: set[OwnerId] = set()
    for team, accelerators in demand.items():
        with guard.isolate(FaultSource.TEAM, team):
            if accelerators <= catalogue.guaranteed(team):
                found.add(team)
    return frozenset(found)


def _startable_units(
    job: Job, occurrence: int, number: int, context: _Context
) -> Iterator[UnitId]:
    for unit_id in job.step_units(occurrence, number):
        if _is_startable(job.find_unit(unit_id), context):
            yield unit_id


def _is_startable(unit: Unit | None, context: _Context) -> bool:
    if unit is None:
        return True
    if unit.done or unit.open or unit.to_give_up:
        return False
    # A clock that was ahead may have put the end in the future.
    if not context.mechanisms.retry_pause:
        return True
    idle_ms = context.cell_ms - unit.idle_since_ms
    return not 0 <= idle_ms < retry_pause_ms(unit.last_run)


def retry_pause_ms(runs: int) -> Millis:
    """Compute how long a unit pauses before its next start.

    :param runs: number of its runs so far.
    :returns: the pause, in ms; it doubles with each run after the first few, so
        that a start that is always rejected does not cause constant load.
    """
    doublings = min(max(runs - FREE_RETRIES, 0), MAX_DOUBLINGS)
    return RETRY_PAUSE_MS << doublings


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
