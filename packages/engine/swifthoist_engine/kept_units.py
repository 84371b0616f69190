"""Bounds how many units of all jobs are kept in full.

A unit that is done, and of which nothing may come any more, is packed where
there are too many. Those that are still of use are few: they run, or wait for
their next run.
"""

from collections.abc import Iterable

from swifthoist_engine.jobs import Job, Unit
from swifthoist_engine.model import TaskId, UnitId

MAX_UNITS = 20_000
"""Most units that are kept in full, unless the memory of the instance tells
another number."""

UNIT_BYTES = 800
"""Memory of a unit that is done and kept in full, in bytes."""


class KeptUnits:
    """Units that are kept in full."""

    def __init__(self, max_units: int = MAX_UNITS) -> None:
        """Start with none.

        :param max_units: how many there may be before some are packed.
        """
        self._max_units = max_units
        self._count = 0

    def recount(self, jobs: Iterable[Job]) -> None:
        """Count the units anew.

        :param jobs: all jobs.
        """
        self._count = sum(len(job.units) for job in jobs)

    def ensure(self, job: Job, unit_id: UnitId) -> Unit:
        """Return the state of a unit, creating it if needed.

        :param job: its job.
        :param unit_id: the unit.
        :returns: its state.
        """
        before = len(job.units)
        unit = job.ensure_unit(unit_id)
        self._count += len(job.units) - before
        return unit

    def pack_settled(self, job: Job, task: TaskId) -> None:
        """Pack the unit of a task if it is settled and there are too many.

        :param job: its job.
        :param task: the task.
        """
        if self._count <= self._max_units:
            return
        unit_id = job.unit_of(task)
        unit = job.units.get(unit_id[1:])
        if unit is not None and unit.settled:
            before = len(job.units)
            job.pack(unit_id)
            self._count -= before - len(job.units)

    def forget(self, job: Job) -> None:
        """Forget the units of a job.

        :param job: the job.
        """
        self._count -= len(job.units)
