"""Writes snapshots while this instance holds the cell, and loads the newest."""

import logging
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import anyio

from swifthoist_core.errors import (
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    SnapshotError,
)
from swifthoist_core.types import Epoch, Millis, Offset
from swifthoist_engine.snapshot_records import SnapshotTaken
from swifthoist_engine.snapshots import (
    HEAD_KEY,
    Head,
    Restored,
    encode_head,
    restore,
    stale_chunks,
    take_snapshot,
)
from swifthoist_instance.configuration import KeyedTopicReader
from swifthoist_instance.follower import Follower
from swifthoist_instance.journal import Journal
from swifthoist_platform.store_records import parse_keyed_record

SNAPSHOT_TOPIC = 'keyed.swifthoist.snapshot'
"""Topic of the chunks; the store keeps the newest record of each key."""

AGE_SHARE = 0.2
"""Age at which a snapshot is replaced, as a share of the log's retention time.
Several snapshots may fail before a record expires that none includes."""

MAX_AGE_MS = 60_000

BYTES_SHARE = 0.2
"""The same as a share of the size beyond which the log drops records."""

CHECK_INTERVAL_S = 0.05
WRITE_RETRY_S = 0.5
"""Pause behind a snapshot that failed, in seconds; it doubles while they do."""

RETRY_SHARE = 0.25
"""Longest such pause, as a share of the age at which a snapshot is replaced: the
state is encoded at each try, which takes time."""

MAX_LISTED_PARTS = 20
"""Most parts that a snapshot lacks in its log line."""

CHUNK_SHARE = 0.9
"""Maximum size of a chunk, as a share of the maximum size of a record."""

DEFAULT_PART_BYTES = 200_000_000
CALL_TIMEOUT_S = 2.0
RETRY_S = 0.2
LOAD_ATTEMPTS = 5

_WRITE_ERRORS = (LogUnavailableError, OutcomeUnknownError)
_log = logging.getLogger(__name__)


class _SentHead(NamedTuple):
    """A head that may have been written.

    :ivar epoch: epoch of the tenure that wrote it.
    :ivar head: the head.
    """

    epoch: Epoch
    head: Head


class SnapshotStore(KeyedTopicReader, Protocol):
    """Store operations that snapshots need."""

    async def put(
        self, topic: str, key: str, content: bytes, timeout_s: float
    ) -> None:
        """Replace the record of a key."""


class Snapshots:
    """Writes and loads snapshots of the cell state.

    :ivar written: number of snapshots that this instance wrote.
    :ivar failed: number of snapshots that it could not take or write.
    :ivar left_out: number of totals and estimates that the newest one lacks.
    """

    def __init__(
        self,
        store: SnapshotStore,
        retention_ms: Millis,
        record_bytes: int,
        part_bytes: int = DEFAULT_PART_BYTES,
    ) -> None:
        """Keep snapshots in a store.

        :param store: the store.
        :param retention_ms: how long the log keeps records, in ms.
        :param record_bytes: maximum size of a record, in bytes.
        :param part_bytes: size beyond which the log drops records, in bytes.
        """
        self.written = 0
        self.failed = 0
        self.left_out = 0
        self._store = store
        self._retention_ms = retention_ms
        self._max_age_ms = min(int(retention_ms * AGE_SHARE), MAX_AGE_MS)
        self._max_bytes = int(part_bytes * BYTES_SHARE)
        self._max_chunk_bytes = int(record_bytes * CHUNK_SHARE)
        self._unsettled: _SentHead | None = None

    async def load(self) -> Restored | None:
        """Read the newest snapshot.

        :returns: the state; None if there is no complete snapshot.
        :raises LogUnavailableError: when the store is unavailable.
        """
        contents, position = await self._list()
        for _ in range(LOAD_ATTEMPTS):
            try:
                return restore(contents)
            except SnapshotError as exc:
                # It may have been replaced while it was listed.
                fields = {'why': str(exc), 'position': position}
                _log.warning('snapshot incomplete', extra=fields)
            try:
                position = await self._apply_changes(contents, position)
            except LogExpiredError:
                contents, position = await self._list()
            await anyio.sleep(RETRY_S)
        _log.error('no complete snapshot found')
        return None

    async def _list(self) -> tuple[dict[str, bytes], Offset]:
        listing = await self._store.newest(SNAPSHOT_TOPIC, CALL_TIMEOUT_S)
        contents = {item.key: item.content for item in listing.items}
        return contents, listing.end

    async def _apply_changes(
        self, contents: dict[str, bytes], position: Offset
    ) -> Offset:
        """Apply newer records, after which the head should match the chunks."""
        while True:
            batch = await self._store.read(
                SNAPSHOT_TOPIC, position, 0, CALL_TIMEOUT_S
            )
            for item in filter(None, map(parse_keyed_record, batch.records)):
                contents[item.key] = item.content
            position += len(batch.records)
            if position >= batch.end or not batch.records:
                return position

    async def run(
        self, follower: Follower, epoch: Epoch, journal: Journal | None = None
    ) -> None:
        """Write snapshots during a tenure, until canceled.

        One is written as soon as the newest one in the store is too old,
        whoever wrote it, so that short tenures don't add up to a gap.

        :param follower: maintains the cell state.
        :param epoch: epoch of the tenure.
        :param journal: tells other instances of snapshots; None tells nobody.
        """
        before = self.written
        pause_s = WRITE_RETRY_S
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self._is_due(follower):
                continue
            try:
                await self._write(follower, epoch, journal)
            except Exception as exc:
                self._note_failure(follower, exc)
                await anyio.sleep(pause_s)
                pause_s = min(2 * pause_s, self._max_pause_s)
            else:
                pause_s = WRITE_RETRY_S
            if self.written == before + 2:
                await self._drop_stale(epoch)

    @property
    def _max_pause_s(self) -> float:
        return max(self._max_age_ms * RETRY_SHARE / 1_000, WRITE_RETRY_S)

    def _note_failure(self, follower: Follower, exc: Exception) -> None:
        """Log a failure, with the time in which the log still has it all."""
        self.failed += 1
        level = logging.WARNING
        if not isinstance(exc, _WRITE_ERRORS):
            level = logging.ERROR
            follower.faults.note('task', 'snapshot', exc)
        age_ms = follower.history.age_ms(follower.time.now_ms())
        fields = {
            'why': str(exc) or repr(exc),
            'failed': self.failed,
            'age_ms': age_ms,
            'left_ms': None if age_ms is None else self._retention_ms - age_ms,
            'forgotten': follower.history.forgotten,
        }
        _log.log(level, 'snapshot not written', extra=fields)

    def _is_due(self, follower: Follower) -> bool:
        return follower.history.needs_snapshot(
            follower.time.now_ms(), self._max_age_ms, self._max_bytes
        )

    async def _write(
        self, follower: Follower, epoch: Epoch, journal: Journal | None
    ) -> None:
        if follower.cell.state.epoch != epoch:
            return
        await self._settle_head(epoch)
        # A tenure may continue the epoch of an earlier one, and must not
        # overwrite chunks that the head refers to, so the number of the
        # snapshot continues, too.
        now_ms = follower.time.now_ms()
        taken = SnapshotTaken(epoch, follower.position, now_ms)
        snapshot = take_snapshot(
            follower.cell.state,
            follower.position,
            self.written,
            self._max_chunk_bytes,
        )
        self._note_left_out(snapshot.left_out)
        for key, chunk in snapshot.chunks.items():
            await self._store.put(SNAPSHOT_TOPIC, key, chunk, CALL_TIMEOUT_S)
        await self._write_head(_SentHead(epoch, snapshot.head))
        follower.note_own_snapshot(taken)
        if journal is not None:
            await journal.append([taken], CALL_TIMEOUT_S)

    def _note_left_out(self, left_out: Sequence[str]) -> None:
        self.left_out = len(left_out)
        if left_out:
            listed = left_out[:MAX_LISTED_PARTS]
            fields = {'left_out': self.left_out, 'first': listed}
            _log.error('snapshot lacks statistics', extra=fields)

    async def _write_head(self, sent: _SentHead) -> None:
        self._unsettled = sent
        try:
            await self._put_head(sent.head)
        except LogUnavailableError:
            self._unsettled = None
            raise

    async def _settle_head(self, epoch: Epoch) -> None:
        """Write a head again that got no answer.

        Until it is answered, the head in the store may refer to either slot, so
        neither may be written. Other tenures use other slots.
        """
        sent = self._unsettled
        if sent is not None and sent.epoch == epoch:
            await self._put_head(sent.head)

    async def _put_head(self, head: Head) -> None:
        content = encode_head(head)
        await self._store.put(SNAPSHOT_TOPIC, HEAD_KEY, content, CALL_TIMEOUT_S)
        self._unsettled = None
        self.written += 1
        _log.info(
            'snapshot written',
            extra={'position': head.position, 'chunks': head.chunks},
        )

    async def _drop_stale(self, epoch: Epoch) -> None:
        """Delete chunks of earlier tenures.

        This happens one snapshot later than would be possible.
        """
        try:
            contents, _ = await self._list()
            for key in stale_chunks(contents, epoch):
                await self._store.put(SNAPSHOT_TOPIC, key, b'', CALL_TIMEOUT_S)
        except _WRITE_ERRORS as exc:
            _log.warning('old snapshot not dropped', extra={'why': str(exc)})
