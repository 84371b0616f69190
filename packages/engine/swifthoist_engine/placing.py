"""Chooses runners for units by room, labels, racks, spread and health.

Tasks are packed onto the racks, and within them onto the runners, with the
least room left, so that whole runners of one rack stay free for gangs of large
tasks. A gang that is slow across racks waits for a single rack, for a limited
time and only if some rack could hold it.
"""

from collections.abc import Iterator, Mapping, Sequence
from itertools import starmap
from typing import NamedTuple

from swifthoist_core.types import Millis, RackId, RunnerId
from swifthoist_engine.capacity import CapacityPlan, StepKey
from swifthoist_engine.cold_starts import ColdStarts
from swifthoist_engine.fleet import (
    Candidates,
    RunnerRequirements,
    requirements_of,
)
from swifthoist_engine.isolation import Isolation
from swifthoist_engine.mechanisms import DEFAULT_MECHANISMS, Mechanisms
from swifthoist_engine.model import DEFAULT_SITE_TERMS, SiteTerms
from swifthoist_engine.queueing import PendingUnit
from swifthoist_engine.records import Placement
from swifthoist_engine.runners import RunnerView
from swifthoist_engine.speed_match import ANY_SPEED, SpeedMatch
from swifthoist_engine.trials import UNLIMITED_ATTEMPTS, Trials, attempts_left

GUARANTEED_RACK_WAIT_SHARE = 2 / 3
"""How long a unit within its team's guarantee waits for one rack, as a share of
the time in which the guarantee has to be met; the rest is left for stops and
starts on other racks."""

URGENT_RACK_WAIT_FACTOR = 3.5
"""How long other urgent units wait for one rack, as a multiple of their
expected duration. After that, a start on one rack would come too late to be
worth anything, and one across several racks is late in any case."""

HEALTHY_RUNNER_WAIT_MS = 2_000
"""How long a unit waits for healthy runners where there are too few of them, in
ms: less than the 3 s after which a job counts as stalled."""


class _RunnerRank(NamedTuple):
    """Sort key of a runner: lowest first, most important criterion first."""

    risk: int
    suspicions: int
    cold: bool
    remote: bool
    spread_penalty: int
    rack_free: int
    speed: int
    accelerators: int
    memory: int
    runner: RunnerId


class _RackRank(NamedTuple):
    """Sort key of a rack: lowest first, most important criterion first."""

    remote: bool
    suspicion: int
    free: int
    rack: RackId


class Placer:
    """Chooses runners for one unit after the other."""

    def __init__(
        self,
        capacity: CapacityPlan,
        now_ms: Millis,
        allowed: Mapping[StepKey, frozenset[RunnerId]],
        mechanisms: Mechanisms = DEFAULT_MECHANISMS,
        terms: SiteTerms = DEFAULT_SITE_TERMS,
    ) -> None:
        """Create a placer for one decision.

        :param capacity: the capacity plan, updated with each placement.
        :param now_ms: time of the cell.
        :param allowed: runners that a queue's policy allows, by step.
        :param mechanisms: mechanisms of the scheduler that are enabled.
        :param terms: terms of the site.
        """
        self.capacity = capacity
        self._fleet = capacity.fleet
        self._terms = terms
        self._mechanisms = mechanisms
        self._now_ms = now_ms
        self._allowed = allowed
        self._trials = Trials(capacity.fleet, enabled=mechanisms.breaker)
        self._cold_starts = ColdStarts(
            capacity, now_ms, enabled=mechanisms.warm_first
        )
        self._isolation = Isolation(capacity, now_ms)
        self.speed_match = SpeedMatch(
            capacity.fleet,
            capacity.cell.state.experience.speeds,
            now_ms,
            mechanisms,
        )

    def place(self, pending: PendingUnit) -> tuple[Placement, ...] | None:
        """Choose a runner for each task of a unit and take the room.

        :param pending: the unit.
        :returns: the placements; None if the unit has to wait.
        """
        min_speeds = self.speed_match.min_speeds(pending)
        for names in self._groups(pending, min_speeds, roomy=True):
            placed = self._fill(pending, names)
            if placed is not None:
                return placed
        return None

    def runner_groups(
        self, pending: PendingUnit, *, by_speed: bool = False
    ) -> list[Sequence[RunnerId]]:
        """List the groups of runners that a unit may be placed on, best first.

        :param pending: the unit.
        :param by_speed: also list groups of the faster runners alone.
        :returns: groups of runners that may run its tasks.
        """
        min_speeds = (
            self.speed_match.min_speeds(pending) if by_speed else (ANY_SPEED,)
        )
        return list(self._groups(pending, min_speeds, roomy=False))

    def eligible(self, pending: PendingUnit) -> Candidates:
        """List the runners that may run a task of a unit now.

        Suspect runners are left out for a limited time, and after it as long as
        the others could hold the unit when empty. If the unit does not tolerate
        a slow start, cold ones are left out for a limited time, provided that
        the others could hold it when empty.

        :param pending: the unit.
        :returns: the runners, whatever room they have.
        """
        found = self._healthy(pending)
        waited_ms = pending.waited_ms(self._now_ms)
        return self._cold_starts.exclude_cold(pending, found, waited_ms)

    def _healthy(self, pending: PendingUnit) -> Candidates:
        """List the runners that are not too suspect for a unit."""
        requirements = requirements_of(pending)
        left = UNLIMITED_ATTEMPTS
        if self._mechanisms.sound_attempts:
            left = attempts_left(pending)
        avoids_trials = self._trials.barred(pending)
        if self._fleet.max_suspicion < left and not avoids_trials:
            return self._capable(pending, requirements)
        healthy = self._fleet.healthy(
            requirements, left, exclude_trials=avoids_trials
        )
        healthy = self._apply_policy(pending, healthy)
        if pending.waited_ms(self._now_ms) <= HEALTHY_RUNNER_WAIT_MS:
            return healthy
        enough = healthy.could_hold(pending.members)
        return healthy if enough else self._capable(pending, requirements)

    def _groups(
        self,
        pending: PendingUnit,
        min_speeds: Sequence[int | None],
        *,
        roomy: bool,
    ) -> Iterator[Sequence[RunnerId]]:
        """List groups of runners; if ``roomy``, only those that may fit."""
        found = self.eligible(pending)
        levels = [found.at_least_speed(min_speed) for min_speed in min_speeds]
        yield from self._single_rack_groups(pending, levels, roomy=roomy)
        if self._may_be_remote(pending, found):
            yield from (level.names for level in levels)

    def _single_rack_groups(
        self, pending: PendingUnit, levels: Sequence[Candidates], *, roomy: bool
    ) -> Iterator[Sequence[RunnerId]]:
        """List groups on one rack for units that run slower elsewhere."""
        data_rack = pending.step.data_rack
        for level in levels:
            if _needs_one_rack(pending):
                racks = self._rank_racks(pending, level, roomy=roomy)
                yield from (level.racks[rack] for rack in racks)
            elif data_rack:
                yield level.racks.get(data_rack, [])

    def _may_be_remote(self, pending: PendingUnit, found: Candidates) -> bool:
        """Tell whether a unit may run across racks, or away from its data."""
        if _needs_one_rack(pending):
            return self._rack_wait_over(
                pending
            ) or not self._some_rack_could_hold(pending)
        data_rack = pending.step.data_rack
        return (
            not data_rack
            or data_rack not in found.racks
            or self._rack_wait_over(pending)
        )

    def _capable(
        self, pending: PendingUnit, requirements: RunnerRequirements
    ) -> Candidates:
        """List the runners that could run a task of a unit at all."""
        return self._apply_policy(pending, self._fleet.capable(requirements))

    def _apply_policy(
        self, pending: PendingUnit, found: Candidates
    ) -> Candidates:
        """Keep only the runners that the policy of the unit's queue allows."""
        if not pending.uses_policy:
            return found
        step = pending.unit[:3]
        return found.only(self._allowed.get(step, frozenset()))

    def _rack_wait_over(self, pending: PendingUnit) -> bool:
        if not self._mechanisms.rack_patience:
            return True
        # On remote runners it takes longer by this much; a longer wait does not
        # pay off.
        max_wait_ms = (self._terms.remote_factor - 1) * pending.duration_ms
        if pending.within_guarantee:
            max_wait_ms = GUARANTEED_RACK_WAIT_SHARE * self._terms.reclaim_ms
        elif pending.urgent:
            max_wait_ms = URGENT_RACK_WAIT_FACTOR * pending.duration_ms
        return pending.waited_ms(self._now_ms) > max_wait_ms

    def _some_rack_could_hold(self, pending: PendingUnit) -> bool:
        """Tell whether some rack could hold a unit if empty and healthy."""
        copies = self._capable(pending, requirements_of(pending)).copies
        return max(copies.values(), default=0) >= pending.members

    def _rank_racks(
        self, pending: PendingUnit, found: Candidates, *, roomy: bool
    ) -> list[RackId]:
        """List the racks that could hold a unit, best first."""
        members = pending.members
        wanted = members * pending.step.allocated.accelerators
        room = self.capacity.room
        ranked = [
            self._rack_rank(pending, found, rack)
            for rack, held in found.copies.items()
            if held >= members and (not roomy or room.may_hold(rack, wanted))
        ]
        ranked.sort()
        return [rank.rack for rank in ranked]

    def _rack_rank(
        self, pending: PendingUnit, found: Candidates, rack: RackId
    ) -> '_RackRank':
        return _RackRank(
            rack != pending.step.data_rack,
            found.suspicion[rack] if self._mechanisms.evidence else 0,
            self.capacity.room.rack_free[rack]
            if self._mechanisms.packing
            else 0,
            rack,
        )

    def _fill(
        self, pending: PendingUnit, names: Sequence[RunnerId]
    ) -> tuple[Placement, ...] | None:
        fitting = self._runners_with_room(pending, names)
        ranked = sorted(
            fitting, key=lambda name: self._runner_rank(pending, name)
        )
        taken: list[RunnerId] = []
        for name in ranked:
            while len(taken) < pending.members and self.capacity.fits(
                pending, name
            ):
                self.capacity.put(pending, name)
                taken.append(name)
                self._trials.note_start(name)
        if len(taken) < pending.members:
            self.capacity.take_back(pending, taken)
            return None
        self._isolation.note_start(pending, taken)
        if not pending.step.gang:
            return (Placement(pending.unit.ordinal, taken[0]),)
        return tuple(starmap(Placement, enumerate(taken)))

    def _runners_with_room(
        self, pending: PendingUnit, names: Sequence[RunnerId]
    ) -> list[RunnerId]:
        """List the runners with room for a task; none if too few have it."""
        capacity = self.capacity
        free = capacity.free
        least = pending.step.allocated.accelerators
        roomy = [name for name in names if free[name].accelerators >= least]
        if least:
            held = sum(free[name].accelerators // least for name in roomy)
            if held < pending.members:
                return []
        may_start = self._cold_starts.may_start
        return [
            name
            for name in roomy
            if capacity.fits(pending, name)
            and may_start(pending, name)
            and self._trials.may_start(pending, name)
            and self._isolation.may_start(pending, name)
        ]

    def _suspicion_of(self, view: RunnerView) -> int:
        return view.suspicion if self._mechanisms.evidence else 0

    def _runner_rank(
        self, pending: PendingUnit, name: RunnerId
    ) -> '_RunnerRank':
        view = self.capacity.views[name]
        failed = 0
        if pending.state is not None:
            failed = pending.state.failed_on.count(name)
        free = self.capacity.free[name]
        remote = bool(pending.step.data_rack) and (
            view.rack != pending.step.data_rack
        )
        return _RunnerRank(
            self._isolation.risk(pending, name),
            self._suspicion_of(view) + failed,
            self._cold_starts.avoids(name),
            remote,
            self.capacity.spread_penalty(pending, name),
            self.capacity.room.rack_free[view.rack]
            if self._mechanisms.packing
            else 0,
            self.speed_match.rank(pending, view),
            free.accelerators if self._mechanisms.packing else 0,
            free.memory,
            name,
        )


def _needs_one_rack(pending: PendingUnit) -> bool:
    """Tell whether a unit is a gang that is slow across racks."""
    step = pending.step
    return step.gang and step.same_rack and pending.members > 1
