"""The cell's clock, which is unaffected by jumps of any wall clock."""

from swifthoist_core.clock import Clock
from swifthoist_core.types import Epoch, Millis
from swifthoist_engine.cell_state import CellState


class CellTime:
    """The cell's clock, which all instances share.

    It starts as wall-clock time and advances with monotonic clocks. An instance
    that followed it continues it after a takeover. Only when no instance did,
    the wall clock shows how long the cell had no holder.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without a known offset.

        :param clock: source of local time.
        """
        self._clock = clock
        self._last_time_ms: Millis = 0
        self._epoch: Epoch = 0
        self._offset_ms: Millis | None = None

    def note(self, state: CellState, *, fresh: bool) -> None:
        """Update the offset from the cell state.

        :param state: the cell state.
        :param fresh: whether its newest records were appended just now.
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
            # A smaller offset means only that the record arrived later.
            self._offset_ms = offset_ms

    def now_ms(self) -> Millis:
        """Return the cell's time, in ms since the Unix epoch.

        It is the time by the clocks of the successive holders.
        """
        if self._offset_ms is None:
            return max(self._clock.wall_ms(), self._last_time_ms)
        return self._clock.boot_ms() + self._offset_ms
