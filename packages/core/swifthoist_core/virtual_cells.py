"""Guarantees held as virtual cells that are bound to slots of workers.

Each copy of a guaranteed shape is one virtual cell, in the manner of HiveD
("HiveD: Sharing a GPU Cluster for Deep Learning with Guarantees", OSDI 2020):
a team sees its cells as a private cluster, and the binding of a cell to
workers may move for as long as no guaranteed job runs in it. The bindings
are disjoint at every offset, so they are themselves the proof that all
guaranteed shapes fit at the same time once lent work has stopped.
"""

from collections.abc import Iterable, Sequence

from swifthoist_core.buddies import mask_of
from swifthoist_core.cell_book import (
    CellBook,
    CellKey,
    Slot,
    Use,
    VirtualCell,
    slots_of,
)
from swifthoist_core.records import PartPlacement
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import Shape
from swifthoist_core.types import EntryId, JobId, Millis, OwnerId, WorkerId


class VirtualCells(CellBook):
    """The aggregate of virtual cells and the guaranteed jobs in them."""

    def copy(self) -> 'VirtualCells':
        """Copy the cells, for trying a change out."""
        twin = VirtualCells()
        twin.load(self.space.copy(), self._serial, self._cells, self._uses)
        return twin

    def add(self, entry_id: EntryId, owner: OwnerId, shape: Shape) -> CellKey:
        """Make a cell that is not bound yet.

        :param entry_id: the entry that promises it.
        :param owner: the team.
        :param shape: the shape.
        :returns: the name of the new cell.
        """
        self._serial += 1
        key = CellKey(entry_id, self._serial)
        self._keep(key, VirtualCell(owner, shape, (None,) * shape.parts))
        return key

    def drop(self, key: CellKey) -> None:
        """Take a cell away in which no job is.

        :param key: name of the cell.
        """
        self.unbind(key)
        cell = self._cells.pop(key)
        self._short.discard(key)
        self._owned[cell.owner].pop(key)

    def retire(self, key: CellKey) -> None:
        """Keep a cell only until the jobs in it have ended.

        :param key: name of the cell.
        """
        self._keep(key, self._cells[key]._replace(retired=True))

    def mark_short(self, key: CellKey, time_ms: Millis) -> None:
        """Note since when a cell lacks parts, or that it lacks none.

        :param key: name of the cell.
        :param time_ms: log time now.
        """
        cell = self._cells[key]
        since_ms = (cell.short_since_ms or time_ms) if cell.missing else 0
        self._keep(key, cell._replace(short_since_ms=since_ms))

    def bind(self, key: CellKey, places: Sequence[PartPlacement]) -> bool:
        """Bind missing parts of a cell to free and open slots.

        :param key: name of the cell.
        :param places: a slot for each of the parts, in their order.
        :returns: whether they were free; nothing is bound if not.
        """
        cell = self._cells[key]
        if not self.space.is_near(cell.shape, (*cell.bound, *places)):
            return False
        if self.space.occupy(cell.shape, places):
            return False
        coming = iter(places)
        parts = tuple(
            next(coming, None) if place is None else place
            for place in cell.parts
        )
        self._set_parts(key, parts)
        return True

    def unbind(self, key: CellKey, worker: WorkerId | None = None) -> None:
        """Unbind the parts of a cell that no job uses.

        :param key: name of the cell.
        :param worker: only those on this worker, ``None`` for all.
        """
        cell = self._cells[key]
        freed = [
            slot
            for slot in slots_of(key, cell)
            if worker in {None, slot.place.worker} and not self._used(slot)
        ]
        self.space.vacate(cell.shape, [slot.place for slot in freed])
        gone = {slot.number for slot in freed}
        parts = tuple(
            None if index in gone else place
            for index, place in enumerate(cell.parts)
        )
        self._set_parts(key, parts)

    def rebind(self, key: CellKey, before: VirtualCell) -> None:
        """Bind the idle parts of a cell exactly as they were.

        :param key: name of the cell.
        :param before: the cell as it was; its slots must be free again.
        """
        self.unbind(key)
        now = self._cells[key]
        back = [
            old
            for old, new in zip(before.parts, now.parts, strict=True)
            if old is not None and new is None
        ]
        self.space.occupy(now.shape, back)
        self._set_parts(key, before.parts)

    def seat(
        self, owner: OwnerId, shape: Shape, parts: Iterable[PartPlacement]
    ) -> tuple[Slot, ...]:
        """Find the slots of an owner that hold a place.

        :param owner: the team.
        :param shape: shape of the job.
        :param parts: its place.
        :returns: a slot for each part, empty if one has none.
        """
        rooms: dict[Slot, Room] = {}
        seats: list[Slot] = []
        for part in parts:
            slot = self._seat(owner, shape, part, rooms)
            if slot is None:
                return ()
            seats.append(slot)
        return tuple(seats)

    def enter(self, job_id: JobId, use: Use) -> None:
        """Note a guaranteed job in the slots that hold it.

        :param job_id: id of the job.
        :param use: what it uses.
        """
        self._uses[job_id] = use
        self._fill(job_id, use)

    def leave(self, job_id: JobId) -> Use | None:
        """Take a guaranteed job out of its slots.

        :param job_id: id of the job.
        :returns: what it used, ``None`` if nothing.
        """
        use = self._uses.pop(job_id, None)
        if use is None:
            return None
        for part, slot in zip(use.parts, use.slots, strict=True):
            taken = mask_of(part.first, part.accelerators)
            self._rooms[slot] = self._rooms[slot].plus(taken, use.shape)
            self._in_use[slot.key].pop(job_id, None)
        return use

    def _set_parts(
        self, key: CellKey, parts: tuple[PartPlacement | None, ...]
    ) -> None:
        before = self._cells[key]
        after = before._replace(parts=parts)
        self._keep(key, after)
        old, new = slots_of(key, before), slots_of(key, after)
        for gone in old - new:
            self._rooms.pop(gone)
            self._on_worker[gone.place.worker].pop(gone)
        for slot in new - old:
            self._open_slot(slot, after.shape)

    def _seat(
        self,
        owner: OwnerId,
        shape: Shape,
        part: PartPlacement,
        rooms: dict[Slot, Room],
    ) -> Slot | None:
        taken = mask_of(part.first, part.accelerators)
        for slot in self.slots_on(part.worker):
            cell = self._cells[slot.key]
            if cell.owner != owner or cell.retired:
                continue
            left = rooms.get(slot, self._rooms[slot]).less(taken, shape)
            if left is not None:
                rooms[slot] = left
                return slot
        return None
