"""Snapshots on the log and from peers, so that a new instance can start.

The holder of the cell writes them. Whoever starts, or has fallen behind what
the log still holds, takes the newest whole one from the log; while the log is
down, one from a peer, which is checked against the log once that is back.
"""

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

import anyio
import anyio.lowlevel

from swifthoist_core import snapshots
from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    SnapshotError,
    UnreachableError,
)
from swifthoist_core.ledger import Ledger
from swifthoist_core.snapshots import Chunk
from swifthoist_core.types import Millis, Offset
from swifthoistd.logs import SNAPSHOT_STREAM, Log
from swifthoistd.tenure import Tenure

EVERY_MS = 10 * 60_000
"""How often a snapshot is written while records come, in ms."""

EVERY_RECORDS = 50_000
"""After how many records one is written earlier."""

APPEND_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 5.0

_APPEND_BYTES = 512 * 1024
_TICK_S = 5.0
_RETRY_MS = 30_000
_FIRST_WINDOW = 64
_READ_LIMIT = 16
_MS_PER_S = 1_000


class PeerSnapshots(Protocol):
    """The way to snapshots that other instances hold."""

    async def fetch(self) -> Sequence[bytes]:
        """Take the chunks of a peer's current state.

        :returns: the chunks, none when no peer has any.
        :raises UnreachableError: when no peer was reached.
        """


class Written(NamedTuple):
    """The snapshot that was written last, as far as is known.

    :ivar offset: offset of the next record to fold.
    :ivar at_ms: boot time at which it was seen or written.
    """

    offset: Offset
    at_ms: Millis


async def take(ledger: Ledger) -> tuple[bytes, ...]:
    """Make a snapshot while the fold goes on.

    :param ledger: the ledger; its state at the call is what is taken.
    :returns: the chunks.
    """
    state = snapshots.clone(ledger)
    parts: list[snapshots.Part] = []
    for part in snapshots.pack(state):
        parts.append(part)
        await anyio.lowlevel.checkpoint()
    return snapshots.seal(state, parts)


class SnapshotWriter:
    """Puts snapshots on the log while this instance holds the cell.

    :ivar written: how many this instance wrote.
    """

    def __init__(
        self,
        log: Log,
        ledger: Ledger,
        tenure: Tenure,
        clock: Clock,
        *,
        every_ms: Millis = EVERY_MS,
        every_records: int = EVERY_RECORDS,
    ) -> None:
        """Start with nothing written.

        :param log: client of the log.
        :param ledger: the ledger.
        :param tenure: whether this instance holds the cell.
        :param clock: clocks of the machine.
        :param every_ms: how often, in ms; at most a quarter of the time for
            which the log keeps records.
        :param every_records: after how many records one is written earlier.
        """
        self.written = 0
        self._log = log
        self._ledger = ledger
        self._tenure = tenure
        self._clock = clock
        self._every_ms = every_ms
        self._every_records = every_records
        self._last: Written | None = None
        self._retry_ms: Millis = 0

    async def run(self) -> None:
        """Write when one is due, for as long as the instance lives."""
        while True:
            await anyio.sleep(_TICK_S)
            if not self._tenure.may_act():
                self._last = None
                continue
            try:
                await self._tick()
            except (LogUnavailableError, OutcomeUnknownError, TimeoutError):
                self._retry_ms = self._clock.boot_ms() + _RETRY_MS

    async def write(self) -> int:
        """Write a snapshot now.

        :returns: its size in bytes.
        :raises LogUnavailableError: when the log did not take it.
        :raises OutcomeUnknownError: when it may be torn.
        """
        offset = self._ledger.offset
        chunks = await take(self._ledger)
        for batch in _batches(chunks):
            with anyio.fail_after(APPEND_TIMEOUT_S * 2):
                await self._log.append(SNAPSHOT_STREAM, batch, APPEND_TIMEOUT_S)
        self._last = Written(offset, self._clock.boot_ms())
        self.written += 1
        return sum(map(len, chunks))

    async def _tick(self) -> None:
        now_ms = self._clock.boot_ms()
        if now_ms < self._retry_ms:
            return
        if self._last is None:
            self._last = await self._find_last()
        fresh = self._ledger.offset - self._last.offset
        due = now_ms >= self._last.at_ms + self._every_ms
        if fresh >= self._every_records or (fresh and due):
            await self.write()

    async def _find_last(self) -> Written:
        """Look at the end of the stream for what the last holder wrote."""
        chunk = await _last_chunk(self._log)
        if chunk is None or chunk.position + 1 < chunk.total:
            return Written(0, -self._every_ms)
        age_ms = max(self._ledger.time_ms - chunk.time_ms, 0)
        return Written(chunk.offset, self._clock.boot_ms() - age_ms)


class Restorer:
    """Brings a ledger forward by a snapshot.

    :ivar refused: why the newest snapshots were passed over, newest first.
    """

    def __init__(
        self,
        log: Log,
        peers: PeerSnapshots | None = None,
        *,
        dice: random.Random | None = None,
    ) -> None:
        """Start without a snapshot.

        :param log: client of the log.
        :param peers: the way to other instances' snapshots.
        :param dice: source of jitter.
        """
        self.refused: tuple[str, ...] = ()
        self._log = log
        self._peers = peers
        self._dice = dice or random.Random()

    async def restore(self, ledger: Ledger, earliest: Offset) -> bool:
        """Bring a ledger forward, in place.

        :param ledger: the ledger; its aggregates stay the same objects.
        :param earliest: oldest offset that the log still holds.
        :returns: whether the ledger moved, to that offset or beyond it.
        """
        try:
            chunks = await self._newest(max(earliest, ledger.offset + 1))
        except (LogUnavailableError, LogExpiredError, TimeoutError):
            chunks = ()
        if not chunks:
            chunks = await self._from_peer()
        if not chunks or chunks[0].offset < max(earliest, ledger.offset + 1):
            return False
        return self._install(ledger, chunks)

    def _install(self, ledger: Ledger, chunks: Sequence[Chunk]) -> bool:
        try:
            snapshots.restore(ledger, chunks)
        except SnapshotError as exc:
            self.refused = (str(exc), *self.refused)
            return False
        return True

    async def _from_peer(self) -> Sequence[Chunk]:
        if self._peers is None:
            return ()
        try:
            with anyio.fail_after(CALL_TIMEOUT_S):
                payloads = await self._peers.fetch()
        except (UnreachableError, TimeoutError):
            return ()
        return self._open(payloads)

    async def _newest(self, floor: Offset) -> Sequence[Chunk]:
        """Find the newest whole snapshot at or beyond an offset."""
        bounds = await self._log.bounds(SNAPSHOT_STREAM)
        window = _FIRST_WINDOW
        while True:
            start = max(bounds.end - window, bounds.earliest)
            payloads = await _read_span(self._log, start, bounds.end)
            whole = _whole(self._open(payloads))
            if whole and whole[0].offset >= floor:
                return whole
            if start == bounds.earliest:
                return ()
            window *= 4

    def _open(self, payloads: Sequence[bytes]) -> list[Chunk]:
        chunks: list[Chunk] = []
        refused: list[str] = []
        for payload in payloads:
            try:
                chunks.append(snapshots.open_chunk(payload))
            except SnapshotError as exc:
                refused.append(str(exc))
        self.refused = tuple(dict.fromkeys(reversed(refused)))
        return chunks


async def _last_chunk(log: Log) -> Chunk | None:
    bounds = await log.bounds(SNAPSHOT_STREAM)
    if bounds.end == bounds.earliest:
        return None
    payloads = await _read_span(log, bounds.end - 1, bounds.end)
    try:
        return snapshots.open_chunk(payloads[-1])
    except SnapshotError:
        return None


async def _read_span(log: Log, start: Offset, end: Offset) -> list[bytes]:
    payloads: list[bytes] = []
    while start < end:
        with anyio.fail_after(CALL_TIMEOUT_S):
            entries = await log.read(SNAPSHOT_STREAM, start, _READ_LIMIT, 0)
        if not entries:
            break
        payloads.extend(entry.payload for entry in entries)
        start += len(entries)
    return payloads


def _batches(chunks: Sequence[bytes]) -> Iterable[list[bytes]]:
    batch: list[bytes] = []
    size = 0
    for chunk in chunks:
        if batch and size + len(chunk) > _APPEND_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(chunk)
        size += len(chunk)
    yield batch


def _whole(chunks: Iterable[Chunk]) -> Sequence[Chunk]:
    """Choose the newest snapshot of which every chunk is there and sound."""
    found: dict[int, dict[int, Chunk]] = {}
    for chunk in chunks:
        found.setdefault(chunk.snapshot, {})[chunk.position] = chunk
    whole = [
        list(pieces.values())
        for pieces in found.values()
        if snapshots.is_whole(pieces.values())
    ]
    return max(whole, key=_offset_of, default=())


def _offset_of(chunks: Sequence[Chunk]) -> Offset:
    return chunks[0].offset
