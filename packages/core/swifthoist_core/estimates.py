"""Run times estimated from history, for declared ones are far from true."""

import statistics
from typing import NamedTuple

from swifthoist_core.records import JobSpec
from swifthoist_core.types import ClassName, Millis, OwnerId

HISTORY = 16
"""How many of the latest run times count."""

MIN_HISTORY = 3
"""With fewer run times the estimate is not relied upon."""

_LEAST_MS = 1_000
_MOST_MS = 3_600_000


class WorkKey(NamedTuple):
    """What run times are collected by.

    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar size_bits: bit length of the gang's accelerators.
    """

    owner: OwnerId
    class_name: ClassName
    size_bits: int


class Estimate(NamedTuple):
    """How long a job may run.

    :ivar expected_ms: the median of like jobs, in ms.
    :ivar upper_ms: the longest of like jobs, in ms.
    :ivar sure: whether enough like jobs have run.
    """

    expected_ms: Millis
    upper_ms: Millis
    sure: bool


class Estimates:
    """The aggregate of run times of jobs that were done."""

    DERIVED = frozenset(('_known',))
    """What :meth:`rebuild` computes from the rest of the state."""

    def __init__(self) -> None:
        """Start without history."""
        self._ran: dict[WorkKey, tuple[Millis, ...]] = {}
        self._known: dict[WorkKey, Estimate] = {}

    def rebuild(self) -> None:
        """Forget the estimates, which are computed when they are asked for."""
        self._known = {}

    def add(self, spec: JobSpec, ran_ms: Millis) -> None:
        """Note how long a job ran until it was done.

        :param spec: the job.
        :param ran_ms: its run time, in ms.
        """
        key = _key(spec)
        self._ran[key] = (*self._ran.get(key, ()), max(1, ran_ms))[-HISTORY:]
        self._known.pop(key, None)

    def of(self, spec: JobSpec) -> Estimate:
        """Estimate how long a job will run.

        A declared run time counts only while there is no history, and only
        within bounds.

        :param spec: the job.
        :returns: the estimate.
        """
        key = _key(spec)
        known = self._known.get(key)
        if known is not None:
            return known
        ran = self._ran.get(key, ())
        declared = min(max(spec.expected_ms, _LEAST_MS), _MOST_MS)
        if not ran:
            return Estimate(declared, _MOST_MS, sure=False)
        expected = int(statistics.median_low(ran))
        found = Estimate(expected, max(ran), len(ran) >= MIN_HISTORY)
        self._known[key] = found
        return found

    def remaining_ms(self, spec: JobSpec, elapsed_ms: Millis) -> Millis:
        """Estimate how long a job will still run.

        One that has outrun its estimate is taken to go on for as long again
        as it ran, so that a lie costs at most a factor of two.

        :param spec: the job.
        :param elapsed_ms: how long it has run, in ms.
        :returns: the time that is left, in ms.
        """
        left = self.of(spec).expected_ms - elapsed_ms
        return left if left > 0 else max(elapsed_ms, _LEAST_MS)


def _key(spec: JobSpec) -> WorkKey:
    bits = spec.shape.total_accelerators.bit_length()
    return WorkKey(spec.owner, spec.class_name, bits)
