"""Durations on a scale of equal ratios.

Within an octave the scale is straight instead of logarithmic: at most 6 % off, and
the same figure on every machine, which no library's logarithm promises.
"""

import math

STEPS_PER_DOUBLING = 32
"""Steps of the scale in which a duration doubles."""


def ms_to_log_scale(length_ms: float) -> float:
    """Tell where a duration is on the scale.

    :param length_ms: the duration, in ms; less than 1 counts as 1.
    :returns: its place.
    """
    mantissa, exponent = math.frexp(max(length_ms, 1))
    return STEPS_PER_DOUBLING * (exponent + 2 * mantissa - 2)


def log_scale_to_ms(position: float) -> float:
    """Tell which duration is at a place of the scale.

    :param position: the place.
    :returns: the duration, in ms; at least 1.
    """
    whole = math.floor(position / STEPS_PER_DOUBLING)
    fraction = position / STEPS_PER_DOUBLING - whole
    return max(math.ldexp(1 + fraction, min(whole, 1_000)), 1)
