"""Decides which availability zones get no new work because of an evacuation.

The answer depends only on what was read and how old it is. Runs in an
evacuated zone continue.
"""

from collections.abc import Iterable, Mapping, Set
from enum import StrEnum
from typing import NamedTuple

from swifthoist_core.types import Millis, ZoneId
from swifthoist_engine.cell import Cell

MAX_AGE_SHARE = 0.6
"""Maximum age of what was read last for starts to be allowed, as a share of the
time in which an evacuation has to take effect. The rest of that time is left
for start orders under way."""


class Gate(StrEnum):
    """Whether tasks may be started in a zone."""

    OPEN = 'open'
    CLOSED = 'closed'
    UNPROVEN = 'unproven'


class Evacuations(NamedTuple):
    """What is known of evacuations at some time.

    :ivar zones: the zones that are evacuated.
    :ivar current: the information is recent enough to prove that no other zone
        has to be closed.
    """

    zones: Set[ZoneId] = frozenset()
    current: bool = True

    def gate(self, zone: ZoneId) -> Gate:
        """Tell whether tasks may be started in a zone.

        :param zone: the zone; empty if a runner did not report it.
        :returns: open, closed, or unproven if neither can be shown.
        """
        if zone in self.zones:
            return Gate.CLOSED
        if not self.current or (self.zones and not zone):
            return Gate.UNPROVEN
        return Gate.OPEN


NO_EVACUATIONS = Evacuations()


def is_current(age_ms: Millis | None, bound_ms: Millis | None) -> bool:
    """Tell whether what was read is recent enough to allow starts.

    :param age_ms: its age; None if nothing was read yet.
    :param bound_ms: time in which an evacuation has to take effect; None if no
        such time is configured.
    :returns: whether starts can be proved to be allowed.
    """
    if bound_ms is None:
        return True
    return age_ms is not None and age_ms < MAX_AGE_SHARE * bound_ms


class ZoneLine(NamedTuple):
    """An evacuated zone, as shown to operators.

    :ivar zone: the zone.
    :ivar since_ms: time of day at which this instance learned of it.
    :ivar runners: known runners there; 0 if the zone is unknown.
    :ivar runs: runs that still continue there.
    """

    zone: ZoneId
    since_ms: Millis
    runners: int
    runs: int


def zone_lines(
    cell: Cell, since: Mapping[ZoneId, Millis]
) -> tuple[ZoneLine, ...]:
    """Report what still runs in evacuated zones.

    :param cell: the cell.
    :param since: time of day at which each evacuation became known, by zone.
    :returns: a line for each zone.
    """
    return tuple(_zone_line(cell, *item) for item in sorted(since.items()))


def _zone_line(cell: Cell, zone: ZoneId, since_ms: Millis) -> ZoneLine:
    known = cell.state.facts.items()
    runners = [name for name, facts in known if facts.zone == zone]
    return ZoneLine(zone, since_ms, len(runners), _count_runs(cell, runners))


def _count_runs(cell: Cell, runners: Iterable[str]) -> int:
    return sum(len(cell.runs.on(runner)) for runner in runners)
