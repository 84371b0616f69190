"""The catalogue of the demo: two users with four teams each."""

from typing import NamedTuple

from swifthoist_core.documents import (
    EntryDocument,
    GuaranteeDocument,
    LimitsDocument,
    ObjectiveDocument,
    ShapeDocument,
)

PLAN_SHAPE = ShapeDocument(
    parts=2, accelerators=8, cores=8, memory_mib=8_192, adjacency='rack'
)
"""What a sorting run or a capacity plan needs: two adjacent workers."""

SINGLE_SHAPE = ShapeDocument(
    parts=1, accelerators=8, cores=8, memory_mib=8_192, adjacency='worker'
)
"""What a small team is guaranteed: one whole worker."""

SMALL_SHAPE = ShapeDocument(
    parts=1, accelerators=2, cores=2, memory_mib=2_048, adjacency='any'
)
"""What a piece of a batch needs."""

IMPOSSIBLE_SHAPE = ShapeDocument(
    parts=1, accelerators=64, cores=8, memory_mib=8_192, adjacency='worker'
)
"""What no worker of the demo has."""


class User(NamedTuple):
    """One of the users and the words for its work.

    :ivar service: the service whose runners answer its requests.
    :ivar teams: its teams; the first two are large.
    :ivar check: class of its idempotent requests.
    :ivar charge: class of its requests that run at most once.
    :ivar plan: class of its gang jobs.
    :ivar batch: class of its small jobs.
    :ivar others: further classes of idempotent requests.
    """

    service: str
    teams: tuple[str, ...]
    check: str
    charge: str
    plan: str
    batch: str
    others: tuple[str, ...] = ()


USERS: tuple[User, ...] = (
    User(
        'intake',
        ('recife', 'salvador', 'natal', 'maceio'),
        'hazard-check',
        'sorting-run',
        'chemistry-sort',
        'scan-batch',
    ),
    User(
        'booking',
        ('santiago', 'valparaiso', 'rancagua', 'talca'),
        'party-confirmation',
        'deposit-charge',
        'capacity-plan',
        'nightly-batch',
        ('waiver-match',),
    ),
)

_LARGE_TEAMS = 2


def demo_entries() -> dict[str, EntryDocument]:
    """Write the entries of every team.

    :returns: documents by entry id.
    """
    entries: dict[str, EntryDocument] = {}
    for user in USERS:
        for rank, team in enumerate(user.teams):
            for entry in _team_entries(user, team, rank < _LARGE_TEAMS):
                entries[f'{team}-{entry["class_name"]}'] = entry
    return entries


def _team_entries(
    user: User, team: str, is_large: bool
) -> tuple[EntryDocument, ...]:
    shape = PLAN_SHAPE if is_large else SINGLE_SHAPE
    copies = 2 if is_large else 1
    others = (
        _request_entry(user, team, name, within_ms=2_000)
        for name in user.others
    )
    return (
        *others,
        _request_entry(user, team, user.check, within_ms=1_500),
        _request_entry(user, team, user.charge, within_ms=2_000),
        EntryDocument(
            owner=team,
            class_name=user.plan,
            work='job',
            urgency='urgent',
            objective=ObjectiveDocument(good_ratio=0.9, within_ms=15_000),
            guarantee=[GuaranteeDocument(shape=shape, copies=copies)],
        ),
        EntryDocument(
            owner=team,
            class_name=user.batch,
            work='job',
            urgency='batch',
            objective=ObjectiveDocument(good_ratio=0.9, within_ms=30_000),
        ),
    )


def _request_entry(
    user: User, team: str, class_name: str, within_ms: int
) -> EntryDocument:
    return EntryDocument(
        owner=team,
        class_name=class_name,
        work='request',
        urgency='urgent' if class_name == user.check else 'interactive',
        limits=LimitsDocument(rate_per_s=200.0, burst=100, deadline_ms=3_000),
        objective=ObjectiveDocument(good_ratio=0.99, within_ms=within_ms),
        service=user.service,
    )
