"""Tests of how long a tenure lasts for those that share it."""

import unittest
from types import SimpleNamespace

import anyio

from swifthoist_instance.context import TenureContext
from swifthoist_instance.tenure import Hold


class TenureTest(unittest.TestCase):
    """A tenure that was not in force for a moment is over."""

    def test_a_gap_ends_it_for_everybody(self) -> None:
        """Else those that saw the gap stop, and others go on without them."""

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
