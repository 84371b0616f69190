"""Measure the request path against plain baselines over loopback HTTP.

Prints one JSON line for each figure.  The baselines run in the same process:
a random choice, no limits, and no budget for retries.
"""

from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from typing import NamedTuple, TypeAlias

import anyio
from routing_load import (
    NO_BUDGET,
    OURS,
    RANDOM,
    UNLIMITED,
    Fleet,
    FleetSpec,
    Load,
    Sample,
    Site,
    Variant,
    start_fleets,
)
from routing_overhead import measure_overhead
from routing_report import (
    Line,
    answered,
    at_least,
    at_most,
    info,
    p99_ms,
    show,
    unknown,
)
from routing_restarts import roll

from swifthoistd.work import Done

_RUNNERS = 6
_FULL_FLEET = 24
_SLOTS = 8
_MODERATE_PER_S = 120
_INSTANCES = 4
_QUICK_S = 0.1
_SLOW_S = 0.4
_DEADLINE_S = 1.5
_WARM_S = 1.0
_LATE_S = 0.4


class Trial(NamedTuple):
    """What one run of a variant gave.

    :ivar samples: what became of every request.
    :ivar attempts: requests sent to runners.
    :ivar overruns: requests that came to a runner without a free slot.
    """

    samples: list[Sample]
    attempts: int
    overruns: int


async def _try(
    fleet: Fleet,
    variant: Variant,
    loads: Sequence[Load],
    seconds: float,
    event: Callable[[Fleet], Awaitable[None]],
) -> Trial:
    await fleet.reset()
    before = await fleet.stats()
    site = Site(fleet, _INSTANCES, variant)
    await site.run(loads, seconds, partial(event, fleet))
    overruns = sum(item.overruns for item in await fleet.stats())
    attempts = sum(item.counters.attempts for item in site.instances)
    earlier = sum(item.overruns for item in before)
    return Trial(site.samples, attempts, overruns - earlier)


async def _nothing(fleet: Fleet) -> None:
    await anyio.lowlevel.checkpoint()


async def _slow_one(fleet: Fleet) -> None:
    await anyio.sleep(_WARM_S)
    await fleet.order(0, 'slow')


async def _fail_half(fleet: Fleet) -> None:
    for number in range(_RUNNERS // 2):
        await fleet.order(number, 'failing')


async def _fail_some(fleet: Fleet) -> None:
    for number in range(_RUNNERS):
        await fleet.order(number, 'flaky')


async def _silence_all(fleet: Fleet) -> None:
    await anyio.sleep(_WARM_S)
    for number in range(_RUNNERS):
        await fleet.order(number, 'silence')


def _after_warming(trial: Trial) -> list[Sample]:
    return [item for item in trial.samples if item.began_s >= _WARM_S]


async def slow_runner(fleet: Fleet) -> list[Line]:
    """One runner becomes ten times slower than the others."""
    loads = [Load('team', _MODERATE_PER_S, 10_000)]
    trials = (
        await _try(fleet, OURS, loads, 3.5, _slow_one),
        await _try(fleet, RANDOM, loads, 3.5, _slow_one),
    )
    ours, plain = (p99_ms(_after_warming(trial)) for trial in trials)
    return [
        at_most('routing.p99_ratio', ours / plain, 'ratio', 0.5),
        info('routing.p99_ms', ours, 'ms'),
        info('routing.p99_random_choice_ms', plain, 'ms'),
    ]


def _goodput(trial: Trial, seconds: float, capacity: float) -> float:
    # What came first had an empty queue before it.
    steady = [item for item in trial.samples if item.began_s >= _DEADLINE_S]
    could = capacity * (seconds - _DEADLINE_S)
    return answered(steady, _DEADLINE_S) / could


async def overload(fleet: Fleet) -> list[Line]:
    """Requests come at twice the rate at which the runners can run them."""
    capacity = _RUNNERS * _SLOTS / _SLOW_S
    loads = [Load('team', capacity * 2, round(_DEADLINE_S * 1e3))]
    ours = await _try(fleet, OURS, loads, 3.5, _nothing)
    plain = await _try(fleet, UNLIMITED, loads, 2.5, _nothing)
    goodput = _goodput(ours, 3.5, capacity)
    plain_goodput = _goodput(plain, 2.5, capacity)
    return [
        at_least('routing.goodput_ratio', goodput, 'ratio', 0.9),
        info('routing.goodput_no_limits_ratio', plain_goodput, 'ratio'),
        info('routing.overload_unknown', unknown(ours.samples), 'requests'),
        info('routing.overload_overruns', ours.overruns, 'requests'),
    ]


def _success(trial: Trial, owner: str) -> float:
    samples = [item for item in trial.samples if item.owner == owner]
    return answered(samples, _DEADLINE_S) / len(samples)


async def flood(fleet: Fleet) -> list[Line]:
    """A large owner floods the instances while a small one asks a little."""
    capacity = _RUNNERS * _SLOTS / _SLOW_S
    deadline_ms = round(_DEADLINE_S * 1e3)
    loads = [
        Load('large', capacity * 2, deadline_ms),
        Load('small', capacity / 8, deadline_ms),
    ]
    trials = (
        await _try(fleet, OURS, loads, 2, _nothing),
        await _try(fleet, UNLIMITED, loads, 1.5, _nothing),
    )
    ours, plain = (_success(trial, 'small') for trial in trials)
    return [
        at_least('routing.fairness_ratio', ours, 'ratio', 0.99),
        info('routing.fairness_no_limits_ratio', plain, 'ratio'),
    ]


def _amplification(trial: Trial) -> float:
    return trial.attempts / len(trial.samples)


async def failing(fleet: Fleet) -> list[Line]:
    """Half of the runners fail everything, or all fail half of it."""
    loads = [Load('team', 150, 2_000)]
    half = await _try(fleet, OURS, loads, 2, _fail_half)
    flaky = await _try(fleet, OURS, loads, 2, _fail_some)
    plain = await _try(fleet, NO_BUDGET, loads, 1, _fail_some)
    worst = max(_amplification(half), _amplification(flaky))
    done = answered(half.samples, 2) / len(half.samples)
    return [
        at_most('routing.amplification', worst, 'ratio', 1.2),
        info('routing.amplification_half', _amplification(half), 'ratio'),
        info('routing.amplification_flaky', _amplification(flaky), 'ratio'),
        info('routing.amplification_no_budget', _amplification(plain), 'ratio'),
        info('routing.half_failing_done', done, 'ratio'),
    ]


async def silence(fleet: Fleet) -> list[Line]:
    """Every open connection goes silent at once; new ones work."""
    loads = [Load('team', 100, 5_000)]
    trial = await _try(fleet, OURS, loads, 2.6, _silence_all)
    late = [item for item in trial.samples if item.took_s >= _LATE_S]
    ends = [item.began_s + item.took_s - _WARM_S for item in late]
    done = [item for item in trial.samples if isinstance(item.outcome, Done)]
    lost = len(trial.samples) - len(done)
    return [
        at_most('routing.silent_recovery_s', max(ends, default=0), 's', 2),
        info('routing.silent_late', len(late), 'requests'),
        info('routing.silent_not_done', lost, 'requests'),
    ]


async def restarts(fleet: Fleet) -> list[Line]:
    """Every runner leaves and comes back in turn, under load."""
    return await roll(fleet, Site(fleet, _INSTANCES, OURS))


_Measure: TypeAlias = Callable[[Fleet], Awaitable[list[Line]]]


class Case(NamedTuple):
    """One situation and the runners for it.

    :ivar measure: gives its figures.
    :ivar spec: the runners.
    """

    measure: _Measure
    spec: FleetSpec


_QUICK = FleetSpec(_RUNNERS, _QUICK_S)
_SLOW = FleetSpec(_RUNNERS, _SLOW_S)
_CASES = (
    Case(slow_runner, FleetSpec(_FULL_FLEET, _QUICK_S)),
    Case(overload, _SLOW),
    Case(flood, _SLOW),
    Case(failing, _QUICK),
    Case(silence, FleetSpec(_RUNNERS, _QUICK_S / 2)),
    Case(restarts, _QUICK),
    Case(measure_overhead, FleetSpec(2, 0)),
)


async def _main() -> None:
    async with start_fleets([case.spec for case in _CASES]) as fleets:
        for case, fleet in zip(_CASES, fleets, strict=True):
            for line in await case.measure(fleet):
                show(line)


if __name__ == '__main__':
    anyio.run(_main)
