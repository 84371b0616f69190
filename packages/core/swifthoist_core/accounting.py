"""What each record changes in holdings, shortfalls and service levels."""

from typing import TYPE_CHECKING

from swifthoist_core import records
from swifthoist_core.catalogue import Catalogue, Objective
from swifthoist_core.fleet import Fleet
from swifthoist_core.holdings import Holding
from swifthoist_core.jobs import ENDED, PLACED, Job, Status
from swifthoist_core.series import Outcomes
from swifthoist_core.shortfalls import Ask, Shortfall
from swifthoist_core.types import JobId, OwnerId

if TYPE_CHECKING:
    from swifthoist_core.ledger import Ledger

NO_HOLDER = 'no instance held the cell'
RECLAIMING = 'a borrower was still stopping'
FLEET_SHORT = 'the workers that are left hold less than the guarantees'
IN_USE = 'the accelerators were in use by others'
NOT_ADJACENT = 'accelerators were free, but not in the shape, or not decided'


def note_silence(ledger: 'Ledger') -> None:
    """Note, before a record is folded, that nobody could decide until now.

    :param ledger: the ledger, at the time of the record.
    """
    opened = ledger.shortfalls.opened()
    if not opened:
        return
    if ledger.cell.state.lease_until_ms < ledger.time_ms:
        causes = {item.ask.job_id: NO_HOLDER for item in opened}
        ledger.shortfalls.note(causes)


def note(ledger: 'Ledger', record: records.Record) -> None:
    """Note what an accepted record has changed.

    :param ledger: the ledger, with the record folded.
    :param record: the record.
    """
    match record:
        case records.EntryChanged():
            _settle(ledger)
            ledger.holdings.promise(_promises(ledger.catalogue))
            _hold_again(ledger)
            _review(ledger, ledger.shortfalls.owners())
        case records.WorkerJoined() | records.WorkerLeft():
            _settle(ledger)
            ledger.holdings.fleet = _accelerators(ledger.fleet)
            _hold_again(ledger)
        case records.JobSubmitted(spec=spec):
            _note_job(ledger, spec.job_id)
        case (
            records.JobPlaced(job_id=job_id)
            | records.JobEnded(job_id=job_id)
            | records.JobCancelled(job_id=job_id)
        ):
            _note_job(ledger, job_id)
        case records.JobReclaimed():
            _settle(ledger)
        case _:
            return
    _note_causes(ledger)


def _settle(ledger: 'Ledger') -> None:
    ledger.holdings.settle(ledger.time_ms)


def _note_job(ledger: 'Ledger', job_id: JobId) -> None:
    job = ledger.jobs.get(job_id)
    if job is None:
        return
    _settle(ledger)
    _note_place(ledger, job)
    spec = job.spec
    shortfalls = ledger.shortfalls
    if job.status is Status.WAITING:
        needs = spec.shape.total_accelerators
        ask = Ask(spec.owner, spec.class_name, job_id, needs)
        shortfalls.ask(ask)
    else:
        shortfalls.settle(spec.owner, job_id, ledger.time_ms)
    _review(ledger, (spec.owner,))
    if job.status in ENDED:
        _note_outcome(ledger, job)


def _note_place(ledger: 'Ledger', job: Job) -> None:
    holdings = ledger.holdings
    job_id = job.spec.job_id
    if job.status not in PLACED:
        holdings.release(job_id)
        return
    if holdings.get(job_id) is not None:
        return
    held = sum(part.accelerators for part in job.parts)
    holdings.hold(
        Holding(job_id, job.spec.owner, held, job.lent, ledger.time_ms)
    )


def _hold_again(ledger: 'Ledger') -> None:
    """Follow places that are no longer covered by a guarantee, or are now."""
    for job in ledger.jobs.open_jobs():
        holding = ledger.holdings.get(job.spec.job_id)
        if holding is not None and holding.lent != job.lent:
            ledger.holdings.release(holding.job_id)
            ledger.holdings.hold(holding._replace(lent=job.lent))


def _note_outcome(ledger: 'Ledger', job: Job) -> None:
    spec = job.spec
    if job.status in {Status.CANCELLED, Status.REFUSED}:
        return
    entry = ledger.catalogue.find(spec.owner, spec.class_name)
    within_ms = (entry.objective if entry else Objective()).within_ms
    on_time = ledger.time_ms - job.submitted_ms <= within_ms
    good = job.status is Status.DONE and on_time
    ledger.account.add_outcomes(
        ledger.time_ms,
        spec.owner,
        spec.class_name,
        Outcomes(int(good), int(not good)),
    )


def _review(ledger: 'Ledger', owners: tuple[OwnerId, ...]) -> None:
    for owner in owners:
        left = ledger.holdings.left(owner)
        ledger.shortfalls.review(owner, left, ledger.time_ms)


def _note_causes(ledger: 'Ledger') -> None:
    opened = ledger.shortfalls.opened()
    if not opened:
        return
    short = ledger.fleet.usable_accelerators() < ledger.holdings.promised()
    ledger.shortfalls.note(
        {item.ask.job_id: _cause(ledger, item, short=short) for item in opened}
    )


def _cause(ledger: 'Ledger', item: Shortfall, *, short: bool) -> str:
    # A place is kept for a job while the borrowers on it stop.
    if ledger.reservations.get(item.ask.job_id) is not None:
        return RECLAIMING
    if short:
        return FLEET_SHORT
    if ledger.fleet.free_accelerators() < item.ask.accelerators:
        return IN_USE
    return NOT_ADJACENT


def _promises(catalogue: Catalogue) -> dict[OwnerId, int]:
    promises: dict[OwnerId, int] = {}
    for versioned in catalogue.entries():
        entry = versioned.entry
        if entry is None:
            continue
        accelerators = sum(
            item.shape.total_accelerators * item.copies
            for item in entry.guarantee
        )
        promises[entry.owner] = promises.get(entry.owner, 0) + accelerators
    return promises


def _accelerators(fleet: Fleet) -> int:
    return sum(spec.accelerators for spec in fleet.specs())
