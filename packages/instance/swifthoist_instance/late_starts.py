"""Knows which starts of a cell may still be carried out, on all its runners.

Within a life, a runner refuses a start that it has carried out before. The next
life under the same id does not, so that the end of a run is acknowledged only
once no start of its task can arrive any more.
"""

from collections import defaultdict
from collections.abc import Iterable

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.cell import Cell
from swifthoist_engine.model import TaskId, UnitId
from swifthoist_engine.records import Ending
from swifthoist_instance.lives import RECORD_VALIDITY_MS, PendingStarts
from swifthoist_platform.runner_calls import EndedRun

MAX_LISTED_ENDS = 250
"""Number of ends that a runner lists beyond which it gets no more starts: half
of those that one look shows, so that new ends don't hide behind old ones."""

_ATTEMPTS = frozenset((Ending.DONE, Ending.FAILED))
"""Endings behind which the task may not start, or not as often."""


class LateStarts:
    """Starts that a term or its predecessors sent and that may still arrive."""

    def __init__(self, cell: Cell, clock: Clock) -> None:
        """Create an empty collection.

        :param cell: the folded state.
        :param clock: source of the time.
        """
        self._cell = cell
        self._clock = clock
        self._by_runner: dict[RunnerId, PendingStarts] = defaultdict(
            lambda: PendingStarts(clock)
        )

    def restore(self, now_ms: Millis) -> None:
        """Take over the starts of earlier terms that the log tells of.

        :param now_ms: time of the cell.
        """
        for start in self._cell.state.unanswered:
            age_ms = max(now_ms - start.at_ms, 0) - RECORD_VALIDITY_MS
            sent_ms = self._clock.boot_ms() - age_ms
            self.on(start.runner).restore(start.key, sent_ms)

    def on(self, runner: RunnerId) -> PendingStarts:
        """Return the starts on a runner, in whichever life of it.

        :param runner: the runner.
        :returns: its starts.
        """
        return self._by_runner[runner]

    def last_settled(self, ends: Iterable[EndedRun], seen: int) -> int:
        """Return up to which number ends may be acknowledged.

        :param ends: ends that the runner lists.
        :param seen: number of its newest folded end.
        :returns: that number, or the one before the first end of a unit that a
            late start may begin anew.
        """
        listed = [
            end
            for end in ends
            if end.number <= seen and end.ending in _ATTEMPTS
        ]
        if not listed:
            return seen
        pending = {
            self._unit(task)
            for starts in self._by_runner.values()
            for task, _ in starts.keys()
        }
        held = [it.number for it in listed if self._unit(it.task) in pending]
        return min(held) - 1 if held else seen

    def _unit(self, task: TaskId) -> UnitId:
        job = self._cell.find_job(task.job)
        return UnitId(*task) if job is None else job.unit_of(task)


class ListedEnds:
    """Ends that a life of a runner listed in its newest look."""

    def __init__(self, late_starts: LateStarts) -> None:
        """Start without ends.

        :param late_starts: starts that may still be carried out.
        """
        self._late_starts = late_starts
        self._ends: tuple[EndedRun, ...] = ()

    def note(self, ends: tuple[EndedRun, ...]) -> None:
        """Replace the ends.

        :param ends: ends in an answered look.
        """
        self._ends = ends

    def last_settled(self, seen: int) -> int:
        """Return up to which number ends may be acknowledged.

        :param seen: number of the newest folded end.
        :returns: that number, unless some may not be acknowledged yet.
        """
        return self._late_starts.last_settled(self._ends, seen)

    def held(self, seen: int) -> bool:
        """Return whether folded ends go on being listed.

        :param seen: number of the newest folded end.
        :returns: whether some may not be acknowledged yet.
        """
        return self.last_settled(seen) < seen

    @property
    def crowded(self) -> bool:
        """Whether too many ends are listed to start more tasks."""
        return len(self._ends) > MAX_LISTED_ENDS
