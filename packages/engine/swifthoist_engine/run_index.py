"""Open runs by their runner, and what they take of it."""

from collections import defaultdict

from swifthoist_core.types import RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, TaskId

RunKey = tuple[TaskId, int]


class RunIndex:
    """The open runs of a cell.

    :ivar version: rises with each run that begins or ends.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.version = 0
        self._changed: dict[RunnerId, int] = {}
        self._used: dict[RunnerId, Resources] = defaultdict(Resources)
        self._by_runner: dict[RunnerId, dict[TaskId, OpenRun]] = defaultdict(
            dict
        )
        self._fresh: dict[RunKey, OpenRun] = {}

    def add(self, run: OpenRun, need: Resources) -> None:
        """Note a run.

        :param run: the run.
        :param need: what it takes of its runner's capacity.
        """
        self._mark_changed(run.runner)
        self._by_runner[run.runner][run.task] = run
        self._used[run.runner] = self._used[run.runner].plus(need)

    def remove(self, run: OpenRun, need: Resources) -> None:
        """Note that a run is over.

        :param run: the run.
        :param need: what it took of its runner's capacity.
        """
        self._mark_changed(run.runner)
        self._by_runner[run.runner].pop(run.task, None)
        self._used[run.runner] = self._used[run.runner].minus(need)
        self._fresh.pop((run.task, run.run), None)

    def on(self, runner: RunnerId) -> list[OpenRun]:
        """List the runs of a runner.

        :param runner: the runner.
        :returns: runs that may be there.
        """
        return list(self._by_runner.get(runner, {}).values())

    def used_on(self, runner: RunnerId) -> Resources:
        """Tell what the runs of a runner take of its capacity.

        :param runner: the runner.
        :returns: their resources together.
        """
        return self._used.get(runner, Resources())

    def changed_since(self, version: int) -> list[RunnerId]:
        """List the runners on which runs began or ended.

        :param version: an earlier version.
        :returns: ids of the runners.
        """
        if version == self.version:
            return []
        changes = self._changed.items()
        return [runner for runner, at in changes if at > version]

    def runners(self) -> set[RunnerId]:
        """List the runners that have runs."""
        return {name for name, runs in self._by_runner.items() if runs}

    def all(self) -> list[OpenRun]:
        """List the runs of all runners."""
        return [
            run for runs in self._by_runner.values() for run in runs.values()
        ]

    def mark_unsent(self, run: OpenRun) -> None:
        """Note that a run is still to be carried to its runner.

        :param run: the run.
        """
        self._fresh[run.task, run.run] = run

    def is_unsent(self, key: RunKey) -> bool:
        """Tell whether a run is still to be carried to its runner.

        :param key: the run.
        :returns: whether nobody took it so far.
        """
        return key in self._fresh

    def take_unsent(self) -> list[OpenRun]:
        """Take the runs that are still to be carried to their runner."""
        runs = list(self._fresh.values())
        self._fresh.clear()
        return runs

    def _mark_changed(self, runner: RunnerId) -> None:
        self.version += 1
        self._changed[runner] = self.version
