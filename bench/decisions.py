"""Duration of decisions and size of a snapshot, up to the two-year size.

Each figure is one line of JSON. The first benchmark times a decision in a cell
full of running tasks, where one urgent gang, one other gang and many small tasks
wait. The saturated one simulates the load of a large site and times each
decision.
"""

import statistics
import sys
import time

from bench.load import LARGE, SiteLoad
from bench.load_simulation import LoadSimulation
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
from swifthoist_engine.occupancy import Occupancy
from swifthoist_engine.planner import Decision, DecisionInput, decide
from swifthoist_engine.records import Claimed, Placement, Started, Submitted
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.snapshots import take_snapshot

RUNNERS = 3_300
TASKS = 63_000
JOB_WIDTH = 30
RUNNERS_PER_RACK = 16
ROUNDS = 5
NOW_MS = 1_000_000
RETENTION_MS = 120_000
RECORD_BYTES = 262_144

DECISION_MS = 50
GROWTH = 3

SATURATED_S = 30
"""How long jobs arrive in the simulation of the saturated cell, in seconds."""

SATURATED_SEED = 5
MEDIAN_MS = 3
TAIL_MS = 25
PERCENT = 100

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
RUNNER_CAPACITY = Resources(64_000, 262_144, 2)
SMALL = StepSpec(JOB_WIDTH, Resources(2_500, 8_000, 0), 8_000)


def build(share: float) -> DecisionInput:
    """Build a cell and the input of a decision.

    :param share: share of the two-year size.
    :returns: the input.
    """
    cell = Cell(RETENTION_MS)
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
    return DecisionInput(
        cell,
        CATALOGUE,
        views,
        frozenset(),
        {},
        NOW_MS + 100,
        occupancy=Occupancy(),
    )


def _view(number: int) -> RunnerView:
    rack = f'rack-{number // RUNNERS_PER_RACK}'
    labels = frozenset(('a', rack))
    return RunnerView(
        f'runner-{number}', 'pool', RUNNER_CAPACITY, labels, rack, 'zone'
    )


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


def measure(world: DecisionInput) -> float:
    """Time a decision.

    :param world: its input.
    :returns: the median duration, in ms.
    """
    times: list[float] = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        decision = decide(world, 1)
        times.append((time.perf_counter() - began) * 1_000)
        assert not decision.faults
        assert any(item.unit.job == 'urgent' for item in decision.starts)
    return statistics.median(times)


class _Timed:
    """Records how long each decision takes."""

    def __init__(self) -> None:
        self.times_ms: list[float] = []

    def decide(self, world: DecisionInput, epoch: int) -> Decision:
        """Make a decision and record its duration."""
        began = time.perf_counter()
        decision = decide(world, epoch)
        self.times_ms.append((time.perf_counter() - began) * 1_000)
        return decision


def time_saturated(site: SiteLoad) -> list[float]:
    """Time the decisions of a simulation.

    :param site: the load.
    :returns: durations of the decisions, in ms.
    """
    timed = _Timed()
    LoadSimulation(site, timed.decide, SATURATED_SEED, SATURATED_S).run()
    return timed.times_ms


def tenth_of(site: SiteLoad) -> SiteLoad:
    """Scale a site down to a tenth of its runners and jobs.

    :param site: the site.
    :returns: the smaller site.
    """
    fleet = site.fleet
    return site._replace(
        kinds=tuple(it._replace(rate=it.rate / 10) for it in site.kinds),
        fleet=fleet._replace(per_rack=fleet.per_rack // 10),
    )


def measure_saturated() -> bool:
    """Time decisions in a saturated cell and in one of a tenth of its size.

    :returns: whether every target holds.
    """
    small = time_saturated(tenth_of(LARGE))
    cuts = statistics.quantiles(time_saturated(LARGE), n=PERCENT)
    median = cuts[PERCENT // 2 - 1]
    holds = show('saturated_p50', median, 'ms', MEDIAN_MS)
    holds &= show('saturated_p99', cuts[-1], 'ms', TAIL_MS)
    growth = median / statistics.median(small)
    return show('saturated_growth', growth, 'times', GROWTH) and holds


def main() -> int:
    """Run the benchmark at a tenth of the two-year size and at all of it.

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
    holds &= measure_saturated()
    show('snapshot_bytes', size, 'bytes', None)
    show('snapshot_ms', took_ms, 'ms', None)
    return int(not holds)


if __name__ == '__main__':
    sys.exit(main())
