"""Reads the log of the cell and folds it into the cell state.

Every instance does so, whether it holds the cell or not.
"""

import logging
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    LogExpiredError,
    LogSilentError,
    LogUnavailableError,
)
from swifthoist_core.types import Millis, Offset
from swifthoist_engine.cell import Cell
from swifthoist_engine.cell_state import CellState
from swifthoist_engine.records import Record, decode_record
from swifthoist_engine.snapshot_records import SnapshotTaken
from swifthoist_engine.snapshots import Restored
from swifthoist_instance.cell_time import CellTime
from swifthoist_instance.faults import Faults
from swifthoist_instance.gaps import GapWatch
from swifthoist_instance.history import History
from swifthoist_instance.journal import CELL_TOPIC, RecordReader
from swifthoist_instance.read_size import ReadSize
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform.store_records import Batch

READ_WAIT_S = 1.0
"""How long a read waits for a record, in seconds."""

READ_GRACE_S = 0.7
"""Time for a read beyond READ_WAIT_S, in seconds. A dead connection is detected
after the sum of both."""

RETRY_S = 0.1
"""Pause after a failed read, in seconds."""

GAP_RETRY_S = 0.3
"""Pause between looks for a snapshot that includes records that expired before
they were read, in seconds."""

READ_PAUSE_S = 0.3
"""Pause between reads of an instance that does not hold the cell, in seconds.
It lets one read return many records, since every instance reads every record
and each call to the store has a cost. A request for a job's state triggers a
read immediately. Detection of a lost holder is delayed by at most this time."""

REFRESH_TIMEOUT_S = 0.25
"""How long a request waits for the newest records, in seconds: many times the
duration of a read. After that it is answered from the current cell state."""

_log = logging.getLogger(__name__)


class Follower:
    """Folds the log into the cell state.

    :ivar cell: the cell state.
    :ivar time: the cell's clock; unaffected by jumps of the wall clock.
    :ivar position: offset of the next record to fold.
    :ivar caught_up: whether all records that the store had are folded.
    :ivar last_read_ms: start of the last successful read, in ms of the clock
        that includes suspension; None before the first.
    :ivar reading_since_ms: start of the first read since which all have
        succeeded, in ms of the same clock; None while reads fail.
    :ivar holder_seen_ms: when a record of the newest epoch was last folded, in
        ms of the same clock.
    :ivar read_continuously: whether reads follow each other without pause.
    :ivar reads: number of successful reads.
    :ivar fold_failures: number of records skipped because folding failed.
    :ivar faults: where exceptions of the fold are reported.
    :ivar history: which part of the log the newest snapshot covers.
    :ivar in_gap: whether records are missing that another instance may have.
    """

    def __init__(
        self,
        store: RecordReader,
        cell: Cell,
        clock: Clock,
        load: Callable[[], Awaitable[Restored | None]] | None = None,
        faults: Faults | None = None,
        read_pause_s: float = READ_PAUSE_S,
        latency: StoreLatency | None = None,
    ) -> None:
        """Fold from the newest snapshot.

        :param store: the store.
        :param cell: the cell state to update.
        :param clock: source of time.
        :param load: reads the newest snapshot; None folds the log only.
        :param faults: where faults are reported; None creates a new one.
        :param read_pause_s: pause between reads while another instance holds
            the cell, in seconds.
        :param latency: measures the time of the store's answers; None creates
            a new one.
        """
        self._read_pause_s = read_pause_s
        self._latency = latency or StoreLatency(clock)
        self.cell = cell
        self.position: Offset = 0
        self.caught_up = False
        self.last_read_ms: Millis | None = None
        self.reading_since_ms: Millis | None = None
        self.holder_seen_ms: Millis = clock.boot_ms()
        self._began_ms = self.holder_seen_ms
        self.read_continuously = False
        self.history = History()
        self.in_gap = False
        self._skipped_to: Offset | None = None
        self._outdated = False
        self.reads = 0
        self.fold_failures = 0
        self.faults = faults or Faults(clock)
        self._store = store
        self._clock = clock
        self._load = load
        self.time = CellTime(clock)
        self._expired_since_ms: Millis | None = None
        self._failing = False
        self._read_size = ReadSize()
        self._progress = anyio.Event()
        # Whether the store keeps a read open until a record arrives.
        self._long_polling = False
        self._read_requested = anyio.Event()

    @property
    def age_ms(self) -> Millis | None:
        """Time since the last successful read; None until caught up."""
        if self.last_read_ms is None or not self.caught_up:
            return None
        return self._clock.boot_ms() - self.last_read_ms

    async def refresh(self) -> None:
        """Read the newest records, unless a waiting read gets them anyway."""
        if self._long_polling or self.reading_since_ms is None:
            return
        self._read_requested.set()
        with anyio.move_on_after(REFRESH_TIMEOUT_S):
            await self.wait_progress()

    def has_read_since(self, at_ms: Millis) -> bool:
        """Return whether records up to a time are folded; if not, read them.

        :param at_ms: the time, in ms of the clock that includes suspension.
        :returns: whether a read began since then, or waits for new records.
        """
        if self._long_polling:
            return True
        if self.last_read_ms is not None and self.last_read_ms >= at_ms:
            return True
        self._read_requested.set()
        return False

    async def wait_folded(self, offset: Offset, timeout_s: float) -> bool:
        """Wait until a record is folded.

        :param offset: offset of the record.
        :param timeout_s: how long to wait, in seconds.
        :returns: whether it is folded.
        """
        self._read_requested.set()
        with anyio.move_on_after(timeout_s):
            while self.position <= offset:
                await self.wait_progress()
        return self.position > offset

    async def wait_progress(self) -> None:
        """Wait until the next read has succeeded or failed."""
        await self._progress.wait()

    def note_own_snapshot(self, taken: SnapshotTaken) -> None:
        """Take note of a snapshot that this instance has written.

        :param taken: the snapshot.
        """
        self.history.note_snapshot(taken.position, taken.at_ms)
        self._skipped_to = None

    async def run(self) -> None:
        """Read and fold, until canceled."""
        await self._restore()
        while True:
            began_ms = self._clock.boot_ms()
            try:
                batch = await self._read()
            except LogExpiredError as exc:
                await self._bridge_gap(exc.earliest)
            except LogUnavailableError as exc:
                self._note_failure(exc)
                # Only a timeout suggests that the read was too large; a refusal
                # does not.
                if isinstance(exc, LogSilentError):
                    self._read_size.note_timeout()
                await anyio.sleep(RETRY_S)
            else:
                self._note_read(began_ms, batch)
                await self._pause_between_reads(batch)

    async def _read(self) -> Batch:
        # A read after a pause must not wait: whoever requested it needs to know
        # as well when there are no new records.
        wait_s = READ_WAIT_S if self.caught_up and self._long_polling else 0
        timeout_s = READ_WAIT_S + self._latency.grace_s(READ_GRACE_S)
        return await self._store.read(
            CELL_TOPIC,
            self.position,
            wait_s,
            timeout_s,
            self._read_size.max_kb,
        )

    async def _pause_between_reads(self, batch: Batch) -> None:
        if self._outdated:
            await self._restore()
        self._long_polling = self.read_continuously or not batch.records
        if self._long_polling or not self.caught_up:
            return
        self._read_requested = anyio.Event()
        with anyio.move_on_after(self._read_pause_s):
            await self._read_requested.wait()

    async def _restore(self) -> None:
        """Load the newest snapshot, if it is ahead of the cell state."""
        if self._load is None:
            return
        while True:
            try:
                restored = await self._load()
            except LogUnavailableError as exc:
                self._note_failure(exc)
                await anyio.sleep(RETRY_S)
            else:
                self._apply_snapshot(restored)
                return

    def _apply_snapshot(self, restored: Restored | None) -> None:
        if restored is None:
            return
        # Beyond this position a snapshot has more than this instance.
        known = self._skipped_to
        known = self.position if known is None else known
        if restored.position <= known:
            return
        self._skipped_to = None
        self._outdated = False
        self.history.note_snapshot(restored.position, restored.state.time_ms)
        self.cell.replace_state(restored.state)
        self.position = restored.position
        self.holder_seen_ms = self._clock.boot_ms()
        _log.info('snapshot loaded', extra={'position': self.position})

    async def _bridge_gap(self, earliest: Offset) -> None:
        """Get over records that expired before they were folded.

        They are given up only once no instance is left that has them.
        """
        if self._skipped_to == self.position:
            # More records have expired since others were skipped.
            self.position = earliest
            self._skipped_to = earliest
            return
        fields = {'position': self.position, 'earliest': earliest}
        _log.warning('records missing', extra=fields)
        self.caught_up = False
        self.in_gap = True
        self._notify_waiters()
        watch = GapWatch(self._store, self._clock, self._latency, earliest)
        await self._restore()
        while self.position < watch.earliest and not watch.vacant:
            await anyio.sleep(GAP_RETRY_S)
            try:
                await watch.look()
            except LogUnavailableError as exc:
                self._note_failure(exc)
            await self._restore()
        if self.position < watch.earliest:
            # Changes that were acknowledged in the gap are lost; runs are
            # found again by polling the runners.
            fields['earliest'] = watch.earliest
            _log.error('records lost', extra=fields)
            self.position = watch.earliest
            self._skipped_to = watch.earliest
        self.in_gap = False

    def _note_failure(self, exc: LogUnavailableError) -> None:
        if not self._failing:
            fields = {
                'position': self.position,
                'most_kb': self._read_size.max_kb,
                'reason': str(exc),
            }
            _log.warning('log lost', extra=fields)
        self._failing = True
        self.reading_since_ms = None
        self._long_polling = False
        self._notify_waiters()

    def _note_read(self, began_ms: Millis, batch: Batch) -> None:
        self.reads += 1
        self.history.note_read(batch)
        self.history.log_forgotten(self.time.now_ms())
        if self.reading_since_ms is None:
            _log.info('log reached', extra={'position': self.position})
            self.reading_since_ms = began_ms
            self._failing = False
        for payload in batch.records:
            self._fold(payload)
            self.position += 1
        self.time.note(self.cell.state, fresh=self.caught_up)
        if not self.caught_up and self.position >= batch.end:
            took_ms = self._clock.boot_ms() - self._began_ms
            fields = {
                'position': self.position,
                'took_ms': took_ms,
                'most_kb': self._read_size.max_kb,
            }
            _log.info('log caught up', extra=fields)
        self.caught_up = self.position >= batch.end
        if batch.records or not self.caught_up:
            self._read_size.note_served()
        self.last_read_ms = began_ms
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._progress.set()
        self._progress = anyio.Event()

    def _fold(self, payload: bytes) -> None:
        try:
            record = decode_record(payload)
        except (msgspec.MsgspecError, RecursionError) as exc:
            _log.error(
                'undecodable record skipped',
                extra={'offset': self.position, 'reason': str(exc)},
            )
            return
        if record is None:
            return
        self._note_holder_record(record)
        try:
            self.cell.fold(record)
        except MemoryError:
            # Other instances may fold this record, so it must not be skipped:
            # the newest snapshot is loaded, and folded from there again.
            self.cell.replace_state(CellState())
            self.position = 0
            self.caught_up = False
            raise
        except Exception as exc:
            # Every instance skips the same record, so their states agree. An
            # instance that stopped here would stop again at every start.
            self.fold_failures += 1
            kind = type(record).__name__
            fields = {'offset': self.position, 'record': kind}
            _log.error(
                'record not folded', extra={**fields, 'error': repr(exc)}
            )
            self.faults.note('record', kind, exc, {'offset': self.position})

    def _note_holder_record(self, record: Record) -> None:
        epoch = getattr(record, 'epoch', None)
        if epoch is not None and epoch >= self.cell.state.epoch:
            self.holder_seen_ms = self._clock.boot_ms()
        if isinstance(record, SnapshotTaken):
            self.history.note_snapshot(record.position, record.at_ms)
            # Who skipped records goes on from the state of who claimed since.
            self._outdated = self._skipped_to is not None
