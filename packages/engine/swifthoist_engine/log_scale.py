"""Logarithmic scale for durations.

Between powers of two the scale is linear instead of logarithmic. It is at most
6 % off, and gives the same result on every machine, which library logarithms
don't guarantee.
"""

import math

STEPS_PER_DOUBLING = 32
"""Number of steps of the scale in which a duration doubles."""


def ms_to_log_scale(length_ms: float) -> float:
    """Convert a duration to the scale.

    :param length_ms: the duration, in ms; less than 1 counts as 1.
    :returns: its position on the scale.
    """
    mantissa, exponent = math.frexp(max(length_ms, 1))
    return STEPS_PER_DOUBLING * (exponent + 2 * mantissa - 2)


def log_scale_to_ms(position: float) -> float:
    """Convert a position on the scale to a duration.

    :param position: the position.
    :returns: the duration, in ms; at least 1.
    """
    whole = math.floor(position / STEPS_PER_DOUBLING)
    fraction = position / STEPS_PER_DOUBLING - whole
    return max(math.ldexp(1 + fraction, min(whole, 1_000)), 1)
