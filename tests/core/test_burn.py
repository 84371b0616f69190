"""Tests of service-level burn."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core import records
from swifthoist_core.burn import RULES, burn_report
from swifthoist_core.catalogue import Entry, Objective, Work
from swifthoist_core.records import PartPlacement, PartUsage, Tally
from swifthoist_core.series import EMPTY, Outcomes, Series
from swifthoist_core.shapes import Shape
from tests.core.builders import Book, job_entry, spec

FIXED = settings(
    derandomize=True, deadline=None, database=None, max_examples=80
)
MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
WINDOWS = {rule.long_ms for rule in RULES} | {rule.short_ms for rule in RULES}
GAPS = st.one_of(
    st.integers(0, 10 * MINUTE_MS),
    st.integers(0, 20 * HOUR_MS),
    st.integers(0, 800 * HOUR_MS),
)


def plain_window(
    events: list, now_ms: int, length_ms: int, step_ms: int
) -> Outcomes:
    """Add up a window event by event."""
    first = now_ms // step_ms - length_ms // step_ms + 1
    total = Outcomes()
    for time_ms, outcomes in events:
        if time_ms // step_ms >= first:
            total = Outcomes(
                total.good + outcomes.good, total.bad + outcomes.bad
            )
    return total


class WindowTest(unittest.TestCase):
    """Rings of buckets add up to what a plain sum gives."""

    @FIXED
    @given(
        st.lists(st.tuples(GAPS, st.integers(0, 9), st.integers(0, 9))),
        GAPS,
    )
    def test_windows_equal_a_plain_recomputation(
        self, drawn: list, last_ms: int
    ) -> None:
        """Every window of every rule, and the thirty days."""
        series = EMPTY
        events = []
        now_ms = 1_000 * HOUR_MS
        for gap_ms, good, bad in drawn:
            now_ms += gap_ms
            events.append((now_ms, Outcomes(good, bad)))
            series = series.add(now_ms, Outcomes(good, bad))
        now_ms += last_ms
        packed = msgspec.msgpack.encode(series)
        restored = msgspec.msgpack.decode(packed, type=Series)
        self.assertEqual(restored, series)
        for length_ms in (*WINDOWS, 720 * HOUR_MS):
            narrow = length_ms <= 6 * HOUR_MS
            step_ms = 5 * MINUTE_MS if narrow else HOUR_MS
            plain = plain_window(events, now_ms, length_ms, step_ms)
            self.assertEqual(series.window(now_ms, length_ms), plain)


def count(book: Book, good: int, late: int, refused: int = 0) -> None:
    """Append the counts of an instance."""
    reasons = {'queue is full': refused} if refused else {}
    tally = Tally('a', 'check', good, late, 0, reasons, {})
    book.append(records.RequestsCounted((tally,)))


def request_book() -> Book:
    """Build a ledger with one class of requests, 99 % within 2 s."""
    book = Book()
    book.now_ms = 1_000 * HOUR_MS
    objective = Objective(0.99, 2_000)
    book.publish(Entry('e', 'a', 'check', Work.REQUEST, objective=objective))
    return book


class AlertTest(unittest.TestCase):
    """Alerts need a long and a short window; the worst one sets the code."""

    def test_a_fast_burn_that_lasts_pages(self) -> None:
        """One in five is late for an hour: twenty times the budget."""
        book = request_book()
        for _ in range(12):
            count(book, 80, 20)
            book.now_ms += 5 * MINUTE_MS
        count(book, 80, 20)
        self.assertEqual(burn_report(book.ledger).exit_code, 2)

    def test_a_burn_that_is_over_pages_nobody(self) -> None:
        """The short window is clean again."""
        book = request_book()
        count(book, 0, 100)
        for _ in range(4):
            book.now_ms += 5 * MINUTE_MS
            count(book, 100, 0)
        rules = burn_report(book.ledger).lines[0].burns
        self.assertGreater(rules[0].long_rate, rules[0].rule.rate)
        self.assertFalse(rules[0].alert)

    def test_a_slow_burn_opens_a_ticket(self) -> None:
        """Two in a hundred late for three days."""
        book = request_book()
        for _ in range(72):
            count(book, 98, 2)
            book.now_ms += HOUR_MS
        count(book, 98, 2)
        self.assertEqual(burn_report(book.ledger).exit_code, 1)

    def test_refusals_spend_the_budget(self) -> None:
        """Fifty good and one refused leave less than nothing."""
        book = request_book()
        count(book, 50, 0, refused=1)
        line = burn_report(book.ledger).lines[0]
        self.assertAlmostEqual(line.budget_left, 1 - 100 / 51)
        self.assertEqual(burn_report(book.ledger, 'b').lines, ())

    def test_a_job_is_good_only_when_done_in_time(self) -> None:
        """Of two jobs that ran, the later one is bad."""
        book = Book().staffed(workers=1)
        book.publish(job_entry('a'))
        place = (PartPlacement('w0', 0, 8),)
        for job_id, run_ms in (('j1', 1_000), ('j2', 2_500)):
            book.append(
                records.JobSubmitted(spec(job_id, 'a', Shape(1, 8)), job_id)
            )
            book.append(records.JobPlaced(1, job_id, 1, place, True))
            use = PartUsage(0, 'w0', 8, book.now_ms, book.now_ms + run_ms)
            book.now_ms += run_ms
            book.append(records.JobEnded(1, job_id, 1, 'done', (use,)))
        line = burn_report(book.ledger).lines[0]
        self.assertEqual((line.good, line.bad), (1, 1))
