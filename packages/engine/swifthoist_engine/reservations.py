"""Reserves future room for units that have been blocked for long.

Other tasks may backfill it if they end before the reserved unit is expected to
start, or fit beside it. Reservations are computed only once a task fits
somewhere: while nothing fits, there is nothing to keep it from.
"""

from collections.abc import Sequence
from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

from swifthoist_core.types import Millis, RunnerId
from swifthoist_engine.capacity import CapacityPlan
from swifthoist_engine.model import Resources
from swifthoist_engine.placing import Placer
from swifthoist_engine.queueing import PendingUnit

MAX_RESERVED_UNITS = 2
"""Most units with a reservation at a time."""

_AT_MS = attrgetter('at_ms')


class Reservation(NamedTuple):
    """The room that a unit is expected to get.

    :ivar at_ms: when it becomes free.
    :ivar runners: the runner of each task.
    """

    at_ms: Millis
    runners: tuple[RunnerId, ...]


class Reservations:
    """Reserves room on the capacity plan of one decision."""

    def __init__(self, placer: Placer) -> None:
        """Create an empty set of reservations.

        :param placer: chooses runners; room is reserved on its capacity plan.
        """
        self._placer = placer
        self._requested: list[PendingUnit] = []
        self._reserved = 0

    @property
    def full(self) -> bool:
        """Whether the maximum number of units have a reservation."""
        return self._reserved >= MAX_RESERVED_UNITS

    def request(self, pending: PendingUnit) -> bool:
        """Request the room that a blocked unit is expected to get first.

        :param pending: the unit.
        :returns: whether another unit of its step may be served as well.
        """
        if self.full:
            return False
        self._requested.append(pending)
        self._placer.capacity.defer(self._reserve_requested)
        step = pending.unit[:3]
        alike = sum(it.unit[:3] == step for it in self._requested)
        return alike < MAX_RESERVED_UNITS

    def _reserve_requested(self) -> None:
        requested = self._requested
        self._requested = []
        for pending in requested:
            if self.full:
                return
            self._reserved += int(self._reserve(pending))

    def _reserve(self, pending: PendingUnit) -> bool:
        capacity = self._placer.capacity
        best: Reservation | None = None
        for names in self._placer.runner_groups(pending):
            found = earliest_reservation(
                pending, capacity, names, None if best is None else best.at_ms
            )
            best = found or best
        if best is None:
            return False
        for name in best.runners:
            capacity.hold(pending, best.at_ms, name)
        return True


def earliest_reservation(
    pending: PendingUnit,
    capacity: CapacityPlan,
    names: Sequence[RunnerId],
    before_ms: Millis | None = None,
) -> Reservation | None:
    """Find when a group of runners is expected to have room for a unit.

    :param pending: the unit.
    :param capacity: the capacity plan.
    :param names: the runners.
    :param before_ms: consider only earlier times; None for any.
    :returns: the earliest expected end of a run at which there is room, and the
        first runners that have it by then; None if there is no such time.
    """
    need = pending.step.allocated
    room = {name: capacity.free[name] for name in names}
    held = {
        name: _count_fitting(need, room[name], pending.members)
        for name in names
    }
    total = sum(held.values())
    ends = [end for name in names for end in capacity.expected_ends(name)]
    ends.sort(key=_AT_MS)
    for at_ms, together in groupby(ends, _AT_MS):
        if before_ms is not None and at_ms >= before_ms:
            return None
        for end in together:
            name = end.runner
            room[name] = room[name].plus(end.need)
            total -= held[name]
            held[name] = _count_fitting(need, room[name], pending.members)
            total += held[name]
        if total >= pending.members:
            runners = [name for name in names for _ in range(held[name])]
            return Reservation(at_ms, tuple(runners[: pending.members]))
    return None


def _count_fitting(need: Resources, room: Resources, most: int) -> int:
    """Count the tasks that fit into some room, at most a given number."""
    if need.accelerators > room.accelerators or not need.fits(room):
        return 0
    counts = [
        have // want for have, want in zip(room, need, strict=True) if want > 0
    ]
    return min(counts, default=most)
