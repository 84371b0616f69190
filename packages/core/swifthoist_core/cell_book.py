"""Virtual cells as they are remembered, and the ways to look them up."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.buddies import mask_of
from swifthoist_core.fleet import Fleet
from swifthoist_core.records import PartPlacement
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Shape
from swifthoist_core.types import EntryId, JobId, Millis, OwnerId, WorkerId


class CellKey(NamedTuple):
    """Name of a virtual cell.

    :ivar entry_id: the catalogue entry that promises it.
    :ivar serial: number of the cell, never used again.
    """

    entry_id: EntryId
    serial: int


class VirtualCell(NamedTuple):
    """One copy of a guaranteed shape.

    :ivar owner: the team.
    :ivar shape: the shape.
    :ivar parts: where each part is bound, ``None`` for a part that the
        workers do not hold.
    :ivar short_since_ms: log time since when parts are missing, 0 if whole.
    :ivar retired: whether it is no longer promised and only kept until the
        jobs in it, which must not be stopped, have ended.
    """

    owner: OwnerId
    shape: Shape
    parts: tuple[PartPlacement | None, ...]
    short_since_ms: Millis = 0
    retired: bool = False

    @property
    def bound(self) -> tuple[PartPlacement, ...]:
        """The slots of the parts that are bound."""
        return tuple(place for place in self.parts if place is not None)

    @property
    def missing(self) -> int:
        """How many parts are bound to no worker."""
        return self.parts.count(None)


class Slot(NamedTuple):
    """One part of a bound cell.

    :ivar key: the cell.
    :ivar number: index of the part.
    :ivar place: where the part is bound.
    """

    key: CellKey
    number: int
    place: PartPlacement


class Use(NamedTuple):
    """A guaranteed job inside its owner's cells, placed or reserved.

    :ivar owner: the team.
    :ivar shape: the job's shape.
    :ivar parts: the job's place.
    :ivar slots: the slot that holds each of the parts.
    :ivar pinned: whether the job runs and must not be stopped.
    """

    owner: OwnerId
    shape: Shape
    parts: tuple[PartPlacement, ...]
    slots: tuple[Slot, ...]
    pinned: bool


def slots_of(key: CellKey, cell: VirtualCell) -> set[Slot]:
    """Collect the slots that a cell is bound to.

    :param key: name of the cell.
    :param cell: the cell.
    :returns: a slot for each bound part.
    """
    return {
        Slot(key, index, place)
        for index, place in enumerate(cell.parts)
        if place is not None
    }


class CellBook:
    """Virtual cells, their slots, and the guaranteed jobs in them.

    :ivar space: the workers with the room that is not promised to anyone.
    """

    DERIVED = frozenset(
        (
            '_owned',
            '_on_worker',
            '_rooms',
            '_in_use',
            '_short',
        )
    )
    """What :meth:`rebuild` computes from the rest of the state."""

    def __init__(self) -> None:
        """Start with no cell."""
        self.space = Fleet()
        self._serial = 0
        self._cells: dict[CellKey, VirtualCell] = {}
        self._uses: dict[JobId, Use] = {}
        self._owned: dict[OwnerId, dict[CellKey, None]] = {}
        self._on_worker: dict[WorkerId, dict[Slot, None]] = {}
        self._rooms: dict[Slot, Room] = {}
        self._in_use: dict[CellKey, dict[JobId, None]] = {}
        self._short: set[CellKey] = set()

    def load(
        self,
        space: Fleet,
        serial: int,
        cells: dict[CellKey, VirtualCell],
        uses: dict[JobId, Use],
    ) -> None:
        """Take over a state and build what is derived from it.

        :param space: the workers with the room that is not promised.
        :param serial: the last serial number given.
        :param cells: the cells.
        :param uses: the guaranteed jobs, by id.
        """
        self.space = space
        self._serial = serial
        self._uses = dict(uses)
        for key, cell in sorted(cells.items()):
            self._keep(key, cell)
            for slot in slots_of(key, cell):
                self._open_slot(slot, cell.shape)
        for job_id, use in uses.items():
            self._fill(job_id, use)

    def rebuild(self) -> None:
        """Build what is derived anew, after the state was loaded."""
        for derived in (
            self._owned,
            self._on_worker,
            self._rooms,
            self._in_use,
            self._short,
        ):
            derived.clear()
        self.load(self.space, self._serial, self._cells, self._uses)

    def cells(self) -> tuple[tuple[CellKey, VirtualCell], ...]:
        """All cells, by key."""
        return tuple(sorted(self._cells.items()))

    def owned(self, owner: OwnerId) -> Iterator[tuple[CellKey, VirtualCell]]:
        """Go through the cells of a team, by age.

        :param owner: the team.
        :returns: those that are promised now.
        """
        for key in sorted(self._owned.get(owner, ())):
            cell = self._cells[key]
            if not cell.retired:
                yield key, cell

    def cell(self, key: CellKey) -> VirtualCell:
        """Find a cell.

        :param key: name of the cell.
        :returns: the cell.
        """
        return self._cells[key]

    def slot_room(self, slot: Slot) -> Room:
        """Tell what the owner's guaranteed jobs leave free in a slot.

        :param slot: the slot of a bound cell.
        :returns: its room; accelerators beside the slot count as busy.
        """
        return self._rooms[slot]

    def slots_on(self, worker: WorkerId) -> tuple[Slot, ...]:
        """List the slots that are bound to a worker.

        :param worker: id of the worker.
        :returns: the slots.
        """
        return tuple(sorted(self._on_worker.get(worker, ())))

    def slots_of(self, key: CellKey) -> tuple[Slot, ...]:
        """List the slots that a cell is bound to.

        :param key: name of the cell.
        :returns: the slots, by index of the part.
        """
        return tuple(sorted(slots_of(key, self._cells[key])))

    def largest(self) -> Shape | None:
        """Find the guaranteed shape with the most accelerators."""
        shapes = {cell.shape for cell in self._cells.values()}
        return max(
            shapes,
            key=lambda shape: (shape.total_accelerators, shape),
            default=None,
        )

    def short(self) -> tuple[CellKey, ...]:
        """List the cells that lack parts or did so until now, by key."""
        return tuple(sorted(self._short))

    def use(self, job_id: JobId) -> Use | None:
        """Find a guaranteed job.

        :param job_id: id of the job.
        :returns: what it uses, ``None`` if it has and reserves nothing.
        """
        return self._uses.get(job_id)

    def users(self, key: CellKey) -> tuple[JobId, ...]:
        """List the jobs in a cell.

        :param key: name of the cell.
        :returns: ids of the jobs.
        """
        return tuple(sorted(self._in_use.get(key, ())))

    def _keep(self, key: CellKey, cell: VirtualCell) -> None:
        self._cells[key] = cell
        self._owned.setdefault(cell.owner, {})[key] = None
        unsettled = cell.missing or cell.short_since_ms
        if unsettled and not cell.retired:
            self._short.add(key)
        else:
            self._short.discard(key)

    def _open_slot(self, slot: Slot, shape: Shape) -> None:
        inside = mask_of(slot.place.first, slot.place.accelerators)
        self._rooms[slot] = Room(~inside, shape.cores, shape.memory_mib)
        self._on_worker.setdefault(slot.place.worker, {})[slot] = None

    def _fill(self, job_id: JobId, use: Use) -> None:
        for part, slot in zip(use.parts, use.slots, strict=True):
            taken = mask_of(part.first, part.accelerators)
            left = self._rooms[slot].less(taken, use.shape)
            if left is None:
                raise ValueError(f'slot of job {job_id} is taken')
            self._rooms[slot] = left
            self._in_use.setdefault(slot.key, {})[job_id] = None

    def _used(self, slot: Slot) -> bool:
        return any(
            slot in self._uses[job_id].slots
            for job_id in self._in_use.get(slot.key, ())
        )
