"""Random deployments, drawn from a seed."""

import random

from bench.load import FaultPeriod, FleetProfile, JobKind, SiteLoad
from swifthoist_engine.model import QueueTerms, Resources

ACCELERATOR_COUNTS = (1, 2, 4, 8, 8)

UTILIZATION = 0.75
"""Share of the accelerators that the usual rates of a deployment demand."""

TUNING_SEEDS = tuple(range(20))
"""Seeds for trying changes."""

HELD_OUT_SEEDS = tuple(range(100, 140))
"""Seeds for final conclusions; no change is tuned on them."""


def draw_site(seed: int) -> SiteLoad:
    """Draw a deployment: its runners, its kinds of jobs and its faults.

    :param seed: seed of the draw.
    :returns: the deployment.
    """
    rng = random.Random(f'site {seed}')
    accelerators = rng.choice((4, 8, 8, 16))
    cores = accelerators * rng.choice((4, 8, 16))
    room = Resources(1_000 * cores, 32_768 * accelerators, accelerators)
    fleet = _draw_fleet(rng)
    sizes = tuple(size for size in ACCELERATOR_COUNTS if size <= accelerators)
    kinds = (
        _draw_batch(rng, room, sizes),
        _draw_urgent(rng, room, sizes),
        _draw_bulk(rng, room),
    )
    demand = sum(map(_mean_demand, kinds))
    scale = UTILIZATION * fleet.runners * accelerators / demand
    return SiteLoad(
        f'drawn-{seed}',
        room,
        tuple(kind._replace(rate=kind.rate * scale) for kind in kinds),
        fleet,
    )


def _draw_fleet(rng: random.Random) -> FleetProfile:
    return FleetProfile(
        racks=rng.randint(2, 6),
        per_rack=rng.randint(4, 10),
        speeds=rng.choice(((1.0,), (1.0, 1.0, 1.3), (0.8, 1.0, 1.25))),
        checkpoint_interval_ms=rng.choice((500, 1_000, 2_000)),
        restore_ms=rng.choice((100, 300, 600)),
        stop_ms=rng.choice((200, 400)),
        failing=_draw_fault_period(rng),
        hanging=_draw_fault_period(rng),
        slow=_draw_fault_period(rng),
        leaving=rng.choice((0, 0.06, 0.12)),
        teams=rng.randint(2, 8),
        guaranteed_share=rng.uniform(0, 0.7),
    )


def _draw_fault_period(rng: random.Random) -> FaultPeriod:
    return FaultPeriod(rng.choice((0, 0.08, 0.16)), rng.uniform(4_000, 8_000))


def _draw_batch(
    rng: random.Random, room: Resources, sizes: tuple[int, ...]
) -> JobKind:
    terms = QueueTerms(1, rng.randint(2, 4), 3, 1_000, 'pool')
    return JobKind(
        'batch', rng.uniform(0.2, 0.5), 3, 0.9, rng.uniform(5_000, 9_000),
        0.3, rng.uniform(3, 6), 30, int(room.cpu * 0.4),
        int(room.memory * 0.35), sizes, 1, rng.uniform(0.3, 0.9),
        rng.uniform(0.2, 0.7), terms, rng.choice((0.005, 0.02, 0.05)),
        rng.choice((0.5, 0.9)), rng.choice((0, 0.03)),
    )  # fmt: skip


def _draw_urgent(
    rng: random.Random, room: Resources, sizes: tuple[int, ...]
) -> JobKind:
    terms = QueueTerms(0, rng.randint(2, 4), 1.5, 250, 'pool')
    return JobKind(
        'urgent', rng.uniform(0.6, 1.6), 4, 0.8, rng.uniform(1_500, 3_500),
        0.5, rng.uniform(2.5, 4), 21, int(room.cpu * 0.12),
        int(room.memory * 0.15), sizes, 1, rng.uniform(0.5, 1), 0, terms,
        rng.choice((0.005, 0.02, 0.05)), rng.choice((0.5, 0.9)),
    )  # fmt: skip


def _draw_bulk(rng: random.Random, room: Resources) -> JobKind:
    terms = QueueTerms(2, rng.randint(2, 4), 3, 3_000, 'pool')
    return JobKind(
        'bulk', rng.uniform(0.2, 0.4), 1, 0.3, rng.uniform(5_000, 10_000),
        0.3, rng.uniform(8, 20), 94, int(room.cpu * 0.09),
        int(room.memory * 0.09), (1,), 0, 0, rng.uniform(0.2, 0.7), terms,
        rng.choice((0.005, 0.02)), rng.choice((0.5, 0.9)),
        rng.choice((0, 0.03)),
    )  # fmt: skip


def _mean_demand(kind: JobKind) -> float:
    """Return the mean number of accelerators that a kind of job keeps busy."""
    size = sum(kind.accelerators) / len(kind.accelerators)
    return kind.rate * kind.width * kind.work_ms / 1_000 * size
