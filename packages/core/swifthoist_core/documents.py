"""Documents of the administration API, and what they become."""

import typing
from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

from swifthoist_core.catalogue import (
    Entry,
    Limits,
    Objective,
    Policy,
    Urgency,
    Work,
)
from swifthoist_core.checks import check_document
from swifthoist_core.errors import Finding, raise_findings
from swifthoist_core.records import JobSpec
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape

MAX_PARTS = 128
_DAY_MS = 86_400_000
_MAX_STEPS = 4_096

Name = Annotated[str, Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')]
Key = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=1, le=1_000_000)]
AdjacencyName = Literal['worker', 'rack', 'zone', 'any']
UrgencyName = Literal['urgent', 'interactive', 'batch']


class ShapeDocument(TypedDict):
    """A shape, as users write it."""

    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    accelerators: Annotated[int, Meta(ge=0, le=64)]
    cores: NotRequired[Annotated[int, Meta(ge=0, le=4_096)]]
    memory_mib: NotRequired[Annotated[int, Meta(ge=0, le=1 << 30)]]
    adjacency: NotRequired[AdjacencyName]


class GuaranteeDocument(TypedDict):
    """A guaranteed shape, as users write it."""

    shape: ShapeDocument
    copies: NotRequired[Annotated[int, Meta(ge=1, le=10_000)]]


class LimitsDocument(TypedDict, total=False):
    """Limits of an entry, as users write them."""

    rate_per_s: Annotated[float, Meta(gt=0, le=1_000_000)]
    burst: Count
    concurrency: Count
    queue: Annotated[int, Meta(ge=0, le=1_000_000)]
    deadline_ms: Annotated[int, Meta(ge=1, le=_DAY_MS)]


class ObjectiveDocument(TypedDict, total=False):
    """A service level, as users write it."""

    good_ratio: Annotated[float, Meta(gt=0, lt=1)]
    within_ms: Annotated[int, Meta(ge=1, le=_DAY_MS)]


class EntryDocument(TypedDict):
    """A catalogue entry, as operators write it."""

    owner: Name
    class_name: Name
    work: Literal['request', 'job']
    urgency: NotRequired[UrgencyName]
    limits: NotRequired[LimitsDocument]
    objective: NotRequired[ObjectiveDocument]
    guarantee: NotRequired[list[GuaranteeDocument]]
    service: NotRequired[Name]


class ChangeDocument(TypedDict):
    """A change of an entry, as operators send it."""

    expected_version: Annotated[int, Meta(ge=0)]
    entry: EntryDocument


class PolicyDocument(TypedDict, total=False):
    """Settings of placement, as operators write them."""

    completion_weight: Annotated[float, Meta(ge=0, le=1_000)]
    fragmentation_weight: Annotated[float, Meta(ge=0, le=1_000)]
    reclaim_ms: Annotated[int, Meta(ge=0, le=600_000)]


class PolicyChangeDocument(TypedDict):
    """A change of the settings of placement, as operators send it."""

    expected_version: Annotated[int, Meta(ge=0)]
    policy: PolicyDocument


JobDocument = TypedDict(
    'JobDocument',
    {
        'class': Name,
        'shape': ShapeDocument,
        'key': Key,
        'idempotent': NotRequired[bool],
        'expected_ms': NotRequired[Annotated[int, Meta(ge=1)]],
        'steps': NotRequired[Annotated[str, Meta(max_length=_MAX_STEPS)]],
    },
)
"""A job, as owners submit it."""


def read_entry(entry_id: str, content: object, place: str = '') -> Entry:
    """Make a catalogue entry of a document.

    :param entry_id: id of the entry.
    :param content: an :class:`EntryDocument`, not yet checked.
    :param place: where it stands in a larger document.
    :returns: the entry.
    :raises InvalidInputError: with every finding.
    """
    findings = list(check_document(EntryDocument, content, place))
    findings.extend(_check_id(entry_id))
    if not findings:
        document = typing.cast(EntryDocument, content)
        findings.extend(_check_entry(document, place))
    raise_findings('catalogue entry', findings)
    return _entry_of(entry_id, typing.cast(EntryDocument, content))


def read_policy(content: object) -> Policy:
    """Make settings of placement of a document.

    :param content: a :class:`PolicyDocument`, not yet checked.
    :returns: the settings.
    :raises InvalidInputError: with every finding.
    """
    raise_findings('policy', check_document(PolicyDocument, content))
    return Policy(**typing.cast(PolicyDocument, content))


def read_job(job_id: str, entry: Entry, document: JobDocument) -> JobSpec:
    """Make a job of a document that was checked.

    :param job_id: id for the job.
    :param entry: the catalogue entry that admits it.
    :param document: the checked document.
    :returns: the job.
    """
    return JobSpec(
        job_id,
        entry.owner,
        entry.class_name,
        _shape_of(document['shape']),
        entry.urgency,
        document.get('idempotent', True),
        document.get('expected_ms', 0),
        document.get('steps', ''),
    )


def entry_document(entry: Entry) -> EntryDocument:
    """Write an entry as operators write it.

    :param entry: the entry.
    :returns: a document from which :func:`read_entry` makes it again.
    """
    document = EntryDocument(
        owner=entry.owner,
        class_name=entry.class_name,
        work=entry.work.value,
        urgency=_lower(entry.urgency),
        limits=typing.cast(LimitsDocument, entry.limits._asdict()),
        objective=typing.cast(ObjectiveDocument, entry.objective._asdict()),
        guarantee=[_guarantee_document(item) for item in entry.guarantee],
    )
    if entry.service:
        document['service'] = entry.service
    return document


def shape_document(shape: Shape) -> ShapeDocument:
    """Write a shape as users write it.

    :param shape: the shape.
    :returns: the document.
    """
    return ShapeDocument(
        parts=shape.parts,
        accelerators=shape.accelerators,
        cores=shape.cores,
        memory_mib=shape.memory_mib,
        adjacency=_lower(shape.adjacency),
    )


def _check_id(entry_id: str) -> tuple[Finding, ...]:
    class _Id(TypedDict):
        entry_id: Name

    return check_document(_Id, {'entry_id': entry_id})


def _check_entry(document: EntryDocument, place: str) -> list[Finding]:
    prefix = f'{place}.' if place else ''
    is_job = document['work'] == Work.JOB.value
    findings = []
    if is_job and document.get('service'):
        problem = 'belongs to entries for requests only'
        findings.append(Finding(f'{prefix}service', problem))
    if not is_job and document.get('guarantee'):
        problem = 'belongs to entries for jobs only'
        findings.append(Finding(f'{prefix}guarantee', problem))
    if not is_job and not document.get('service'):
        problem = 'is missing; requests need a service to answer them'
        findings.append(Finding(f'{prefix}service', problem))
    return findings


def _entry_of(entry_id: str, document: EntryDocument) -> Entry:
    guarantee = tuple(
        GuaranteedShape(_shape_of(item['shape']), item.get('copies', 1))
        for item in document.get('guarantee', [])
    )
    return Entry(
        entry_id,
        document['owner'],
        document['class_name'],
        Work(document['work']),
        Urgency[document.get('urgency', 'interactive').upper()],
        Limits(**document.get('limits', {})),
        Objective(**document.get('objective', {})),
        guarantee,
        document.get('service', ''),
    )


def _shape_of(document: ShapeDocument) -> Shape:
    name = document.get('adjacency', 'any')
    return Shape(
        document['parts'],
        document['accelerators'],
        document.get('cores', 1),
        document.get('memory_mib', 1_024),
        Adjacency[name.upper()],
    )


def _guarantee_document(item: GuaranteedShape) -> GuaranteeDocument:
    return GuaranteeDocument(
        shape=shape_document(item.shape), copies=item.copies
    )


def _lower(member: Urgency | Adjacency) -> typing.Any:
    return member.name.lower()
