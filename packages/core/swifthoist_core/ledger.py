"""The ledger: every record folded, in order, into one state."""

from typing import NamedTuple

from swifthoist_core import accounting, records
from swifthoist_core.account import Account
from swifthoist_core.authors import Authors
from swifthoist_core.catalogue import Catalogue
from swifthoist_core.cells import Cell
from swifthoist_core.estimates import Estimates
from swifthoist_core.fleet import Fleet
from swifthoist_core.guarantees import propose
from swifthoist_core.health import Health
from swifthoist_core.holdings import Holdings
from swifthoist_core.jobs import ENDED, Job, Jobs
from swifthoist_core.placement_steps import (
    adopt,
    claim_place,
    drain_worker,
    join_worker,
    lose_worker,
    note_attempt,
    refusal_of,
    reserve_place,
    retry_workers,
    unreserve,
)
from swifthoist_core.plan_cache import PlanCache
from swifthoist_core.records import Author, Envelope, Record
from swifthoist_core.requests import Requests
from swifthoist_core.reservations import Reservations
from swifthoist_core.shortfalls import Shortfalls
from swifthoist_core.spans import SpanKey, span_of
from swifthoist_core.types import Epoch, Millis, Offset
from swifthoist_core.virtual_cells import VirtualCells

_FORGET_EVERY_MS = 60_000

_FAULTS = (LookupError, ValueError, TypeError, ArithmeticError)
"""What a record with senseless content raises, alike on every instance."""


class Verdict(NamedTuple):
    """What the fold made of a record.

    :ivar author: author of the record.
    :ivar seq: number of the record among those of its author.
    :ivar offset: offset of the record.
    :ivar reason: why it was rejected, empty if it was accepted.
    :ivar version: version that a catalogue change put in force, or 0.
    """

    author: Author
    seq: int
    offset: Offset
    reason: str
    version: int = 0

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return not self.reason


class Ledger:
    """The root aggregate; equal on every instance at equal offsets.

    :ivar offset: offset of the next record to fold.
    :ivar time_ms: log time of the last record.
    :ivar authors: which records are folded.
    :ivar cell: who decides.
    :ivar catalogue: entries in force.
    :ivar fleet: workers and what is in use on them.
    :ivar virtual_cells: guaranteed shapes and where they are bound.
    :ivar reservations: places that are kept for waiting jobs.
    :ivar estimates: run times from history.
    :ivar health: evidence against workers.
    :ivar jobs: jobs.
    :ivar requests: non-idempotent requests.
    :ivar account: who got what.
    :ivar plan_cache: what the planner remembers; no part of the state.
    """

    DERIVED = frozenset(('plan_cache',))
    """What :meth:`rebuild` starts anew, since it is no part of the state."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.offset: Offset = 0
        self.time_ms: Millis = 0
        self.authors = Authors()
        self.cell = Cell()
        self.catalogue = Catalogue()
        self.fleet = Fleet()
        self.virtual_cells = VirtualCells()
        self.reservations = Reservations()
        self.estimates = Estimates()
        self.health = Health()
        self.jobs = Jobs()
        self.requests = Requests()
        self.account = Account()
        self.holdings = Holdings()
        self.shortfalls = Shortfalls()
        self.plan_cache = PlanCache()
        self.passed_over = 0
        self._forgot_ms: Millis = 0

    def rebuild(self) -> None:
        """Forget what was planned, after the state was loaded."""
        self.plan_cache = PlanCache()

    def fold(
        self, offset: Offset, time_ms: Millis, envelope: Envelope
    ) -> Verdict:
        """Fold the next record.

        :param offset: its offset; must be :attr:`offset`.
        :param time_ms: its time in the log.
        :param envelope: the record.
        :returns: whether it took effect, and if not, why.
        :raises ValueError: when a record was left out.
        """
        self._advance(offset, time_ms)
        self.plan_cache.frees += retry_workers(self)
        author, seq, record = envelope
        reason = self.authors.add(author, seq, self.time_ms)
        if reason:
            return Verdict(author, seq, offset, reason)
        if record is None:
            return Verdict(author, seq, offset, 'unknown kind of record')
        try:
            reason = self._apply_and_note(author, record, offset)
        except _FAULTS as exc:
            self.passed_over += 1
            reason = f'faulty record: {exc!r}'
        version = 0 if reason else _version(self.catalogue, record)
        return Verdict(author, seq, offset, reason, version)

    def pass_over(self, offset: Offset, time_ms: Millis) -> None:
        """Go past an entry that is no record, as every instance does.

        :param offset: its offset; must be :attr:`offset`.
        :param time_ms: its time in the log.
        :raises ValueError: when a record was left out.
        """
        self._advance(offset, time_ms)
        self.passed_over += 1

    def _advance(self, offset: Offset, time_ms: Millis) -> None:
        if offset != self.offset:
            raise ValueError(f'expected offset {self.offset}, got {offset}')
        self.offset = offset + 1
        self.time_ms = max(self.time_ms, time_ms)
        self._forget()

    def _forget(self) -> None:
        if self.time_ms - self._forgot_ms < _FORGET_EVERY_MS:
            return
        self._forgot_ms = self.time_ms
        self.authors.forget(self.time_ms)
        self.requests.forget(self.time_ms)
        self.jobs.forget(self.time_ms)

    def _apply_and_note(
        self, author: Author, record: Record, offset: Offset
    ) -> str:
        accounting.note_silence(self)
        reason = self._apply(author, record, offset)
        if not reason:
            accounting.note(self, record)
        return reason

    def _apply(self, author: Author, record: Record, offset: Offset) -> str:
        match record:
            case records.EntryChanged() | records.PolicyChanged():
                self.plan_cache.frees += 1
                return self._apply_catalogue(record)
            case records.CellClaimed():
                return self.cell.claim(author, record, self.time_ms)
            case records.CellRenewed():
                return self.cell.renew(author, record, self.time_ms)
            case records.CellReleased():
                return self.cell.release(author, record)
            case records.RequestIntended():
                return self.requests.intend(author, record, self.time_ms)
            case records.RequestClosed():
                return self.requests.close(author, record, self.time_ms)
            case records.RequestsCounted(tallies=tallies):
                for tally in tallies:
                    self.account.add_tally(self.time_ms, tally)
                return ''
            case records.JobSubmitted():
                self.plan_cache.changes += 1
                return self._submit(record)
            case records.JobCancelled():
                self.plan_cache.frees += 1
                return self._cancel(record, offset)
            case _:
                return self._apply_decision(author, record, offset)

    def _apply_catalogue(
        self, record: records.EntryChanged | records.PolicyChanged
    ) -> str:
        match record:
            case records.PolicyChanged():
                if record.expected_version != self.catalogue.policy_version:
                    return 'version conflict'
                self.catalogue.put_policy(record.policy)
                return ''
            case records.EntryChanged():
                version = self.catalogue.version(record.entry_id)
                if record.expected_version != version:
                    return 'version conflict'
                proposal = propose(
                    self.catalogue,
                    self.virtual_cells,
                    record.entry_id,
                    record.entry,
                    self.time_ms,
                )
                if proposal.findings:
                    found = proposal.findings
                    return '; '.join(str(finding) for finding in found)
                self.catalogue.put(record.entry_id, record.entry)
                adopt(self, proposal)
                return ''

    def _apply_decision(
        self, author: Author, record: Record, offset: Offset
    ) -> str:
        epoch: Epoch = getattr(record, 'epoch', 0)
        self.plan_cache.changes += 1
        stale = self.cell.check(author, epoch)
        if stale:
            return stale
        match record:
            case records.JobPlaced():
                return self._place(record, offset)
            case records.JobStarted():
                return self.jobs.start(record, self.time_ms)
            case records.JobReclaimed():
                self.plan_cache.frees += 1
                return self._reclaim(record, offset)
            case records.JobEnded():
                self.plan_cache.frees += 1
                return self._end(record)
            case records.UsageCorrected(use=use):
                span = SpanKey(record.job_id, record.attempt, use.part)
                return self.account.correct_span(span, use, self.time_ms)
            case records.WorkerJoined(spec=spec):
                self.plan_cache.frees += 1
                return join_worker(self, spec)
            case records.WorkerLeft(worker=worker, lost=lost):
                self.plan_cache.frees += 1
                if not lost:
                    return drain_worker(self, worker)
                return _lose(self, worker)
            case _:
                return 'not a decision'

    def _submit(self, record: records.JobSubmitted) -> str:
        spec = record.spec
        entry = self.catalogue.find(spec.owner, spec.class_name)
        if entry is None:
            return 'no catalogue entry for this owner and class'
        refusal = refusal_of(self, spec)
        load = self.jobs.load(spec.owner, spec.class_name)
        if not refusal and load.waiting >= entry.limits.queue:
            refusal = 'queue of the owner is full'
        reason = self.jobs.submit(record, self.time_ms, refusal)
        if refusal and not reason:
            self.account.add_refusal(
                self.time_ms, spec.owner, spec.class_name, refusal
            )
        return reason

    def _cancel(self, record: records.JobCancelled, offset: Offset) -> str:
        reason = self.jobs.cancel(record, self.time_ms, offset)
        job = self.jobs.get(record.job_id)
        if not reason and job is not None:
            if not job.parts:
                unreserve(self, record.job_id)
            self._note_end(job)
        return reason

    def _place(self, record: records.JobPlaced, offset: Offset) -> str:
        job = self.jobs.get(record.job_id)
        if job is None:
            return 'unknown job'
        reason = self.jobs.check_place(record) or self._check_limit(job)
        if reason:
            return reason
        reason = claim_place(self, job, record)
        if reason:
            return reason
        self.fleet.occupy(job.spec.shape, record.parts)
        self.jobs.place(record, self.time_ms, offset)
        wait_ms = self.time_ms - job.submitted_ms
        if record.attempt == 1:
            self.account.add_wait(
                self.time_ms, job.spec.owner, job.spec.class_name, wait_ms
            )
        return ''

    def _check_limit(self, job: Job) -> str:
        spec = job.spec
        entry = self.catalogue.find(spec.owner, spec.class_name)
        if entry is None:
            return 'no catalogue entry for this owner and class'
        load = self.jobs.load(spec.owner, spec.class_name)
        if load.placed >= entry.limits.concurrency:
            return 'the owner runs as many jobs as its limits allow'
        return ''

    def _reclaim(self, record: records.JobReclaimed, offset: Offset) -> str:
        reason = self.jobs.check_reclaim(record)
        reason = reason or reserve_place(self, record)
        if reason:
            return reason
        self.jobs.reclaim(record, self.time_ms, offset)
        job = self.jobs.get(record.job_id)
        if job is not None:
            self.account.add_reclaim(
                self.time_ms, job.spec.owner, job.spec.class_name
            )
        return ''

    def _end(self, record: records.JobEnded) -> str:
        job = self.jobs.get(record.job_id)
        reason = self.jobs.end(record, self.time_ms)
        if reason or job is None:
            return reason
        self.fleet.vacate(job.spec.shape, job.parts)
        note_attempt(self, job, record)
        for use in record.usage:
            if use.started_ms and 0 <= use.part < len(job.parts):
                self._note_use(job, use, record.outcome)
        after = self.jobs.get(record.job_id)
        if after is not None:
            self._note_end(after)
        return ''

    def _note_use(self, job: Job, use: records.PartUsage, outcome: str) -> None:
        span = span_of(job, use, reclaimed=outcome == 'reclaimed')
        self.account.add_span(span, self.time_ms)

    def _note_end(self, job: Job) -> None:
        if job.status not in ENDED:
            return
        self.account.add_end(
            self.time_ms,
            job.spec.owner,
            job.spec.class_name,
            job.status.value,
        )


def _version(catalogue: Catalogue, record: Record) -> int:
    match record:
        case records.EntryChanged(entry_id=entry_id):
            return catalogue.version(entry_id)
        case records.PolicyChanged():
            return catalogue.policy_version
        case _:
            return 0


def _lose(ledger: Ledger, worker: str) -> str:
    for job in ledger.jobs.on_worker(worker):
        return f'job {job.spec.job_id} still holds it'
    return lose_worker(ledger, worker)
