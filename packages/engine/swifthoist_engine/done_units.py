"""Units that are done, a bit each.

A job may have very many units, and is known for some time after its end.
"""

from bisect import bisect_right
from collections import Counter
from collections.abc import Container, Iterator, Sequence
from itertools import accumulate
from typing import TypeAlias

from swifthoist_engine.model import GANG_ORDINAL, JobSpec, StepSpec

UnitKey: TypeAlias = tuple[int, int, int]
"""Occurrence, step and ordinal of a unit."""

StepPlace: TypeAlias = tuple[int, int]
"""Occurrence and number of a step."""

_BITS = 8


class UnitNumbers:
    """Numbers the units of a job, from 0 and without gaps."""

    def __init__(self, steps: Sequence[StepSpec]) -> None:
        """Number the units of some steps, when a number is first asked for.

        :param steps: the steps.
        """
        self._steps = steps
        self._firsts: list[int] = []

    def number(self, key: UnitKey) -> int:
        """Return the number of a unit.

        :param key: the unit.
        :returns: its number.
        """
        self._prepare()
        occurrence, step, ordinal = key
        first = occurrence * self._firsts[-1] + self._firsts[step]
        return first if ordinal == GANG_ORDINAL else first + ordinal

    def key(self, number: int) -> UnitKey:
        """Return the unit with a number.

        :param number: the number.
        :returns: the unit.
        """
        self._prepare()
        occurrence, rest = divmod(number, self._firsts[-1])
        step = bisect_right(self._firsts, rest) - 1
        if self._steps[step].gang:
            return occurrence, step, GANG_ORDINAL
        return occurrence, step, rest - self._firsts[step]

    def _prepare(self) -> None:
        if not self._firsts:
            counts = map(count_units, self._steps)
            self._firsts = list(accumulate(counts, initial=0))


class KnownUnits:
    """Units that were ever started."""

    def __init__(
        self,
        kept: Container[UnitKey],
        packed: bytearray,
        numbers: UnitNumbers,
    ) -> None:
        """Join two kinds of units.

        :param kept: units that are kept in full.
        :param packed: units that are packed, a bit each.
        :param numbers: the numbers of the units.
        """
        self._kept = kept
        self._packed = packed
        self._numbers = numbers

    def __contains__(self, key: UnitKey) -> bool:
        """Tell whether a unit was started."""
        if key in self._kept:
            return True
        packed = self._packed
        return bool(packed) and has_bit(packed, self._numbers.number(key))


class DoneUnits:
    """Units and steps that are done."""

    def __init__(self, steps: Sequence[StepSpec], numbers: UnitNumbers) -> None:
        """Start with none.

        :param steps: the steps of the job.
        :param numbers: the numbers of its units.
        """
        self._steps = steps
        self._numbers = numbers
        self._units = bytearray()
        self._whole = bytearray()
        # How many units are done of steps that are not.
        self._counts: Counter[StepPlace] = Counter()

    def add(self, key: UnitKey) -> bool:
        """Note that a unit is done.

        :param key: the unit.
        :returns: whether this was the last unit of its step.
        """
        number = self._numbers.number(key)
        if has_bit(self._units, number):
            return False
        set_bit(self._units, number)
        place = key[:2]
        self._counts[place] += 1
        if self._counts[place] < count_units(self._steps[place[1]]):
            return False
        self._counts.pop(place)
        set_bit(self._whole, self._step_number(place))
        return True

    def has_step(self, place: StepPlace) -> bool:
        """Tell whether all units of a step are done.

        :param place: the step.
        :returns: whether they are.
        """
        return has_bit(self._whole, self._step_number(place))

    def _step_number(self, place: StepPlace) -> int:
        return place[0] * len(self._steps) + place[1]


def count_units(step: StepSpec) -> int:
    """Count the units of a step in one occurrence.

    :param step: the step.
    :returns: their number.
    """
    return 1 if step.gang else step.width


def has_unit(spec: JobSpec, occurrences: int, key: UnitKey) -> bool:
    """Tell whether a job has a unit.

    :param spec: the job.
    :param occurrences: number of times its steps run.
    :param key: the unit; its step exists.
    :returns: whether it has.
    """
    occurrence, number, ordinal = key
    if not 0 <= occurrence < occurrences:
        return False
    step = spec.steps[number]
    if step.gang:
        return ordinal == GANG_ORDINAL
    return 0 <= ordinal < step.width


def has_bit(bits: bytearray, number: int) -> bool:
    """Tell whether a number was set.

    :param bits: the bits.
    :param number: the number.
    :returns: whether it was.
    """
    place, shift = divmod(number, _BITS)
    return place < len(bits) and bool(bits[place] >> shift & 1)


def set_bit(bits: bytearray, number: int) -> None:
    """Set a number.

    :param bits: the bits, which grow as needed.
    :param number: the number.
    """
    place, shift = divmod(number, _BITS)
    if place >= len(bits):
        bits.extend(bytes(place + 1 - len(bits)))
    bits[place] |= 1 << shift


def numbers_set(bits: bytearray) -> Iterator[int]:
    """Yield the numbers that were set.

    :param bits: the bits.
    :returns: the numbers, the lowest first.
    """
    for place, byte in enumerate(bits):
        for shift in range(_BITS) if byte else ():
            if byte >> shift & 1:
                yield place * _BITS + shift


def count_bits(bits: bytearray) -> int:
    """Count the numbers that were set.

    :param bits: the bits.
    :returns: how many they are.
    """
    return sum(byte.bit_count() for byte in bits)
