"""Records about crashes of runners, and the tasks that may have caused them."""

from typing import NamedTuple

from swifthoist_core.types import Epoch, Millis, RunnerId
from swifthoist_engine.model import RunKey, TaskId


class RunnerCrashed(NamedTuple):
    """A runner went down without notice, with runs on it.

    It precedes the :class:`Vanished` records of these runs.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar machine: its machine, or its address if that is unknown.
    :ivar starting: runs that it may not have survived the start of.
    :ivar running: runs that had been running before.
    :ivar certain: the holder saw it up before and saw its connections break,
        and no others at that moment; otherwise it may only have been
        unreachable, or have crashed at another time or for another cause.
    :ivar at_ms: time at which the holder noticed it.
    """

    epoch: Epoch
    runner: RunnerId
    machine: str
    starting: tuple[RunKey, ...]
    running: tuple[RunKey, ...]
    certain: bool
    at_ms: Millis


class CrashWitnessed(NamedTuple):
    """Runs that the holder knows to have been on a runner that crashed.

    It follows the :class:`RunnerCrashed` record of that crash.

    :ivar epoch: epoch of the holder.
    :ivar runner: the runner.
    :ivar seen: runs that it had when its connections broke.
    :ivar likely: runs that it had, or was about to get, at its last answer.
    :ivar unconfirmed: the same of a runner that may only be cut off.
    """

    epoch: Epoch
    runner: RunnerId
    seen: tuple[RunKey, ...]
    likely: tuple[RunKey, ...]
    unconfirmed: tuple[RunKey, ...] = ()


class StartSent(NamedTuple):
    """The start of a suspected task goes to a runner that has just answered.

    After a takeover it tells that the run was there when the runner crashed.

    :ivar epoch: epoch of the holder.
    :ivar task: the task.
    :ivar run: number of the run.
    """

    epoch: Epoch
    task: TaskId
    run: int


class TaskGivenUp(NamedTuple):
    """A task crashes the runners that start it; its job fails.

    :ivar epoch: epoch of the holder.
    :ivar task: the task.
    :ivar at_ms: time of the decision.
    """

    epoch: Epoch
    task: TaskId
    at_ms: Millis
