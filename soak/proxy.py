"""A loopback proxy in front of each address of the stand-ins.

It reads the caller's name from the head of the first call and passes pieces on
as the weather allows. A connection that went silent stays so.
"""

import logging
import re
import socket
import struct
from collections.abc import AsyncIterator

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from soak.weather import Trouble, Weather
from swifthoist_emulator.serving import address_of, open_listener

PIECE = 65_536
SLICE = 4_096
"""Most bytes that a narrow link carries at a time."""

BACKLOG = 128

_AGENT = re.compile(rb'user-agent: *([^\r]+)\r', re.IGNORECASE)
_LOST = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)
_log = logging.getLogger(__name__)
_ABORT = struct.pack('ii', 1, 0)


class Proxy:
    """Passes connections on to one address.

    :ivar address: where it listens.
    """

    def __init__(self, target: str, weather: Weather) -> None:
        """Stand in front of an address.

        :param target: the address, ``host:port``.
        :param weather: what happens on the way.
        """
        self._listener = open_listener()
        self._listener.listen(BACKLOG)
        self.address = address_of(self._listener)
        self._target = target
        self._weather = weather

    async def run(self) -> None:
        """Serve until canceled."""
        listener = await SocketListener.from_socket(self._listener)
        await listener.serve(self._pass_on)

    async def _pass_on(self, caller: SocketStream) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            async with caller, await anyio.connect_tcp(host, int(port)) as end:
                await _Way(self, self._weather, caller, end).run()
        except* _LOST as lost:
            # The weather, or an end that is gone: the connection is over.
            _log.debug('connection lost', extra={'why': str(lost)})


class _Way:
    """One connection."""

    def __init__(
        self,
        proxy: Proxy,
        weather: Weather,
        caller: SocketStream,
        end: SocketStream,
    ) -> None:
        self._address = proxy.address
        self._weather = weather
        self._caller = caller
        self._end = end
        self._agent = ''
        self._silent = False

    async def run(self) -> None:
        """Pass both directions on until one of them ends."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._pump_calls, tasks)
            tasks.start_soon(self._pump_answers, tasks)

    async def _pump_calls(self, tasks: TaskGroup) -> None:
        async for piece in _pieces(self._caller):
            found = _AGENT.search(piece)
            if found:
                self._agent = found.group(1).decode('latin-1')
            await self._pass(piece, self._end, answer=False)
        tasks.cancel_scope.cancel()

    async def _pump_answers(self, tasks: TaskGroup) -> None:
        async for piece in _pieces(self._end):
            await self._pass(piece, self._caller, answer=True)
        tasks.cancel_scope.cancel()

    async def _pass(
        self, piece: bytes, to: SocketStream, *, answer: bool
    ) -> None:
        match self._weather.over(self._agent, self._address):
            case Trouble.DELAY:
                await anyio.sleep(self._weather.delay_s())
            case Trouble.RESET:
                _abort(self._caller)
                raise anyio.BrokenResourceError
            case Trouble.SILENCE:
                self._silent = True
            case Trouble.NO_ANSWER if answer:
                self._silent = True
            case _:
                pass
        if not self._silent:
            await self._send(piece, to)

    async def _send(self, piece: bytes, to: SocketStream) -> None:
        """Send a piece on, as fast as the link of the instance bears."""
        width = self._weather.widths.get(self._agent)
        if width is None:
            await to.send(piece)
            return
        for start in range(0, len(piece), SLICE):
            part = piece[start : start + SLICE]
            await anyio.sleep(len(part) / width)
            await to.send(part)


async def _pieces(stream: SocketStream) -> AsyncIterator[bytes]:
    """Read a stream until it ends or breaks."""
    while True:
        try:
            piece = await stream.receive(PIECE)
        except _LOST:
            return
        yield piece


def _abort(stream: SocketStream) -> None:
    """Have a connection closed by a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _ABORT)
