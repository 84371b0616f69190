"""Computes one scheduling decision: what to start and what to stop.

If an exception is raised while a job is processed, the capacity plan may be
half updated. The attempt is discarded, and the decision is computed again
without the job or runner that caused the exception.
"""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import NamedTuple

from swifthoist_core.types import Epoch, JobId, Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan, StepKey
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.cell import Cell
from swifthoist_engine.demand import urgent_accelerators
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.faults import Fault, FaultGuard, FaultSource
from swifthoist_engine.job_costs import JobCosts
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import (
    DEFAULT_SITE_TERMS,
    RunKey,
    SiteTerms,
    StepSpec,
    TaskId,
)
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.placing import Placer
from swifthoist_engine.preemption import Preemption
from swifthoist_engine.queueing import (
    LOST,
    PendingStep,
    PendingUnit,
    pending_steps,
)
from swifthoist_engine.records import Placement, Started
from swifthoist_engine.reservations import Reservations
from swifthoist_engine.root_causes import find_root_causes
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.stops import Stop, leaving_runs, unwanted_runs
from swifthoist_engine.suspects import tasks_to_give_up

MAX_STARTS = 64
"""Most tasks that one decision starts; the next decision follows at once."""

HEADROOM_S = 0.65
"""Room is kept free for the accelerators that urgent jobs request in this time,
in seconds, at their recent rate. Simulations with 0.3 to 2.5 s differ by less
than their variation between runs."""

RESERVE_AFTER_MS = 4_000
"""How long a blocked unit waits before room is reserved for it, in ms."""

MAX_ATTEMPTS = 4
"""How often a decision is computed, each time without what the attempt before
failed on. One attempt finds every fault that no other fault hides; the rest is
left to the next decision."""


_MS_PER_S = 1_000


class DecisionInput(NamedTuple):
    """What a decision is based on.

    :ivar cell: the cell.
    :ivar catalogue: configuration in force.
    :ivar runners: the runners.
    :ivar stopping: runs that are being stopped already.
    :ivar allowed: runners that a queue's policy allows, by step.
    :ivar now_ms: time of the cell.
    :ivar excluded_jobs: jobs left out because earlier decisions failed on them.
    :ivar ahead_ms: how far the time of day is ahead of ``now_ms``; occurrences
        are due by the time of day.
    :ivar mechanisms: mechanisms of the scheduler that are enabled.
    :ivar terms: terms of the site.
    :ivar occupancy: usage counted for earlier decisions; None for the first
        one.
    :ivar costs: measures the time spent on each job; None for no limit.
    """

    cell: Cell
    catalogue: Catalogue
    runners: tuple[RunnerView, ...]
    stopping: frozenset[RunKey]
    allowed: Mapping[StepKey, frozenset[RunnerId]]
    now_ms: Millis
    excluded_jobs: frozenset[JobId] = frozenset()
    ahead_ms: Millis = 0
    mechanisms: Mechanisms = DEFAULT_MECHANISMS
    terms: SiteTerms = DEFAULT_SITE_TERMS
    occupancy: Occupancy | None = None
    costs: JobCosts | None = None

    def without(self, faults: Iterable[Fault]) -> 'DecisionInput':
        """Exclude the jobs and runners that a decision failed on.

        :param faults: the faults of the decision.
        :returns: the remaining input.
        """
        names = {(fault.kind, fault.name) for fault in faults}
        if not names:
            return self
        jobs = {name for kind, name in names if kind is FaultSource.JOB}
        return self._replace(
            excluded_jobs=self.excluded_jobs | jobs,
            occupancy=None,
            runners=tuple(
                view
                for view in self.runners
                if (FaultSource.RUNNER, view.runner) not in names
            ),
        )


class Decision(NamedTuple):
    """The result of a decision.

    :ivar starts: units to start.
    :ivar stops: runs to stop.
    :ivar awaiting_policy: units of queues whose policy has not answered yet.
    :ivar faults: exceptions met, with the jobs, runners and teams excluded
        because of them.
    :ivar given_up: tasks to give up, since they crash their runners.
    :ivar costly: jobs that took long, with the time spent on each, in ms.
    """

    starts: tuple[Started, ...]
    stops: tuple[Stop, ...]
    awaiting_policy: tuple[PendingUnit, ...]
    faults: tuple[Fault, ...] = ()
    given_up: tuple[TaskId, ...] = ()
    costly: Mapping[JobId, Millis] = MappingProxyType({})


def decide(inputs: DecisionInput, epoch: Epoch) -> Decision:
    """Decide what to start and what to stop.

    :param inputs: what the decision is based on.
    :param epoch: epoch of the holder.
    :returns: the decision.
    """
    guard = FaultGuard()
    estimates = duration_estimates(inputs)
    stops = (
        *unwanted_runs(inputs.cell, inputs.now_ms, guard),
        *leaving_runs(
            inputs.cell, inputs.runners, inputs.now_ms, guard, estimates
        ),
    )
    costs = inputs.costs or JobCosts()
    inputs = inputs._replace(costs=costs)
    steps = pending_steps(
        inputs.cell,
        inputs.catalogue,
        inputs.now_ms,
        guard,
        inputs.excluded_jobs,
        inputs.ahead_ms,
        inputs.mechanisms,
        costs,
    )
    given_up = tuple(_tasks_to_give_up(inputs.cell, guard))
    inputs = inputs.without(guard.faults)
    for _ in range(MAX_ATTEMPTS):
        attempt = _try_to_decide(inputs, epoch, steps)
        for fault in attempt.faults:
            guard.note(fault)
        if not attempt.faults:
            return attempt._replace(
                stops=(*stops, *attempt.stops),
                faults=guard.faults,
                given_up=given_up,
                costly=costs.costly,
            )
        inputs = inputs.without(attempt.faults)
    return Decision((), stops, (), guard.faults)


def _tasks_to_give_up(cell: Cell, guard: FaultGuard) -> Iterator[TaskId]:
    for name in sorted(cell.suspects):
        job = cell.find_job(name)
        if job is None or job.final:
            continue
        with guard.isolate(FaultSource.JOB, name):
            yield from tasks_to_give_up(job)


def duration_estimates(inputs: DecisionInput) -> DurationEstimates:
    """Make the duration estimates for a decision.

    :param inputs: what the decision is based on.
    :returns: the estimates.
    """
    return DurationEstimates(
        inputs.cell.state, observed=inputs.mechanisms.observed_durations
    )


def _try_to_decide(
    inputs: DecisionInput, epoch: Epoch, steps: Iterable[PendingStep]
) -> Decision:
    """Schedule the pending steps; report faults instead if there are any."""
    try:
        planner = _Planner(inputs, epoch)
    except Exception:
        roots = _find_roots(inputs)
        if not roots:
            raise
        return Decision((), (), (), roots)
    faults = planner.schedule_all(steps)
    if faults:
        return Decision((), (), (), _find_roots(inputs) or faults)
    return Decision(
        tuple(planner.starts),
        tuple(planner.stops),
        tuple(planner.awaiting_policy),
    )


def _find_roots(inputs: DecisionInput) -> tuple[Fault, ...]:
    return find_root_causes(
        inputs.cell, inputs.runners, inputs.excluded_jobs, inputs.now_ms
    )


class _Likeness(NamedTuple):
    """What placing a unit depends on.

    :ivar job: its job.
    :ivar due_ms: when its occurrence was due.
    :ivar place: occurrence and number of its step, if what others of that step
        do matters; empty otherwise.
    :ivar step: its step, without what does not matter.
    :ivar failures: number of runs that failed.
    :ivar idle_s: since when it waits again, in seconds.
    :ivar suspected: whether it may crash its runners.
    """

    job: JobId
    due_ms: Millis
    place: tuple[int, ...]
    step: StepSpec
    failures: int = 0
    idle_s: int = 0
    suspected: bool = False


class _Planner:
    """Schedules the pending units in order on one capacity plan."""

    def __init__(self, inputs: DecisionInput, epoch: Epoch) -> None:
        occupancy = inputs.occupancy or Occupancy()
        occupancy.sync(inputs.cell, inputs.runners)
        capacity = CapacityPlan(
            inputs.cell,
            occupancy,
            inputs.now_ms,
            inputs.excluded_jobs,
            duration_estimates(inputs),
        )
        self.starts: list[Started] = []
        self.stops: list[Stop] = []
        self.awaiting_policy: list[PendingUnit] = []
        self.tasks = 0
        self._blocked: set[StepKey] = set()
        self._futile: set[_Likeness] = set()
        self._headroom = 0
        if inputs.mechanisms.headroom:
            rate = urgent_accelerators(inputs.cell, inputs.now_ms)
            self._headroom = int(HEADROOM_S * rate)
        self._inputs = inputs
        self._epoch = epoch
        self._placer = Placer(
            capacity,
            inputs.now_ms,
            inputs.allowed,
            inputs.mechanisms,
            inputs.terms,
        )
        self._reservations = Reservations(self._placer)
        self._preemption = Preemption(
            inputs.cell,
            self._placer,
            inputs.stopping,
            inputs.now_ms,
            inputs.mechanisms,
            inputs.terms,
        )

    def schedule_all(self, steps: Iterable[PendingStep]) -> tuple[Fault, ...]:
        """Schedule steps one after the other, while there is time.

        :param steps: the steps; those of excluded jobs are skipped.
        :returns: the faults met. If there are any, the capacity plan may be
            half updated.
        """
        guard = FaultGuard()
        costs = self._inputs.costs or JobCosts()
        for pending in steps:
            name = pending.job.job
            if name in self._inputs.excluded_jobs:
                continue
            with guard.isolate(FaultSource.JOB, name), costs.measure(name):
                self._schedule_step(pending)
            if self.tasks >= MAX_STARTS or costs.out_of_time:
                break
        return guard.faults

    def _schedule_step(self, pending: PendingStep) -> None:
        """Schedule the units of a step until none of the rest can start.

        Of units that are alike the others are not tried once one has failed:
        room only shrinks within a decision.
        """
        for unit in pending.units():
            likeness = _likeness(unit)
            if likeness in self._futile:
                if unit.state is None:
                    return
                continue
            if not self._schedule(unit):
                self._futile.add(likeness)
            if self.tasks >= MAX_STARTS:
                return

    def _schedule(self, pending: PendingUnit) -> bool:
        """Start a unit, preempt or reserve room for it, or let it wait.

        :param pending: the unit.
        :returns: whether units that are like it may be served as well.
        """
        if pending.uses_policy and pending.unit[:3] not in self._inputs.allowed:
            self.awaiting_policy.append(pending)
            return False
        placed = self._place(pending)
        if placed is not None:
            self._start(pending, placed)
            return True
        if pending.urgent and self._inputs.mechanisms.preemption:
            return self._make_room(pending)
        if self._may_reserve(pending):
            return self._reservations.request(pending)
        return False

    def _place(self, pending: PendingUnit) -> tuple[Placement, ...] | None:
        """Place a unit, unless another unit of its step is blocked.

        Room only shrinks within a decision, so the rest of the step has to
        wait.
        """
        step = pending.unit[:3]
        if step in self._blocked or self._must_keep_headroom(pending):
            return None
        placed = self._placer.place(pending)
        if placed is None:
            self._blocked.add(step)
        return placed

    def _must_keep_headroom(self, pending: PendingUnit) -> bool:
        """Tell whether a task has to wait to keep headroom for urgent gangs.

        This applies only to single tasks without checkpoints: preempting them
        would lose their work, and others of their kind end soon.
        """
        step = pending.step
        if pending.urgent or step.gang or step.checkpointing or step.lasting:
            return False
        free = self._placer.capacity.room.accelerators
        return free - step.need.accelerators < self._headroom

    def _start(
        self, pending: PendingUnit, placed: tuple[Placement, ...]
    ) -> None:
        state = pending.state
        started = Started(
            self._epoch,
            pending.unit,
            pending.run,
            '' if state is None else state.checkpoint,
            placed,
            self._inputs.now_ms,
        )
        self.starts.append(started)
        self.tasks += len(placed)

    def _make_room(self, pending: PendingUnit) -> bool:
        plan = self._preemption.make_room(pending)
        if plan is not None:
            victims = plan.victims
            self.stops.extend(Stop(run, 'preempted') for run in victims)
        return plan is not None

    def _may_reserve(self, pending: PendingUnit) -> bool:
        if not self._inputs.mechanisms.reservations:
            return False
        if self._reservations.full:
            return False
        waited_ms = self._inputs.now_ms - pending.due_ms
        return pending.tier < LOST and waited_ms > RESERVE_AFTER_MS


def _likeness(pending: PendingUnit) -> '_Likeness':
    state = pending.state
    step = pending.step
    bound = step.spread_limit or step.may_miss or pending.uses_policy
    fresh = _Likeness(
        pending.unit.job,
        pending.due_ms,
        pending.unit[1:3] if bound else (),
        step._replace(width=pending.members, depends_on=()),
    )
    if state is None:
        return fresh
    return fresh._replace(
        failures=state.failures,
        idle_s=state.idle_since_ms // _MS_PER_S,
        suspected=state.suspected,
    )
