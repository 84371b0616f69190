"""Evidence that a task crashes the runners that start it.

A runner that goes down takes all its runs with it, and most of them did nothing
to it. A crash counts for more the fewer runs the runner was starting, and units
that are under suspicion start apart from each other. A crash that a run may
have missed makes its task suspect, but is no reason to give it up.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from swifthoist_core.types import Epoch, Millis, RunnerId

STARTING_ALONE_WEIGHT = 5
"""Weight of a crash while the runner was starting nothing but this unit."""

STARTING_WEIGHT = 3
"""Weight of a crash while it was starting others as well, or of a runner that
may only have been unreachable."""

RUNNING_WEIGHT = 1
"""Weight of a crash some time after the start, while none was in progress."""

GIVE_UP_WEIGHT = 8
"""Weight of crashes at starts at which a task is given up: two crashes if it was
started apart."""

MIN_BACKED = 2
"""Fewest crashes under the task itself without which it is never given up."""

MAX_CRASHES = 5
"""Number of crashes, including assumed ones, after which a task with enough
backed ones is given up whatever they weigh."""

MAX_UNREPORTED = 3
"""Most crashes that are counted from terms of holders that don't report any,
since these start suspects beside each other."""

CRASH_EXPIRY_MS = 600_000
"""How long a crash counts, in ms."""


class Evidence(StrEnum):
    """How it is known that a run was on its runner when that went down."""

    SEEN = 'seen'
    """The runner had it, and answered until its connections broke."""

    LIKELY = 'likely'
    """It was there or on its way at the last answer of the runner, which then
    fell silent before it went down."""

    UNCONFIRMED = 'unconfirmed'
    """It was there at the last answer of the runner, which may only be cut off
    until another life of its machine shows up."""

    ASSUMED = 'assumed'
    """It was recorded as started there."""


BACKED = frozenset((Evidence.SEEN, Evidence.LIKELY))
"""Evidence without which no crash is a reason to give a task up."""


class Crash(NamedTuple):
    """A crash of a runner under a run of a task.

    :ivar run: number of the run.
    :ivar runner: the runner.
    :ivar machine: its machine, or its address; empty if unknown.
    :ivar weight: how much it speaks against the task.
    :ivar at_ms: time at which it was noticed.
    :ivar epoch: epoch of the holder that noticed it; 0 if unknown.
    :ivar evidence: how it is known that the run was there.
    """

    run: int
    runner: RunnerId
    machine: str
    weight: int
    at_ms: Millis
    epoch: Epoch = 0
    evidence: Evidence = Evidence.ASSUMED

    @property
    def place(self) -> str:
        """Machine that crashed, or else the runner."""
        return self.machine or self.runner


def with_crash(crashes: Sequence[Crash], crash: Crash) -> list[Crash]:
    """Add a crash to those of a task.

    After a run that outlasted its start, crashes at starts before it weigh no
    more than others.

    :param crashes: crashes of the task, oldest first.
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

    :param crashes: crashes of the task, oldest first.
    :param crash: the crash.
    :returns: the crashes that count from now on.
    """
    light = sum(known.weight == RUNNING_WEIGHT for known in crashes)
    counted = any(known.run == crash.run for known in crashes)
    if counted or light >= MAX_UNREPORTED:
        return list(crashes)
    return [*crashes, crash]


def with_evidence(
    crashes: Sequence[Crash], run: int, evidence: Evidence
) -> list[Crash]:
    """Note how it is known that a run was on the runner that crashed.

    :param crashes: crashes of the task.
    :param run: number of the run.
    :param evidence: the evidence.
    :returns: the crashes with it.
    """
    return [
        known._replace(evidence=evidence) if known.run == run else known
        for known in crashes
    ]


def with_next_life(
    crashes: Sequence[Crash], runner: RunnerId, machine: str, born_ms: Millis
) -> list[Crash]:
    """Confirm crashes by the next life of a machine.

    Only losses right after a start are: the runs of others may have ended
    while the runner was cut off.

    :param crashes: crashes of the task.
    :param runner: the next life.
    :param machine: its machine.
    :param born_ms: its birth, since the Unix epoch; 0 if unknown.
    :returns: the crashes with the evidence.
    """
    return [
        known._replace(evidence=Evidence.LIKELY)
        if known.evidence is Evidence.UNCONFIRMED
        and known.weight > RUNNING_WEIGHT
        and known.machine == machine
        and (known.runner != runner or born_ms > known.at_ms)
        else known
        for known in crashes
    ]


def should_give_up(crashes: Sequence[Crash]) -> bool:
    """Tell whether a task is to be given up.

    A machine that goes down again and again weighs no more than once, and
    crashes of runners long after the start only count towards the maximum.

    :param crashes: crashes of the task.
    :returns: whether it must not start again.
    """
    backed = [it for it in crashes if it.evidence in BACKED]
    if len(backed) < MIN_BACKED:
        return False
    if len(crashes) >= MAX_CRASHES:
        return True
    weights: dict[str, int] = {}
    for crash in backed:
        if crash.weight == RUNNING_WEIGHT:
            continue
        weights[crash.place] = max(crash.weight, weights.get(crash.place, 0))
    return sum(weights.values()) >= GIVE_UP_WEIGHT
