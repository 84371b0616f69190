"""One address of the platform, with connections that notice silence."""

import socket
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import httpx

from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_platform.calls import Call, Reply, send

USER_TIMEOUT_MS = 1_500
"""How long sent bytes may stay without acknowledgement, in ms. Longer than
any answer of a slow link, shorter than the bounds that silence endangers."""

MAX_CONNECTIONS = 3
"""Most connections to one address: one for a look that waits, and two for
orders. Openings in a burst overflow the queue of the other end, which drops
them for seconds."""

KEEP_ALIVE_S = 20.0

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class EndpointProtocol(Protocol):
    """What the clients of the platform ask of an address."""

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the whole reply."""

    async def close(self) -> None:
        """Close the connections."""


class _Pool:
    """The connections of one client, and how many calls use them."""

    def __init__(
        self, open_transport: Callable[[], httpx.AsyncHTTPTransport]
    ) -> None:
        self.transport = open_transport()
        self._retired = False
        self._users = 0

    async def __aenter__(self) -> httpx.AsyncHTTPTransport:
        """Use the connections for a call."""
        self._users += 1
        return self.transport

    async def __aexit__(self, *_: object) -> None:
        """End a call; the last one closes connections that were retired."""
        self._users -= 1
        await self._close_unused()

    async def retire(self) -> None:
        """Have the connections closed once no call uses them."""
        self._retired = True
        await self._close_unused()

    async def _close_unused(self) -> None:
        if self._retired and not self._users:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


def open_transport() -> httpx.AsyncHTTPTransport:
    """Open connections over the network, a few at most."""
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS,
        keepalive_expiry=KEEP_ALIVE_S,
    )
    return httpx.AsyncHTTPTransport(
        verify=False, limits=limits, socket_options=_SOCKET_OPTIONS
    )


class Endpoint:
    """Makes calls to one address.

    After a call that got no answer, new calls open new connections, since the
    others may have gone silent with it. Calls under way go on.
    """

    def __init__(
        self,
        address: str,
        headers: Mapping[str, str] | None = None,
        opened: Callable[[], httpx.AsyncHTTPTransport] = open_transport,
    ) -> None:
        """Keep where the calls go.

        :param address: ``host:port``.
        :param headers: headers of every call.
        :param opened: opens the connections.
        """
        self.address = address
        self._headers = headers or {}
        self._urls: dict[str, httpx.URL] = {}
        self._opened = opened
        self._pool = _Pool(opened)

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the whole reply.

        :param call: the call.
        :returns: the reply, whatever its status.
        :raises UnreachableError: when no connection was opened.
        :raises OutcomeUnknownError: when the reply was lost or late.
        """
        pool = self._pool
        url = self._url(call.path)
        whole = call._replace(headers={**self._headers, **call.headers})
        try:
            async with pool as transport:
                return await send(transport, url, whole)
        except (OutcomeUnknownError, UnreachableError):
            if pool is self._pool:
                self._pool = _Pool(self._opened)
                await pool.retire()
            raise

    def _url(self, path: str) -> httpx.URL:
        """Give the URL of a path; it is taken apart only once."""
        url = self._urls.get(path)
        if url is None:
            url = httpx.URL(f'http://{self.address}{path}')
            if '?' not in path:
                self._urls[path] = url
        return url

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.transport.aclose()
