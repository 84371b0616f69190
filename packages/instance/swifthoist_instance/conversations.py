"""Serves HTTP/1.1 requests over one connection.

hypercorn parses requests and calls the application; what is read and sent, and
when the connection is given up, is decided here. Data that the application does
not take yet is left in the kernel, whose buffer then fills.
"""

import asyncio
import math
import socket
from typing import NamedTuple, cast

import anyio
import anyio.lowlevel
import h11
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.task_group import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.events import Event as StreamEvent
from hypercorn.protocol.events import StreamClosed
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.typing import ConnectionState

from swifthoist_instance.connections import Connection, Phase
from swifthoist_instance.refusals import Refusal, Refusals
from swifthoist_instance.sockets import receive, send_all

PIECE_BYTES = 16_384
"""Largest piece that is read at a time, in bytes."""

KEEP_ALIVE_S = 30.0
"""How long a connection may stay without a request, in seconds."""

HEAD_S = 10.0
"""Time for the head of a request to arrive once it has begun, in seconds."""

SEND_S = 10.0
"""Time for the client to take an answer, in seconds."""

LINGER_S = 2.0
"""How long data is dropped behind the last answer, in seconds, since unread
data would reset the connection before the client has read the answer."""

END_S = 1.0
"""Time for the application to be told that the client has gone, in seconds."""

CONNECTION_KEY = 'connection'
"""Where the application finds the connection in the state of a request."""


class Server(NamedTuple):
    """What all connections share.

    :ivar app: the application.
    :ivar cfg: settings of hypercorn.
    :ivar context: tells when the server stops.
    :ivar refusals: counts and logs what clients are refused.
    """

    app: ASGIWrapper
    cfg: Config
    context: WorkerContext
    refusals: Refusals


class Ends(NamedTuple):
    """Addresses of a connection, each as host and port.

    :ivar client: the other end.
    :ivar server: this end.
    """

    client: tuple[str, int]
    server: tuple[str, int]


def ends_of(conn: socket.socket) -> Ends:
    """Return the addresses of a connection.

    :param conn: the connection.
    :returns: its ends.
    :raises OSError: if the other end has gone already.
    """
    return Ends(conn.getpeername(), conn.getsockname())


class _Http1(H11Protocol):
    """The protocol without upgrades to any other one."""

    async def stream_send(self, event: StreamEvent) -> None:
        """Send a part of an answer."""
        if isinstance(event, StreamClosed) and self.stream is not None:
            # The application takes nothing more of the body, so it must not
            # wait until its full queue takes the end of the stream.
            self.stream.closed = True
        await super().stream_send(event)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Serve the request as HTTP/1.1, as if it asked for no upgrade."""


class Conversation:
    """The requests and answers of one connection."""

    def __init__(
        self,
        conn: socket.socket,
        ends: Ends,
        connection: Connection,
        server: Server,
    ) -> None:
        """Prepare to serve.

        :param conn: the socket.
        :param ends: its addresses.
        :param connection: the connection, as others know it.
        :param server: what all connections share.
        """
        self._conn = conn
        self._ends = ends
        self._connection = connection
        self._server = server
        self._reading = anyio.CancelScope()
        self._waiting = anyio.CancelScope()
        self._send_lock = anyio.Lock()
        self._idle = True
        self._head_began_s: float | None = None
        self._broken = False
        self._protocol: H11Protocol

    async def run(self) -> None:
        """Serve until either end closes the connection."""
        loop = asyncio.get_running_loop()
        async with TaskGroup(loop) as tasks:
            self._protocol = _Http1(
                self._server.app,
                self._server.cfg,
                self._server.context,
                tasks,
                ConnectionState({CONNECTION_KEY: self._connection}),
                ssl=False,
                client=self._ends.client,
                server=self._ends.server,
                send=self._take,
            )
            with self._reading:
                await self._read_all()
            # An application that takes nothing more has no room for the end.
            with anyio.move_on_after(END_S):
                await self._protocol.handle(Closed())
        await self._linger()

    async def _read_all(self) -> None:
        while True:
            piece = await self._read()
            await self._protocol.handle(RawData(piece))
            if not piece:
                return
            self._note_head()

    def _note_head(self) -> None:
        """Note since when a part of a head waits for the rest."""
        parser = cast(h11.Connection, self._protocol.connection)
        if not self._idle or not parser.trailing_data[0]:
            self._head_began_s = None
        elif self._head_began_s is None:
            self._head_began_s = anyio.current_time()

    async def _read(self) -> bytes:
        """Wait for the next piece; nothing if there is none, or none in time."""
        with self._new_wait():
            # A client that always has data must not keep others waiting.
            await anyio.lowlevel.checkpoint()
            try:
                return await receive(self._conn, PIECE_BYTES)
            except OSError:
                self._broken = True
                return b''
        if self._head_began_s is not None:
            self._note(Refusal.HEAD_LATE)
        self._broken = True
        return b''

    def _new_wait(self) -> anyio.CancelScope:
        """Return the scope of a wait for data, which ends by the deadline."""
        self._waiting = anyio.CancelScope(deadline=self._deadline)
        return self._waiting

    @property
    def _deadline(self) -> float:
        """Until when data is waited for, in seconds of the loop's clock."""
        if not self._idle:
            return math.inf
        if self._head_began_s is not None:
            return self._head_began_s + HEAD_S
        return self._connection.since_s + KEEP_ALIVE_S

    async def _take(self, event: Event) -> None:
        """Process what the protocol has for the connection."""
        match event:
            case RawData(data):
                await self._send(data)
            case Closed():
                self._reading.cancel()
            case Updated(idle):
                self._idle = idle
                self._head_began_s = None
                phase = Phase.IDLE if idle else Phase.RECEIVING
                self._connection.enter(phase, anyio.current_time())
                # The next piece is waited for from the request before on.
                self._waiting.deadline = self._deadline

    async def _send(self, data: bytes) -> None:
        if self._broken:
            return
        async with self._send_lock:
            if not await self._send_in_time(data):
                self._broken = True
                self._reading.cancel()

    async def _send_in_time(self, data: bytes) -> bool:
        """Send data; return whether the client has taken it."""
        with anyio.move_on_after(SEND_S):
            try:
                await send_all(self._conn, data)
            except OSError:
                return False
            return True
        self._note(Refusal.ANSWER_UNREAD)
        return False

    async def _linger(self) -> None:
        """Drop what still arrives of a request that was answered early."""
        parser = cast(h11.Connection, self._protocol.connection)
        if self._broken or parser.their_state is h11.DONE:
            return
        self._connection.enter(Phase.CLOSING, anyio.current_time())
        with anyio.move_on_after(LINGER_S):
            try:
                self._conn.shutdown(socket.SHUT_WR)
                while await receive(self._conn, PIECE_BYTES):
                    await anyio.lowlevel.checkpoint()
            except OSError:
                self._broken = True

    def _note(self, refusal: Refusal) -> None:
        self._server.refusals.note(refusal, {'client': self._connection.client})
