"""Measure placement against FIFO first-fit and a static split per team.

FIFO first-fit is strict: no job starts before an older one. The lines that
end in ``_passing`` compare with a baseline that passes over what does not
fit, and have no target of their own.
"""

import json
import math
import statistics
import sys
from pathlib import Path
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from bench.placement_scale import LARGE, TENTH, decision_costs
from bench.placement_schedulers import FirstFit, LedgerScheduler
from bench.placement_trace import HORIZON_MS, WIDTH, User, make_user
from bench.placement_world import Outcome, World, is_large
from swifthoist_core.catalogue import Policy, Urgency

_SPLIT = (('sorting', 8), ('planning', 8), ('checks', 3), ('scans', 5))
_MS_PER_S = 1_000
_PERCENTILE = 0.99
_LEAST_USE = 1.2


class Runs(NamedTuple):
    """What a user's trace led to under each scheduler.

    :ivar user: the user.
    :ivar ours: with the ledger and the planner.
    :ivar fifo: with strict FIFO first-fit.
    :ivar passing: with first-fit that passes over what does not fit.
    :ivar split: with a static split per team, which passes over as well.
    :ivar violations: guaranteed shapes found short, by decision.
    """

    user: User
    ours: Outcome
    fifo: Outcome
    passing: Outcome
    split: Outcome
    violations: int


def main() -> None:
    """Run both users and the scale test, and print every figure."""
    first = _run(make_user('first', 11, Policy(4, 1), cores=64))
    second = _run(make_user('second', 12, Policy(1, 4), cores=32))
    both = (first, second)
    _at_most('completion_ratio', _completion(first.ours, first.fifo), 0.7)
    _at_most('fragmentation_ratio', _stuck(second.ours, second.fifo), 0.5)
    large = max(_large_wait(run, run.fifo) for run in both)
    _at_most('large_wait_ratio', large, 0.5)
    urgent = max(_p99(run.ours, _urgent(run.user)) for run in both)
    _at_most('urgent_wait_p99', urgent, 1.6, 's')
    violations = sum(run.violations for run in both)
    _at_most('guarantee_violations', violations, 0, 'count')
    used = min(run.ours.useful_ms / run.split.useful_ms for run in both)
    _line('utilisation_ratio', used, _LEAST_USE, holds=used >= _LEAST_USE)
    _report_passing(first, second)
    _report_scale()


def _run(user: User) -> Runs:
    ours = LedgerScheduler(user)
    everyone = frozenset(spec.worker for spec in user.workers)
    common = {team: everyone for team, _ in _SPLIT}
    return Runs(
        user,
        World(user, ours).run(),
        World(user, FirstFit(user, common, strict=True)).run(),
        World(user, FirstFit(user, common, strict=False)).run(),
        World(user, FirstFit(user, _split(user), strict=False)).run(),
        ours.violations,
    )


def _report_passing(first: Runs, second: Runs) -> None:
    completion = _completion(first.ours, first.passing)
    _line('completion_ratio_passing', completion)
    stuck = _stuck(second.ours, second.passing)
    _line('fragmentation_ratio_passing', stuck)
    large = max(_large_wait(run, run.passing) for run in (first, second))
    _line('large_wait_ratio_passing', large)
    for run in (first, second):
        used = run.ours.useful_ms / (len(run.user.workers) * WIDTH)
        _line(f'utilisation_{run.user.name}', used / HORIZON_MS)


def _report_scale() -> None:
    costs = decision_costs(TENTH, LARGE)
    _at_most('decision_ms_p99', _percentile(costs.large), 50, 'ms')
    ratio = statistics.mean(costs.large) / statistics.mean(costs.small)
    _at_most('scale_ratio', ratio, 3)


def _completion(ours: Outcome, theirs: Outcome) -> float:
    both = sorted(ours.completions.keys() & theirs.completions.keys())
    mine = statistics.mean(ours.completions[job] for job in both)
    return mine / statistics.mean(theirs.completions[job] for job in both)


def _stuck(ours: Outcome, theirs: Outcome) -> float:
    return (ours.stuck / ours.free) / (theirs.stuck / theirs.free)


def _large_wait(run: Runs, theirs: Outcome) -> float:
    arrivals = run.user.arrivals
    large = [item.spec.job_id for item in arrivals if is_large(item)]
    return _p99(run.ours, large) / _p99(theirs, large)


def _urgent(user: User) -> list[str]:
    return [
        item.spec.job_id
        for item in user.arrivals
        if item.spec.urgency is Urgency.URGENT
    ]


def _split(user: User) -> dict[str, frozenset[str]]:
    names = [spec.worker for spec in user.workers]
    pools: dict[str, frozenset[str]] = {}
    first = 0
    for team, count in _SPLIT:
        pools[team] = frozenset(names[first : first + count])
        first += count
    return pools


def _p99(outcome: Outcome, jobs: list[str]) -> float:
    waits = [outcome.waits[job] for job in jobs if job in outcome.waits]
    return _percentile(sorted(waits)) / _MS_PER_S


def _percentile(ordered: list[int] | list[float]) -> float:
    return ordered[math.ceil(_PERCENTILE * len(ordered)) - 1]


def _at_most(
    name: str, value: float, target: float, unit: str = 'ratio'
) -> None:
    _line(name, value, target, unit, holds=value <= target)


def _line(
    name: str,
    value: float,
    target: float | None = None,
    unit: str = 'ratio',
    *,
    holds: bool | None = None,
) -> None:
    line = {
        'name': f'placement.{name}',
        'value': round(value, 3),
        'unit': unit,
        'target': target,
        'holds': holds,
    }
    print(json.dumps(line), flush=True)


if __name__ == '__main__':
    main()
