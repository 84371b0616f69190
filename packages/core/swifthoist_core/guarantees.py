"""Guarantees: what each owner can always get, and whether it all fits."""

from collections.abc import Iterator

from swifthoist_core.catalogue import Catalogue, Entry
from swifthoist_core.errors import Finding
from swifthoist_core.fleet import Fleet
from swifthoist_core.jobs import Job, Jobs
from swifthoist_core.shapes import Shape
from swifthoist_core.types import EntryId, OwnerId


def admission_findings(
    catalogue: Catalogue, fleet: Fleet, entry_id: EntryId, entry: Entry | None
) -> tuple[Finding, ...]:
    """Find what speaks against putting an entry in force.

    :param catalogue: the catalogue in force.
    :param fleet: the workers.
    :param entry_id: id of the entry.
    :param entry: its new content, ``None`` when it is withdrawn.
    :returns: every finding, with its place.
    """
    if entry is None:
        return ()
    findings: list[Finding] = []
    other = catalogue.clash(entry)
    if other is not None:
        problem = f'entry {other} is for the same owner and class'
        findings.append(Finding('class_name', problem))
    idle = _idle(fleet)
    for shape in _promised(catalogue, entry_id):
        idle.occupy(shape, idle.find(shape))
    for place, shape in _wanted(entry):
        parts = idle.find(shape)
        if not parts:
            problem = 'the workers do not hold this beside other guarantees'
            findings.append(Finding(place, problem))
        idle.occupy(shape, parts)
    return tuple(findings)


def is_guaranteed(
    catalogue: Catalogue, jobs: Jobs, owner: OwnerId, shape: Shape
) -> bool:
    """Tell whether a gang is within what is left of its owner's guarantee.

    :param catalogue: the catalogue in force.
    :param jobs: the jobs.
    :param owner: the team.
    :param shape: what the gang needs.
    :returns: whether the owner can claim a place for it.
    """
    promised = sum(
        item.shape.total_accelerators * item.copies
        for versioned in catalogue.entries()
        if versioned.entry and versioned.entry.owner == owner
        for item in versioned.entry.guarantee
    )
    used = sum(
        job.spec.shape.total_accelerators
        for job in jobs.open_jobs()
        if _counts(job, owner)
    )
    return used + shape.total_accelerators <= promised


def _counts(job: Job, owner: OwnerId) -> bool:
    return bool(job.parts) and not job.lent and job.spec.owner == owner


def _idle(fleet: Fleet) -> Fleet:
    idle = Fleet()
    for spec in fleet.specs():
        idle.join(spec)
    return idle


def _promised(catalogue: Catalogue, but: EntryId) -> Iterator[Shape]:
    for versioned in catalogue.entries():
        entry = versioned.entry
        if entry is None or entry.entry_id == but:
            continue
        yield from (shape for _, shape in _wanted(entry))


def _wanted(entry: Entry) -> Iterator[tuple[str, Shape]]:
    for index, item in enumerate(entry.guarantee):
        for _ in range(item.copies):
            yield f'guarantee[{index}]', item.shape
