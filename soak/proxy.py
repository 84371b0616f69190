"""A loopback proxy in front of each address of the emulated platform.

It identifies the calling instance by the User-Agent header and forwards chunks
subject to the network faults in force. A silenced connection stays silent.
"""

import logging
import re
import socket
import struct
from collections.abc import AsyncIterator

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from soak.network_faults import NetworkEffect, NetworkFaults
from swifthoist_emulator.serving import address_of, open_listener

CHUNK_BYTES = 65_536
SEND_BYTES = 4_096
"""Most bytes sent at a time over a link of limited bandwidth."""

BACKLOG = 128

_USER_AGENT = re.compile(rb'user-agent: *([^\r]+)\r', re.IGNORECASE)
_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)
_log = logging.getLogger(__name__)
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class Proxy:
    """Forwards connections to one address.

    :ivar address: address on which it listens.
    """

    def __init__(self, target: str, network_faults: NetworkFaults) -> None:
        """Listen in front of an address.

        :param target: the address, ``host:port``.
        :param network_faults: faults applied to the connections.
        """
        self._listener = open_listener()
        self._listener.listen(BACKLOG)
        self.address = address_of(self._listener)
        self._target = target
        self._network_faults = network_faults

    async def run(self) -> None:
        """Serve until canceled."""
        listener = await SocketListener.from_socket(self._listener)
        await listener.serve(self._handle)

    async def _handle(self, client: SocketStream) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            async with (
                client,
                await anyio.connect_tcp(host, int(port)) as server,
            ):
                await _Connection(
                    self, self._network_faults, client, server
                ).run()
        except* _CONNECTION_ERRORS as error:
            # Reset by a network fault, or closed by either end.
            _log.debug('connection lost', extra={'why': str(error)})


class _Connection:
    """One proxied connection."""

    def __init__(
        self,
        proxy: Proxy,
        network_faults: NetworkFaults,
        client: SocketStream,
        server: SocketStream,
    ) -> None:
        self._address = proxy.address
        self._network_faults = network_faults
        self._client = client
        self._server = server
        self._agent = ''
        self._silent = False

    async def run(self) -> None:
        """Forward both directions until one of them ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward_requests, tasks)
            tasks.start_soon(self._forward_responses, tasks)

    async def _forward_requests(self, tasks: TaskGroup) -> None:
        async for chunk in _read_chunks(self._client):
            found = _USER_AGENT.search(chunk)
            if found:
                self._agent = found.group(1).decode('latin-1')
            await self._forward(chunk, self._server, is_response=False)
        tasks.cancel_scope.cancel()

    async def _forward_responses(self, tasks: TaskGroup) -> None:
        async for chunk in _read_chunks(self._server):
            await self._forward(chunk, self._client, is_response=True)
        tasks.cancel_scope.cancel()

    async def _forward(
        self, chunk: bytes, destination: SocketStream, *, is_response: bool
    ) -> None:
        match self._network_faults.effect_on(self._agent, self._address):
            case NetworkEffect.DELAY:
                await anyio.sleep(self._network_faults.draw_delay_s())
            case NetworkEffect.RESET:
                _reset(self._client)
                raise anyio.BrokenResourceError
            case NetworkEffect.SILENCE:
                self._silent = True
            case NetworkEffect.NO_ANSWER if is_response:
                self._silent = True
            case _:
                pass
        if not self._silent:
            await self._send(chunk, destination)

    async def _send(self, chunk: bytes, destination: SocketStream) -> None:
        """Send a chunk at the bandwidth of the instance's link."""
        bandwidth = self._network_faults.bandwidths.get(self._agent)
        if bandwidth is None:
            await destination.send(chunk)
            return
        for start in range(0, len(chunk), SEND_BYTES):
            part = chunk[start : start + SEND_BYTES]
            await anyio.sleep(len(part) / bandwidth)
            await destination.send(part)


async def _read_chunks(stream: SocketStream) -> AsyncIterator[bytes]:
    """Yield chunks of a stream until it ends or breaks."""
    while True:
        try:
            chunk = await stream.receive(CHUNK_BYTES)
        except _CONNECTION_ERRORS:
            return
        yield chunk


def _reset(stream: SocketStream) -> None:
    """Make the close of a connection send a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
