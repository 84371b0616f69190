"""Tests of the error classes."""

import unittest

from swifthoist_core import errors


class FindingsTest(unittest.TestCase):
    """Findings are collected and reported together."""

    def test_all_findings_are_raised_in_one_group(self) -> None:
        """Two findings give one error that names both places."""
        findings = (
            errors.Finding('limits.rate', 'must be positive'),
            errors.Finding('owner', 'is missing'),
        )
        with self.assertRaises(errors.InvalidInputError) as caught:
            errors.raise_findings('catalogue entry', findings)
        self.assertEqual(caught.exception.findings, findings)

    def test_no_findings_raise_nothing(self) -> None:
        """An input without findings passes."""
        self.assertIsNone(errors.raise_findings('catalogue entry', ()))
