"""What the sessions of one tenure share."""

from collections import deque
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.types import Epoch
from swifthoist_engine.cell import Cell
from swifthoist_engine.hang_detector import HangDetector
from swifthoist_engine.records import Record
from swifthoist_instance.evacuations import ZoneGate
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_instance.lives import LifeCounts
from swifthoist_instance.run_lines import RunLines
from swifthoist_instance.signals import Signal
from swifthoist_instance.tenure import Hold, Tenure


class Shared(NamedTuple):
    """What all sessions of a holder share.

    :ivar tenure: tells whether this instance may act.
    :ivar hold: the tenure that the sessions belong to.
    :ivar follower: folds the log.
    :ivar journal: appends to it.
    :ivar doubts: records of what speaks against runners, to be appended.
    :ivar hang_detector: since when runs use no processor.
    :ivar clock: tells the time.
    :ivar wake: wakes the planner.
    :ivar zones: tells in which zones work may be started.
    :ivar lines: writes what happens to runs.
    :ivar over: set for good once the tenure was not in force at any time.
    :ivar lives: counts the lives of runners that ended under their ids.
    """

    tenure: Tenure
    hold: Hold
    follower: Follower
    journal: Journal
    doubts: deque[Record]
    hang_detector: HangDetector
    clock: Clock
    wake: Signal
    zones: ZoneGate
    lines: RunLines
    over: anyio.Event
    lives: LifeCounts

    @property
    def epoch(self) -> Epoch:
        """Epoch of the tenure."""
        return self.hold.epoch

    @property
    def cell(self) -> Cell:
        """The fold."""
        return self.follower.cell

    def may_act(self) -> bool:
        """Tell whether the tenure still lasts.

        What ended with it, be it for a moment, does not come back: whoever
        asks later must not go on alone.
        """
        hold = self.tenure.hold
        if hold is None or hold.epoch != self.hold.epoch:
            self.over.set()
        return not self.over.is_set()
