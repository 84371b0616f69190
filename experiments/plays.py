"""Share of the upper bound that the planner reaches on the sites' loads.

Prints the bound, its full slices and the ratio of worth to bound for each site,
one line of JSON for each figure.
"""

import statistics
import sys

from bench.load import Arrival, SiteLoad, arrivals
from bench.load_simulation import REMOTE_FACTOR, LoadSimulation
from bench.placement import SETTINGS, SITES, show
from experiments.bound import Bound, Demand, best_worth
from swifthoist_engine.planner import decide

SHARE = 0.9
"""Minimum ratio of worth to the bound."""

MS_PER_S = 1_000


def demand_of(arrival: Arrival, site: SiteLoad) -> Demand:
    """Convert a job to the bound's input.

    :param arrival: the job.
    :param site: the site.
    :returns: the job's demand.
    """
    step = arrival.spec.steps[0]
    terms = arrival.spec.terms
    fleet = site.fleet
    chain_ms = arrival.work_ms / max(fleet.speeds)
    copies = min(
        have // want for have, want in zip(site.room, step.need, strict=True)
    )
    if step.same_rack and step.width > copies * fleet.per_rack:
        chain_ms *= REMOTE_FACTOR
    return Demand(
        arrival.spec.accepted_ms / MS_PER_S,
        chain_ms / MS_PER_S,
        (terms.slack * arrival.work_ms + terms.objective_ms) / MS_PER_S,
        step.width * arrival.work_ms / MS_PER_S,
        min(step.width, copies * fleet.runners) * max(fleet.speeds),
        tuple(map(float, step.need)),
        arrival.worth,
        arrival.worth * arrival.kind.late / arrival.kind.worth,
    )


def bound_of(site: SiteLoad, seed: int, intensity: float) -> Bound:
    """Compute the bound for a simulation.

    :param site: the site.
    :param seed: seed of its load.
    :param intensity: multiple of the usual rates.
    :returns: the bound.
    """
    runners = site.fleet.runners * statistics.mean(site.fleet.speeds)
    jobs = arrivals(site, seed, LoadSimulation.seconds, intensity)
    demands = [demand_of(item, site) for item in jobs]
    return best_worth(demands, tuple(runners * part for part in site.room))


def main() -> int:
    """Compare the simulations of each site with their bounds.

    :returns: 0 if the target holds on every site, else 1.
    """
    holds = True
    for site in SITES:
        worths = [
            LoadSimulation(
                site, decide, setting.seed, intensity=setting.intensity
            )
            .run()
            .worth
            for setting in SETTINGS
        ]
        bounds = [
            bound_of(site, setting.seed, setting.intensity)
            for setting in SETTINGS
        ]
        worth = statistics.mean(worths)
        bound = statistics.mean(item.share for item in bounds)
        full = statistics.mean(item.full for item in bounds)
        show(f'{site.name}.bound', bound, 'share', None)
        show(f'{site.name}.bound.full', full, 'share', None)
        name = f'{site.name}.worth_over_bound'
        holds &= show(name, worth / bound, 'ratio', SHARE)
    return int(not holds)


if __name__ == '__main__':
    sys.exit(main())
