"""Starts without an answer, which may be carried out until their delay ends."""

from typing import NamedTuple

from swifthoist_core.types import Epoch, Millis, RunnerId
from swifthoist_engine.model import RunKey, TaskId

UNANSWERED_KEEP_MS = 60_000
"""How long such starts are kept, in ms: no order is delayed that long."""


class StartUnanswered(NamedTuple):
    """A start may still be carried out, by any life of its runner.

    It precedes a repetition of the start, so that a start without this record
    was sent at most once.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar at_ms: time of the record.
    """

    epoch: Epoch
    runner: RunnerId
    task: TaskId
    run: int
    at_ms: Millis

    @property
    def key(self) -> RunKey:
        """The run."""
        return self.task, self.run


def with_unanswered(
    starts: list[StartUnanswered], start: StartUnanswered
) -> list[StartUnanswered]:
    """Add a start; it replaces an earlier record of the same one.

    :param starts: the starts, oldest first.
    :param start: the start.
    :returns: the starts, without those that can't arrive any more.
    """
    limit_ms = start.at_ms - UNANSWERED_KEEP_MS
    kept = [
        it
        for it in starts
        if it.at_ms > limit_ms
        and (it.key, it.runner) != (start.key, start.runner)
    ]
    return [*kept, start]
