"""The emulated platform on loopback: one server for all its addresses."""

import socket
from collections import Counter
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from swifthoist_core.clock import Clock
from swifthoist_core.errors import SwifthoistError
from swifthoist_emulator.http import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    read_request,
    send_half,
    send_response,
)
from swifthoist_emulator.site import Site
from swifthoist_emulator.world import World

GRACEFUL_S = 3.0
"""Time for calls to end when the emulator stops, in seconds; a poll waits for
up to two."""

_HEADER_OVERHEAD_BYTES = 4
"""Bytes of a header beside its name and value: colon, space, end of line."""

_FIRST_LINES_BYTES = 120
"""Bytes of the head of hypercorn's responses and of a request line."""

LOOPBACK = '127.0.0.1'


class ServedWorld(World):
    """A world that is served on loopback.

    :ivar traffic: bytes of requests and responses by caller, without the
        overhead of TCP.
    """

    def __init__(
        self,
        site: Site,
        clock: Clock,
        seed: int = 1,
        front: Callable[[str], str] = str,
    ) -> None:
        """Set up a site, and listen on free ports.

        :param site: its queues, teams, zones and number of runners.
        :param clock: source of the time.
        :param seed: seed of the random choices of faults.
        :param front: maps an address to the one at which callers reach it, such
            as that of a proxy.
        """
        self._listeners = [open_listener() for _ in range(site.runners + 1)]
        bound = [address_of(item) for item in self._listeners]
        self._reached_at = {address: front(address) for address in bound}
        addresses = list(self._reached_at.values())
        super().__init__(site, clock, addresses, seed)
        self.traffic: Counter[str] = Counter()

    async def run(self, tasks: TaskGroup) -> None:
        """Serve until ``faults.over`` is set.

        :param tasks: task group for the background tasks.
        """
        cfg = Config()
        # From here on the server owns the descriptors, and closes them.
        cfg.bind = [f'fd://{item.detach()}' for item in self._listeners]
        cfg.accesslog = None
        cfg.errorlog = None
        cfg.graceful_timeout = GRACEFUL_S
        self.live(tasks)
        async with anyio.create_task_group() as serving:
            serving.start_soon(self._serve, cfg)
            try:
                await self.faults.over.wait()
            finally:
                self.faults.over.set()

    async def _serve(self, cfg: Config) -> None:
        # hypercorn fails if it is canceled again while it ends its calls, and
        # its error would join the one for which all is canceled.
        with anyio.CancelScope(shield=True):
            await serve(
                self._app,  # type: ignore[arg-type]
                cfg,
                shutdown_trigger=self.faults.over.wait,
            )

    async def _app(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        request = await read_request(scope, receive)
        if request is None:
            return
        address = self._reached_at[f'{LOOPBACK}:{request.port}']
        try:
            response = await self.answer(address, request)
        except SwifthoistError:
            await send_half(send)
            return
        self._count(request, response)
        await send_response(response, send)

    def _count(self, request: Request, response: Response) -> None:
        fields = request.headers.items()
        size = sum(
            len(name) + len(text) + _HEADER_OVERHEAD_BYTES
            for name, text in fields
        )
        query = sum(
            len(name) + len(text) for name, text in request.query.items()
        )
        size += len(request.path) + query + len(request.content)
        size += _FIRST_LINES_BYTES + len(response.content)
        self.traffic[request.headers.get('user-agent', '')] += size


def address_of(listener: socket.socket) -> str:
    """Return the address that a socket listens on.

    :param listener: the socket.
    :returns: ``host:port``.
    """
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


class ReservedPorts:
    """Loopback addresses that the system gives to nobody else until they close.

    A server with ``SO_REUSEADDR`` may listen on them. Unlike ports that were
    merely free, theirs are not assigned to the connections of others.

    :ivar addresses: the addresses.
    """

    def __init__(self, count: int) -> None:
        """Reserve addresses.

        :param count: number of addresses.
        """
        self._holders = [open_listener() for _ in range(count)]
        self.addresses = tuple(map(address_of, self._holders))

    def close(self) -> None:
        """Release the addresses."""
        for holder in self._holders:
            holder.close()


def open_listener() -> socket.socket:
    """Bind a socket to a free port on loopback.

    :returns: the socket.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, 0))
    listener.setblocking(False)
    return listener
