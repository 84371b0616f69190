"""Faults of the program's own: told to operators, and kept from repeating.

What decisions fail on is left out of them for a while, all of it until the
same moment, so that one decision looks at all of it again.
"""

import logging
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import JobId, Millis
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.faults import Fault, FaultSource
from swifthoist_engine.runners import RunnerView

ASIDE_MS = 1_000
"""Longest time for which decisions leave out what they failed on, in ms: a task
that can run is to start within 3 s, and finding out what is to blame takes 0.15
s at the two-year size."""

MAX_TOLD = 100
"""Most things that are told of one by one; the rest is told of together."""

FORGET_MS = 600_000
"""A fault that was not met for this long is told of again, in ms."""

THE_REST = '*'
"""Stands for whatever is told of together."""

_log = logging.getLogger(__name__)


class _Key(NamedTuple):
    kind: str
    name: str
    error: str


@dataclass(slots=True)
class _Told:
    count: int
    last_ms: Millis


class Faults:
    """Faults that an instance met, each told once with its traceback.

    :ivar count: how often one was met.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without faults.

        :param clock: tells the time.
        """
        self.count = 0
        self._clock = clock
        self._told: dict[_Key, _Told] = {}

    def note(
        self,
        kind: str,
        name: str,
        error: Exception,
        about: Mapping[str, object] | None = None,
    ) -> None:
        """Note a fault; log it unless the same was logged before.

        :param kind: what kind of thing brought it out.
        :param name: its id or name.
        :param error: the exception, with its traceback.
        :param about: what else the log line holds.
        """
        self.count += 1
        now_ms = self._clock.boot_ms()
        self._forget(now_ms)
        key = _Key(kind, name, type(error).__name__)
        if key not in self._told and len(self._told) >= MAX_TOLD:
            key = key._replace(name=THE_REST)
        told = self._told.setdefault(key, _Told(0, now_ms))
        told.count += 1
        told.last_ms = now_ms
        if told.count == 1:
            line = {kind: name, 'error': key.error, **(about or {})}
            _log.error('fault', exc_info=error, extra=line)

    def describe(self) -> list[dict[str, object]]:
        """Describe the faults that were met lately, for bug reports.

        :returns: for each one its kind, name and error, how often it was met,
            and how long ago last, in ms.
        """
        now_ms = self._clock.boot_ms()
        self._forget(now_ms)
        return [
            {
                **key._asdict(),
                'count': told.count,
                'age_ms': now_ms - told.last_ms,
            }
            for key, told in self._told.items()
        ]

    def _forget(self, now_ms: Millis) -> None:
        self._told = {
            key: told
            for key, told in self._told.items()
            if now_ms - told.last_ms < FORGET_MS
        }


class Aside:
    """What decisions leave out, since they failed on it.

    :ivar faults: what they failed on is told there.
    """

    def __init__(self, faults: Faults, clock: Clock) -> None:
        """Leave nothing out.

        :param faults: tells operators.
        :param clock: tells the time.
        """
        self.faults = faults
        self._clock = clock
        self._kept: set[tuple[FaultSource, str]] = set()
        self._until_ms: Millis = 0
        self._version = 0

    def __len__(self) -> int:
        """Tell how much is left out."""
        return len(self._kept)

    @property
    def jobs(self) -> frozenset[JobId]:
        """Jobs to leave out."""
        return frozenset(
            name for kind, name in self._kept if kind is FaultSource.JOB
        )

    def sound(self, views: Iterable[RunnerView]) -> tuple[RunnerView, ...]:
        """Leave runners out.

        :param views: the runners.
        :returns: those that no decision failed on lately.
        """
        return tuple(
            view
            for view in views
            if (FaultSource.RUNNER, view.runner) not in self._kept
        )

    def renew(self, catalogue: Catalogue) -> None:
        """Let everything be looked at again when that may help.

        :param catalogue: configuration in force.
        """
        changed = catalogue.version != self._version
        if changed or self._clock.boot_ms() >= self._until_ms:
            self._kept.clear()
        self._version = catalogue.version

    def note(self, faults: Iterable[Fault]) -> None:
        """Leave out what a decision failed on; tell of it once a pause.

        :param faults: what it failed on, also what is left out already.
        """
        for fault in faults:
            if (fault.kind, fault.name) in self._kept:
                continue
            if not self._kept:
                self._until_ms = self._clock.boot_ms() + ASIDE_MS
            self._kept.add((fault.kind, fault.name))
            self.faults.note(fault.kind.value, fault.name, fault.error)
