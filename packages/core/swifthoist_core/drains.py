"""Drains: places where nothing new starts, so that a large gang fits soon."""

from typing import TYPE_CHECKING

from swifthoist_core.candidates import (
    LARGE_ACCELERATORS,
    PATIENCE_MS,
    Candidate,
    choose_drain,
    choose_soonest,
)
from swifthoist_core.job_states import Job
from swifthoist_core.ordering import large_patience_ms
from swifthoist_core.reservations import Drain, Reservation, total_holds
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Shape
from swifthoist_core.types import JobId, Millis, WorkerId

if TYPE_CHECKING:
    from swifthoist_core.ledger import Ledger

MOST_DRAINS = 2
"""So many gangs have a place drained for them at a time."""


KEEP_MS = 1_000
"""A place that is chosen for a drain is not chosen anew for so long, in ms."""


_SPARE = ''
"""Stands for the largest guaranteed shape, which no job asks for yet."""


class Drains:
    """The drains of one call of the planner, for borrowers in its order."""

    def __init__(self, ledger: 'Ledger') -> None:
        """Start with none.

        :param ledger: the state.
        """
        self._ledger = ledger
        self._kept: list[Reservation] = []
        self._soonest_ms: Millis = 0
        self._holds: dict[WorkerId, Room] | None = None
        self._spared = False

    def add(self, job: Job) -> None:
        """Drain a place for a job that found none.

        :param job: the job; nothing is done for a small one.
        """
        if len(self._kept) == MOST_DRAINS or not job.spec.idempotent:
            return
        policy = self._ledger.catalogue.policy
        waited_ms = self._ledger.time_ms - job.submitted_ms
        if waited_ms < large_patience_ms(policy) - PATIENCE_MS:
            return
        drain = self._drain_for(job)
        if drain is None:
            return
        due_ms = drain.since_ms - self._ledger.time_ms
        soonest = min(self._soonest_ms, due_ms) if self._kept else due_ms
        self._soonest_ms = soonest
        self._kept.append(drain)
        self._holds = None

    def _keep_spare(self) -> None:
        policy = self._ledger.catalogue.policy
        whole = policy.fragmentation_weight > policy.completion_weight
        if self._spared or not whole:
            return
        self._spared = True
        shape = self._ledger.virtual_cells.largest()
        if shape is None or shape.total_accelerators < LARGE_ACCELERATORS:
            return
        known = self._known(_SPARE)
        if known is None:
            target = choose_soonest(self._ledger, shape)
            spare = self._remember(_SPARE, shape, target)
        else:
            spare = known.place
        if spare is not None:
            self._kept.append(spare)
            self._holds = None

    def _drain_for(self, job: Job) -> Reservation | None:
        known = self._known(job.spec.job_id)
        if known is not None:
            return known.place
        target = choose_drain(self._ledger, job)
        return self._remember(job.spec.job_id, job.spec.shape, target)

    def _known(self, name: JobId) -> Drain | None:
        known = self._ledger.plan_cache.drains.get(name)
        if known is None or self._ledger.time_ms >= known.until_ms:
            return None
        return known

    def _remember(
        self, name: JobId, shape: Shape, target: Candidate | None
    ) -> Reservation | None:
        now_ms = self._ledger.time_ms
        place: Reservation | None = None
        if target is not None:
            due_ms = now_ms + int(target.loss)
            place = Reservation(
                shape, target.parts, target.victims, True, due_ms
            )
        drains = self._ledger.plan_cache.drains
        expired = [key for key in drains if drains[key].until_ms < now_ms]
        for old in expired:
            drains.pop(old)
        drains[name] = Drain(place, now_ms + KEEP_MS)
        return place

    def holds_for(self, job: Job) -> dict[WorkerId, Room]:
        """Tell which room a borrower must leave free.

        Short work that will have ended when the place is due may use it.

        :param job: the borrower.
        :returns: room to leave free, by worker.
        """
        kept = self._ledger.reservations.holds()
        if job.spec.shape.total_accelerators < LARGE_ACCELERATORS:
            self._keep_spare()
        estimate = self._ledger.estimates.of(job.spec)
        if estimate.sure and estimate.upper_ms <= self._soonest_ms:
            return kept
        if not self._kept:
            return kept
        if self._holds is None:
            known = (item for _, item in self._ledger.reservations.all())
            self._holds = total_holds((*known, *self._kept))
        return self._holds
