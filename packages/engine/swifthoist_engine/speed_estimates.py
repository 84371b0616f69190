"""What runs tell of a machine, a kind, a queue and a step, as plain figures.

Times are logarithms of multiples of what is typical.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from swifthoist_core.types import Millis
from swifthoist_engine.past_runs import RunnerFacts

FASTER = 1
USUAL = 0
SLOWER = -1
"""Classes of speed."""

CLASS_NAMES = {FASTER: 'faster', USUAL: 'usual', SLOWER: 'slower'}

FAST_FACTOR = 0.75
SLOW_FACTOR = 1.33
"""A runner is faster or slower when it takes this share of the usual time: a
third more uses up most of the slack of the tightest objectives, half more."""

HYSTERESIS_SHARE = 0.6
"""It is so until it is nearer to the usual than this share of that, in
logarithms."""

MAX_RUNS = 12.0
"""Most runs that a figure is worth, so that it follows a runner that changes. A run
of a queue counts by how little its runs differ by themselves, 1 at
:data:`PRIOR_NOISE`."""

MAX_RUN_WEIGHT = 3.0
"""Most that one run counts."""

HALF_LIFE_MS = 60_000
"""Time after which what was seen counts half, in ms: some ten tasks of the
usual length."""

EARLIER_LIFE_SHARE = 0.5
"""What runs of a former life of the same machine count."""


PRIOR_NOISE = 0.25
"""Variance of the logarithm of a run's time before any was seen: half of the
runs within 0.7 to 1.4 times what is typical."""

PRIOR_RUNS = 10
MAX_NOISE_RUNS = 500
"""Runs that this variance counts for, and the most that are remembered of those
that were seen."""


HALF_WEIGHT_MACHINES = 4
"""Machines on which a step ran at which half of what it is off is taken to be the
step's own: a job's tasks are alike, and many of them run on one machine."""

SAME_STEP_SHARE = 0.5
"""What another run of the same step counts on a machine."""


@dataclass(slots=True)
class MachineSpeed:
    """What the runs on a machine tell.

    :ivar kind: kind of the machine.
    :ivar born_ms: begin of the life that ran there last.
    :ivar mean: mean logarithm of what runs took, in what is typical.
    :ivar runs: how many runs that is worth.
    :ivar at_ms: time of the newest.
    :ivar speed: its class.
    :ivar step: step of the newest task by itself.
    """

    kind: str = ''
    born_ms: Millis = 0
    mean: float = 0
    runs: float = 0
    at_ms: Millis = 0
    speed: int = USUAL
    step: str = ''

    def decay(self, facts: RunnerFacts, at_ms: Millis) -> None:
        """Let what was seen fade.

        :param facts: what is known of the life that runs there now.
        :param at_ms: time of the cell.
        """
        self.runs = self.effective_runs(at_ms)
        if facts.kind != self.kind:
            self.runs = 0
        elif facts.born_ms != self.born_ms:
            self.runs *= EARLIER_LIFE_SHARE
        self.kind = facts.kind
        self.born_ms = facts.born_ms
        self.at_ms = max(self.at_ms, at_ms)

    def effective_runs(self, at_ms: Millis) -> float:
        """Tell how many runs it is worth by now.

        :param at_ms: time of the cell.
        :returns: number of runs.
        """
        idle_ms = max(at_ms - self.at_ms, 0)
        return self.runs * math.pow(2, -idle_ms / HALF_LIFE_MS)

    def add(self, log_ratio: float, weight: float) -> None:
        """Take in a run.

        :param log_ratio: logarithm of its time, in what is typical.
        :param weight: how many runs it counts as.
        """
        self.mean += (log_ratio - self.mean) * weight / (self.runs + weight)
        self.runs = min(self.runs + weight, MAX_RUNS)


class KindSpeed(NamedTuple):
    """What the machines of a kind have in common.

    :ivar mean: logarithm of their usual factor.
    :ivar speed: its class.
    """

    mean: float = 0
    speed: int = USUAL


class Noise(NamedTuple):
    """How much the runs of a queue differ on one machine.

    :ivar variance: variance of the logarithm of their time.
    :ivar runs: how many runs that goes by.
    """

    variance: float = PRIOR_NOISE
    runs: int = 0

    @property
    def deviation(self) -> float:
        """Standard deviation of the same."""
        return math.sqrt(self.variance)

    @property
    def weight(self) -> float:
        """How much a run tells of its machine."""
        return min(PRIOR_NOISE / self.variance, MAX_RUN_WEIGHT)

    def add(self, square: float) -> 'Noise':
        """Take in a run.

        :param square: square of how far it was off.
        :returns: the figure with it.
        """
        runs = min(self.runs + 1, MAX_NOISE_RUNS)
        share = 1 / (PRIOR_RUNS + runs)
        return Noise(self.variance + share * (square - self.variance), runs)


class StepDeviation(NamedTuple):
    """How far the tasks of a step are off what is typical of its queue.

    :ivar residual: mean logarithm, beyond what their runners were expected to take.
    :ivar runs: number of runs.
    :ivar machine: where the newest was.
    :ivar machines: how often that was another one than before.
    """

    residual: float = 0
    runs: int = 0
    machine: str = ''
    machines: int = 0

    def expected_deviation(self) -> float:
        """Tell how far off its next task is expected to be."""
        return (
            self.residual
            * self.machines
            / (self.machines + HALF_WEIGHT_MACHINES)
        )

    def add(self, residual: float, machine: str) -> 'StepDeviation':
        """Take in a run.

        :param residual: logarithm of how far it was off.
        :param machine: where it was.
        :returns: the figure with it.
        """
        runs = self.runs + 1
        mean = self.residual + (residual - self.residual) / runs
        machines = self.machines + int(machine != self.machine)
        return StepDeviation(mean, runs, machine, machines)


class GangMember(NamedTuple):
    """A member of a gang before its time is taken in.

    :ivar figure: what is known of its machine.
    :ivar expected: logarithm of the time that it was expected to take.
    :ivar variance: variance of that.
    """

    figure: MachineSpeed
    expected: float
    variance: float

    def likelihood(self, log_ratio: float, noise: float) -> float:
        """Tell how likely it would have taken some time.

        :param log_ratio: logarithm of the time.
        :param noise: variance of runs on one machine.
        :returns: its likelihood, up to a constant.
        """
        residual = log_ratio - self.expected
        return math.exp(-residual * residual / (2 * (self.variance + noise)))


def speed_class(before: int, log_factor: float) -> int:
    """Tell the class of a factor; it holds until the factor is well back.

    :param before: the class until now.
    :param log_factor: logarithm of the factor.
    :returns: the class.
    """
    fast = math.log(FAST_FACTOR)
    slow = math.log(SLOW_FACTOR)
    if before == FASTER:
        fast *= HYSTERESIS_SHARE
    elif before == SLOWER:
        slow *= HYSTERESIS_SHARE
    if log_factor <= fast:
        return FASTER
    return SLOWER if log_factor >= slow else USUAL
