"""Tests of the account: spans, holdings, corrections and reconciliation."""

import copy
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.account import Account
from swifthoist_core.holdings import Holding, Holdings
from swifthoist_core.reconciliation import Mismatch, ReportedUse, reconcile
from swifthoist_core.records import PartUsage
from swifthoist_core.spans import Span

FIXED = settings(
    derandomize=True, deadline=None, database=None, max_examples=80
)
HOUR_MS = 3_600_000
DAY_MS = 24 * HOUR_MS
END_MS = 400 * DAY_MS
OWNERS = st.sampled_from('abc')


@st.composite
def spans(draw: st.DrawFn) -> Span:
    """Draw a span, also one of a clock that is ahead of the log."""
    started_ms = END_MS - draw(st.integers(0, 40 * 24)) * HOUR_MS
    length_ms = draw(st.integers(0, 15 * 24)) * HOUR_MS
    return Span(
        draw(OWNERS),
        'sort',
        draw(st.uuids().map(str)),
        1,
        draw(st.integers(0, 3)),
        'w0',
        0,
        draw(st.integers(0, 8)),
        started_ms,
        started_ms + length_ms,
        draw(st.booleans()),
        draw(st.booleans()),
        draw(st.booleans()),
    )


def use_of(span: Span, longer_ms: int = 0) -> PartUsage:
    """Build the worker's own report of a span."""
    stopped_ms = span.stopped_ms + longer_ms
    return PartUsage(
        span.part, span.worker, span.accelerators, span.started_ms, stopped_ms
    )


class SumsTest(unittest.TestCase):
    """The totals are the sums of the spans."""

    @FIXED
    @given(
        st.lists(st.tuples(spans(), st.booleans(), st.integers(0, DAY_MS))),
        st.randoms(use_true_random=False),
    )
    def test_totals_equal_the_spans_under_any_interleaving(
        self, drawn: list, order: object
    ) -> None:
        """Spans and late corrections come in any order."""
        account = Account()
        steps = [('span', item) for item in drawn]
        steps += [('correct', item) for item in drawn if item[1]]
        order.shuffle(steps)
        for kind, (span, _, longer_ms) in steps:
            if kind == 'span':
                account.add_span(span, END_MS)
            else:
                use = use_of(span, longer_ms)
                account.correct_span(span.key, use, END_MS)
        for owner in 'abc':
            kept = [one for one in account.spans() if one.owner == owner]
            lines = [one for one in account.lines() if one.owner == owner]
            for lent in (False, True):
                told = sum(
                    line.borrowed_ms if lent else line.guaranteed_ms
                    for line in lines
                )
                used = sum(s.accelerator_ms for s in kept if s.lent is lent)
                self.assertEqual(told, used)
            self.assertEqual(
                sum(line.estimated_ms for line in lines),
                sum(s.accelerator_ms for s in kept if s.estimated),
            )
            self.assertEqual(
                sum(line.reclaimed_ms for line in lines),
                sum(s.accelerator_ms for s in kept if s.lent and s.reclaimed),
            )

    def test_a_span_over_the_end_of_a_month_is_split(self) -> None:
        """Each month gets its own accelerator-milliseconds."""
        account = Account()
        new_year_ms = 365 * DAY_MS
        span = Span(
            'a',
            's',
            'j',
            1,
            0,
            'w0',
            0,
            2,
            new_year_ms - 3,
            new_year_ms + 1,
            False,
        )
        account.add_span(span, END_MS)
        told = [(line.month, line.guaranteed_ms) for line in account.lines()]
        self.assertEqual(told, [('1970-12', 6), ('1971-01', 2)])

    def test_a_clock_ahead_of_the_log_opens_no_later_month(self) -> None:
        """The span keeps its length, and ends when it was reported."""
        account = Account()
        ahead = Span(
            'a',
            's',
            'j',
            1,
            0,
            'w0',
            0,
            2,
            END_MS + DAY_MS,
            END_MS + 40 * DAY_MS,
            False,
        )
        account.add_span(ahead, END_MS)
        self.assertLessEqual(account.lines()[-1].month, '1971-02')
        used_ms = sum(line.guaranteed_ms for line in account.lines())
        self.assertEqual(used_ms, ahead.accelerator_ms)


class CorrectionTest(unittest.TestCase):
    """A late report replaces an estimate, once."""

    def test_a_late_report_replaces_an_estimate_only_once(self) -> None:
        """The second report changes nothing."""
        account = Account()
        span = Span('a', 's', 'j', 1, 0, 'w0', 0, 8, 1_000, 5_000, True, True)
        account.add_span(span, 10_000)
        shorter = use_of(span, -1_000)
        self.assertEqual(account.correct_span(span.key, shorter, 20_000), '')
        line = account.lines()[0]
        self.assertEqual((line.borrowed_ms, line.estimated_ms), (24_000, 0))
        self.assertEqual(line.corrected_ms, -8_000)
        again = account.correct_span(span.key, use_of(span), 20_000)
        self.assertIn('already', again)
        self.assertEqual(account.lines()[0], line)


class LendingTest(unittest.TestCase):
    """What is lent out adds up to what was borrowed of guarantees."""

    @FIXED
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 1_000), OWNERS, st.booleans(), st.integers(0, 8)
            )
        )
    )
    def test_lendings_add_up_to_what_guarantees_lent(self, steps: list) -> None:
        """A plain sum over every interval gives the same."""
        holdings = Holdings()
        holdings.fleet = 24
        holdings.promise({'a': 8, 'b': 5, 'c': 3})
        held: list[Holding] = []
        now_ms = 0
        plain = 0
        for index, (wait_ms, owner, lent, count) in enumerate(steps):
            borrowed = sum(one.accelerators for one in held if one.lent)
            idle = sum(
                max(
                    0,
                    promised
                    - sum(
                        one.accelerators
                        for one in held
                        if one.owner == name and not one.lent
                    ),
                )
                for name, promised in (('a', 8), ('b', 5), ('c', 3))
            )
            plain += wait_ms * min(max(0, borrowed - 8), idle)
            now_ms += wait_ms
            holdings.settle(now_ms)
            if len(held) > 4:
                holdings.release(held.pop(0).job_id)
            held.append(Holding(f'j{index}', owner, count, lent, now_ms))
            holdings.hold(held[-1])
        told = sum(one.lent_ms for one in holdings.lendings(now_ms))
        self.assertEqual(told, plain)
        before = copy.deepcopy(holdings.__dict__)
        holdings.rebuild()
        self.assertEqual(before, holdings.__dict__)


class ReconciliationTest(unittest.TestCase):
    """Differences between account and reports are shown."""

    def test_every_difference_is_shown_and_agreement_is_silent(self) -> None:
        """A span that may still be reported is no difference."""
        first = Span('a', 's', 'j', 1, 0, 'w0', 0, 8, 1_000, 2_000, False)
        same, other, missing, fresh = (
            first._replace(part=index, stopped_ms=2_000 + index)
            for index in range(4)
        )
        reported = [
            ReportedUse('j', 1, use_of(same)),
            ReportedUse('j', 1, use_of(other, 5)),
            ReportedUse('ghost', 1, use_of(same)),
            ReportedUse('ghost', 1, use_of(same, 1)),
        ]
        found = reconcile([same, other, missing, fresh], reported, 2_002)
        self.assertEqual(
            [(one.key.job_id, one.key.part, one.mismatch) for one in found],
            [
                ('ghost', 0, Mismatch.REPORTED_TWICE),
                ('ghost', 0, Mismatch.NOT_ACCOUNTED),
                ('j', 1, Mismatch.DIFFERENT_TIME),
                ('j', 2, Mismatch.NOT_REPORTED),
            ],
        )
