"""What runs on the runners, and what room that leaves.

It is kept up from one decision to the next: only runners on which something
began or ended are counted again. Nothing that is kept changes a decision.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, Self

from swifthoist_core.types import JobId, RackId, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.fleet import Fleet
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, StepSpec
from swifthoist_engine.run_index import RunIndex, RunKey
from swifthoist_engine.runners import RunnerView


class RunUsage(NamedTuple):
    """An open run and what it takes of its runner.

    :ivar run: the run.
    :ivar key: its task and number.
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
    """Describe an open run.

    :param cell: the cell.
    :param run: the run.
    :returns: the run and what it takes.
    """
    job = cell.state.jobs[run.task.job]
    step = job.step(run.task)
    key = (run.task, run.run)
    return RunUsage(run, key, step, step.counted, job.spec.terms.priority)


class FreeRoom:
    """Free room of the runners.

    :ivar free: free room by runner; negative where it was taken ahead of a
        stop.
    :ivar rack_free: free accelerators by rack, on runners that take work.
    :ivar accelerators: free accelerators on all runners that take work.
    """

    def __init__(self) -> None:
        """Start without runners."""
        self.free: dict[RunnerId, Resources] = {}
        self.rack_free: Counter[RackId] = Counter()
        self.accelerators = 0
        # What is negative on one runner takes nothing from the others.
        self._rack_room: Counter[RackId] = Counter()

    def copy(self) -> Self:
        """Copy it, so that either can change."""
        twin = type(self)()
        twin.free = self.free.copy()
        twin.rack_free = self.rack_free.copy()
        twin.accelerators = self.accelerators
        twin._rack_room = self._rack_room.copy()
        return twin

    def put(self, runner: RunnerId, rack: RackId, free: Resources) -> None:
        """Note what is free on a runner.

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
        :param accelerators: how many are wanted.
        :returns: whether so many are free there, on whatever runners.
        """
        return self._rack_room[rack] >= accelerators


class _UsageCache:
    """Open runs by runner, each described once."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._runs = cell.runs
        self._seen = cell.runs.version
        self._found: dict[RunnerId, tuple[RunUsage, ...]] = {}

    def current(self, cell: Cell) -> bool:
        return self._cell is cell and self._runs is cell.runs

    def refresh(self) -> Iterable[RunnerId]:
        """Forget the runners on which something changed, and list them."""
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
    """What decisions on one cell keep from one to the next."""

    def __init__(self) -> None:
        """Start without knowledge."""
        self.fleet = Fleet(())
        self._room = FreeRoom()
        self._usages: _UsageCache | None = None

    def sync(self, cell: Cell, views: tuple[RunnerView, ...]) -> None:
        """Bring it up to what a decision is made on.

        :param cell: the cell.
        :param views: the runners.
        """
        usages = self._usages
        # Whatever can't be counted leaves what is kept half counted.
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
        """Tell what is free; the caller may change it."""
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
    """Count what runs on some runners.

    :param cell: the cell.
    :param views: the runners.
    :returns: what runs there.
    """
    found = Occupancy()
    found.sync(cell, views)
    return found
