"""What the fold does to guarantees and reservations as jobs and workers change.

Each function is a step of the fold in :mod:`swifthoist_core.ledger`, so it
must do the same on every instance.
"""

from typing import TYPE_CHECKING

from swifthoist_core.bindings import evacuate, mend
from swifthoist_core.buddies import mask_of
from swifthoist_core.candidates import choose
from swifthoist_core.guarantees import (
    Proposal,
    admit,
    covers,
    release,
    shape_findings,
)
from swifthoist_core.health import Failure
from swifthoist_core.job_states import Job, Status
from swifthoist_core.records import (
    JobEnded,
    JobPlaced,
    JobReclaimed,
    JobSpec,
    PartPlacement,
)
from swifthoist_core.reservations import Reservation
from swifthoist_core.room_index import Room
from swifthoist_core.shapes import WorkerSpec
from swifthoist_core.types import JobId, Millis, WorkerId

if TYPE_CHECKING:
    from swifthoist_core.ledger import Ledger

_BEYOND = (
    'a job that runs at most once takes no lent place, and the guarantee '
    'of its owner does not hold this shape'
)


def refusal_of(ledger: 'Ledger', spec: JobSpec) -> str:
    """Tell why a job can never run.

    :param ledger: the state.
    :param spec: the job.
    :returns: the reason, empty if it can.
    """
    findings = tuple(shape_findings('shape', spec.shape))
    if findings:
        return '; '.join(str(finding) for finding in findings)
    if not ledger.fleet.could_ever_fit(spec.shape):
        return 'no workers could ever hold this shape'
    return '' if _may_be_covered(ledger, spec) else _BEYOND


def adopt(ledger: 'Ledger', proposal: Proposal) -> None:
    """Put the guarantees of a catalogue change in force.

    :param ledger: the state.
    :param proposal: the change, without findings.
    """
    ledger.virtual_cells = proposal.cells
    for job_id in proposal.released:
        if ledger.reservations.get(job_id) is None:
            ledger.jobs.demote(job_id)
        else:
            ledger.reservations.drop(job_id)
    for job in sorted(ledger.jobs.waiting(), key=_job_id):
        if not _may_be_covered(ledger, job.spec):
            _refuse(ledger, job, _BEYOND)


def claim_place(ledger: 'Ledger', job: Job, record: JobPlaced) -> str:
    """Check a place and take it out of the owner's guarantee.

    :param ledger: the state.
    :param job: the job.
    :param record: the placement.
    :returns: why it is rejected, empty if accepted.
    """
    spec = job.spec
    reason = ledger.fleet.check(spec.shape, record.parts)
    if reason:
        return reason
    if not ledger.fleet.is_near(spec.shape, record.parts):
        return 'parts are not as near to each other as the shape asks'
    if record.lent:
        reason = _reserved(ledger, spec, record)
        if reason:
            return reason
        unreserve(ledger, spec.job_id)
        return ''
    pinned = not spec.idempotent
    reason = admit(ledger.virtual_cells, spec, record.parts, pinned=pinned)
    if reason:
        return reason
    ledger.reservations.drop(spec.job_id)
    _drop_lent_in_way(ledger, spec.job_id, record.parts)
    return ''


def reserve_place(ledger: 'Ledger', record: JobReclaimed) -> str:
    """Keep the place that a reclaim frees for its beneficiary.

    The target is computed here, by the rules by which the planner chose the
    victim, so that nothing is stopped for a place that would not be had.

    :param ledger: the state.
    :param record: the reclaim.
    :returns: why it is rejected, empty if accepted.
    """
    job = ledger.jobs.get(record.beneficiary)
    if job is None or job.status is not Status.WAITING:
        return 'beneficiary does not wait'
    kept = ledger.reservations.get(record.beneficiary)
    if kept is not None and record.job_id in kept.victims:
        return ''
    if kept is not None and _is_draining(ledger, kept):
        return 'another place is kept for the beneficiary'
    unreserve(ledger, record.beneficiary)
    chosen = choose(ledger, job)
    if chosen is None:
        return 'beneficiary would get no place'
    target, lent = chosen
    if record.job_id not in target.victims:
        return 'beneficiary does not need this place'
    if not lent:
        admit(ledger.virtual_cells, job.spec, target.parts)
        _drop_lent_in_way(ledger, record.beneficiary, target.parts)
    ledger.reservations.add(
        record.beneficiary,
        Reservation(
            job.spec.shape, target.parts, target.victims, lent, ledger.time_ms
        ),
    )
    return ''


def unreserve(ledger: 'Ledger', job_id: JobId) -> None:
    """Keep no place for a waiting job any longer.

    :param ledger: the state.
    :param job_id: id of the job.
    """
    ledger.reservations.drop(job_id)
    release(ledger.virtual_cells, job_id, ledger.time_ms)


def note_attempt(ledger: 'Ledger', job: Job, record: JobEnded) -> None:
    """Learn from the end of an attempt.

    :param ledger: the state.
    :param job: the job as it was during the attempt.
    :param record: the end.
    """
    release(ledger.virtual_cells, job.spec.job_id, ledger.time_ms)
    if record.outcome == 'done':
        ledger.estimates.add(job.spec, _ran_ms(ledger, job, record))
        for worker in sorted({part.worker for part in job.parts}):
            ledger.health.passed(worker)
    elif record.blamed and record.outcome in {'failed', 'unstarted'}:
        _note_failure(ledger, job, record)


def retry_workers(ledger: 'Ledger') -> int:
    """Try the workers again that were set aside for long enough.

    :param ledger: the state.
    :returns: how many there were.
    """
    due = ledger.health.due(ledger.time_ms)
    for worker in due:
        _set_aside(ledger, worker, aside=False)
    return len(due)


def join_worker(ledger: 'Ledger', spec: WorkerSpec) -> str:
    """Take a worker in.

    :param ledger: the state.
    :param spec: the worker.
    :returns: why it is rejected, empty if accepted.
    """
    reason = ledger.fleet.join(spec)
    if not reason:
        ledger.virtual_cells.space.join(spec)
        mend(ledger.virtual_cells, ledger.time_ms)
    return reason


def drain_worker(ledger: 'Ledger', worker: WorkerId) -> str:
    """Give a worker no new work, and move the guarantees on it away.

    :param ledger: the state.
    :param worker: id of the worker.
    :returns: why it is rejected, empty if accepted.
    """
    reason = ledger.fleet.drain(worker)
    if not reason:
        ledger.virtual_cells.space.drain(worker)
        _clear_worker(ledger, worker)
    return reason


def lose_worker(ledger: 'Ledger', worker: WorkerId) -> str:
    """Take a worker out on which no job has a part.

    :param ledger: the state.
    :param worker: id of the worker.
    :returns: why it is rejected, empty if accepted.
    """
    reason = ledger.fleet.lose(worker)
    if reason:
        return reason
    ledger.health.forget(worker)
    for job_id in ledger.reservations.on_worker(worker):
        unreserve(ledger, job_id)
    evacuate(ledger.virtual_cells, worker)
    ledger.virtual_cells.space.lose(worker)
    mend(ledger.virtual_cells, ledger.time_ms)
    return ''


def _may_be_covered(ledger: 'Ledger', spec: JobSpec) -> bool:
    if spec.idempotent:
        return True
    return covers(ledger.virtual_cells, spec.owner, spec.shape)


def _job_id(job: Job) -> JobId:
    return job.spec.job_id


def _refuse(ledger: 'Ledger', job: Job, reason: str) -> None:
    unreserve(ledger, job.spec.job_id)
    ledger.jobs.refuse(job.spec.job_id, reason, ledger.time_ms)
    ledger.account.add_refusal(
        ledger.time_ms, job.spec.owner, job.spec.class_name, reason
    )


def _is_draining(ledger: 'Ledger', kept: Reservation) -> bool:
    victims = (ledger.jobs.get(job_id) for job_id in kept.victims)
    return any(job is not None and job.parts for job in victims)


def _reserved(ledger: 'Ledger', spec: JobSpec, record: JobPlaced) -> str:
    holds = ledger.reservations.holds(but=spec.job_id)
    rooms: dict[WorkerId, Room] = {}
    for part in record.parts:
        held = holds.get(part.worker)
        if held is None:
            continue
        free = ledger.fleet.room(part.worker).without(held)
        taken = mask_of(part.first, part.accelerators)
        room = rooms.get(part.worker, free).less(taken, spec.shape)
        if room is None:
            return f'room on worker {part.worker} is kept for another job'
        rooms[part.worker] = room
    return ''


def _drop_lent_in_way(
    ledger: 'Ledger', job_id: JobId, parts: tuple[PartPlacement, ...]
) -> None:
    for other in ledger.reservations.in_way(job_id, parts):
        kept = ledger.reservations.get(other)
        if kept is not None and kept.lent:
            ledger.reservations.drop(other)


def _ran_ms(ledger: 'Ledger', job: Job, record: JobEnded) -> Millis:
    started = [use.started_ms for use in record.usage if use.started_ms]
    if not started:
        return ledger.time_ms - job.changed_ms
    return max(use.stopped_ms for use in record.usage) - min(started)


def _note_failure(ledger: 'Ledger', job: Job, record: JobEnded) -> None:
    spec = job.spec
    places = {*job.banned, record.blamed}
    if len(places) > 1:
        for freed in ledger.health.acquit(spec.job_id):
            _set_aside(ledger, freed, aside=False)
        return
    failure = Failure(spec.job_id, spec.owner)
    workers = len(ledger.fleet)
    known = ledger.fleet.spec(record.blamed) is not None
    if known and ledger.health.failed(
        record.blamed, failure, ledger.time_ms, workers
    ):
        _set_aside(ledger, record.blamed, aside=True)


def _set_aside(ledger: 'Ledger', worker: WorkerId, *, aside: bool) -> None:
    ledger.fleet.set_aside(worker, aside)
    ledger.virtual_cells.space.set_aside(worker, aside)
    if aside:
        _clear_worker(ledger, worker)
    else:
        mend(ledger.virtual_cells, ledger.time_ms)


def _clear_worker(ledger: 'Ledger', worker: WorkerId) -> None:
    for job_id in ledger.reservations.on_worker(worker):
        unreserve(ledger, job_id)
    evacuate(ledger.virtual_cells, worker)
    mend(ledger.virtual_cells, ledger.time_ms)
