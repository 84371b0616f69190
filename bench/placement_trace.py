"""Seeded traces of jobs for the two users of the placement bench."""

import random
from typing import NamedTuple

from swifthoist_core.catalogue import Entry, Limits, Policy, Urgency, Work
from swifthoist_core.records import JobSpec
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape, WorkerSpec

HORIZON_MS = 1_800_000
"""Length of a trace, in ms."""

LARGE_ACCELERATORS = 32
"""A gang of so many accelerators or more is large."""

RACK_WORKERS = 6
RACKS = 4
WIDTH = 8

_WAVES = 6
_GIB = 1_024


class Kind(NamedTuple):
    """One kind of job of one team.

    :ivar team: the owner.
    :ivar class_name: class of work.
    :ivar shapes: shapes to draw from.
    :ivar urgency: order of service.
    :ivar jobs: how many in the whole trace.
    :ivar median_ms: median of the true run time, in ms.
    :ivar burst: jobs that arrive together.
    :ivar idempotent: whether it may run more than once.
    """

    team: str
    class_name: str
    shapes: tuple[Shape, ...]
    urgency: Urgency
    jobs: int
    median_ms: int
    burst: int
    idempotent: bool = True


class Arrival(NamedTuple):
    """One job of a trace.

    :ivar at_ms: when it is submitted.
    :ivar spec: the job, with a declared run time that is far from true.
    :ivar run_ms: its true run time, in ms.
    :ivar cancel_ms: when its owner takes it back, 0 for never.
    """

    at_ms: int
    spec: JobSpec
    run_ms: int
    cancel_ms: int


class Bad(NamedTuple):
    """A worker that fails everything it starts, for a time.

    :ivar worker: the worker.
    :ivar from_ms: when that begins.
    :ivar to_ms: when it ends.
    """

    worker: str
    from_ms: int
    to_ms: int


class User(NamedTuple):
    """What a user runs.

    :ivar name: name of the user.
    :ivar policy: its settings of placement.
    :ivar workers: its workers.
    :ivar entries: its catalogue.
    :ivar arrivals: its jobs, by time.
    :ivar bad: its failing workers.
    """

    name: str
    policy: Policy
    workers: tuple[WorkerSpec, ...]
    entries: tuple[Entry, ...]
    arrivals: tuple[Arrival, ...]
    bad: tuple[Bad, ...]


GANG = Shape(4, WIDTH, cores=4, adjacency=Adjacency.RACK)
_PLAN = Shape(3, WIDTH, cores=4, adjacency=Adjacency.RACK)
_PAIR = Shape(1, 2, cores=2)
_HALF = Shape(1, 4, cores=4)
_ONE = Shape(1, 1)
_DUO = Shape(2, 4, cores=4, adjacency=Adjacency.WORKER)

_GUARANTEES = (
    ('sorting', (GuaranteedShape(GANG, 2),)),
    ('planning', (GuaranteedShape(_PLAN, 2),)),
    ('checks', (GuaranteedShape(_PAIR, 8),)),
    ('scans', (GuaranteedShape(_HALF, 4),)),
)


def _kinds(scale: float) -> tuple[Kind, ...]:
    batch, soon, now = Urgency.BATCH, Urgency.INTERACTIVE, Urgency.URGENT
    small = (_ONE, _ONE, _PAIR, _HALF)
    scans = int(700 * scale)
    kinds = [
        Kind('sorting', 'sort', (GANG,), soon, 13, 120_000, 3),
        Kind('sorting', 'once', (GANG,), soon, 5, 60_000, 1, idempotent=False),
        Kind('planning', 'plan', (_PLAN, GANG), batch, 13, 120_000, 3),
        Kind('checks', 'hazard', (_ONE, _PAIR), now, 250, 4_000, 3),
        Kind('scans', 'scan', small, batch, scans, 45_000, 60),
        Kind('scans', 'long', (_DUO, _HALF), batch, 35, 240_000, 8),
    ]
    return tuple(kinds)


def make_user(
    name: str, seed: int, policy: Policy, cores: int, scale: float = 1
) -> User:
    """Make the trace of a user.

    :param name: name of the user.
    :param seed: seed of everything that is random in it.
    :param policy: its settings of placement.
    :param cores: processor cores of each worker.
    :param scale: how many scans, as a share of those of the first user.
    :returns: the trace.
    """
    rng = random.Random(seed)
    kinds = _kinds(scale)
    found: list[Arrival] = []
    for kind in kinds:
        found.extend(_arrivals(rng, kind))
    found = _cancel_waves(rng, sorted(found))
    bad = tuple(
        Bad(f'w{rng.randrange(RACKS * RACK_WORKERS):02}', at, at + 400_000)
        for at in (200_000, 900_000)
    )
    return User(
        name, policy, _workers(cores), _entries(kinds), tuple(found), bad
    )


def _workers(cores: int) -> tuple[WorkerSpec, ...]:
    return tuple(
        WorkerSpec(
            f'w{index:02}',
            1,
            '127.0.0.1:1',
            f'z{index // RACK_WORKERS}',
            f'r{index // RACK_WORKERS}',
            WIDTH,
            cores,
            cores * 2 * _GIB,
        )
        for index in range(RACKS * RACK_WORKERS)
    )


def _entries(kinds: tuple[Kind, ...]) -> tuple[Entry, ...]:
    guarantees = dict(_GUARANTEES)
    return tuple(
        Entry(
            f'{kind.team}-{kind.class_name}',
            kind.team,
            kind.class_name,
            Work.JOB,
            kind.urgency,
            Limits(concurrency=1_000, queue=10_000),
            guarantee=guarantees.pop(kind.team, ()),
        )
        for kind in kinds
    )


def _arrivals(rng: random.Random, kind: Kind) -> list[Arrival]:
    found: list[Arrival] = []
    while len(found) < kind.jobs:
        at_ms = rng.randrange(HORIZON_MS * 9 // 10)
        for _ in range(rng.randint(1, 2 * kind.burst - 1)):
            at_ms += rng.randrange(500)
            found.append(_arrival(rng, kind, at_ms, len(found)))
    return found[: kind.jobs]


def _arrival(
    rng: random.Random, kind: Kind, at_ms: int, number: int
) -> Arrival:
    run_ms = int(kind.median_ms * rng.lognormvariate(0, 0.8))
    declared = int(run_ms * 10 ** rng.uniform(-1, 1))
    spec = JobSpec(
        f'{kind.class_name}-{number:04}',
        kind.team,
        kind.class_name,
        rng.choice(kind.shapes),
        kind.urgency,
        kind.idempotent,
        declared,
    )
    return Arrival(at_ms, spec, run_ms, 0)


def _cancel_waves(rng: random.Random, arrivals: list[Arrival]) -> list[Arrival]:
    for _ in range(_WAVES):
        at_ms = rng.randrange(HORIZON_MS)
        team = rng.choice(_GUARANTEES)[0]
        arrivals = [
            item._replace(cancel_ms=at_ms + rng.randrange(1_000))
            if item.spec.owner == team
            and at_ms - 60_000 < item.at_ms < at_ms
            and rng.getrandbits(1)
            else item
            for item in arrivals
        ]
    return arrivals
