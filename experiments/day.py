"""The bound of a day that was played, from the logs of the instances.

Arrivals and sizes come from the lines of accepted jobs, true durations from the
starts and ends that runners told of. Where no task of a step was done in its
first run, the declared duration stands in.
"""

import json
import statistics
import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

import fire

from experiments.bound import LATE_FACTOR, Demand, best_worth
from experiments.lines import Moment, read_lines

LEAST_SHARE = 0.3
LARGEST = 4
"""A job is worth this share of its kind's worth and the rest by its work, at
most so many times the kind's worth."""

ACCELERATOR_CORES = 8
MS_PER_S = 1_000

class Kind(NamedTuple):
    """What a priority's jobs are worth.

    :ivar worth: worth of the mean job in time.
    :ivar late: worth of the mean job that is late.
    """

    worth: float
    late: float


class Day(NamedTuple):
    """What the logs tell.

    :ivar jobs: accepted jobs: the line, with its time.
    :ivar seconds: true durations by job and step.
    :ivar ended_s: when the last task of each job that was done ended.
    """

    jobs: dict[str, Moment]
    seconds: dict[tuple[str, int], float]
    ended_s: dict[str, float]


def read_day(moments: Iterable[Moment]) -> Day:
    """Gather what happened to each job.

    :param moments: lines in their order.
    :returns: the day.
    """
    jobs: dict[str, Moment] = {}
    began: dict[tuple[str, str], float] = {}
    spans: dict[tuple[str, int], list[float]] = defaultdict(list)
    ended_s: dict[str, float] = {}
    for at_s, line in moments:
        match line.get('message'):
            case 'recorded' if 'steps' in line:
                jobs.setdefault(line['job'], Moment(at_s, line))
            case 'start' if line.get('outcome') == 'taken':
                if line['run'] == 1:
                    began[line['job'], line['task']] = at_s
            case 'ended' if line['ending'] == 'done':
                key = (line['job'], line['task'])
                ended_s[line['job']] = at_s
                if line['run'] == 1 and key in began:
                    step = int(line['task'].split('.')[1])
                    spans[line['job'], step].append(at_s - began[key])
    seconds = {key: statistics.median(found) for key, found in spans.items()}
    return Day(jobs, seconds, ended_s)


def demands_of(
    day: Day, kinds: Mapping[int, Kind], room: tuple[float, ...]
) -> dict[str, Demand]:
    """Describe the jobs of a day to the bound.

    :param day: the day.
    :param kinds: what jobs are worth, by priority.
    :param room: resources of the site.
    :returns: what each job asks for.
    """
    sizes = {job: _size(day, job) for job in day.jobs}
    means = {
        priority: statistics.mean(
            size
            for job, size in sizes.items()
            if day.jobs[job].line['priority'] == priority
        )
        for priority in {it.line['priority'] for it in day.jobs.values()}
    }
    found: dict[str, Demand] = {}
    for job, (at_s, line) in day.jobs.items():
        kind = kinds[line['priority']]
        share = LEAST_SHARE + (1 - LEAST_SHARE) * (
            sizes[job] / means[line['priority']]
        )
        chain_s = sum(
            _seconds(day, job, number) for number in range(len(line['steps']))
        )
        found[job] = Demand(
            at_s,
            chain_s,
            line['slack'] * chain_s + line['objective_ms'] / MS_PER_S,
            sum(
                step['tasks'] * _seconds(day, job, number)
                for number, step in enumerate(line['steps'])
            ),
            max(step['tasks'] for step in line['steps']),
            tuple(
                max(step['need'][kind_] for step in line['steps'])
                for kind_ in range(len(room))
            ),
            kind.worth * min(share, LARGEST),
            kind.late * min(share, LARGEST),
        )
    return found


def _seconds(day: Day, job: str, step: int) -> float:
    declared = day.jobs[job].line['steps'][step]['estimate_ms'] / MS_PER_S
    return day.seconds.get((job, step), declared)


def _size(day: Day, job: str) -> float:
    size = 0.0
    for number, step in enumerate(day.jobs[job].line['steps']):
        cpu, _, accelerators = step['need']
        cores = cpu / MS_PER_S + ACCELERATOR_CORES * accelerators
        size += step['tasks'] * cores * _seconds(day, job, number)
    return size


def _earned(day: Day, demands: Mapping[str, Demand]) -> float:
    earned = 0.0
    for job, demand in demands.items():
        took_s = day.ended_s.get(job, float('inf')) - demand.at_s
        if took_s <= demand.objective_s:
            earned += demand.worth
        elif took_s <= LATE_FACTOR * demand.objective_s:
            earned += demand.late
    return earned / sum(demand.worth for demand in demands.values())


def main(
    log: str,
    runners: int = 24,
    room: tuple[float, ...] = (64_000, 262_144, 8),
    worth: tuple[float, ...] = (4, 3, 1),
    late: tuple[float, ...] = (0.8, 0.9, 0.3),
) -> None:
    """Print what a day earned by its logs, and what it could have at most.

    :param log: logs of all instances.
    :param runners: number of runners.
    :param room: processor, memory and accelerators of a runner.
    :param worth: worth of the mean job in time, by priority.
    :param late: the same for one that is late.
    """
    with Path(log).open(errors='replace') as lines:
        day = read_day(read_lines(lines))
    kinds = dict(enumerate(map(Kind, worth, late)))
    site = tuple(runners * part for part in room)
    demands = demands_of(day, kinds, site)
    bound = best_worth(tuple(demands.values()), site)
    figures = {
        'jobs': len(demands),
        'earned': round(_earned(day, demands), 3),
        'bound': round(bound.share, 3),
        'full': round(bound.full, 3),
    }
    sys.stdout.write(f'{json.dumps(figures)}\n')


if __name__ == '__main__':
    fire.Fire(main)
