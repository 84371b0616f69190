"""What must hold of placement after every record, from first principles."""

from collections import Counter

from swifthoist_core.buddies import mask_of
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Shape
from swifthoist_core.topology import domain


def check_all(ledger: Ledger) -> None:
    """Check every promise of placement."""
    check_gangs(ledger)
    check_rooms(ledger)
    check_counts(ledger)
    check_promises(ledger)
    check_uses(ledger)


def check_counts(ledger: Ledger) -> None:
    """What the fleet counts as it goes is what its workers add up to."""
    fleet = ledger.fleet
    specs = fleet.specs()
    free = sum(
        spec.accelerators - fleet.room(spec.worker).busy.bit_count()
        for spec in specs
    )
    usable = sum(
        spec.accelerators for spec in specs if not fleet.is_leaving(spec.worker)
    )
    assert fleet.free_accelerators() == free
    assert fleet.usable_accelerators() == usable


def check_gangs(ledger: Ledger) -> None:
    """Every gang has all of its parts, near enough, or none."""
    for job in ledger.jobs.all_jobs():
        if not job.parts:
            continue
        assert len(job.parts) == job.spec.shape.parts, job
        assert job.spec.idempotent or not job.lent, job
        _check_near(ledger, job.spec.shape, job.parts)


def check_rooms(ledger: Ledger) -> None:
    """No accelerator, core or MiB is used twice."""
    total = _Totals(ledger)
    for job in ledger.jobs.all_jobs():
        total.add(job.spec.shape, job.parts)
    for worker, busy in total.busy.items():
        assert ledger.fleet.room(worker).busy == busy, worker


def check_promises(ledger: Ledger) -> None:
    """All guaranteed shapes are bound at the same time, none twice."""
    total = _Totals(ledger)
    bound: Counter[tuple[str, Shape]] = Counter()
    short: Counter[tuple[str, Shape]] = Counter()
    for key, cell in ledger.virtual_cells.cells():
        total.add(cell.shape, cell.bound)
        _check_near(ledger, cell.shape, cell.bound)
        if not cell.retired:
            bound[key.entry_id, cell.shape] += 1
            short[key.entry_id, cell.shape] += bool(cell.missing)
            assert bool(cell.missing) == bool(cell.short_since_ms), cell
    promised: Counter[tuple[str, Shape]] = Counter()
    for versioned in ledger.catalogue.entries():
        for item in versioned.entry.guarantee:
            promised[versioned.entry.entry_id, item.shape] += item.copies
    assert bound == promised, (bound, promised)


def check_uses(ledger: Ledger) -> None:
    """Each guaranteed job lies in cells of its owner, apart from others."""
    total = _Totals(ledger)
    for job in ledger.jobs.all_jobs():
        if not job.parts or job.lent:
            continue
        use = ledger.virtual_cells.use(job.spec.job_id)
        assert use is not None and use.parts == job.parts, job
        for part, slot in zip(use.parts, use.slots, strict=True):
            cell = ledger.virtual_cells.cell(slot.key)
            assert cell.owner == job.spec.owner
            assert cell.parts[slot.number] == slot.place
            assert part.worker == slot.place.worker
            inside = mask_of(slot.place.first, slot.place.accelerators)
            assert not mask_of(part.first, part.accelerators) & ~inside
        total.add(job.spec.shape, job.parts)


class _Totals:
    """What is used on each worker, which must never be more than it has."""

    def __init__(self, ledger: Ledger) -> None:
        self.busy: dict[str, int] = {
            spec.worker: 0 for spec in ledger.fleet.specs()
        }
        self._ledger = ledger
        self._cores: Counter[str] = Counter()
        self._memory: Counter[str] = Counter()

    def add(self, shape: Shape, parts: tuple[PartPlacement, ...]) -> None:
        for part in parts:
            spec = self._ledger.fleet.spec(part.worker)
            assert spec is not None, part
            taken = mask_of(part.first, part.accelerators)
            assert not self.busy[part.worker] & taken, part
            assert taken < 1 << spec.accelerators, part
            self.busy[part.worker] |= taken
            self._cores[part.worker] += shape.cores
            self._memory[part.worker] += shape.memory_mib
            assert self._cores[part.worker] <= spec.cores, part
            assert self._memory[part.worker] <= spec.memory_mib, part


def _check_near(
    ledger: Ledger, shape: Shape, parts: tuple[PartPlacement, ...]
) -> None:
    specs = [ledger.fleet.spec(part.worker) for part in parts]
    assert len({domain(spec, shape.adjacency) for spec in specs}) <= 1, parts
