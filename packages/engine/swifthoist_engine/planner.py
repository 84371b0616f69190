"""One decision of the holder: what starts, and what is stopped.

Where looking at a job fails by a fault of the program's own, the board may
have been changed by half. So the decision is made again without what is to
blame, and nothing of the failed attempt is kept.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from swifthoist_core.types import Epoch, JobId, Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan, StepKey
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.cell import Cell
from swifthoist_engine.demand import urgent_accelerators
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.faults import Fault, FaultGuard, FaultSource
from swifthoist_engine.jobs import Job, OpenRun, Unit
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import USUAL_TERMS, SiteTerms
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.placing import Placer
from swifthoist_engine.preemption import Preemption
from swifthoist_engine.queueing import LOST, PendingUnit, pending_units
from swifthoist_engine.records import Placement, Started
from swifthoist_engine.reservations import Reservations
from swifthoist_engine.root_causes import find_root_causes
from swifthoist_engine.run_index import RunKey
from swifthoist_engine.runners import RunnerView

MAX_STARTS = 64
"""Most tasks that one decision starts; the next decision follows at once."""

DONE_TOGETHER_MS = 1_000
"""Members of a gang end together, but are not seen to at the same moment; only
what still runs after this time needs a stop."""

HEADROOM_S = 0.65
"""Room is left for what urgent jobs ask for in this time, in seconds, at the rate
that was seen lately. Plays with 0.3 to 2.5 s differ by less than their spread."""

RESERVE_AFTER_MS = 4_000
"""How long a blocked unit waits before room is kept for it, in ms."""

MAX_ATTEMPTS = 4
"""How often a decision is made again without what it failed on. One attempt
meets all faults that don't hide behind others; the next decision goes on."""


class DecisionInput(NamedTuple):
    """What a decision is made on.

    :ivar cell: the cell.
    :ivar catalogue: configuration in force.
    :ivar runners: the runners.
    :ivar stopping: runs that are being stopped already.
    :ivar allowed: runners that the policy of a step's queue names.
    :ivar now_ms: time of the cell.
    :ivar excluded_jobs: jobs that decisions failed on, and that are left out.
    :ivar ahead_ms: how far the time of day is ahead of ``now_ms``; occurrences
        are due by the time of day.
    :ivar mechanisms: parts of the decision that take part.
    :ivar terms: terms of the site.
    :ivar occupancy: what the decisions before it have counted; none for the
        first one.
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
    terms: SiteTerms = USUAL_TERMS
    occupancy: Occupancy | None = None

    def without(self, faults: Iterable[Fault]) -> 'DecisionInput':
        """Leave out what a decision failed on.

        :param faults: what it failed on.
        :returns: the rest.
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


class Stop(NamedTuple):
    """A run that has to end.

    :ivar run: the run.
    :ivar reason: why.
    """

    run: OpenRun
    reason: str


class Decision(NamedTuple):
    """What to do now.

    :ivar starts: units to start.
    :ivar stops: runs to stop.
    :ivar awaiting_policy: units of queues whose policy is still to be asked.
    :ivar faults: what it failed on, and left out.
    """

    starts: tuple[Started, ...]
    stops: tuple[Stop, ...]
    awaiting_policy: tuple[PendingUnit, ...]
    faults: tuple[Fault, ...] = ()


def decide(world: DecisionInput, epoch: Epoch) -> Decision:
    """Decide what starts and what is stopped.

    :param world: what is known.
    :param epoch: epoch of the holder.
    :returns: the decision.
    """
    guard = FaultGuard()
    expected = duration_estimates(world)
    stops = (
        *unwanted_runs(world.cell, world.now_ms, guard),
        *leaving_runs(world, guard, expected),
    )
    units = pending_units(
        world.cell,
        world.catalogue,
        world.now_ms,
        guard,
        world.excluded_jobs,
        world.ahead_ms,
        world.mechanisms,
        expected,
    )
    world = world.without(guard.faults)
    for _ in range(MAX_ATTEMPTS):
        attempt = _attempt(world, epoch, units)
        for fault in attempt.faults:
            guard.note(fault)
        if not attempt.faults:
            return attempt._replace(
                stops=(*stops, *attempt.stops), faults=guard.faults
            )
        world = world.without(attempt.faults)
    return Decision((), stops, (), guard.faults)


def duration_estimates(world: DecisionInput) -> DurationEstimates:
    """Tell how long tasks are expected to take.

    :param world: what is known.
    :returns: what a decision on it expects.
    """
    return DurationEstimates(
        world.cell.state, observed=world.mechanisms.observed_durations
    )


def _attempt(
    world: DecisionInput, epoch: Epoch, units: Iterable[PendingUnit]
) -> Decision:
    """Serve the waiting units, unless looking at some job fails."""
    try:
        planner = _Planner(world, epoch)
    except Exception:
        roots = _find_roots(world)
        if not roots:
            raise
        return Decision((), (), (), roots)
    faults = planner.serve_all(units)
    if faults:
        return Decision((), (), (), _find_roots(world) or faults)
    return Decision(
        tuple(planner.starts),
        tuple(planner.stops),
        tuple(planner.awaiting_policy),
    )


def _find_roots(world: DecisionInput) -> tuple[Fault, ...]:
    return find_root_causes(
        world.cell, world.runners, world.excluded_jobs, world.now_ms
    )


class _Planner:
    """Serves the waiting units in their order on one board."""

    def __init__(self, world: DecisionInput, epoch: Epoch) -> None:
        occupancy = world.occupancy or Occupancy()
        occupancy.sync(world.cell, world.runners)
        capacity = CapacityPlan(
            world.cell,
            occupancy,
            world.now_ms,
            world.excluded_jobs,
            duration_estimates(world),
        )
        self.starts: list[Started] = []
        self.stops: list[Stop] = []
        self.awaiting_policy: list[PendingUnit] = []
        self.tasks = 0
        self._blocked: set[StepKey] = set()
        self._headroom = 0
        if world.mechanisms.headroom:
            rate = urgent_accelerators(world.cell, world.now_ms)
            self._headroom = int(HEADROOM_S * rate)
        self._world = world
        self._epoch = epoch
        self._placer = Placer(
            capacity,
            world.now_ms,
            world.allowed,
            world.mechanisms,
            world.terms,
        )
        self._reservations = Reservations(self._placer)
        self._preemption = Preemption(
            world.cell,
            self._placer,
            world.stopping,
            world.now_ms,
            world.mechanisms,
            world.terms,
        )

    def serve_all(self, units: Iterable[PendingUnit]) -> tuple[Fault, ...]:
        """Serve units one after the other.

        :param units: the units; those of jobs set aside are passed over.
        :returns: what failed. The board may be changed by half then.
        """
        guard = FaultGuard()
        for waiting in units:
            if waiting.unit.job in self._world.excluded_jobs or self._waits(
                waiting
            ):
                continue
            with guard.isolate(FaultSource.JOB, waiting.unit.job):
                self._serve(waiting)
            if self.tasks >= MAX_STARTS:
                break
        return guard.faults

    def _serve(self, waiting: PendingUnit) -> None:
        """Start a unit, make room for it, or let it wait."""
        if waiting.uses_policy and waiting.unit[:3] not in self._world.allowed:
            self.awaiting_policy.append(waiting)
            return
        placed = self._place(waiting)
        if placed is not None:
            self._start(waiting, placed)
        elif waiting.urgent and self._world.mechanisms.preemption:
            self._make_room(waiting)
        elif self._keeps_room(waiting):
            self._reservations.ask(waiting)

    def _waits(self, waiting: PendingUnit) -> bool:
        """Tell whether nothing can be done for a unit of a blocked step."""
        if waiting.urgent or waiting.unit[:3] not in self._blocked:
            return False
        return not self._keeps_room(waiting)

    def _place(self, waiting: PendingUnit) -> tuple[Placement, ...] | None:
        """Place a unit, unless another one of its step is blocked.

        Room only shrinks within a decision, so the rest of the step waits.
        """
        step = waiting.unit[:3]
        if step in self._blocked or self._leaves_headroom(waiting):
            return None
        placed = self._placer.place(waiting)
        if placed is None:
            self._blocked.add(step)
        return placed

    def _leaves_headroom(self, waiting: PendingUnit) -> bool:
        """Tell whether a task has to wait, so that urgent gangs find room.

        Only tasks by themselves that save no progress wait: a stop would lose
        their work, and others of their kind end soon.
        """
        step = waiting.step
        if waiting.urgent or step.gang or step.checkpointing or step.lasting:
            return False
        free = self._placer.capacity.room.accelerators
        return free - step.need.accelerators < self._headroom

    def _start(
        self, waiting: PendingUnit, placed: tuple[Placement, ...]
    ) -> None:
        state = waiting.state
        started = Started(
            self._epoch,
            waiting.unit,
            waiting.run,
            '' if state is None else state.checkpoint,
            placed,
            self._world.now_ms,
        )
        self.starts.append(started)
        self.tasks += len(placed)

    def _make_room(self, waiting: PendingUnit) -> None:
        plan = self._preemption.make_room(waiting)
        if plan is not None:
            victims = plan.victims
            self.stops.extend(Stop(run, 'preempted') for run in victims)

    def _keeps_room(self, waiting: PendingUnit) -> bool:
        if not self._world.mechanisms.reservations:
            return False
        if self._reservations.full:
            return False
        waited_ms = self._world.now_ms - waiting.due_ms
        return waiting.tier < LOST and waited_ms > RESERVE_AFTER_MS


def unwanted_runs(
    cell: Cell, now_ms: Millis, guard: FaultGuard
) -> Iterator[Stop]:
    """List the open runs that have to end.

    :param cell: the cell.
    :param now_ms: time of the cell.
    :param guard: keeps faults to the job that brings them out.
    :returns: runs of final jobs, of units that are done, and of gangs of
        which a member is missing.
    """
    for job in cell.dirty_jobs():
        with guard.isolate(FaultSource.JOB, job.job):
            for unit in job.units.values():
                reason = _why_unwanted(job, unit, now_ms) if unit.open else ''
                if reason:
                    yield from (Stop(run, reason) for run in unit.open.values())


def leaving_runs(
    world: DecisionInput, guard: FaultGuard, expected: DurationEstimates
) -> Iterator[Stop]:
    """List the runs that leave a draining runner with their progress.

    A checkpoint is listed with the end of a stop, but goes with the runner.

    :param world: what is known.
    :param guard: keeps faults to the job that brings them out.
    :param expected: how long tasks are expected to take.
    :returns: runs of checkpointing tasks on runners that leave before the
        task is expected to be done.
    """
    for view in world.runners:
        if view.leaving_ms is None:
            continue
        for run in world.cell.runs_on(view.runner):
            with guard.isolate(FaultSource.JOB, run.task.job):
                if _leaves_early(world, run, view.leaving_ms, expected):
                    yield Stop(run, 'its runner leaves')


def _leaves_early(
    world: DecisionInput,
    run: OpenRun,
    leaving_ms: Millis,
    expected: DurationEstimates,
) -> bool:
    job = world.cell.state.jobs[run.task.job]
    left_ms = expected.usual_ms(run) - (world.now_ms - run.started_ms)
    return job.step(run.task).checkpointing and left_ms > leaving_ms


def _why_unwanted(job: Job, unit: Unit, now_ms: Millis) -> str:
    if unit.done and now_ms < unit.done_ms + DONE_TOGETHER_MS:
        return ''
    if job.final:
        return f'job is {job.state}'
    if unit.done:
        return 'unit is done'
    step = job.step(next(iter(unit.open.values())).task)
    if step.gang and len(unit.open) < step.width:
        return 'gang in part'
    return ''
