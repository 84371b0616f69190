"""Tests of the shares of the entry instances."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.clock import ManualClock
from swifthoistd.shares import Shares

_SETTLE_MS = 5_000
_NAMES = tuple(f'i{number}' for number in range(9))
_SETS = st.lists(
    st.sets(st.sampled_from(_NAMES), min_size=1), min_size=1, max_size=6
)
_LAGS = st.lists(
    st.integers(0, _SETTLE_MS - 1), min_size=len(_NAMES), max_size=len(_NAMES)
)
_TOTALS = st.sampled_from((8, 64))


def _sum(instances: list[Shares], total: int, runner: str) -> int:
    return sum(item.part(total, runner) for item in instances)


class SharesTest(unittest.TestCase):
    """The parts of all instances never exceed the total."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(_SETS, _LAGS, _TOTALS, st.integers(1, _SETTLE_MS * 2))
    def test_parts_never_exceed_the_total(
        self, sets: list[set[str]], lags: list[int], total: int, gap_ms: int
    ) -> None:
        """Each instance hears of each change with a lag of its own."""
        clock = ManualClock()
        instances = [Shares(name, clock, _SETTLE_MS) for name in _NAMES]
        due = [
            (number * (_SETTLE_MS + gap_ms) + lag, index, sorted(members))
            for number, members in enumerate(sets)
            for index, lag in enumerate(lags)
        ]
        start_ms = clock.now_ms
        for at_ms, index, members in sorted(due):
            clock.now_ms = start_ms + at_ms
            if _NAMES[index] in members:
                instances[index].update(members)
            else:
                # An instance that has left is gone; it may come back.
                instances[index] = Shares(_NAMES[index], clock, _SETTLE_MS)
            for runner in ('r1', 'r2'):
                self.assertLessEqual(_sum(instances, total, runner), total)

    def test_a_settled_set_uses_everything(self) -> None:
        """Seven instances share eight slots without a rest."""
        clock = ManualClock()
        instances = [Shares(name, clock, _SETTLE_MS) for name in _NAMES[:7]]
        for instance in instances:
            instance.update(_NAMES[:7])
        self.assertEqual(_sum(instances, 8, 'r1'), 0)
        clock.advance(_SETTLE_MS)
        self.assertEqual(_sum(instances, 8, 'r1'), 8)
        self.assertEqual(_sum(instances, 64, 'r1'), 64)
