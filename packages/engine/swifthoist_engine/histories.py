"""What became of the runs of a job, in short, for whoever asks why it ended so.

Runs that were done are only counted, and the longest is kept; those that were
lost are kept one by one, a gang's members together, up to a limit.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import JobId, Millis, RunnerId
from swifthoist_engine.model import TaskId
from swifthoist_engine.records import Ending

VANISHED = 'vanished'
"""How a run ended of which no runner told."""

MAX_LOST_ATTEMPTS = 8
"""Most lost attempts that are kept of a job; others are only counted. Queues
allow a task fewer failures than that."""

_ENDINGS_BY_SIGNIFICANCE = (
    Ending.DONE,
    Ending.ALONE,
    Ending.BROKEN,
    Ending.STOPPED,
    Ending.LAPSED,
    VANISHED,
    Ending.FAILED,
)
"""Ends by how much each tells of a gang's attempt, the most telling last."""


class Tally(NamedTuple):
    """Runs that ended alike.

    :ivar runs: how many.
    :ivar ran_ms: how long they took together, from their decisions.
    """

    runs: int = 0
    ran_ms: Millis = 0


class Attempt(NamedTuple):
    """A run of a unit that is over.

    :ivar occurrence: number of the occurrence.
    :ivar step: number of the step.
    :ivar ordinal: the task; of a gang, the member whose end tells the most.
    :ivar run: number of the run.
    :ivar runner: where that task ran.
    :ivar ending: how it ended.
    :ivar reason: what made it certain that it vanished; else empty.
    :ivar began_ms: time of the decision to start it.
    :ivar ended_ms: time when the newest end of it was folded.
    :ivar members: how many of its tasks ended.
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
        """Name its task.

        :param job: the job.
        :returns: the task.
        """
        return TaskId(job, self.occurrence, self.step, self.ordinal)

    def merge(self, other: 'Attempt') -> 'Attempt':
        """Add the end of another task, or a later word on the same one.

        :param other: that end.
        :returns: both as one.
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
    """What became of the runs of a job.

    :ivar began_ms: when its first unit was started; 0 before.
    :ivar tallies: its runs that are over, by how they ended.
    :ivar lost: attempts that were not done, oldest first.
    :ivar omitted: lost attempts that are only counted.
    :ivar longest: the longest run that was done; none before the first.
    """

    began_ms: Millis = 0
    tallies: dict[str, Tally] = field(default_factory=dict)
    lost: list[Attempt] = field(default_factory=list)
    omitted: int = 0
    longest: Attempt | None = None

    def add(self, attempt: Attempt, *, gang: bool, needed: bool) -> None:
        """Note the end of a run.

        :param attempt: the run.
        :param gang: whether it belongs to a gang.
        :param needed: whether its unit is still to be done.
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
            # Failures use up attempts, so they explain the most.
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
