"""Tests of guarantees, reservations and reclaims, one promise at a time."""

import unittest

from swifthoist_core import records
from swifthoist_core.bindings import shortfalls
from swifthoist_core.catalogue import Limits
from swifthoist_core.job_states import Status
from swifthoist_core.planner import Place, Reclaim
from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape
from tests.core.builders import job_entry, worker
from tests.core.placement_checks import check_all
from tests.core.placement_scene import HALF, ONE, TWO, WHOLE, Scene, whole


class GuaranteeTest(unittest.TestCase):
    """A team can always reclaim its guaranteed shape."""

    def setUp(self) -> None:
        """Promise two adjacent workers of four to team a."""
        self.book = Scene()
        self.book.staffed(4)
        self.book.publish(job_entry('a', GuaranteedShape(TWO)))
        self.book.publish(job_entry('b'))

    def _lend_everything(self) -> None:
        for index in range(8):
            self.book.submit(f'b{index}', 'b', HALF)
        self.book.decide()

    def test_a_full_fleet_is_reclaimed_for_the_guaranteed_shape(self) -> None:
        """Only lent places that the shape needs are taken back."""
        self._lend_everything()
        self.book.submit('big', 'a', TWO, idempotent=False)
        made = self.book.decide()
        self.assertEqual(len(made), 4)
        self.assertEqual({type(item) for item in made}, {Reclaim})
        for reclaim in made:
            self.book.end(reclaim.job_id, 'reclaimed')
        placed = self.book.decide()[0]
        self.assertEqual((placed.job_id, placed.lent), ('big', False))

    def test_a_place_that_drains_is_taken_by_no_other_job(self) -> None:
        """Neither the planner nor the fold gives it to someone else."""
        self._lend_everything()
        self.book.submit('big', 'a', TWO)
        made = self.book.decide()
        self.book.submit('late', 'b', HALF)
        self.book.end(made[0].job_id, 'reclaimed')
        self.assertEqual(self.book.decide(), [])
        parts = self.book.ledger.reservations.get('big').parts
        freed = PartPlacement(parts[0].worker, 0, 4)
        room = self.book.ledger.fleet.room(freed.worker)
        if room.busy & 0xF:
            freed = freed._replace(first=4)
        self.assertIn('kept for another', self.book.place('late', freed))

    def test_a_reclaim_that_frees_no_whole_place_is_rejected(self) -> None:
        """A holder with a wrong idea stops nobody."""
        self._lend_everything()
        self.book.submit('c', 'b', HALF)
        stop = records.JobReclaimed(1, 'b0', 1, 'c')
        reason = self.book.append(stop).reason
        self.assertEqual(reason, 'beneficiary would get no place')
        self.assertEqual(self.book.job('b0').status, Status.STARTING)

    def test_a_free_place_elsewhere_spares_the_borrower(self) -> None:
        """The binding moves to free workers, so nobody is stopped."""
        bound = self.book.ledger.virtual_cells.cells()[0][1].bound
        self.book.submit('b', 'b', WHOLE)
        self.book.place('b', whole(bound[0].worker))
        self.book.submit('big', 'a', TWO)
        made = self.book.decide()
        self.assertEqual([type(item) for item in made], [Place])

    def test_a_place_that_would_break_a_guarantee_is_rejected(self) -> None:
        """What is promised to a cannot be guaranteed to b."""
        self.book.publish(job_entry('b', GuaranteedShape(WHOLE, 2)))
        self.book.submit('a1', 'a', WHOLE)
        self.assertEqual(self.book.place('a1', whole('w0'), lent=False), '')
        for index, name in enumerate(('w1', 'w2')):
            self.book.submit(f'b{index}', 'b', WHOLE)
            reason = self.book.place(f'b{index}', whole(name), lent=False)
            self.assertEqual(reason, '')
        self.book.submit('b2', 'b', WHOLE)
        reason = self.book.place('b2', whole('w3'), lent=False)
        self.assertIn('beyond the guarantee', reason)
        check_all(self.book.ledger)

    def test_the_victim_that_loses_least_is_chosen(self) -> None:
        """Of two borrowers the one that has run for less time goes."""
        self.book.publish(job_entry('a', GuaranteedShape(WHOLE, 2)))
        for index in range(4):
            self.book.submit(f'b{index}', 'b', WHOLE)
            self.book.decide()
            self.book.wait(10_000)
        self.book.submit('one', 'a', WHOLE)
        made = self.book.decide()
        self.assertEqual(made, [Reclaim('b3', 1, 'one')])

    def test_idle_bindings_are_packed_anew_for_a_new_promise(self) -> None:
        """Halves that lie scattered make way for whole workers."""
        for owner in 'abcdefgh':
            half = job_entry(owner, GuaranteedShape(HALF))
            self.assertEqual(self.book.publish(half).reason, '')
        for gone in 'bdfh':
            self.book.publish(job_entry(gone))
        rest = job_entry('i', GuaranteedShape(WHOLE, 2))
        self.assertEqual(self.book.publish(rest).reason, '')
        check_all(self.book.ledger)

    def test_a_withdrawn_guarantee_turns_jobs_into_borrowers(self) -> None:
        """The job runs on, and its place can be promised to others."""
        self.book.submit('big', 'a', TWO)
        self.book.decide()
        self.book.publish(job_entry('a'))
        self.assertTrue(self.book.job('big').lent)
        guarantee = GuaranteedShape(WHOLE, 4)
        self.assertTrue(self.book.publish(job_entry('b', guarantee)).accepted)
        check_all(self.book.ledger)

    def test_a_job_that_can_no_longer_run_is_refused(self) -> None:
        """It waits for a guarantee that was withdrawn."""
        self._lend_everything()
        self.book.submit('once', 'a', TWO, idempotent=False)
        self.book.decide()
        self.book.publish(job_entry('a'))
        self.assertEqual(self.book.job('once').status, Status.REFUSED)
        self.assertEqual(self.book.ledger.reservations.holds(), {})

    def test_a_reservation_ends_with_its_guarantee(self) -> None:
        """The job waits on as a borrower, and keeps no place."""
        self._lend_everything()
        self.book.submit('big', 'a', TWO)
        self.book.decide()
        self.book.publish(job_entry('a'))
        self.assertEqual(self.book.job('big').status, Status.WAITING)
        self.assertEqual(self.book.ledger.reservations.holds(), {})

    def test_a_job_that_must_not_stop_outlives_its_guarantee(self) -> None:
        """Its place is promised to others only once it has ended."""
        self.book.submit('once', 'a', TWO, idempotent=False)
        self.book.decide()
        self.book.publish(job_entry('a'))
        more = job_entry('b', GuaranteedShape(WHOLE, 4))
        self.assertFalse(self.book.publish(more).accepted)
        self.book.end('once')
        self.assertTrue(self.book.publish(more).accepted)


class ShortfallTest(unittest.TestCase):
    """Lost workers make guarantees move, and then short."""

    def setUp(self) -> None:
        """Promise two of three workers."""
        self.book = Scene()
        self.book.staffed(3)
        self.book.publish(job_entry('a', GuaranteedShape(WHOLE, 2)))

    def _bound(self) -> list[str]:
        cells = self.book.ledger.virtual_cells.cells()
        return sorted(place.worker for _, cell in cells for place in cell.bound)

    def test_a_guarantee_moves_away_from_a_leaving_worker(self) -> None:
        """As long as other workers hold it, nothing is short."""
        first = self._bound()[0]
        self.book.lose(first, lost=False)
        self.assertNotIn(first, self._bound())
        self.assertEqual(shortfalls(self.book.ledger.virtual_cells), ())

    def test_a_shortfall_says_whose_how_much_and_since_when(self) -> None:
        """It ends when a worker returns as a new incarnation."""
        self.book.lose('w0')
        self.book.wait(5_000)
        since_ms = self.book.now_ms
        self.book.lose('w1')
        self.book.wait(5_000)
        self.book.lose('w2')
        short = shortfalls(self.book.ledger.virtual_cells)
        found = [(item.owner, item.accelerators) for item in short]
        self.assertEqual(found, [('a', 8), ('a', 8)])
        self.assertEqual(min(item.since_ms for item in short), since_ms)
        for name in ('w0', 'w1'):
            again = worker(name)._replace(incarnation=2)
            self.book.append(records.WorkerJoined(1, again))
        self.assertEqual(shortfalls(self.book.ledger.virtual_cells), ())

    def test_every_finding_of_a_promise_too_large_is_named(self) -> None:
        """Shapes that do not fit are listed with their places."""
        entry = job_entry('b', GuaranteedShape(TWO), GuaranteedShape(WHOLE, 2))
        reason = self.book.publish(entry).reason
        self.assertIn('guarantee[0]', reason)
        self.assertIn('guarantee[1]', reason)


class AdmissionTest(unittest.TestCase):
    """A job that can never run is refused at once, with the reason."""

    def setUp(self) -> None:
        """Promise a worker of two to team a."""
        self.book = Scene()
        self.book.staffed(2)
        self.book.publish(job_entry('a', GuaranteedShape(WHOLE)))

    def test_impossible_jobs_are_refused_with_the_reason(self) -> None:
        """Each kind of impossible job has its own."""
        cases = (
            (Shape(1, 16), True, 'no workers could ever hold'),
            (Shape(129, 0), True, 'must be 1 to 128'),
            (Shape(2, 8), False, 'guarantee of its owner'),
            (Shape(1, 8, cores=65), True, 'no workers could ever hold'),
        )
        for number, (shape, idempotent, reason) in enumerate(cases):
            job = self.book.submit(
                f'j{number}', 'a', shape, idempotent=idempotent
            )
            self.assertEqual(job.status, Status.REFUSED)
            self.assertIn(reason, job.reason)

    def test_a_gang_with_a_part_left_out_is_rejected(self) -> None:
        """All parts have a place, or none has."""
        self.book.submit('big', 'a', TWO)
        self.assertIn('whole', self.book.place('big', whole('w0')))

    def test_parts_that_are_not_near_enough_are_rejected(self) -> None:
        """Two workers are not one."""
        self.book.submit('j', 'a', Shape(2, 4, adjacency=Adjacency.WORKER))
        apart = (PartPlacement('w0', 0, 4), PartPlacement('w1', 0, 4))
        self.assertIn('not as near', self.book.place('j', *apart))

    def test_the_limit_on_concurrency_holds_in_the_fold(self) -> None:
        """One job more than allowed waits, whoever decides."""
        entry = job_entry('b')._replace(limits=Limits(concurrency=1))
        self.book.publish(entry)
        self.book.submit('b1', 'b', ONE)
        self.book.submit('b2', 'b', ONE)
        self.assertEqual(len(self.book.decide()), 1)
        reason = self.book.place('b2', PartPlacement('w0', 7, 1))
        self.assertIn('limits', reason)
