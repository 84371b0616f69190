"""Appends records of this instance to the log of the cell, exactly once.

Waiting records are appended in batches, with one append in flight at a time.
An append without an answer is sent again with the same sequence number until
the store reports its outcome, so it takes effect once. While an answer is late,
a read tells whether the store is slow: then the append may still be in the
store's queue, and sending it again would only lengthen the queue.
"""

import logging
import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Protocol

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    AnswerLateError,
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
)
from swifthoist_core.types import Millis, Offset
from swifthoist_engine.records import Record, encode_record
from swifthoist_instance.store_latency import StoreLatency
from swifthoist_platform.calls import Patience
from swifthoist_platform.store import AppendConflictError, AppendRequest
from swifthoist_platform.store_records import Batch

CELL_TOPIC = 'swifthoist.cell'
"""Topic of the log that every instance folds."""

APPEND_TIMEOUT_S = 0.7
"""Timeout of one append to a store that is not known to be slow, in seconds."""

PROBE_AFTER_S = 0.1
"""How long an append may be unanswered before a read shows whether the store is
slow, in seconds."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of that read, in seconds."""

PROBE_KB = 1
"""Maximum size of the reply to that read, in KB."""

RETRY_S = 0.1
"""Pause before an unanswered append is sent again, in seconds; it doubles with
each attempt while the store is slow."""

MAX_RETRY_S = 1.6
"""Longest such pause, in seconds."""

STUCK_MS = 400
"""How long an append may be unanswered, in ms, before a store that is not slow
counts as unavailable and new requests are refused immediately."""

REFUSAL_HOLD_MS = 300
"""How long the store counts as unavailable after it refused an append, in
ms."""

MAX_BATCH_RECORDS = 256
"""Maximum number of records in one append."""

MAX_BATCH_BYTES = 1_000_000
"""Maximum size of the records in one append, in bytes: half of what the store
accepts."""

MAX_LINK_S = 0.2
"""Maximum time that an append may occupy the machine's link, in seconds, unless
it has a single entry: half of STUCK_MS."""

_log = logging.getLogger(__name__)


class RecordReader(Protocol):
    """Store operation that reads the log of the cell."""

    async def read(
        self,
        topic: str,
        start: Offset,
        wait_s: float,
        timeout_s: float,
        max_kb: int,
    ) -> Batch:
        """Read records in order, and wait for the first one."""


class RecordAppender(RecordReader, Protocol):
    """Store operations that the journal needs."""

    async def append(
        self,
        batch: AppendRequest,
        timeout_s: float,
        patience: Patience | None = None,
    ) -> Offset:
        """Append records atomically."""


class _Outcome(Enum):
    WAITING = auto()
    SENT = auto()
    DONE = auto()
    EXPIRED = auto()
    REFUSED = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class _PendingAppend:
    records: list[bytes]
    expires_ms: Millis
    outcome: _Outcome = _Outcome.WAITING
    offset: Offset = -1
    settled: anyio.Event = field(default_factory=anyio.Event)

    def settle(self, outcome: _Outcome, offset: Offset = -1) -> None:
        """Set the outcome and wake the caller that waits for it."""
        self.outcome = outcome
        self.offset = offset
        self.settled.set()


class Journal:
    """Appends records of this instance.

    :ivar appends: number of appends that took effect.
    :ivar repeats: number of appends that were sent again.
    :ivar turned_away: set when the store refuses an append or resets its
        connection; whoever waits for it replaces it.
    """

    def __init__(
        self,
        store: RecordAppender,
        producer: str,
        clock: Clock,
        link_bytes_s: float = math.inf,
        latency: StoreLatency | None = None,
    ) -> None:
        """Append to a store.

        :param store: the store.
        :param producer: unique name of this life of the instance.
        :param clock: source of time.
        :param link_bytes_s: bandwidth of the machine's link, in bytes per
            second.
        :param latency: measures the time of the store's answers; None creates
            a new one.
        """
        self._batch_bytes = min(MAX_BATCH_BYTES, link_bytes_s * MAX_LINK_S)
        self.appends = 0
        self.repeats = 0
        self.turned_away = anyio.Event()
        self._latency = latency or StoreLatency(clock)
        self._store = store
        self._producer = producer
        self._clock = clock
        self._producer_number = 0
        self._sequence = 1
        self._waiting: deque[_PendingAppend] = deque()
        self._wake = anyio.Event()
        self._sent = anyio.Event()
        self._sent_ms: Millis | None = None
        self._patience = Patience()
        self._last_offset: Offset = 0
        self._probe_failed = False
        self._refused_ms: Millis | None = None

    @property
    def available(self) -> bool:
        """Whether appends are likely to take effect soon."""
        now_ms = self._clock.boot_ms()
        limit_ms = max(STUCK_MS, self._latency.append_timeout_s * 1_000)
        if self._sent_ms is not None and now_ms - self._sent_ms > limit_ms:
            return False
        refused_ms = self._refused_ms
        return refused_ms is None or now_ms - refused_ms > REFUSAL_HOLD_MS

    async def append(
        self, records: Sequence[Record], timeout_s: float
    ) -> Offset:
        """Append records contiguously, all or none.

        :param records: the records.
        :param timeout_s: how long to wait for the outcome, in seconds.
        :returns: offset of the first record.
        :raises LogUnavailableError: when they are certainly not appended.
        :raises OutcomeUnknownError: when they may take effect, now or later.
        """
        expires_ms = self._clock.boot_ms() + int(timeout_s * 1_000)
        encoded = [encode_record(record) for record in records]
        entry = _PendingAppend(encoded, expires_ms)
        self._waiting.append(entry)
        self._wake.set()
        try:
            with anyio.move_on_after(timeout_s):
                await entry.settled.wait()
        finally:
            if entry.outcome is _Outcome.WAITING:
                self._waiting.remove(entry)
        match entry.outcome:
            case _Outcome.DONE:
                return entry.offset
            case _Outcome.WAITING | _Outcome.EXPIRED:
                raise LogUnavailableError('the append was not sent in time')
            case _Outcome.REFUSED:
                raise LogUnavailableError('the store refused the append')
            case _:
                raise OutcomeUnknownError('the append was not settled in time')

    async def run(self) -> None:
        """Append waiting records, until canceled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            await self._append_repeatedly()

    async def _append_repeatedly(self) -> None:
        # Sequence numbers of an earlier run may belong to other records.
        self._start_producer()
        while True:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._append_batch(self._take_batch())

    async def _watch(self) -> None:
        """Extend the timeout of appends while the store is slow."""
        while True:
            await self._sent.wait()
            await anyio.sleep(PROBE_AFTER_S)
            if self._sent_ms is None:
                self._sent = anyio.Event()
            elif self._clock.boot_ms() - self._sent_ms >= PROBE_AFTER_S * 1_000:
                await self._check_slowness()

    async def _check_slowness(self) -> None:
        patience = self._patience
        if not self._latency.slow:
            if not self._probe_failed:
                patience.extend(PROBE_AFTER_S + PROBE_TIMEOUT_S)
            self._probe_failed = not await self._probe()
        patience.extend(self._latency.append_timeout_s)

    async def _probe(self) -> bool:
        """Return whether the store answers a read."""
        try:
            await self._store.read(
                CELL_TOPIC, self._last_offset, 0, PROBE_TIMEOUT_S, PROBE_KB
            )
        except LogUnavailableError:
            return False
        except LogExpiredError:
            return True
        return True

    def _take_batch(self) -> list[_PendingAppend]:
        self._drop_expired()
        entries: list[_PendingAppend] = []
        count = 0
        size = 0
        while self._waiting and count < MAX_BATCH_RECORDS:
            entry = self._waiting[0]
            size += sum(map(len, entry.records))
            if entries and size > self._batch_bytes:
                break
            self._waiting.popleft()
            entry.outcome = _Outcome.SENT
            entries.append(entry)
            count += len(entry.records)
        return entries

    def _drop_expired(self) -> None:
        """Drop appends whose time passed while the process was paused.

        Their callers may not have noticed yet, or wait by a clock that does
        not count the pause.
        """
        now_ms = self._clock.boot_ms()
        expired = [it for it in self._waiting if it.expires_ms < now_ms]
        for entry in expired:
            self._waiting.remove(entry)
            entry.settle(_Outcome.EXPIRED)
        if expired:
            _log.warning('appends expired', extra={'count': len(expired)})

    async def _append_batch(self, entries: list[_PendingAppend]) -> None:
        if not entries:
            return
        records = [record for entry in entries for record in entry.records]
        self._sent_ms = self._clock.boot_ms()
        self._sent.set()
        try:
            offset = await self._append_until_settled(records)
        except LogUnavailableError as exc:
            self._note_refused()
            _log.warning('append refused', extra={'reason': str(exc)})
            for entry in entries:
                entry.settle(_Outcome.REFUSED)
        except OutcomeUnknownError as exc:
            _log.error('append outcome unknown', extra={'reason': str(exc)})
            for entry in entries:
                entry.settle(_Outcome.UNKNOWN)
        else:
            self._note_done(entries, offset)
        finally:
            self._sent_ms = None

    def _note_done(self, entries: list[_PendingAppend], offset: Offset) -> None:
        self.appends += 1
        self._sequence += 1
        self._refused_ms = None
        self._probe_failed = False
        self._last_offset = offset
        for entry in entries:
            entry.settle(_Outcome.DONE, offset)
            offset += len(entry.records)

    async def _append_until_settled(self, records: list[bytes]) -> Offset:
        try:
            return await self._send(records)
        except OutcomeUnknownError as exc:
            self._note_unanswered(exc)
        pause_s = RETRY_S
        while True:
            await anyio.sleep(pause_s)
            if self._latency.slow:
                pause_s = min(2 * pause_s, MAX_RETRY_S)
            offset = await self._send_again(records)
            if offset is not None:
                return offset

    async def _send_again(self, records: list[bytes]) -> Offset | None:
        """Send an unanswered append again; None if it is not settled yet.

        The first attempt may still take effect, so only an answer to the same
        append settles it.
        """
        self.repeats += 1
        try:
            return await self._send(records)
        except AppendConflictError as exc:
            raise OutcomeUnknownError(str(exc)) from exc
        except LogUnavailableError:
            self._note_refused()
        except OutcomeUnknownError as exc:
            self._refused_ms = self._clock.boot_ms()
            self._note_unanswered(exc)
        return None

    def _note_unanswered(self, exc: OutcomeUnknownError) -> None:
        sent_ms = self._sent_ms or self._clock.boot_ms()
        fields = {
            'why': str(exc),
            'waited_ms': self._clock.boot_ms() - sent_ms,
            'store_slow_ms': self._latency.slow_ms,
        }
        _log.warning('append unanswered', extra=fields)
        if not isinstance(exc, AnswerLateError):
            self.turned_away.set()

    def _note_refused(self) -> None:
        self._refused_ms = self._clock.boot_ms()
        self.turned_away.set()

    async def _send(self, records: list[bytes]) -> Offset:
        producer = f'{self._producer}.{self._producer_number}'
        batch = AppendRequest(CELL_TOPIC, records, producer, self._sequence)
        timeout_s = max(APPEND_TIMEOUT_S, self._latency.append_timeout_s)
        self._patience = Patience()
        try:
            return await self._store.append(batch, timeout_s, self._patience)
        except AppendConflictError:
            # The sequence is broken; a new producer name starts a new one.
            self._start_producer()
            raise

    def _start_producer(self) -> None:
        self._producer_number += 1
        self._sequence = 1
