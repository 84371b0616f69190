"""Tests of units that are kept as bits."""

import unittest
from collections.abc import Iterator

from hypothesis import given, settings
from hypothesis import strategies as st

from swifthoist_engine.done_units import (
    DoneUnits,
    UnitNumbers,
    count_bits,
    has_bit,
    has_unit,
    numbers_set,
    set_bit,
)
from swifthoist_engine.model import GANG_ORDINAL, StepSpec
from tests.engine.scenes import BATCH, gang, job_spec, task

TIMES = 3
STEPS = st.lists(st.tuples(st.integers(1, 9), st.booleans()), min_size=1)


def _units(steps: list[StepSpec]) -> Iterator[tuple[int, int]]:
    """Yield step and ordinal of the units of an occurrence."""
    for number, step in enumerate(steps):
        ordinals = (GANG_ORDINAL,) if step.gang else range(step.width)
        yield from ((number, ordinal) for ordinal in ordinals)


class NumbersTest(unittest.TestCase):
    """Each unit of a job has a number of its own."""

    @settings(derandomize=True, deadline=None)
    @given(STEPS)
    def test_numbers_have_no_gaps_and_tell_the_unit(self, drawn: list) -> None:
        """Whatever gangs and tasks the steps are of."""
        steps = [gang(it) if whole else task(count=it) for it, whole in drawn]
        spec = job_spec('j', BATCH, *steps)
        numbers = UnitNumbers(spec.steps)
        keys = [
            (occurrence, *unit)
            for occurrence in range(TIMES)
            for unit in _units(steps)
        ]
        self.assertTrue(all(has_unit(spec, TIMES, key) for key in keys))
        self.assertEqual(
            [numbers.number(key) for key in keys], list(range(len(keys)))
        )
        self.assertEqual(
            [numbers.key(number) for number in range(len(keys))], keys
        )


class BitsTest(unittest.TestCase):
    """Numbers are kept in a bit each."""

    @settings(derandomize=True, deadline=None)
    @given(st.sets(st.integers(0, 500)))
    def test_bits_are_a_set_of_numbers(self, drawn: set) -> None:
        """Whatever is added, in any order."""
        bits = bytearray()
        for number in drawn:
            set_bit(bits, number)
        self.assertEqual(list(numbers_set(bits)), sorted(drawn))
        self.assertEqual(count_bits(bits), len(drawn))
        for number in range(510):
            self.assertEqual(has_bit(bits, number), number in drawn)


class DoneTest(unittest.TestCase):
    """A step is done with the last of its units."""

    def test_a_unit_counts_once(self) -> None:
        """Its end may be noted again."""
        steps = (task(count=2), gang(4))
        done = DoneUnits(steps, UnitNumbers(steps))
        self.assertFalse(done.add((0, 0, 1)))
        self.assertFalse(done.add((0, 0, 1)))
        self.assertFalse(done.has_step((0, 0)))
        self.assertTrue(done.add((0, 0, 0)))
        self.assertTrue(done.has_step((0, 0)))
        self.assertFalse(done.has_step((1, 0)))
        self.assertTrue(done.add((1, 1, GANG_ORDINAL)))
        self.assertFalse(done.add((1, 1, GANG_ORDINAL)))
