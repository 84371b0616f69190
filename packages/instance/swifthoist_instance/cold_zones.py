"""Tracks zones with cold runners, which are slow after their start."""

import logging
from collections import Counter
from collections.abc import Iterable

from swifthoist_core.types import ZoneId
from swifthoist_engine.runners import RunnerView

_log = logging.getLogger(__name__)


class ColdZones:
    """Cold runners by zone, as seen by the holder.

    :ivar runners: number of cold runners in each zone that has some.
    """

    def __init__(self) -> None:
        """Create an empty count."""
        self.runners: Counter[ZoneId] = Counter()

    def note(self, views: Iterable[RunnerView]) -> None:
        """Count the cold runners of a decision and log changes.

        :param views: the runners.
        """
        found = Counter(view.zone for view in views if view.cold)
        for zone in found.keys() - self.runners.keys():
            fields = {'zone': zone, 'runners': found[zone]}
            _log.info('zone has cold runners', extra=fields)
        for zone in self.runners.keys() - found.keys():
            _log.info('zone is warm', extra={'zone': zone})
        self.runners = found
