"""Summary of a job's runs, which explains how the job ended.

Runs that were done are only counted, except for the longest one. Lost attempts
are kept individually up to a limit, with the members of a gang combined.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.model import TaskId
from swifthoist_engine.records import Ending

VANISHED = 'vanished'
"""Ending of a run whose end no runner listed."""

MAX_LOST_ATTEMPTS = 8
"""Most lost attempts kept of a job; further ones are only counted. Queues allow
fewer failures of a task than that."""

_ENDINGS_BY_SIGNIFICANCE = (
    Ending.DONE,
    Ending.ALONE,
    Ending.BROKEN,
    Ending.STOPPED,
    Ending.LAPSED,
    VANISHED,
    Ending.FAILED,
)
"""Endings by how much they explain about a gang's attempt, the most significant
last."""


class Tally(NamedTuple):
    """Totals of the runs with the same ending.

    :ivar runs: number of runs.
    :ivar ran_ms: sum of their times from the decision to the end, in ms.
    """

    runs: int = 0
    ran_ms: Millis = 0


class Attempt(NamedTuple):
    """An ended run of a unit.

    :ivar occurrence: number of the occurrence.
    :ivar step: number of the step.
    :ivar ordinal: number of the task; of a gang, the member with the most
        significant ending.
    :ivar run: number of the run.
    :ivar runner: runner of that task.
    :ivar ending: how it ended.
    :ivar reason: for a vanished run, why it is certain to be gone; else empty.
    :ivar began_ms: time of the decision to start it.
    :ivar ended_ms: time at which its newest end was folded.
    :ivar members: number of its tasks that ended.
    """

    occurrence: int
    step: int
    ordinal: int
    run: int
    runner: RunnerId
    ending: str
    reason: str
    began_ms: Millis
    ended_ms: Millis
    members: int = 1

    def task_of(self, job: JobId) -> TaskId:
        """Return the id of its task.

        :param job: the job.
        :returns: id of the task.
        """
        return TaskId(job, self.occurrence, self.step, self.ordinal)

    def merge(self, other: 'Attempt') -> 'Attempt':
        """Combine with another end of this attempt, of the same task or not.

        :param other: the other end.
        :returns: the combined attempt.
        """
        most_significant = max(self, other, key=_significance)
        added = 0 if self.ordinal == other.ordinal else other.members
        return most_significant._replace(
            began_ms=min(self.began_ms, other.began_ms),
            ended_ms=max(self.ended_ms, other.ended_ms),
            members=self.members + added,
        )


@dataclass(slots=True)
class History:
    """Summary of a job's runs.

    :ivar began_ms: time at which its first unit was started; 0 before.
    :ivar tallies: totals of its ended runs by ending.
    :ivar lost: attempts that were not done, oldest first.
    :ivar omitted: number of lost attempts that are only counted.
    :ivar longest: longest run that was done; none before the first.
    """

    began_ms: Millis = 0
    tallies: dict[str, Tally] = field(default_factory=dict)
    lost: list[Attempt] = field(default_factory=list)
    omitted: int = 0
    longest: Attempt | None = None

    def add(self, attempt: Attempt, *, gang: bool, needed: bool) -> None:
        """Add an ended run.

        :param attempt: the run.
        :param gang: whether it belongs to a gang.
        :param needed: whether its unit is not done yet.
        """
        ran_ms = max(attempt.ended_ms - attempt.began_ms, 0)
        known = self.tallies.get(attempt.ending, Tally())
        self.tallies[attempt.ending] = Tally(
            known.runs + 1, known.ran_ms + ran_ms
        )
        if attempt.ending == Ending.DONE:
            self.longest = max(self.longest or attempt, attempt, key=_ran_ms)
        elif needed:
            self._add_lost(attempt, gang=gang)

    def _add_lost(self, attempt: Attempt, *, gang: bool) -> None:
        for number, known in enumerate(self.lost):
            if _is_same_attempt(known, attempt, gang=gang):
                self.lost[number] = known.merge(attempt)
                return
        self.lost.append(attempt)
        if len(self.lost) > MAX_LOST_ATTEMPTS:
            # Failures use up attempts, so they explain the most: keep them.
            least = min(self.lost, key=_is_failed)
            self.lost.remove(least)
            self.omitted += 1


def _significance(attempt: Attempt) -> int:
    return _ENDINGS_BY_SIGNIFICANCE.index(attempt.ending)


def _ran_ms(attempt: Attempt) -> Millis:
    return attempt.ended_ms - attempt.began_ms


def _is_failed(attempt: Attempt) -> bool:
    return attempt.ending == Ending.FAILED


def _is_same_attempt(one: Attempt, other: Attempt, *, gang: bool) -> bool:
    unit = (one.occurrence, one.step, one.run)
    if unit != (other.occurrence, other.step, other.run):
        return False
    return gang or one.ordinal == other.ordinal
