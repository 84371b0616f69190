"""Evidence against runners, from the ends of the runs that they had.

A runner that fails whatever it starts still looks healthy. One failed end
says little about a task that may fail by its own fault, but much about a
runner on which tasks of different jobs fail one after the other.
"""

from collections import defaultdict
from dataclasses import dataclass, field

from swifthoist_core.types import JobId, Millis, RunnerId

FORGET_MS = 12_000
"""How long a failure speaks against a runner, in ms. A spell of failures
lasts seconds; a runner must not stay out of use much longer than that."""

HANG_WEIGHT = 2
"""A task that stood still counts as two failures: no task does that by its
own fault."""

HOPELESS_AFTER = 3
"""A job that failed on so many runners, and of which nothing was done, is held to
be at fault itself: fewer could be runners of one bad spell."""

MOST_JOBS = 1_000
"""Most jobs whose failures are remembered; the oldest are forgotten."""

LEVELS = 3
"""Greatest level of suspicion."""


@dataclass(slots=True)
class _Strike:
    job: JobId
    at_ms: Millis
    weight: int


@dataclass(slots=True)
class Evidence:
    """What the holder has seen of the runners' health since it holds.

    :ivar strikes: failures of each runner since its last success.
    :ivar struck: runners on which each job failed.
    :ivar sound: jobs that failed, and of which some task was done.
    """

    strikes: dict[RunnerId, list[_Strike]] = field(
        default_factory=lambda: defaultdict(list)
    )
    struck: dict[JobId, set[RunnerId]] = field(default_factory=dict)
    sound: set[JobId] = field(default_factory=set)

    def note_done(self, runner: RunnerId, job: JobId, began_ms: Millis) -> None:
        """Note that a task was done; what spoke against the runner is void.

        A run that began before a failure says nothing about the runner since:
        one that fails whatever it starts still ends what it had.

        :param runner: the runner.
        :param job: job of the task.
        :param began_ms: when the run began.
        """
        if job in self.struck:
            self.sound.add(job)
        strikes = self.strikes.pop(runner, [])
        left = [strike for strike in strikes if strike.at_ms >= began_ms]
        if left:
            self.strikes[runner] = left

    def note_failed(self, runner: RunnerId, job: JobId, now_ms: Millis) -> None:
        """Note that a task failed.

        :param runner: the runner.
        :param job: job of the task.
        :param now_ms: time now.
        """
        self._note(runner, _Strike(job, now_ms, 1))

    def note_hang(self, runner: RunnerId, job: JobId, now_ms: Millis) -> None:
        """Note that a task stood still.

        :param runner: the runner.
        :param job: job of the task.
        :param now_ms: time now.
        """
        self._note(runner, _Strike(job, now_ms, HANG_WEIGHT))

    def suspicion(self, runner: RunnerId, now_ms: Millis) -> int:
        """Weigh what speaks against a runner.

        Failures of one job count once, since the job itself may be at fault,
        and not at all where it surely seems to be.

        :param runner: the runner.
        :param now_ms: time now.
        :returns: 0 for nothing, up to :data:`LEVELS`.
        """
        strikes = self.strikes.get(runner)
        if not strikes:
            return 0
        fresh = [item for item in strikes if item.at_ms > now_ms - FORGET_MS]
        if not fresh:
            self.strikes.pop(runner)
            return 0
        weights: dict[JobId, int] = {}
        for strike in fresh:
            if self._is_hopeless(strike.job):
                continue
            known = weights.get(strike.job, 0)
            weights[strike.job] = max(known, strike.weight)
        return min(sum(weights.values()), LEVELS)

    def _note(self, runner: RunnerId, strike: _Strike) -> None:
        self.strikes[runner].append(strike)
        self.struck.setdefault(strike.job, set()).add(runner)
        if len(self.struck) > MOST_JOBS:
            oldest = next(iter(self.struck))
            self.struck.pop(oldest)
            self.sound.discard(oldest)

    def _is_hopeless(self, job: JobId) -> bool:
        if job in self.sound:
            return False
        return len(self.struck.get(job, ())) >= HOPELESS_AFTER
