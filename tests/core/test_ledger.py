"""Tests of the fold."""

import unittest

from swifthoist_core import records
from swifthoist_core.jobs import Status
from swifthoist_core.records import Author, Envelope, PartPlacement
from swifthoist_core.shapes import GuaranteedShape, Shape
from tests.core.builders import LEASE_MS, Book, job_entry, spec

WHOLE = Shape(1, 8)
OTHER = Author('entry-2', 1)


class EpochTest(unittest.TestCase):
    """Only the holder of the current epoch decides."""

    def test_a_claim_is_rejected_while_the_lease_runs(self) -> None:
        """The second claim waits for the first lease to end."""
        book = Book()
        self.assertTrue(book.claim(1).accepted)
        self.assertFalse(book.claim(2, OTHER).accepted)
        book.now_ms += LEASE_MS
        self.assertTrue(book.claim(2, OTHER).accepted)

    def test_a_late_decision_of_an_older_epoch_is_rejected(self) -> None:
        """A holder that was paused changes nothing when it wakes up."""
        book = Book().staffed()
        book.publish(job_entry('a'))
        book.append(records.JobSubmitted(spec('j', 'a', WHOLE), 'k'))
        book.now_ms += LEASE_MS
        book.claim(2, OTHER)
        parts = (PartPlacement('w0', 0, 8),)
        late = book.append(records.JobPlaced(1, 'j', 1, parts, True))
        self.assertEqual(late.reason, 'stale epoch')
        self.assertEqual(book.ledger.jobs.get('j').status, Status.WAITING)


class DuplicateTest(unittest.TestCase):
    """A record that was appended twice counts once."""

    def test_a_second_copy_of_a_record_is_rejected(self) -> None:
        """A batch that is appended again after a lost reply is harmless."""
        book = Book()
        intent = records.RequestIntended('k', 'a', 'c', 'd', 1_000)
        envelope = Envelope(OTHER, 1, intent)
        self.assertTrue(book.append_envelope(envelope).accepted)
        again = book.append_envelope(envelope)
        self.assertEqual(again.reason, 'duplicate')


class CatalogueTest(unittest.TestCase):
    """Operators race; one of them wins."""

    def test_of_two_racing_changes_one_is_a_conflict(self) -> None:
        """The second change names a version that is no longer current."""
        book = Book().staffed()
        change = records.EntryChanged('a-sort', 0, job_entry('a'), 'op')
        self.assertEqual(book.append(change).version, 1)
        again = book.append(change, OTHER)
        self.assertEqual(again.reason, 'version conflict')

    def test_a_promise_beyond_the_workers_is_refused(self) -> None:
        """Guarantees must fit at the same time."""
        book = Book().staffed(workers=2)
        guarantee = GuaranteedShape(WHOLE, 2)
        self.assertTrue(book.publish(job_entry('a', guarantee)).accepted)
        refused = book.publish(job_entry('b', GuaranteedShape(WHOLE, 1)))
        self.assertIn('guarantee[0]', refused.reason)


class RequestTest(unittest.TestCase):
    """A non-idempotent request runs at most once."""

    def test_a_second_instance_is_not_granted_the_same_key(self) -> None:
        """A retry through another instance learns that it is open."""
        book = Book()
        intent = records.RequestIntended('k', 'a', 'c', 'd', 1_000)
        self.assertTrue(book.append(intent).accepted)
        self.assertEqual(book.append(intent, OTHER).reason, 'open')

    def test_what_did_not_run_may_be_tried_again(self) -> None:
        """A true "not run" frees the key."""
        book = Book()
        intent = records.RequestIntended('k', 'a', 'c', 'd', 1_000)
        book.append(intent)
        book.append(records.RequestClosed('k', 'a', 'not_run', 0, b''))
        self.assertTrue(book.append(intent, OTHER).accepted)
