"""Calls to one address of the platform, over connections that detect loss."""

import socket
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import httpx

from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_platform.addresses import is_address
from swifthoist_platform.calls import Call, Reply, build_request, send

USER_TIMEOUT_MS = 1_500
"""How long sent data may remain unacknowledged, in ms. Longer than any reply
over a slow link takes, and shorter than the time limits that a silent
connection could exceed."""

MAX_CONNECTIONS = 3
"""Maximum number of connections to one address: one for a long poll, and two
for orders. A burst of new connections overflows the listen queue of the other
end, which then drops connection attempts for seconds."""

KEEP_ALIVE_S = 20.0

MAX_SHOWN_CHARS = 100
"""Number of characters of an invalid address that an error shows."""

_SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class EndpointProtocol(Protocol):
    """Makes calls to one address; what the clients of the platform need."""

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the complete reply."""

    async def close(self) -> None:
        """Close the connections."""


class _Pool:
    """A transport and the number of calls that use it."""

    def __init__(
        self, open_transport: Callable[[], httpx.AsyncHTTPTransport]
    ) -> None:
        self.transport = open_transport()
        self._retired = False
        self._active_calls = 0

    async def __aenter__(self) -> httpx.AsyncHTTPTransport:
        """Start a call over the transport."""
        self._active_calls += 1
        return self.transport

    async def __aexit__(self, *_: object) -> None:
        """End a call; the last one closes a transport that was retired."""
        self._active_calls -= 1
        await self._close_unused()

    async def retire(self) -> None:
        """Close the transport once no call uses it."""
        self._retired = True
        await self._close_unused()

    async def _close_unused(self) -> None:
        if self._retired and not self._active_calls:
            with anyio.CancelScope(shield=True):
                await self.transport.aclose()


def open_transport() -> httpx.AsyncHTTPTransport:
    """Create a transport for a few connections over the network."""
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

    After a call without a reply, new calls open new connections, since the
    other connections may have been lost too. Calls in progress continue.
    """

    def __init__(
        self,
        address: str,
        headers: Mapping[str, str] | None = None,
        create_transport: Callable[
            [], httpx.AsyncHTTPTransport
        ] = open_transport,
    ) -> None:
        """Create an endpoint.

        :param address: ``host:port``.
        :param headers: headers of every call.
        :param create_transport: creates the transport.
        """
        self.address = address
        self._headers = headers or {}
        self._usable = is_address(address)
        self._urls: dict[str, httpx.URL] = {}
        self._create_transport = create_transport
        self._pool = _Pool(create_transport)

    async def call(self, call: Call) -> Reply:
        """Make a call and wait for the complete reply.

        :param call: the call.
        :returns: the reply, whatever its status.
        :raises UnreachableError: if no connection could be opened, or the
            address or the call is not valid.
        :raises OutcomeUnknownError: if the reply was lost or timed out.
        """
        if not self._usable:
            shown = self.address[:MAX_SHOWN_CHARS]
            raise UnreachableError(f'{shown!r} is no valid address')
        pool = self._pool
        full_call = call._replace(headers={**self._headers, **call.headers})
        request = self._build_request(full_call)
        try:
            async with pool as transport:
                return await send(transport, request, full_call)
        except (OutcomeUnknownError, UnreachableError):
            if pool is self._pool:
                self._pool = _Pool(self._create_transport)
                await pool.retire()
            raise

    def _build_request(self, call: Call) -> httpx.Request:
        """Build a request; URLs without a query are cached."""
        url = self._urls.get(call.path)
        if url is not None:
            return build_request(url, call)
        request = build_request(f'http://{self.address}{call.path}', call)
        if '?' not in call.path:
            self._urls[call.path] = request.url
        return request

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.transport.aclose()
