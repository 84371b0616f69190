"""Index of open runs by runner, with the resources that they use."""

from collections import defaultdict

from swifthoist_core.types import RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import Resources, RunKey, TaskId


class RunIndex:
    """The open runs of a cell.

    :ivar version: increases with each run that is added or removed.
    """

    def __init__(self) -> None:
        """Create an empty index."""
        self.version = 0
        self._changed: dict[RunnerId, int] = {}
        self._used: dict[RunnerId, Resources] = defaultdict(Resources)
        self._by_runner: dict[RunnerId, dict[TaskId, OpenRun]] = defaultdict(
            dict
        )
        self._fresh: dict[RunKey, OpenRun] = {}

    def add(self, run: OpenRun, need: Resources) -> None:
        """Add a run.

        :param run: the run.
        :param need: resources that it takes from its runner's capacity.
        """
        self._mark_changed(run.runner)
        self._by_runner[run.runner][run.task] = run
        self._used[run.runner] = self._used[run.runner].plus(need)

    def remove(self, run: OpenRun, need: Resources) -> None:
        """Remove a run that is over.

        :param run: the run.
        :param need: resources that it took from its runner's capacity.
        """
        self._mark_changed(run.runner)
        self._by_runner[run.runner].pop(run.task, None)
        self._used[run.runner] = self._used[run.runner].minus(need)
        self._fresh.pop((run.task, run.run), None)

    def on(self, runner: RunnerId) -> list[OpenRun]:
        """Return the runs of a runner.

        :param runner: the runner.
        :returns: runs that may still be on it.
        """
        return list(self._by_runner.get(runner, {}).values())

    def used_on(self, runner: RunnerId) -> Resources:
        """Return the resources used by the runs of a runner.

        :param runner: the runner.
        :returns: the sum of their resources.
        """
        return self._used.get(runner, Resources())

    def changed_since(self, version: int) -> list[RunnerId]:
        """Return the runners whose runs changed.

        :param version: an earlier version.
        :returns: ids of the runners on which runs were added or removed since.
        """
        if version == self.version:
            return []
        changes = self._changed.items()
        return [runner for runner, at in changes if at > version]

    def runners(self) -> set[RunnerId]:
        """Return the runners that have runs."""
        return {name for name, runs in self._by_runner.items() if runs}

    def all(self) -> list[OpenRun]:
        """Return the runs of all runners."""
        return [
            run for runs in self._by_runner.values() for run in runs.values()
        ]

    def mark_unsent(self, run: OpenRun) -> None:
        """Mark a run whose start is still to be sent to its runner.

        :param run: the run.
        """
        self._fresh[run.task, run.run] = run

    def is_unsent(self, key: RunKey) -> bool:
        """Return whether the start of a run is still to be sent.

        :param key: the run.
        :returns: whether it was not taken so far.
        """
        return key in self._fresh

    def take_unsent(self) -> list[OpenRun]:
        """Return and unmark the runs whose start is still to be sent."""
        runs = list(self._fresh.values())
        self._fresh.clear()
        return runs

    def _mark_changed(self, runner: RunnerId) -> None:
        self.version += 1
        self._changed[runner] = self.version
