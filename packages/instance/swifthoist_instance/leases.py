"""Tracks the clock and the lease of a runner.

Leases are measured on the runner's own clock, which may be slow by 2 %. The
lease of a runner that doesn't answer has certainly expired once its clock, at
its slowest rate, has passed the latest expiry that it was ever sent.
"""

from math import ceil

from swifthoist_core.types import Millis

LEASE_MS = 8_000
"""Longest lease to ask for, in ms: it outlasts the replacement of a holder or
of all instances, so that no runs are lost with them."""

LEASE_SHARE = 0.85
"""Longest lease to ask for, as a share of the longest that runners grant."""

MIN_CLOCK_RATE = 0.98
"""Slowest rate of a runner's clock, relative to true time."""

LEASE_MARGIN_MS = 100
"""Time after its expiry before a lease counts as over, in ms."""


def choose_lease_ms(longest_ms: Millis) -> Millis:
    """Choose the duration of leases.

    :param longest_ms: longest lease that runners grant.
    :returns: the duration to ask for.
    """
    return min(LEASE_MS, int(longest_ms * LEASE_SHARE))


def lease_expiry_ms(granted_ms: Millis) -> Millis:
    """Return when a lease has certainly expired on a runner of unknown clock.

    :param granted_ms: latest time at which it may have been granted.
    :returns: the time, on the clock of ``granted_ms``.
    """
    return granted_ms + ceil((LEASE_MS + LEASE_MARGIN_MS) / MIN_CLOCK_RATE)


class Lease:
    """The lease of one runner."""

    def __init__(
        self,
        lease_ms: Millis,
        unknown_clock_expiry_ms: Millis,
        order_delay_ms: Millis = 0,
    ) -> None:
        """Create the lease of a runner whose clock is unknown.

        :param lease_ms: duration of a lease.
        :param unknown_clock_expiry_ms: time by which leases that earlier terms
            renewed have certainly expired, on the clock that counts suspension.
        :param order_delay_ms: how long calls meant for a former life of the
            runner may still renew its lease.
        """
        self._order_delay_ms = order_delay_ms
        self._lease_ms = lease_ms
        self._unknown_clock_expiry_ms = unknown_clock_expiry_ms
        self._clock_ms: Millis = 0
        self._read_ms: Millis | None = None
        self._until_ms: Millis = 0
        self._granted_ms: Millis = 0

    @property
    def known(self) -> bool:
        """Whether the runner's clock has been read."""
        return self._read_ms is not None

    def note_clock(self, clock_ms: Millis, now_ms: Millis) -> None:
        """Record the runner's time.

        :param clock_ms: time on its clock in an answer.
        :param now_ms: when that answer was read, on this instance's clock.
        """
        if self._read_ms is None:
            # Earlier holders may have renewed until now, with longer leases if
            # the settings have changed.
            self._until_ms = (
                clock_ms + LEASE_MS + LEASE_MARGIN_MS + self._order_delay_ms
            )
        if clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._read_ms = now_ms

    def next_expiry(self, now_ms: Millis) -> Millis | None:
        """Return the lease expiry to ask for in the next call.

        :param now_ms: time on this instance's clock.
        :returns: time on the runner's clock; None if that is unknown.
        """
        if self._read_ms is None:
            return None
        until_ms = self._clock_ms + (now_ms - self._read_ms) + self._lease_ms
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def expired(self, now_ms: Millis) -> bool:
        """Return whether every lease of the runner has certainly expired.

        :param now_ms: time on this instance's clock.
        :returns: whether nothing that it was told to run can still be running.
        """
        if self._read_ms is None:
            return now_ms > self._unknown_clock_expiry_ms
        passed_ms = (now_ms - self._read_ms) * MIN_CLOCK_RATE
        return self._clock_ms + passed_ms > self._until_ms + LEASE_MARGIN_MS

    def surely_valid(self, now_ms: Millis) -> bool:
        """Return whether the granted lease has certainly not expired.

        :param now_ms: time on this instance's clock.
        :returns: whether its expiry lies ahead, on a clock that is not slow.
        """
        if self._read_ms is None:
            return False
        return self._clock_ms + (now_ms - self._read_ms) < self._granted_ms

    def note_granted(self, until_ms: Millis | None) -> None:
        """Record that the runner granted a lease.

        :param until_ms: its expiry on the runner's clock; None for no lease.
        """
        if until_ms is not None:
            self._granted_ms = max(self._granted_ms, until_ms)
