"""Targets: the place a job can have once others have given way."""

import enum
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple

from swifthoist_core.buddies import free_slots, mask_of, slot_size
from swifthoist_core.catalogue import Urgency
from swifthoist_core.job_states import PLACED, Job, Status
from swifthoist_core.records import PartPlacement
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Shape
from swifthoist_core.topology import domain
from swifthoist_core.types import JobId, Millis, WorkerId

if TYPE_CHECKING:
    from swifthoist_core.ledger import Ledger

PATIENCE_MS = 30_000
"""A job that has waited for so long may take the place of a borrower."""

LARGE_ACCELERATORS = 16
"""A gang of so many accelerators or more has a place drained for it."""

DRAIN_AFTER_MS = 1_000
"""A large gang that has waited for so long has a place drained, in ms."""

QUANTUM_MS = 30_000
"""A borrower runs for so long before another borrower takes its place."""

_MS_PER_S = 1_000


LARGER_QUANTA = 4
"""A borrower gives way to a smaller one only after so many quanta."""


class Yield(enum.Enum):
    """Which jobs give way to a job that needs a place.

    ``OWED``: every borrower, for the place is guaranteed. ``AGED``: borrowers
    that have run for their quantum, to a borrower that waited for long.
    ``URGENT``: borrowers whose work is not urgent, to one whose work is.
    ``DRAIN``: the same, but later, when they have run for it.
    """

    OWED = 'owed'
    AGED = 'aged'
    URGENT = 'urgent'
    DRAIN = 'drain'


class Candidate(NamedTuple):
    """A place for a whole gang, and who must leave it first.

    :ivar parts: a place for each part.
    :ivar victims: jobs on lent places in it, those that stop included.
    :ivar loss: accelerator seconds of work at risk, weighed by the policy;
        for a drain the time until the last of them has run its quantum, in
        ms.
    """

    parts: tuple[PartPlacement, ...]
    victims: tuple[JobId, ...]
    loss: float


class Trial:
    """Room on workers as it would be if some jobs gave way.

    :ivar victims: the jobs that give way, in the order of choice.
    :ivar loss: what that loses.
    """

    def __init__(self, ledger: 'Ledger', shape: Shape, rule: Yield) -> None:
        """Start with everything as it is.

        :param ledger: the state.
        :param shape: what needs a place.
        :param rule: who gives way.
        """
        self.victims: dict[JobId, None] = {}
        self.loss: float = 0
        self._ledger = ledger
        self._shape = shape
        self._rule = rule
        self._rooms: dict[WorkerId, Room] = {}

    def price(self, part: PartPlacement) -> float | None:
        """Tell what is lost if a part gets a place.

        :param part: the place.
        :returns: the loss, ``None`` if it cannot be had.
        """
        more = self._clear(part)
        if more is None:
            return None
        return sum(self._loss_of(job) for job in more)

    def take(self, part: PartPlacement) -> bool:
        """Give a part its place.

        :param part: the place.
        :returns: whether it could be had.
        """
        more = self._clear(part)
        if more is None:
            return False
        for job in more:
            self.victims[job.spec.job_id] = None
            if self._rule is Yield.DRAIN:
                self.loss = max(self.loss, self._loss_of(job))
            else:
                self.loss += self._loss_of(job)
            self._evict(job)
        taken = mask_of(part.first, part.accelerators)
        room = self._room(part.worker).less(taken, self._shape)
        if room is None:
            return False
        self._rooms[part.worker] = room
        return True

    def _room(self, worker: WorkerId) -> Room:
        room = self._rooms.get(worker)
        return self._ledger.fleet.room(worker) if room is None else room

    def _evict(self, job: Job) -> None:
        for part in job.parts:
            taken = mask_of(part.first, part.accelerators)
            room = self._room(part.worker).plus(taken, job.spec.shape)
            self._rooms[part.worker] = room

    def _clear(self, part: PartPlacement) -> list[Job] | None:
        shape = self._shape
        taken = mask_of(part.first, part.accelerators)
        room = self._room(part.worker)
        if room.less(taken, shape) is not None:
            return []
        more: list[Job] = []
        for job in self._evictable(part.worker, taken):
            if room.less(taken, shape) is not None:
                break
            room = _without(room, job, part.worker)
            more.append(job)
        return None if room.less(taken, shape) is None else more

    def _evictable(self, worker: WorkerId, taken: int) -> list[Job]:
        jobs = (
            job
            for job in self._ledger.jobs.on_worker(worker)
            if job.spec.job_id not in self.victims and self._gives_way(job)
        )
        return sorted(jobs, key=lambda job: self._order(job, worker, taken))

    def _order(
        self, job: Job, worker: WorkerId, taken: int
    ) -> tuple[bool, float, JobId]:
        apart = not any(
            part.worker == worker
            and taken & mask_of(part.first, part.accelerators)
            for part in job.parts
        )
        return (apart, self._loss_of(job), job.spec.job_id)

    def _gives_way(self, job: Job) -> bool:
        if not job.lent or job.status not in PLACED:
            return False
        if job.status is Status.STOPPING:
            return True
        if self._rule is Yield.URGENT:
            return job.spec.urgency is not Urgency.URGENT
        if self._rule is not Yield.AGED:
            return True
        larger = (
            job.spec.shape.total_accelerators > self._shape.total_accelerators
        )
        quanta = LARGER_QUANTA if larger else 1
        return elapsed_ms(self._ledger, job) >= QUANTUM_MS * quanta

    def _loss_of(self, job: Job) -> float:
        if job.status is Status.STOPPING:
            return 0
        if self._rule is Yield.DRAIN:
            return max(0, QUANTUM_MS - elapsed_ms(self._ledger, job))
        policy = self._ledger.catalogue.policy
        ran_ms = self._ledger.time_ms - job.changed_ms
        size = max(1, job.spec.shape.total_accelerators)
        lost = size * ran_ms / _MS_PER_S
        spare = max(0, size - self._shape.total_accelerators)
        weighed = policy.completion_weight * lost
        return weighed + policy.fragmentation_weight * spare


def choose_guaranteed(ledger: 'Ledger', job: Job) -> Candidate | None:
    """Choose the place in its owner's cells that costs least to clear.

    :param ledger: the state.
    :param job: a job that waits.
    :returns: the target, ``None`` if the owner's own jobs are in the way.
    """
    shape = job.spec.shape
    wary = frozenset(job.banned)
    positions = list(_own_positions(ledger, job))
    better = [place for place in positions if place.worker not in wary]
    target = _choose(ledger, shape, better, Yield.OWED)
    if target is None and is_desperate(ledger, job):
        return _choose(ledger, shape, positions, Yield.OWED)
    return target


def choose_aged(ledger: 'Ledger', job: Job) -> Candidate | None:
    """Choose the place of borrowers that have run for long.

    :param ledger: the state.
    :param job: a borrower that waits.
    :returns: the target, ``None`` if it has not waited for long, or if
        there is no such place.
    """
    if not is_aged(ledger, job) or not job.spec.idempotent:
        return None
    shape = job.spec.shape
    urgent = job.spec.urgency is Urgency.URGENT
    rule = Yield.URGENT if urgent else Yield.AGED
    return _choose(ledger, shape, _all_positions(ledger, shape), rule)


def choose_drain(ledger: 'Ledger', job: Job) -> Candidate | None:
    """Choose the place that a large gang will have soonest.

    Nothing new starts there, so what runs there only grows older, and the
    choice stays the same until the gang gets the place.

    :param ledger: the state.
    :param job: a borrower that waits.
    :returns: the target, ``None`` if the job is small or just came.
    """
    shape = job.spec.shape
    large = shape.total_accelerators >= LARGE_ACCELERATORS
    if not large or elapsed_ms(ledger, job) < DRAIN_AFTER_MS:
        return None
    return choose_soonest(ledger, shape)


def choose_soonest(ledger: 'Ledger', shape: Shape) -> Candidate | None:
    """Choose the place in which borrowers can be asked to stop soonest.

    :param ledger: the state.
    :param shape: what needs the place.
    :returns: the target, ``None`` if jobs that stay are in the way.
    """
    return _choose(ledger, shape, _all_positions(ledger, shape), Yield.DRAIN)


def is_desperate(ledger: 'Ledger', job: Job) -> bool:
    """Tell whether a job would rather go back to where it failed than wait.

    :param ledger: the state.
    :param job: a job that waits.
    :returns: whether no other place is likely to be found.
    """
    waited = elapsed_ms(ledger, job) >= PATIENCE_MS
    return waited or not job.spec.idempotent


def is_aged(ledger: 'Ledger', job: Job) -> bool:
    """Tell whether a job has waited for long.

    :param ledger: the state.
    :param job: a job that waits.
    :returns: whether others may have to give way to it.
    """
    urgent = job.spec.urgency is Urgency.URGENT
    return urgent or elapsed_ms(ledger, job) >= PATIENCE_MS


def choose(ledger: 'Ledger', job: Job) -> tuple[Candidate, bool] | None:
    """Choose the place for which others must give way to a job.

    :param ledger: the state.
    :param job: a job that waits.
    :returns: the target and whether it is lent, ``None`` if there is none.
    """
    own = choose_guaranteed(ledger, job)
    if own is not None:
        return own, False
    aged = choose_aged(ledger, job)
    return None if aged is None else (aged, True)


def _choose(
    ledger: 'Ledger',
    shape: Shape,
    positions: Iterable[PartPlacement],
    rule: Yield,
) -> Candidate | None:
    groups: dict[str, list[PartPlacement]] = {}
    for place in positions:
        spec = ledger.fleet.spec(place.worker)
        name = domain(spec, shape.adjacency) if spec else ''
        groups.setdefault(name, []).append(place)
    best: Candidate | None = None
    for _, group in sorted(groups.items()):
        if len(group) < shape.parts:
            continue
        target = _fill(Trial(ledger, shape, rule), group, shape.parts)
        best = _cheaper(best, target)
    return best


def _cheaper(
    one: Candidate | None, other: Candidate | None
) -> Candidate | None:
    if one is None or other is None:
        return one or other
    return other if other.loss < one.loss else one


def _fill(
    trial: Trial, group: Iterable[PartPlacement], wanted: int
) -> Candidate | None:
    priced = [(trial.price(place), place) for place in group]
    ranked = sorted(
        (price, place) for price, place in priced if price is not None
    )
    parts: list[PartPlacement] = []
    for _, place in ranked:
        if trial.take(place):
            parts.append(place)
        if len(parts) == wanted:
            return Candidate(tuple(parts), tuple(trial.victims), trial.loss)
    return None


def _own_positions(ledger: 'Ledger', job: Job) -> Iterator[PartPlacement]:
    cells = ledger.virtual_cells
    for key, _ in cells.owned(job.spec.owner):
        for slot in cells.slots_of(key):
            if ledger.fleet.is_open(slot.place.worker):
                width = slot.place.first + slot.place.accelerators
                room = cells.slot_room(slot)
                yield from _positions(
                    slot.place.worker, room, width, job.spec.shape
                )


def _all_positions(ledger: 'Ledger', shape: Shape) -> Iterator[PartPlacement]:
    holds = ledger.reservations.holds()
    for spec in ledger.fleet.specs():
        if ledger.fleet.is_open(spec.worker):
            room = Room(0, spec.cores, spec.memory_mib)
            held = holds.get(spec.worker)
            if held is not None:
                room = room.without(held)
            yield from _positions(spec.worker, room, spec.accelerators, shape)


def _positions(
    worker: WorkerId, room: Room, width: int, shape: Shape
) -> Iterator[PartPlacement]:
    size = slot_size(shape.accelerators)
    starts = free_slots(room.busy, width, size)
    if size == 0:
        starts *= shape.parts
    for first in starts[: shape.parts]:
        left = room.less(mask_of(first, size), shape)
        if left is None:
            return
        yield PartPlacement(worker, first, size)
        room = left


def _without(room: Room, job: Job, worker: WorkerId) -> Room:
    for part in job.parts:
        if part.worker == worker:
            taken = mask_of(part.first, part.accelerators)
            room = room.plus(taken, job.spec.shape)
    return room


def elapsed_ms(ledger: 'Ledger', job: Job) -> Millis:
    """Tell for how long a job has been in its state.

    :param ledger: the state.
    :param job: the job.
    :returns: log time since its last change, in ms.
    """
    return max(0, ledger.time_ms - job.changed_ms)
