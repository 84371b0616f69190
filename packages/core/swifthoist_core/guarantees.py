"""Guarantees: what each owner can always get, and whether it all fits."""

from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core.bindings import evacuate, mend, move
from swifthoist_core.buddies import slot_size
from swifthoist_core.catalogue import Catalogue, Entry, Work
from swifthoist_core.cell_book import CellKey, Use, VirtualCell
from swifthoist_core.errors import Finding
from swifthoist_core.records import JobSpec, PartPlacement
from swifthoist_core.shapes import MAX_PARTS, Adjacency, Shape
from swifthoist_core.types import EntryId, JobId, Millis, OwnerId
from swifthoist_core.virtual_cells import VirtualCells


class Proposal(NamedTuple):
    """What a change of a catalogue entry would lead to.

    :ivar findings: what speaks against it, empty if nothing does.
    :ivar cells: the virtual cells after the change.
    :ivar released: jobs whose place is no longer guaranteed.
    """

    findings: tuple[Finding, ...]
    cells: VirtualCells
    released: tuple[JobId, ...] = ()


def propose(
    catalogue: Catalogue,
    cells: VirtualCells,
    entry_id: EntryId,
    entry: Entry | None,
    time_ms: Millis,
) -> Proposal:
    """Work out a change of a catalogue entry.

    :param catalogue: the catalogue in force.
    :param cells: the virtual cells, which are left as they are.
    :param entry_id: id of the entry.
    :param entry: its new content, ``None`` when it is withdrawn.
    :param time_ms: log time now.
    :returns: every finding, or the new cells.
    """
    findings = tuple(_plain_findings(catalogue, entry))
    if findings:
        return Proposal(findings, cells)
    twin = cells.copy()
    wanted = dict(_wanted(entry))
    places = _keep_alike(twin, entry_id, entry, wanted)
    released = _shed(twin, entry_id, frozenset(places))
    if entry is not None:
        for place in sorted(wanted.keys() - places.values()):
            key = twin.add(entry_id, entry.owner, wanted[place])
            places[key] = place
    mend(twin, time_ms)
    return Proposal(_short_findings(cells, twin, places), twin, released)


def covers(cells: VirtualCells, owner: OwnerId, shape: Shape) -> bool:
    """Tell whether a gang fits an owner's guarantee when none of it is used.

    :param cells: the virtual cells.
    :param owner: the team.
    :param shape: what the gang needs.
    :returns: whether the owner can claim a place for it.
    """
    total = 0
    for _, cell in cells.owned(owner):
        each = parts_per_slot(cell.shape, shape)
        whole = each * cell.shape.parts
        near = cell.shape.adjacency <= shape.adjacency
        if each >= shape.parts or (near and whole >= shape.parts):
            return True
        total += whole
    return shape.adjacency is Adjacency.ANY and total >= shape.parts


def parts_per_slot(promised: Shape, wanted: Shape) -> int:
    """Count the parts of a gang that fit one part of a guaranteed shape.

    :param promised: the guaranteed shape.
    :param wanted: shape of the gang.
    :returns: how many, 0 if none.
    """
    room = (
        (slot_size(promised.accelerators), slot_size(wanted.accelerators)),
        (promised.cores, wanted.cores),
        (promised.memory_mib, wanted.memory_mib),
    )
    fits = [have // need for have, need in room if need]
    return min(fits, default=wanted.parts)


def admit(
    cells: VirtualCells,
    spec: JobSpec,
    parts: tuple[PartPlacement, ...],
    *,
    pinned: bool = False,
) -> str:
    """Take a guaranteed job into its owner's cells.

    :param cells: the virtual cells.
    :param spec: the job.
    :param parts: its place.
    :param pinned: whether it starts there and must not be stopped.
    :returns: why the place is rejected, empty if accepted.
    """
    held = cells.leave(spec.job_id)
    slots = cells.seat(spec.owner, spec.shape, parts)
    if not slots and move(cells, spec.owner, spec.shape, parts):
        slots = cells.seat(spec.owner, spec.shape, parts)
    if slots:
        use = Use(spec.owner, spec.shape, parts, slots, pinned)
        cells.enter(spec.job_id, use)
        return ''
    if held is not None:
        cells.enter(spec.job_id, held)
    return 'place is beyond the guarantee of its owner'


def release(cells: VirtualCells, job_id: JobId, time_ms: Millis) -> None:
    """Take a job out of its owner's cells, and mend what it held up.

    :param cells: the virtual cells.
    :param job_id: id of the job.
    :param time_ms: log time now.
    """
    use = cells.leave(job_id)
    if use is None:
        return
    for key in sorted({slot.key for slot in use.slots}):
        if cells.cell(key).retired and not cells.users(key):
            cells.drop(key)
    for worker in sorted({part.worker for part in use.parts}):
        if not cells.space.is_open(worker):
            evacuate(cells, worker)
    mend(cells, time_ms)


def _plain_findings(
    catalogue: Catalogue, entry: Entry | None
) -> Iterator[Finding]:
    if entry is None:
        return
    other = catalogue.clash(entry)
    if other is not None:
        problem = f'entry {other} is for the same owner and class'
        yield Finding('class_name', problem)
    for index, item in enumerate(entry.guarantee):
        place = f'guarantee[{index}]'
        if entry.work is not Work.JOB:
            yield Finding(place, 'only jobs have guaranteed shapes')
        if item.copies < 1:
            yield Finding(f'{place}.copies', 'must be at least 1')
        yield from shape_findings(f'{place}.shape', item.shape)


def shape_findings(place: str, shape: Shape) -> Iterator[Finding]:
    """Find what is wrong with a shape by itself.

    :param place: path to the shape.
    :param shape: the shape.
    :returns: every finding.
    """
    if not 1 <= shape.parts <= MAX_PARTS:
        yield Finding(f'{place}.parts', f'must be 1 to {MAX_PARTS}')
    if min(shape.accelerators, shape.cores, shape.memory_mib) < 0:
        yield Finding(place, 'must not be negative')


def _wanted(entry: Entry | None) -> Iterator[tuple[str, Shape]]:
    if entry is None:
        return
    for index, item in enumerate(entry.guarantee):
        for copy in range(item.copies):
            yield f'guarantee[{index}]#{copy}', item.shape


def _short_findings(
    before: VirtualCells, after: VirtualCells, places: dict[CellKey, str]
) -> tuple[Finding, ...]:
    already = frozenset(before.short())
    return tuple(
        Finding(
            places.get(key, 'guarantee').partition('#')[0],
            _problem(key, after.cell(key)),
        )
        for key in after.short()
        if key not in already
    )


def _keep_alike(
    cells: VirtualCells,
    entry_id: EntryId,
    entry: Entry | None,
    wanted: dict[str, Shape],
) -> dict[CellKey, str]:
    if entry is None:
        return {}
    mine = sorted(
        (not cells.users(key), cell.missing, key)
        for key, cell in cells.owned(entry.owner)
        if key.entry_id == entry_id
    )
    free: dict[Shape, list[str]] = {}
    for place, shape in wanted.items():
        free.setdefault(shape, []).append(place)
    kept: dict[CellKey, str] = {}
    for _, _, key in mine:
        places = free.get(cells.cell(key).shape)
        if places:
            kept[key] = places.pop(0)
    return kept


def _shed(
    cells: VirtualCells, entry_id: EntryId, kept: frozenset[CellKey]
) -> tuple[JobId, ...]:
    released: list[JobId] = []
    for key, _ in cells.cells():
        if key.entry_id != entry_id or key in kept:
            continue
        released.extend(_leave_unpinned(cells, key))
        if cells.users(key):
            cells.retire(key)
            cells.unbind(key)
        else:
            cells.drop(key)
    return tuple(released)


def _leave_unpinned(cells: VirtualCells, key: CellKey) -> Iterator[JobId]:
    for job_id in cells.users(key):
        use = cells.use(job_id)
        if use is not None and not use.pinned:
            cells.leave(job_id)
            yield job_id


def _problem(key: CellKey, cell: VirtualCell) -> str:
    shape = cell.shape
    return (
        f'the workers do not hold {shape.parts} x {shape.accelerators} '
        f'accelerators, {shape.cores} cores and {shape.memory_mib} MiB '
        f'within one {shape.adjacency.name.lower()} beside other guarantees '
        f'(entry {key.entry_id})'
    )
