"""One call to the platform over HTTP, with its outcome told apart.

An error says whether the call took effect: surely not, or unknown.
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

_CONNECT_SHARE = 0.5
"""Share of a call's time within which its connection must be open."""

_UNOPENED = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class Call(NamedTuple):
    """A request to the platform.

    :ivar method: HTTP method.
    :ivar path: path and query.
    :ivar timeout_s: time for the whole call, in seconds; where ``pause_s`` is
        given, time until the first piece of the body.
    :ivar read_timeout_s: longest pause between two pieces of the body, in seconds,
        where a link may need long for all of it; 0 for none.
    :ivar content: body, empty for none.
    :ivar headers: headers beside those of the address.
    """

    method: str
    path: str
    timeout_s: float
    content: bytes = b''
    headers: Mapping[str, str] = {}
    read_timeout_s: float = 0


class Reply(NamedTuple):
    """A whole reply.

    :ivar status: HTTP status.
    :ivar content: body.
    """

    status: int
    content: bytes


async def send(
    transport: httpx.AsyncHTTPTransport, url: httpx.URL, call: Call
) -> Reply:
    """Make a call and wait for the whole reply.

    The transport is used without a client: redirects, cookies and logins are
    not spoken here, and what a client does for them is a quarter of a call.

    :param transport: transport whose connections are used.
    :param url: whole URL of the request.
    :param call: the request.
    :returns: the reply, whatever its status.
    :raises UnreachableError: when no connection was opened in time.
    :raises AnswerLateError: when the reply came too late.
    :raises OutcomeUnknownError: when it was lost.
    """
    limits = {'connect': call.timeout_s * _CONNECT_SHARE}
    request = httpx.Request(
        call.method,
        url,
        content=call.content,
        headers=call.headers,
        extensions={'timeout': limits},
    )
    try:
        with anyio.fail_after(call.timeout_s) as limit:
            reply = await transport.handle_async_request(request)
            content = await _read_body(reply, call, limit)
    except _UNOPENED as exc:
        raise UnreachableError(f'{url}: {exc!r}') from exc
    except TimeoutError as exc:
        raise AnswerLateError(f'{url}: {exc!r}') from exc
    except (httpx.HTTPError, httpx.StreamError) as exc:
        raise OutcomeUnknownError(f'{url}: {exc!r}') from exc
    return Reply(reply.status_code, content)


async def _read_body(
    reply: httpx.Response, call: Call, limit: anyio.CancelScope
) -> bytes:
    """Read a body; each piece that comes may allow for another one."""
    pieces: list[bytes] = []
    async for piece in reply.aiter_raw():
        pieces.append(piece)
        if call.read_timeout_s:
            limit.deadline = anyio.current_time() + call.read_timeout_s
    return b''.join(pieces)
