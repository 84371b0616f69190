"""Tests of who gets a place next, and how long the others wait."""

import unittest

from swifthoist_core import records
from swifthoist_core.catalogue import Policy, Urgency
from swifthoist_core.job_states import Status
from swifthoist_core.ordering import rank_of
from swifthoist_core.planner import Reclaim, explain
from swifthoist_core.shapes import GuaranteedShape
from tests.core.builders import job_entry, spec
from tests.core.placement_scene import HALF, ONE, TWO, WHOLE, Scene


class WaitTest(unittest.TestCase):
    """No admissible job waits for ever, whatever the others do."""

    def setUp(self) -> None:
        """Take four workers that nobody is promised."""
        self.book = Scene()
        self.book.staffed(4)
        self.book.publish(job_entry('a'))
        self.book.publish(job_entry('b'))
        self.small = 0

    def _small_work(self) -> None:
        for _ in range(4):
            self.small += 1
            self.book.submit(f's{self.small}', 'b', HALF)
        for item in self.book.decide():
            if isinstance(item, Reclaim):
                self.book.end(item.job_id, 'reclaimed')

    def test_a_large_gang_gets_its_place_despite_small_work(self) -> None:
        """It waits at most its patience, a quantum, and a reclaim."""
        for _ in range(3):
            self._small_work()
        self.book.submit('big', 'a', TWO)
        for _ in range(33):
            self.book.wait(2_000)
            self._small_work()
        self.assertEqual(self.book.job('big').status, Status.STARTING)

    def test_short_work_fills_a_drain_and_long_work_does_not(self) -> None:
        """What has always ended in time may use the place until then."""
        for owner, shape, ran_ms in (('a', HALF, 2_000), ('b', ONE, 60_000)):
            for number in range(3):
                name = f'{owner}{number}'
                self.book.submit(name, owner, shape)
                self.book.decide()
                self.book.wait(ran_ms)
                self.book.end(name)
        for number in range(3):
            self.book.submit(f'w{number}', 'b', WHOLE)
        self.book.decide()
        self.book.submit('big', 'a', TWO)
        self.book.wait(2_000)
        self.book.submit('slow', 'b', ONE)
        self.assertEqual(self.book.decide(), [])
        self.book.submit('short', 'a', HALF)
        placed = [item.job_id for item in self.book.decide()]
        self.assertEqual(placed, ['short'])

    def test_urgent_work_takes_the_place_of_other_borrowers(self) -> None:
        """It does not wait for patience or quantum."""
        for number in range(4):
            self.book.submit(f'w{number}', 'b', WHOLE)
        self.book.decide()
        urgent = spec('now', 'a', ONE)._replace(urgency=Urgency.URGENT)
        self.book.append(records.JobSubmitted(urgent, 'now'))
        made = self.book.decide()
        self.assertEqual([item.beneficiary for item in made], ['now'])

    def test_a_small_borrower_ends_a_large_one_only_later(self) -> None:
        """The large one keeps its place for several quanta."""
        for number in range(2):
            self.book.submit(f'big{number}', 'a', TWO)
        self.book.decide()
        self.book.submit('small', 'b', WHOLE)
        self.book.wait(110_000)
        self.assertEqual(self.book.decide(), [])
        self.book.wait(10_000)
        self.assertEqual(self.book.decide(), [Reclaim('big0', 1, 'small')])

    def test_a_job_does_not_go_back_to_where_it_failed(self) -> None:
        """Not even if its owner's guarantee lies there."""
        self.book.publish(job_entry('a', GuaranteedShape(WHOLE)))
        self.book.submit('j', 'a', WHOLE)
        first = self.book.decide()[0].parts[0].worker
        self.book.end('j', 'failed', first)
        again = self.book.decide()[0].parts[0].worker
        self.assertNotEqual(again, first)

    def test_a_job_that_waited_for_minutes_goes_before_short_work(self) -> None:
        """Even where only completion time weighs."""
        self.book.append(records.PolicyChanged(0, Policy(1, 0), 'op'))
        for number in range(4):
            self.book.submit(f'w{number}', 'b', WHOLE)
        self.book.decide()
        slow = spec('slow', 'a', ONE)._replace(expected_ms=3_600_000)
        self.book.append(records.JobSubmitted(slow, 'slow'))
        self.book.wait(290_000)
        self.book.submit('short', 'b', ONE)
        self.book.wait(9_000)
        ranks = [rank_of(self.book.ledger, self.book.job('slow'))]
        ranks.append(rank_of(self.book.ledger, self.book.job('short')))
        self.assertGreater(ranks[0], ranks[1])
        self.book.wait(1_000)
        again = rank_of(self.book.ledger, self.book.job('slow'))
        self.assertLess(again, ranks[1])

    def test_a_freed_place_is_used_at_once(self) -> None:
        """What found no place before is tried again."""
        for number in range(5):
            self.book.submit(f'w{number}', 'b', WHOLE)
        self.book.decide()
        self.book.end('w0')
        placed = [item.job_id for item in self.book.decide()]
        self.assertEqual(placed, ['w4'])

    def test_a_wait_is_explained(self) -> None:
        """The explanation names who holds the place, and how sure it is."""
        for number in range(4):
            self.book.submit(f'w{number}', 'b', WHOLE)
        self.book.decide()
        self.book.submit('big', 'a', TWO)
        found = explain(self.book.ledger, 'big')
        self.assertEqual(len(found.held_by), 2)
        self.assertEqual(found.confidence, 'estimate')
        self.assertGreater(found.expected_ms, self.book.now_ms)
