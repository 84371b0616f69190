"""Decides whether records that expired unread are lost for good.

Only an instance without a gap claims the cell. While somebody holds it, the
missing records are in its state and will be in a snapshot.
"""

import msgspec

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError, LogUnavailableError
from swifthoist_core.types import Millis, Offset
from swifthoist_engine.records import (
    Claimed,
    HolderGeneration,
    decode_record,
)
from swifthoist_instance.journal import CELL_TOPIC, RecordReader
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform.store import MAX_READ_KB

VACANCY_MS = 4_000
"""Silence of holders after which nobody is left with the whole state, in ms: an
instance that lost its holder claims the cell within 3.6 s."""

VACANCY_ANSWERS = 22
"""Number of answers of the store for which the silence lasts longer: those for
which a holder may be silent, and those over which claims are spread."""

MAX_LOOK_GAP_MS = 1_500
"""Longest gap between reads within one silence, in ms; nobody could write while
the store was unavailable."""

READ_TIMEOUT_S = 1.0


class GapWatch:
    """Watches the end of the log for records of a holder.

    :ivar earliest: offset of the oldest record that the store retains.
    """

    def __init__(
        self,
        store: RecordReader,
        clock: Clock,
        latency: StoreLatency,
        earliest: Offset,
    ) -> None:
        """Start watching.

        :param store: the store.
        :param clock: source of time.
        :param latency: measures the time of the store's answers.
        :param earliest: offset of the oldest record that the store retains.
        """
        self.earliest = earliest
        self._store = store
        self._clock = clock
        self._latency = latency
        self._position: Offset | None = None
        self._read_ms: Millis = clock.boot_ms()
        self._heard_ms = self._read_ms

    @property
    def vacant(self) -> bool:
        """Whether nobody has held the cell for long enough to claim it."""
        answers_ms = VACANCY_ANSWERS * self._latency.answer_s * 1_000
        return self._read_ms - self._heard_ms > VACANCY_MS + answers_ms

    async def look(self) -> None:
        """Read what was appended since the last look.

        :raises LogUnavailableError: when the store is unavailable.
        """
        now_ms = self._clock.boot_ms()
        start = self.earliest if self._position is None else self._position
        try:
            batch = await self._store.read(
                CELL_TOPIC, start, 0, READ_TIMEOUT_S, MAX_READ_KB
            )
        except LogExpiredError as exc:
            self.earliest = exc.earliest
            self._position = None
            return
        except LogUnavailableError:
            self._heard_ms = now_ms
            raise
        self.earliest = max(self.earliest, batch.earliest)
        heard = self._position is not None and any(
            map(_is_of_holder, batch.records)
        )
        if heard or now_ms - self._read_ms > MAX_LOOK_GAP_MS:
            self._heard_ms = now_ms
        self._read_ms = now_ms
        # Records from before the watch don't tell that a holder is up.
        first_look = self._position is None
        self._position = batch.end if first_look else start + len(batch.records)


def _is_of_holder(payload: bytes) -> bool:
    try:
        record = decode_record(payload)
    except (msgspec.MsgspecError, RecursionError):
        return False
    if isinstance(record, Claimed | HolderGeneration):
        return False
    return getattr(record, 'epoch', None) is not None
