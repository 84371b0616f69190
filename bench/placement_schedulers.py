"""What the placement bench compares: the ledger and two baselines."""

from collections.abc import Iterator
from typing import NamedTuple

from bench.placement_trace import User
from bench.placement_world import Start, Stop
from swifthoist_core import records
from swifthoist_core.bindings import shortfalls
from swifthoist_core.fleet import Fleet, Search
from swifthoist_core.job_states import ENDED, Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.planner import Decision, Place, Reclaim, plan
from swifthoist_core.records import Author, Envelope, JobSpec, PartPlacement
from swifthoist_core.shapes import Adjacency
from swifthoist_core.topology import domain

_HOLDER = Author('entry-1', 1)
_MOST_FAILURES = 3


class LedgerScheduler:
    """The project's own placement, through the ledger and the planner.

    :ivar ledger: the state.
    :ivar violations: guaranteed shapes that were short, and decisions of
        the planner that the fold rejected.
    """

    def __init__(self, user: User) -> None:
        """Take the workers in and publish the catalogue.

        :param user: what is run.
        """
        self.ledger = Ledger()
        self.violations = 0
        self._now_ms = 0
        self._append(records.CellClaimed(1, _HOLDER.instance, 1_000))
        for spec in user.workers:
            self._append(records.WorkerJoined(1, spec))
        for entry in user.entries:
            changed = records.EntryChanged(entry.entry_id, 0, entry, 'bench')
            self._append(changed)
        self._append(records.PolicyChanged(0, user.policy, 'bench'))

    def submit(self, spec: JobSpec, now_ms: int) -> None:
        """Take a job in."""
        self._now_ms = now_ms
        self._append(records.JobSubmitted(spec, spec.job_id))

    def cancel(self, spec: JobSpec, now_ms: int) -> list[Stop]:
        """Take a job back."""
        self._now_ms = now_ms
        job = self.ledger.jobs.get(spec.job_id)
        if job is None or job.status in ENDED:
            return []
        self._append(records.JobCancelled(spec.job_id, spec.owner))
        return [Stop(spec.job_id, 'cancelled')] if job.parts else []

    def started(self, job_id: str, now_ms: int) -> None:
        """Note that every part runs."""
        self._now_ms = now_ms
        job = self.ledger.jobs.get(job_id)
        if job is not None and job.status is Status.STARTING:
            self._append(records.JobStarted(1, job_id, job.attempt))

    def ended(
        self, job_id: str, outcome: str, blamed: str, ran_ms: int, now_ms: int
    ) -> None:
        """Note that an attempt is over."""
        self._now_ms = now_ms
        job = self.ledger.jobs.get(job_id)
        if job is None:
            return
        usage = tuple(
            records.PartUsage(
                number,
                part.worker,
                part.accelerators,
                now_ms - ran_ms if ran_ms else 0,
                now_ms,
            )
            for number, part in enumerate(job.parts)
        )
        ended = records.JobEnded(1, job_id, job.attempt, outcome, usage, blamed)
        self._append(ended)

    def decide(self, now_ms: int) -> list[Start | Stop]:
        """Decide what to start and stop."""
        self._now_ms = now_ms
        self._append(records.CellRenewed(1, 1_000))
        made: list[Start | Stop] = []
        decisions = plan(self.ledger)
        while decisions:
            made.extend(self._fold(item) for item in decisions)
            decisions = plan(self.ledger)
        self.violations += len(shortfalls(self.ledger.virtual_cells))
        return made

    def _fold(self, decision: Decision) -> Start | Stop:
        match decision:
            case Place(job_id, attempt, parts, lent):
                self._append(records.JobPlaced(1, job_id, attempt, parts, lent))
                return Start(job_id, parts)
            case Reclaim(job_id, attempt, beneficiary):
                self._append(
                    records.JobReclaimed(1, job_id, attempt, beneficiary)
                )
                return Stop(job_id, 'reclaimed')

    def _append(self, record: records.Record) -> None:
        ledger = self.ledger
        envelope = Envelope(_HOLDER, ledger.offset + 1, record)
        verdict = ledger.fold(ledger.offset, self._now_ms, envelope)
        if not verdict.accepted:
            raise RuntimeError(f'{record}: {verdict.reason}')


class Held(NamedTuple):
    """A job of a baseline on its place.

    :ivar spec: the job.
    :ivar parts: its place.
    """

    spec: JobSpec
    parts: tuple[PartPlacement, ...]


class FirstFit:
    """Jobs in order of arrival, each on the first workers that hold it.

    With one pool for all teams this is FIFO first-fit, with a pool for each
    team it is a static split. A strict one starts no job before an older
    one of the same pool; one that is not strict passes over what does not
    fit.
    """

    def __init__(
        self, user: User, pools: dict[str, frozenset[str]], *, strict: bool
    ) -> None:
        """Start with an idle fleet.

        :param user: what is run.
        :param pools: workers that each team may use.
        :param strict: whether a job that does not fit holds up the rest.
        """
        self._fleet = Fleet()
        self._pools = pools
        self._strict = strict
        for known in user.workers:
            self._fleet.join(known)
        self._waiting: dict[str, JobSpec] = {}
        self._placed: dict[str, Held] = {}
        self._banned: dict[str, frozenset[str]] = {}
        self._changed = False

    def submit(self, spec: JobSpec, now_ms: int) -> None:
        """Take a job in."""
        self._waiting[spec.job_id] = spec
        self._changed = True

    def cancel(self, spec: JobSpec, now_ms: int) -> list[Stop]:
        """Take a job back."""
        self._waiting.pop(spec.job_id, None)
        self._changed = True
        placed = spec.job_id in self._placed
        return [Stop(spec.job_id, 'cancelled')] if placed else []

    def started(self, job_id: str, now_ms: int) -> None:
        """Note that every part runs."""

    def ended(
        self, job_id: str, outcome: str, blamed: str, ran_ms: int, now_ms: int
    ) -> None:
        """Note that an attempt is over."""
        spec, parts = self._placed.pop(job_id)
        self._fleet.vacate(spec.shape, parts)
        self._changed = True
        if outcome != 'failed':
            return
        banned = self._banned.get(job_id, frozenset()) | {blamed}
        self._banned[job_id] = banned
        if spec.idempotent and len(banned) < _MOST_FAILURES:
            self._waiting[job_id] = spec

    def decide(self, now_ms: int) -> list[Start | Stop]:
        """Start the jobs that fit, in order of arrival."""
        if not self._changed:
            return []
        self._changed = False
        return list(self._starts())

    def _starts(self) -> Iterator[Start]:
        refused: set[object] = set()
        for job_id, spec in tuple(self._waiting.items()):
            pool = self._pools[spec.owner]
            banned = self._banned.get(job_id, frozenset())
            wanted = pool if self._strict else (pool, spec.shape, banned)
            if wanted in refused:
                continue
            parts = self._first(spec, pool - banned)
            if not parts:
                refused.add(wanted)
                continue
            self._waiting.pop(job_id)
            self._fleet.occupy(spec.shape, parts)
            self._placed[job_id] = Held(spec, parts)
            yield Start(job_id, parts)

    def _first(
        self, spec: JobSpec, pool: frozenset[str]
    ) -> tuple[PartPlacement, ...]:
        level = Adjacency.WORKER
        if spec.shape.parts > 1:
            level = spec.shape.adjacency
        names = (item.worker for item in self._fleet.specs())
        search = Search(frozenset(names) - pool)
        for known in self._fleet.specs():
            within = domain(known, level)
            parts = self._fleet.find_within(spec.shape, within, search)
            if parts:
                return parts
        return ()
