"""Measures how long the event loop was blocked, and by what.

Renewals of leases, answers and orders wait while other code computes, and all
of them while the process is stopped.
"""

import logging

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis

CHECK_INTERVAL_S = 0.05
"""Interval between checks of the loop, in seconds."""

LOGGED_DELAY_MS = 50
"""Minimum delay of a check that is logged, in ms."""

MIN_LOG_GAP_MS = 1_000
"""Minimum time between two such log lines, in ms, so that a slow machine
doesn't spend its time on them."""

YIELD_FACTOR = 2
"""Pause after a decision, as a multiple of the time that it took, so that
decisions use at most a third of the CPU."""

RESUME_MS = 500
"""Longest time in which requests that came while the loop was blocked are read,
in ms; they are read faster than they came."""

_log = logging.getLogger(__name__)


class LoopMonitor:
    """Monitors the delays of the event loop.

    :ivar longest_ms: longest delay so far, in ms.
    :ivar decision_ms: duration of the latest decision, in ms.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a monitor.

        :param clock: source of the time.
        """
        self.longest_ms: Millis = 0
        self.decision_ms: Millis = 0
        self._clock = clock
        self._logged_ms: Millis | None = None
        self._blocked_ms: Millis = 0
        self._resumed_ms: Millis | None = None

    async def run(self) -> None:
        """Check the loop at intervals, until canceled."""
        while True:
            due_ms = self._clock.boot_ms() + int(CHECK_INTERVAL_S * 1_000)
            await anyio.sleep(CHECK_INTERVAL_S)
            self.note_delay(self._clock.boot_ms() - due_ms)

    @property
    def request_age_ms(self) -> Millis:
        """How long a request that is read now may have waited, in ms."""
        if self._resumed_ms is None:
            return 0
        since_ms = self._clock.boot_ms() - self._resumed_ms
        if since_ms > min(self._blocked_ms, RESUME_MS):
            return 0
        return self._blocked_ms + since_ms

    def note_delay(self, late_ms: Millis) -> None:
        """Record the delay of a check, and log a long one.

        :param late_ms: the delay, in ms.
        """
        self.longest_ms = max(self.longest_ms, late_ms)
        now_ms = self._clock.boot_ms()
        logged_ms = self._logged_ms
        if late_ms < LOGGED_DELAY_MS:
            return
        self._blocked_ms = late_ms
        self._resumed_ms = now_ms
        if logged_ms is not None and now_ms - logged_ms < MIN_LOG_GAP_MS:
            return
        self._logged_ms = now_ms
        fields = {'late_ms': late_ms, 'decision_ms': self.decision_ms}
        _log.warning('event loop held up', extra=fields)

    def note_decision(self, took_ms: Millis) -> None:
        """Record a decision, which may have blocked the loop.

        :param took_ms: its duration, in ms.
        """
        self.decision_ms = took_ms

    async def yield_to_others(self, took_ms: Millis) -> None:
        """Leave the loop to other tasks after a decision.

        :param took_ms: duration of the decision, in ms.
        """
        self.note_decision(took_ms)
        await anyio.sleep(YIELD_FACTOR * took_ms / 1_000)
