"""Topics of the emulated store: records, producers, keys and expiry."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from swifthoist_core.types import Millis, Offset

MAX_REPEATABLE_APPENDS = 5
"""Number of its newest appends that a producer may repeat idempotently."""


class StoredRecord(NamedTuple):
    """A record and the time at which it was stored.

    :ivar content: its bytes.
    :ivar at_ms: time on the store's clock.
    """

    content: bytes
    at_ms: Millis


class AppendId(NamedTuple):
    """Identifies an append of a producer, so that a repetition is recognized.

    :ivar producer: id of the producer.
    :ivar epoch: epoch of the producer.
    :ivar sequence: sequence number of the append within the epoch.
    """

    producer: str
    epoch: int
    sequence: int


class AppendResult(NamedTuple):
    """Result of an append.

    :ivar status: HTTP status.
    :ivar offset: offset of the first record; for a sequence error, the
        sequence number that was expected.
    :ivar end: offset that the next record will get.
    :ivar reason: why it was refused; empty if it succeeded.
    """

    status: int
    offset: Offset
    end: Offset
    reason: str = ''


@dataclass(slots=True)
class _Producer:
    epoch: int
    sequence: int
    replies: dict[int, AppendResult] = field(default_factory=dict)


class Topic:
    """One partition of a topic.

    :ivar first: offset of the oldest record that is retained.
    """

    def __init__(self, *, keyed: bool) -> None:
        """Start without records.

        :param keyed: the records have keys, and the newest of each is retained.
        """
        self.first: Offset = 0
        self._keyed = keyed
        self._kept: dict[str, bytes] = {}
        self._records: list[StoredRecord] = []
        self._producers: dict[str, _Producer] = {}

    @property
    def end(self) -> Offset:
        """Offset that the next record will get."""
        return self.first + len(self._records)

    def append(
        self,
        contents: Sequence[bytes],
        at_ms: Millis,
        append_id: AppendId | None = None,
    ) -> AppendResult:
        """Append records atomically.

        :param contents: the records.
        :param at_ms: time on the store's clock.
        :param append_id: id of the append; none for no deduplication.
        :returns: the result.
        """
        if append_id is None:
            return self._store(contents, at_ms)
        known = self._producers.get(append_id.producer)
        refused = self._check(known, append_id)
        if refused is not None:
            return refused
        reply = self._store(contents, at_ms)
        if known is None or known.epoch < append_id.epoch:
            known = _Producer(append_id.epoch, append_id.sequence)
            self._producers[append_id.producer] = known
        known.sequence = append_id.sequence
        known.replies[append_id.sequence] = reply
        known.replies.pop(append_id.sequence - MAX_REPEATABLE_APPENDS, None)
        return reply

    def read(self, start: Offset) -> list[bytes] | None:
        """Read records.

        :param start: offset of the first.
        :returns: the records; none if the first is no longer retained.
        """
        if start < self.first:
            return None
        return [item.content for item in self._records[start - self.first :]]

    def newest(self) -> dict[str, bytes]:
        """Return the newest value of each key of a keyed topic."""
        found = dict(self._kept)
        for item in self._records:
            _note_key(found, item.content)
        return {key: value for key, value in found.items() if value}

    def forget(self, before: Offset) -> None:
        """Drop the oldest records; the newest value of each key is retained.

        :param before: offset of the oldest record that stays.
        """
        count = min(max(before - self.first, 0), len(self._records))
        if self._keyed:
            for item in self._records[:count]:
                _note_key(self._kept, item.content)
        del self._records[:count]
        self.first += count

    def expire(self, before_ms: Millis) -> None:
        """Drop the records that are older than a time.

        :param before_ms: time of the oldest record that stays.
        """
        old = sum(item.at_ms < before_ms for item in self._records)
        self.forget(self.first + old)

    def _check(
        self, known: _Producer | None, append_id: AppendId
    ) -> AppendResult | None:
        if known is None or append_id.epoch > known.epoch:
            return None
        if append_id.epoch < known.epoch:
            return AppendResult(409, 0, self.end, 'fenced')
        if append_id.sequence in known.replies:
            return known.replies[append_id.sequence]
        if append_id.sequence != known.sequence + 1:
            return AppendResult(409, known.sequence + 1, self.end, 'seq')
        return None

    def _store(self, contents: Sequence[bytes], at_ms: Millis) -> AppendResult:
        offset = self.end
        self._records.extend(
            StoredRecord(content, at_ms) for content in contents
        )
        return AppendResult(200, offset, self.end)


def _note_key(found: dict[str, bytes], content: bytes) -> None:
    size = content[0]
    found[content[1 : 1 + size].decode()] = content[1 + size :]
