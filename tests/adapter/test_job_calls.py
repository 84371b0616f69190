"""Tests of submissions that are far larger than any ordinary one."""

import unittest

import msgspec

from swifthoist_core.errors import Finding
from swifthoist_engine.job_checks import MAX_STEPS
from swifthoist_platform import names
from swifthoist_platform.job_calls import (
    MAX_LISTED_FINDINGS,
    decode_job,
    encode_error,
)


def _submission(row: object, count: int) -> bytes:
    return msgspec.json.encode({names.STEPS: (row,) * count})


class LargeSubmissionTest(unittest.TestCase):
    """Their cost and their answers are bounded."""

    def test_a_job_of_too_many_steps_is_one_finding(self) -> None:
        """Each of 130,000 wrong steps was one, at 54 MB and 1.6 s."""
        for row in ({}, 1):
            with self.subTest(row=row):
                decoded = decode_job(_submission(row, MAX_STEPS + 1))
                self.assertIsNone(decoded.request)
                self.assertEqual(len(decoded.findings), 1)

    def test_the_largest_job_is_accepted(self) -> None:
        """The limit itself is allowed."""
        decoded = decode_job(_submission({}, MAX_STEPS))
        assert decoded.request is not None
        self.assertEqual(len(decoded.request.steps), MAX_STEPS)

    def test_an_answer_lists_some_findings_and_counts_the_rest(self) -> None:
        """It was larger than the request."""
        decoded = decode_job(_submission(1, MAX_STEPS))
        self.assertEqual(len(decoded.findings), MAX_STEPS)
        answer = msgspec.json.decode(encode_error(decoded.findings))
        listed = answer[names.ERROR]
        self.assertEqual(len(listed), MAX_LISTED_FINDINGS + 1)
        left = MAX_STEPS - MAX_LISTED_FINDINGS
        self.assertEqual(listed[-1], f'{left} more problems')

    def test_a_short_answer_lists_all(self) -> None:
        """Nothing is counted where nothing is left out."""
        findings = (Finding('a', 'is odd'),) * MAX_LISTED_FINDINGS
        answer = msgspec.json.decode(encode_error(findings))
        self.assertEqual(len(answer[names.ERROR]), MAX_LISTED_FINDINGS)
