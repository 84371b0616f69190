"""Circuit breakers: which runners fail the runs that they start.

A runner that fails whatever it starts still looks healthy. One failed run means
little, since the task itself may be at fault, but tasks of different jobs that
fail one after the other mean much. A suspected runner is paused, longer the
more evidence there is against it, and then gets one task at a time as a trial.
A success puts it back into use, and so does the passing of time.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.past_runs import PastRun
from swifthoist_engine.records import Doubt, Ending, RunnerDoubted
from swifthoist_engine.runners import RunnerView

STRIKE_EXPIRY_MS = 12_000
"""How long a failure counts against a runner, in ms. A spell of failures lasts
seconds; a runner must not stay out of use much longer than that."""

SINGLE_JOB_TRIAL_MS = 1_500
"""How long a runner stays on trial if only one job failed on it, in ms: a
single unlucky task must not keep a healthy runner out of use for 2 s."""

PAUSE_MS = 500
"""Pause of a runner after a failure, in ms, so that it gets no more than two
tasks a second to fail."""

MAX_DOUBLINGS = 3
"""How often the pause can double, once for each further failure: up to 4 s."""

DOUBT_WEIGHTS = {Doubt.HANG: 2, Doubt.REJECTED: 1, Doubt.FLAPPING: 2}
"""Number of failures that each doubt counts as. A task doesn't hang by its own
fault, and no task makes a runner fall silent twice in a row."""

FAULTY_JOB_RUNNERS = 3
"""A job that failed on this many runners, with no task done, is considered
faulty itself: fewer runners could belong to one spell of failures."""

MAX_LATE_RUN_MS = 3_000
"""A failure that was read late counts only if its run took less than this, in
ms: less than a quarter of the time for which the failure counts."""

MAX_JOBS = 1_000
"""Most jobs whose failures are kept; the oldest are dropped."""

MAX_RUNNERS = 10_000
"""Most runners whose failures are kept; the oldest are dropped."""

MAX_STRIKES = 8
"""Most failures kept of a runner, the newest ones."""

MAX_SUSPICION = 3
"""Highest level of suspicion."""

MAX_EXCLUDED_SHARE = 0.25
"""Largest share of a service's runners that may be paused or on trial. Spells
of failures affect a seventh; if more fail, the cause lies elsewhere."""


class Strike(NamedTuple):
    """Evidence against a runner.

    :ivar job: affected job; all failures of one job count once.
    :ivar at_ms: time at which it was recorded.
    :ivar weight: number of failures that it counts as.
    """

    job: JobId
    at_ms: Millis
    weight: int


@dataclass(slots=True)
class Breakers:
    """Evidence against each runner.

    :ivar strikes: evidence against each runner since its last success.
    :ivar struck: runners on which each job failed, up to
        :data:`FAULTY_JOB_RUNNERS`.
    :ivar sound: failed jobs of which some task was done.
    """

    strikes: dict[RunnerId, list[Strike]] = field(default_factory=dict)
    struck: dict[JobId, list[RunnerId]] = field(default_factory=dict)
    sound: dict[JobId, bool] = field(default_factory=dict)

    def observe(self, past: PastRun) -> None:
        """Learn from an ended run.

        :param past: the run.
        """
        match past.ending:
            case Ending.DONE:
                self._clear_strikes(past)
            case Ending.FAILED if past.timely or past.ran_ms < MAX_LATE_RUN_MS:
                self._add_strike(
                    past.run.runner, Strike(past.job.job, past.at_ms, 1)
                )
            case _:
                return

    def observe_doubt(self, record: RunnerDoubted) -> None:
        """Add evidence other than the end of a run.

        :param record: what the holder observed.
        """
        weight = DOUBT_WEIGHTS[record.doubt]
        self._add_strike(
            record.runner, Strike(record.job, record.at_ms, weight)
        )

    def forget(self, runner: RunnerId) -> None:
        """Drop the evidence against a runner that is gone.

        :param runner: the runner.
        """
        self.strikes.pop(runner, None)

    def suspicion(self, runner: RunnerId, now_ms: Millis) -> int:
        """Return the level of suspicion of a runner.

        All failures of one job count once, since the job itself may be at
        fault, and those of a job considered faulty don't count at all.

        :param runner: the runner.
        :param now_ms: time of the cell.
        :returns: 0 for none, up to :data:`MAX_SUSPICION`.
        """
        weights: dict[JobId, int] = {}
        for strike in self._active_strikes(runner, now_ms):
            known = weights.get(strike.job, 0)
            weights[strike.job] = max(known, strike.weight)
        return min(sum(weights.values()), MAX_SUSPICION)

    def trials(
        self, runner: RunnerId, now_ms: Millis, runs: Iterable[OpenRun]
    ) -> int | None:
        """Return how many tasks may be started on a runner as a trial.

        :param runner: the runner.
        :param now_ms: time of the cell.
        :param runs: its open runs.
        :returns: 0 while it is paused or a trial is in progress, 1 if a trial
            may start; none if it may be used without limits.
        """
        active = self._active_strikes(runner, now_ms)
        if not active:
            return None
        last_ms = max(strike.at_ms for strike in active)
        single_job = self.suspicion(runner, now_ms) == 1
        if single_job and now_ms - last_ms > SINGLE_JOB_TRIAL_MS:
            return None
        doublings = 0 if single_job else min(len(active) - 1, MAX_DOUBLINGS)
        if now_ms < last_ms + (PAUSE_MS << doublings):
            return 0
        return int(all(run.started_ms <= last_ms for run in runs))

    def doubted(self, now_ms: Millis) -> list[RunnerId]:
        """Return the runners against which there is evidence.

        :param now_ms: time of the cell.
        :returns: ids of the runners.
        """
        return [
            name for name in self.strikes if self._active_strikes(name, now_ms)
        ]

    def _active_strikes(self, runner: RunnerId, now_ms: Millis) -> list[Strike]:
        """Return the evidence against a runner that counts now."""
        return [
            strike
            for strike in self.strikes.get(runner, ())
            if strike.at_ms > now_ms - STRIKE_EXPIRY_MS
            and not self._is_faulty_job(strike.job)
        ]

    def _clear_strikes(self, past: PastRun) -> None:
        """Clear the evidence against the runners of a run that was done.

        Failures at or after the start of that run are kept: a runner that fails
        whatever it starts may still finish the runs that it had before.
        """
        job = past.job.job
        if job in self.struck:
            self.sound[job] = True
        began_ms = past.run.started_ms
        for run in past.gang or (past.run,):
            strikes = self.strikes.pop(run.runner, [])
            left = [strike for strike in strikes if strike.at_ms >= began_ms]
            if left:
                self.strikes[run.runner] = left

    def _add_strike(self, runner: RunnerId, strike: Strike) -> None:
        strikes = self.strikes.setdefault(runner, [])
        strikes.append(strike)
        del strikes[:-MAX_STRIKES]
        if len(self.strikes) > MAX_RUNNERS:
            self.strikes.pop(next(iter(self.strikes)))
        if strike.job:
            self._add_failed_runner(runner, strike.job)

    def _add_failed_runner(self, runner: RunnerId, job: JobId) -> None:
        known = self.struck.setdefault(job, [])
        if runner not in known and len(known) < FAULTY_JOB_RUNNERS:
            known.append(runner)
        if len(self.struck) > MAX_JOBS:
            oldest = next(iter(self.struck))
            self.struck.pop(oldest)
            self.sound.pop(oldest, None)

    def _is_faulty_job(self, job: JobId) -> bool:
        if job in self.sound:
            return False
        return len(self.struck.get(job, ())) >= FAULTY_JOB_RUNNERS


def readmit_runners(
    views: Sequence[RunnerView], promised: int
) -> tuple[RunnerView, ...]:
    """Put runners back into use if the others could not carry the load.

    The least suspected are readmitted first. They stay suspected, so tasks are
    placed there last.

    :param views: the runners.
    :param promised: number of accelerators guaranteed to teams.
    :returns: the runners, such that no more than :data:`MAX_EXCLUDED_SHARE` of
        a service is paused or on trial and the others have room for the
        guarantees.
    """
    if all(view.trials is None for view in views):
        return tuple(views)
    usable = [view for view in views if view.open]
    room = sum(view.room.accelerators for view in usable)
    excludable = [view for view in usable if view.trials is not None]
    excludable.sort(key=lambda view: (-view.suspicion, view.runner))
    runners = Counter(view.service for view in usable)
    excluded: Counter[str] = Counter()
    readmitted: set[RunnerId] = set()
    for doubted in excludable:
        service = doubted.service
        limit = MAX_EXCLUDED_SHARE * runners[service]
        left = room - doubted.room.accelerators
        if excluded[service] >= int(limit) or left < promised:
            readmitted.add(doubted.runner)
            continue
        excluded[service] += 1
        room = left
    return tuple(
        view._replace(trials=None) if view.runner in readmitted else view
        for view in views
    )
