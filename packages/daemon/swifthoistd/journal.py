"""The writer of records: numbers them, appends them in groups, in order.

Records that come while an append is in flight go out together with the next
one. A reply that was lost is settled by reading on: the follower reports
every record of this author that was folded, and what does not appear is sent
again under the same number. The fold takes each number once, so a second
copy costs some bytes on the log and nothing else. Reading alone could not
settle it, because an append may take effect long after its reply was lost.
"""

import random

import anyio

from swifthoist_core import authors
from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogUnavailableError, OutcomeUnknownError
from swifthoist_core.ledger import Verdict
from swifthoist_core.records import Author, Record, RequestsCounted
from swifthoistd.committing import Committer, Receipt
from swifthoistd.outbox import Outbox, Pending

MAX_QUEUE = 4_096
"""Records that may wait to be appended."""

APPEND_TIMEOUT_S = 2.0
"""Deadline of one append."""

RESEND_MS = 400
"""How long a record that was handed on may take to be folded, in ms."""

LINGER_S = 0.001
"""How long a group waits for more after an append of its own; the call to
the holder takes long enough by itself."""

BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0

TOUCH_MS = 6 * 3_600_000
"""A silent author appends something this often, so as not to be forgotten."""

_MS_PER_S = 1_000


class BacklogError(LogUnavailableError):
    """Too many records wait already; this one was not taken."""


class Journal:
    """The records of this life of the instance, in one order.

    :ivar author: who writes.
    :ivar appends: how many appends were tried.
    """

    def __init__(
        self,
        committer: Committer,
        author: Author,
        clock: Clock,
        *,
        linger_s: float = LINGER_S,
        dice: random.Random | None = None,
    ) -> None:
        """Start with nothing to append.

        :param committer: the way to the log.
        :param author: who writes.
        :param clock: clocks of the machine.
        :param linger_s: how long a group waits for more, in seconds.
        :param dice: source of jitter.
        """
        self.author = author
        self.appends = 0
        self._committer = committer
        self._clock = clock
        self._linger_s = linger_s
        self._dice = dice or random.Random()
        self._outbox = Outbox(author)
        self._wake = anyio.Event()
        self._idle = anyio.Event()
        self._touched_ms = clock.boot_ms()
        self._backoff_s = BACKOFF_S

    @property
    def backlog(self) -> int:
        """Records that are not known to be folded."""
        return len(self._outbox)

    async def commit(
        self, record: Record, timeout_s: float, undo: Record | None = None
    ) -> Verdict:
        """Append a record and wait until it is folded here.

        :param record: the record.
        :param timeout_s: how long to wait, in seconds.
        :param undo: what to append behind the record if the wait ends before
            its verdict is known, by timeout or cancellation, and it may yet
            take effect.
        :returns: what the fold made of it.
        :raises BacklogError: when it was not taken.
        :raises LogUnavailableError: when it was not appended and never will.
        :raises OutcomeUnknownError: when it may take effect later.
        """
        if self._outbox.queued >= MAX_QUEUE:
            raise BacklogError('too many records wait for the log')
        cancelled = anyio.get_cancelled_exc_class()
        pending = self._add(record)
        try:
            with anyio.move_on_after(timeout_s):
                await pending.finished.wait()
        except cancelled:
            self._give_up(pending, undo)
            raise
        if pending.verdict is not None:
            return pending.verdict
        if self._give_up(pending, undo):
            raise LogUnavailableError('the log did not take it in time')
        raise OutcomeUnknownError('the record may yet take effect')

    def post(self, record: Record) -> None:
        """Append a record some time, through any outage.

        The caller bounds how many there are; none is refused.

        :param record: the record.
        """
        self._add(record)

    async def flush(self, timeout_s: float) -> bool:
        """Wait until everything is folded.

        :param timeout_s: how long, in seconds.
        :returns: whether nothing is left.
        """
        with anyio.move_on_after(timeout_s):
            while self.backlog:
                self._idle = anyio.Event()
                await self._idle.wait()
        return not self.backlog

    def resolve(self, verdict: Verdict) -> None:
        """Take note of a record of this author that was read back.

        :param verdict: what the fold made of it.
        """
        if verdict.author != self.author:
            return
        match verdict.reason:
            case authors.DUPLICATE:
                return
            case authors.OUT_OF_ORDER:
                self._outbox.overtook(verdict.seq)
            case _:
                self._outbox.folded(verdict.seq, verdict)
        self._stir()

    def settle(self, upto: int) -> None:
        """Take note that records were folded whose verdicts are not known.

        :param upto: number of the last of them.
        """
        self._outbox.folded(upto)
        self._stir()

    async def run(self) -> None:
        """Append what is queued, for as long as the instance lives."""
        while True:
            batch = self._outbox.choose(self._clock.boot_ms())
            if batch:
                self._touched_ms = self._clock.boot_ms()
                await self._send(batch)
                continue
            if self._clock.boot_ms() - self._touched_ms > TOUCH_MS:
                self.post(RequestsCounted(()))
                continue
            await self._sleep()

    def _add(self, record: Record) -> Pending:
        pending = self._outbox.add(record)
        self._wake.set()
        return pending

    def _give_up(self, pending: Pending, undo: Record | None) -> bool:
        if self._outbox.withdraw(pending):
            self._stir()
            return True
        if undo is not None:
            self.post(undo)
        return False

    def _stir(self) -> None:
        self._wake.set()
        if not self.backlog:
            self._idle.set()

    async def _send(self, batch: list[Pending]) -> None:
        payloads = [pending.payload for pending in batch]
        again = batch[0].doubtful
        self.appends += 1
        try:
            receipt = await self._committer.commit(
                payloads, APPEND_TIMEOUT_S, again
            )
        except LogUnavailableError:
            self._outbox.unsend(batch)
            await self._back_off()
        except OutcomeUnknownError:
            self._outbox.doubt(batch)
            await self._back_off()
        else:
            self._backoff_s = BACKOFF_S
            due_ms = self._clock.boot_ms() + RESEND_MS
            self._outbox.sent(batch, receipt, due_ms)
            if receipt is Receipt.APPENDED:
                await anyio.sleep(self._linger_s)

    async def _back_off(self) -> None:
        pause_s = self._backoff_s * self._dice.uniform(0.5, 1)
        self._backoff_s = min(self._backoff_s * 2, MAX_BACKOFF_S)
        await anyio.sleep(pause_s)

    async def _sleep(self) -> None:
        self._wake = anyio.Event()
        with anyio.move_on_after(RESEND_MS / _MS_PER_S):
            await self._wake.wait()
