"""What workers said of the parts of gangs, as the cell's holder knows it."""

from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.records import PartUsage
from swifthoist_core.types import JobId, Millis, WorkerId
from swifthoist_platform.orders import PartKey, PartState

RUNS = frozenset(('running', 'checkpointed'))
ENDED = frozenset(('done', 'failed', 'stopped', 'lapsed'))


class WorkerAnswer(NamedTuple):
    """What came of a renewal at one worker.

    :ivar worker: the worker.
    :ivar reached: whether it answered.
    :ivar states: every part it knows.
    """

    worker: WorkerId
    reached: bool
    states: tuple[PartState, ...]


class PartBoard:
    """The latest state of every part, and when each worker last answered."""

    def __init__(self, clock: Clock) -> None:
        """Start without any state.

        :param clock: clocks of the machine.
        """
        self._clock = clock
        self._states: dict[PartKey, PartState] = {}
        self._reached_ms: dict[WorkerId, Millis] = {}
        self._changed = anyio.Event()

    def note(self, answer: WorkerAnswer) -> None:
        """Take an answer in.

        :param answer: what came of a renewal.
        """
        if not answer.reached:
            self._reached_ms.setdefault(answer.worker, self._clock.boot_ms())
            return
        self._reached_ms[answer.worker] = self._clock.boot_ms()
        for state in answer.states:
            known = self._states.get(state.key)
            if known is not None and known.state in ENDED:
                continue
            self._states[state.key] = state
        changed = self._changed
        self._changed = anyio.Event()
        changed.set()

    def get(self, key: PartKey) -> PartState | None:
        """Find the latest state of a part.

        :param key: the part.
        :returns: its state, ``None`` if no worker named it yet.
        """
        return self._states.get(key)

    def silent_ms(self, worker: WorkerId) -> Millis:
        """Tell for how long a worker has not answered.

        :param worker: the worker.
        :returns: ms since its last answer; since the first call of this
            method if there was none.
        """
        now_ms = self._clock.boot_ms()
        return now_ms - self._reached_ms.setdefault(worker, now_ms)

    async def changed(self) -> None:
        """Wait for the next answer of any worker."""
        await self._changed.wait()

    def forget_attempt(self, job_id: JobId, attempt: int) -> None:
        """Drop the parts of an attempt that has ended on the log.

        :param job_id: the job.
        :param attempt: number of the attempt.
        """
        old = [
            key
            for key in self._states
            if key.job_id == job_id and key.attempt <= attempt
        ]
        for key in old:
            self._states.pop(key)

    def forget_worker(self, worker: WorkerId) -> None:
        """Drop a worker that is lost.

        :param worker: the worker.
        """
        self._reached_ms.pop(worker, None)


def usage_of(state: PartState, worker: WorkerId) -> PartUsage:
    """Make the account's view of a part that has ended.

    :param state: its last state.
    :param worker: where it was.
    :returns: what it used.
    """
    return PartUsage(
        state.part,
        worker,
        state.accelerators,
        state.started_ms,
        max(state.stopped_ms, state.started_ms),
    )
