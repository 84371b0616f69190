"""Tests of evidence against runners, and of the pace of filling tasks."""

import unittest

from swifthoist_engine.evidence import FORGET_MS, LEVELS, Evidence
from swifthoist_engine.pacing import FULL, Tail, next_pace

NOW_MS = 1_000_000


class EvidenceTest(unittest.TestCase):
    """A runner on which several jobs fail is used last."""

    def setUp(self) -> None:
        """Start without evidence."""
        self.evidence = Evidence()

    def test_failures_of_several_jobs_add_up(self) -> None:
        """Those of one job count once: it may be at fault itself."""
        for _ in range(5):
            self.evidence.note_failed('r', 'one', NOW_MS)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 1)
        self.evidence.note_failed('r', 'two', NOW_MS)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 2)

    def test_a_success_clears_a_runner(self) -> None:
        """It can do work after all."""
        self.evidence.note_hang('r', 'one', NOW_MS)
        self.assertGreater(self.evidence.suspicion('r', NOW_MS), 1)
        self.evidence.note_done('r', 'two', NOW_MS + 1)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 0)

    def test_a_run_that_began_before_a_failure_does_not_clear_a_runner(
        self,
    ) -> None:
        """A runner that fails what it starts still ends what it had."""
        self.evidence.note_failed('r', 'one', NOW_MS)
        self.evidence.note_done('r', 'two', NOW_MS - 1)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 1)

    def test_a_job_that_fails_everywhere_says_nothing_about_runners(
        self,
    ) -> None:
        """Else two of them would put all runners out of use."""
        for runner in 'rstu':
            self.evidence.note_failed(runner, 'one', NOW_MS)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 0)

    def test_a_job_of_which_a_task_was_done_counts_on(self) -> None:
        """It is not at fault itself, however many runners fail it."""
        for runner in 'rstu':
            self.evidence.note_failed(runner, 'one', NOW_MS)
        self.evidence.note_done('v', 'one', NOW_MS)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), 1)

    def test_evidence_grows_old(self) -> None:
        """A spell passes, and a runner must not stay out of use."""
        for job in 'abcdef':
            self.evidence.note_failed('r', job, NOW_MS)
        self.assertEqual(self.evidence.suspicion('r', NOW_MS), LEVELS)
        later = NOW_MS + FORGET_MS
        self.assertEqual(self.evidence.suspicion('r', later), 0)


class PaceTest(unittest.TestCase):
    """Filling tasks give way to tasks that serve."""

    def test_the_pace_falls_while_a_tail_is_near_its_target(self) -> None:
        """To nothing within a few steps."""
        pace = FULL
        steps = 0
        while pace:
            pace = next_pace(pace, (Tail(95, 100), Tail(1, 100)))
            steps += 1
        self.assertLessEqual(steps, 4)

    def test_the_pace_rises_while_all_tails_are_low(self) -> None:
        """And stays where they are between."""
        self.assertGreater(next_pace(20, (Tail(10, 100),)), 20)
        self.assertEqual(next_pace(20, (Tail(70, 100),)), 20)
        self.assertEqual(next_pace(FULL, ()), FULL)
