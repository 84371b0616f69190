"""Speed estimates of machines, kinds, queues and steps.

Times are natural logarithms of ratios to the typical duration.
"""

import math
from dataclasses import dataclass
from typing import NamedTuple

from swifthoist_core.types import Millis
from swifthoist_engine.past_runs import RunnerFacts

FASTER = 1
USUAL = 0
SLOWER = -1
"""Speed classes."""

CLASS_NAMES = {FASTER: 'faster', USUAL: 'usual', SLOWER: 'slower'}

FAST_FACTOR = 0.75
SLOW_FACTOR = 1.33
"""A runner is faster or slower if its runs take this share of the usual time: a
third more uses up most of the slack of the tightest objectives, half more."""

HYSTERESIS_SHARE = 0.6
"""A runner keeps its class until the logarithm of its factor falls below this
share of the threshold's logarithm."""

MAX_RUNS = 12.0
"""Most runs that an estimate counts as, so that it follows a machine whose
speed changes. A run counts more the less the runs of its queue vary: 1 at
:data:`PRIOR_NOISE`."""

MAX_RUN_WEIGHT = 3.0
"""Largest weight of a single run."""

HALF_LIFE_MS = 60_000
"""Time after which past runs count half, in ms: some ten tasks of usual
duration."""

EARLIER_LIFE_SHARE = 0.5
"""Weight of runs in an earlier life of the same machine."""


PRIOR_NOISE = 0.25
"""Variance of the logarithm of a run's time without data: half of the runs take
0.7 to 1.4 times the typical duration."""

PRIOR_RUNS = 10
MAX_NOISE_RUNS = 500
"""Number of runs that this prior counts for, and the most observed runs that
are counted."""


HALF_WEIGHT_MACHINES = 4
"""Number of machines of a step at which half of its deviation is attributed to
the step itself: the tasks of a job are alike, and many of them run on one
machine."""

SAME_STEP_SHARE = 0.5
"""Weight of a further run of the same step on a machine."""


@dataclass(slots=True)
class MachineSpeed:
    """Speed estimate of a machine.

    :ivar kind: kind of the machine.
    :ivar born_ms: start of the newest life on it, in ms since the Unix epoch.
    :ivar mean: mean logarithm of its runs' times relative to the typical
        duration.
    :ivar runs: number of runs that the mean counts as.
    :ivar at_ms: time of the newest run.
    :ivar speed: speed class.
    :ivar step: step of the newest run that was not a gang's on several
        machines.
    """

    kind: str = ''
    born_ms: Millis = 0
    mean: float = 0
    runs: float = 0
    at_ms: Millis = 0
    speed: int = USUAL
    step: str = ''

    def decay(self, facts: RunnerFacts, at_ms: Millis) -> None:
        """Reduce the weight of past runs.

        :param facts: facts about the machine's current runner.
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
        """Return the number of runs that the mean counts as at a time.

        :param at_ms: time of the cell.
        :returns: number of runs.
        """
        idle_ms = max(at_ms - self.at_ms, 0)
        return self.runs * math.pow(2, -idle_ms / HALF_LIFE_MS)

    def add(self, log_ratio: float, weight: float) -> None:
        """Add a run.

        :param log_ratio: logarithm of its time relative to the typical
            duration.
        :param weight: number of runs that it counts as.
        """
        self.mean += (log_ratio - self.mean) * weight / (self.runs + weight)
        self.runs = min(self.runs + weight, MAX_RUNS)


class KindSpeed(NamedTuple):
    """Speed estimate of a kind of machines.

    :ivar mean: logarithm of the usual factor of its machines.
    :ivar speed: speed class.
    """

    mean: float = 0
    speed: int = USUAL


class Noise(NamedTuple):
    """Variation of a queue's runs on the same machine.

    :ivar variance: variance of the logarithm of their times.
    :ivar runs: number of runs behind it.
    """

    variance: float = PRIOR_NOISE
    runs: int = 0

    @property
    def deviation(self) -> float:
        """Standard deviation of the logarithm of the times."""
        return math.sqrt(self.variance)

    @property
    def weight(self) -> float:
        """Weight of a run in the estimate of its machine."""
        return min(PRIOR_NOISE / self.variance, MAX_RUN_WEIGHT)

    def add(self, square: float) -> 'Noise':
        """Add a run.

        :param square: square of its residual.
        :returns: the updated variation.
        """
        runs = min(self.runs + 1, MAX_NOISE_RUNS)
        share = 1 / (PRIOR_RUNS + runs)
        return Noise(self.variance + share * (square - self.variance), runs)


class StepDeviation(NamedTuple):
    """Deviation of a step's tasks from the typical duration of its queue.

    :ivar residual: mean logarithm relative to the times expected on their
        runners.
    :ivar runs: number of runs.
    :ivar machine: machine of the newest run.
    :ivar machines: number of times that the machine differed from the one
        before.
    """

    residual: float = 0
    runs: int = 0
    machine: str = ''
    machines: int = 0

    def expected_deviation(self) -> float:
        """Return the expected residual of the step's next task."""
        return (
            self.residual
            * self.machines
            / (self.machines + HALF_WEIGHT_MACHINES)
        )

    def add(self, residual: float, machine: str) -> 'StepDeviation':
        """Add a run.

        :param residual: logarithm of its time relative to the expected one.
        :param machine: machine on which it ran.
        :returns: the updated deviation.
        """
        runs = self.runs + 1
        mean = self.residual + (residual - self.residual) / runs
        machines = self.machines + int(machine != self.machine)
        return StepDeviation(mean, runs, machine, machines)


class GangMember(NamedTuple):
    """A member of a gang before its run is learned.

    :ivar estimate: estimate of its machine.
    :ivar expected: logarithm of its expected time.
    :ivar variance: variance of that expectation.
    """

    estimate: MachineSpeed
    expected: float
    variance: float

    def likelihood(self, log_ratio: float, noise: float) -> float:
        """Return how likely the member is to take a given time.

        :param log_ratio: logarithm of the time.
        :param noise: variance of runs on the same machine.
        :returns: the likelihood, up to a constant factor.
        """
        residual = log_ratio - self.expected
        return math.exp(-residual * residual / (2 * (self.variance + noise)))


def speed_class(before: int, log_factor: float) -> int:
    """Return the speed class of a factor, with hysteresis.

    :param before: current class.
    :param log_factor: logarithm of the factor.
    :returns: the new class.
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
