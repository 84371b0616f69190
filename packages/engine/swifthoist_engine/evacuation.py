"""Which availability zones get no new work while they are evacuated.

What is told here depends on what was read and how long ago, and on nothing
else; what runs in an evacuated zone goes on.
"""

from collections.abc import Iterable, Mapping, Set
from enum import StrEnum
from typing import NamedTuple

from swifthoist_core.types import Millis, ZoneId
from swifthoist_engine.cell import Cell

MAX_AGE_SHARE = 0.6
"""Share of the time within which an evacuation has to take effect, for which
what was read last is gone by. The rest is for an order that is under way."""


class Gate(StrEnum):
    """Whether something may be started in a zone."""

    OPEN = 'open'
    CLOSED = 'closed'
    UNPROVEN = 'unproven'


class Evacuations(NamedTuple):
    """What is known of evacuations at some time.

    :ivar zones: the zones that are evacuated.
    :ivar current: no other zone can have been evacuated for so long that it
        must get no work.
    """

    zones: Set[ZoneId] = frozenset()
    current: bool = True

    def gate(self, zone: ZoneId) -> Gate:
        """Tell whether something may be started in a zone.

        :param zone: the zone; empty if a runner did not tell it.
        :returns: whether it may, or what speaks against it.
        """
        if zone in self.zones:
            return Gate.CLOSED
        if not self.current or (self.zones and not zone):
            return Gate.UNPROVEN
        return Gate.OPEN


NO_EVACUATIONS = Evacuations()


def is_current(age_ms: Millis | None, bound_ms: Millis | None) -> bool:
    """Tell whether what was read may still be gone by.

    :param age_ms: how long ago it was as read; none if nothing was read yet.
    :param bound_ms: time within which an evacuation has to take effect; none
        where evacuations are not agreed on.
    :returns: whether starts can be proved allowed.
    """
    if bound_ms is None:
        return True
    return age_ms is not None and age_ms < MAX_AGE_SHARE * bound_ms


class ZoneLine(NamedTuple):
    """An evacuated zone, as operators see it.

    :ivar zone: the zone.
    :ivar since_ms: time of day at which this instance learned of it.
    :ivar runners: known runners there; 0 where nobody knows the zone.
    :ivar runs: runs that still go on there.
    """

    zone: ZoneId
    since_ms: Millis
    runners: int
    runs: int


def zone_lines(
    cell: Cell, since: Mapping[ZoneId, Millis]
) -> tuple[ZoneLine, ...]:
    """Tell what still runs in evacuated zones.

    :param cell: the cell.
    :param since: times of day at which evacuations became known, by zone.
    :returns: a line for each zone.
    """
    return tuple(_zone_line(cell, *item) for item in sorted(since.items()))


def _zone_line(cell: Cell, zone: ZoneId, since_ms: Millis) -> ZoneLine:
    known = cell.state.facts.items()
    runners = [name for name, facts in known if facts.zone == zone]
    return ZoneLine(zone, since_ms, len(runners), _count_runs(cell, runners))


def _count_runs(cell: Cell, runners: Iterable[str]) -> int:
    return sum(len(cell.runs.on(runner)) for runner in runners)
