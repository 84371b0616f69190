"""The reader of records: folds the log's entries in order, as they come."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio
import anyio.lowlevel
import msgspec

from swifthoist_core import codec, snapshots
from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError, LogUnavailableError
from swifthoist_core.ledger import Ledger, Verdict
from swifthoist_core.types import Millis, Offset
from swifthoistd.logs import LEDGER_STREAM, Log, LogEntry

READ_LIMIT = 1_024
"""Entries in one read."""

READ_WAIT_S = 1.0
"""How long a read waits at the end of the stream."""

READ_SLACK_S = 2.0
"""How much longer than its wait a read may take before it is given up."""

BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0

_FOLD_SLICE = 128
"""Entries that are folded before other tasks get their turn."""


class Bootstrap(Protocol):
    """The way to a state when the log no longer holds the next record."""

    async def restore(self, ledger: Ledger, earliest: Offset) -> bool:
        """Bring a ledger forward, in place.

        :param ledger: the ledger; its aggregates stay the same objects.
        :param earliest: oldest offset that the log still holds.
        :returns: whether the ledger is now at or beyond that offset.
        """


class Follower:
    """Keeps one ledger up with the log.

    :ivar ledger: the state at the offset that was folded last.
    :ivar expired: the oldest offset that the log holds, when that is beyond
        the ledger and no snapshot was found yet; else 0.
    :ivar resets: how often a snapshot turned out not to match the log.
    """

    def __init__(
        self,
        log: Log,
        ledger: Ledger,
        clock: Clock,
        *,
        bootstrap: Bootstrap | None = None,
        dice: random.Random | None = None,
    ) -> None:
        """Start where the ledger stands.

        :param log: client of the log.
        :param ledger: the ledger to keep up.
        :param clock: clocks of the machine.
        :param bootstrap: the way to a snapshot.
        :param dice: source of jitter.
        """
        self.ledger = ledger
        self.expired: Offset = 0
        self.resets = 0
        self._unchecked = False
        self._log = log
        self._clock = clock
        self._bootstrap = bootstrap
        self._dice = dice or random.Random()
        self._verdict_listeners: list[Callable[[Verdict], None]] = []
        self._jump_listeners: list[Callable[[], None]] = []
        self._changed = anyio.Event()
        self._at_end_ms: Millis | None = None
        self._backoff_s = BACKOFF_S

    @property
    def freshness_ms(self) -> Millis | None:
        """How long ago the ledger surely was at the end of the log, in ms.

        ``None`` until it was there once.
        """
        if self._at_end_ms is None:
            return None
        return self._clock.boot_ms() - self._at_end_ms

    def on_verdict(self, listener: Callable[[Verdict], None]) -> None:
        """Call a function with every verdict, in order.

        :param listener: called once per record; it must not block.
        """
        self._verdict_listeners.append(listener)

    def on_jump(self, listener: Callable[[], None]) -> None:
        """Call a function when the ledger was replaced by a snapshot.

        :param listener: called after the jump; verdicts in between are lost.
        """
        self._jump_listeners.append(listener)

    async def changed(self) -> None:
        """Wait for the next batch of records to be folded."""
        await self._changed.wait()

    async def wait_for(self, offset: Offset) -> None:
        """Wait until a record is folded.

        :param offset: offset of the record.
        """
        while self.ledger.offset <= offset:
            await self.changed()

    async def run(self) -> None:
        """Read and fold, for as long as the instance lives."""
        await self._restored()
        while True:
            asked_ms = self._clock.boot_ms()
            entries = await self._try_read()
            if entries is None:
                continue
            await self._fold_all(entries)
            if len(entries) < READ_LIMIT:
                self._at_end_ms = asked_ms

    async def _try_read(self) -> Sequence[LogEntry] | None:
        """Read the next entries, or wait a while after a failure."""
        entries: Sequence[LogEntry] | None = None
        try:
            with anyio.move_on_after(READ_WAIT_S + READ_SLACK_S):
                entries = await self._read()
        except LogExpiredError as expired:
            self.expired = expired.earliest
        except LogUnavailableError:
            entries = None
        if entries is not None:
            self._backoff_s = BACKOFF_S
            return entries
        lost = self.expired or self._at_end_ms is None
        if not (lost and await self._restored()):
            await self._back_off()
        return None

    async def _read(self) -> Sequence[LogEntry]:
        if self._unchecked:
            await self._check()
        wait_s = 0 if self._at_end_ms is None else READ_WAIT_S
        return await self._log.read(
            LEDGER_STREAM, self.ledger.offset, READ_LIMIT, wait_s
        )

    async def _check(self) -> None:
        """Compare a snapshot's last record with the log; drop a wrong one."""
        last = self.ledger.offset - 1
        bounds = await self._log.bounds(LEDGER_STREAM)
        sound = bounds.end > last
        if sound and last >= bounds.earliest:
            entries = await self._log.read(LEDGER_STREAM, last, 1, 0)
            sound = [entry.time_ms for entry in entries] == [
                self.ledger.time_ms
            ]
        if not sound:
            self.resets += 1
            snapshots.reset(self.ledger)
            self._announce_jump()
        self._unchecked = False

    async def _restored(self) -> bool:
        if self._bootstrap is None:
            return False
        if not await self._bootstrap.restore(self.ledger, self.expired):
            return False
        self.expired = 0
        self._unchecked = True
        self._announce_jump()
        return True

    def _announce_jump(self) -> None:
        for listener in self._jump_listeners:
            listener()
        self._announce()

    async def _fold_all(self, entries: Sequence[LogEntry]) -> None:
        for start in range(0, len(entries), _FOLD_SLICE):
            for entry in entries[start : start + _FOLD_SLICE]:
                self._fold(entry)
            self._announce()
            await anyio.lowlevel.checkpoint()

    def _fold(self, entry: LogEntry) -> None:
        """Fold one entry; one that is no record has no effect anywhere."""
        try:
            envelope = codec.decode(entry.payload)
        except msgspec.DecodeError:
            self.ledger.pass_over(entry.offset, entry.time_ms)
            return
        verdict = self.ledger.fold(entry.offset, entry.time_ms, envelope)
        for listener in self._verdict_listeners:
            listener(verdict)

    def _announce(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _back_off(self) -> None:
        pause_s = self._backoff_s * self._dice.uniform(0.5, 1.0)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        await anyio.sleep(pause_s)
