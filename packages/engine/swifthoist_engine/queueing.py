"""Lists the units that wait for a start, and orders them.

Units of urgent queues come first, and of these the ones that their team's
guarantee covers. Within a priority, units that can still meet their objective go
before those that can't, ordered by deadline. Units too late
to be worth anything go last, unless they are urgent. Deadlines grow with the
job's critical path, so small jobs pass large ones, and each job moves ahead of
later ones as it ages.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, OwnerId
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.cell import Cell
from swifthoist_engine.demand import teams_within_guarantee
from swifthoist_engine.done_units import StepPlace
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.faults import FaultGuard, FaultSource
from swifthoist_engine.job_costs import JobCosts
from swifthoist_engine.jobs import Job, Unit
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

MAX_STEPS = 64
"""Most steps of a job in one decision: as many as it starts tasks."""

MAX_PREPARED_STEPS = 1_000
"""Most steps of new jobs that one decision goes through, jobs of few steps
first."""

MAX_ESTIMATED_STEPS = 200
"""Largest number of steps of which the critical path is estimated anew for each
decision; beyond it, the declared durations are used."""

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


class PendingStep(NamedTuple):
    """A step with units that could start now.

    :ivar model: its units are like this one but for their ids and states.
    :ivar job: its job.
    :ivar context: what the order of the decision depends on.
    """

    model: PendingUnit
    job: Job
    context: '_Context'

    @property
    def key(self) -> tuple[JobId, int, int]:
        """Job, occurrence and number of the step."""
        return self.model.unit[:3]

    def units(self) -> Iterator[PendingUnit]:
        """Yield the units in scheduling order, as they are asked for."""
        _, occurrence, number = self.key
        place = (occurrence, number)
        for ordinal in self.job.progress.startable_ordinals(place):
            unit_id = UnitId(*self.key, ordinal)
            state = self.job.find_unit(unit_id)
            if _is_startable(state, self.context):
                yield self.model._replace(unit=unit_id, state=state)


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


class _Rank(NamedTuple):
    """Sort key of a step: lowest first, most important criterion first."""

    worthless: bool
    priority: int
    beyond_guarantee: bool
    tier: int
    deadline_ms: Millis
    key: tuple[JobId, int, int]


class _JobTerms(NamedTuple):
    """Terms of a job that its steps share.

    :ivar terms: terms of its queue.
    :ivar objective: time within which it is to be complete, in ms.
    :ivar within_guarantee: it is urgent, and its team's guarantee covers it.
    :ivar uses_policy: its queue's policy selects its runners.
    """

    terms: QueueTerms
    objective: float
    within_guarantee: bool
    uses_policy: bool


def pending_steps(
    cell: Cell,
    catalogue: Catalogue,
    now_ms: Millis,
    guard: FaultGuard,
    excluded_jobs: frozenset[JobId],
    ahead_ms: Millis = 0,
    mechanisms: Mechanisms = DEFAULT_MECHANISMS,
    costs: JobCosts | None = None,
) -> list[PendingStep]:
    """List the steps with units that could start now, in scheduling order.

    Of a job with very many such steps some are listed each time, in turn.

    :param cell: the cell.
    :param catalogue: configuration in force.
    :param now_ms: time of the cell.
    :param guard: isolates faults by job.
    :param excluded_jobs: jobs to leave out; they stay marked as dirty.
    :param ahead_ms: how far the time of day is ahead of ``now_ms``.
    :param mechanisms: mechanisms of the scheduler that are enabled.
    :param costs: adds up the time that each job takes; None for nowhere.
    :returns: the steps in the order in which their units are scheduled.
    """
    costs = costs or JobCosts()
    estimates = DurationEstimates(
        cell.state, observed=mechanisms.observed_durations
    )
    context = _Context(now_ms, ahead_ms, mechanisms, estimates)
    jobs = [it for it in cell.dirty_jobs() if it.job not in excluded_jobs]
    _prepare(jobs, guard)
    within_guarantee = teams_within_guarantee(cell, catalogue, guard)
    found: list[PendingStep] = []
    for job in jobs:
        with guard.isolate(FaultSource.JOB, job.job), costs.measure(job.job):
            steps: list[PendingStep] = []
            if not job.final:
                steps = _of_job(job, catalogue, context, within_guarantee)
            if not steps and _is_settled(job):
                cell.dirty.discard(job.job)
            found.extend(steps)
        if costs.out_of_time:
            break
    found.sort(key=_rank)
    return found


def _prepare(jobs: Iterable[Job], guard: FaultGuard) -> None:
    """Go through the steps of new jobs, as far as one decision may."""
    left = MAX_PREPARED_STEPS
    new = [job for job in jobs if not job.progress.prepared]
    for job in sorted(new, key=_count_steps):
        with guard.isolate(FaultSource.JOB, job.job):
            left -= job.progress.prepare(left)


def _count_steps(job: Job) -> int:
    return len(job.spec.steps)


def _is_settled(job: Job) -> bool:
    """Tell whether only a new record can make a job dirty again.

    Jobs that time alone can change are not settled: occurrences become due,
    retry pauses end, and members of a gang have limited time to end together.
    """
    if job.spec.schedule is not None and not job.final:
        return False
    if any(job.final or job.units[key].done for key in job.progress.open):
        return False
    return job.final or job.progress.settled


def _rank(pending: PendingStep) -> _Rank:
    model = pending.model
    return _Rank(
        model.tier == LOST and not model.urgent,
        model.terms.priority,
        not model.within_guarantee,
        model.tier,
        model.deadline_ms,
        pending.key,
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
) -> list[PendingStep]:
    """List steps of a job, in no particular order."""
    if not job.progress.prepared:
        return []
    terms = current_terms(job, catalogue)
    queue = catalogue.queue_named(job.spec.queue)
    job_terms = _JobTerms(
        terms,
        terms.slack * _chain_ms(job, context) + terms.objective_ms,
        terms.priority == 0 and job.spec.team in within_guarantee,
        queue is not None and queue.advice is not None,
    )
    job.progress.open_due(lambda it: _is_due(job, it, context), MAX_STEPS)
    return [
        PendingStep(_model_of(job, place, job_terms, context), job, context)
        for place in job.progress.take_startable(MAX_STEPS)
    ]


def _model_of(
    job: Job, place: StepPlace, job_terms: _JobTerms, context: _Context
) -> PendingUnit:
    """Describe what the units of a step have in common."""
    occurrence, number = place
    step = job.spec.steps[number]
    due = _due_ms(job, occurrence, context)
    duration_ms = context.estimates.step_ms(job.spec, number)
    tier = IN_TIME
    if context.mechanisms.in_time_first and not step.lasting:
        takes_ms = context.cell_ms + duration_ms - due
        tier = _tier_of(takes_ms, job_terms.objective)
    return PendingUnit(
        UnitId(job.job, occurrence, number, 0),
        step,
        None,
        job_terms.terms,
        job.spec.team,
        due,
        int(due + job_terms.objective),
        tier,
        job_terms.within_guarantee,
        job_terms.uses_policy,
        duration_ms,
    )


def _chain_ms(job: Job, context: _Context) -> Millis:
    """Return the length of a job's critical path."""
    if len(job.spec.steps) > MAX_ESTIMATED_STEPS:
        return max(job.progress.declared_ms, MIN_CHAIN_MS)
    estimated_ms = context.estimates.critical_path_ms(job.spec)
    return max(estimated_ms, MIN_CHAIN_MS)


def _is_due(job: Job, occurrence: int, context: _Context) -> bool:
    # The clock that accepted a job may have been ahead.
    if job.spec.schedule is None:
        return True
    return _due_ms(job, occurrence, context) <= context.cell_ms


def _due_ms(job: Job, occurrence: int, context: _Context) -> Millis:
    schedule = job.spec.schedule
    if schedule is None:
        return job.spec.accepted_ms
    return schedule.due_ms(occurrence) - context.ahead_ms


def _tier_of(takes_ms: Millis, objective_ms: float) -> int:
    if takes_ms <= objective_ms:
        return IN_TIME
    return LATE if takes_ms <= LATE_FACTOR * objective_ms else LOST


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
