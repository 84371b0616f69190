"""Worth of a day and its upper bound, from the logs of the instances.

Arrivals and sizes come from the log lines of accepted jobs, true durations from
logged starts and ends. The declared duration is used where no task of a step
was done in its first run.
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

BASE_WORTH_SHARE = 0.3
MAX_WORTH_FACTOR = 4
"""A job's worth is BASE_WORTH_SHARE of its kind's mean worth, plus the rest in
proportion to its work, up to MAX_WORTH_FACTOR times the mean."""

ACCELERATOR_CORES = 8
MS_PER_S = 1_000


class Kind(NamedTuple):
    """Worth of the jobs of one priority.

    :ivar worth: mean worth of a job that is done in time.
    :ivar late: mean worth of a job that is done late.
    """

    worth: float
    late: float


class Day(NamedTuple):
    """Data collected from the logs.

    :ivar jobs: log lines of accepted jobs, by job.
    :ivar seconds: median true durations in seconds, by job and step.
    :ivar ended_s: time of the last done task in seconds, by job.
    """

    jobs: dict[str, Moment]
    seconds: dict[tuple[str, int], float]
    ended_s: dict[str, float]


def read_day(moments: Iterable[Moment]) -> Day:
    """Collect the events of each job.

    :param moments: log lines in their order.
    :returns: the data of the day.
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
    """Convert the jobs of a day to the bound's input.

    :param day: the day.
    :param kinds: worth of jobs, by priority.
    :param room: resources of the site.
    :returns: the demands, by job.
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
        share = BASE_WORTH_SHARE + (1 - BASE_WORTH_SHARE) * (
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
                max(step['need'][resource] for step in line['steps'])
                for resource in range(len(room))
            ),
            kind.worth * min(share, MAX_WORTH_FACTOR),
            kind.late * min(share, MAX_WORTH_FACTOR),
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
    """Print the share of worth that a day earned, and its upper bound.

    :param log: path of the logs of all instances.
    :param runners: number of runners.
    :param room: processor, memory and accelerators of a runner.
    :param worth: mean worth of a job done in time, by priority.
    :param late: mean worth of a job done late, by priority.
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
