"""Tests of the settings of an entry instance."""

import unittest

from swifthoist_core.errors import InvalidInputError
from swifthoistd.settings import read_settings, source_settings

GOOD = {
    'SWIFTHOISTD_INSTANCE': 'e1',
    'SWIFTHOISTD_ZONE': 'z1',
    'SWIFTHOISTD_LOG_URL': 'http://127.0.0.1:1',
    'SWIFTHOISTD_LIST_URL': 'http://127.0.0.1:2',
    'SWIFTHOISTD_SECRET': 'a-secret-for-the-tests',
}


class SettingsTest(unittest.TestCase):
    """Flags and environment variables become checked settings."""

    def test_a_flag_goes_before_the_environment(self) -> None:
        """And each setting knows where it came from."""
        args = ['--zone=z2']
        self.assertEqual(read_settings(args, GOOD).zone, 'z2')
        sources = {
            item.option.name: item.source
            for item in source_settings(args, GOOD)
        }
        self.assertEqual(sources['zone'], 'flag')
        self.assertEqual(sources['instance'], 'environment')
        self.assertEqual(sources['drain_ms'], 'default')

    def test_times_have_bounds(self) -> None:
        """A lease of nothing, or a drain of years, is a mistake."""
        for name, text in (
            ('CELL_LEASE_MS', '0'),
            ('WORKER_LEASE_MS', '999'),
            ('DRAIN_MS', '99999999999'),
        ):
            with self.subTest(name=name):
                environ = {**GOOD, f'SWIFTHOISTD_{name}': text}
                with self.assertRaises(InvalidInputError) as caught:
                    read_settings([], environ)
                self.assertEqual(len(caught.exception.findings), 1)
