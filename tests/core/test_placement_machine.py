"""Placement under any order of jobs, failures and changes."""

import unittest

from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from swifthoist_core import records
from swifthoist_core.job_states import Job, Status
from swifthoist_core.plan_cache import PlanCache
from swifthoist_core.planner import Place, Reclaim, plan
from swifthoist_core.records import PartPlacement
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape
from tests.core.builders import Book, job_entry, spec, worker
from tests.core.placement_checks import check_all

WORKERS = 6
OWNERS = ('a', 'b', 'c')
SHAPES = (
    Shape(1, 1),
    Shape(1, 2, cores=20),
    Shape(2, 4, adjacency=Adjacency.WORKER),
    Shape(1, 8),
    Shape(2, 8, adjacency=Adjacency.RACK),
    Shape(3, 0, cores=30),
    Shape(3, 4, adjacency=Adjacency.ZONE),
)
_MOST_DECISIONS = 60


def fold_decisions(book: Book) -> None:
    """Plan and fold until there is nothing more to decide."""
    for _ in range(_MOST_DECISIONS):
        decisions = plan(book.ledger)
        if not decisions:
            return
        for decision in decisions:
            verdict = book.append(_record_of(decision))
            assert verdict.accepted, (decision, verdict)
            check_all(book.ledger)
    raise AssertionError('the planner does not come to rest')


def _record_of(decision: Place | Reclaim) -> records.Record:
    match decision:
        case Place(job_id, attempt, parts, lent):
            return records.JobPlaced(1, job_id, attempt, parts, lent)
        case Reclaim(job_id, attempt, beneficiary):
            return records.JobReclaimed(1, job_id, attempt, beneficiary)


def end(book: Book, job: Job, outcome: str) -> None:
    """End the attempt of a job that has a place."""
    blamed = job.parts[0].worker if outcome == 'failed' else ''
    book.append(
        records.JobEnded(1, job.spec.job_id, job.attempt, outcome, (), blamed)
    )


class PlacementMachine(RuleBasedStateMachine):
    """Owners, operators, workers and the planner in any order."""

    def __init__(self) -> None:
        """Start with six workers in two racks."""
        super().__init__()
        self.book = Book()
        self.book.claim()
        self.jobs = 0
        self.incarnations = dict.fromkeys(range(WORKERS), 0)
        for index in range(WORKERS):
            self._join(index)
        pair = GuaranteedShape(Shape(2, 8, adjacency=Adjacency.RACK))
        self.book.publish(job_entry('a', pair))
        self.book.publish(job_entry('b', GuaranteedShape(Shape(1, 8), 2)))
        self.book.publish(job_entry('c'))

    def _join(self, index: int) -> None:
        self.incarnations[index] += 1
        known = worker(f'w{index}', rack=f'r{index % 2}')
        known = known._replace(incarnation=self.incarnations[index])
        self.book.append(records.WorkerJoined(1, known))

    def _placed(self) -> list[Job]:
        jobs = self.book.ledger.jobs.open_jobs()
        return [job for job in jobs if job.parts]

    @rule(
        owner=st.sampled_from(OWNERS),
        shapes=st.lists(st.sampled_from(SHAPES), min_size=1, max_size=8),
        idempotent=st.sampled_from((True, True, True, False)),
        decide=st.booleans(),
    )
    def submit(
        self, owner: str, shapes: list[Shape], idempotent: bool, decide: bool
    ) -> None:
        """An owner asks for jobs, and the holder may decide at once."""
        for shape in shapes:
            self.jobs += 1
            name = f'j{self.jobs}'
            job = spec(name, owner, shape, idempotent=idempotent)
            self.book.append(records.JobSubmitted(job, name))
        if decide:
            fold_decisions(self.book)

    @rule()
    def decide(self) -> None:
        """The holder places and reclaims."""
        fold_decisions(self.book)

    @rule(
        pick=st.integers(0, 99),
        lent=st.booleans(),
        index=st.integers(0, WORKERS - 1),
        first=st.sampled_from((0, 2, 4)),
    )
    def decide_badly(
        self, pick: int, lent: bool, index: int, first: int
    ) -> None:
        """A holder with other ideas of a good place."""
        waiting = list(self.book.ledger.jobs.waiting())
        if not waiting:
            return
        job = waiting[pick % len(waiting)]
        size = job.spec.shape.accelerators
        parts = tuple(
            PartPlacement(f'w{(index + number) % WORKERS}', first, size)
            for number in range(job.spec.shape.parts)
        )
        placed = records.JobPlaced(
            1, job.spec.job_id, job.attempt + 1, parts, lent
        )
        self.book.append(placed)

    @precondition(_placed)
    @rule(
        pick=st.integers(0, 99),
        outcome=st.sampled_from(('done', 'failed', 'unstarted')),
    )
    def finish(self, pick: int, outcome: str) -> None:
        """An attempt ends."""
        placed = self._placed()
        end(self.book, placed[pick % len(placed)], outcome)

    @rule()
    def stop(self) -> None:
        """Every attempt that was asked to stop has stopped."""
        for job in self._placed():
            if job.status is Status.STOPPING:
                end(self.book, job, 'reclaimed')

    @rule(pick=st.integers(0, 99), wave=st.integers(1, 5))
    def cancel(self, pick: int, wave: int) -> None:
        """Owners take jobs back, some at a time."""
        jobs = list(self.book.ledger.jobs.open_jobs())
        first = pick % (len(jobs) or 1)
        for job in jobs[first : first + wave]:
            record = records.JobCancelled(job.spec.job_id, job.spec.owner)
            self.book.append(record)

    def _few_are_out(self) -> bool:
        fleet = self.book.ledger.fleet
        return sum(fleet.is_open(f'w{at}') for at in range(WORKERS)) >= 5

    @precondition(_few_are_out)
    @rule(index=st.integers(0, WORKERS - 1))
    def drain(self, index: int) -> None:
        """A worker is leaving."""
        self.book.append(records.WorkerLeft(1, f'w{index}', lost=False))

    @rule(index=st.integers(0, WORKERS - 1))
    def lose(self, index: int) -> None:
        """A worker is gone, and with it every gang that had a part there."""
        leaving = self.book.ledger.fleet.is_leaving(f'w{index}')
        if not leaving and not self._few_are_out():
            return
        for job in self.book.ledger.jobs.on_worker(f'w{index}'):
            end(self.book, job, 'lost')
        self.book.append(records.WorkerLeft(1, f'w{index}', lost=True))

    @rule()
    def join(self) -> None:
        """Lost workers are back."""
        for index in range(WORKERS):
            if self.book.ledger.fleet.spec(f'w{index}') is None:
                self._join(index)

    @rule(
        owner=st.sampled_from(OWNERS),
        shapes=st.lists(st.sampled_from(SHAPES), max_size=2),
        copies=st.integers(1, 3),
    )
    def promise(self, owner: str, shapes: list[Shape], copies: int) -> None:
        """An operator changes a guarantee."""
        items = (GuaranteedShape(shape, copies) for shape in shapes)
        self.book.publish(job_entry(owner, *items))

    @rule(by_ms=st.sampled_from((200, 5_000, 70_000)))
    def wait(self, by_ms: int) -> None:
        """Time passes, and the holder renews its lease."""
        self.book.now_ms += by_ms
        self.book.append(records.CellRenewed(1, 3_000))

    @invariant()
    def every_promise_holds(self) -> None:
        """All that must hold of placement holds."""
        check_all(self.book.ledger)

    def teardown(self) -> None:
        """Check that the same log leads to the same decisions.

        The twin's indexes are built anew, as after a snapshot was loaded.
        """
        twin = Book()
        for now_ms, envelope in self.book.log:
            twin.now_ms = now_ms
            twin.append_envelope(envelope)
        self.book.ledger.plan_cache = PlanCache()
        for part in (twin.ledger.jobs, twin.ledger.fleet):
            part.rebuild()
        twin.ledger.reservations.rebuild()
        twin.ledger.virtual_cells = twin.ledger.virtual_cells.copy()
        assert plan(twin.ledger) == plan(self.book.ledger)
        cells = twin.ledger.virtual_cells.cells()
        assert cells == self.book.ledger.virtual_cells.cells()


class PlacementMachineTest(unittest.TestCase):
    """The promises of placement hold after every step."""

    def test_promises_hold_in_any_order_of_events(self) -> None:
        """Hypothesis looks for an order of events that breaks one."""
        run_machine(examples=120, steps=40)


def run_machine(examples: int, steps: int) -> None:
    """Run the machine with a fixed seed."""
    from hypothesis.stateful import run_state_machine_as_test

    run_state_machine_as_test(
        PlacementMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=examples,
            stateful_step_count=steps,
            phases=(Phase.generate,),
            suppress_health_check=list(HealthCheck),
        ),
    )
