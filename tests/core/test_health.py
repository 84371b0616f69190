"""Tests of workers that fail everything."""

import unittest

from tests.core.builders import job_entry
from tests.core.placement_scene import WHOLE, Scene, whole


class HealthTest(unittest.TestCase):
    """Workers are set aside on evidence from several owners."""

    def setUp(self) -> None:
        """Take four workers and two teams."""
        self.book = Scene()
        self.book.staffed(4)
        self.book.publish(job_entry('a'))
        self.book.publish(job_entry('b'))

    def _fail(self, job_id: str, owner: str, name: str) -> None:
        if self.book.job(job_id) is None:
            self.book.submit(job_id, owner, WHOLE)
        self.assertEqual(self.book.place(job_id, whole(name)), '')
        self.book.end(job_id, 'failed', name)

    def test_a_worker_that_fails_everything_is_set_aside(self) -> None:
        """It is tried again later, and one failure more doubles the pause."""
        for number, owner in enumerate('aab'):
            self._fail(f'j{number}', owner, 'w0')
        self.assertFalse(self.book.ledger.fleet.is_open('w0'))
        self.book.wait(60_000)
        self.assertTrue(self.book.ledger.fleet.is_open('w0'))
        self._fail('j3', 'a', 'w0')
        self.book.wait(60_000)
        self.assertFalse(self.book.ledger.fleet.is_open('w0'))
        self.book.wait(60_000)
        self.assertTrue(self.book.ledger.fleet.is_open('w0'))

    def test_the_jobs_of_one_owner_condemn_no_worker(self) -> None:
        """A team whose jobs all fail is no evidence."""
        for number in range(5):
            self._fail(f'j{number}', 'a', 'w0')
        self.assertTrue(self.book.ledger.fleet.is_open('w0'))

    def test_a_job_that_fails_everywhere_condemns_no_worker(self) -> None:
        """Its failure on a second worker acquits the first."""
        for number, owner in enumerate('aab'):
            self._fail(f'j{number}', owner, 'w0')
        self._fail('j0', 'a', 'w1')
        self.assertTrue(self.book.ledger.fleet.is_open('w0'))
