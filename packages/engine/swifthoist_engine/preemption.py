"""Preemption: chooses the runs to stop to make room for urgent units.

Victims are chosen so that the least unsaved work is lost. Room that stops
under way will free counts as available at no cost, so that one urgent unit
does not stop more than it needs.
"""

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from operator import attrgetter
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import (
    DEFAULT_SITE_TERMS,
    Resources,
    RunKey,
    SiteTerms,
    StepSpec,
)
from swifthoist_engine.occupancy import RunUsage
from swifthoist_engine.placing import Placer
from swifthoist_engine.queueing import PendingUnit

CORES_PER_ACCELERATOR = 8
"""Number of cores that an accelerator counts as when losses are compared."""

RESTART_LOSS_MS = 200
"""Loss of a stop beside the work, in ms: the time until the next start."""

REPEAT_LOSS_SHARE = 0.3
"""What each earlier run adds to the loss, as a share of the expected duration,
so that the same job is not stopped again and again."""

_CPU_PER_CORE = 1_000


class Victim(NamedTuple):
    """A run that may be stopped.

    :ivar run: the run.
    :ivar need: resources that its stop frees.
    :ivar loss: core-milliseconds of work lost by its stop.
    """

    run: OpenRun
    need: Resources
    loss: float


_LOSS = attrgetter('loss')


class _ReclaimableRoom(NamedTuple):
    """Room that stops free, or could free, on a runner.

    :ivar freed: room that stops under way will free.
    :ivar victims: runs that may be stopped, smallest loss first.
    :ivar accelerators: total accelerators held by the victims.
    """

    freed: Resources
    victims: tuple[Victim, ...]
    accelerators: int


class Plan(NamedTuple):
    """How to make room for an urgent unit.

    :ivar runners: the runner of each of its tasks.
    :ivar victims: runs to stop.
    :ivar loss: core-milliseconds lost by the stops, and by running on slower
        runners.
    """

    runners: tuple[RunnerId, ...]
    victims: tuple[OpenRun, ...]
    loss: float


class Preemption:
    """Finds the cheapest room for urgent units on one capacity plan."""

    def __init__(
        self,
        cell: Cell,
        placer: Placer,
        stopping: frozenset[RunKey],
        now_ms: Millis,
        mechanisms: Mechanisms = DEFAULT_MECHANISMS,
        terms: SiteTerms = DEFAULT_SITE_TERMS,
    ) -> None:
        """Create a preemption planner for one decision.

        :param cell: the cell.
        :param placer: chooses runners on the capacity plan.
        :param stopping: runs that are being stopped already.
        :param now_ms: time of the cell.
        :param mechanisms: mechanisms of the scheduler that are enabled.
        :param terms: terms of the site.
        """
        self._cell = cell
        self._terms = terms
        self._mechanisms = mechanisms
        self._placer = placer
        self._capacity = placer.capacity
        self._stopping = stopping
        self._now_ms = now_ms
        self._chosen: set[RunKey] = set()
        self._reclaimable_rooms: dict[RunnerId, _ReclaimableRoom] = {}

    def make_room(self, pending: PendingUnit) -> Plan | None:
        """Find room for an urgent unit and take it on the capacity plan.

        :param pending: the unit.
        :returns: the runners and the runs to stop; None if no stops make room.
        """
        runner_groups = self._placer.runner_groups(pending, by_speed=True)
        best = self._cheapest(pending, runner_groups)
        if best is None:
            names = self._placer.eligible(pending).names
            best = self._cheapest(pending, [names])
        if best is None:
            return None
        for run in best.victims:
            self._chosen.add((run.task, run.run))
            self._reclaimable_rooms.pop(run.runner, None)
        for name in best.runners:
            self._capacity.put(pending, name)
        return best

    def _cheapest(
        self, pending: PendingUnit, groups: Iterable[Sequence[RunnerId]]
    ) -> Plan | None:
        best: Plan | None = None
        for names in groups:
            max_loss = math.inf if best is None else best.loss
            if max_loss == 0:
                return best
            plan = self._try_group(pending, names, max_loss)
            if plan is not None and plan.loss < max_loss:
                best = plan
        return best

    def as_victim(self, usage: RunUsage) -> Victim:
        """Compute what stopping a run frees and loses.

        :param usage: the run.
        :returns: the run as a victim.
        """
        return Victim(usage.run, usage.need, self._loss(usage))

    def _try_group(
        self, pending: PendingUnit, names: Sequence[RunnerId], max_loss: float
    ) -> Plan | None:
        """Find the cheapest room on a group of runners, up to some loss."""
        reclaimable = {name: self._reclaimable(name) for name in names}
        attempt = _Attempt(pending, reclaimable, self._capacity)
        for _ in range(pending.members):
            if not attempt.add_member() or attempt.loss > max_loss:
                return None
        return self._expand_gangs(pending, attempt)

    def _reclaimable(self, name: RunnerId) -> '_ReclaimableRoom':
        """Return the reclaimable room of a runner, computed once."""
        found = self._reclaimable_rooms.get(name)
        if found is None:
            found = self._find_reclaimable(name)
            self._reclaimable_rooms[name] = found
        return found

    def _find_reclaimable(self, name: RunnerId) -> '_ReclaimableRoom':
        freed = Resources()
        victims: list[Victim] = []
        for usage in self._capacity.runs(name):
            if usage.key in self._stopping or usage.key in self._chosen:
                freed = freed.plus(usage.need)
            elif usage.priority > 0 and not usage.step.may_miss:
                victims.append(self.as_victim(usage))
        victims.sort(key=_LOSS)
        accelerators = sum(victim.need.accelerators for victim in victims)
        return _ReclaimableRoom(freed, tuple(victims), accelerators)

    def _loss(self, usage: RunUsage) -> float:
        step = usage.step
        cores = self._cores(step, usage.run.runner)
        tasks = step.width if step.gang else 1
        worked_ms = max(self._now_ms - usage.run.started_ms, 0)
        if step.checkpointing:
            # A stop saves a checkpoint.
            worked_ms = min(worked_ms, self._terms.restore_ms)
        repeated = REPEAT_LOSS_SHARE if self._mechanisms.repeat_loss else 0
        repeat_ms = repeated * self._usual_ms(usage) * (usage.run.run - 1)
        return cores * tasks * (worked_ms + repeat_ms + RESTART_LOSS_MS)

    def _cores(self, step: StepSpec, runner: RunnerId) -> float:
        """Count the cores of a task, including those of its accelerators.

        A filling task may ask for more than its runner has, if it is listed.
        """
        view = self._capacity.views.get(runner)
        cpu = step.need.cpu
        if view is not None:
            cpu = min(cpu, view.room.cpu)
        accelerators = CORES_PER_ACCELERATOR * step.need.accelerators
        return cpu / _CPU_PER_CORE + accelerators

    def _usual_ms(self, usage: RunUsage) -> Millis:
        return self._capacity.estimates.usual_ms(usage.run)

    def _expand_gangs(self, pending: PendingUnit, attempt: '_Attempt') -> Plan:
        """Add the victims' whole gangs; each member loses the same."""
        whole: dict[RunKey, OpenRun] = {}
        # The unit holds its room for longer on slow runners.
        loss = sum(self._cores(pending.step, name) for name in attempt.runners)
        loss *= self._placer.speed_match.delay_ms(pending, attempt.runners)
        for victim in attempt.victims:
            task = victim.run.task
            if (task, victim.run.run) in whole:
                continue
            job = self._cell.state.jobs[task.job]
            unit = job.find_unit(job.unit_of(task))
            for run in unit.open.values() if unit else ():
                whole[run.task, run.run] = run
                loss += victim.loss
        return Plan(tuple(attempt.runners), tuple(whole.values()), loss)


class _Option(NamedTuple):
    """The cheapest way to place one task on a runner; sorts by loss.

    :ivar loss: loss of its stops.
    :ivar stops: number of stops.
    :ivar runner: the runner.
    """

    loss: float
    stops: int
    runner: RunnerId


class _Attempt:
    """An attempt to place all tasks of a unit on a group of runners."""

    def __init__(
        self,
        pending: PendingUnit,
        reclaimable: Mapping[RunnerId, _ReclaimableRoom],
        capacity: CapacityPlan,
    ) -> None:
        self.runners: list[RunnerId] = []
        self.victims: list[Victim] = []
        self.loss = float(0)
        self._pending = pending
        self._need = pending.step.allocated
        self._free = {
            name: capacity.free[name].plus(reclaimable_room.freed)
            for name, reclaimable_room in reclaimable.items()
        }
        self._left = {name: it.victims for name, it in reclaimable.items()}
        # The cost of one runner does not depend on choices on the others.
        found = (
            self._cheapest_option(name)
            for name, reclaimable_room in reclaimable.items()
            if self._could_have_accelerators(name, reclaimable_room)
            and capacity.spread_left(pending, name)
        )
        self._options = [option for option in found if option is not None]
        heapq.heapify(self._options)

    def add_member(self) -> bool:
        """Place one more task where it costs least."""
        if not self._options:
            return False
        loss, stops, name = heapq.heappop(self._options)
        self.loss += loss
        victims = self._left[name]
        self._left[name] = victims[stops:]
        free = self._free[name]
        for victim in victims[:stops]:
            free = free.plus(victim.need)
            self.victims.append(victim)
        self._free[name] = free.minus(self._need)
        self.runners.append(name)
        option = (
            self._cheapest_option(name) if self._spread_allows(name) else None
        )
        if option is not None:
            heapq.heappush(self._options, option)
        return True

    def _could_have_accelerators(
        self, name: RunnerId, reclaimable_room: _ReclaimableRoom
    ) -> bool:
        """Tell whether stopping all victims frees enough accelerators."""
        held = self._free[name].accelerators + reclaimable_room.accelerators
        return held >= self._need.accelerators

    def _spread_allows(self, name: RunnerId) -> bool:
        limit = self._pending.step.spread_limit
        return not limit or self.runners.count(name) < limit

    def _cheapest_option(self, name: RunnerId) -> _Option | None:
        """Find the cheapest way to place one more task on a runner."""
        free = self._free[name]
        loss = float(0)
        stops = 0
        for victim in self._left[name]:
            if self._need.fits(free):
                break
            free = free.plus(victim.need)
            loss += victim.loss
            stops += 1
        return _Option(loss, stops, name) if self._need.fits(free) else None
