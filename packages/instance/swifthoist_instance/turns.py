"""How long the event loop of a holder was held up, and by what.

Renewals of leases, answers and orders wait while anything else computes.
"""

import logging

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis

CHECK_INTERVAL_S = 0.05
"""Pause between two looks at the loop, in seconds."""

LOGGED_DELAY_MS = 50
"""From which delay of a look a line is logged, in ms."""

MIN_LOG_GAP_MS = 1_000
"""Least time between two of these lines, in ms, so that a slow machine does not
spend its time on them."""

YIELD_FACTOR = 2
"""After a decision the loop is left to others for this multiple of the time
that it took, so decisions use a third of the processor at most."""

_log = logging.getLogger(__name__)


class LoopMonitor:
    """Watches how late the event loop comes back.

    :ivar longest_ms: longest delay so far, in ms.
    :ivar decision_ms: time that the newest decision took, in ms.
    """

    def __init__(self, clock: Clock) -> None:
        """Watch by a clock.

        :param clock: tells the time.
        """
        self.longest_ms: Millis = 0
        self.decision_ms: Millis = 0
        self._clock = clock
        self._logged_ms: Millis | None = None

    async def pause(self) -> None:
        """Wait for one look at the loop."""
        due_ms = self._clock.boot_ms() + int(CHECK_INTERVAL_S * 1_000)
        await anyio.sleep(CHECK_INTERVAL_S)
        self.note_delay(self._clock.boot_ms() - due_ms)

    def note_delay(self, late_ms: Millis) -> None:
        """Note by how much a look was late.

        :param late_ms: the delay, in ms.
        """
        self.longest_ms = max(self.longest_ms, late_ms)
        now_ms = self._clock.boot_ms()
        logged_ms = self._logged_ms
        if late_ms < LOGGED_DELAY_MS:
            return
        if logged_ms is not None and now_ms - logged_ms < MIN_LOG_GAP_MS:
            return
        self._logged_ms = now_ms
        fields = {'late_ms': late_ms, 'decision_ms': self.decision_ms}
        _log.warning('event loop held up', extra=fields)

    async def yield_to_others(self, took_ms: Millis) -> None:
        """Leave the loop to others behind a decision.

        :param took_ms: time that the decision took, in ms.
        """
        self.decision_ms = took_ms
        await anyio.sleep(YIELD_FACTOR * took_ms / 1_000)
