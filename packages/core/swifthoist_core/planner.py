"""The planner: which jobs get a place next, and who must give way."""

from typing import NamedTuple, TypeAlias

from swifthoist_core.fleet import Fleet
from swifthoist_core.guarantees import is_guaranteed
from swifthoist_core.jobs import Job, Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.records import PartPlacement
from swifthoist_core.types import JobId


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
    waiting = sorted(
        (
            job
            for job in ledger.jobs.open_jobs()
            if job.status is Status.WAITING
        ),
        key=_rank,
    )
    for job in waiting:
        decisions = _decide(ledger, job)
        if decisions:
            return decisions
    return ()


def _rank(job: Job) -> tuple[int, int, str]:
    return (job.spec.urgency, job.submitted_ms, job.spec.job_id)


def _decide(ledger: Ledger, job: Job) -> tuple[Decision, ...]:
    spec = job.spec
    within = is_guaranteed(
        ledger.catalogue, ledger.jobs, spec.owner, spec.shape
    )
    if not within and not spec.idempotent:
        return ()
    banned = frozenset(job.banned)
    parts = ledger.fleet.find(spec.shape, banned)
    if parts:
        lent = not within
        return (Place(spec.job_id, job.attempt + 1, parts, lent),)
    if not within or _awaits_reclaim(ledger, job):
        return ()
    return _reclaim(ledger, job, ledger.fleet.copy())


def _awaits_reclaim(ledger: Ledger, job: Job) -> bool:
    return any(
        other.beneficiary == job.spec.job_id
        for other in ledger.jobs.open_jobs()
    )


def _reclaim(ledger: Ledger, job: Job, trial: Fleet) -> tuple[Decision, ...]:
    lent = [
        other
        for other in ledger.jobs.open_jobs()
        if other.lent and other.status in {Status.STARTING, Status.RUNNING}
    ]
    lent.sort(key=lambda other: (-other.changed_ms, other.spec.job_id))
    decisions: list[Decision] = []
    for victim in lent:
        trial.vacate(victim.spec.shape, victim.parts)
        decisions.append(
            Reclaim(victim.spec.job_id, victim.attempt, job.spec.job_id)
        )
        if trial.find(job.spec.shape, frozenset(job.banned)):
            return tuple(decisions)
    return ()


class Explanation(NamedTuple):
    """Why a job waits.

    :ivar job_id: the job.
    :ivar status: its state.
    :ivar reason: what it waits for.
    """

    job_id: JobId
    status: str
    reason: str


def explain(ledger: Ledger, job_id: JobId) -> Explanation | None:
    """Tell why a job waits.

    :param ledger: the state at an offset.
    :param job_id: the job.
    :returns: the explanation, ``None`` if there is no such job.
    """
    job = ledger.jobs.get(job_id)
    if job is None:
        return None
    return Explanation(job_id, job.status.value, job.reason)
