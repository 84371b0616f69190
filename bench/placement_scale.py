"""Cost of a decision on a large fleet, for the placement bench."""

import time
from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Limits, Urgency, Work
from swifthoist_core.job_states import Status
from swifthoist_core.ledger import Ledger
from swifthoist_core.planner import Decision, Place, Reclaim, plan
from swifthoist_core.records import Author, Envelope, JobSpec
from swifthoist_core.shapes import Adjacency, GuaranteedShape, Shape, WorkerSpec

_HOLDER = Author('entry-1', 1)
_RACK = 6
_PARTS = 6
_DECISIONS = 300
_NS_PER_MS = 1_000_000


class Size(NamedTuple):
    """Size of a fleet and of what runs on it.

    :ivar workers: number of workers.
    :ivar accelerators: number of accelerators, eight to a worker that has any.
    :ivar teams: number of teams.
    :ivar tasks: parts of gangs that are placed.
    """

    workers: int
    accelerators: int
    teams: int
    tasks: int


LARGE = Size(3_300, 6_900, 140, 63_000)
TENTH = Size(330, 690, 14, 6_300)

_BUSY = 5
_FILLER = 't0'
_ONE = Shape(1, 1, memory_mib=256)
_TASK = Shape(_PARTS, 0, cores=1, memory_mib=256)
_ASKED = (
    Shape(1, 1, memory_mib=256),
    Shape(1, 4, memory_mib=256),
    Shape(1, 8, memory_mib=256),
    Shape(2, 8, memory_mib=256, adjacency=Adjacency.RACK),
    _TASK,
)


class Costs(NamedTuple):
    """What decisions cost, in ms, ordered.

    :ivar small: on the small fleet.
    :ivar large: on the large fleet.
    """

    small: list[float]
    large: list[float]


def decision_costs(small: Size, large: Size) -> Costs:
    """Measure the planning and folding of placements.

    The fleets take turns, so that a change of the machine's speed meets both.

    :param small: size of one fleet.
    :param large: size of the other.
    :returns: the cost of each decision.
    """
    costs = Costs([], [])
    fleets = (_Loaded(small), _Loaded(large))
    for number in range(_DECISIONS):
        for fleet, found in zip(fleets, costs, strict=True):
            found.extend(fleet.ask(number))
    return Costs(sorted(costs.small), sorted(costs.large))


class _Loaded:
    """A ledger with as many placed tasks as a size names."""

    def __init__(self, size: Size) -> None:
        self._ledger = Ledger()
        self._size = size
        self._now_ms = 1_000
        self._append(records.CellClaimed(1, 'entry-1', 1_000))
        for index in range(size.workers):
            self._append(records.WorkerJoined(1, _worker(index, size)))
        for team in range(size.teams):
            entry = _entry(team)
            self._append(records.EntryChanged(entry.entry_id, 0, entry, 'op'))
        narrow = size.accelerators // 8 * _BUSY
        for single in range(narrow):
            self._load_accelerator(single)
        for number in range((size.tasks - narrow) // _PARTS):
            self._load(number)

    def ask(self, number: int) -> Iterator[float]:
        """Submit a job, and measure each decision until it has a place."""
        self._now_ms += 50
        job_id = f'new-{number}'
        self._submit(job_id, number, _ASKED[number % len(_ASKED)])
        while self._is_waiting(job_id):
            began_ns = time.perf_counter_ns()
            decisions = plan(self._ledger)
            for decision in decisions:
                self._fold(decision)
            yield (time.perf_counter_ns() - began_ns) / _NS_PER_MS
            if not decisions:
                raise RuntimeError(f'no place for {job_id}')
            self._stop(decisions)
        self._end(job_id, 'done')

    def _is_waiting(self, job_id: str) -> bool:
        job = self._ledger.jobs.get(job_id)
        return job is not None and job.status is Status.WAITING

    def _fold(self, decision: Decision) -> None:
        match decision:
            case Place():
                self._append(records.JobPlaced(1, *decision))
            case Reclaim():
                self._append(records.JobReclaimed(1, *decision))

    def _stop(self, decisions: tuple[Decision, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Reclaim):
                self._end(decision.job_id, 'reclaimed')
                again = records.JobCancelled(decision.job_id, _FILLER)
                self._append(again)

    def _load_accelerator(self, number: int) -> None:
        job_id = f'one-{number}'
        spec = JobSpec(
            job_id, _FILLER, 'work', _ONE, Urgency.BATCH, True, 60_000
        )
        self._append(records.JobSubmitted(spec, job_id))
        worker, first = divmod(number, _BUSY)
        part = records.PartPlacement(f'w{worker:04}', first, 1)
        self._append(records.JobPlaced(1, job_id, 1, (part,), True))

    def _load(self, number: int) -> None:
        job_id = f'task-{number}'
        self._submit(job_id, number, _TASK)
        parts = tuple(
            records.PartPlacement(
                f'w{(number * _PARTS + part) % self._size.workers:04}', 0, 0
            )
            for part in range(_PARTS)
        )
        self._append(records.JobPlaced(1, job_id, 1, parts, True))

    def _submit(self, job_id: str, number: int, shape: Shape) -> None:
        team = f't{number % self._size.teams}'
        spec = JobSpec(job_id, team, 'work', shape, Urgency.BATCH, True, 60_000)
        self._append(records.JobSubmitted(spec, job_id))

    def _end(self, job_id: str, outcome: str) -> None:
        self._append(records.JobEnded(1, job_id, 1, outcome, ()))

    def _append(self, record: records.Record) -> None:
        ledger = self._ledger
        envelope = Envelope(_HOLDER, ledger.offset + 1, record)
        verdict = ledger.fold(ledger.offset, self._now_ms, envelope)
        if not verdict.accepted:
            raise RuntimeError(f'{record}: {verdict.reason}')


def _worker(index: int, size: Size) -> WorkerSpec:
    wide = index < size.accelerators // 8
    rack = index // _RACK
    return WorkerSpec(
        f'w{index:04}',
        1,
        '127.0.0.1:1',
        f'z{rack % 4}',
        f'r{rack}',
        8 if wide else 0,
        64,
        262_144,
    )


def _entry(team: int) -> Entry:
    guarantee = GuaranteedShape(Shape(1, 8, cores=4, memory_mib=8_192), 3)
    return Entry(
        f'e{team}',
        f't{team}',
        'work',
        Work.JOB,
        Urgency.BATCH,
        Limits(concurrency=100_000, queue=100_000),
        guarantee=(guarantee,),
    )
