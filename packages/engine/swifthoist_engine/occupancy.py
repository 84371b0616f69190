"""Usage of the runners, and the room that is left on them.

It is kept from one decision to the next: only runners on which a run started
or ended are counted again. It is a cache and never changes a decision.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, Self

from swifthoist_core.types import JobId, RackId, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, RunKey, StepSpec
from swifthoist_engine.run_index import RunIndex
from swifthoist_engine.runners import RunnerView


class RunUsage(NamedTuple):
    """An open run and what it uses of its runner.

    :ivar run: the run.
    :ivar key: its task and run number.
    :ivar step: its step.
    :ivar need: its resources.
    :ivar priority: priority of its queue when its job was accepted.
    """

    run: OpenRun
    key: RunKey
    step: StepSpec
    need: Resources
    priority: int


def usage_of(cell: Cell, run: OpenRun) -> RunUsage:
    """Describe what an open run uses.

    :param cell: the cell.
    :param run: the run.
    :returns: the run and its usage.
    """
    job = cell.state.jobs[run.task.job]
    step = job.step(run.task)
    key = (run.task, run.run)
    return RunUsage(run, key, step, step.allocated, job.spec.terms.priority)


class FreeRoom:
    """Free room of the runners.

    :ivar free: free room by runner; negative where room was taken before the
        stop that frees it.
    :ivar rack_free: free accelerators by rack, on runners that take work.
    :ivar accelerators: free accelerators on all runners that take work.
    """

    def __init__(self) -> None:
        """Start without runners."""
        self.free: dict[RunnerId, Resources] = {}
        self.rack_free: Counter[RackId] = Counter()
        self.accelerators = 0
        # Counts negative room as 0: it takes nothing from other runners.
        self._rack_room: Counter[RackId] = Counter()

    def copy(self) -> Self:
        """Return a copy that can change independently."""
        twin = type(self)()
        twin.free = self.free.copy()
        twin.rack_free = self.rack_free.copy()
        twin.accelerators = self.accelerators
        twin._rack_room = self._rack_room.copy()
        return twin

    def put(self, runner: RunnerId, rack: RackId, free: Resources) -> None:
        """Set the free room of a runner.

        :param runner: the runner.
        :param rack: its rack.
        :param free: its free room.
        """
        before = self.free.get(runner, Resources()).accelerators
        after = free.accelerators
        self.free[runner] = free
        self.rack_free[rack] += after - before
        self.accelerators += after - before
        self._rack_room[rack] += max(after, 0) - max(before, 0)

    def may_hold(self, rack: RackId, accelerators: int) -> bool:
        """Tell whether a rack may have room.

        :param rack: the rack.
        :param accelerators: number of accelerators needed.
        :returns: whether that many are free on the rack, on any of its runners.
        """
        return self._rack_room[rack] >= accelerators


class _UsageCache:
    """Usage of the open runs by runner, each computed once."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._runs = cell.runs
        self._seen = cell.runs.version
        self._found: dict[RunnerId, tuple[RunUsage, ...]] = {}

    def current(self, cell: Cell) -> bool:
        return self._cell is cell and self._runs is cell.runs

    def refresh(self) -> Iterable[RunnerId]:
        """Drop the runners whose runs changed, and return them."""
        changed = self._runs.changed_since(self._seen)
        self._seen = self._runs.version
        for runner in changed:
            self._found.pop(runner, None)
        return changed

    def on(self, runner: RunnerId) -> tuple[RunUsage, ...]:
        found = self._found.get(runner)
        if found is None:
            runs = self._runs.on(runner)
            found = tuple(usage_of(self._cell, run) for run in runs)
            self._found[runner] = found
        return found


class Occupancy:
    """Usage of a cell's runners, kept between decisions."""

    def __init__(self) -> None:
        """Start empty."""
        self.fleet = Fleet(())
        self._room = FreeRoom()
        self._usages: _UsageCache | None = None

    def sync(self, cell: Cell, views: tuple[RunnerView, ...]) -> None:
        """Update the usage to the input of a decision.

        :param cell: the cell.
        :param views: the runners.
        """
        usages = self._usages
        # If counting fails, the counts are half updated: start anew next time.
        self._usages = None
        fresh = usages is None or not usages.current(cell)
        if usages is None or fresh:
            usages = _UsageCache(cell)
        changed = usages.refresh()
        if fresh or self.fleet.listed != views:
            self.fleet = Fleet(views)
            self._room = FreeRoom()
            changed = self.fleet.views
        self._count(cell.runs, changed)
        self._usages = usages

    def room(self) -> FreeRoom:
        """Return a copy of the free room, which the caller may change."""
        return self._room.copy()

    def runs(
        self, runner: RunnerId, excluded_jobs: frozenset[JobId]
    ) -> tuple[RunUsage, ...]:
        """List the open runs of a runner.

        :param runner: the runner.
        :param excluded_jobs: jobs whose runs are left out.
        :returns: its runs.
        """
        if self._usages is None:
            return ()
        found = self._usages.on(runner)
        if not excluded_jobs:
            return found
        return tuple(it for it in found if it.run.task.job not in excluded_jobs)

    def _count(self, runs: RunIndex, runners: Iterable[RunnerId]) -> None:
        for runner in runners:
            view = self.fleet.views.get(runner)
            if view is None:
                continue
            free = view.room.minus(runs.used_on(runner))
            if view.takes_work:
                self._room.put(runner, view.rack, free)
            else:
                self._room.free[runner] = free


def occupancy_of(cell: Cell, views: tuple[RunnerView, ...]) -> Occupancy:
    """Count the usage of some runners.

    :param cell: the cell.
    :param views: the runners.
    :returns: their usage.
    """
    found = Occupancy()
    found.sync(cell, views)
    return found
