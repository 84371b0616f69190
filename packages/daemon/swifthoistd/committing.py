"""The ways by which groups of records reach the log.

Instances hand their groups to the holder of the cell, which appends for all
of them, one append at a time. Appending is no decision: anybody may do it for
anybody, a group that arrives twice folds once, and a group that does not
appear is appended by its author. So the holder answers as soon as a group is
queued, and the authors learn the rest from the log.
"""

import enum
from collections import deque
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from swifthoist_core.clock import Clock
from swifthoist_core.errors import (
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import InstanceId, Millis
from swifthoistd.logs import LEDGER_STREAM, Log

CYCLE_MS = 6
"""Least time from one append of the holder to the next, in ms; it keeps the
holder below 170 appends a second."""

PEER_TIMEOUT_S = 0.1
"""How long the holder may take to queue a group."""

AVOID_MS = 2_000
"""How long the holder is passed by after it failed a group, in ms."""

MAX_GATHERED = 8_192
"""Records that may wait at the holder."""

_MAX_APPEND = 2_048
_MAX_APPEND_BYTES = 1024 * 1024
_APPEND_TIMEOUT_S = 2.0
_MS_PER_S = 1_000


class Receipt(enum.Enum):
    """How far a group got.

    ``APPENDED``: it is on the log. ``QUEUED``: another instance will append
    it, unless it dies or the log is down.
    """

    APPENDED = 'appended'
    QUEUED = 'queued'


class Committer(Protocol):
    """A way to the log that keeps the order of one author's groups."""

    async def commit(
        self, payloads: Sequence[bytes], timeout_s: float, again: bool
    ) -> Receipt:
        """Bring a group to the log.

        :param payloads: encoded envelopes, in the order of their numbers.
        :param timeout_s: time for it, in seconds.
        :param again: whether an earlier attempt may have taken effect.
        :returns: how far it got.
        :raises LogUnavailableError: when it surely was not and never will
            be appended by this attempt.
        :raises OutcomeUnknownError: when it may be appended.
        """


class PeerGather(Protocol):
    """The call by which an instance hands a group to the holder."""

    async def offer(
        self, holder: InstanceId, payloads: Sequence[bytes], timeout_s: float
    ) -> bool:
        """Ask the holder to append a group.

        :param holder: the instance that holds the cell.
        :param payloads: encoded envelopes of one author, in order.
        :param timeout_s: time for it, in seconds.
        :returns: whether the holder queued it.
        :raises UnreachableError: when the call surely was not received.
        :raises OutcomeUnknownError: when it may have been received.
        """


class DirectCommitter:
    """Appends each group by itself."""

    def __init__(self, log: Log) -> None:
        """Keep the client of the log.

        :param log: the client.
        """
        self._log = log

    async def commit(
        self, payloads: Sequence[bytes], timeout_s: float, again: bool
    ) -> Receipt:
        """Append a group.

        :param payloads: encoded envelopes, in the order of their numbers.
        :param timeout_s: time for it, in seconds.
        :param again: whether an earlier attempt may have taken effect.
        :returns: that it is on the log.
        :raises OutcomeUnknownError: when no reply came in time.
        """
        with anyio.move_on_after(timeout_s):
            await self._log.append(LEDGER_STREAM, payloads, timeout_s)
            return Receipt.APPENDED
        raise OutcomeUnknownError('the log did not reply in time')


class Gather:
    """What the holder appends for all instances, itself included.

    :ivar appends: how many appends were tried.
    :ivar dropped: groups that were queued and then given up; their authors
        append them.
    """

    def __init__(self, log: Log, clock: Clock) -> None:
        """Start with nothing queued.

        :param log: client of the log.
        :param clock: clocks of the machine.
        """
        self.appends = 0
        self.dropped = 0
        self._log = log
        self._clock = clock
        self._groups: deque[Sequence[bytes]] = deque()
        self._size = 0
        self._wake = anyio.Event()

    def offer(self, payloads: Sequence[bytes]) -> bool:
        """Queue a group.

        :param payloads: encoded envelopes of one author, in order.
        :returns: whether there was room.
        """
        if self._size + len(payloads) > MAX_GATHERED:
            return False
        self._groups.append(payloads)
        self._size += len(payloads)
        self._wake.set()
        return True

    async def run(self) -> None:
        """Append what is queued, for as long as the instance lives."""
        while True:
            while not self._groups:
                self._wake = anyio.Event()
                await self._wake.wait()
            started_ms = self._clock.boot_ms()
            await self._append(self._next())
            spent_ms = self._clock.boot_ms() - started_ms
            await anyio.sleep(max(CYCLE_MS - spent_ms, 0) / _MS_PER_S)

    async def _append(self, payloads: list[bytes]) -> None:
        """Append once; a failure drops all that waits.

        What comes behind a lost group of the same author could not be folded,
        and the authors append for themselves.
        """
        self.appends += 1
        try:
            with anyio.fail_after(_APPEND_TIMEOUT_S):
                await self._log.append(
                    LEDGER_STREAM, payloads, _APPEND_TIMEOUT_S
                )
        except (LogUnavailableError, OutcomeUnknownError, TimeoutError):
            self.dropped += 1 + len(self._groups)
            self._groups.clear()
            self._size = 0

    def _next(self) -> list[bytes]:
        batch: list[bytes] = []
        size = 0
        while self._groups:
            size += sum(map(len, self._groups[0]))
            over = len(batch) + len(self._groups[0]) > _MAX_APPEND
            if batch and (over or size > _MAX_APPEND_BYTES):
                break
            batch.extend(self._groups.popleft())
        self._size -= len(batch)
        return batch


class PeerCommitter:
    """Hands groups to the holder; appends by itself where that fails."""

    def __init__(
        self,
        own: InstanceId,
        holder: Callable[[], InstanceId],
        gather: Gather,
        peers: PeerGather,
        direct: Committer,
        clock: Clock,
    ) -> None:
        """Wire the ways.

        :param own: this instance.
        :param holder: tells which instance holds the cell, empty for none.
        :param gather: this instance's queue, used while it is the holder.
        :param peers: the way to other instances.
        :param direct: the way to the log.
        :param clock: clocks of the machine.
        """
        self._own = own
        self._holder = holder
        self._gather = gather
        self._peers = peers
        self._direct = direct
        self._clock = clock
        self._avoid_ms: Millis = 0

    async def commit(
        self, payloads: Sequence[bytes], timeout_s: float, again: bool
    ) -> Receipt:
        """Bring a group to the log, by the holder if that serves.

        :param payloads: encoded envelopes, in the order of their numbers.
        :param timeout_s: time for it, in seconds.
        :param again: whether an earlier attempt may have taken effect.
        :returns: how far it got.
        :raises OutcomeUnknownError: when it may be appended.
        """
        if again:
            self._avoid()
        if self._clock.boot_ms() >= self._avoid_ms:
            if await self._offer(payloads):
                return Receipt.QUEUED
        return await self._direct.commit(payloads, timeout_s, again)

    async def _offer(self, payloads: Sequence[bytes]) -> bool:
        holder = self._holder()
        if not holder:
            return False
        if holder == self._own:
            return self._gather.offer(payloads)
        try:
            with anyio.fail_after(PEER_TIMEOUT_S):
                return await self._peers.offer(holder, payloads, PEER_TIMEOUT_S)
        except UnreachableError:
            self._avoid()
            return False
        except (OutcomeUnknownError, TimeoutError) as exc:
            self._avoid()
            raise OutcomeUnknownError('the holder did not answer') from exc

    def _avoid(self) -> None:
        self._avoid_ms = self._clock.boot_ms() + AVOID_MS
