"""Writes snapshots while this instance holds, and starts from the newest."""

import logging
from typing import Protocol

import anyio

from swifthoist_core.errors import (
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    SnapshotError,
)
from swifthoist_core.types import Epoch, Millis, Offset
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    Restored,
    encode_head,
    restore,
    stale_chunks,
    take_snapshot,
)
from swifthoist_instance.configuration import KeyedTopics
from swifthoist_instance.follower import Follower
from swifthoist_platform.store import parse_keyed_record

SNAPSHOT_TOPIC = 'keyed.swifthoist.snapshot'
"""Topic of the chunks; the newest of each key is kept for good."""

KEEP_SHARE = 0.2
"""Pause between snapshots, as a share of how long the log keeps records, so
that several may fail before a record is lost."""

MAX_PAUSE_S = 60.0
CHUNK_SHARE = 0.9
"""Largest chunk, as a share of the largest record."""

CALL_S = 2.0
RETRY_S = 0.2
TRIES = 5

_UNWRITTEN = (LogUnavailableError, OutcomeUnknownError)
_log = logging.getLogger(__name__)


class KeepsSnapshots(KeyedTopics, Protocol):
    """What snapshots ask of the store."""

    async def put(
        self, topic: str, key: str, content: bytes, timeout_s: float
    ) -> None:
        """Write the newest record of a key."""


class Snapshots:
    """The snapshots of the cell.

    :ivar written: snapshots that this instance wrote.
    """

    def __init__(
        self, store: KeepsSnapshots, keep_ms: Millis, record_bytes: int
    ) -> None:
        """Keep snapshots in a store.

        :param store: the store.
        :param keep_ms: how long the log keeps records, in ms.
        :param record_bytes: largest record of the store, in bytes.
        """
        self.written = 0
        self._store = store
        self._pause_s = min(keep_ms / 1_000 * KEEP_SHARE, MAX_PAUSE_S)
        self._limit = int(record_bytes * CHUNK_SHARE)

    async def load(self) -> Restored | None:
        """Read the newest snapshot.

        :returns: the state; none if there is none, or none that is whole.
        :raises LogUnavailableError: when the store did not serve.
        """
        contents, position = await self._list()
        for _ in range(TRIES):
            try:
                return restore(contents)
            except SnapshotError as exc:
                # It may have been replaced between two pages.
                about = {'why': str(exc), 'position': position}
                _log.warning('snapshot unread', extra=about)
            try:
                position = await self._read_on(contents, position)
            except LogExpiredError:
                contents, position = await self._list()
            await anyio.sleep(RETRY_S)
        _log.error('no snapshot is whole')
        return None

    async def _list(self) -> tuple[dict[str, bytes], Offset]:
        listing = await self._store.newest(SNAPSHOT_TOPIC, CALL_S)
        contents = {item.key: item.content for item in listing.items}
        return contents, listing.end

    async def _read_on(
        self, contents: dict[str, bytes], position: Offset
    ) -> Offset:
        """Apply what was written since; then the head names whole chunks."""
        while True:
            batch = await self._store.read(SNAPSHOT_TOPIC, position, 0, CALL_S)
            for item in filter(None, map(parse_keyed_record, batch.records)):
                contents[item.key] = item.content
            position += len(batch.records)
            if position >= batch.end or not batch.records:
                return position

    async def run(self, follower: Follower, epoch: Epoch) -> None:
        """Write snapshots of a tenure, until canceled.

        :param follower: folds the log.
        :param epoch: epoch of the tenure.
        """
        before = self.written
        while True:
            await anyio.sleep(self._pause_s)
            try:
                await self._write(follower, epoch)
                if self.written == before + 2:
                    await self._drop_stale(epoch)
            except _UNWRITTEN as exc:
                _log.warning('snapshot unwritten', extra={'why': str(exc)})

    async def _write(self, follower: Follower, epoch: Epoch) -> None:
        if follower.cell.state.epoch != epoch:
            return
        # A term may go on with the epoch of an earlier one, and must not write
        # over what the head names: numbers go on, too.
        snapshot = take_snapshot(
            follower.cell.state, follower.position, self.written, self._limit
        )
        for key, chunk in snapshot.chunks.items():
            await self._store.put(SNAPSHOT_TOPIC, key, chunk, CALL_S)
        head = encode_head(snapshot.head)
        await self._store.put(SNAPSHOT_TOPIC, HEAD_KEY, head, CALL_S)
        self.written += 1
        _log.info(
            'snapshot',
            extra={
                'position': snapshot.head.position,
                'chunks': snapshot.head.chunks,
            },
        )

    async def _drop_stale(self, epoch: Epoch) -> None:
        """Drop chunks of earlier tenures, one snapshot later than could be."""
        contents, _ = await self._list()
        for key in stale_chunks(contents, epoch):
            await self._store.put(SNAPSHOT_TOPIC, key, b'', CALL_S)
