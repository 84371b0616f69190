"""The clock interface, which tests can replace, and the system's clock."""

import time
from typing import Protocol

_NS_PER_MS = 1_000_000


class Clock(Protocol):
    """A source of monotonic time and of wall-clock time."""

    def boot_ms(self) -> int:
        """Return monotonic milliseconds, including time in suspension."""

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""

    def cpu_ms(self) -> int:
        """Return the processor time of this process in milliseconds."""


class SystemClock:
    """The clocks of the machine.

    ``CLOCK_BOOTTIME`` includes the time for which the machine was suspended,
    so a holder that resumes after a suspension finds its lease expired.
    """

    def boot_ms(self) -> int:
        """Return milliseconds since boot, including time in suspension."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_PER_MS

    def cpu_ms(self) -> int:
        """Return the processor time of this process in milliseconds."""
        return time.process_time_ns() // _NS_PER_MS
