"""A short soak with a seed, and the seeds that ever broke a promise."""

import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

from soak.run_soak import run_soak


class Case(NamedTuple):
    """A soak.

    :ivar seed: its seed.
    :ivar seconds: how long faults come.
    """

    seed: int
    seconds: float


SHORT = Case(7, 6)

LASTING_IDS = Case(9, 6)
"""Runners start again under the ids that they had."""

BROKEN_ONCE = (
    # The stand-in of the store took a call that broke off in its body for an
    # append without records, and answered its repeat as done: a job was lost.
    # The stand-in of a runner carried an order out on a life that had ended, and
    # the witness asked for a done end of each member of a gang.
    Case(202, 20),
)


class SoakTest(unittest.TestCase):
    """Promises hold while faults overlap."""

    def test_no_promise_is_broken(self) -> None:
        """By programs that are killed, stopped, cut off and replaced."""
        for case in (SHORT, LASTING_IDS, *BROKEN_ONCE):
            with self.subTest(case=case):
                with tempfile.TemporaryDirectory() as folder:
                    verdict = run_soak(*case, Path(folder))
                self.assertEqual(verdict.broken, [])
                self.assertGreater(verdict.accepted, 0)
                self.assertGreater(verdict.faults, 0)
