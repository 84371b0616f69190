"""State shared by the components of one tenure."""

from collections import deque
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.types import Epoch
from swifthoist_engine.cell import Cell
from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.records import Record
from swifthoist_instance.crash_counts import CrashCounts
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.faults import Faults
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.late_starts import LateStarts
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.notifier import Notifier
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.tenure import Hold, Tenure


class TenureContext(NamedTuple):
    """State shared by the components of one tenure.

    :ivar tenure: knows whether this instance may act.
    :ivar hold: the tenure that the components belong to.
    :ivar follower: folds the log.
    :ivar journal: appends to it.
    :ivar doubts: doubts about runners, to be recorded.
    :ivar hang_detector: since when runs have used no CPU.
    :ivar clock: source of the time.
    :ivar wake: wakes the planner.
    :ivar zones: decides in which zones work may be started.
    :ivar lines: logs events of runs.
    :ivar over: set, and never cleared, once the tenure was found not in force.
    :ivar lives: counts restarts of runners under the same id.
    :ivar crashes: counts crashes of runners.
    :ivar late_starts: starts that may still be carried out.
    :ivar faults: where unexpected exceptions are reported.
    """

    tenure: Tenure
    hold: Hold
    follower: Follower
    journal: Journal
    doubts: deque[Record]
    hang_detector: HangDetector
    clock: Clock
    wake: Notifier
    zones: ZoneGate
    lines: RunLines
    over: anyio.Event
    lives: LifeCounts
    crashes: CrashCounts
    late_starts: LateStarts
    faults: Faults

    @property
    def epoch(self) -> Epoch:
        """Epoch of the tenure."""
        return self.hold.epoch

    @property
    def cell(self) -> Cell:
        """The folded state."""
        return self.follower.cell

    def may_act(self) -> bool:
        """Return whether the tenure still lasts.

        A tenure that was lost, even briefly, is over for good: tasks that ended
        with it are not restarted, so the others must not go on without them.
        """
        hold = self.tenure.hold
        if hold is None or hold.epoch != self.hold.epoch:
            self.over.set()
        return not self.over.is_set()
