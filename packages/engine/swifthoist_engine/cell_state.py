"""State of the cell that snapshots keep."""

from dataclasses import dataclass, field

from swifthoist_core.types import Epoch, InstanceId, JobId, Millis, RunnerId
from swifthoist_engine.account import Account
from swifthoist_engine.endings import clear_gone_runner
from swifthoist_engine.experience import Experience
from swifthoist_engine.jobs import Job
from swifthoist_engine.past_runs import RunnerFacts
from swifthoist_engine.peers import Peer
from swifthoist_engine.records import (
    HolderGeneration,
    HolderRecord,
    Released,
    RunnerDescribed,
    RunnerGone,
    RunnerMet,
    UpkeepBegun,
    WaveDone,
)
from swifthoist_engine.unanswered import StartUnanswered, with_unanswered

GENERATION = 3
"""Generation of this version. Instances of a later generation take the cell
over from a holder of an earlier one, which lacks something that all must do.
The first one reports crashes of runners; the second tells under which tasks
they crashed; the third goes on when a part of its term fails."""

MAX_EARLY_CANCELS = 20_000
"""Most cancels of unknown jobs that are remembered; the oldest are dropped."""


@dataclass(slots=True)
class CellState:
    """State of the cell as stored in snapshots.

    :ivar epoch: newest epoch; 0 before the first claim.
    :ivar holder: instance that holds that epoch; empty after a release.
    :ivar time_ms: latest time recorded by a holder.
    :ivar jobs: jobs by id.
    :ivar seen: number of each runner's newest folded end.
    :ivar addresses: address at which each runner answered.
    :ivar account: usage, waiting times and outcomes.
    :ivar upkeeps: for each wave in progress, the runner that each machine was
        before its upkeep; empty once that runner is gone.
    :ivar waves_done: completed waves.
    :ivar claimed_ms: time at which the newest epoch was claimed.
    :ivar former: previous holder; empty if it had released the cell.
    :ivar former_ms: how long the previous holder held the cell, in ms, by its
        own clock and up to the latest time that it recorded.
    :ivar facts: what each runner reported about itself.
    :ivar experience: statistics learned from ended runs.
    :ivar peers: instances by name, the newest last.
    :ivar holder_generation: generation of the holder; 0 if it didn't tell.
    :ivar early_cancels: time at which a job was canceled that was not known,
        and of which a submission may still come, by the id of the job. A job
        that came late stays in it until the holder has canceled it again.
    :ivar unanswered: starts that may still be carried out.
    """

    epoch: Epoch = 0
    holder: InstanceId = ''
    time_ms: Millis = 0
    jobs: dict[JobId, Job] = field(default_factory=dict)
    seen: dict[RunnerId, int] = field(default_factory=dict)
    addresses: dict[RunnerId, str] = field(default_factory=dict)
    account: Account = field(default_factory=Account)
    upkeeps: dict[int, dict[str, RunnerId]] = field(default_factory=dict)
    waves_done: set[int] = field(default_factory=set)
    claimed_ms: Millis = 0
    former: InstanceId = ''
    former_ms: Millis = 0
    facts: dict[RunnerId, RunnerFacts] = field(default_factory=dict)
    experience: Experience = field(default_factory=Experience)
    peers: dict[str, Peer] = field(default_factory=dict)
    holder_generation: int = 0
    early_cancels: dict[JobId, Millis] = field(default_factory=dict)
    unanswered: list[StartUnanswered] = field(default_factory=list)

    def advance_time(self, at_ms: Millis) -> None:
        """Advance the cell's time; it never goes back.

        :param at_ms: time recorded by a holder.
        """
        self.time_ms = max(self.time_ms, at_ms)

    def note_cancel(self, job: JobId, at_ms: Millis) -> None:
        """Remember a cancel if its job is not known.

        :param job: id of the job.
        :param at_ms: time of the cancel.
        """
        if job in self.jobs:
            self.early_cancels.pop(job, None)
            return
        self.early_cancels.setdefault(job, max(at_ms, self.time_ms))
        if len(self.early_cancels) > MAX_EARLY_CANCELS:
            self.early_cancels.pop(next(iter(self.early_cancels)))

    def late_jobs(self) -> list[JobId]:
        """Return the jobs that were canceled before their submission came.

        Versions that don't remember such cancels take them for waiting jobs,
        until they are canceled once more.

        :returns: ids of the jobs.
        """
        return [job for job in self.early_cancels if job in self.jobs]

    def forget_early_cancels(self, before_ms: Millis) -> None:
        """Forget old cancels of jobs that never came.

        :param before_ms: time of the cell before which they were made.
        """
        if not self.early_cancels:
            return
        self.early_cancels = {
            job: at_ms
            for job, at_ms in self.early_cancels.items()
            if at_ms >= before_ms or job in self.jobs
        }

    def apply(self, record: HolderRecord) -> None:
        """Apply a record of the holder that concerns no job.

        :param record: the record.
        """
        match record:
            case Released():
                self.holder = ''
            case HolderGeneration(_, instance, generation):
                if instance == self.holder:
                    self.holder_generation = generation
            case RunnerMet():
                self.addresses[record.runner] = record.address
            case RunnerDescribed():
                self.facts[record.runner] = RunnerFacts(*record[2:])
            case RunnerGone():
                self._forget_runner(record.runner)
            case UpkeepBegun(_, wave, machine, runner):
                begun = self.upkeeps.setdefault(wave, {})
                begun.setdefault(machine, runner)
            case StartUnanswered():
                self.unanswered = with_unanswered(self.unanswered, record)
            case WaveDone():
                self.upkeeps.pop(record.wave, None)
                self.waves_done.add(record.wave)
            case _:
                self.experience.observe_record(record)

    def change_holder(
        self, epoch: Epoch, instance: InstanceId, at_ms: Millis
    ) -> None:
        """Apply a claim that took effect.

        :param epoch: the new epoch.
        :param instance: the instance that claimed it.
        :param at_ms: time of the claim.
        """
        self.former = self.holder
        self.former_ms = self.time_ms - self.claimed_ms
        self.epoch = epoch
        self.holder = instance
        self.holder_generation = 0
        self.advance_time(at_ms)
        self.claimed_ms = self.time_ms

    def _forget_runner(self, runner: RunnerId) -> None:
        self.seen.pop(runner, None)
        self.addresses.pop(runner, None)
        self.facts.pop(runner, None)
        self.experience.forget(runner)
        clear_gone_runner(self.upkeeps, runner)
