"""Tests of the promises under any order of faults."""

import unittest

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from tests.daemon.fakes import run
from tests.daemon.scenario import (
    ACTS,
    Findings,
    Scenario,
    Step,
    random_steps,
)

FIXED = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=16,
    phases=(Phase.explicit, Phase.generate),
)
STEPS = st.lists(
    st.builds(
        Step,
        st.sampled_from(ACTS),
        st.integers(0, 11),
        st.sampled_from((0, 20, 400, 4_000)),
    ),
    min_size=10,
    max_size=40,
)


class FaultTest(unittest.TestCase):
    """Whatever fails, and in whatever order, the promises hold."""

    @FIXED
    @given(STEPS, st.booleans())
    def test_promises_hold_under_any_order_of_faults(
        self, steps: list[Step], gathers: bool
    ) -> None:
        """No double run, no false "not run", no revert, one holder."""

        async def main() -> None:
            findings = await Scenario(gathers=gathers).play(steps)
            self.assertEqual(findings, Findings())

        run(main)

    def test_promises_hold_in_long_runs(self) -> None:
        """The same over many more steps than the search tries."""
        for seed in range(4):

            async def main(seed: int = seed) -> None:
                steps = random_steps(seed, 60)
                scenario = Scenario(seed, gathers=bool(seed % 2))
                findings = await scenario.play(steps)
                self.assertEqual(findings, Findings(), f'seed {seed}')

            run(main, seed)
