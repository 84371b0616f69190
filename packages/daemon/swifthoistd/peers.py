"""Connections to the other entry instances, one task for each."""

import logging
import random
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from thrift.Thrift import TException

from swifthoist_core.errors import UnreachableError
from swifthoist_core.records import Author
from swifthoist_core.types import InstanceId
from swifthoistd.gen.peer.ttypes import Heartbeat
from swifthoistd.members import Heard, Member, Members
from swifthoistd.rpc import Channel, Handler, PeerError, serve_channel

BEAT_S = 1.0
"""Time between heartbeats, in seconds."""

CALL_S = 1.0
"""How long a heartbeat or the start of a connection may take, in seconds."""

_BACKOFF_S = 0.25
_log = logging.getLogger(__name__)


def heard_of(beat: Heartbeat) -> Heard:
    """Read a heartbeat from the wire.

    :param beat: the generated structure.
    :returns: what the sender said of itself.
    """
    return Heard(
        Author(beat.instance, beat.incarnation),
        beat.zone,
        beat.offset,
        beat.leaving,
        dict(beat.in_flight or {}),
        beat.holds_epoch,
        dict(beat.departed or {}),
    )


def beat_of(heard: Heard) -> Heartbeat:
    """Write a heartbeat for the wire.

    :param heard: what the sender says of itself.
    :returns: the generated structure.
    """
    return Heartbeat(
        heard.author.instance,
        heard.author.incarnation,
        heard.zone,
        heard.offset,
        heard.leaving,
        heard.in_flight,
        heard.holds_epoch,
        heard.departed,
    )


class Link:
    """The connection to one other instance.

    A call that gets no answer in time closes the connection, since one that
    has gone silent never comes back; the next beat opens a new one.
    """

    def __init__(
        self, member: Member, members: Members, beat: Callable[[], Heard]
    ) -> None:
        """Keep whom to talk to.

        :param member: the other instance.
        :param members: told of its heartbeats.
        :param beat: gives the state of this instance.
        """
        self.member = member
        self._members = members
        self._beat = beat
        self._channel: Channel | None = None
        self._lock = anyio.Lock()
        self._scope = anyio.CancelScope()

    async def run(self) -> None:
        """Keep the connection up, until :meth:`stop`."""
        with self._scope:
            while True:
                await self._beat_once()
                await anyio.sleep(BEAT_S * random.uniform(0.9, 1.1))

    def stop(self) -> None:
        """End the task of this connection."""
        self._scope.cancel()

    async def call(self, name: str, *args: object, timeout_s: float) -> Any:
        """Call a method of the other instance.

        :param name: name of the method.
        :param args: its arguments.
        :param timeout_s: time for the whole call, in seconds.
        :returns: its result.
        :raises UnreachableError: when no connection could be opened.
        :raises PeerError: when there was no whole answer in time.
        """
        with anyio.move_on_after(timeout_s):
            async with self._lock:
                return await self._call(name, *args)
        raise PeerError(f'no answer from {self.member.instance} in time')

    async def _call(self, name: str, *args: object) -> Any:
        channel = self._channel or await self._open()
        try:
            return await channel.call(name, *args)
        except TException:
            raise
        except BaseException:
            # Whatever cut the call short, an answer that comes later must
            # not be taken for the answer to the next call.
            self._channel = None
            with anyio.CancelScope(shield=True):
                await channel.aclose()
            raise

    async def _open(self) -> Channel:
        host, _, port = self.member.peer.rpartition(':')
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except OSError as exc:
            raise UnreachableError(f'{self.member.peer}: {exc}') from exc
        self._channel = Channel(stream)
        return self._channel

    async def _beat_once(self) -> None:
        try:
            beat = await self.call(
                'beat', beat_of(self._beat()), timeout_s=CALL_S
            )
        except (UnreachableError, PeerError) as exc:
            _log.debug('heartbeat failed', extra={'error': str(exc)})
            await anyio.sleep(_BACKOFF_S * random.random())
            return
        self._members.note_heard(heard_of(beat))


class Peers:
    """All connections to other instances, and the server for theirs."""

    def __init__(
        self, members: Members, beat: Callable[[], Heard], address: str
    ) -> None:
        """Start without connections.

        :param members: the other instances.
        :param beat: gives the state of this instance.
        :param address: ``host:port`` to listen on; port 0 takes any.
        """
        self._members = members
        self._beat = beat
        self._address = address
        self._links: dict[InstanceId, Link] = {}
        self.handlers: dict[str, Handler] = {'beat': self._on_beat}

    async def call(
        self,
        instance: InstanceId,
        name: str,
        *args: object,
        timeout_s: float,
    ) -> Any:
        """Call a method of another instance.

        :param instance: the other instance.
        :param name: name of the method.
        :param args: its arguments.
        :param timeout_s: time for the whole call, in seconds.
        :returns: its result.
        :raises UnreachableError: when it is not connected.
        :raises PeerError: when there was no whole answer in time.
        """
        link = self._links.get(instance)
        if link is None:
            raise UnreachableError(f'{instance} is not known')
        return await link.call(name, *args, timeout_s=timeout_s)

    def live_by_offset(self) -> tuple[InstanceId, ...]:
        """Name the instances that live, the one furthest on first."""
        live = sorted(self._members.live(), key=_offset_of, reverse=True)
        return tuple(member.instance for member in live)

    async def listen(self, group: TaskGroup) -> str:
        """Serve the calls of other instances.

        :param group: where the server runs.
        :returns: the address that it listens on.
        """
        host, _, port = self._address.rpartition(':')
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        )
        group.start_soon(listener.serve, self._serve)
        bound = listener.extra(SocketAttribute.local_port)
        return f'{host}:{bound}'

    async def run(self, group: TaskGroup) -> None:
        """Keep one connection to each instance that is listed or heard.

        :param group: where the connections run.
        """
        while True:
            members = {
                member.instance: member
                for member in self._members.all_members()
            }
            self._drop_links(members)
            self._add_links(members, group)
            await anyio.sleep(BEAT_S)

    def _drop_links(self, members: dict[InstanceId, Member]) -> None:
        for instance, link in tuple(self._links.items()):
            member = members.get(instance)
            if member is None or member.peer != link.member.peer:
                self._links.pop(instance).stop()

    def _add_links(
        self, members: dict[InstanceId, Member], group: TaskGroup
    ) -> None:
        for instance, member in members.items():
            if instance in self._links:
                continue
            self._links[instance] = Link(member, self._members, self._beat)
            group.start_soon(self._links[instance].run)

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            try:
                await serve_channel(Channel(stream), self.handlers)
            except (anyio.BrokenResourceError, PeerError) as exc:
                _log.debug('peer connection ended', extra={'error': str(exc)})

    async def _on_beat(self, sender: Heartbeat) -> Heartbeat:
        self._members.note_heard(heard_of(sender))
        return beat_of(self._beat())


def _offset_of(member: Member) -> int:
    return member.heard.offset if member.heard else 0
