"""Time of one decision, and size of the fold, up to the two-year size.

Each figure is one line of JSON. The cell is full of running tasks, and one
urgent gang, one other gang and many small tasks wait.
"""

import statistics
import sys
import time

from bench.placement import show
from swifthoist_engine.catalogue import Catalogue, Queue, Team
from swifthoist_engine.cell import Cell
from swifthoist_engine.model import (
    JobSpec,
    QueueTerms,
    Resources,
    StepSpec,
    UnitId,
)
from swifthoist_engine.planner import World, decide
from swifthoist_engine.records import Claimed, Placement, Started, Submitted
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.snapshots import take_snapshot

RUNNERS = 3_300
TASKS = 63_000
JOB_WIDTH = 30
PER_RACK = 16
ROUNDS = 5
NOW_MS = 1_000_000
KEEP_MS = 120_000
RECORD_BYTES = 262_144

DECISION_MS = 50
GROWTH = 3

URGENT = QueueTerms(0, 3, 1.5, 250, 'pool')
BULK = QueueTerms(2, 3, 3, 3_000, 'pool')
CATALOGUE = Catalogue(
    1,
    (
        Queue('urgent', 'h', '/urgent/', URGENT),
        Queue('bulk', 'h', '/bulk/', BULK),
    ),
    (Team('team', frozenset(), 64),),
    0,
)
ROOM = Resources(64_000, 262_144, 2)
SMALL = StepSpec(JOB_WIDTH, Resources(2_500, 8_000, 0), 8_000)


def build(share: float) -> World:
    """Fill a cell.

    :param share: share of the two-year size.
    :returns: what a decision is made on.
    """
    cell = Cell(KEEP_MS)
    cell.fold(Claimed(1, 'bench', NOW_MS))
    count = int(RUNNERS * share)
    views = tuple(map(_view, range(count)))
    for number in range(int(TASKS * share) // JOB_WIDTH):
        _add_running(cell, number, count)
    for name, step in (
        ('waiting', SMALL),
        ('gang', SMALL._replace(width=64, gang=True)),
    ):
        cell.fold(Submitted(_spec(name, 'bulk', BULK, step)))
    gang = StepSpec(8, Resources(8_000, 32_000, 2), 2_000, gang=True)
    cell.fold(Submitted(_spec('urgent', 'urgent', URGENT, gang)))
    return World(cell, CATALOGUE, views, frozenset(), {}, NOW_MS + 100)


def _view(number: int) -> RunnerView:
    rack = f'rack-{number // PER_RACK}'
    labels = frozenset(('a', rack))
    return RunnerView(f'runner-{number}', 'pool', ROOM, labels, rack, 'zone')


def _spec(name: str, queue: str, terms: QueueTerms, step: StepSpec) -> JobSpec:
    return JobSpec(name, queue, 'team', 'text', (step,), terms, NOW_MS)


def _add_running(cell: Cell, number: int, runners: int) -> None:
    name = f'{number:016x}'
    cell.fold(Submitted(_spec(name, 'bulk', BULK, SMALL)))
    for ordinal in range(JOB_WIDTH):
        place = (number * JOB_WIDTH + ordinal) % runners
        placed = Placement(ordinal, f'runner-{place}')
        unit = UnitId(name, 0, 0, ordinal)
        cell.fold(Started(1, unit, 1, '', (placed,), NOW_MS))


def measure(world: World) -> float:
    """Time a decision.

    :param world: what it is made on.
    :returns: the median, in ms.
    """
    times: list[float] = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        decision = decide(world, 1)
        times.append((time.perf_counter() - began) * 1_000)
        assert not decision.faults
        assert any(item.unit.job == 'urgent' for item in decision.starts)
    return statistics.median(times)


def main() -> int:
    """Measure a tenth and the whole of the two-year size.

    :returns: 0 if every target holds, else 1.
    """
    small = measure(build(0.1))
    world = build(1)
    large = measure(world)
    began = time.perf_counter()
    state = world.cell.state
    snapshot = take_snapshot(state, 1, 0, RECORD_BYTES)
    took_ms = (time.perf_counter() - began) * 1_000
    size = sum(map(len, snapshot.chunks.values()))
    holds = show('decision_tenth', small, 'ms', DECISION_MS)
    holds &= show('decision_whole', large, 'ms', DECISION_MS)
    show('decision_growth', large / small, 'times', GROWTH)
    show('snapshot_bytes', size, 'bytes', None)
    show('snapshot_ms', took_ms, 'ms', None)
    return int(not holds)


if __name__ == '__main__':
    sys.exit(main())
