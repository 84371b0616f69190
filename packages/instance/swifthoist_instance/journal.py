"""Appends of this instance to the log of the cell, each exactly once.

Records that wait are appended together. Only one append is on its way at a
time; one that got no answer is sent again with the same number until the
store tells what became of it, so it takes effect once.
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
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.types import Millis, Offset
from swifthoist_engine.records import Record, encode_record
from swifthoist_platform.store import AppendConflictError, AppendRequest

CELL_TOPIC = 'swifthoist.cell'
"""Topic of the records that every instance folds."""

APPEND_TIMEOUT_S = 0.7
"""Time for one append, in seconds: over twice the answer of a store that is
sixty times as slow as usual."""

RETRY_S = 0.1
"""Pause before an append without an answer is sent again, in seconds."""

STUCK_MS = 400
"""An append without an answer for this long makes the store count as away,
and new calls are refused at once, in ms."""

REFUSED_MS = 300
"""How long the store counts as away after it refused an append, in ms."""

MAX_GROUP = 256
"""Most records in one append."""

MAX_GROUP_BYTES = 1_000_000
"""Most bytes of records in one append; half of what the store takes."""

LINK_S = 0.2
"""Longest time that one append takes the machine's link, in seconds, unless
it has one record only: half of what makes the store count as away."""

_log = logging.getLogger(__name__)


class AppendsRecords(Protocol):
    """What the journal asks of the store."""

    async def append(self, batch: AppendRequest, timeout_s: float) -> Offset:
        """Append records, all or none."""


class _Outcome(Enum):
    WAITING = auto()
    SENT = auto()
    DONE = auto()
    REFUSED = auto()
    UNKNOWN = auto()


@dataclass(slots=True)
class _Group:
    records: list[bytes]
    outcome: _Outcome = _Outcome.WAITING
    offset: Offset = -1
    settled: anyio.Event = field(default_factory=anyio.Event)

    def settle(self, outcome: _Outcome, offset: Offset = -1) -> None:
        """Tell whoever waits what became of the records."""
        self.outcome = outcome
        self.offset = offset
        self.settled.set()


class Journal:
    """Appends records of this instance.

    :ivar appends: appends that took effect.
    """

    def __init__(
        self,
        store: AppendsRecords,
        producer: str,
        clock: Clock,
        link_bytes_s: float = math.inf,
    ) -> None:
        """Append to a store.

        :param store: the store.
        :param producer: name of this life of the instance; unique.
        :param clock: tells the time.
        :param link_bytes_s: width of the machine's link, in bytes a second.
        """
        self._group_bytes = min(MAX_GROUP_BYTES, link_bytes_s * LINK_S)
        self.appends = 0
        self._store = store
        self._producer = producer
        self._clock = clock
        self._lives = 0
        self._sequence = 1
        self._waiting: deque[_Group] = deque()
        self._wake = anyio.Event()
        self._sent_ms: Millis | None = None
        self._refused_ms: Millis | None = None

    @property
    def available(self) -> bool:
        """Whether appends are likely to take effect soon."""
        now_ms = self._clock.boot_ms()
        if self._sent_ms is not None and now_ms - self._sent_ms > STUCK_MS:
            return False
        refused_ms = self._refused_ms
        return refused_ms is None or now_ms - refused_ms > REFUSED_MS

    async def append(
        self, records: Sequence[Record], timeout_s: float
    ) -> Offset:
        """Append records next to each other, all or none.

        :param records: the records.
        :param timeout_s: how long to wait for the outcome, in seconds.
        :returns: offset of the first of them.
        :raises LogUnavailableError: when they are surely not appended.
        :raises OutcomeUnknownError: when they may be, now or later.
        """
        group = _Group([encode_record(record) for record in records])
        self._waiting.append(group)
        self._wake.set()
        with anyio.move_on_after(timeout_s):
            await group.settled.wait()
        match group.outcome:
            case _Outcome.DONE:
                return group.offset
            case _Outcome.WAITING:
                self._waiting.remove(group)
                raise LogUnavailableError('the append was not sent in time')
            case _Outcome.REFUSED:
                raise LogUnavailableError('the store refused the append')
            case _:
                raise OutcomeUnknownError('the append was not settled in time')

    async def run(self) -> None:
        """Append what waits, until canceled."""
        # Numbers that an earlier run used may stand for other records.
        self._renumber()
        while True:
            if not self._waiting:
                self._wake = anyio.Event()
                await self._wake.wait()
            await self._append_groups(self._take_groups())

    def _take_groups(self) -> list[_Group]:
        groups: list[_Group] = []
        count = 0
        size = 0
        while self._waiting and count < MAX_GROUP:
            group = self._waiting[0]
            size += sum(map(len, group.records))
            if groups and size > self._group_bytes:
                break
            self._waiting.popleft()
            group.outcome = _Outcome.SENT
            groups.append(group)
            count += len(group.records)
        return groups

    async def _append_groups(self, groups: list[_Group]) -> None:
        if not groups:
            return
        records = [record for group in groups for record in group.records]
        self._sent_ms = self._clock.boot_ms()
        try:
            offset = await self._settle(records)
        except LogUnavailableError as exc:
            self._refused_ms = self._clock.boot_ms()
            _log.warning('append refused', extra={'reason': str(exc)})
            for group in groups:
                group.settle(_Outcome.REFUSED)
        except OutcomeUnknownError as exc:
            _log.error('append given up', extra={'reason': str(exc)})
            for group in groups:
                group.settle(_Outcome.UNKNOWN)
        else:
            self._note_done(groups, offset)
        finally:
            self._sent_ms = None

    def _note_done(self, groups: list[_Group], offset: Offset) -> None:
        self.appends += 1
        self._sequence += 1
        self._refused_ms = None
        for group in groups:
            group.settle(_Outcome.DONE, offset)
            offset += len(group.records)

    async def _settle(self, records: list[bytes]) -> Offset:
        try:
            return await self._try(records)
        except OutcomeUnknownError as exc:
            _log.warning('append unanswered', extra={'why': str(exc)})
        while True:
            await anyio.sleep(RETRY_S)
            try:
                return await self._try(records)
            except (LogUnavailableError, OutcomeUnknownError) as exc:
                # The first try may still be carried out, so only an answer
                # to the same append settles it.
                self._refused_ms = self._clock.boot_ms()
                if isinstance(exc, AppendConflictError):
                    raise OutcomeUnknownError(str(exc)) from exc

    async def _try(self, records: list[bytes]) -> Offset:
        producer = f'{self._producer}.{self._lives}'
        batch = AppendRequest(CELL_TOPIC, records, producer, self._sequence)
        try:
            return await self._store.append(batch, APPEND_TIMEOUT_S)
        except AppendConflictError:
            # The numbering is lost; a new producer starts a new one.
            self._renumber()
            raise

    def _renumber(self) -> None:
        self._lives += 1
        self._sequence = 1
