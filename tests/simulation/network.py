"""Connections between instances and the emulated platform, on virtual time.

Calls go through the adapter's own endpoint and connection pool, so that its
handling of silent connections is simulated as well.
"""

import math
import random
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import anyio
import h11
import httpcore
from anyio.abc import TaskGroup

from swifthoist_emulator.http import Request, Response
from swifthoist_emulator.world import World
from swifthoist_platform.endpoint import Endpoint, open_transport

MAX_PORT = 65_535

LATENCY_S = 0.001
"""One-way latency of a chunk, in seconds."""

CHUNK_BYTES = 16_384
"""Largest chunk that a link transfers at a time, in bytes."""


class NarrowLink:
    """A link that all connections of one caller share, with a lane each way."""

    def __init__(self, bytes_per_s: float) -> None:
        """Create a link of a given bandwidth."""
        self._bytes_per_s = bytes_per_s
        self._calls = anyio.Lock()
        self._answers = anyio.Lock()

    async def transfer(self, chunk: bytes, *, answer: bool) -> None:
        """Wait as long as a chunk takes to transfer."""
        async with self._answers if answer else self._calls:
            await anyio.sleep(len(chunk) / self._bytes_per_s)


class Connection(httpcore.AsyncNetworkStream):
    """The caller's end of a connection.

    :ivar caller: instance that opened it.
    :ivar address: address of the other end.
    :ivar silent: data sent either way is lost.
    :ivar replies_only: only data sent by the other end is lost.
    :ivar closed: whether its caller has closed it.
    :ivar busy: whether a call on it is being answered.
    """

    def __init__(
        self, caller: str, address: str, link: NarrowLink | None = None
    ) -> None:
        """Create an open connection."""
        self.caller = caller
        self.address = address
        self.link = link
        self.silent = False
        self.replies_only = False
        self.closed = False
        self.busy = False
        calls = anyio.create_memory_object_stream[bytes](math.inf)
        answers = anyio.create_memory_object_stream[bytes](math.inf)
        self.received = calls[1]
        self._sent = calls[0]
        self._answers = answers[0]
        self._read = answers[1]

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send a chunk of a call."""
        await self._wait_for_link(buffer, answer=False)
        if buffer and not self.silent:
            await self._sent.send(buffer)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Wait for a chunk of an answer."""
        return await self._read.receive()

    async def reply(self, content: bytes) -> None:
        """Send an answer back."""
        for start in range(0, len(content), CHUNK_BYTES):
            chunk = content[start : start + CHUNK_BYTES]
            await self._wait_for_link(chunk, answer=True)
            if self.silent or self.replies_only or self.closed:
                return
            await self._answers.send(chunk)

    async def _wait_for_link(self, chunk: bytes, *, answer: bool) -> None:
        await anyio.sleep(LATENCY_S)
        if self.link is not None:
            await self.link.transfer(chunk, answer=answer)

    async def aclose(self) -> None:
        """Close the connection."""
        self.closed = True
        self._sent.close()

    def get_extra_info(self, info: str) -> object:
        """Report that the other end has not closed the connection."""
        return False if info == 'is_readable' else None


class Network(httpcore.AsyncNetworkBackend):
    """All connections of a simulation.

    :ivar opened: connections opened so far; closed ones are dropped when
        another one is opened.
    :ivar links: narrow links by caller; other callers have no limit.
    """

    def __init__(self, world: World, tasks: TaskGroup) -> None:
        """Create a network that connects to an emulated platform."""
        self.opened: list[Connection] = []
        self.links: dict[str, NarrowLink] = {}
        self._world = world
        self._tasks = tasks

    def endpoint_opener(self, caller: str) -> Callable[[str], Endpoint]:
        """Return a function that opens endpoints for an instance."""
        headers = {'User-Agent': caller}

        def open_endpoint(address: str) -> Endpoint:
            def connect() -> object:
                transport = open_transport()
                transport._pool._network_backend = _CallerBackend(self, caller)
                return transport

            return Endpoint(address, headers, connect)

        return open_endpoint

    def open_connections(self, *, address: str = '') -> list[Connection]:
        """List the open connections, to one address or to all."""
        return [
            conn
            for conn in self.opened
            if not conn.closed and address in {'', conn.address}
        ]

    def silence(
        self, connections: Iterable[Connection], *, replies_only: bool = False
    ) -> None:
        """Drop all data on connections for good, or only their answers."""
        for conn in connections:
            if replies_only:
                conn.replies_only = True
            else:
                conn.silent = True

    def silence_some(self, rng: random.Random, share: float) -> None:
        """Silence a random share of the connections, fully or for answers only."""
        for conn in self.open_connections():
            if rng.random() < share:
                self.silence([conn], replies_only=rng.choice((False, True)))

    def knows(self, address: str) -> bool:
        """Return whether anything listens, or did, at an address."""
        world = self._world
        return (
            address == world.store_address
            or address in world.instances
            or address in world.fleet.hosts
        )

    def open(self, caller: str, address: str) -> Connection:
        """Open a connection."""
        conn = Connection(caller, address, self.links.get(caller))
        self.opened = [*self.open_connections(), conn]
        self._tasks.start_soon(self._serve, conn)
        return conn

    async def _serve(self, conn: Connection) -> None:
        """Answer the calls on a connection one by one."""
        parser = h11.Connection(h11.SERVER)
        with conn.received:
            while True:
                request = await _next_request(parser, conn)
                if request is None:
                    return
                conn.busy = True
                response = await self._world.answer(conn.address, request)
                await conn.reply(_encode(parser, response))
                conn.busy = False
                parser.start_next_cycle()


class _CallerBackend(httpcore.AsyncNetworkBackend):
    """Opens connections for one instance."""

    def __init__(self, network: Network, caller: str) -> None:
        self._network = network
        self._caller = caller

    async def connect_tcp(
        self, host: str, port: int, *_: object, **options: object
    ) -> Connection:
        """Open a connection; fail as the sockets of a system do."""
        if not 0 <= port <= MAX_PORT:
            error = OverflowError('connect(): port must be 0-65535.')
            raise ExceptionGroup('unhandled errors in a TaskGroup', [error])
        await anyio.sleep(LATENCY_S)
        address = f'{host}:{port}'
        if not self._network.knows(address):
            raise httpcore.ConnectError(f'{address}: connection refused')
        return self._network.open(self._caller, address)


async def _next_request(
    parser: h11.Connection, conn: Connection
) -> Request | None:
    """Read a call; return none once the caller closed the connection."""
    head: h11.Request | None = None
    content = b''
    while True:
        match await _next_event(parser, conn):
            case h11.Request() as request:
                head = request
            case h11.Data(data=chunk):
                content += bytes(chunk)
            case h11.EndOfMessage() if head is not None:
                return _request(head, content, conn.address)
            case _:
                return None


async def _next_event(parser: h11.Connection, conn: Connection) -> object:
    """Read an event; return none once the caller closed the connection."""
    while True:
        event = parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        try:
            parser.receive_data(await conn.received.receive())
        except anyio.EndOfStream:
            return None


def _request(head: h11.Request, content: bytes, address: str) -> Request:
    path, _, query = head.target.decode().partition('?')
    found = {name: texts[0] for name, texts in parse_qs(query).items()}
    headers = {
        name.decode().lower(): text.decode() for name, text in head.headers
    }
    port = int(address.rpartition(':')[2])
    method = head.method.decode()
    return Request(method, path, found, headers, content, port)


def _encode(parser: h11.Connection, response: Response) -> bytes:
    length = str(len(response.content))
    head = h11.Response(
        status_code=response.status, headers=[('content-length', length)]
    )
    events = (head, h11.Data(data=response.content), h11.EndOfMessage())
    return b''.join(parser.send(event) or b'' for event in events)
