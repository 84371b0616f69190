"""Clocks, so that tests can inject their own."""

import time
from typing import Protocol

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """What the project asks of time."""

    def boot_ms(self) -> int:
        """Milliseconds on a clock that also counts suspension."""

    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch."""


class SystemClock:
    """The clocks of the machine.

    ``CLOCK_BOOTTIME`` counts the time for which the machine was suspended,
    so a holder that was paused finds its lease expired when it wakes up.
    """

    def boot_ms(self) -> int:
        """Milliseconds since boot, suspension included."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS


class ManualClock:
    """A clock that stands still until a test moves it.

    :ivar now_ms: the time that both clocks show.
    """

    def __init__(self, now_ms: int = 1_000_000) -> None:
        """Start the clock.

        :param now_ms: the time that both clocks show at first.
        """
        self.now_ms = now_ms

    def boot_ms(self) -> int:
        """The time as it was set."""
        return self.now_ms

    def wall_ms(self) -> int:
        """The time as it was set."""
        return self.now_ms

    def advance(self, by_ms: int) -> None:
        """Move the clock forward.

        :param by_ms: milliseconds, not negative.
        """
        self.now_ms += by_ms
