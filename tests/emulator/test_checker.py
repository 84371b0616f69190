"""Tests of the check that jobs which were rejected don't run."""

import unittest

from swifthoist_emulator.callers import are_rejections
from swifthoist_emulator.checker import InvariantChecker
from swifthoist_engine.model import Resources, TaskId

JOB = '00000000000000aa'
ROOM = Resources(1, 1, 1)


class RejectedTest(unittest.TestCase):
    """A job runs only if an attempt to submit it may have succeeded."""

    def setUp(self) -> None:
        """Have a caller submit a job."""
        self.checker = InvariantChecker()
        self.checker.submitted.add(JOB)

    def start(self) -> None:
        """Start the job's task."""
        task = TaskId(JOB, 0, 0, 0)
        self.checker.note_start('r', task, 1, (1, 1, 1), ROOM)

    def test_a_rejected_job_that_starts_is_reported(self) -> None:
        """Whether the rejection or the start comes first."""
        self.start()
        self.checker.note_rejected(JOB)
        self.assertEqual(len(self.checker.broken), 1)
        self.setUp()
        self.checker.note_rejected(JOB)
        self.start()
        self.assertEqual(len(self.checker.broken), 1)

    def test_a_job_without_a_rejection_may_start(self) -> None:
        """Its caller was told that it was accepted, or nothing."""
        self.start()
        self.assertEqual(self.checker.broken, [])

    def test_one_attempt_without_an_outcome_is_no_rejection(self) -> None:
        """Neither is an attempt that succeeded."""
        for status in (0, 200, 502, 504):
            self.assertFalse(are_rejections([503, status, 404]))
        for status in (400, 401, 404, 409, 429, 500, 503):
            self.assertTrue(are_rejections([503, status]))
