"""Evidence that a task crashes the runners that start it.

A runner that goes down takes all its runs with it, and most of them did nothing
to it. A crash counts for more the fewer runs the runner was starting, and units
that are under suspicion start apart from each other.
"""

from collections.abc import Sequence
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId

STARTING_ALONE_WEIGHT = 5
"""Weight of a crash while the runner was starting nothing but this unit."""

STARTING_WEIGHT = 3
"""Weight of a crash while it was starting others as well, or of a runner that
may only have been unreachable."""

RUNNING_WEIGHT = 1
"""Weight of a crash some time after the start, while none was in progress."""

GIVE_UP_WEIGHT = 8
"""Weight at which a unit is given up: two crashes if it was started apart."""

MAX_CRASHES = 5
"""Number of crashes after which a unit is given up whatever they weigh."""

MAX_UNREPORTED = 3
"""Most crashes that are counted from terms of holders that don't report any,
since these start suspects beside each other."""

CRASH_EXPIRY_MS = 600_000
"""How long a crash counts, in ms."""


class Crash(NamedTuple):
    """A crash of a runner under a run of a unit.

    :ivar run: number of the run.
    :ivar runner: the runner.
    :ivar machine: its machine, or its address; empty if unknown.
    :ivar weight: how much it speaks against the unit.
    :ivar at_ms: time at which it was noticed.
    """

    run: int
    runner: RunnerId
    machine: str
    weight: int
    at_ms: Millis


def with_crash(crashes: Sequence[Crash], crash: Crash) -> list[Crash]:
    """Add a crash to those of a unit.

    A run counts once, although the members of a gang may lose several runners
    at a time. After a run that outlasted its start, crashes at starts before
    it weigh no more than others.

    :param crashes: crashes of the unit, oldest first.
    :param crash: the crash.
    :returns: the crashes that count from now on.
    """
    kept = [
        known
        for known in crashes
        if known.at_ms > crash.at_ms - CRASH_EXPIRY_MS
        and (known.run != crash.run or known.weight > crash.weight)
    ]
    if crash.weight == RUNNING_WEIGHT:
        kept = [known._replace(weight=RUNNING_WEIGHT) for known in kept]
    if all(known.run != crash.run for known in kept):
        kept.append(crash)
    return kept


def with_unreported(crashes: Sequence[Crash], crash: Crash) -> list[Crash]:
    """Add a crash that the holder didn't report as one.

    :param crashes: crashes of the unit, oldest first.
    :param crash: the crash.
    :returns: the crashes that count from now on.
    """
    light = sum(known.weight == RUNNING_WEIGHT for known in crashes)
    counted = any(known.run == crash.run for known in crashes)
    if counted or light >= MAX_UNREPORTED:
        return list(crashes)
    return [*crashes, crash]


def should_give_up(crashes: Sequence[Crash]) -> bool:
    """Tell whether a unit is to be given up.

    :param crashes: crashes of the unit.
    :returns: whether it must not start again.
    """
    if len(crashes) >= MAX_CRASHES:
        return True
    return sum(crash.weight for crash in crashes) >= GIVE_UP_WEIGHT
