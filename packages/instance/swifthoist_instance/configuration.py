"""Watches the configuration, and knows how old its knowledge is."""

import logging
from collections.abc import Callable
from typing import Protocol

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError, LogUnavailableError
from swifthoist_core.types import Millis, Offset, ZoneId
from swifthoist_engine.catalogue import Catalogue
from swifthoist_instance.evacuations import Requests
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
    Batch,
    KeyedListing,
    KeyedRecord,
    parse_keyed_record,
)

READ_SHARE = 0.18
"""Share of the time within which a change has to take effect, for which a read
waits for one. A read that succeeds confirms the configuration as of its
start; two of them and a lost answer between fit into the time for which
a configuration is gone by."""

MAX_WAIT_S = 1.0
"""Longest wait of a read, in seconds: a connection that went silent is noticed
only behind it."""

READ_GRACE_S = 0.6
"""Time for a read beyond its wait, in seconds."""

LIST_TIMEOUT_S = 1.5
RETRY_S = 0.1

_log = logging.getLogger(__name__)


class KeyedTopics(Protocol):
    """What watching a keyed topic asks of the store."""

    async def read(
        self, topic: str, start: Offset, wait_s: float, timeout_s: float
    ) -> Batch:
        """Read records in order, waiting for the first one."""

    async def newest(self, topic: str, timeout_s: float) -> KeyedListing:
        """Read the newest record of each key."""


class Configuration:
    """The newest configuration that this instance has read.

    :ivar catalogue: the configuration; none before the first.
    :ivar waves: waves of upkeep by number.
    :ivar requests: evacuations that the operator asks for.
    """

    def __init__(
        self,
        store: KeyedTopics,
        clock: Clock,
        bound_ms: Callable[[], Millis],
    ) -> None:
        """Watch a store.

        :param store: the store.
        :param clock: tells the time.
        :param bound_ms: tells the shortest time within which a change has to
            take effect.
        """
        self.catalogue: Catalogue | None = None
        self.waves: dict[int, Wave] = {}
        self.requests = Requests(clock)
        self._store = store
        self._clock = clock
        self._bound_ms = bound_ms
        self._position: Offset | None = None
        self._confirmed_ms: Millis | None = None
        self._failing = False

    @property
    def age_ms(self) -> Millis | None:
        """Age of the newest confirmation; none before the first."""
        if self._confirmed_ms is None:
            return None
        return self._clock.boot_ms() - self._confirmed_ms

    async def run(self) -> None:
        """Watch the configuration, until canceled."""
        while True:
            began_ms = self._clock.boot_ms()
            try:
                await self._read_on()
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
            _log.info('configuration read again')
        self._failing = False
        self._confirmed_ms = began_ms

    async def _read_on(self) -> None:
        if self._position is None:
            listing = await self._store.newest(OPERATOR_TOPIC, LIST_TIMEOUT_S)
            for newest in listing.items:
                self._apply(newest)
            self.requests.keep_only(_evacuated(listing))
            self._position = listing.end
            return
        wait_s = self._wait_s()
        batch = await self._store.read(
            OPERATOR_TOPIC, self._position, wait_s, wait_s + READ_GRACE_S
        )
        for item in map(parse_keyed_record, batch.records):
            self._apply(item)
        self._position += len(batch.records)

    def _wait_s(self) -> float:
        """Tell how long the next read waits for a change.

        Behind a read that failed, an answer that nothing changed is worth as much
        as a change, and callers are refused until there is one.
        """
        if self._failing:
            return 0
        wait_s = READ_SHARE * self._bound_ms() / 1_000
        return min(wait_s, MAX_WAIT_S)

    def _apply(self, item: KeyedRecord | None) -> None:
        if item is None:
            _log.error('entry of the operator unread')
            return
        if item.key == CONFIG_KEY:
            self._take(item.content)
        elif item.key.startswith(WAVE_PREFIX) and item.content:
            wave = decode_wave(item.content)
            self.waves[wave.number] = wave
            _log.info('wave', extra={'wave': wave.number})
        elif item.key.startswith(EVACUATION_PREFIX):
            self._note_evacuation(item)

    def _note_evacuation(self, item: KeyedRecord) -> None:
        """Note a request, which its key names: its content may be anything."""
        zone = item.key.removeprefix(EVACUATION_PREFIX)
        if not item.content:
            self.requests.end(zone)
            return
        for finding in find_problems(item.content):
            about = {'zone': zone, 'finding': str(finding)}
            _log.error('evacuation unread', extra=about)
        self.requests.begin(zone)

    def _take(self, content: bytes) -> None:
        decoded = decode_catalogue(content)
        for finding in decoded.findings:
            _log.error('configuration', extra={'finding': str(finding)})
        new = decoded.catalogue
        if new is None:
            return
        old = self.catalogue
        if old is not None and new.version <= old.version:
            return
        self.catalogue = new
        _log.info('configuration', extra={'version': new.version})


def _evacuated(listing: KeyedListing) -> set[ZoneId]:
    """Name the zones of the evacuations that are listed."""
    keys = [item.key for item in listing.items if item.content]
    return {
        key.removeprefix(EVACUATION_PREFIX)
        for key in keys
        if key.startswith(EVACUATION_PREFIX)
    }
