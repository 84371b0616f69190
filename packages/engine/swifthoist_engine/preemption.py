"""Room for urgent units: which runs are stopped to make it.

The victims are the runs whose loss of unsaved work is least. Room that stops
already under way will free counts as free of charge, so that one urgent unit
does not stop more than it needs.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.mechanisms import ALL, Mechanisms
from swifthoist_engine.model import USUAL_TERMS, Resources, SiteTerms
from swifthoist_engine.placing import Placer
from swifthoist_engine.queueing import Waiting
from swifthoist_engine.run_index import RunKey

ACCELERATOR_CORES = 8
"""An accelerator that is lost counts as this many cores."""

START_LOSS_MS = 200
"""What a stop costs beside the work, in ms: the time until another start."""

REPEAT_SHARE = 0.3
"""What each earlier run adds to the loss, as a share of the declared
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


class Plan(NamedTuple):
    """How an urgent unit gets its room.

    :ivar runners: where its tasks will go.
    :ivar victims: runs to stop.
    """

    runners: tuple[RunnerId, ...]
    victims: tuple[OpenRun, ...]


class Preemption:
    """Finds the cheapest room for urgent units on one board."""

    def __init__(
        self,
        cell: Cell,
        placer: Placer,
        stopping: frozenset[RunKey],
        now_ms: Millis,
        mechanisms: Mechanisms = ALL,
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
        self._board = placer.board
        self._stopping = stopping
        self._now_ms = now_ms
        self._chosen: set[RunKey] = set()

    def make_room(self, waiting: Waiting) -> Plan | None:
        """Find room for an urgent unit and take it on the board.

        :param waiting: the unit.
        :returns: what to stop; none if no stop would make room.
        """
        plans = [
            plan
            for names in self._placer.choices(waiting)
            if (plan := self._try_group(waiting, names)) is not None
        ]
        if not plans:
            plan = self._try_group(waiting, self._placer.eligible(waiting))
            if plan is None:
                return None
            plans = [plan]
        best = min(plans, key=self._total_loss)
        for run in best.victims:
            self._chosen.add((run.task, run.run))
        for name in best.runners:
            self._board.put(waiting, name)
        return best

    def weigh(self, run: OpenRun) -> Victim:
        """Tell what the stop of a run would free, and what it would lose.

        :param run: the run.
        :returns: the run as a victim.
        """
        return Victim(run, self._board.need_of(run), self._loss(run))

    def _total_loss(self, plan: Plan) -> float:
        return sum(self._loss(run) for run in plan.victims)

    def _try_group(
        self, waiting: Waiting, names: Sequence[RunnerId]
    ) -> Plan | None:
        attempt = _Attempt(waiting, self._free_soon(names), self._victims)
        for _ in range(waiting.members):
            if not attempt.add_member(self._board.spread_left):
                return None
        victims = self._with_gangs(attempt.victims)
        return Plan(tuple(attempt.runners), victims)

    def _free_soon(
        self, names: Iterable[RunnerId]
    ) -> dict[RunnerId, Resources]:
        soon: dict[RunnerId, Resources] = {}
        for name in names:
            free = self._board.free[name]
            for run in self._board.runs(name):
                if self._ends_soon(run):
                    free = free.plus(self._board.need_of(run))
            soon[name] = free
        return soon

    def _ends_soon(self, run: OpenRun) -> bool:
        key = (run.task, run.run)
        return key in self._stopping or key in self._chosen

    def _victims(self, name: RunnerId) -> list[Victim]:
        found = [
            self.weigh(run)
            for run in self._board.runs(name)
            if not self._ends_soon(run) and self._may_stop(run)
        ]
        return sorted(found, key=lambda victim: victim.loss)

    def _may_stop(self, run: OpenRun) -> bool:
        job = self._cell.state.jobs[run.task.job]
        step = job.step(run.task)
        return job.spec.terms.priority > 0 and not step.may_miss

    def _loss(self, run: OpenRun) -> float:
        job = self._cell.state.jobs[run.task.job]
        step = job.step(run.task)
        cores = (
            step.need.cpu / _CPU_PER_CORE
            + ACCELERATOR_CORES * step.need.accelerators
        )
        tasks = step.width if step.gang else 1
        worked = max(self._now_ms - run.started_ms, 0)
        if step.checkpointing:
            # A stop saves a checkpoint.
            worked = min(worked, self._terms.restore_ms)
        share = REPEAT_SHARE if self._mechanisms.repeat_loss else 0
        again = share * step.estimate_ms * (run.run - 1)
        return cores * tasks * (worked + again + START_LOSS_MS)

    def _with_gangs(self, victims: Iterable[OpenRun]) -> tuple[OpenRun, ...]:
        whole: dict[RunKey, OpenRun] = {}
        for victim in victims:
            job = self._cell.state.jobs[victim.task.job]
            unit = job.find(job.unit_of(victim.task))
            for run in unit.open.values() if unit else ():
                whole[run.task, run.run] = run
        return tuple(whole.values())


class _Attempt:
    """One try to put all tasks of a unit on a group of runners."""

    def __init__(
        self,
        waiting: Waiting,
        free: dict[RunnerId, Resources],
        victims_on: Callable[[RunnerId], list[Victim]],
    ) -> None:
        self.runners: list[RunnerId] = []
        self.victims: list[OpenRun] = []
        self._waiting = waiting
        self._free = free
        self._left = {name: victims_on(name) for name in free}

    def add_member(
        self, spread_left: Callable[[Waiting, RunnerId], bool]
    ) -> bool:
        """Put one more task where that costs least."""
        options = [
            (cost, len(chosen), name)
            for name in self._free
            if spread_left(self._waiting, name)
            and self._spread_here(name)
            and (chosen := self._cheapest(name)) is not None
            for cost in (sum(victim.loss for victim in chosen),)
        ]
        if not options:
            return False
        name = min(options)[2]
        chosen = self._cheapest(name) or []
        free = self._free[name]
        for victim in chosen:
            free = free.plus(victim.need)
            self._left[name].remove(victim)
            self.victims.append(victim.run)
        self._free[name] = free.minus(self._waiting.step.counted)
        self.runners.append(name)
        return True

    def _spread_here(self, name: RunnerId) -> bool:
        limit = self._waiting.step.spread_limit
        return not limit or self.runners.count(name) < limit

    def _cheapest(self, name: RunnerId) -> list[Victim] | None:
        need = self._waiting.step.counted
        free = self._free[name]
        chosen: list[Victim] = []
        for victim in self._left[name]:
            if need.fits(free):
                break
            free = free.plus(victim.need)
            chosen.append(victim)
        return chosen if need.fits(free) else None
