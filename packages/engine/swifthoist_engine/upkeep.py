"""Maintenance waves: which machine is drained, and which goes down next.

The machines of a wave are drained a few at a time. A machine goes down once it
is idle or has waited long enough, within the wave's limit, and never while
that would take more tasks of a lasting step away than it may miss. Such tasks
are moved off it beforehand, as many at a time as their step may miss.
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun

IDLE_WAIT_SHARE = 0.25
"""How long a machine waits to become idle, as a share of the wave's time."""

MAX_IDLE_WAIT_MS = 6_000
"""Longest time that a machine waits to become idle, in ms."""

WARM_UP_MS = 2_000
"""Longest time from the start of a lasting task until it works, in ms."""

StepKey = tuple[str, int, int]


class MachineState(NamedTuple):
    """A machine of a wave.

    :ivar machine: its name.
    :ivar up: it is up.
    :ivar runner: its current runner; empty for none.
    :ivar cordoned_ms: since when it gets no new work; None if it does.
    """

    machine: str
    up: bool
    runner: RunnerId
    cordoned_ms: Millis | None


class WaveState(NamedTuple):
    """A wave in progress.

    :ivar at_once: most machines that may be down for it at a time.
    :ivar deadline_ms: time for the whole wave, in ms.
    :ivar machines: its machines, without those that have left.
    :ivar begun: the runner of each machine before its maintenance.
    """

    at_once: int
    deadline_ms: Millis
    machines: tuple[MachineState, ...]
    begun: Mapping[str, RunnerId]


class WaveStep(NamedTuple):
    """What to do next for a wave.

    :ivar cordon: machines that get no new work from now on.
    :ivar order: machines whose maintenance is to be ordered.
    :ivar moved: runs to stop so that their tasks start elsewhere.
    :ivar complete: every machine has had its maintenance.
    """

    cordon: tuple[str, ...]
    order: tuple[MachineState, ...]
    moved: tuple[OpenRun, ...]
    complete: bool


def next_step(wave: WaveState, cell: Cell, now_ms: Millis) -> WaveStep:
    """Decide what to do next for a wave.

    :param wave: the wave.
    :param cell: the cell.
    :param now_ms: time on the clock of ``cordoned_ms``.
    :returns: the step.
    """
    left = [item for item in wave.machines if item.machine not in wave.begun]
    down = [item for item in wave.machines if is_down(item, wave.begun)]
    chosen = left[: wave.at_once + 1]
    cordon = [item.machine for item in chosen if item.cordoned_ms is None]
    budget = _DisruptionBudget(cell, frozenset(wave.begun.values()))
    since_ms = now_ms - min(
        wave.deadline_ms * IDLE_WAIT_SHARE, MAX_IDLE_WAIT_MS
    )
    ready = [item for item in left if _has_waited(item, cell, since_ms)]
    ready = list(
        _select_for_shutdown(ready, wave.at_once - len(down), cell, budget)
    )
    staying = [item for item in left if item not in ready]
    # Refused and lost orders are repeated; an order takes effect only once.
    again = [item for item in down if _is_still_up(item, wave.begun)]
    return WaveStep(
        tuple(cordon),
        (*again, *ready),
        tuple(_select_for_move(staying, cell, budget)),
        not left and not down,
    )


def _select_for_shutdown(
    machines: Iterable[MachineState],
    free: int,
    cell: Cell,
    budget: '_DisruptionBudget',
) -> Iterator[MachineState]:
    """Select machines that may go down now, within the limit."""
    for item in machines:
        if free > 0 and budget.spend(cell.runs_on(item.runner)):
            free -= 1
            yield item


def _select_for_move(
    machines: Iterable[MachineState], cell: Cell, budget: '_DisruptionBudget'
) -> Iterator[OpenRun]:
    """Select runs to move off cordoned machines within the budget."""
    for item in machines:
        if item.cordoned_ms is None or not item.up:
            continue
        runs = cell.runs_on(item.runner)
        limited = [run for run in runs if budget.limits(run)]
        yield from (run for run in limited if budget.spend([run]))


def _is_still_up(item: MachineState, begun: Mapping[str, RunnerId]) -> bool:
    return item.up and item.runner == begun[item.machine]


def is_down(machine: MachineState, begun: Mapping[str, RunnerId]) -> bool:
    """Tell whether a machine is down for maintenance.

    :param machine: the machine.
    :param begun: the runner of each machine before its maintenance.
    :returns: whether maintenance was ordered and it has no new runner yet.
    """
    if machine.machine not in begun:
        return False
    return not machine.up or machine.runner in {'', begun[machine.machine]}


def _has_waited(item: MachineState, cell: Cell, since_ms: float) -> bool:
    if item.cordoned_ms is None or not item.up:
        return False
    return not cell.runs_on(item.runner) or item.cordoned_ms < since_ms


class _DisruptionBudget:
    """How many more tasks each lasting step may miss in this decision."""

    def __init__(self, cell: Cell, gone_runners: frozenset[RunnerId]) -> None:
        self._cell = cell
        self._gone_runners = gone_runners
        self._spent: Counter[StepKey] = Counter()

    def limits(self, run: OpenRun) -> bool:
        """Tell whether the budget limits the absences of a run's step."""
        job = self._cell.find_job(run.task.job)
        return job is not None and job.step(run.task).may_miss > 0

    def spend(self, runs: Sequence[OpenRun]) -> bool:
        """Charge the end of some runs, if every step can miss them."""
        ending = Counter(run.task[:3] for run in runs if self.limits(run))
        for key, count in ending.items():
            if self._spent[key] + count > self._remaining(key):
                return False
        self._spent.update(ending)
        return True

    def _remaining(self, key: StepKey) -> int:
        job = self._cell.state.jobs[key[0]]
        step = job.spec.steps[key[2]]
        at_work = sum(
            run.task[:3] == key and self._is_at_work(run)
            for run in job.open_runs()
        )
        return step.may_miss - (step.width - at_work)

    def _is_at_work(self, run: OpenRun) -> bool:
        age_ms = self._cell.state.time_ms - run.started_ms
        return run.runner not in self._gone_runners and age_ms > WARM_UP_MS


def cordoned_runners(wave: WaveState) -> frozenset[RunnerId]:
    """List the runners that get no new work.

    :param wave: the wave.
    :returns: current runners of cordoned machines, and the runners that
        machines had before their maintenance, which may stay listed for a
        while.
    """
    emptied = {
        item.runner for item in wave.machines if item.cordoned_ms is not None
    }
    return frozenset(emptied | set(wave.begun.values()))
