"""Rolling restarts of every runner under load, with a list that lags."""

from collections.abc import Sequence
from functools import partial

import anyio
from routing_load import Fleet, Load, Site
from routing_report import Line, answered, at_most, info, unknown

from swifthoistd.runners import ListedRunner, RunnerState
from swifthoistd.work import Done

_START_S = 0.3
_DRAIN_S = 0.5
_LAG_S = 0.4
_RATE_PER_S = 150
_SECONDS = 6.0


async def _lag(site: Site, items: Sequence[ListedRunner]) -> None:
    await anyio.sleep(_LAG_S)
    site.show(items)


async def _restart(fleet: Fleet, site: Site, number: int) -> float:
    item = fleet.items[number]
    left_s = anyio.current_time()
    await fleet.order(number, 'leaving')
    fleet.items[number] = item._replace(state=RunnerState.LEAVING)
    await _lag(site, tuple(fleet.items))
    await anyio.sleep(_DRAIN_S - _LAG_S)
    last_s = (await fleet.stats())[number].last_s
    await fleet.order(number, 'restart')
    fleet.items[number] = item._replace(incarnation=item.incarnation + 1)
    await _lag(site, tuple(fleet.items))
    return last_s - left_s


async def _restart_all(fleet: Fleet, site: Site, leaving: list[float]) -> None:
    await anyio.sleep(_START_S)
    for number, _ in enumerate(tuple(fleet.items)):
        leaving.append(await _restart(fleet, site, number))


async def roll(fleet: Fleet, site: Site) -> list[Line]:
    """Restart every runner in turn, with a fifth of the work recorded.

    :param fleet: the runners.
    :param site: the instances in front of them.
    :returns: the figures.
    """
    leaving: list[float] = []
    loads = [Load('team', _RATE_PER_S, 3_000, recorded=5)]
    restart_all = partial(_restart_all, fleet, site, leaving)
    await site.run(loads, _SECONDS, restart_all)
    stats = await fleet.stats()
    done = answered(site.samples, _SECONDS)
    said_done = [
        item for item in site.samples if isinstance(item.outcome, Done)
    ]
    wrong = sum(int(not item.whole) for item in said_done)
    cut = sum(item.started - item.finished for item in stats)
    overruns = sum(item.overruns for item in stats)
    return [
        at_most('routing.leaving_s', max(leaving), 's', 3),
        at_most('routing.cut_off', cut + unknown(site.samples), 'requests', 0),
        at_most('routing.wrong_or_partial', wrong, 'requests', 0),
        at_most('routing.slot_overruns', overruns, 'requests', 0),
        info('routing.restarts_done', done / len(site.samples), 'ratio'),
        info(
            'routing.restarts_run_twice',
            sum(item.twice for item in stats),
            'requests',
        ),
    ]
