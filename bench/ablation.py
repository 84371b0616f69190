"""What each part of a decision is worth: left out in turn, paired by seed.

Each row is one line of JSON: the part that is left out, the load, and for each
figure the mean with it, and the mean difference that leaving it out makes, with
its spread and 95 % interval. A part whose interval is about 0 on all loads is
worth nothing there, or guards a promise.
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
    """One play.

    :ivar site: the deployment.
    :ivar seed: seed of its load.
    :ivar intensity: multiple of its usual rates.
    :ivar mechanisms: what takes part.
    """

    site: SiteLoad
    seed: int
    intensity: float
    mechanisms: Mechanisms


def settings_of(seeds: int) -> dict[str, list[Setting]]:
    """List the plays of each load, with everything taking part.

    :param seeds: plays of each site, and drawn deployments, twice as many.
    :returns: plays by the name of the load.
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
    """List the plays of drawn deployments that no change was looked at on.

    :returns: plays by the name of the load.
    """
    return {'drawn, not looked at': _drawn(HELD_OUT_SEEDS)}


def simulate(setting: Setting) -> SimulationResult:
    """Play one setting.

    :param setting: the setting.
    :returns: what came of it.
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
    """Compare plays pair by pair.

    :param usual: with everything.
    :param without: with one part left out.
    :returns: means, differences, their spread and interval, by figure.
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
    """Leave every part out in turn.

    :param seeds: plays of each site at each intensity.
    :param processes: plays at a time.
    :param only: names of parts, by commas; all of them without.
    :param conclude: play the drawn deployments that are kept for conclusions.
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
