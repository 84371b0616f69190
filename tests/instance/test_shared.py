"""Tests of the end of a tenure for the tasks that share it."""

import unittest
from types import SimpleNamespace

import anyio

from swifthoist_instance.context import TenureContext
from swifthoist_instance.tenure import Hold


class TenureTest(unittest.TestCase):
    """A tenure that was interrupted is over for good."""

    def test_a_gap_ends_it_for_everybody(self) -> None:
        """Otherwise only the tasks that saw the gap would stop."""

        async def main() -> None:
            hold = Hold(3, 0, 0)
            tenure = SimpleNamespace(hold=hold)
            context = TenureContext(
                *(None for _ in TenureContext._fields)
            )._replace(tenure=tenure, hold=hold, over=anyio.Event())
            self.assertTrue(context.may_act())
            tenure.hold = None
            self.assertFalse(context.may_act())
            tenure.hold = hold
            self.assertFalse(context.may_act())

        anyio.run(main)
