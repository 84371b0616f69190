"""HTTP calls to the platform.

The type of an error tells whether the call may have taken effect.
"""

from collections.abc import Mapping
from typing import NamedTuple

import anyio
import httpx

from swifthoist_core.errors import (
    AnswerLateError,
    OutcomeUnknownError,
    UnreachableError,
)

_CONNECT_FRACTION = 0.5
"""Fraction of a call's timeout within which its connection must be open."""

_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Patience:
    """Lets the maker of a call extend its timeout while the call is under way."""

    def __init__(self) -> None:
        """Belong to a call that has not begun."""
        self._scope: anyio.CancelScope | None = None
        self._began = float(0)

    def begin(self, scope: anyio.CancelScope) -> None:
        """Note the scope of the call, which has the first deadline.

        :param scope: scope that is canceled at the deadline.
        """
        self._began = anyio.current_time()
        self._scope = scope

    def extend(self, timeout_s: float) -> None:
        """Extend the timeout of the call; a shorter one changes nothing.

        :param timeout_s: timeout since the call began, in seconds.
        """
        if self._scope is not None:
            deadline = self._began + timeout_s
            self._scope.deadline = max(self._scope.deadline, deadline)


class Call(NamedTuple):
    """A request to the platform.

    :ivar method: HTTP method.
    :ivar path: path and query.
    :ivar timeout_s: timeout of the whole call, in seconds; if
        ``read_timeout_s`` is set, timeout until the first chunk of the body.
    :ivar read_timeout_s: longest pause between two chunks of the body, in
        seconds, for replies that a slow link takes long to transfer; 0 to
        have ``timeout_s`` apply to the whole call.
    :ivar content: body; empty for none.
    :ivar headers: headers in addition to those of the endpoint.
    :ivar patience: extends the timeout of the whole call; None if nobody does.
    """

    method: str
    path: str
    timeout_s: float
    content: bytes = b''
    headers: Mapping[str, str] = {}
    read_timeout_s: float = 0
    patience: Patience | None = None


class Reply(NamedTuple):
    """A complete reply.

    :ivar status: HTTP status.
    :ivar content: body.
    """

    status: int
    content: bytes


def build_request(url: str | httpx.URL, call: Call) -> httpx.Request:
    """Build the request of a call; nothing is sent.

    :param url: full URL of the request.
    :param call: the call.
    :returns: the request.
    :raises UnreachableError: if the URL or a header is not valid.
    """
    timeouts = {'connect': call.timeout_s * _CONNECT_FRACTION}
    try:
        return httpx.Request(
            call.method,
            url,
            content=call.content,
            headers=call.headers,
            extensions={'timeout': timeouts},
        )
    except (httpx.InvalidURL, UnicodeError) as exc:
        raise UnreachableError(f'call not valid: {exc!r}') from exc


async def send(
    transport: httpx.AsyncHTTPTransport, request: httpx.Request, call: Call
) -> Reply:
    """Make a call and wait for the complete reply.

    This uses the transport without an ``httpx`` client: the platform needs no
    redirects, cookies or authentication, and handling them takes a quarter of
    the time of a call.

    :param transport: transport whose connections are used.
    :param request: the request.
    :param call: the call that it is built of.
    :returns: the reply, whatever its status.
    :raises UnreachableError: if no connection could be opened in time.
    :raises AnswerLateError: if the reply timed out.
    :raises OutcomeUnknownError: if the reply was lost.
    """
    url = request.url
    began = anyio.current_time()
    try:
        with anyio.move_on_after(call.timeout_s) as scope:
            if call.patience is not None:
                call.patience.begin(scope)
            reply = await transport.handle_async_request(request)
            content = await _read_body(reply, call, scope)
            return Reply(reply.status_code, content)
    except _CONNECT_ERRORS as exc:
        raise UnreachableError(f'{url}: {exc!r}') from exc
    except TimeoutError as exc:
        raise AnswerLateError(f'{url}: {exc!r}') from exc
    except (httpx.HTTPError, httpx.StreamError) as exc:
        raise OutcomeUnknownError(f'{url}: {exc!r}') from exc
    # Even if the deadline was extended meanwhile, since the call is canceled.
    waited_s = anyio.current_time() - began
    raise AnswerLateError(f'{url}: no complete reply for {waited_s:.3f} s')


async def _read_body(
    reply: httpx.Response, call: Call, scope: anyio.CancelScope
) -> bytes:
    """Read a body; with a read timeout, each chunk extends the deadline."""
    chunks: list[bytes] = []
    async for chunk in reply.aiter_raw():
        chunks.append(chunk)
        if call.read_timeout_s:
            scope.deadline = anyio.current_time() + call.read_timeout_s
    return b''.join(chunks)
