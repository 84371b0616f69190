"""Detects runs that hang, from the processor time that runners report.

A single task that uses no processor time for a while hangs. A member of a gang
may just have finished its part and wait for the others, since a gang ends
together. So a gang hangs only if all of its members are idle, and the member
that has been idle for longest is held to be the cause.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from swifthoist_core.types import Millis
from swifthoist_engine.cell import Cell
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey

HUNG_AFTER_MS = 1_400
"""How long a task may use no processor time before it counts as hung, in ms:
nearly three times the interval that a runner's figure covers."""


@dataclass(slots=True)
class HangDetector:
    """Tracks since when runs have used no processor time.

    :ivar since: time of the first observation that a run was idle, by run.
    """

    since: dict[RunKey, Millis] = field(default_factory=dict)

    def note(self, idle: Mapping[RunKey, bool], now_ms: Millis) -> None:
        """Record an observation of one runner.

        :param idle: whether each of its runs uses no processor time.
        :param now_ms: time of the observation.
        """
        for key, is_idle in idle.items():
            if is_idle:
                self.since.setdefault(key, now_ms)
            else:
                self.since.pop(key, None)

    def hung(
        self, cell: Cell, keys: Iterable[RunKey], now_ms: Millis
    ) -> list[OpenRun]:
        """Find the runs of one runner that hang.

        :param cell: the cell.
        :param keys: runs of the runner.
        :param now_ms: current time.
        :returns: the runs.
        """
        found = (cell.find_run(*key) for key in keys)
        return [
            run
            for run in found
            if run is not None and self._hangs(cell, run, now_ms)
        ]

    def forget_closed(self, cell: Cell) -> None:
        """Forget runs that are no longer open.

        :param cell: the cell.
        """
        self.since = {
            key: since_ms
            for key, since_ms in self.since.items()
            if cell.find_run(*key) is not None
        }

    def _hangs(self, cell: Cell, run: OpenRun, now_ms: Millis) -> bool:
        if not self._is_idle_too_long(run, now_ms):
            return False
        job = cell.find_job(run.task.job)
        if job is None or not job.step(run.task).gang:
            return True
        unit = job.find_unit(job.unit_of(run.task))
        members = list(unit.open.values()) if unit else []
        if not all(
            self._is_idle_too_long(member, now_ms) for member in members
        ):
            return False
        return run is min(members, key=self._idle_since)

    def _is_idle_too_long(self, run: OpenRun, now_ms: Millis) -> bool:
        since_ms = self.since.get((run.task, run.run))
        return since_ms is not None and now_ms - since_ms > HUNG_AFTER_MS

    def _idle_since(self, run: OpenRun) -> tuple[Millis, int]:
        return (self.since[run.task, run.run], run.task.ordinal)
