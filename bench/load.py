"""Loads of the placement benchmarks: kinds of jobs, and runners."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from swifthoist_engine.model import JobSpec, QueueTerms, Resources, StepSpec

LONG_WORK_FACTOR = 7
"""Factor by which the work of unusually long jobs exceeds their kind's."""


class JobKind(NamedTuple):
    """A kind of job.

    :ivar queue: its queue.
    :ivar rate: arrivals of jobs a second.
    :ivar worth: mean worth of a job that is done in time.
    :ivar late: mean worth of a job that is done late.
    :ivar work_ms: mean work of a task, in ms.
    :ivar spread: coefficient of variation of the work.
    :ivar width: mean number of tasks.
    :ivar max_width: maximum number of tasks.
    :ivar cpu: processor of a task, in thousandths of a core.
    :ivar memory: memory of a task, in MB.
    :ivar accelerators: numbers of accelerators from which a task's is drawn.
    :ivar gang: share of its jobs that are gangs.
    :ivar same_rack_share: share of its gangs that are slow across racks.
    :ivar checkpoint_share: share of its jobs that checkpoint.
    :ivar terms: terms of its queue.
    :ivar failure_share: share of its runs that fail at random.
    :ivar estimate_error: standard deviation of the logarithm of a declared
        duration's error.
    :ivar always_fails: share of its jobs of which every run fails.
    :ivar understatement: its work as a multiple of the median declared duration.
    :ivar long_work_share: share of its jobs whose work is multiplied by
        :data:`LONG_WORK_FACTOR`.
    """

    queue: str
    rate: float
    worth: float
    late: float
    work_ms: float
    spread: float
    width: float
    max_width: int
    cpu: int
    memory: int
    accelerators: tuple[int, ...]
    gang: float
    same_rack_share: float
    checkpoint_share: float
    terms: QueueTerms
    failure_share: float
    estimate_error: float = 0.7
    always_fails: float = 0
    understatement: float = 1
    long_work_share: float = 0


class FaultPeriod(NamedTuple):
    """A period in which some runners have a fault.

    :ivar share: share of the runners that have it.
    :ivar length_ms: length of the period, in ms.
    """

    share: float
    length_ms: float


class FleetProfile(NamedTuple):
    """The runners of a site, and their faults in a simulation.

    :ivar racks: number of racks.
    :ivar per_rack: runners in each rack.
    :ivar speeds: speeds from which each runner's is drawn.
    :ivar checkpoint_interval_ms: work between two checkpoints, in ms.
    :ivar restore_ms: time to resume from a checkpoint, in ms.
    :ivar stop_ms: time that a stop takes, in ms.
    :ivar failing: period in which runners fail every run that they start.
    :ivar hanging: period in which every run that starts on runners hangs.
    :ivar slow: period in which runners are slower by
        :data:`bench.load_simulation.SLOW_FACTOR`.
    :ivar leaving: share of the runners that leave for good.
    :ivar teams: number of teams.
    :ivar guaranteed_share: share of the accelerators guaranteed to teams.
    """

    racks: int = 4
    per_rack: int = 6
    speeds: tuple[float, ...] = (0.8, 1.0, 1.25)
    checkpoint_interval_ms: int = 500
    restore_ms: int = 300
    stop_ms: int = 250
    failing: FaultPeriod = FaultPeriod(0.084, 6_500)
    hanging: FaultPeriod = FaultPeriod(0, 0)
    slow: FaultPeriod = FaultPeriod(0.167, 6_000)
    leaving: float = 0
    teams: int = 4
    guaranteed_share: float = 0

    @property
    def runners(self) -> int:
        """Number of runners."""
        return self.racks * self.per_rack


class SiteLoad(NamedTuple):
    """A site: its runners and kinds of jobs.

    :ivar name: its name.
    :ivar room: capacity of a runner.
    :ivar kinds: kinds of jobs.
    :ivar fleet: its runners.
    """

    name: str
    room: Resources
    kinds: tuple[JobKind, ...]
    fleet: FleetProfile = FleetProfile()


_ACCELERATORS = (1, 2, 4, 8, 8)

PILHA = SiteLoad(
    'pilha-certa',
    Resources(64_000, 262_144, 8),
    (
        JobKind('batch', 0.314, 3, 0.9, 8_500, 0.3, 5, 30, 26_000, 110_000,
             _ACCELERATORS, 1, 0.6, 0.45, QueueTerms(1, 2, 3, 1_000, 'pool'), 0.005,
             always_fails=0.03),
        JobKind('urgent', 0.955, 4, 0.8, 2_500, 0.5, 3.4, 21, 7_500, 39_000,
             _ACCELERATORS, 1, 0.8, 0, QueueTerms(0, 3, 1.5, 250, 'pool'), 0.05),
        JobKind('bulk', 0.295, 1, 0.3, 7_600, 0.3, 16, 94, 5_600, 23_000,
             (1,), 0, 0, 0.45, QueueTerms(2, 3, 3, 3_000, 'pool'), 0.02),
    ),
)  # fmt: skip

SALTAMONTES = SiteLoad(
    'saltamontes',
    Resources(32_000, 65_536, 8),
    (
        JobKind('batch', 0.429, 3, 0.9, 8_500, 0.3, 4, 30, 13_000, 27_500,
             _ACCELERATORS, 1, 0.6, 0.45, QueueTerms(1, 2, 3, 1_000, 'pool'), 0.005),
        JobKind('urgent', 1.2, 4, 0.8, 2_500, 0.5, 3, 21, 3_700, 9_700,
             _ACCELERATORS, 1, 0.8, 0, QueueTerms(0, 3, 1.5, 250, 'pool'), 0.05),
        JobKind('bulk', 0.34, 1, 0.3, 9_500, 0.3, 12, 94, 2_800, 5_800,
             (1,), 0, 0, 0.45, QueueTerms(2, 3, 3, 3_000, 'pool'), 0.02),
    ),
)  # fmt: skip

DHUAN = SiteLoad(
    'dhuan-naqsha',
    Resources(128_000, 262_144, 8),
    (
        JobKind('batch', 0.393, 3, 0.9, 6_800, 0.3, 5, 30, 52_000, 75_000,
             _ACCELERATORS, 1, 0.6, 0.45, QueueTerms(1, 3, 3, 1_000, 'pool'), 0.05,
             0.5, 0.03),
        JobKind('urgent', 1.19, 4, 0.8, 2_500, 0.5, 3.4, 21, 15_000, 31_000,
             _ACCELERATORS, 1, 0.8, 0, QueueTerms(0, 4, 1.5, 250, 'pool'), 0.02, 0.5),
        JobKind('bulk', 0.295, 1, 0.3, 7_600, 0.3, 16, 94, 11_000, 23_000,
             (1,), 0, 0, 0.45, QueueTerms(2, 4, 3, 3_000, 'pool'), 0.005, 0.9,
             0.01),
    ),
    FleetProfile(3, 8, (1.0,), 2_000, 100, 200, FaultPeriod(0.1, 5_400), FaultPeriod(0.1, 5_400),
           FaultPeriod(0.18, 6_900), 0.077, 4, 0.62),
)  # fmt: skip

LARGE = SiteLoad(
    'pilha-certa-large',
    Resources(64_000, 262_144, 8),
    (
        JobKind('batch', 2.14, 3, 0.9, 6_800, 0.3, 13, 78, 26_000, 110_000,
             _ACCELERATORS, 1, 0.6, 0.45, QueueTerms(1, 2, 3, 1_000, 'pool'), 0.005,
             always_fails=0.03),
        JobKind('urgent', 6.85, 4, 0.8, 2_500, 0.5, 5, 31, 7_500, 39_000,
             _ACCELERATORS, 1, 0.8, 0, QueueTerms(0, 3, 1.5, 250, 'pool'), 0.05),
        JobKind('bulk', 1.35, 1, 0.3, 9_500, 0.3, 38, 223, 5_600, 23_000,
             (1,), 0, 0, 0.45, QueueTerms(2, 3, 3, 3_000, 'pool'), 0.02),
    ),
    FleetProfile(14, 20, restore_ms=100, stop_ms=400, teams=24),
)  # fmt: skip


UNEVEN = SiteLoad(
    'uneven',
    Resources(64_000, 131_072, 8),
    (
        JobKind('batch', 0.725, 3, 0.9, 9_400, 0.3, 13, 78, 26_000, 38_000,
             _ACCELERATORS, 1, 0.6, 0.45, QueueTerms(1, 2, 3, 1_000, 'pool'), 0.005,
             0.2, 0.03),
        JobKind('urgent', 3.87, 4, 0.8, 2_100, 0.5, 5, 32, 7_500, 11_000,
             _ACCELERATORS, 1, 0.8, 0, QueueTerms(0, 3, 1.5, 250, 'pool'), 0.02, 0.5),
        JobKind('bulk', 0.897, 1, 0.3, 6_500, 0.3, 39, 230, 5_600, 15_000,
             (1,), 0, 0, 0.45, QueueTerms(2, 4, 3, 3_000, 'pool'), 0.02, 0.2,
             0.03),
    ),
    FleetProfile(22, 8, (1.8, 0.83, 0.83, 0.83), 1_000, 100, 900, FaultPeriod(0.085, 6_500),
           FaultPeriod(0, 0), FaultPeriod(0, 0), teams=10),
)  # fmt: skip
"""About a quarter of the runners is over twice as fast as the others."""

INACCURATE_ESTIMATES = SiteLoad(
    'lying',
    DHUAN.room,
    tuple(
        kind._replace(
            estimate_error=1, understatement=1.5, long_work_share=0.03
        )
        for kind in DHUAN.kinds
    ),
    DHUAN.fleet,
)
"""The load of dhuan-naqsha with inaccurate declared durations."""


class Arrival(NamedTuple):
    """A job, with properties that the scheduler doesn't know.

    :ivar spec: the job as submitted.
    :ivar kind: its kind.
    :ivar work_ms: true work of each task of its one step, in ms.
    :ivar worth: what it earns if it is done in time.
    :ivar always_fails: whether every run of it fails.
    """

    spec: JobSpec
    kind: JobKind
    work_ms: float
    worth: float
    always_fails: bool = False


def arrivals(
    site: SiteLoad, seed: int, seconds: float, intensity: float
) -> Iterator[Arrival]:
    """Draw the jobs of a simulation; each kind's rate doubles in one 6 s burst.

    :param site: the site.
    :param seed: seed of the draw.
    :param seconds: how long jobs arrive.
    :param intensity: multiple of the usual rates.
    :returns: jobs in the order of their arrival.
    """
    rng = random.Random(seed)
    found = [
        _draw_job(kind, number, at_ms, rng, site.fleet.teams)
        for kind in site.kinds
        for number, at_ms in enumerate(
            _arrival_times(kind, rng, seconds, intensity)
        )
    ]
    return iter(sorted(found, key=lambda item: item.spec.accepted_ms))


def _arrival_times(
    kind: JobKind, rng: random.Random, seconds: float, intensity: float
) -> Iterator[int]:
    burst_s = rng.uniform(0, seconds)
    now = float(0)
    while now < seconds:
        busy = 2 if burst_s <= now < burst_s + 6 else 1
        now += rng.expovariate(kind.rate * intensity * busy)
        yield int(now * 1_000)


def _draw_job(
    kind: JobKind, number: int, at_ms: int, rng: random.Random, teams: int
) -> Arrival:
    work_ms = _lognormal(rng, kind.work_ms, kind.spread)
    width = min(max(round(_lognormal(rng, kind.width, 0.8)), 1), kind.max_width)
    accelerators = rng.choice(kind.accelerators)
    gang = width > 1 and rng.random() < kind.gang
    estimate_ms = work_ms * math.exp(rng.gauss(0, kind.estimate_error))
    estimate_ms /= kind.understatement
    if kind.long_work_share and rng.random() < kind.long_work_share:
        work_ms *= LONG_WORK_FACTOR
    step = StepSpec(
        width,
        Resources(kind.cpu, kind.memory, accelerators),
        int(estimate_ms),
        checkpointing=rng.random() < kind.checkpoint_share,
        gang=gang,
        same_rack=gang and rng.random() < kind.same_rack_share,
    )
    size = width * work_ms * (kind.cpu / 1_000 + 8 * accelerators)
    usual = (
        kind.width
        * kind.work_ms
        * (
            kind.cpu / 1_000
            + 8 * sum(kind.accelerators) / len(kind.accelerators)
        )
    )
    worth = kind.worth * min(0.3 + 0.7 * size / usual, 4)
    spec = JobSpec(
        f'{kind.queue}-{number}',
        kind.queue,
        f'team-{rng.randrange(teams)}',
        '',
        (step,),
        kind.terms,
        at_ms,
    )
    return Arrival(spec, kind, work_ms, worth, rng.random() < kind.always_fails)


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    sigma = math.sqrt(math.log(1 + spread * spread))
    return mean * math.exp(rng.gauss(-sigma * sigma / 2, sigma))
