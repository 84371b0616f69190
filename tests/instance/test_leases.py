"""Tests of a holder's knowledge of a runner's lease."""

import unittest

from swifthoist_instance.leases import (
    LEASE_MARGIN_MS,
    LEASE_MS,
    MIN_CLOCK_RATE,
    Lease,
    lease_expiry_ms,
)
from swifthoist_instance.lives import MAX_ORDER_DELAY_MS

EARLIER_LEASES_END_MS = 50_000


class LeaseTest(unittest.TestCase):
    """A lease counts as expired only when it certainly is."""

    def setUp(self) -> None:
        """Create a lease whose runner's clock is unknown."""
        self.lease = Lease(LEASE_MS, EARLIER_LEASES_END_MS)

    def test_a_runner_that_was_never_heard_of_waits_for_earlier_holders(
        self,
    ) -> None:
        """It has expired once all leases of earlier holders have ended."""
        self.assertFalse(self.lease.expired(EARLIER_LEASES_END_MS))
        self.assertTrue(self.lease.expired(EARLIER_LEASES_END_MS + 1))

    def test_a_lease_of_an_earlier_holder_outlasts_the_first_look(self) -> None:
        """The first answer tells the runner's time, but no earlier grants."""
        self.lease.note_clock(100_000, 1_000)
        self.assertFalse(self.lease.expired(1_200))
        self.assertFalse(self.lease.expired(1_000 + LEASE_MS))
        self.assertTrue(self.lease.expired(1_000 + LEASE_MS * 2))

    def test_a_slow_clock_is_allowed_for(self) -> None:
        """A lease may last 2 % longer by the holder's clock."""
        self.lease.note_clock(100_000, 0)
        until_ms = self.lease.next_expiry(0)
        self.assertEqual(until_ms, 100_000 + LEASE_MS)
        self.assertFalse(self.lease.expired(LEASE_MS + LEASE_MARGIN_MS))
        self.assertTrue(
            self.lease.expired(int(LEASE_MS * 1.05) + LEASE_MARGIN_MS)
        )

    def test_an_unknown_clock_may_be_slow_too(self) -> None:
        """An earlier holder's lease lasts longer on a slow clock."""
        expiry_ms = lease_expiry_ms(10_000)
        self.assertGreaterEqual((expiry_ms - 10_000) * MIN_CLOCK_RATE, LEASE_MS)

    def test_an_older_answer_does_not_turn_the_clock_back(self) -> None:
        """Answers on different connections may arrive out of order."""
        self.lease.note_clock(100_500, 500)
        self.lease.note_clock(100_000, 600)
        self.assertEqual(self.lease.next_expiry(600), 100_600 + LEASE_MS)

    def test_calls_to_a_former_life_may_renew_the_lease_of_the_next(
        self,
    ) -> None:
        """Their times are of the former life's clock, which was ahead."""
        lease = Lease(LEASE_MS, EARLIER_LEASES_END_MS, MAX_ORDER_DELAY_MS)
        lease.note_clock(100, 0)
        self.assertFalse(lease.expired(LEASE_MS + MAX_ORDER_DELAY_MS))
        self.assertTrue(lease.expired(2 * (LEASE_MS + MAX_ORDER_DELAY_MS)))
