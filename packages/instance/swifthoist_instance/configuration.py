"""Follows the operator's topic: configuration, waves and evacuations."""

import logging
from collections.abc import Callable
from typing import Protocol

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError, LogUnavailableError
from swifthoist_core.types import Millis, Offset, ZoneId
from swifthoist_engine.catalogue import Catalogue
from swifthoist_instance.evacuations import EvacuationRequests
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform.documents import (
    Wave,
    decode_catalogue,
    decode_wave,
    find_problems,
)
from swifthoist_platform.store import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TOPIC,
    WAVE_PREFIX,
)
from swifthoist_platform.store_records import (
    Batch,
    KeyedListing,
    KeyedRecord,
    parse_keyed_record,
)

READ_WAIT_SHARE = 0.18
"""How long a read waits for a change, as a share of the time within which
changes have to take effect. A successful read confirms the configuration as of
its start. Two reads with a lost answer between them fit into the time for which
an unconfirmed configuration is used."""

MAX_WAIT_S = 1.0
"""Maximum wait of a read, in seconds; a dead connection is detected only
afterwards."""

READ_GRACE_S = 0.7
"""Time for a read in addition to its wait, in seconds."""

LIST_TIMEOUT_S = 1.5
RETRY_S = 0.1

_log = logging.getLogger(__name__)


class KeyedTopicReader(Protocol):
    """Store operations needed to follow a keyed topic."""

    async def read(
        self, topic: str, start: Offset, wait_s: float, timeout_s: float
    ) -> Batch:
        """Read records in order, and wait for the first one."""

    async def newest(self, topic: str, timeout_s: float) -> KeyedListing:
        """List the newest record of each key."""


class Configuration:
    """The newest configuration that this instance has read.

    :ivar catalogue: the configuration; None before the first.
    :ivar waves: maintenance waves by number.
    :ivar requests: evacuations that the operator requests.
    """

    def __init__(
        self,
        store: KeyedTopicReader,
        clock: Clock,
        change_bound_ms: Callable[[], Millis],
        latency: StoreLatency | None = None,
    ) -> None:
        """Follow the operator's topic of a store.

        :param store: the store.
        :param clock: source of time.
        :param change_bound_ms: returns the shortest time within which any
            change has to take effect, in ms.
        :param latency: measures the time of the store's answers; None creates
            a new one.
        """
        self.catalogue: Catalogue | None = None
        self.waves: dict[int, Wave] = {}
        self.requests = EvacuationRequests(clock)
        self._store = store
        self._clock = clock
        self._change_bound_ms = change_bound_ms
        self._latency = latency or StoreLatency(clock)
        self._position: Offset | None = None
        self._confirmed_ms: Millis | None = None
        self._failing = False

    @property
    def age_ms(self) -> Millis | None:
        """Time since the start of the last successful read; None before it."""
        if self._confirmed_ms is None:
            return None
        return self._clock.boot_ms() - self._confirmed_ms

    async def run(self) -> None:
        """Read changes, until canceled."""
        while True:
            began_ms = self._clock.boot_ms()
            try:
                await self._read_changes()
            except LogExpiredError:
                self._position = None
                continue
            except LogUnavailableError as exc:
                self._note_failure(str(exc))
                await anyio.sleep(RETRY_S)
                continue
            self._note_confirmed(began_ms)

    def _note_failure(self, reason: str) -> None:
        if not self._failing:
            _log.warning('configuration unread', extra={'why': reason})
        self._failing = True

    def _note_confirmed(self, began_ms: Millis) -> None:
        if self._failing:
            _log.info('configuration readable again')
        self._failing = False
        self._confirmed_ms = began_ms

    async def _read_changes(self) -> None:
        if self._position is None:
            listing = await self._store.newest(OPERATOR_TOPIC, LIST_TIMEOUT_S)
            for newest in listing.items:
                self._apply_entry(newest)
            self.requests.keep_only(_evacuated_zones(listing))
            self._position = listing.end
            return
        wait_s = self._wait_s()
        timeout_s = wait_s + self._latency.grace_s(READ_GRACE_S)
        batch = await self._store.read(
            OPERATOR_TOPIC, self._position, wait_s, timeout_s
        )
        for item in map(parse_keyed_record, batch.records):
            self._apply_entry(item)
        self._position += len(batch.records)

    def _wait_s(self) -> float:
        """Return how long the next read waits for a change.

        After a failed read it does not wait: callers may be refused until the
        configuration is confirmed, and an empty answer confirms it as well.
        """
        if self._failing:
            return 0
        wait_s = READ_WAIT_SHARE * self._change_bound_ms() / 1_000
        return min(wait_s, MAX_WAIT_S)

    def _apply_entry(self, item: KeyedRecord | None) -> None:
        if item is None:
            _log.error('operator record undecodable')
            return
        if item.key == CONFIG_KEY:
            self._apply_catalogue(item.content)
        elif item.key.startswith(WAVE_PREFIX) and item.content:
            self._apply_wave(item)
        elif item.key.startswith(EVACUATION_PREFIX):
            self._note_evacuation(item)

    def _apply_wave(self, item: KeyedRecord) -> None:
        decoded = decode_wave(item.content)
        for finding in decoded.findings:
            fields = {'key': item.key, 'finding': str(finding)}
            _log.error('wave invalid', extra=fields)
        wave = decoded.wave
        if wave is not None:
            self.waves[wave.number] = wave
            _log.info('wave received', extra={'wave': wave.number})

    def _note_evacuation(self, item: KeyedRecord) -> None:
        """Begin or end an evacuation.

        The key names the zone. Problems in the content are only logged.
        """
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        if not item.content:
            self.requests.end(zone)
            return
        for finding in find_problems(item.content):
            fields = {'zone': zone, 'finding': str(finding)}
            _log.error('evacuation unread', extra=fields)
        self.requests.begin(zone)

    def _apply_catalogue(self, content: bytes) -> None:
        decoded = decode_catalogue(content)
        for finding in decoded.findings:
            _log.error('configuration invalid', extra={'finding': str(finding)})
        new = decoded.catalogue
        if new is None:
            return
        old = self.catalogue
        if old is not None and new.version <= old.version:
            return
        self.catalogue = new
        _log.info('configuration loaded', extra={'version': new.version})


def _evacuated_zones(listing: KeyedListing) -> set[ZoneId]:
    """Return the zones with a listed evacuation."""
    keys = [item.key for item in listing.items if item.content]
    return {
        key.removeprefix(EVACUATION_PREFIX)
        for key in keys
        if key.startswith(EVACUATION_PREFIX)
    }
