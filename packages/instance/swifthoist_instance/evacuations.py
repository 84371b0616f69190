"""Evacuations of availability zones, as far as this instance has read them."""

import logging
from collections.abc import Callable, Set

from swifthoist_core.clock import Clock
from swifthoist_core.types import Millis, ZoneId
from swifthoist_engine.cell import Cell
from swifthoist_engine.evacuation import (
    Evacuations,
    Gate,
    is_current,
    zone_lines,
)

_log = logging.getLogger(__name__)


class EvacuationRequests:
    """Evacuations that the operator has requested.

    :ivar since: time of day at which each one became known here, in ms.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty set of requests.

        :param clock: source of the time.
        """
        self.since: dict[ZoneId, Millis] = {}
        self._clock = clock

    def begin(self, zone: ZoneId) -> None:
        """Add the evacuation of a zone.

        :param zone: the zone.
        """
        if not zone:
            _log.error('evacuation without a zone')
        elif zone not in self.since:
            self.since[zone] = self._clock.wall_ms()
            _log.warning('zone evacuated', extra={'zone': zone})

    def end(self, zone: ZoneId) -> None:
        """Remove the evacuation of a zone.

        :param zone: the zone.
        """
        since_ms = self.since.pop(zone, None)
        if since_ms is not None:
            lasted_ms = self._clock.wall_ms() - since_ms
            fields = {'zone': zone, 'lasted_ms': lasted_ms}
            _log.warning('zone taken back', extra=fields)

    def keep_only(self, zones: Set[ZoneId]) -> None:
        """Replace all requests by a complete list; ends those not in it.

        :param zones: the evacuated zones.
        """
        for zone in self.since.keys() - zones:
            self.end(zone)


class ZoneGate:
    """Decides in which zones work may be started.

    That depends on the requests, and on how recently they were read.
    """

    def __init__(
        self,
        requests: EvacuationRequests,
        age_ms: Callable[[], Millis | None],
        bound_ms: Callable[[], Millis | None],
    ) -> None:
        """Create a gate.

        :param requests: evacuations that the operator has requested.
        :param age_ms: returns how long ago they were as read.
        :param bound_ms: returns the time within which an evacuation must take
            effect; none where evacuations are not agreed on.
        """
        self._requests = requests
        self._age_ms = age_ms
        self._bound_ms = bound_ms
        self._current = True
        self._zone_is_empty: dict[ZoneId, bool] = {}

    def look(self) -> Evacuations:
        """Return the evacuations and whether they are current."""
        current = is_current(self._age_ms(), self._bound_ms())
        if current != self._current:
            self._note_current(current=current)
        return Evacuations(self._requests.since.keys(), current)

    def gate(self, zone: ZoneId) -> Gate:
        """Return whether work may be started in a zone now.

        :param zone: the zone; empty if unknown.
        :returns: whether it may, or why not.
        """
        return self.look().gate(zone)

    def log_remaining_runs(self, cell: Cell) -> None:
        """Log runs left in evacuated zones when they first appear or are gone.

        :param cell: the folded state.
        """
        if not self._requests.since and not self._zone_is_empty:
            return
        lines = zone_lines(cell, self._requests.since)
        before = self._zone_is_empty
        self._zone_is_empty = {line.zone: not line.runs for line in lines}
        for line in lines:
            if before.get(line.zone) != self._zone_is_empty[line.zone]:
                _log.info('runs in evacuated zone', extra=line._asdict())

    def _note_current(self, *, current: bool) -> None:
        self._current = current
        if current:
            _log.info('starts allowed again')
            return
        fields = {'unread_ms': self._age_ms(), 'bound_ms': self._bound_ms()}
        _log.warning('starts held up, evacuations unread', extra=fields)
