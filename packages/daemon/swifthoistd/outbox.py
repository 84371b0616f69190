"""Records of one author on their way to the log: queued, then sent."""

import itertools
from collections import deque
from collections.abc import Iterable

import anyio

from swifthoist_core import codec
from swifthoist_core.ledger import Verdict
from swifthoist_core.records import Author, Envelope, Record
from swifthoist_core.types import Millis
from swifthoistd.committing import Receipt

MAX_BATCH = 512
"""Records in one append, and records that may be on their way."""

MAX_BATCH_BYTES = 512 * 1024
"""Bytes in one append, unless a single record is longer."""


class Pending:
    """One record on its way to the log.

    :ivar record: the record.
    :ivar seq: its number, 0 until it is first sent.
    :ivar payload: its bytes, once numbered.
    :ivar landed: whether the log acknowledged it.
    :ivar doubtful: whether an attempt had an unknown outcome.
    :ivar due_ms: boot time from which it may be sent again.
    :ivar verdict: what the fold made of it, once known.
    :ivar finished: set when there is nothing more to wait for.
    """

    def __init__(self, record: Record) -> None:
        """Keep the record.

        :param record: what to append.
        """
        self.record = record
        self.seq = 0
        self.payload = b''
        self.landed = False
        self.doubtful = False
        self.due_ms: Millis = 0
        self.verdict: Verdict | None = None
        self.finished = anyio.Event()


class Outbox:
    """What is queued without a number, and what was sent and not yet folded.

    A number is given when a record is first sent. While the fate of a sent
    record is in doubt nothing newer is sent, because the fold takes the
    records of an author without gaps.
    """

    def __init__(self, author: Author) -> None:
        """Start empty.

        :param author: who writes.
        """
        self._author = author
        self._queue: deque[Pending] = deque()
        self._window: deque[Pending] = deque()
        self._next_seq = 1

    def __len__(self) -> int:
        """Count the records that are not known to be folded."""
        return len(self._queue) + len(self._window)

    @property
    def queued(self) -> int:
        """Records that were not sent yet."""
        return len(self._queue)

    def add(self, record: Record) -> Pending:
        """Queue a record.

        :param record: what to append.
        :returns: its way to the log.
        """
        pending = Pending(record)
        self._queue.append(pending)
        return pending

    def withdraw(self, pending: Pending) -> bool:
        """Take a record back, if it surely was not appended.

        :param pending: the record.
        :returns: whether it never will be appended.
        """
        if pending.seq or pending not in self._queue:
            return False
        self._queue.remove(pending)
        return True

    def choose(self, now_ms: Millis) -> list[Pending]:
        """Choose what to send now.

        :param now_ms: boot time.
        :returns: what is in doubt and due, else what is queued.
        """
        under_way = [item for item in self._window if not item.landed]
        if under_way and under_way[0].due_ms <= now_ms:
            under_way[0].doubtful = True
        if not any(pending.doubtful for pending in under_way):
            return self._number(MAX_BATCH - len(under_way))
        if under_way[0].due_ms > now_ms:
            return []
        return _fitting(under_way)

    def sent(
        self, batch: Iterable[Pending], receipt: Receipt, due_ms: Millis
    ) -> None:
        """Note how far a batch got.

        :param batch: what was sent.
        :param receipt: how far it got.
        :param due_ms: boot time at which to doubt it, unless it landed.
        """
        for pending in batch:
            pending.landed = receipt is Receipt.APPENDED
            pending.doubtful = False
            pending.due_ms = due_ms

    def doubt(self, batch: Iterable[Pending]) -> None:
        """Note that the fate of a batch is unknown.

        :param batch: what was sent.
        """
        for pending in batch:
            pending.doubtful = True
            pending.due_ms = 0

    def unsend(self, batch: list[Pending]) -> None:
        """Note that a batch surely was not appended by this attempt.

        What no earlier attempt can have appended goes back to the queue and
        gives its number back.

        :param batch: what was sent.
        """
        if batch[0].doubtful or batch[-1].finished.is_set():
            return
        for pending in reversed(batch):
            self._window.pop()
            pending.seq = 0
            self._queue.appendleft(pending)
        self._next_seq -= len(batch)

    def folded(self, upto: int, verdict: Verdict | None = None) -> None:
        """Note that records were folded.

        :param upto: number of the last of them.
        :param verdict: what the fold made of that one, if it is known.
        """
        while self._window and self._window[0].seq <= upto:
            pending = self._window.popleft()
            if pending.seq == upto:
                pending.verdict = verdict
            pending.finished.set()

    def overtook(self, seq: int) -> None:
        """Note that a record reached the log ahead of an earlier one.

        It has no effect there and must be sent again.

        :param seq: its number.
        """
        for pending in self._window:
            if pending.seq == seq:
                pending.landed = False
                pending.doubtful = True

    def _reject(self, pending: Pending, reason: str) -> None:
        """End a record that can never be appended, and no other."""
        self._queue.remove(pending)
        pending.verdict = Verdict(self._author, 0, 0, reason)
        pending.finished.set()

    def _number(self, free: int) -> list[Pending]:
        fresh = list(itertools.islice(self._queue, max(free, 0)))
        for seq, pending in enumerate(fresh, self._next_seq):
            envelope = Envelope(self._author, seq, pending.record)
            try:
                pending.payload = codec.encode(envelope)
            except (TypeError, ValueError, OverflowError) as exc:
                self._reject(pending, f'cannot be encoded: {exc}')
                return self._number(free)
        batch = _fitting(fresh)
        for seq, pending in enumerate(batch, self._next_seq):
            pending.seq = seq
            self._queue.popleft()
        self._next_seq += len(batch)
        self._window.extend(batch)
        return batch


def _fitting(pendings: Iterable[Pending]) -> list[Pending]:
    batch: list[Pending] = []
    size = 0
    for pending in pendings:
        size += len(pending.payload)
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(pending)
    return batch
