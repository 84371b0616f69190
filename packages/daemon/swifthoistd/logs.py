"""What the entry instance asks of the platform's append-only log."""

from collections.abc import Sequence
from typing import Protocol

from swifthoist_core.types import Millis, Offset

LEDGER_STREAM = 'ledger'
"""The stream of records that every instance folds."""

SNAPSHOT_STREAM = 'snapshots'
"""The stream of chunks of snapshots of the fold."""


class LogEntry(Protocol):
    """One entry of a stream.

    :ivar offset: its position in the stream.
    :ivar time_ms: time that the log stamped; it never decreases.
    :ivar payload: its bytes.
    """

    @property
    def offset(self) -> Offset:
        """Position in the stream."""

    @property
    def time_ms(self) -> Millis:
        """Time that the log stamped."""

    @property
    def payload(self) -> bytes:
        """The bytes that were appended."""


class Bounds(Protocol):
    """What a stream holds.

    :ivar earliest: offset of the oldest entry.
    :ivar end: offset that the next entry will have.
    """

    @property
    def earliest(self) -> Offset:
        """Offset of the oldest entry."""

    @property
    def end(self) -> Offset:
        """Offset that the next entry will have."""


class Log(Protocol):
    """The client of the log."""

    async def append(
        self, stream: str, payloads: Sequence[bytes], timeout_s: float
    ) -> Offset:
        """Append a batch, contiguous and wholly or not at all.

        :param stream: name of the stream.
        :param payloads: the batch.
        :param timeout_s: time for the call, in seconds.
        :returns: offset of the first of them.
        :raises LogUnavailableError: when it surely was not applied.
        :raises OutcomeUnknownError: when it may have been applied.
        """

    async def read(
        self, stream: str, start: Offset, limit: int, wait_s: float
    ) -> Sequence[LogEntry]:
        """Read entries in order, waiting for the first one.

        :param stream: name of the stream.
        :param start: offset of the first.
        :param limit: how many at most.
        :param wait_s: how long to wait for one, in seconds.
        :returns: the entries, none when none came in time.
        :raises LogExpiredError: when the log no longer holds ``start``.
        :raises LogUnavailableError: when the log does not serve.
        """

    async def bounds(self, stream: str) -> Bounds:
        """Ask what a stream holds.

        :param stream: name of the stream.
        :returns: its bounds.
        :raises LogUnavailableError: when the log does not serve.
        """
