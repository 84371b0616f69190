"""Tests of counting: nothing is lost and nothing counts twice."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.account import Account
from swifthoist_core.counting import Answered, Counting, Failed, Refused
from swifthoist_core.records import RequestsCounted

FIXED = settings(
    derandomize=True, deadline=None, database=None, max_examples=100
)
FINISHED = st.one_of(
    st.builds(
        Answered, st.integers(0, 4_000), st.just(2_000), st.integers(0, 9_000)
    ),
    st.builds(Failed, st.integers(0, 9_000)),
    st.builds(Refused, st.sampled_from(('queue is full', 'rate'))),
)
NOTE = st.tuples(st.just('note'), st.sampled_from('ab'), FINISHED)
APPEND = st.tuples(
    st.sampled_from(('drain', 'succeed', 'fail')), st.integers(0, 5)
)


def totals(account: Account) -> list:
    """Take the lines of an account without their order of counting."""
    return [
        (
            line.owner,
            line.good,
            line.late,
            line.failed,
            sorted(line.refused.items()),
            sorted(line.waits.items()),
        )
        for line in account.lines()
    ]


class Instance:
    """An instance with its counts, and two accounts to compare."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counting = Counting()
        self.told = Account()
        self.plain = Account()
        self.drained: list[RequestsCounted] = []

    def note(self, owner: str, finished: object) -> None:
        """Count a request, and put it on the plain account at once."""
        self.counting.note(owner, 'check', finished)
        alone = Counting()
        alone.note(owner, 'check', finished)
        self.plain.add_tally(0, alone.drain().tallies[0])

    def drain(self, _: int) -> None:
        """Start an append."""
        self.drained.extend(filter(None, (self.counting.drain(),)))

    def succeed(self, index: int) -> None:
        """End an append with success, perhaps for the second time."""
        for record in self.drained[index : index + 1]:
            tallies = record.tallies if self.counting.confirm(record) else ()
            for tally in tallies:
                self.told.add_tally(0, tally)

    def fail(self, index: int) -> None:
        """End an append with failure, perhaps for the second time."""
        for record in self.drained[index : index + 1]:
            self.counting.merge_back(record)


class CountingTest(unittest.TestCase):
    """Drained counts go to the log once, or come back."""

    @FIXED
    @given(st.lists(st.one_of(NOTE, NOTE, APPEND)))
    def test_nothing_is_lost_or_doubled_when_appends_fail(
        self, steps: list
    ) -> None:
        """Verdicts come in any order, and some come twice."""
        instance = Instance()
        for name, *arguments in steps:
            getattr(instance, name)(*arguments)
        for index, _ in enumerate(instance.drained):
            instance.fail(index)
        instance.drain(0)
        instance.succeed(len(instance.drained) - 1)
        self.assertEqual(totals(instance.told), totals(instance.plain))
        self.assertIsNone(instance.counting.drain())
