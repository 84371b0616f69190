"""Room for urgent units: which runs are stopped to make it.

The victims are the runs whose loss of unsaved work is least. Room that stops
already under way will free counts as free of charge, so that one urgent unit
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
    USUAL_TERMS,
    Resources,
    SiteTerms,
    StepSpec,
)
from swifthoist_engine.occupancy import RunUsage
from swifthoist_engine.placing import Placer
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.run_index import RunKey

ACCELERATOR_CORES = 8
"""An accelerator that is lost counts as this many cores."""

START_LOSS_MS = 200
"""What a stop costs beside the work, in ms: the time until another start."""

REPEAT_SHARE = 0.3
"""What each earlier run adds to the loss, as a share of the expected
duration, so that it is not always the same job that is stopped."""

_CPU_PER_CORE = 1_000


class Victim(NamedTuple):
    """A run that may be stopped.

    :ivar run: the run.
    :ivar need: what it frees.
    :ivar loss: core-milliseconds that are lost with it.
    """

    run: OpenRun
    need: Resources
    loss: float


_LOSS = attrgetter('loss')


class _Outlook(NamedTuple):
    """What becomes of the room of a runner.

    :ivar freed: room that stops under way will free.
    :ivar victims: runs that may be stopped, the least loss first.
    :ivar accelerators: what they hold together.
    """

    freed: Resources
    victims: tuple[Victim, ...]
    accelerators: int


class Plan(NamedTuple):
    """How an urgent unit gets its room.

    :ivar runners: where its tasks will go.
    :ivar victims: runs to stop.
    :ivar loss: core-milliseconds that are lost with them, and by runners
        that are slower than others.
    """

    runners: tuple[RunnerId, ...]
    victims: tuple[OpenRun, ...]
    loss: float


class Preemption:
    """Finds the cheapest room for urgent units on one board."""

    def __init__(
        self,
        cell: Cell,
        placer: Placer,
        stopping: frozenset[RunKey],
        now_ms: Millis,
        mechanisms: Mechanisms = DEFAULT_MECHANISMS,
        terms: SiteTerms = USUAL_TERMS,
    ) -> None:
        """Decide on a board.

        :param cell: the cell.
        :param placer: chooses runners on the board.
        :param stopping: runs that are being stopped already.
        :param now_ms: time of the cell.
        :param mechanisms: parts of the decision that take part.
        :param terms: terms of the site.
        """
        self._cell = cell
        self._terms = terms
        self._mechanisms = mechanisms
        self._placer = placer
        self._board = placer.capacity
        self._stopping = stopping
        self._now_ms = now_ms
        self._chosen: set[RunKey] = set()
        self._outlooks: dict[RunnerId, _Outlook] = {}

    def make_room(self, waiting: PendingUnit) -> Plan | None:
        """Find room for an urgent unit and take it on the board.

        :param waiting: the unit.
        :returns: what to stop; none if no stop would make room.
        """
        runner_groups = self._placer.runner_groups(waiting, by_speed=True)
        best = self._cheapest(waiting, runner_groups)
        if best is None:
            names = self._placer.eligible(waiting).names
            best = self._cheapest(waiting, [names])
        if best is None:
            return None
        for run in best.victims:
            self._chosen.add((run.task, run.run))
            self._outlooks.pop(run.runner, None)
        for name in best.runners:
            self._board.put(waiting, name)
        return best

    def _cheapest(
        self, waiting: PendingUnit, groups: Iterable[Sequence[RunnerId]]
    ) -> Plan | None:
        best: Plan | None = None
        for names in groups:
            most = math.inf if best is None else best.loss
            if most == 0:
                return best
            plan = self._try_group(waiting, names, most)
            if plan is not None and plan.loss < most:
                best = plan
        return best

    def as_victim(self, share: RunUsage) -> Victim:
        """Tell what the stop of a run would free, and what it would lose.

        :param share: the run.
        :returns: the run as a victim.
        """
        return Victim(share.run, share.need, self._loss(share))

    def _try_group(
        self, waiting: PendingUnit, names: Sequence[RunnerId], most: float
    ) -> Plan | None:
        """Find the cheapest room on a group of runners, up to some loss."""
        outlooks = {name: self._outlook(name) for name in names}
        attempt = _Attempt(waiting, outlooks, self._board)
        for _ in range(waiting.members):
            if not attempt.add_member() or attempt.loss > most:
                return None
        return self._with_gangs(waiting, attempt)

    def _outlook(self, name: RunnerId) -> '_Outlook':
        """Tell what will be free on a runner, and what could be."""
        found = self._outlooks.get(name)
        if found is None:
            found = self._look_ahead(name)
            self._outlooks[name] = found
        return found

    def _look_ahead(self, name: RunnerId) -> '_Outlook':
        freed = Resources()
        victims: list[Victim] = []
        for share in self._board.runs(name):
            if share.key in self._stopping or share.key in self._chosen:
                freed = freed.plus(share.need)
            elif share.priority > 0 and not share.step.may_miss:
                victims.append(self.as_victim(share))
        victims.sort(key=_LOSS)
        accelerators = sum(victim.need.accelerators for victim in victims)
        return _Outlook(freed, tuple(victims), accelerators)

    def _loss(self, share: RunUsage) -> float:
        step = share.step
        cores = _cores(step)
        tasks = step.width if step.gang else 1
        worked = max(self._now_ms - share.run.started_ms, 0)
        if step.checkpointing:
            # A stop saves a checkpoint.
            worked = min(worked, self._terms.restore_ms)
        repeated = REPEAT_SHARE if self._mechanisms.repeat_loss else 0
        again = repeated * self._usual_ms(share) * (share.run.run - 1)
        return cores * tasks * (worked + again + START_LOSS_MS)

    def _usual_ms(self, share: RunUsage) -> Millis:
        return self._board.expected.usual_ms(share.run)

    def _with_gangs(self, waiting: PendingUnit, attempt: '_Attempt') -> Plan:
        """Stop whole gangs; each member of one loses as much as the others."""
        whole: dict[RunKey, OpenRun] = {}
        # Slow runners hold the room of the unit for longer.
        loss = waiting.members * _cores(waiting.step)
        loss *= self._placer.match.delay_ms(waiting, attempt.runners)
        for victim in attempt.victims:
            task = victim.run.task
            if (task, victim.run.run) in whole:
                continue
            job = self._cell.state.jobs[task.job]
            unit = job.find(job.unit_of(task))
            for run in unit.open.values() if unit else ():
                whole[run.task, run.run] = run
                loss += victim.loss
        return Plan(tuple(attempt.runners), tuple(whole.values()), loss)


def _cores(step: StepSpec) -> float:
    """Tell how many cores a task holds, its accelerators among them."""
    cpu = step.need.cpu / _CPU_PER_CORE
    return cpu + ACCELERATOR_CORES * step.need.accelerators


class _Option(NamedTuple):
    """The cheapest way to put one task on a runner, the cheapest first.

    :ivar loss: what its stops lose.
    :ivar stops: number of stops.
    :ivar runner: the runner.
    """

    loss: float
    stops: int
    runner: RunnerId


class _Attempt:
    """One try to put all tasks of a unit on a group of runners."""

    def __init__(
        self,
        waiting: PendingUnit,
        outlooks: Mapping[RunnerId, _Outlook],
        capacity: CapacityPlan,
    ) -> None:
        self.runners: list[RunnerId] = []
        self.victims: list[Victim] = []
        self.loss = float(0)
        self._waiting = waiting
        self._need = waiting.step.counted
        self._free = {
            name: capacity.free[name].plus(outlook.freed)
            for name, outlook in outlooks.items()
        }
        self._left = {name: it.victims for name, it in outlooks.items()}
        # What one runner costs does not change with a choice of another.
        found = (
            self._find(name)
            for name, outlook in outlooks.items()
            if self._may_do(name, outlook)
            and capacity.spread_left(waiting, name)
        )
        self._options = [option for option in found if option is not None]
        heapq.heapify(self._options)

    def add_member(self) -> bool:
        """Put one more task where that costs least."""
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
        option = self._find(name) if self._spread_here(name) else None
        if option is not None:
            heapq.heappush(self._options, option)
        return True

    def _may_do(self, name: RunnerId, outlook: _Outlook) -> bool:
        """Tell whether a runner has the accelerators, if all is stopped."""
        most = self._free[name].accelerators + outlook.accelerators
        return most >= self._need.accelerators

    def _spread_here(self, name: RunnerId) -> bool:
        limit = self._waiting.step.spread_limit
        return not limit or self.runners.count(name) < limit

    def _find(self, name: RunnerId) -> _Option | None:
        """Find the cheapest way to put one more task on a runner."""
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
