"""Tests of the limits that follow from the settings."""

import unittest

from swifthoist_emulator.site import write_settings
from swifthoist_engine.kept_units import UNIT_BYTES
from swifthoist_instance.limits import (
    BASE_BYTES,
    CONNECTION_BYTES,
    FILE_DESCRIPTORS,
    Limits,
    limits_of,
)
from swifthoist_platform.boot import decode_boot_settings

MB = 1_000_000
LARGEST_BODY = 262_144
LISTEN = ('127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3')


def _limits(memory_mb: int, descriptors: int = 4_100) -> Limits:
    boot = decode_boot_settings(write_settings('a', 'north', LISTEN, ''))
    return limits_of(
        boot._replace(memory_bytes=memory_mb * MB, max_descriptors=descriptors)
    )


class LimitsTest(unittest.TestCase):
    """Everything that clients hold fits beside what the instance needs."""

    def test_the_parts_leave_memory_for_everything_else(self) -> None:
        """Copies, snapshots and the fold need a quarter of what is spare."""
        for memory_mb in (80, 150, 300, 1_000):
            with self.subTest(memory_mb=memory_mb):
                found = _limits(memory_mb)
                held = found.body_bytes + found.job_bytes
                held += found.callers * CONNECTION_BYTES
                held += found.units * UNIT_BYTES
                spare = memory_mb * MB - BASE_BYTES
                self.assertLessEqual(held, 0.75 * spare)

    def test_descriptors_are_left_for_the_platform(self) -> None:
        """All addresses together leave a quarter of those for sockets."""
        for descriptors in (300, 1_000, 4_100):
            with self.subTest(descriptors=descriptors):
                found = _limits(1_000, descriptors)
                used = found.callers + found.internal + found.ready
                sockets = descriptors - FILE_DESCRIPTORS
                self.assertLessEqual(used, 0.75 * sockets)

    def test_the_largest_body_always_fits(self) -> None:
        """However little memory there is."""
        for memory_mb in (1, 50, 80):
            with self.subTest(memory_mb=memory_mb):
                found = _limits(memory_mb)
                self.assertGreater(found.body_bytes, 2 * LARGEST_BODY)
