"""The time of the cell, which does not jump with anybody's time of day."""

from swifthoist_core.clock import Clock
from swifthoist_core.types import Epoch, Millis
from swifthoist_engine.cell import CellState


class CellTime:
    """Tells the time of the cell, as all instances do.

    It begins as a time of day and passes as steady clocks do. Whoever saw it
    pass goes on with it in a takeover; only where nobody did, the time of day
    tells how long nobody held the cell.
    """

    def __init__(self, clock: Clock) -> None:
        """Know nothing yet.

        :param clock: tells the time.
        """
        self._clock = clock
        self._last_time_ms: Millis = 0
        self._epoch: Epoch = 0
        self._offset_ms: Millis | None = None

    def note(self, state: CellState, *, fresh: bool) -> None:
        """Learn from the fold.

        :param state: state of the cell.
        :param fresh: its newest records were appended just now.
        """
        if state.epoch == self._epoch and state.time_ms == self._last_time_ms:
            return
        if state.epoch != self._epoch:
            self._offset_ms = None
        self._epoch = state.epoch
        self._last_time_ms = state.time_ms
        if not fresh:
            return
        offset_ms = state.time_ms - self._clock.boot_ms()
        if self._offset_ms is None or offset_ms > self._offset_ms:
            # Records that took longer to get here tell less.
            self._offset_ms = offset_ms

    def now_ms(self) -> Millis:
        """Milliseconds since the Unix epoch, by the clocks of the holders."""
        if self._offset_ms is None:
            return max(self._clock.wall_ms(), self._last_time_ms)
        return self._clock.boot_ms() + self._offset_ms
