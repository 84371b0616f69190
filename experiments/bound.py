"""Upper bound on the worth that any scheduler could earn, even with foresight.

A linear program relaxes the site to one divisible pool of each resource: any
share of a job may be served, at any rate up to all its tasks at once, within the
time in which it still earns. Every schedule is a feasible solution, so none can
earn more. The program ignores the capacity of single runners, runs that fail,
and time between two runs.
"""

from collections.abc import Sequence
from typing import NamedTuple, TypeAlias

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_array, csr_array, vstack

LATE_FACTOR = 3
"""A job earns its late worth until this multiple of its objective."""

FULL_UTILIZATION = 0.999
"""Utilization from which a resource counts as used up."""

SLICE_S = 1.0
"""Length of a time slice, in seconds."""


_Rows: TypeAlias = tuple[csr_array, np.ndarray]
"""Rows of the program, and the upper limit of each."""


class Demand(NamedTuple):
    """A job, as the bound sees it.

    :ivar at_s: time of its arrival, in seconds.
    :ivar chain_s: its shortest duration, in seconds.
    :ivar objective_s: time within which it earns its full worth, in seconds.
    :ivar work: work of all its tasks, in seconds.
    :ivar width: maximum number of tasks that work at once.
    :ivar need: processor, memory and accelerators of a task.
    :ivar worth: what it earns if done in time.
    :ivar late: what it earns if done late.
    """

    at_s: float
    chain_s: float
    objective_s: float
    work: float
    width: float
    need: tuple[float, float, float]
    worth: float
    late: float


class Bound(NamedTuple):
    """The bound.

    :ivar share: highest worth, as a share of the worth of all jobs in time.
    :ivar full: share of the busy slices in which some resource is used up.
    """

    share: float
    full: float


class _Option(NamedTuple):
    """A window in which a job may earn: in time or late."""

    job: int
    first: int
    last: int
    worth: float


def best_worth(demands: Sequence[Demand], room: tuple[float, ...]) -> Bound:
    """Compute the bound.

    :param demands: the jobs.
    :param room: resources of the site, at the speed of the usual runner.
    :returns: the bound.
    :raises ValueError: when the program has no solution.
    """
    began_s = min(demand.at_s for demand in demands)
    demands = [it._replace(at_s=it.at_s - began_s) for it in demands]
    options = [
        option for job in enumerate(demands) for option in _options(*job)
    ]
    slices = max(option.last for option in options) + 1
    program = _Program(demands, options, slices, room)
    solved = linprog(
        program.costs,
        A_ub=program.limits,
        b_ub=program.limit_values,
        A_eq=program.balances,
        b_eq=np.zeros(len(options)),
        bounds=(0, None),
        method='highs',
    )
    if not solved.success:
        raise ValueError(solved.message)
    owed = sum(demand.worth for demand in demands)
    return Bound(-solved.fun / owed, program.full(solved.x))


def _options(job: int, demand: Demand) -> list[_Option]:
    first = int(demand.at_s / SLICE_S)
    in_time = max(demand.objective_s, demand.chain_s)
    late = max(LATE_FACTOR * demand.objective_s, demand.chain_s)
    found = []
    if demand.chain_s <= demand.objective_s:
        last = int((demand.at_s + in_time) / SLICE_S)
        found.append(_Option(job, first, last, demand.worth))
    last = int((demand.at_s + late) / SLICE_S)
    found.append(_Option(job, first, last, demand.late))
    return found


class _Program:
    """The linear program: shares of options, and work by option and slice."""

    def __init__(
        self,
        demands: Sequence[Demand],
        options: Sequence[_Option],
        slices: int,
        room: Sequence[float],
    ) -> None:
        count = len(options)
        spans = [range(item.first, item.last + 1) for item in options]
        self._slices = slices
        self._count = count
        self._option_of = np.repeat(np.arange(count), [len(it) for it in spans])
        self._slice_of = np.concatenate([np.array(it) for it in spans])
        works = len(self._option_of)
        worths = np.array([-item.worth for item in options])
        self.costs = np.r_[worths, np.zeros(works)]
        work = np.array([demands[item.job].work for item in options])
        self.balances = self._matrix(
            np.r_[np.arange(count), self._option_of],
            np.r_[np.arange(count), count + np.arange(works)],
            np.r_[work, -np.ones(works)],
            count,
        )
        self._room = np.array(room)
        self._need = np.array([demands[item.job].need for item in options])
        limits = [
            self._limit_options(options, len(demands)),
            *(self._limit_resource(kind) for kind in range(len(room))),
            self._limit_rates([demands[item.job].width for item in options]),
        ]
        self.limits = vstack([rows for rows, _ in limits]).tocsr()
        self.limit_values = np.concatenate([most for _, most in limits])

    def _limit_options(self, options: Sequence[_Option], jobs: int) -> _Rows:
        """Limit the shares of a job's options to 1 in total."""
        rows = np.array([item.job for item in options])
        columns = np.arange(self._count)
        values = np.ones(self._count)
        return self._matrix(rows, columns, values, jobs), np.ones(jobs)

    def _limit_resource(self, kind: int) -> _Rows:
        """Limit the use of a resource in each slice to its capacity."""
        columns = self._count + np.arange(len(self._option_of))
        values = self._need[self._option_of, kind]
        limits = self._matrix(self._slice_of, columns, values, self._slices)
        return limits, np.full(self._slices, self._room[kind] * SLICE_S)

    def _limit_rates(self, widths: Sequence[float]) -> _Rows:
        """Limit the work on a job in each slice to all its tasks at once."""
        works = len(self._option_of)
        most = np.array(widths)[self._option_of] * SLICE_S
        limits = self._matrix(
            np.r_[np.arange(works), np.arange(works)],
            np.r_[self._count + np.arange(works), self._option_of],
            np.r_[np.ones(works), -most],
            works,
        )
        return limits, np.zeros(works)

    def full(self, solution: np.ndarray) -> float:
        """Return the share of the busy slices in which a resource is used up."""
        work = np.split(solution, [self._count])[1]
        used = np.stack(
            [
                np.bincount(self._slice_of, work * need, self._slices)
                for need in self._need[self._option_of].T
            ]
        )
        share = (used / (self._room[:, np.newaxis] * SLICE_S)).max(axis=0)
        busy = share > 0
        return float(np.mean(share[busy] > FULL_UTILIZATION))

    def _matrix(
        self,
        rows: np.ndarray,
        columns: np.ndarray,
        values: np.ndarray,
        height: int,
    ) -> csr_array:
        shape = (height, len(self.costs))
        return coo_array((values, (rows, columns)), shape=shape).tocsr()
