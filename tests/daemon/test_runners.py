"""Tests of the table of runners."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_core.clock import ManualClock
from swifthoistd.runners import ListedRunner, Runners, RunnerState

_INCARNATIONS = st.integers(1, 3)
_LISTED = st.tuples(st.sampled_from(RunnerState), _INCARNATIONS)
_NEWS = st.lists(st.one_of(_LISTED, _INCARNATIONS), min_size=1, max_size=12)


def _item(state: RunnerState, incarnation: int) -> ListedRunner:
    return ListedRunner('r', 'r:1', 'a', state, incarnation, 'svc')


class RunnersTest(unittest.TestCase):
    """Leaving wins over live, whatever the list says later."""

    @settings(derandomize=True, deadline=None, database=None)
    @given(_NEWS)
    def test_a_leaving_incarnation_never_serves_again(
        self, news: list[tuple[RunnerState, int] | int]
    ) -> None:
        """Old lists and hints may come in any order."""
        runners = Runners(ManualClock())
        left = 0
        newest = 0
        for item in news:
            match item:
                case (state, incarnation):
                    runners.replace([_item(state, incarnation)])
                    newest = max(newest, incarnation)
                    leaves = state is RunnerState.LEAVING
                    if leaves and incarnation == newest:
                        left = max(left, incarnation)
                case int():
                    runners.note_leaving('r', item)
                    left = max(left, item)
            serving = [runner.incarnation for runner in runners.serving('svc')]
            self.assertLessEqual(set(serving), {newest} - {left})
            self.assertFalse(serving and left > newest)

    def test_a_new_incarnation_serves(self) -> None:
        """The next life of a runner that left may get work."""
        runners = Runners(ManualClock())
        runners.note_leaving('r', 1)
        runners.replace([_item(RunnerState.LIVE, 1)])
        self.assertEqual(runners.serving('svc'), ())
        runners.replace([_item(RunnerState.LIVE, 2)])
        self.assertEqual(len(runners.serving('svc')), 1)
        self.assertEqual(runners.serving('other'), ())
