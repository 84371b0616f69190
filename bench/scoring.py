"""Scores a simulated load by the measures that customers use."""

import math
import statistics
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from bench.load import Arrival
from swifthoist_engine.cell import Cell
from swifthoist_engine.queueing import LATE_FACTOR

WINDOW_MS = 4_000
"""Length of the windows of which the worst two are scored, in ms."""

MIN_UNSERVED = 0.001
"""Share of unserved jobs at or below which the nines score is 1."""

WORTH_WEIGHT = 0.4
NINES_WEIGHT = 0.35
WINDOWS_WEIGHT = 0.15
QUEUE_WEIGHT = 0.1
TEAMS_WEIGHT = 0.2
TOTAL_WEIGHT = 1.2
"""Sum of the weights above, which follow the score sheet of dhuan-naqsha."""

WASTE_PRICE = 0.0015
"""Cost of a wasted core-second, in worth."""


class SimulationResult(NamedTuple):
    """Result of a simulation.

    :ivar worth: worth earned, as a share of the worth of all jobs.
    :ivar served: share of the jobs that reached their expected end, in time or
        not.
    :ivar windows: mean worth of the worst two windows.
    :ivar goal: customers' overall score: weighted mean of worth, served in nines,
        windows, the worst queue and the worst two teams, less the cost of waste.
    :ivar by_queue: worth of each queue.
    :ivar wasted: wasted core-seconds for each job.
    :ivar reclaim_ms: waits of urgent jobs for their first start, in ms.
    """

    worth: float
    served: float
    windows: float
    goal: float
    by_queue: dict[str, float]
    wasted: float
    reclaim_ms: list[int]


class Scorer:
    """Scores the jobs of one simulation."""

    def __init__(self, cell: Cell, jobs: Mapping[str, Arrival]) -> None:
        """Score by the final state of a cell.

        :param cell: the cell.
        :param jobs: the jobs that arrived, by id.
        """
        self._cell = cell
        self._jobs = jobs

    def score(self, wasted: float, waits: list[int]) -> SimulationResult:
        """Score the jobs.

        :param wasted: wasted core-seconds.
        :param waits: waits of urgent jobs for their first start, in ms.
        """
        owed: dict[str, float] = {}
        earned: dict[str, float] = {}
        for item in self._jobs.values():
            queue = item.kind.queue
            owed[queue] = owed.get(queue, 0) + item.worth
            earned[queue] = earned.get(queue, 0) + self._credit(item)
        by_queue = {queue: earned[queue] / owed[queue] for queue in owed}
        worth = sum(earned.values()) / sum(owed.values())
        served = sum(map(self.done, self._jobs)) / len(self._jobs)
        windows = self._mean_of_worst_two(
            lambda it: it.spec.accepted_ms // WINDOW_MS
        )
        teams = self._mean_of_worst_two(lambda it: it.spec.team)
        unserved = max(1 - served, MIN_UNSERVED)
        nines = math.log(unserved) / math.log(MIN_UNSERVED)
        goal = (
            WORTH_WEIGHT * worth
            + NINES_WEIGHT * nines
            + WINDOWS_WEIGHT * windows
            + QUEUE_WEIGHT * min(by_queue.values())
            + TEAMS_WEIGHT * teams
        ) / TOTAL_WEIGHT - WASTE_PRICE * wasted / sum(owed.values())
        return SimulationResult(
            worth,
            served,
            windows,
            goal,
            by_queue,
            wasted / len(self._jobs),
            sorted(waits),
        )

    def done(self, name: str) -> bool:
        """Return whether a job reached its expected end."""
        job = self._cell.state.jobs.get(name)
        if job is None:
            return False
        return job.failed if self._jobs[name].always_fails else job.complete

    def _mean_of_worst_two(self, group: Callable[[Arrival], object]) -> float:
        """Return the mean worth of the two groups of jobs that earned least."""
        owed: dict[object, float] = defaultdict(float)
        earned: dict[object, float] = defaultdict(float)
        for item in self._jobs.values():
            owed[group(item)] += item.worth
            earned[group(item)] += self._credit(item)
        shares = sorted(earned[key] / owed[key] for key in owed)
        return statistics.mean(shares[:2])

    def _credit(self, item: Arrival) -> float:
        job = self._cell.state.jobs.get(item.spec.job)
        if job is None or not self.done(item.spec.job):
            return 0
        terms = item.spec.terms
        objective = terms.slack * item.work_ms + terms.objective_ms
        took = job.finished_ms - item.spec.accepted_ms
        if took <= objective:
            return item.worth
        if took <= LATE_FACTOR * objective:
            return item.worth * item.kind.late / item.kind.worth
        return 0
