"""Time that a decision spends on each job, and its limits.

A decision runs in one turn of the event loop, while leases, heartbeats and
answers wait. One that has used up its time ends with what it has; jobs that took
much of it are left out of the next ones for a while, so that the others get on.
"""

from collections import Counter
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from swifthoist_core.clock import Clock
from swifthoist_core.types import JobId, Millis

DECISION_MS = 300
"""Time after which a decision schedules no more steps, in ms: a quarter of the
time after which a holder that is not heard of is replaced."""

COSTLY_JOB_MS = 25
"""Processor time spent on a job by one decision from which it is left out for a
while, in ms."""

LEFT_OUT_FACTOR = 10
"""How long a costly job is left out, as a multiple of the time spent on it."""

MAX_LEFT_OUT_MS = 2_000
"""Longest time for which a costly job is left out, in ms: less than the 3 s
after which a job counts as stalled."""


class JobCosts:
    """Time spent on jobs by one decision."""

    def __init__(self, clock: Clock | None = None) -> None:
        """Start a decision.

        :param clock: source of time; None for no limit.
        """
        self._clock = clock
        self._began_ms = clock.boot_ms() if clock else 0
        self._spent_ms: Counter[JobId] = Counter()
        self._ran_out = False

    @property
    def out_of_time(self) -> bool:
        """Whether the decision has to end."""
        if self._clock is not None:
            passed_ms = self._clock.boot_ms() - self._began_ms
            self._ran_out = self._ran_out or passed_ms > DECISION_MS
        return self._ran_out

    @property
    def costly(self) -> dict[JobId, Millis]:
        """Jobs that took long, with the processor time of each, in ms.

        Of a decision that ran out of time these are the jobs that took more
        than the average, so that others come first in the next one.
        """
        least_ms = float(COSTLY_JOB_MS)
        if self._ran_out:
            average_ms = self._spent_ms.total() / len(self._spent_ms)
            least_ms = min(least_ms, max(average_ms, 1))
        return {
            job: spent_ms
            for job, spent_ms in self._spent_ms.items()
            if spent_ms >= least_ms
        }

    @contextmanager
    def measure(self, job: JobId) -> Iterator[None]:
        """Add the processor time of a block to that spent on a job.

        :param job: the job.
        :returns: a context manager.
        """
        began_ms = self._clock.cpu_ms() if self._clock else 0
        try:
            yield
        finally:
            ended_ms = self._clock.cpu_ms() if self._clock else 0
            self._spent_ms[job] += ended_ms - began_ms


class LeftOutJobs:
    """Costly jobs that decisions leave out for a while."""

    def __init__(self) -> None:
        """Leave out none."""
        self._until_ms: dict[JobId, Millis] = {}

    def note(self, costly: Mapping[JobId, Millis], now_ms: Millis) -> None:
        """Leave out the costly jobs of a decision.

        :param costly: the jobs, with the time spent on each, in ms.
        :param now_ms: current time, in ms.
        """
        for job, spent_ms in costly.items():
            pause_ms = min(LEFT_OUT_FACTOR * spent_ms, MAX_LEFT_OUT_MS)
            self._until_ms[job] = now_ms + pause_ms

    def at(self, now_ms: Millis) -> frozenset[JobId]:
        """Return the jobs that are left out.

        :param now_ms: current time, in ms.
        :returns: their ids.
        """
        self._until_ms = {
            job: until_ms
            for job, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        return frozenset(self._until_ms)
