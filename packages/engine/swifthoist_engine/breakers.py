"""Which runners fail what they start, from the runs that are over: a breaker.

A runner that fails whatever it starts still looks healthy. One failed end
says little, since the task may fail by its own fault, but much where tasks of
different jobs fail one after the other. A doubted runner pauses, the longer the
more speaks against it, and then gets one task at a time as a trial. A success
puts it back into use; so does time.
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
"""How long a failure speaks against a runner, in ms. A spell of failures
lasts seconds; a runner must not stay out of use much longer than that."""

SINGLE_JOB_TRIAL_MS = 1_500
"""How long a runner is on trial for failures of one job alone, in ms: one unlucky
task must not keep a healthy runner out of use for 2 s."""

PAUSE_MS = 500
"""Pause of a runner after a failure, in ms, so that no more than two a second are
spent on it."""

MAX_DOUBLINGS = 3
"""How often the pause doubles, once for each failure more: up to 4 s."""

DOUBT_WEIGHTS = {Doubt.HANG: 2, Doubt.REJECTED: 1, Doubt.FLAPPING: 2}
"""For how many failures each doubt counts. No task stands still by its own
fault, and no runner falls silent twice in a row by a task's."""

FAULTY_JOB_RUNNERS = 3
"""A job that failed on so many runners, and of which nothing was done, is held to
be at fault itself: fewer could be runners of one bad spell."""

MAX_LATE_RUN_MS = 3_000
"""Where an end was read late, it counts only if its run began within this time
before, in ms: less than a quarter of the time for which it speaks."""

MAX_JOBS = 1_000
"""Most jobs whose failures are remembered; the oldest are forgotten."""

MAX_RUNNERS = 10_000
"""Most runners of which failures are remembered; the oldest are forgotten."""

MAX_STRIKES = 8
"""Most failures of a runner that are remembered, the newest."""

MAX_SUSPICION = 3
"""Greatest level of suspicion."""

MAX_EXCLUDED_SHARE = 0.25
"""Largest share of the runners of a service that is paused or on trial. Spells
meet a seventh; where more fail, the cause is elsewhere."""


class Strike(NamedTuple):
    """Something that speaks against a runner.

    :ivar job: job that it happened to; failures of one count once.
    :ivar at_ms: when it was noted.
    :ivar weight: how many failures it counts for.
    """

    job: JobId
    at_ms: Millis
    weight: int


@dataclass(slots=True)
class Breakers:
    """What speaks against each runner.

    :ivar strikes: what spoke against each runner since its last success.
    :ivar struck: runners on which each job failed; no more than matter.
    :ivar sound: jobs that failed, and of which some task was done.
    """

    strikes: dict[RunnerId, list[Strike]] = field(default_factory=dict)
    struck: dict[JobId, list[RunnerId]] = field(default_factory=dict)
    sound: dict[JobId, bool] = field(default_factory=dict)

    def observe(self, past: PastRun) -> None:
        """Learn from a run that is over.

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
        """Note what speaks against a runner without an end of a run.

        :param record: what the holder saw.
        """
        weight = DOUBT_WEIGHTS[record.doubt]
        self._add_strike(
            record.runner, Strike(record.job, record.at_ms, weight)
        )

    def forget(self, runner: RunnerId) -> None:
        """Forget a runner that is gone.

        :param runner: the runner.
        """
        self.strikes.pop(runner, None)

    def suspicion(self, runner: RunnerId, now_ms: Millis) -> int:
        """Weigh what speaks against a runner.

        Failures of one job count once, since the job itself may be at fault,
        and not at all where it surely seems to be.

        :param runner: the runner.
        :param now_ms: time of the cell.
        :returns: 0 for nothing, up to :data:`MAX_SUSPICION`.
        """
        weights: dict[JobId, int] = {}
        for strike in self._active_strikes(runner, now_ms):
            known = weights.get(strike.job, 0)
            weights[strike.job] = max(known, strike.weight)
        return min(sum(weights.values()), MAX_SUSPICION)

    def trials(
        self, runner: RunnerId, now_ms: Millis, runs: Iterable[OpenRun]
    ) -> int | None:
        """Tell how many tasks may be started on a runner as a trial.

        :param runner: the runner.
        :param now_ms: time of the cell.
        :param runs: its open runs.
        :returns: 0 while it pauses or a trial is under way, 1 for one task;
            none if it is in use without limits.
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
        """List the runners against which something speaks.

        :param now_ms: time of the cell.
        :returns: their ids.
        """
        return [
            name for name in self.strikes if self._active_strikes(name, now_ms)
        ]

    def _active_strikes(self, runner: RunnerId, now_ms: Millis) -> list[Strike]:
        """List what speaks against a runner now."""
        return [
            strike
            for strike in self.strikes.get(runner, ())
            if strike.at_ms > now_ms - STRIKE_EXPIRY_MS
            and not self._is_faulty_job(strike.job)
        ]

    def _clear_strikes(self, past: PastRun) -> None:
        """Note that a task was done; what spoke against its runner is void.

        A run that began before a failure says nothing about the runner since:
        one that fails whatever it starts still ends what it had.
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
    """Put runners back into use where the others couldn't carry the load.

    Those against which the least speaks come first; they stay doubted, so
    tasks go there last.

    :param views: the runners.
    :param promised: accelerators that are promised to teams.
    :returns: the runners; no more of a service than a share of them is paused
        or on trial, and what is promised finds room on the others.
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
