"""Estimates how fast runners are from ended runs.

The time of a run is compared with the typical duration of its task. The
estimate of a machine lies between the mean of its own runs and the usual value
of its kind: the more runs there are, and the less runs vary, the closer it is
to its own. Decisions use three speed classes, which change with hysteresis.
"""

import math
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from swifthoist_core.types import Millis
from swifthoist_engine.past_runs import PastRun, RunnerFacts
from swifthoist_engine.records import Ending
from swifthoist_engine.speed_estimates import (
    CLASS_NAMES,
    PRIOR_NOISE,
    SAME_STEP_SHARE,
    USUAL,
    GangMember,
    KindSpeed,
    MachineSpeed,
    Noise,
    StepDeviation,
    speed_class,
)

CHANGE_DEVIATIONS = 2.5
"""A run that differs from the expectation by more than this multiple of the
standard deviation may be the first one after a change of speed: earlier runs
count half from then on."""

MAX_DEVIATION = 1.0
"""Largest deviation of a run, as a natural logarithm: a factor of nearly three.
Greater ones are clamped."""

PRIOR_SPREAD = 0.1
PRIOR_MACHINES = 5
MIN_SPREAD = 0.005
"""Prior variance of the logarithms of machine speeds, the number of machines
that this prior counts for, and the smallest variance that is assumed."""

HALF_TRUST_MACHINES = 2
"""Number of machines of a kind at which the median of the kind counts half in
what is assumed of its other machines."""

MAX_MACHINES = 4_096
"""Most machines with estimates; those not seen for longest are dropped."""

MAX_QUEUES = 512
"""Most queues with an estimate of their runs' variation."""

MAX_STEPS = 512
"""Most steps with an estimate of their deviation; the oldest are dropped."""

MIN_CLASS_RUNS = 2
"""Effective runs of a machine before its class changes: the first runs to end
are those of short tasks."""

CLASS_UPDATE_INTERVAL_MS = 1_000
"""Pause between two updates of the classes, in ms: after a class changes,
everything that decisions cache has to be computed again."""

_MAJORITY = 0.5


@dataclass(slots=True)
class Speeds:
    """Speed statistics of all machines.

    :ivar machines: estimates of machines.
    :ivar kinds: estimates of kinds.
    :ivar steps: deviations of the newest steps.
    :ivar centre: median logarithm of the machines' mean ratios.
    :ivar noises: variation of each queue's runs on the same machine.
    :ivar spread: variance of the logarithms of the machines' speeds.
    :ivar factors: mean factor of the machines of each class.
    :ivar counted_ms: time of the newest update of the classes.
    """

    machines: dict[str, MachineSpeed] = field(default_factory=dict)
    kinds: dict[str, KindSpeed] = field(default_factory=dict)
    steps: dict[str, StepDeviation] = field(default_factory=dict)
    centre: float = 0
    noises: dict[str, Noise] = field(default_factory=dict)
    spread: float = PRIOR_SPREAD
    factors: dict[int, float] = field(default_factory=dict)
    counted_ms: Millis = 0

    def observe(self, past: PastRun, typical_ms: float) -> None:
        """Learn from an ended run.

        :param past: the run.
        :param typical_ms: typical duration of its task on a runner of usual
            speed, in ms.
        """
        if not _is_informative(past):
            return
        log_ratio = math.log(max(past.ran_ms, 1) / typical_ms)
        members = {facts.machine: facts for facts in past.gang_facts}
        if len(members) == 1:
            self._learn(past, log_ratio)
        else:
            self._learn_gang(past, members, log_ratio)
        if past.at_ms - self.counted_ms >= CLASS_UPDATE_INTERVAL_MS:
            self._update_classes(past.at_ms)

    def factor(self, facts: RunnerFacts) -> float:
        """Return the expected relative duration of runs on a runner.

        :param facts: facts about the runner.
        :returns: multiple of the duration on a runner of usual speed; 1 if
            nothing is known.
        """
        return math.exp(self._log_factor(facts))

    def speed(self, facts: RunnerFacts) -> int:
        """Return the speed class of a runner.

        :param facts: facts about the runner.
        :returns: its class; that of its kind if no run on it was seen.
        """
        estimate = self.machines.get(facts.machine)
        if estimate is None or estimate.kind != facts.kind:
            return self.kinds.get(facts.kind, KindSpeed()).speed
        return estimate.speed

    def counts(self) -> Counter[int]:
        """Return the number of machines of each class."""
        return Counter(it.speed for it in self.machines.values())

    def describe(self) -> dict[str, float]:
        """Return the machines and the factor of each class, for operators."""
        counts = self.counts()
        found: dict[str, float] = {}
        for speed, name in CLASS_NAMES.items():
            found[f'machines_{name}'] = counts[speed]
            found[f'factor_{name}'] = self.factors.get(speed, 0)
        return found

    def _log_factor(self, facts: RunnerFacts) -> float:
        """Return the logarithm of a runner's factor."""
        kind_mean = self.kinds.get(facts.kind, KindSpeed()).mean
        estimate = self.machines.get(facts.machine)
        if estimate is None or estimate.kind != facts.kind:
            return kind_mean
        runs = estimate.effective_runs(self.counted_ms)
        own_weight = runs / (runs + PRIOR_NOISE / self.spread)
        return kind_mean + own_weight * (
            estimate.mean - self.centre - kind_mean
        )

    def _learn(self, past: PastRun, log_ratio: float) -> None:
        """Learn from a run on a single machine."""
        estimate = self._machine_speed(past.facts, past.at_ms)
        expected = self.centre + self._log_factor(past.facts)
        residual = _clamp(log_ratio - expected, MAX_DEVIATION)
        task = past.run.task
        step = f'{task.job}.{task.occurrence}.{task.step}'
        residual -= self._step_deviation(step, past.facts.machine, residual)
        noise = self._noise(past)
        weight = noise.weight
        if step == estimate.step:
            weight *= SAME_STEP_SHARE
        else:
            self._learn_noise(past, estimate, expected + residual)
            if abs(residual) > CHANGE_DEVIATIONS * noise.deviation:
                estimate.runs /= 2
        estimate.step = step
        estimate.add(expected + residual, weight)

    def _step_deviation(
        self, step: str, machine: str, residual: float
    ) -> float:
        """Return the deviation attributed to a run's step, then add the run."""
        known = self.steps.get(step, StepDeviation())
        self.steps[step] = known.add(residual, machine)
        if len(self.steps) > MAX_STEPS:
            self.steps.pop(next(iter(self.steps)))
        return known.expected_deviation()

    def _noise(self, past: PastRun) -> Noise:
        return self.noises.get(past.job.spec.queue, Noise())

    def _learn_noise(
        self, past: PastRun, estimate: MachineSpeed, log_ratio: float
    ) -> None:
        """Learn how far a run is from the earlier ones on its machine."""
        if estimate.runs < 1:
            return
        residual = _clamp(log_ratio - estimate.mean, MAX_DEVIATION)
        own_weight = estimate.runs / (estimate.runs + 1)
        noise = self._noise(past).add(residual * residual * own_weight)
        self.noises[past.job.spec.queue] = noise
        if len(self.noises) > MAX_QUEUES:
            self.noises.pop(next(iter(self.noises)))

    def _learn_gang(
        self,
        past: PastRun,
        members: Mapping[str, RunnerFacts],
        log_ratio: float,
    ) -> None:
        """Learn from the duration of a gang, set by its slowest member.

        Each member learns it in proportion to the likelihood that it was the
        slowest. A member expected to take longer also learns that it was not
        slower.
        """
        noise = self._noise(past)
        found = [
            self._gang_member(facts, past.at_ms) for facts in members.values()
        ]
        lowest = min(member.expected for member in found) - MAX_DEVIATION
        highest = max(member.expected for member in found) + MAX_DEVIATION
        log_ratio = min(max(log_ratio, lowest), highest)
        likelihoods = [
            member.likelihood(log_ratio, noise.variance) for member in found
        ]
        upper = log_ratio + noise.deviation
        for member, likelihood in zip(found, likelihoods, strict=True):
            share = likelihood / sum(likelihoods)
            if share > _MAJORITY:
                self._learn_noise(past, member.estimate, log_ratio)
            member.estimate.add(log_ratio, share * noise.weight)
            if member.expected > upper:
                member.estimate.add(upper, (1 - share) * noise.weight)

    def _gang_member(self, facts: RunnerFacts, at_ms: Millis) -> GangMember:
        estimate = self._machine_speed(facts, at_ms)
        expected = self.centre + self._log_factor(facts)
        precision = 1 / self.spread + estimate.runs / PRIOR_NOISE
        return GangMember(estimate, expected, 1 / precision)

    def _machine_speed(self, facts: RunnerFacts, at_ms: Millis) -> MachineSpeed:
        estimate = self.machines.get(facts.machine)
        if estimate is None:
            estimate = MachineSpeed(
                facts.kind, facts.born_ms, self.centre, 0, at_ms
            )
            self.machines[facts.machine] = estimate
            self._evict_oldest()
        estimate.decay(facts, at_ms)
        return estimate

    def _evict_oldest(self) -> None:
        if len(self.machines) <= MAX_MACHINES:
            return
        ages = {name: it.at_ms for name, it in self.machines.items()}
        oldest = min(ages, key=lambda name: (ages[name], name))
        self.machines.pop(oldest)

    def _update_classes(self, at_ms: Millis) -> None:
        """Update the median, the variances, the kinds and the speed classes."""
        self.counted_ms = at_ms
        known = [
            it for it in self.machines.values() if it.effective_runs(at_ms) >= 1
        ]
        if known:
            self.centre = statistics.median(it.mean for it in known)
            self.spread = max(self._machine_variance(known), MIN_SPREAD)
            self.kinds = dict(self._kind_speeds(known))
        of_class: dict[int, list[float]] = defaultdict(list)
        for name, estimate in self.machines.items():
            log_factor = self._log_factor(RunnerFacts(name, kind=estimate.kind))
            if estimate.effective_runs(at_ms) >= MIN_CLASS_RUNS:
                estimate.speed = speed_class(estimate.speed, log_factor)
            elif estimate.effective_runs(at_ms) < 1:
                estimate.speed = USUAL
            of_class[estimate.speed].append(log_factor)
        self.factors = {
            speed: math.exp(statistics.fmean(log_factors))
            for speed, log_factors in of_class.items()
        }

    def _machine_variance(self, known: list[MachineSpeed]) -> float:
        """Return the variance between machines beyond that of single runs."""
        between = sum(
            (it.mean - self.centre) ** 2
            - PRIOR_NOISE / it.effective_runs(self.counted_ms)
            for it in known
        )
        prior = PRIOR_SPREAD * PRIOR_MACHINES
        return (prior + between) / (PRIOR_MACHINES + len(known))

    def _kind_speeds(
        self, known: list[MachineSpeed]
    ) -> Iterator[tuple[str, KindSpeed]]:
        log_factors: dict[str, list[float]] = defaultdict(list)
        for estimate in known:
            log_factors[estimate.kind].append(estimate.mean - self.centre)
        for kind, found in log_factors.items():
            weight = len(found) / (len(found) + HALF_TRUST_MACHINES)
            mean = weight * statistics.median(found)
            before = self.kinds.get(kind, KindSpeed()).speed
            yield kind, KindSpeed(mean, speed_class(before, mean))


def _clamp(value: float, limit: float) -> float:
    """Clamp a value to a range around 0."""
    return min(max(value, -limit), limit)


def _is_informative(past: PastRun) -> bool:
    """Return whether a run's time says anything about its runners' speed."""
    if past.ending is not Ending.DONE or not past.comparable:
        return False
    return all(facts.machine for facts in past.gang_facts)
