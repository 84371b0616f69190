"""The platform's stand-in on loopback: one server for all its addresses."""

import socket
from collections import Counter
from collections.abc import Callable

from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from swifthoist_core.clock import Clock
from swifthoist_emulator.http import (
    Receive,
    Request,
    Response,
    Scope,
    Send,
    read_request,
    send_response,
)
from swifthoist_emulator.site import Site
from swifthoist_emulator.world import World

GRACEFUL_S = 3.0
"""How long calls may take to end when the stand-ins stop, in seconds; a look
waits for up to two."""

_HEADER_OVERHEAD_BYTES = 4
"""What a header has beside its name and text: colon, space, end of line."""

_FIRST_LINES_BYTES = 120
"""Head of an answer by hypercorn, and first line of a call."""

LOOPBACK = '127.0.0.1'


class ServedWorld(World):
    """A world that is reached over loopback.

    :ivar traffic: bytes of calls and answers by caller, without what TCP adds.
    """

    def __init__(
        self,
        site: Site,
        clock: Clock,
        seed: int = 1,
        front: Callable[[str], str] = str,
    ) -> None:
        """Make a site, and listen at ports that are free.

        :param site: what it has.
        :param clock: tells the time.
        :param seed: seed of the faults.
        :param front: gives the address at which an address is reached, where
            something stands in front of it.
        """
        self._listeners = [open_listener() for _ in range(site.runners + 1)]
        own = [address_of(item) for item in self._listeners]
        self._reached_at = {address: front(address) for address in own}
        addresses = list(self._reached_at.values())
        super().__init__(site, clock, addresses, seed)
        self.traffic: Counter[str] = Counter()

    async def run(self, tasks: TaskGroup) -> None:
        """Serve until the faults are over.

        :param tasks: runs what goes on beside the serving.
        """
        cfg = Config()
        # The server owns the descriptors from here on, and closes them.
        cfg.bind = [f'fd://{item.detach()}' for item in self._listeners]
        cfg.accesslog = None
        cfg.errorlog = None
        cfg.graceful_timeout = GRACEFUL_S
        self.live(tasks)
        await serve(self._app, cfg, shutdown_trigger=self.faults.over.wait)  # type: ignore[arg-type]

    async def _app(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope['type'] != 'http':
            return
        request = await read_request(scope, receive)
        if request is None:
            return
        address = self._reached_at[f'{LOOPBACK}:{request.port}']
        response = await self.answer(address, request)
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
    """Tell where a socket listens.

    :param listener: the socket.
    :returns: ``host:port``.
    """
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


class ReservedPorts:
    """Addresses of loopback that nobody else is given until they are let go.

    A server with ``SO_REUSEADDR`` may listen at them; connections of others are
    not given their ports, as those of addresses that were merely free are.

    :ivar addresses: the addresses.
    """

    def __init__(self, count: int) -> None:
        """Reserve some.

        :param count: how many.
        """
        self._holders = [open_listener() for _ in range(count)]
        self.addresses = tuple(map(address_of, self._holders))

    def close(self) -> None:
        """Let them go."""
        for holder in self._holders:
            holder.close()


def open_listener() -> socket.socket:
    """Listen at a port of loopback that is free.

    :returns: the socket.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, 0))
    listener.setblocking(False)
    return listener
