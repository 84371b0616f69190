"""Calls between instances for committing and for snapshots, both ends."""

from collections.abc import Callable, Sequence

from thrift.Thrift import TException

from swifthoist_core.clock import Clock
from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_core.ledger import Ledger
from swifthoist_core.types import InstanceId, Millis
from swifthoistd.committing import Gather
from swifthoistd.gen.peer.ttypes import NotHolder, SnapshotPage
from swifthoistd.peers import Peers
from swifthoistd.rpc import PeerError
from swifthoistd.snapshotting import take

PAGE_CHUNKS = 8
"""Chunks of a snapshot in one call."""

PAGE_S = 2.0
"""Time for one page of a snapshot, in seconds."""

KEEP_MS: Millis = 30_000
"""How long a snapshot is kept for the calls that read it, in ms."""


class PeerGroups:
    """Hands groups of records to the holder, and takes them as the holder."""

    def __init__(
        self,
        own: InstanceId,
        holder: Callable[[], InstanceId],
        gather: Gather,
        peers: Peers,
    ) -> None:
        """Wire the parts.

        :param own: this instance.
        :param holder: tells which instance holds the cell, empty for none.
        :param gather: this instance's queue, used while it is the holder.
        :param peers: the other instances.
        """
        self._own = own
        self._holder = holder
        self._gather = gather
        self._peers = peers
        peers.handlers['offer'] = self._on_offer

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
        try:
            queued: bool = await self._peers.call(
                holder, 'offer', list(payloads), timeout_s=timeout_s
            )
        except NotHolder as exc:
            raise UnreachableError('it no longer holds the cell') from exc
        except PeerError as exc:
            raise OutcomeUnknownError(str(exc)) from exc
        return queued

    async def _on_offer(self, payloads: list[bytes]) -> bool:
        holder = self._holder()
        if holder != self._own:
            raise NotHolder(holder)
        return self._gather.offer(payloads)


class PeerStates:
    """Takes the state of another instance, and gives its own."""

    def __init__(self, ledger: Ledger, peers: Peers, clock: Clock) -> None:
        """Wire the parts.

        :param ledger: the state.
        :param peers: the other instances.
        :param clock: clocks of the machine.
        """
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._token = 0
        self._chunks: tuple[bytes, ...] = ()
        self._taken_ms: Millis = 0
        peers.handlers['snapshot'] = self._on_snapshot

    async def fetch(self) -> Sequence[bytes]:
        """Take the chunks of a peer's current state.

        :returns: the chunks, none when no peer has any.
        :raises UnreachableError: when no peer was reached.
        """
        for instance in self._peers.live_by_offset():
            try:
                return await self._fetch_from(instance)
            except (UnreachableError, PeerError, TException):
                continue
        raise UnreachableError('no peer gave its state')

    async def _fetch_from(self, instance: InstanceId) -> Sequence[bytes]:
        chunks: list[bytes] = []
        page = await self._page(instance, 0, 0)
        while len(chunks) < page.total:
            chunks.extend(page.chunks)
            if len(chunks) < page.total:
                page = await self._page(instance, page.token, len(chunks))
        return chunks

    async def _page(
        self, instance: InstanceId, token: int, first: int
    ) -> SnapshotPage:
        return await self._peers.call(
            instance, 'snapshot', token, first, timeout_s=PAGE_S
        )

    async def _on_snapshot(self, token: int, first: int) -> SnapshotPage:
        now_ms = self._clock.boot_ms()
        if token == 0 and now_ms - self._taken_ms > KEEP_MS:
            self._chunks = await take(self._ledger)
            self._token += 1
            self._taken_ms = now_ms
        if token not in {0, self._token}:
            return SnapshotPage(self._token, 0, [])
        chunks = list(self._chunks[first : first + PAGE_CHUNKS])
        return SnapshotPage(self._token, len(self._chunks), chunks)
