"""What a holder knows of the clock and the lease of a runner.

Leases are measured on the runner's own clock, which may be slow by 2 %. The
lease of a runner that doesn't answer has surely ended once its clock, taken
at its slowest, has passed the latest end that it was ever told.
"""

from math import ceil

from swifthoist_core.types import Millis

LEASE_MS = 8_000
"""Longest lease that is asked for, in ms: long enough to outlast the replacement
of a holder, or of all instances, so that nothing is lost with them."""

LEASE_SHARE = 0.85
"""Greatest length of a lease, as a share of what runners grant."""

MIN_CLOCK_RATE = 0.98
"""Least pace of a runner's clock, as a share of true time."""

LEASE_MARGIN_MS = 100
"""What is added to the end of a lease before it counts as over, in ms."""


def choose_lease_ms(longest_ms: Millis) -> Millis:
    """Choose the length of leases.

    :param longest_ms: longest lease that runners grant.
    :returns: the length to ask for.
    """
    return min(LEASE_MS, int(longest_ms * LEASE_SHARE))


def lease_expiry_ms(granted_ms: Millis) -> Millis:
    """Tell when a lease of a runner whose clock is unknown has surely ended.

    :param granted_ms: latest time at which it may have been granted.
    :returns: a time on the clock of ``granted_ms``.
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
        """Start without knowledge of the runner.

        :param lease_ms: length of a lease.
        :param unknown_clock_expiry_ms: time on the clock that counts suspension by which
            leases that earlier terms renewed have surely ended.
        :param order_delay_ms: for how long calls that were meant for a former life
            of the runner may still renew its lease.
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
        """Whether the runner's clock was read."""
        return self._read_ms is not None

    def note_clock(self, clock_ms: Millis, now_ms: Millis) -> None:
        """Note the runner's time.

        :param clock_ms: time on its clock in an answer.
        :param now_ms: when that answer was read, on the own clock.
        """
        if self._read_ms is None:
            # Earlier holders may have renewed until now, with longer leases
            # where the settings have changed.
            self._until_ms = (
                clock_ms + LEASE_MS + LEASE_MARGIN_MS + self._order_delay_ms
            )
        if clock_ms > self._clock_ms:
            self._clock_ms = clock_ms
            self._read_ms = now_ms

    def next_expiry(self, now_ms: Millis) -> Millis | None:
        """Tell until when to ask for the lease.

        :param now_ms: time on the own clock.
        :returns: time on the runner's clock; none if that is unknown.
        """
        if self._read_ms is None:
            return None
        until_ms = self._clock_ms + (now_ms - self._read_ms) + self._lease_ms
        self._until_ms = max(self._until_ms, until_ms)
        return until_ms

    def expired(self, now_ms: Millis) -> bool:
        """Tell whether every lease of the runner has surely ended.

        :param now_ms: time on the own clock.
        :returns: whether nothing that it was told to run can run still.
        """
        if self._read_ms is None:
            return now_ms > self._unknown_clock_expiry_ms
        passed_ms = (now_ms - self._read_ms) * MIN_CLOCK_RATE
        return self._clock_ms + passed_ms > self._until_ms + LEASE_MARGIN_MS

    def surely_valid(self, now_ms: Millis) -> bool:
        """Tell whether the lease that the runner granted has surely not ended.

        :param now_ms: time on the own clock.
        :returns: whether its end lies ahead, on a clock that is not slow.
        """
        if self._read_ms is None:
            return False
        return self._clock_ms + (now_ms - self._read_ms) < self._granted_ms

    def note_granted(self, until_ms: Millis | None) -> None:
        """Note that the runner granted a lease.

        :param until_ms: its end on the runner's clock; none for no lease.
        """
        if until_ms is not None:
            self._granted_ms = max(self._granted_ms, until_ms)
