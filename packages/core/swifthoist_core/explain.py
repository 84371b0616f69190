"""Why a job waits, on what, and when it is expected to start."""

from typing import NamedTuple

from swifthoist_core.candidates import Candidate, choose, choose_soonest
from swifthoist_core.job_states import Job, Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.types import JobId, Millis


class Explanation(NamedTuple):
    """What is known of a job's wait.

    :ivar job_id: the job.
    :ivar status: its state.
    :ivar reason: what it waits for, in plain words.
    :ivar held_by: jobs on the place that it is likely to get.
    :ivar kept_for: jobs whose reservations hold other room.
    :ivar expected_ms: log time at which it is expected to start, 0 if
        nothing is known.
    :ivar confidence: ``bound`` when the stop of others bounds it,
        ``estimate`` when it rests on run times from history, ``none``.
    """

    job_id: JobId
    status: str
    reason: str
    held_by: tuple[JobId, ...] = ()
    kept_for: tuple[JobId, ...] = ()
    expected_ms: Millis = 0
    confidence: str = 'none'


def explain_wait(ledger: Ledger, job_id: JobId) -> Explanation:
    """Explain the state of a job.

    :param ledger: the state.
    :param job_id: id of the job.
    :returns: what is known of its wait.
    """
    job = ledger.jobs.get(job_id)
    if job is None:
        return Explanation(job_id, 'unknown', 'there is no such job')
    if job.status is not Status.WAITING:
        return Explanation(job_id, job.status.value, job.reason)
    kept = ledger.reservations.get(job_id)
    if kept is not None:
        until_ms = kept.since_ms + ledger.catalogue.policy.reclaim_ms
        reason = 'a place is kept, and others are stopping on it'
        return _waiting(job, reason, kept.victims)._replace(
            expected_ms=until_ms, confidence='bound'
        )
    spec = job.spec
    entry = ledger.catalogue.find(spec.owner, spec.class_name)
    load = ledger.jobs.load(spec.owner, spec.class_name)
    if entry is None or load.placed >= entry.limits.concurrency:
        reason = 'the owner runs as many jobs as its limits allow'
        return _waiting(job, reason, ())
    return _explain_room(ledger, job)


def _explain_room(ledger: Ledger, job: Job) -> Explanation:
    chosen = choose(ledger, job)
    others = tuple(name for name, _ in ledger.reservations.all())
    if chosen is not None:
        reason = 'its place is chosen and will be placed or reclaimed next'
        reclaim_ms = ledger.catalogue.policy.reclaim_ms
        return _waiting(job, reason, chosen[0].victims)._replace(
            expected_ms=ledger.time_ms + reclaim_ms, confidence='bound'
        )
    if not job.spec.idempotent:
        reason = 'jobs of its owner use the guarantee that would hold it'
        return _waiting(job, reason, ())._replace(kept_for=others)
    soonest = choose_soonest(ledger, job.spec.shape)
    if soonest is None:
        reason = 'guaranteed jobs use every place that would hold it'
        return _waiting(job, reason, ())._replace(kept_for=others)
    reason = 'borrowers use the place that it would have soonest'
    return _waiting(job, reason, soonest.victims)._replace(
        kept_for=others,
        expected_ms=_expected_ms(ledger, soonest),
        confidence='estimate',
    )


def _expected_ms(ledger: Ledger, target: Candidate) -> Millis:
    left = [0]
    for job_id in target.victims:
        job = ledger.jobs.get(job_id)
        if job is not None:
            elapsed = ledger.time_ms - job.changed_ms
            left.append(ledger.estimates.remaining_ms(job.spec, elapsed))
    return ledger.time_ms + max(left)


def _waiting(job: Job, reason: str, held_by: tuple[JobId, ...]) -> Explanation:
    return Explanation(job.spec.job_id, job.status.value, reason, held_by)
