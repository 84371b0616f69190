"""How virtual cells are bound to workers, moved and mended."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from swifthoist_core.buddies import mask_of, slot_size
from swifthoist_core.cell_book import CellKey, VirtualCell
from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Shape
from swifthoist_core.topology import domain
from swifthoist_core.types import EntryId, Millis, OwnerId, WorkerId
from swifthoist_core.virtual_cells import VirtualCells


class Shortfall(NamedTuple):
    """A guaranteed shape that the workers left cannot hold.

    :ivar owner: whose shape is short.
    :ivar entry_id: the entry that promises it.
    :ivar shape: the shape.
    :ivar parts: how many of its parts have no worker.
    :ivar accelerators: how many accelerators these parts need.
    :ivar since_ms: log time since when.
    """

    owner: OwnerId
    entry_id: EntryId
    shape: Shape
    parts: int
    accelerators: int
    since_ms: Millis


_Saved = dict[CellKey, VirtualCell]


def shortfalls(cells: VirtualCells) -> tuple[Shortfall, ...]:
    """Report the guaranteed shapes that are short of workers.

    :param cells: the virtual cells.
    :returns: one for each cell that lacks parts, by entry.
    """
    return tuple(
        Shortfall(
            cell.owner,
            key.entry_id,
            cell.shape,
            cell.missing,
            cell.missing * cell.shape.accelerators,
            cell.short_since_ms,
        )
        for key, cell in cells.cells()
        if cell.missing and not cell.retired
    )


def evacuate(cells: VirtualCells, worker: WorkerId) -> None:
    """Unbind every idle part from a worker that takes no new work.

    :param cells: the virtual cells.
    :param worker: the worker.
    """
    for key in dict.fromkeys(slot.key for slot in cells.slots_on(worker)):
        cells.unbind(key, worker)


def mend(cells: VirtualCells, time_ms: Millis) -> None:
    """Bind the parts that have no worker, moving idle cells if need be.

    :param cells: the virtual cells.
    :param time_ms: log time now.
    """
    short = cells.short()
    left = [key for key in short if not complete(cells, key)]
    if left:
        _repack(cells)
    for key in short:
        cells.mark_short(key, time_ms)


def complete(cells: VirtualCells, key: CellKey) -> bool:
    """Bind the missing parts of a cell without moving any other cell.

    :param cells: the virtual cells.
    :param key: name of the cell.
    :returns: whether the cell is whole now.
    """
    before = cells.cell(key)
    if before.bound and _extend(cells, key):
        return True
    cells.unbind(key)
    if _extend(cells, key):
        return True
    cells.rebind(key, before)
    return False


def move(
    cells: VirtualCells,
    owner: OwnerId,
    shape: Shape,
    parts: tuple[PartPlacement, ...],
    *,
    trial: bool = False,
) -> bool:
    """Move an idle cell of an owner so that it holds a place.

    Idle parts of cells that are in the way move elsewhere; if one of them
    finds no other slot, nothing moves.

    :param cells: the virtual cells.
    :param owner: the team.
    :param shape: shape of its job.
    :param parts: place of the job.
    :param trial: whether to leave everything as it was.
    :returns: whether the place lies in the owner's cells now.
    """
    for key, cell in tuple(cells.owned(owner)):
        if cells.users(key) or not _could_hold(cell.shape, shape):
            continue
        target = _slots_around(cell.shape, parts)
        whole = len(target) == cell.shape.parts
        if whole and _swap(cells, key, target, trial):
            return True
    return False


def _extend(cells: VirtualCells, key: CellKey) -> bool:
    cell = cells.cell(key)
    if not cell.missing:
        return True
    wanted = cell.shape._replace(parts=cell.missing)
    if not cell.bound:
        found = cells.space.find(wanted)
    else:
        spec = cells.space.spec(cell.bound[0].worker)
        if spec is None:
            return False
        near = domain(spec, cell.shape.adjacency)
        found = cells.space.find_within(wanted, near)
    return bool(found) and cells.bind(key, found)


def _repack(cells: VirtualCells) -> None:
    idle = [key for key, _ in cells.cells() if not cells.users(key)]
    saved = _unbind(cells, idle)
    for rank in (_by_slot, _by_gang):
        missed = [
            key
            for key in _ordered(cells, idle, rank)
            if not complete(cells, key)
        ]
        if not any(_was_whole(saved, key) for key in missed):
            return
        _unbind(cells, idle)
    _restore(cells, saved)


_Rank = Callable[[VirtualCell, CellKey], tuple[int, int, int]]


def _ordered(
    cells: VirtualCells, keys: Iterable[CellKey], rank: _Rank
) -> list[CellKey]:
    return sorted(keys, key=lambda key: rank(cells.cell(key), key))


def _by_slot(cell: VirtualCell, key: CellKey) -> tuple[int, int, int]:
    size = slot_size(cell.shape.accelerators)
    return (-size, -cell.shape.total_accelerators, key.serial)


def _by_gang(cell: VirtualCell, key: CellKey) -> tuple[int, int, int]:
    near = int(cell.shape.adjacency)
    return (near, -cell.shape.total_accelerators, key.serial)


def _was_whole(saved: _Saved, key: CellKey) -> bool:
    return not saved[key].missing


def _could_hold(promised: Shape, wanted: Shape) -> bool:
    return (
        promised.parts == wanted.parts
        and slot_size(promised.accelerators) >= slot_size(wanted.accelerators)
        and promised.cores >= wanted.cores
        and promised.memory_mib >= wanted.memory_mib
    )


def _slots_around(
    promised: Shape, parts: Iterable[PartPlacement]
) -> tuple[PartPlacement, ...]:
    size = slot_size(promised.accelerators)
    around = (
        PartPlacement(part.worker, part.first - part.first % max(1, size), size)
        for part in parts
    )
    if size == 0:
        return tuple(around)
    return tuple(dict.fromkeys(around))


def _swap(
    cells: VirtualCells,
    key: CellKey,
    target: tuple[PartPlacement, ...],
    trial: bool,
) -> bool:
    in_way = _in_way(cells, key, target)
    saved = _unbind(cells, [key, *in_way])
    moved = cells.bind(key, target) and all(
        complete(cells, other) for other in in_way
    )
    if trial or not moved:
        _restore(cells, saved)
    return moved


def _in_way(
    cells: VirtualCells, key: CellKey, target: Iterable[PartPlacement]
) -> list[CellKey]:
    found: set[CellKey] = set()
    for place in target:
        taken = mask_of(place.first, place.accelerators)
        for slot in cells.slots_on(place.worker):
            bound = mask_of(slot.place.first, slot.place.accelerators)
            if taken & bound and slot.key != key:
                found.add(slot.key)
    return sorted(found)


def _unbind(cells: VirtualCells, keys: Iterable[CellKey]) -> _Saved:
    saved: _Saved = {}
    for key in keys:
        saved[key] = cells.cell(key)
        cells.unbind(key)
    return saved


def _restore(cells: VirtualCells, saved: _Saved) -> None:
    for key in saved:
        cells.unbind(key)
    for moved, before in saved.items():
        cells.rebind(moved, before)
