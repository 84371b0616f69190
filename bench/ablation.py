"""Ablation of the planner's mechanisms, with runs paired by seed.

Each row is one line of JSON: the mechanism left out, the load, and for each
figure the mean with the mechanism and the mean difference without it, with its
standard deviation and 95 % interval. A mechanism whose interval is about 0 on
all loads either gains nothing there or protects a guarantee.
"""

import json
import math
import statistics
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from typing import NamedTuple

import fire

from bench.drawn import HELD_OUT_SEEDS, TUNING_SEEDS, draw_site
from bench.load import DHUAN, INACCURATE_ESTIMATES, PILHA, SALTAMONTES, SiteLoad
from bench.load_simulation import LoadSimulation, SimulationResult
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.planner import decide

SECONDS = 34
INTENSITIES = (1.0, 1.2)
Z_95 = 1.96
"""Half the width of a 95 % interval, in standard errors."""

FIGURES = ('goal', 'worth', 'served', 'windows', 'wasted')


class Setting(NamedTuple):
    """Parameters of one simulation.

    :ivar site: the deployment.
    :ivar seed: seed of its load.
    :ivar intensity: multiple of its usual rates.
    :ivar mechanisms: mechanisms in use.
    """

    site: SiteLoad
    seed: int
    intensity: float
    mechanisms: Mechanisms


def settings_of(seeds: int) -> dict[str, list[Setting]]:
    """List the simulations of each load, with the default mechanisms.

    :param seeds: seeds for each site; twice as many drawn deployments are used.
    :returns: settings by the name of the load.
    """
    found = {
        site.name: [
            Setting(site, seed, intensity, DEFAULT_MECHANISMS)
            for seed in range(seeds)
            for intensity in INTENSITIES
        ]
        for site in (DHUAN, INACCURATE_ESTIMATES, PILHA, SALTAMONTES)
    }
    found['drawn'] = _drawn(TUNING_SEEDS[: 2 * seeds])
    return found


def held_out_settings() -> dict[str, list[Setting]]:
    """List the simulations of the drawn deployments that tuning doesn't use.

    :returns: settings by the name of the load.
    """
    return {'drawn, not looked at': _drawn(HELD_OUT_SEEDS)}


def simulate(setting: Setting) -> SimulationResult:
    """Simulate one setting.

    :param setting: the setting.
    :returns: the result.
    """
    return LoadSimulation(
        setting.site,
        decide,
        setting.seed,
        SECONDS,
        setting.intensity,
        setting.mechanisms,
    ).run()


def compare(
    usual: Sequence[SimulationResult], without: Sequence[SimulationResult]
) -> dict[str, dict[str, float]]:
    """Compare simulations pair by pair.

    :param usual: results with the default mechanisms.
    :param without: results with one mechanism left out.
    :returns: mean, difference, its deviation and interval, by figure.
    """
    rows: dict[str, dict[str, float]] = {}
    for name in FIGURES:
        before = [float(getattr(it, name)) for it in usual]
        after = [float(getattr(it, name)) for it in without]
        changes = [b - a for a, b in zip(before, after, strict=True)]
        spread = statistics.stdev(changes)
        rows[name] = {
            'with': round(statistics.mean(before), 4),
            'change': round(statistics.mean(changes), 4),
            'spread': round(spread, 4),
            'interval': round(Z_95 * spread / math.sqrt(len(changes)), 4),
        }
    return rows


def main(
    seeds: int = 5,
    processes: int = 3,
    only: str = '',
    *,
    conclude: bool = False,
) -> None:
    """Leave out each mechanism in turn.

    :param seeds: simulations of each site at each intensity.
    :param processes: number of worker processes.
    :param only: names of mechanisms, separated by commas; empty for all.
    :param conclude: use only the drawn deployments held out from tuning.
    """
    names = only.split(',') if only else Mechanisms._fields
    loads = held_out_settings() if conclude else settings_of(seeds)
    with ProcessPoolExecutor(processes) as pool:
        usual = {
            load: list(pool.map(simulate, settings))
            for load, settings in loads.items()
        }
        for name in names:
            mechanisms = DEFAULT_MECHANISMS._replace(**{name: False})
            for load, settings in loads.items():
                changed = [
                    it._replace(mechanisms=mechanisms) for it in settings
                ]
                without = list(pool.map(simulate, changed))
                figures = compare(usual[load], without)
                row = {'left_out': name, 'load': load, 'plays': len(without)}
                sys.stdout.write(f'{json.dumps({**row, **figures})}\n')
                sys.stdout.flush()


def _drawn(seeds: Sequence[int]) -> list[Setting]:
    return [
        Setting(draw_site(seed), 0, intensity, DEFAULT_MECHANISMS)
        for seed in seeds
        for intensity in INTENSITIES
    ]


if __name__ == '__main__':
    fire.Fire(main)
