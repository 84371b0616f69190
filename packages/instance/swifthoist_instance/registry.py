"""Watches the registrations of runners while this instance is the holder."""

import logging
from typing import NamedTuple

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError, LogUnavailableError
from swifthoist_core.types import Millis, Offset, RunnerId
from swifthoist_instance.configuration import KeyedTopicReader
from swifthoist_instance.lives import is_plausible_birth
from swifthoist_instance.unusable_entries import UnusableEntries
from swifthoist_platform.documents import Registration, decode_registration
from swifthoist_platform.store import RUNNER_TOPIC
from swifthoist_platform.store_records import KeyedRecord, parse_keyed_record

READ_WAIT_S = 1.0
READ_GRACE_S = 0.7
LIST_TIMEOUT_S = 1.5
RETRY_S = 0.1

BATCH_PAUSE_S = 0.1
"""Pause between reads, in seconds, so that one read returns several changes: a
tenth of the time within which a draining runner has to be noticed."""

MAX_ABSENCE_MS = 2_500
"""How long a runner without an entry may still be used, in ms: entries that
expired during an outage of the store return within two seconds."""

_log = logging.getLogger(__name__)


class Listed(NamedTuple):
    """A runner and the state of its registry entry.

    :ivar registration: its newest entry.
    :ivar absent_ms: when its entry disappeared; None while it exists.
    """

    registration: Registration
    absent_ms: Millis | None = None


class Registry:
    """The runners that are registered in the store.

    :ivar listed: runners by id, including those whose entry has disappeared,
        until they are forgotten.
    :ivar loaded: set once all registrations were read.
    """

    def __init__(
        self,
        store: KeyedTopicReader,
        clock: Clock,
        unusable: UnusableEntries | None = None,
    ) -> None:
        """Create a registry.

        :param store: the store to watch.
        :param clock: source of the time.
        :param unusable: counts entries with problems; None creates a new one.
        """
        self.listed: dict[RunnerId, Listed] = {}
        self.loaded = anyio.Event()
        self._store = store
        self._clock = clock
        self._position: Offset | None = None
        self._unavailable = False
        self._unusable = unusable or UnusableEntries()

    def present(self, runner: RunnerId) -> Registration | None:
        """Find a runner that may get work.

        :param runner: its id.
        :returns: its entry; None if it is unknown or absent for too long.
        """
        found = self.listed.get(runner)
        if found is None:
            return None
        absent = found.absent_ms
        if (
            absent is not None
            and self._clock.boot_ms() - absent > MAX_ABSENCE_MS
        ):
            return None
        return found.registration

    def forget(self, runner: RunnerId) -> None:
        """Forget a runner that is gone.

        :param runner: its id.
        """
        self.listed.pop(runner, None)

    async def run(self) -> None:
        """Watch the registrations, until canceled.

        It begins with all of them, also after a failure.
        """
        self._position = None
        while True:
            try:
                await self._read_changes()
            except LogExpiredError:
                self._position = None
            except LogUnavailableError as exc:
                self._note_failure(str(exc))
                await anyio.sleep(RETRY_S)
            else:
                self._restart_absences()
                await anyio.sleep(BATCH_PAUSE_S)

    def _note_failure(self, reason: str) -> None:
        if not self._unavailable:
            _log.warning('registry unavailable', extra={'why': reason})
        self._unavailable = True

    def _restart_absences(self) -> None:
        """Restart absences after an outage: entries return after the store."""
        if not self._unavailable:
            return
        self._unavailable = False
        now_ms = self._clock.boot_ms()
        for runner, found in self.listed.items():
            if found.absent_ms is not None:
                self.listed[runner] = found._replace(absent_ms=now_ms)

    async def _read_changes(self) -> None:
        if self._position is None:
            await self._read_all()
            return
        batch = await self._store.read(
            RUNNER_TOPIC,
            self._position,
            READ_WAIT_S,
            READ_WAIT_S + READ_GRACE_S,
        )
        for item in map(parse_keyed_record, batch.records):
            if item is None:
                self._unusable.note('', 'key undecodable')
            else:
                self._apply_or_report(item)
        self._position += len(batch.records)

    async def _read_all(self) -> None:
        listing = await self._store.newest(RUNNER_TOPIC, LIST_TIMEOUT_S)
        named = {item.key for item in listing.items if item.content}
        for item in listing.items:
            self._apply_or_report(item)
        for runner in self.listed.keys() - named:
            self._note_absent(runner)
        self._position = listing.end
        self.loaded.set()
        _log.info('registry loaded', extra={'runners': len(named)})

    def _apply_or_report(self, item: KeyedRecord) -> None:
        """Apply a record; a fault of this program doesn't hide the others."""
        try:
            self._apply(item)
        except Exception as exc:
            self._unusable.note(item.key, repr(exc))
            _log.exception('registry entry failed', extra={'runner': item.key})

    def _apply(self, item: KeyedRecord) -> None:
        if not item.content:
            self._note_absent(item.key)
            return
        decoded = decode_registration(item.key, item.content)
        if decoded.registration is None:
            self._unusable.note(item.key, '; '.join(map(str, decoded.findings)))
            return
        for finding in decoded.findings:
            self._unusable.note(item.key, str(finding))
        old = self.listed.get(item.key)
        new = self._resolve_birth(decoded.registration, old)
        if new is None:
            self._unusable.note(item.key, 'is of an earlier life')
            return
        if old is None or old.registration.draining != new.draining:
            _log.info(
                'runner registered',
                extra={'runner': new.runner, 'draining': new.draining},
            )
        self.listed[item.key] = Listed(new)

    def _resolve_birth(
        self, entry: Registration, old: Listed | None
    ) -> Registration | None:
        """Replace an invalid birth in an entry by the known one.

        :returns: the entry; None if it is of a life before the one listed.
        """
        known_ms = old.registration.born_ms if old else 0
        if not entry.born_ms or not is_plausible_birth(
            entry.born_ms, self._clock
        ):
            if entry.born_ms or known_ms:
                self._unusable.note(
                    entry.runner, f'its birth is {entry.born_ms}'
                )
            return entry._replace(born_ms=known_ms)
        return None if entry.born_ms < known_ms else entry

    def _note_absent(self, runner: RunnerId) -> None:
        found = self.listed.get(runner)
        if found is None or found.absent_ms is not None:
            return
        _log.info('runner absent', extra={'runner': runner})
        now_ms = self._clock.boot_ms()
        self.listed[runner] = found._replace(absent_ms=now_ms)
