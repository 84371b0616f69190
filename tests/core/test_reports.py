"""Tests of the usage report, from the fold on."""

import unittest

import msgspec

from swifthoist_core import accounting, records
from swifthoist_core.account import NEVER_FITS
from swifthoist_core.burn import burn_report
from swifthoist_core.histograms import MAX_WAIT_MS
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import PartPlacement, PartUsage
from swifthoist_core.reports import usage_report
from swifthoist_core.shapes import GuaranteedShape, Shape
from tests.core.builders import Book, job_entry, spec

WHOLE = Shape(1, 8)
PLACE = (PartPlacement('w0', 0, 8),)


def reclaimed_book() -> Book:
    """Let ``b`` borrow the only worker, and ``a`` reclaim it."""
    book = Book().staffed(workers=1)
    book.publish(job_entry('a', GuaranteedShape(WHOLE)))
    book.publish(job_entry('b'))
    book.append(records.JobSubmitted(spec('jb', 'b', WHOLE), 'k'))
    book.append(records.JobPlaced(1, 'jb', 1, PLACE, True))
    book.now_ms += 1_000
    book.append(records.JobSubmitted(spec('ja', 'a', WHOLE), 'k'))
    book.append(records.JobReclaimed(1, 'jb', 1, 'ja'))
    book.now_ms += 500
    use = PartUsage(0, 'w0', 8, 1_000, 2_500)
    book.append(records.JobEnded(1, 'jb', 1, 'reclaimed', (use,)))
    book.append(records.JobPlaced(1, 'ja', 1, PLACE, False))
    return book


class UsageReportTest(unittest.TestCase):
    """The report tells who got what, and what was not given."""

    def test_a_reclaimed_loan_shows_on_both_sides(self) -> None:
        """The borrower borrowed what the owner lent out."""
        report = usage_report(reclaimed_book().ledger)
        by_owner = {line.owner: line for line in report.lines}
        self.assertEqual(by_owner['b'].borrowed_s, 12)
        self.assertEqual(by_owner['b'].reclaimed_s, 12)
        self.assertEqual(by_owner['b'].reclaims, 1)
        lent = [(line.owner, line.lent_out_s) for line in report.lendings]
        self.assertEqual(lent, [('a', 12)])
        self.assertEqual([one.job_id for one in report.spans], ['jb'])
        self.assertEqual([one.job_id for one in report.running], ['ja'])

    def test_a_guarantee_not_given_is_listed_with_its_cause(self) -> None:
        """The wait for the borrower is a shortfall of the owner."""
        report = usage_report(reclaimed_book().ledger, 'a')
        self.assertEqual(len(report.shortfalls), 1)
        short = report.shortfalls[0]
        self.assertEqual(short.until_ms - short.since_ms, 500)
        self.assertIn(accounting.RECLAIMING, short.causes)

    def test_silence_of_every_instance_is_named_as_a_cause(self) -> None:
        """The lease of the cell ran out while a job waited."""
        book = Book().staffed(workers=1)
        book.publish(job_entry('a', GuaranteedShape(WHOLE)))
        book.append(records.JobSubmitted(spec('ja', 'a', WHOLE), 'k'))
        book.now_ms += 60_000
        book.claim(2)
        short = usage_report(book.ledger).shortfalls[0]
        self.assertEqual(short.until_ms, 0)
        self.assertIn(accounting.NO_HOLDER, short.causes)

    def test_work_beyond_the_guarantee_is_no_shortfall(self) -> None:
        """Only one of two jobs is covered, though both wait."""
        book = Book().staffed(workers=2)
        book.publish(job_entry('a', GuaranteedShape(WHOLE)))
        for job_id in ('j1', 'j2'):
            book.append(records.JobSubmitted(spec(job_id, 'a', WHOLE), job_id))
        waiting = [
            one.ask.job_id for one in usage_report(book.ledger).shortfalls
        ]
        self.assertEqual(waiting, ['j1'])
        book.now_ms += 100
        book.ledger.shortfalls.rebuild()
        book.append(records.JobCancelled('j1', 'a'))
        lasting = book.ledger.shortfalls.opened()
        self.assertEqual([one.ask.job_id for one in lasting], ['j2'])

    def test_any_instance_gives_the_same_answer_for_an_offset(self) -> None:
        """Another fold, restored after each record, gives equal bytes."""
        book = reclaimed_book()
        other = Ledger()
        for offset, (time_ms, envelope) in enumerate(book.log):
            other.fold(offset, time_ms, envelope)
            other.holdings.rebuild()
            other.shortfalls.rebuild()
        mine = msgspec.json.encode(usage_report(book.ledger))
        self.assertEqual(mine, msgspec.json.encode(usage_report(other)))
        self.assertEqual(usage_report(other).offset, len(book.log))

    def test_reports_survive_the_way_to_another_program(self) -> None:
        """What was encoded is decoded to an equal report."""
        ledger = reclaimed_book().ledger
        for report in (usage_report(ledger), burn_report(ledger)):
            packed = msgspec.json.encode(report)
            read = msgspec.json.decode(packed, type=type(report))
            self.assertEqual(read, report)

    def test_a_place_that_loses_its_guarantee_counts_as_borrowed(self) -> None:
        """From the change on, the other owner lends."""
        book = reclaimed_book()
        jobs = book.ledger.jobs.__dict__['_jobs']
        jobs['ja'] = jobs['ja']._replace(lent=True)
        book.publish(job_entry('c'))
        self.assertTrue(book.ledger.holdings.get('ja').lent)
        self.assertEqual(book.ledger.holdings.left('a'), 8)

    def test_a_part_that_the_gang_does_not_have_is_not_accounted(self) -> None:
        """The rest of the report is taken."""
        book = Book().staffed(workers=1)
        book.publish(job_entry('b'))
        book.append(records.JobSubmitted(spec('j', 'b', WHOLE), 'k'))
        book.append(records.JobPlaced(1, 'j', 1, PLACE, True))
        uses = tuple(
            PartUsage(part, 'w0', 8, 500, 1_000) for part in (0, 1, -1)
        )
        book.append(records.JobEnded(1, 'j', 1, 'done', uses))
        self.assertEqual(usage_report(book.ledger).lines[0].borrowed_s, 4)

    def test_a_question_for_one_owner_and_month_gets_only_that(self) -> None:
        """Other owners and other months are left out."""
        ledger = reclaimed_book().ledger
        mine = usage_report(ledger, 'b', '1970-01')
        self.assertEqual({line.owner for line in mine.lines}, {'b'})
        self.assertEqual(mine.lendings, ())
        self.assertEqual(usage_report(ledger, 'b', '1970-02').spans, ())

    def test_a_line_without_waiting_has_no_percentiles(self) -> None:
        """A refusal alone makes a line, and the report holds."""
        book = Book().staffed(workers=1)
        book.publish(job_entry('a'))
        huge = records.JobSubmitted(spec('j', 'a', Shape(9, 8)), 'k')
        book.append(huge)
        line = usage_report(book.ledger).lines[0]
        self.assertEqual(line.refused, {NEVER_FITS: 1})
        self.assertEqual(set(line.waiting), {0})

    def test_senseless_counts_do_not_break_the_report(self) -> None:
        """Waiting times beyond all bounds are counted at the bounds."""
        book = Book()
        waits = {-5: 3, 10**15: 1, 7: -2}
        tally = records.Tally('a', 'c', -1, 0, 0, {}, waits)
        book.append(records.RequestsCounted((tally,)))
        line = usage_report(book.ledger).lines[0]
        self.assertEqual(line.waiting.total, 4)
        self.assertGreaterEqual(line.waiting.max_ms, MAX_WAIT_MS)

    def test_an_estimate_is_marked_until_the_worker_reports(self) -> None:
        """The correction goes through the fold."""
        book = Book().staffed(workers=1)
        book.publish(job_entry('b'))
        book.append(records.JobSubmitted(spec('j', 'b', WHOLE), 'k'))
        book.append(records.JobPlaced(1, 'j', 1, PLACE, True))
        book.now_ms += 1_500
        guess = PartUsage(0, 'w0', 8, 1_000, 2_500, estimated=True)
        book.append(records.JobEnded(1, 'j', 1, 'lost', (guess,)))
        self.assertEqual(usage_report(book.ledger).lines[0].estimated_s, 12)
        own = PartUsage(0, 'w0', 8, 1_000, 2_000)
        verdict = book.append(records.UsageCorrected(1, 'j', 1, own))
        self.assertTrue(verdict.accepted)
        line = usage_report(book.ledger).lines[0]
        told = (line.estimated_s, line.borrowed_s, line.corrected_s)
        self.assertEqual(told, (0, 8, -4))
