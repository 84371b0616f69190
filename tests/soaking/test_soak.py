"""A short soak, and the seeds that once violated a guarantee."""

import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple

from soak.run_soak import run_soak


class Case(NamedTuple):
    """Parameters of a soak.

    :ivar seed: seed of the faults.
    :ivar seconds: how long faults are injected, in seconds.
    """

    seed: int
    seconds: float


SHORT = Case(7, 6)

LASTING_IDS = Case(9, 6)
"""Runners restart under the ids that they had before."""

REGRESSIONS = (
    # The emulated store took a call cut off within its body for an append
    # without records and answered the retry as done: a job was lost. The
    # emulated runner carried out an order in a life that had ended, and the
    # invariant check required a done end of each member of a gang.
    Case(202, 20),
)


class SoakTest(unittest.TestCase):
    """Guarantees hold while faults overlap."""

    def test_no_promise_is_broken(self) -> None:
        """Programs are killed, stopped, disconnected and replaced."""
        for case in (SHORT, LASTING_IDS, *REGRESSIONS):
            with self.subTest(case=case):
                with tempfile.TemporaryDirectory() as folder:
                    verdict = run_soak(*case, Path(folder))
                self.assertEqual(verdict.broken, [])
                self.assertGreater(verdict.accepted, 0)
                self.assertGreater(verdict.faults, 0)
