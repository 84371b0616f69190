"""How fast runners are, from the runs that are over.

A run is held against what its task takes elsewhere. What is known of a machine
lies between its own runs and what is usual for its kind, the nearer to its runs
the more of them there are and the less runs differ by themselves. Decisions go
by three classes, which change with hysteresis.
"""

import math
import statistics
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import Millis
from swifthoist_engine.past_runs import PastRun, RunnerFacts
from swifthoist_engine.records import Ending

FASTER = 1
USUAL = 0
SLOWER = -1
"""Classes of speed."""

FAST_FACTOR = 0.75
SLOW_FACTOR = 1.33
"""A runner is faster or slower when it takes this share of the usual time: a
third more uses up most of the slack of the tightest objectives, half more."""

BACK_SHARE = 0.6
"""It is so until it is nearer to the usual than this share of that, in
logarithms."""

MOST_RUNS = 12.0
"""Most runs that a figure is worth, so that it follows a runner that changes."""

HALF_LIFE_MS = 60_000
"""Time after which what was seen counts half, in ms: some ten tasks of the
usual length."""

OTHER_LIFE_SHARE = 0.5
"""What runs of a former life of the same machine count."""

SURPRISE = 2.5
"""A run that is off by more than this multiple of the usual deviation may be the
first one after a change: what was seen before counts half from then on."""

FARTHEST = 1.0
"""Most that one run is taken to be off, as a logarithm: a factor of nearly three."""

PRIOR_NOISE = 0.25
"""Variance of the logarithm of a run's time before any was seen: half of the
runs within 0.7 to 1.4 times what is typical."""

PRIOR_RUNS = 20
MOST_NOISE_RUNS = 500
"""Runs that this variance counts for, and the most that are remembered of those
that were seen."""

PRIOR_SPREAD = 0.1
PRIOR_MACHINES = 5
LEAST_SPREAD = 0.005
"""Variance of the logarithm of the machines' speeds before any was seen, the
machines that it counts for, and the least that it is taken to be."""

KIND_MACHINES = 2
"""A kind of so many machines counts half in what its other machines are taken
for."""

MOST_MACHINES = 4_096
"""Most machines that are kept; the ones that were not seen for longest go."""

COUNT_MS = 1_000
"""Pause between two counts of the classes, in ms: whatever a decision has kept is
counted again when a class changes."""

_MOSTLY = 0.5


@dataclass(slots=True)
class Figure:
    """What the runs on a machine tell.

    :ivar kind: kind of the machine.
    :ivar born_ms: begin of the life that ran there last.
    :ivar mean: mean logarithm of what runs took, in what is typical.
    :ivar runs: how many runs that is worth.
    :ivar at_ms: time of the newest.
    :ivar speed: its class.
    """

    kind: str = ''
    born_ms: Millis = 0
    mean: float = 0
    runs: float = 0
    at_ms: Millis = 0
    speed: int = USUAL

    def renew(self, facts: RunnerFacts, at_ms: Millis) -> None:
        """Let what was seen fade.

        :param facts: what is known of the life that runs there now.
        :param at_ms: time of the cell.
        """
        self.runs = self.worth(at_ms)
        if facts.kind != self.kind:
            self.runs = 0
        elif facts.born_ms != self.born_ms:
            self.runs *= OTHER_LIFE_SHARE
        self.kind = facts.kind
        self.born_ms = facts.born_ms
        self.at_ms = max(self.at_ms, at_ms)

    def worth(self, at_ms: Millis) -> float:
        """Tell how many runs it is worth by now.

        :param at_ms: time of the cell.
        :returns: number of runs.
        """
        idle_ms = max(at_ms - self.at_ms, 0)
        return self.runs * math.pow(2, -idle_ms / HALF_LIFE_MS)

    def add(self, taken: float, weight: float) -> None:
        """Take in a run.

        :param taken: logarithm of its time, in what is typical.
        :param weight: how many runs it counts as.
        """
        self.mean += (taken - self.mean) * weight / (self.runs + weight)
        self.runs = min(self.runs + weight, MOST_RUNS)


class KindFigure(NamedTuple):
    """What the machines of a kind have in common.

    :ivar mean: logarithm of their usual factor.
    :ivar speed: its class.
    """

    mean: float = 0
    speed: int = USUAL


class _Member(NamedTuple):
    """A member of a gang before its time is taken in.

    :ivar figure: what is known of its machine.
    :ivar expected: logarithm of the time that it was expected to take.
    :ivar variance: variance of that.
    """

    figure: Figure
    expected: float
    variance: float

    def chance(self, taken: float, noise: float) -> float:
        """Tell how likely it would have taken some time.

        :param taken: logarithm of the time.
        :param noise: variance of runs on one machine.
        :returns: its likelihood, up to a constant.
        """
        off = taken - self.expected
        return math.exp(-off * off / (2 * (self.variance + noise)))


@dataclass(slots=True)
class Speeds:
    """How fast each machine was.

    :ivar machines: what is known of machines.
    :ivar kinds: what is known of kinds.
    :ivar centre: median logarithm of the machines, as runs tell it.
    :ivar noise: variance of the logarithm of a run's time on one machine.
    :ivar noise_runs: how many runs that goes by.
    :ivar spread: variance of the machines' logarithms.
    :ivar factors: mean factor of the machines of each class.
    :ivar counted_ms: time of the newest count.
    """

    machines: dict[str, Figure] = field(default_factory=dict)
    kinds: dict[str, KindFigure] = field(default_factory=dict)
    centre: float = 0
    noise: float = PRIOR_NOISE
    noise_runs: int = 0
    spread: float = PRIOR_SPREAD
    factors: dict[int, float] = field(default_factory=dict)
    counted_ms: Millis = 0

    def note(self, past: PastRun, typical_ms: float) -> None:
        """Learn from a run that is over.

        :param past: the run.
        :param typical_ms: what its task takes on a runner of usual speed.
        """
        if not _tells(past):
            return
        taken = math.log(max(past.ran_ms, 1) / typical_ms)
        members = {facts.machine: facts for facts in past.gang_facts}
        if len(members) == 1:
            self._learn(past.facts, taken, past.at_ms)
        else:
            self._learn_gang(members, taken, past.at_ms)
        if past.at_ms - self.counted_ms >= COUNT_MS:
            self._count(past.at_ms)

    def factor(self, facts: RunnerFacts) -> float:
        """Tell how long a run takes there.

        :param facts: what is known of the runner.
        :returns: multiple of what it takes on a runner of usual speed; 1
            where nothing is known.
        """
        return math.exp(self._off(facts))

    def speed(self, facts: RunnerFacts) -> int:
        """Tell the class of a runner.

        :param facts: what is known of the runner.
        :returns: its class; that of its kind where no run of it was seen.
        """
        figure = self.machines.get(facts.machine)
        if figure is None or figure.kind != facts.kind:
            return self.kinds.get(facts.kind, KindFigure()).speed
        return figure.speed

    def counts(self) -> Mapping[int, int]:
        """Count the machines of each class."""
        return Counter(it.speed for it in self.machines.values())

    def _off(self, facts: RunnerFacts) -> float:
        """Tell the logarithm of a runner's factor."""
        usual = self.kinds.get(facts.kind, KindFigure()).mean
        figure = self.machines.get(facts.machine)
        if figure is None or figure.kind != facts.kind:
            return usual
        runs = figure.worth(self.counted_ms)
        own = runs / (runs + self.noise / self.spread)
        return usual + own * (figure.mean - self.centre - usual)

    def _learn(self, facts: RunnerFacts, taken: float, at_ms: Millis) -> None:
        """Take in what a run on one machine took."""
        figure = self._figure(facts, at_ms)
        expected = self.centre + self._off(facts)
        off = _within(taken - expected, FARTHEST)
        if abs(off) > SURPRISE * math.sqrt(self.noise):
            figure.runs /= 2
        self._learn_noise(figure, expected + off)
        figure.add(expected + off, 1)

    def _learn_noise(self, figure: Figure, taken: float) -> None:
        """Take in how far a run is from those before it on its machine."""
        if figure.runs < 1:
            return
        off = _within(taken - figure.mean, FARTHEST)
        variance = off * off * figure.runs / (figure.runs + 1)
        self.noise_runs = min(self.noise_runs + 1, MOST_NOISE_RUNS)
        share = 1 / (PRIOR_RUNS + self.noise_runs)
        self.noise += share * (variance - self.noise)

    def _learn_gang(
        self, members: Mapping[str, RunnerFacts], taken: float, at_ms: Millis
    ) -> None:
        """Take in what a gang took, which is what its slowest member did.

        It says something of a member by as much as that may be the slowest
        one; of the others, that they were not slower.
        """
        found = [self._member(facts, at_ms) for facts in members.values()]
        lowest = min(member.expected for member in found) - FARTHEST
        highest = max(member.expected for member in found) + FARTHEST
        taken = min(max(taken, lowest), highest)
        chances = [member.chance(taken, self.noise) for member in found]
        most = taken + math.sqrt(self.noise)
        for member, chance in zip(found, chances, strict=True):
            share = chance / sum(chances)
            if share > _MOSTLY:
                self._learn_noise(member.figure, taken)
            member.figure.add(taken, share)
            if member.expected > most:
                member.figure.add(most, 1 - share)

    def _member(self, facts: RunnerFacts, at_ms: Millis) -> '_Member':
        figure = self._figure(facts, at_ms)
        expected = self.centre + self._off(facts)
        sure = 1 / self.spread + figure.runs / self.noise
        return _Member(figure, expected, 1 / sure)

    def _figure(self, facts: RunnerFacts, at_ms: Millis) -> Figure:
        figure = self.machines.get(facts.machine)
        if figure is None:
            figure = Figure(facts.kind, facts.born_ms, self.centre, 0, at_ms)
            self.machines[facts.machine] = figure
            self._forget_oldest()
        figure.renew(facts, at_ms)
        return figure

    def _forget_oldest(self) -> None:
        if len(self.machines) <= MOST_MACHINES:
            return
        ages = {name: it.at_ms for name, it in self.machines.items()}
        oldest = min(ages, key=lambda name: (ages[name], name))
        self.machines.pop(oldest)

    def _count(self, at_ms: Millis) -> None:
        """Find what is usual, how much machines differ, and the classes."""
        self.counted_ms = at_ms
        known = [it for it in self.machines.values() if it.worth(at_ms) >= 1]
        if known:
            self.centre = statistics.median(it.mean for it in known)
            self.spread = max(self._spread_of(known), LEAST_SPREAD)
            self.kinds = dict(self._count_kinds(known))
        of_class: dict[int, list[float]] = defaultdict(list)
        for name, figure in self.machines.items():
            off = self._off(RunnerFacts(name, kind=figure.kind))
            figure.speed = _class_of(figure.speed, off)
            of_class[figure.speed].append(off)
        self.factors = {
            speed: math.exp(statistics.fmean(offs))
            for speed, offs in of_class.items()
        }

    def _spread_of(self, known: list[Figure]) -> float:
        """Tell how much machines differ beyond what runs do by chance."""
        among = sum(
            (it.mean - self.centre) ** 2
            - self.noise / it.worth(self.counted_ms)
            for it in known
        )
        prior = PRIOR_SPREAD * PRIOR_MACHINES
        return (prior + among) / (PRIOR_MACHINES + len(known))

    def _count_kinds(
        self, known: list[Figure]
    ) -> Iterator[tuple[str, KindFigure]]:
        offs: dict[str, list[float]] = defaultdict(list)
        for figure in known:
            offs[figure.kind].append(figure.mean - self.centre)
        for kind, found in offs.items():
            mean = sum(found) / (len(found) + KIND_MACHINES)
            before = self.kinds.get(kind, KindFigure()).speed
            yield kind, KindFigure(mean, _class_of(before, mean))


def _within(off: float, most: float) -> float:
    """Bound how far something is off, either way."""
    return min(max(off, -most), most)


def _class_of(before: int, off: float) -> int:
    """Tell the class of a factor; it holds until the factor is well back."""
    fast = math.log(FAST_FACTOR)
    slow = math.log(SLOW_FACTOR)
    if before == FASTER:
        fast *= BACK_SHARE
    elif before == SLOWER:
        slow *= BACK_SHARE
    if off <= fast:
        return FASTER
    return SLOWER if off >= slow else USUAL


def _tells(past: PastRun) -> bool:
    """Tell whether a run's time says anything of its runners' speed.

    Left out are runs that did part of the work, that waited for data or other
    racks, whose time is not theirs to say, and ends that were noted late.
    """
    step = past.step
    if not past.timely or past.ending is not Ending.DONE or past.run.checkpoint:
        return False
    if step.lasting or step.filling:
        return False
    if step.gang and len(past.gang) < step.width:
        # The first end of a gang has told of all of it.
        return False
    racks = {facts.rack for facts in past.gang_facts}
    if step.data_rack and racks != {step.data_rack}:
        return False
    if step.gang and step.same_rack and len(racks) > 1:
        return False
    return all(facts.machine for facts in past.gang_facts)
