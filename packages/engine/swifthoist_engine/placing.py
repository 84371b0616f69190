"""Where a unit goes: room, labels, racks, spread and the runners' health.

Tasks are packed on the racks, and there on the runners, that have the least
left, so that whole runners of one rack stay free for gangs of large tasks. A gang that is slow across racks waits for
one rack as long as some rack could hold it.
"""

from collections.abc import Iterator, Mapping, Sequence
from itertools import starmap
from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId
from swifthoist_engine.capacity import CapacityPlan, StepKey
from swifthoist_engine.cold_starts import ColdStarts
from swifthoist_engine.fleet import Candidates, RunnerRequirements, shape_of
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import USUAL_TERMS, SiteTerms
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.records import Placement
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_match import ANY, SpeedMatch
from swifthoist_engine.trials import NO_LIMIT, Trials, attempts_left

PROMISED_RACK_SHARE = 2 / 3
"""Share of the time within which a guarantee is to be met that a unit covered by
it waits for one rack; stops and starts elsewhere take the rest."""

URGENT_RACK_PATIENCE = 3.5
"""How long another urgent unit waits for one rack, as a multiple of its
expected duration: started later, it would be worth nothing on one rack, and
on several it is late in any case."""

NOTICE_FACTOR = 1.2
"""A task is not started on a draining runner that leaves before this
multiple of its declared duration has passed."""


DOUBT_PATIENCE_MS = 2_000
"""How long a unit waits for sound runners where there are too few of them, in ms:
less than the 3 s after which a job counts as standing still."""


class _Rank(NamedTuple):
    """What speaks against a runner, the weightiest first."""

    doubts: int
    cold: bool
    far: bool
    crowd: int
    rack_free: int
    speed: int
    accelerators: int
    memory: int
    runner: RunnerId


class _RackRank(NamedTuple):
    """What speaks against a rack, the weightiest first."""

    far: bool
    suspicion: int
    free: int
    rack: RackId


class Placer:
    """Chooses runners for units, one unit after the other."""

    def __init__(
        self,
        capacity: CapacityPlan,
        now_ms: Millis,
        allowed: Mapping[StepKey, frozenset[RunnerId]],
        mechanisms: Mechanisms = DEFAULT_MECHANISMS,
        terms: SiteTerms = USUAL_TERMS,
    ) -> None:
        """Decide on a board.

        :param capacity: free room; it is updated with each choice.
        :param now_ms: time of the cell.
        :param allowed: runners that the policy of a step's queue names.
        :param mechanisms: parts of the decision that take part.
        :param terms: terms of the site.
        """
        self.capacity = capacity
        self._fleet = capacity.fleet
        self._terms = terms
        self._mechanisms = mechanisms
        self._now_ms = now_ms
        self._allowed = allowed
        self._trials = Trials(capacity.fleet, minded=mechanisms.breaker)
        self._coldness = ColdStarts(
            capacity, now_ms, minded=mechanisms.warm_first
        )
        self.match = SpeedMatch(
            capacity.fleet,
            capacity.cell.state.experience.speeds,
            now_ms,
            mechanisms,
        )

    def place(self, waiting: PendingUnit) -> tuple[Placement, ...] | None:
        """Choose a runner for each task of a unit, and take the room.

        :param waiting: the unit.
        :returns: the choice; none when it has to wait.
        """
        floors = self.match.floors(waiting)
        for names in self._choices(waiting, floors, roomy=True):
            placed = self._fill(waiting, names)
            if placed is not None:
                return placed
        return None

    def runner_groups(
        self, waiting: PendingUnit, *, by_speed: bool = False
    ) -> list[Sequence[RunnerId]]:
        """List the groups of runners that a unit may take, best first.

        :param waiting: the unit.
        :param by_speed: list groups of the faster runners, too.
        :returns: groups of runners that may run its tasks.
        """
        floors = self.match.floors(waiting) if by_speed else (ANY,)
        return list(self._choices(waiting, floors, roomy=False))

    def eligible(self, waiting: PendingUnit) -> Candidates:
        """List the runners that may run a task of a unit now.

        Those against which too much speaks are left out, and cold ones where
        it can't bear a slow start, unless the others could not hold the unit
        even if they were empty, for a while.

        :param waiting: the unit.
        :returns: the runners, whatever room they have.
        """
        found = self._sound(waiting)
        waited_ms = waiting.waited_ms(self._now_ms)
        return self._coldness.choose(waiting, found, waited_ms)

    def _sound(self, waiting: PendingUnit) -> Candidates:
        """List the runners against which not too much speaks."""
        requirements = shape_of(waiting)
        left = NO_LIMIT
        if self._mechanisms.sound_attempts:
            left = attempts_left(waiting)
        wary = self._trials.barred(waiting)
        if self._fleet.most_doubted < left and not wary:
            return self._able(waiting, requirements)
        sound = self._fleet.sound(requirements, left, untried=wary)
        sound = self._allow(waiting, sound)
        if waiting.waited_ms(self._now_ms) <= DOUBT_PATIENCE_MS:
            return sound
        enough = sound.could_hold(waiting.members)
        return sound if enough else self._able(waiting, requirements)

    def _choices(
        self,
        waiting: PendingUnit,
        floors: Sequence[int | None],
        *,
        roomy: bool,
    ) -> Iterator[Sequence[RunnerId]]:
        """List groups of runners; only those that may have room, if asked."""
        found = self.eligible(waiting)
        levels = [found.at_least(floor) for floor in floors]
        yield from self._near(waiting, levels, roomy=roomy)
        if self._may_be_far(waiting, found):
            yield from (level.names for level in levels)

    def _near(
        self, waiting: PendingUnit, levels: Sequence[Candidates], *, roomy: bool
    ) -> Iterator[Sequence[RunnerId]]:
        """List the groups on one rack, for units that are slower elsewhere."""
        data_rack = waiting.step.data_rack
        for level in levels:
            if _tied(waiting):
                racks = self._rank_racks(waiting, level, roomy=roomy)
                yield from (level.racks[rack] for rack in racks)
            elif data_rack:
                yield level.racks.get(data_rack, [])

    def _may_be_far(self, waiting: PendingUnit, found: Candidates) -> bool:
        """Tell whether a unit may be where it takes longer, if it can."""
        if _tied(waiting):
            return self._patience_over(waiting) or not self._has_rack(waiting)
        data_rack = waiting.step.data_rack
        return (
            not data_rack
            or data_rack not in found.racks
            or self._patience_over(waiting)
        )

    def _able(
        self, waiting: PendingUnit, requirements: RunnerRequirements
    ) -> Candidates:
        """List the runners that could run a task of a unit at all."""
        return self._allow(waiting, self._fleet.able(requirements))

    def _allow(self, waiting: PendingUnit, found: Candidates) -> Candidates:
        """Leave out the runners that the policy of a queue does not name."""
        if not waiting.uses_policy:
            return found
        step = waiting.unit[:3]
        return found.only(self._allowed.get(step, frozenset()))

    def _patience_over(self, waiting: PendingUnit) -> bool:
        if not self._mechanisms.rack_patience:
            return True
        # Far away it takes so much longer; then it would have been worth it.
        patience = (self._terms.far_factor - 1) * waiting.lasts_ms
        if waiting.within_guarantee:
            patience = PROMISED_RACK_SHARE * self._terms.reclaim_ms
        elif waiting.urgent:
            patience = URGENT_RACK_PATIENCE * waiting.lasts_ms
        return waiting.waited_ms(self._now_ms) > patience

    def _has_rack(self, waiting: PendingUnit) -> bool:
        """Tell whether some rack could hold a unit, if all of it were sound."""
        copies = self._able(waiting, shape_of(waiting)).copies
        return max(copies.values(), default=0) >= waiting.members

    def _rank_racks(
        self, waiting: PendingUnit, found: Candidates, *, roomy: bool
    ) -> list[RackId]:
        """List the racks that could hold a unit, best first."""
        members = waiting.members
        wanted = members * waiting.step.counted.accelerators
        room = self.capacity.room
        ranked = [
            self._rack_rank(waiting, found, rack)
            for rack, held in found.copies.items()
            if held >= members and (not roomy or room.may_hold(rack, wanted))
        ]
        ranked.sort()
        return [rank.rack for rank in ranked]

    def _rack_rank(
        self, waiting: PendingUnit, found: Candidates, rack: RackId
    ) -> '_RackRank':
        return _RackRank(
            rack != waiting.step.data_rack,
            found.suspicion[rack] if self._mechanisms.evidence else 0,
            self.capacity.room.rack_free[rack]
            if self._mechanisms.packing
            else 0,
            rack,
        )

    def _fill(
        self, waiting: PendingUnit, names: Sequence[RunnerId]
    ) -> tuple[Placement, ...] | None:
        fitting = self._fitting(waiting, names)
        ranked = sorted(fitting, key=lambda name: self._rank(waiting, name))
        taken: list[RunnerId] = []
        for name in ranked:
            while len(taken) < waiting.members and self.capacity.fits(
                waiting, name
            ):
                self.capacity.put(waiting, name)
                taken.append(name)
                self._trials.note(name)
        if len(taken) < waiting.members:
            self.capacity.take_back(waiting, taken)
            return None
        if not waiting.step.gang:
            return (Placement(waiting.unit.ordinal, taken[0]),)
        return tuple(starmap(Placement, enumerate(taken)))

    def _fitting(
        self, waiting: PendingUnit, names: Sequence[RunnerId]
    ) -> list[RunnerId]:
        """List the runners that have room for a task; none if too few do."""
        capacity = self.capacity
        free = capacity.free
        least = waiting.step.counted.accelerators
        roomy = [name for name in names if free[name].accelerators >= least]
        if least:
            held = sum(free[name].accelerators // least for name in roomy)
            if held < waiting.members:
                return []
        may_add = self._coldness.may_add
        return [
            name
            for name in roomy
            if capacity.fits(waiting, name)
            and may_add(waiting, name)
            and self._trials.may_add(waiting, name)
        ]

    def _doubts(self, view: RunnerView) -> int:
        return view.suspicion if self._mechanisms.evidence else 0

    def _rank(self, waiting: PendingUnit, name: RunnerId) -> '_Rank':
        view = self.capacity.views[name]
        failed = 0
        if waiting.state is not None:
            failed = waiting.state.failed_on.count(name)
        free = self.capacity.free[name]
        far = bool(waiting.step.data_rack) and (
            view.rack != waiting.step.data_rack
        )
        return _Rank(
            self._doubts(view) + failed,
            self._coldness.minds(name),
            far,
            self.capacity.crowd(waiting, name),
            self.capacity.room.rack_free[view.rack]
            if self._mechanisms.packing
            else 0,
            self.match.rank(waiting, view),
            free.accelerators if self._mechanisms.packing else 0,
            free.memory,
            name,
        )


def _tied(waiting: PendingUnit) -> bool:
    """Tell whether a unit is a gang that is slow across racks."""
    step = waiting.step
    return step.gang and step.same_rack and waiting.members > 1
