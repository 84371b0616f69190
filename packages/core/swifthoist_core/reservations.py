"""Reservations: places kept free for a job while others drain from them."""

from collections.abc import Iterable
from typing import NamedTuple

from swifthoist_core.buddies import mask_of
from swifthoist_core.records import PartPlacement
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Shape
from swifthoist_core.types import JobId, Millis, WorkerId

_NOTHING = Room(0, 0, 0)


class Reservation(NamedTuple):
    """A place that is kept for one job.

    :ivar shape: what the job needs.
    :ivar parts: the place.
    :ivar victims: jobs that must give way, as of the reservation.
    :ivar lent: whether the place is beyond the guarantee of the job's owner.
    :ivar since_ms: log time of the reservation.
    """

    shape: Shape
    parts: tuple[PartPlacement, ...]
    victims: tuple[JobId, ...]
    lent: bool
    since_ms: Millis


class Drain(NamedTuple):
    """A place that the planner drains; no part of the state.

    :ivar place: the place, with the time when it is due; ``None`` if none.
    :ivar until_ms: log time until which the choice stands.
    """

    place: Reservation | None
    until_ms: Millis


class Reservations:
    """The aggregate of reservations, by the job that they are for."""

    DERIVED = frozenset(('_holds',))
    """What :meth:`rebuild` computes from the rest of the state."""

    def __init__(self) -> None:
        """Start with none."""
        self._by_job: dict[JobId, Reservation] = {}
        self._holds: dict[WorkerId, Room] = {}

    def get(self, job_id: JobId) -> Reservation | None:
        """Find the reservation for a job.

        :param job_id: id of the job.
        :returns: the reservation, or ``None``.
        """
        return self._by_job.get(job_id)

    def all(self) -> tuple[tuple[JobId, Reservation], ...]:
        """All reservations, by job."""
        return tuple(sorted(self._by_job.items()))

    def holds(self, but: JobId = '') -> dict[WorkerId, Room]:
        """Add up the room that is kept free.

        :param but: a job whose own reservation does not count.
        :returns: accelerators, cores and memory to leave free, by worker.
        """
        if but not in self._by_job:
            return self._holds
        return total_holds(
            kept for job_id, kept in self._by_job.items() if job_id != but
        )

    def add(self, job_id: JobId, reservation: Reservation) -> None:
        """Keep a place for a job.

        :param job_id: id of the job.
        :param reservation: the place.
        """
        self._by_job[job_id] = reservation
        self._holds = total_holds(self._by_job.values())

    def drop(self, job_id: JobId) -> None:
        """Keep no place for a job any longer.

        :param job_id: id of the job.
        """
        if self._by_job.pop(job_id, None) is not None:
            self._holds = total_holds(self._by_job.values())

    def on_worker(self, worker: WorkerId) -> tuple[JobId, ...]:
        """Find the jobs that have a reservation on a worker.

        :param worker: id of the worker.
        :returns: ids of the jobs.
        """
        return tuple(
            job_id
            for job_id, kept in self.all()
            if any(part.worker == worker for part in kept.parts)
        )

    def in_way(
        self, job_id: JobId, parts: Iterable[PartPlacement]
    ) -> tuple[JobId, ...]:
        """Find the reservations of other jobs on the workers of a place.

        :param job_id: the job that wants the place.
        :param parts: the place.
        :returns: ids of the jobs that have the reservations.
        """
        workers = {part.worker for part in parts} & self._holds.keys()
        return tuple(
            other
            for other, kept in self.all()
            if other != job_id
            and any(part.worker in workers for part in kept.parts)
        )

    def rebuild(self) -> None:
        """Build what is derived anew, after the state was loaded."""
        self._holds = total_holds(self._by_job.values())


def total_holds(
    reservations: Iterable[Reservation],
) -> dict[WorkerId, Room]:
    """Add up the room of some reservations.

    :param reservations: the reservations.
    :returns: accelerators, cores and memory to leave free, by worker.
    """
    holds: dict[WorkerId, Room] = {}
    for kept in reservations:
        for part in kept.parts:
            held = holds.get(part.worker, _NOTHING)
            taken = mask_of(part.first, part.accelerators)
            holds[part.worker] = Room(
                held.busy | taken,
                held.cores + kept.shape.cores,
                held.memory_mib + kept.shape.memory_mib,
            )
    return holds
