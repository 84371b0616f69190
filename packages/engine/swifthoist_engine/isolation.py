"""Keeps units that may crash their runner apart from each other and the rest.

After a crash, each unit that may have caused it starts on a runner that starts
nothing else at that time. Another crash then tells which one it was, and takes
as little as possible with it.
"""

from collections.abc import Sequence

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.suspects import runners_on_probation

PROBATION_MS = 2_500
"""How long after its start a suspected unit keeps other starts off its runner,
in ms: by then a runner that has crashed is known to be silent."""

ISOLATION_WAIT_MS = 1_500
"""How long a suspected unit waits for a runner without other starts unless it
is urgent, in ms: less than the 3 s after which a job counts as stalled."""

PROBATION_WAIT_MS = 2_000
"""How long other units wait for other runners, in ms; see above."""

SAME_MACHINE_RISK = 1_000_000
"""Rank of a machine that has crashed under a unit: behind all others."""

STARTING_RISK = 10_000
"""Rank of a runner with other starts: behind those with many runs."""


class Isolation:
    """Isolation of suspected units in one decision."""

    def __init__(self, capacity: CapacityPlan, now_ms: Millis) -> None:
        """Find the suspected units of a cell.

        :param capacity: the capacity plan.
        :param now_ms: time of the cell.
        """
        self._cell = capacity.cell
        self._enabled = bool(self._cell.suspects)
        self._now_ms = now_ms
        jobs = self._cell.state.jobs
        self._on_probation = runners_on_probation(
            [jobs[name] for name in self._cell.suspects if name in jobs],
            now_ms - PROBATION_MS,
        )
        self._chosen: set[RunnerId] = set()
        self._isolated: set[RunnerId] = set()

    def may_start(self, pending: PendingUnit, runner: RunnerId) -> bool:
        """Tell whether a task of a unit may start on a runner now.

        :param pending: the unit.
        :param runner: the runner.
        :returns: whether it may.
        """
        if not self._enabled:
            return True
        waited_ms = pending.waited_ms(self._now_ms)
        if _is_suspected(pending):
            if pending.urgent or waited_ms > ISOLATION_WAIT_MS:
                return True
            return not self._is_starting(runner)
        if runner in self._isolated:
            return False
        if runner not in self._on_probation:
            return True
        return pending.within_guarantee or waited_ms > PROBATION_WAIT_MS

    def note_start(
        self, pending: PendingUnit, runners: Sequence[RunnerId]
    ) -> None:
        """Record that a unit is started.

        :param pending: the unit.
        :param runners: runners of its tasks.
        """
        self._chosen.update(runners)
        if _is_suspected(pending):
            self._isolated.update(runners)

    def risk(self, pending: PendingUnit, runner: RunnerId) -> int:
        """Rank a runner by what a crash would cost there.

        :param pending: a unit.
        :param runner: a runner that it may start on.
        :returns: 0 for the best runners.
        """
        if not self._enabled:
            return 0
        if not _is_suspected(pending) or pending.state is None:
            return int(runner in self._on_probation)
        facts = self._cell.state.facts.get(runner)
        machine = facts.machine if facts else ''
        crashed = {
            crash.machine
            for crashes in pending.state.task_crashes.values()
            for crash in crashes
        }
        known = bool(machine) and machine in crashed
        return (
            SAME_MACHINE_RISK * known
            + STARTING_RISK * self._is_starting(runner)
            + len(self._cell.runs_on(runner))
        )

    def _is_starting(self, runner: RunnerId) -> bool:
        if runner in self._chosen:
            return True
        since_ms = self._now_ms - PROBATION_MS
        runs = self._cell.runs_on(runner)
        return any(run.started_ms > since_ms for run in runs)


def _is_suspected(pending: PendingUnit) -> bool:
    return pending.state is not None and pending.state.suspected
