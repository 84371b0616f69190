"""The planner: which jobs get a place next, and who must give way."""

from collections.abc import Iterator
from typing import NamedTuple, TypeAlias

from swifthoist_core.bindings import move
from swifthoist_core.candidates import (
    Candidate,
    choose_aged,
    choose_guaranteed,
    is_aged,
    is_desperate,
)
from swifthoist_core.drains import Drains
from swifthoist_core.explain import Explanation, explain_wait
from swifthoist_core.fleet import Search
from swifthoist_core.job_states import Job, Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.ordering import rank_of
from swifthoist_core.plan_cache import CACHE_MS, CachedPlan, PlacementKey
from swifthoist_core.records import PartPlacement
from swifthoist_core.reservations import Reservation
from swifthoist_core.types import JobId, WorkerId


class Place(NamedTuple):
    """Give a job a place.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt that this starts.
    :ivar parts: a place for each part.
    :ivar lent: whether the place is beyond the owner's guarantee.
    """

    job_id: JobId
    attempt: int
    parts: tuple[PartPlacement, ...]
    lent: bool


class Reclaim(NamedTuple):
    """Take a lent place back.

    :ivar job_id: the job that must stop.
    :ivar attempt: number of its attempt.
    :ivar beneficiary: the job that needs the place.
    """

    job_id: JobId
    attempt: int
    beneficiary: JobId


Decision: TypeAlias = Place | Reclaim


def plan(ledger: Ledger) -> tuple[Decision, ...]:
    """Decide what to do next for the jobs that wait.

    At most one job is given a place, so that each decision is made on the
    state that the one before it has led to.

    :param ledger: the state at an offset.
    :returns: decisions to be put on the log together, empty if none.
    """
    last = ledger.plan_cache.last
    fresh = (
        last.frees != ledger.plan_cache.frees or ledger.time_ms >= last.until_ms
    )
    if not fresh and last.changes == ledger.plan_cache.changes:
        return ()
    failed = set() if fresh else set(last.failed)
    until_ms = ledger.time_ms + CACHE_MS if fresh else last.until_ms
    decisions = _first_decisions(ledger, failed)
    changes = -1 if decisions else ledger.plan_cache.changes
    ledger.plan_cache.last = CachedPlan(
        ledger.plan_cache.frees, changes, until_ms, frozenset(failed)
    )
    return decisions


def explain(ledger: Ledger, job_id: JobId) -> Explanation:
    """Explain what a job waits for.

    :param ledger: the state.
    :param job_id: id of the job.
    :returns: what holds it, and when it is expected to start.
    """
    return explain_wait(ledger, job_id)


def _first_decisions(
    ledger: Ledger, failed: set[PlacementKey]
) -> tuple[Decision, ...]:
    drains = Drains(ledger)
    waiting = sorted(
        (job for job in ledger.jobs.waiting() if _may_run(ledger, job)),
        key=lambda job: rank_of(ledger, job),
    )
    for job in waiting:
        alike = _alike(ledger, job)
        if alike not in failed:
            decisions = _decide(ledger, job, drains)
            if decisions:
                return decisions
            failed.add(alike)
        drains.add(job)
    return ()


def _alike(ledger: Ledger, job: Job) -> PlacementKey:
    spec = job.spec
    reserved = ledger.reservations.get(spec.job_id) is not None
    return PlacementKey(
        spec.owner,
        spec.shape,
        spec.idempotent,
        job.banned,
        spec.job_id if reserved else '',
        is_aged(ledger, job),
        spec.urgency,
    )


def _may_run(ledger: Ledger, job: Job) -> bool:
    spec = job.spec
    entry = ledger.catalogue.find(spec.owner, spec.class_name)
    load = ledger.jobs.load(spec.owner, spec.class_name)
    return entry is not None and load.placed < entry.limits.concurrency


def _decide(ledger: Ledger, job: Job, drains: Drains) -> tuple[Decision, ...]:
    kept = ledger.reservations.get(job.spec.job_id)
    if kept is not None:
        return _use_reservation(ledger, job, kept)
    own = choose_guaranteed(ledger, job)
    if own is not None:
        return _decide_own(ledger, job, own)
    if not job.spec.idempotent:
        return ()
    parts = _find_lent(ledger, job, drains)
    if parts:
        return (_place(job, parts, lent=True),)
    aged = choose_aged(ledger, job)
    return () if aged is None else _reclaims(ledger, job, aged.victims)


def _use_reservation(
    ledger: Ledger, job: Job, kept: Reservation
) -> tuple[Decision, ...]:
    if not ledger.fleet.check(job.spec.shape, kept.parts):
        return (_place(job, kept.parts, lent=kept.lent),)
    return _reclaims(ledger, job, kept.victims)


def _decide_own(
    ledger: Ledger, job: Job, own: Candidate
) -> tuple[Decision, ...]:
    if not own.victims:
        return (_place(job, own.parts, lent=False),)
    parts = _find_movable(ledger, job)
    if parts:
        return (_place(job, parts, lent=False),)
    return _reclaims(ledger, job, own.victims)


def _find_movable(ledger: Ledger, job: Job) -> tuple[PartPlacement, ...]:
    search = Search(frozenset(job.banned), ledger.reservations.holds())
    shape = job.spec.shape
    parts = ledger.fleet.find(shape, search)
    cells, owner = ledger.virtual_cells, job.spec.owner
    if parts and move(cells, owner, shape, parts, trial=True):
        return parts
    return ()


def _find_lent(
    ledger: Ledger, job: Job, drains: Drains
) -> tuple[PartPlacement, ...]:
    shape = job.spec.shape
    space = ledger.virtual_cells.space
    wary = frozenset(job.banned)
    desperate = (frozenset[WorkerId](),) if is_desperate(ledger, job) else ()
    for banned in dict.fromkeys((wary, *desperate)):
        holds = drains.holds_for(job)
        for beside in (space, None):
            search = Search(banned, holds, beside)
            parts = ledger.fleet.find(shape, search)
            if parts:
                return parts
    return ()


def _place(job: Job, parts: tuple[PartPlacement, ...], *, lent: bool) -> Place:
    return Place(job.spec.job_id, job.attempt + 1, parts, lent)


def _reclaims(
    ledger: Ledger, job: Job, victims: tuple[JobId, ...]
) -> tuple[Decision, ...]:
    return tuple(_each_reclaim(ledger, job, victims))


def _each_reclaim(
    ledger: Ledger, job: Job, victims: tuple[JobId, ...]
) -> Iterator[Reclaim]:
    for victim in victims:
        other = ledger.jobs.get(victim)
        if other is None or not other.lent:
            continue
        if other.status in {Status.STARTING, Status.RUNNING}:
            yield Reclaim(victim, other.attempt, job.spec.job_id)
