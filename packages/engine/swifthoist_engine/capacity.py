"""The capacity plan of one decision: free room and room reserved for others."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.duration_estimates import DurationEstimates
from swifthoist_engine.model import Resources
from swifthoist_engine.occupancy import Occupancy, RunUsage
from swifthoist_engine.queueing import PendingUnit

StepKey = tuple[str, int, int]
"""Job, occurrence and number of a step."""


class ExpectedEnd(NamedTuple):
    """The expected end of a run.

    :ivar at_ms: the time.
    :ivar runner: its runner.
    :ivar need: resources that it frees.
    """

    at_ms: Millis
    runner: RunnerId
    need: Resources


class _Hold(NamedTuple):
    """Room of a runner that is reserved for a blocked unit.

    :ivar until_ms: when the unit is expected to start.
    :ivar spare: room that others may use beyond that time.
    """

    until_ms: Millis
    spare: Resources


class CapacityPlan:
    """Free room of all runners while one decision is made.

    :ivar fleet: the runners.
    :ivar views: the runners by id.
    :ivar room: their free room.
    :ivar free: free room by runner.
    :ivar cell: the cell with its open runs.
    :ivar estimates: duration estimates.
    """

    def __init__(
        self,
        cell: Cell,
        occupancy: Occupancy,
        now_ms: Millis,
        excluded_jobs: frozenset[JobId],
        estimates: DurationEstimates | None = None,
    ) -> None:
        """Start from the current usage of the runners.

        :param cell: the cell with its open runs.
        :param occupancy: current usage of the runners.
        :param now_ms: time of the cell.
        :param excluded_jobs: jobs whose runs take room but are not examined.
        :param estimates: duration estimates; None to derive them from the cell.
        """
        self.fleet = occupancy.fleet
        self.views = occupancy.fleet.views
        self.room = occupancy.room()
        self.free = self.room.free
        self.estimates = estimates or DurationEstimates(cell.state)
        self._tasks_by_runner: dict[StepKey, Counter[RunnerId]] = {}
        self.cell = cell
        self._occupancy = occupancy
        self._excluded_jobs = excluded_jobs
        self._now_ms = now_ms
        self._holds: dict[RunnerId, _Hold] = {}
        self._ends: dict[RunnerId, list[ExpectedEnd]] = {}
        self._deferred: Callable[[], None] | None = None

    def defer(self, reserve: Callable[[], None]) -> None:
        """Delay reservations until a task fits somewhere.

        :param reserve: makes the reservations; called at most once.
        """
        self._deferred = reserve

    def fits(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether a task of a unit may start on a runner now.

        :param pending: the unit.
        :param runner: the runner.
        :returns: whether there is room, and the step's spread limit and the
            reservations allow it.
        """
        if not pending.step.allocated.fits(self.free[runner]):
            return False
        self._run_deferred()
        return self.spread_left(pending, runner) and self._may_backfill(
            pending, runner
        )

    def hold(
        self, pending: PendingUnit, until_ms: Millis, runner: RunnerId
    ) -> None:
        """Reserve room of a runner for a task of a blocked unit.

        :param pending: the unit.
        :param until_ms: when it is expected to start.
        :param runner: the runner.
        """
        hold = self._holds.get(runner)
        spare = self.room_at(runner, until_ms) if hold is None else hold.spare
        spare = spare.minus(pending.step.allocated)
        self._holds[runner] = _Hold(until_ms, spare)

    def room_at(self, runner: RunnerId, at_ms: Millis) -> Resources:
        """Compute the room that is expected to be free at some time.

        :param runner: the runner.
        :param at_ms: the time.
        :returns: free room, by the expected ends of its runs.
        """
        room = self.free[runner]
        for end in self.expected_ends(runner):
            if end.at_ms <= at_ms:
                room = room.plus(end.need)
        return room

    def room_used_since(self, runner: RunnerId, since_ms: Millis) -> Resources:
        """Compute the room used by tasks started recently on a runner.

        :param runner: the runner.
        :param since_ms: time of the cell.
        :returns: resources of the tasks started then or later, and of those
            placed by this decision.
        """
        taken = self.views[runner].room.minus(self.free[runner])
        for usage in self.runs(runner):
            if usage.run.started_ms < since_ms:
                taken = taken.minus(usage.need)
        return taken

    def expected_end(self, usage: RunUsage) -> Millis:
        """Estimate when a run ends.

        :param usage: the run.
        :returns: its expected end, later the longer it is overdue.
        """
        now_ms = self._now_ms
        return now_ms + self.estimates.left_ms(usage.run, now_ms)

    def expected_ends(self, runner: RunnerId) -> list[ExpectedEnd]:
        """List the expected ends of the runs on a runner.

        :param runner: the runner.
        :returns: their ends, in no particular order.
        """
        found = self._ends.get(runner)
        if found is None:
            found = [
                ExpectedEnd(self.expected_end(usage), runner, usage.need)
                for usage in self.runs(runner)
            ]
            self._ends[runner] = found
        return found

    def _run_deferred(self) -> None:
        reserve = self._deferred
        if reserve is not None:
            self._deferred = None
            reserve()

    def _may_backfill(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether a task does not touch room reserved for others."""
        hold = self._holds.get(runner)
        if hold is None or pending.urgent:
            return True
        if self._now_ms + pending.duration_ms <= hold.until_ms:
            return True
        return pending.step.allocated.fits(hold.spare)

    def spread_left(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether a step's spread limit allows one more of its tasks.

        :param pending: the unit.
        :param runner: the runner.
        :returns: whether another task may run on the runner.
        """
        limit = pending.step.spread_limit
        return not limit or self._step_tasks(pending)[runner] < limit

    def spread_penalty(self, pending: PendingUnit, runner: RunnerId) -> int:
        """Count the tasks on a runner that argue for another one.

        Filling tasks disturb serving tasks and each other, and the loss of a
        runner should take few tasks of a lasting step.

        :param pending: the unit.
        :param runner: the runner.
        :returns: tasks there that would be disturbed, or lost together; 0 for
            all other kinds of steps.
        """
        step = pending.step
        if step.filling:
            steps = [usage.step for usage in self.runs(runner)]
            others = sum(it.filling or it.tail_target_ms > 0 for it in steps)
            return others + self._step_tasks(pending)[runner]
        return self._step_tasks(pending)[runner] if step.may_miss else 0

    def runs(self, runner: RunnerId) -> tuple[RunUsage, ...]:
        """List the open runs of a runner.

        :param runner: the runner.
        :returns: its runs, without those of excluded jobs.
        """
        return self._occupancy.runs(runner, self._excluded_jobs)

    def _step_tasks(self, pending: PendingUnit) -> Counter[RunnerId]:
        """Count the tasks of a step on each runner, once per decision."""
        key = pending.unit[:3]
        found = self._tasks_by_runner.get(key)
        if found is None:
            job = self.cell.state.jobs[key[0]]
            found = Counter(
                run.runner for run in job.open_runs() if run.task[:3] == key
            )
            self._tasks_by_runner[key] = found
        return found

    def put(self, pending: PendingUnit, runner: RunnerId) -> None:
        """Take room for a task of a unit.

        :param pending: the unit.
        :param runner: the runner.
        """
        self._take(pending, runner, 1)

    def _take(self, pending: PendingUnit, runner: RunnerId, tasks: int) -> None:
        self._run_deferred()
        need = pending.step.allocated
        taken = Resources(*(tasks * part for part in need))
        rack = self.views[runner].rack
        self.room.put(runner, rack, self.free[runner].minus(taken))
        if pending.unit[:3] in self._tasks_by_runner:
            self._step_tasks(pending)[runner] += tasks
        hold = self._holds.get(runner)
        if hold and self._now_ms + pending.duration_ms > hold.until_ms:
            self._holds[runner] = hold._replace(spare=hold.spare.minus(taken))

    def take_back(
        self, pending: PendingUnit, runners: Sequence[RunnerId]
    ) -> None:
        """Release the room taken by :meth:`put`.

        :param pending: the unit.
        :param runners: where its tasks were placed.
        """
        for runner in runners:
            self._take(pending, runner, -1)
