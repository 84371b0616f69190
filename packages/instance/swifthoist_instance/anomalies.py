"""Finds runs that should not go on: unrecorded ones, and ones that hang."""

from collections.abc import Mapping

from swifthoist_core.types import RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.records import Doubt
from swifthoist_engine.run_index import RunKey
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import note_doubt
from swifthoist_instance.paces import works_always
from swifthoist_instance.shared import Shared
from swifthoist_platform.runner_calls import RunningTask


class Anomalies:
    """What is wrong with the runs of one runner."""

    def __init__(self, shared: Shared, runner: RunnerId) -> None:
        """Start without knowledge.

        :param shared: what all sessions share.
        :param runner: the runner.
        """
        self._shared = shared
        self._runner = runner
        self._orphans: set[RunKey] = set()

    def stop_all(
        self,
        running: Mapping[RunKey, RunningTask],
        orders: Orders,
        *,
        cold: bool,
    ) -> None:
        """Stop what should not go on.

        :param running: rows of the newest look.
        :param orders: stops them.
        :param cold: the runner is slow after its start, so that a task which
            uses no processor yet says nothing.
        """
        self._stop_orphans(running, orders)
        if not cold:
            self._stop_hung(running, orders)
        orders.forget_closed()

    def _stop_orphans(
        self, running: Mapping[RunKey, RunningTask], orders: Orders
    ) -> None:
        """Stop runs without a record, once two looks have shown them."""
        find_run = self._shared.cell.find_run
        orphans = {key for key in running if find_run(*key) is None}
        for task, number in orphans & self._orphans:
            run = OpenRun(task, number, self._runner, self._shared.epoch, 0)
            orders.stop(run, 'unrecorded')
        self._orphans = orphans

    def _stop_hung(
        self, running: Mapping[RunKey, RunningTask], orders: Orders
    ) -> None:
        cell = self._shared.cell
        now_ms = self._shared.clock.boot_ms()
        still = {
            key: row.gauge == 0 and works_always(cell, row)
            for key, row in running.items()
        }
        self._shared.hang_detector.note(still, now_ms)
        for run in self._shared.hang_detector.hung(cell, running, now_ms):
            if (run.task, run.run) not in orders.stops:
                note_doubt(self._shared, self._runner, Doubt.HANG, run.task.job)
                orders.stop(run, 'stands still')
        self._shared.hang_detector.forget_closed(cell)
