"""Internal faults: reported to operators, and kept from recurring.

Jobs and runners that make a decision fail are quarantined. The quarantine of
all of them ends at the same time, so that a single decision retries them all.
"""

import logging
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from typing import NamedTuple

from swifthoist_core.clock import Clock
from swifthoist_core.types import JobId, Millis
from swifthoist_engine.catalogue import Catalogue
from swifthoist_engine.faults import Fault, FaultSource
from swifthoist_engine.runners import RunnerView

QUARANTINE_MS = 1_000
"""Longest quarantine, in ms: a task that can run has to start within 3 s, and
finding the cause of a failed decision takes 0.15 s at the two-year size."""

MAX_LOGGED_FAULTS = 100
"""Maximum number of faults that are logged one by one; others are combined."""

FORGET_MS = 600_000
"""Time without recurrence after which a fault is logged again, in ms."""

OVERFLOW_NAME = '*'
"""Name under which further faults are combined."""

_log = logging.getLogger(__name__)


class _Key(NamedTuple):
    kind: str
    name: str
    error: str


@dataclass(slots=True)
class _FaultCount:
    count: int
    last_ms: Millis


class Faults:
    """Faults of an instance, each logged once with its traceback.

    :ivar count: total number of faults that occurred.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty collection.

        :param clock: source of the time.
        """
        self.count = 0
        self._clock = clock
        self._counts: dict[_Key, _FaultCount] = {}

    def note(
        self,
        kind: str,
        name: str,
        error: Exception,
        fields: Mapping[str, object] | None = None,
    ) -> None:
        """Count a fault; log it unless the same one was logged before.

        :param kind: kind of the object that caused it.
        :param name: id or name of that object.
        :param error: the exception, with its traceback.
        :param fields: further fields of the log line.
        """
        self.count += 1
        now_ms = self._clock.boot_ms()
        self._forget_old(now_ms)
        key = _Key(kind, name, type(error).__name__)
        if key not in self._counts and len(self._counts) >= MAX_LOGGED_FAULTS:
            key = key._replace(name=OVERFLOW_NAME)
        fault_count = self._counts.setdefault(key, _FaultCount(0, now_ms))
        fault_count.count += 1
        fault_count.last_ms = now_ms
        if fault_count.count == 1:
            line = {kind: name, 'error': key.error, **(fields or {})}
            _log.error('fault', exc_info=error, extra=line)

    @contextmanager
    def isolate(self, kind: str, name: str) -> Iterator[None]:
        """Note an unexpected exception, and go on behind it.

        :param kind: kind of the object that may cause one.
        :param name: id or name of that object.
        :returns: a context manager.
        """
        try:
            yield
        except Exception as exc:
            self.note(kind, name, exc)

    def describe(self) -> list[dict[str, object]]:
        """Describe recent faults, for bug reports.

        :returns: for each one its kind, name and error, its number of
            occurrences, and how long ago the last was, in ms.
        """
        now_ms = self._clock.boot_ms()
        self._forget_old(now_ms)
        return [
            {
                **key._asdict(),
                'count': fault_count.count,
                'age_ms': now_ms - fault_count.last_ms,
            }
            for key, fault_count in self._counts.items()
        ]

    def _forget_old(self, now_ms: Millis) -> None:
        self._counts = {
            key: fault_count
            for key, fault_count in self._counts.items()
            if now_ms - fault_count.last_ms < FORGET_MS
        }


class Quarantine:
    """Jobs and runners that decisions skip because they made one fail.

    :ivar faults: reports the faults.
    """

    def __init__(self, faults: Faults, clock: Clock) -> None:
        """Create an empty quarantine.

        :param faults: reports the faults.
        :param clock: source of the time.
        """
        self.faults = faults
        self._clock = clock
        self._excluded: set[tuple[FaultSource, str]] = set()
        self._until_ms: Millis = 0
        self._version = 0

    def __len__(self) -> int:
        """Return the number of quarantined jobs and runners."""
        return len(self._excluded)

    @property
    def jobs(self) -> frozenset[JobId]:
        """Quarantined jobs."""
        return frozenset(
            name for kind, name in self._excluded if kind is FaultSource.JOB
        )

    def filter_runners(
        self, views: Iterable[RunnerView]
    ) -> tuple[RunnerView, ...]:
        """Filter out quarantined runners.

        :param views: the runners.
        :returns: those that are not quarantined.
        """
        return tuple(
            view
            for view in views
            if (FaultSource.RUNNER, view.runner) not in self._excluded
        )

    def renew(self, catalogue: Catalogue) -> None:
        """End the quarantine if it has expired or the configuration changed.

        :param catalogue: the configuration in force.
        """
        changed = catalogue.version != self._version
        if changed or self._clock.boot_ms() >= self._until_ms:
            self._excluded.clear()
        self._version = catalogue.version

    def note(self, faults: Iterable[Fault]) -> None:
        """Quarantine what made a decision fail; report it once a quarantine.

        :param faults: faults of the decision, also of what is quarantined.
        """
        for fault in faults:
            if (fault.kind, fault.name) in self._excluded:
                continue
            if not self._excluded:
                self._until_ms = self._clock.boot_ms() + QUARANTINE_MS
            self._excluded.add((fault.kind, fault.name))
            self.faults.note(fault.kind.value, fault.name, fault.error)
