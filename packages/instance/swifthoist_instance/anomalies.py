"""Stops runs that should not continue: unrecorded ones and hung ones."""

from collections.abc import Mapping

from swifthoist_core.types import RunnerId
from swifthoist_engine.jobs import OpenRun
from swifthoist_engine.model import RunKey
from swifthoist_engine.records import Doubt
from swifthoist_instance.context import TenureContext
from swifthoist_instance.orders import Orders
from swifthoist_instance.outcomes import note_doubt
from swifthoist_instance.paces import is_always_busy
from swifthoist_platform.runner_calls import RunningTask


class Anomalies:
    """Detects anomalous runs of one runner."""

    def __init__(self, context: TenureContext, runner: RunnerId) -> None:
        """Create the detector for a runner.

        :param context: state shared within the tenure.
        :param runner: the runner.
        """
        self._context = context
        self._runner = runner
        self._orphans: set[RunKey] = set()

    def stop_anomalous(
        self,
        running: Mapping[RunKey, RunningTask],
        orders: Orders,
        *,
        cold: bool,
    ) -> None:
        """Stop the runs that should not continue.

        :param running: running tasks in the newest look.
        :param orders: sends the stops.
        :param cold: the runner is slow after its start, so that a task that
            uses no CPU yet is no sign of a hang.
        """
        self._stop_orphans(running, orders)
        if not cold:
            self._stop_hung(running, orders)
        orders.forget_closed()

    def _stop_orphans(
        self, running: Mapping[RunKey, RunningTask], orders: Orders
    ) -> None:
        """Stop runs that have no record in two successive looks."""
        find_run = self._context.cell.find_run
        orphans = {key for key in running if find_run(*key) is None}
        for task, number in orphans & self._orphans:
            run = OpenRun(task, number, self._runner, self._context.epoch, 0)
            orders.stop(run, 'unrecorded')
        self._orphans = orphans

    def _stop_hung(
        self, running: Mapping[RunKey, RunningTask], orders: Orders
    ) -> None:
        cell = self._context.cell
        now_ms = self._context.clock.boot_ms()
        idle = {
            key: row.gauge == 0 and is_always_busy(cell, row)
            for key, row in running.items()
        }
        self._context.hang_detector.note(idle, now_ms)
        for run in self._context.hang_detector.hung(cell, running, now_ms):
            if (run.task, run.run) not in orders.stops:
                note_doubt(
                    self._context, self._runner, Doubt.HANG, run.task.job
                )
                orders.stop(run, 'stands still')
        self._context.hang_detector.forget_closed(cell)
