"""One request and its answer over one connection."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeAlias

import httpx

from swifthoist_core.errors import SwifthoistError
from swifthoist_core.types import Millis
from swifthoistd.counters import Dropped

_FIRST_BYTE = 'http11.send_request_headers.started'
_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_CONNECT_S = 1.0
_MS_PER_S = 1_000
_HTTP_DECLINING = frozenset((429, 503))
_HTTP_SERVER_ERROR = 500
_DEFAULT_RETRY_MS = 100


class SendingRefusedError(SwifthoistError):
    """The request may no longer be sent; raised before its first byte."""


class Call(NamedTuple):
    """A request as it goes over the wire.

    :ivar method: HTTP method.
    :ivar url: the whole URL.
    :ivar request_id: id that the answer must repeat, empty for none.
    :ivar headers: further headers.
    :ivar body: the content.
    :ivar timeout_ms: bound on each wait, in ms.
    """

    method: str
    url: str
    request_id: str
    headers: Mapping[str, str]
    body: bytes
    timeout_ms: Millis


class Answered(NamedTuple):
    """A whole answer to this very request.

    :ivar status: HTTP status below 500.
    :ivar body: the content, complete.
    :ivar content_type: media type of the body.
    :ivar leaving: whether the runner says that it leaves.
    """

    status: int
    body: bytes
    content_type: str
    leaving: bool


class Declined(NamedTuple):
    """The runner says that it did not run the request.

    :ivar retry_after_ms: when the runner may be asked again, in ms.
    :ivar leaving: whether the runner says that it leaves.
    """

    retry_after_ms: Millis
    leaving: bool


class NotSent(NamedTuple):
    """No byte of the request has left.

    :ivar reason: why, as a short stable word.
    """

    reason: str


class Broken(NamedTuple):
    """The request was sent, at least in part, and no whole answer came.

    :ivar reason: what went wrong, as a short stable word.
    :ivar dropped: what was dropped, if there was an answer.
    :ivar leaving: whether the runner says that it leaves.
    """

    reason: str
    dropped: Dropped | None = None
    leaving: bool = False


Reply: TypeAlias = Answered | Declined | NotSent | Broken


class Sending:
    """How far one request has got.

    :ivar sent: whether its first byte may have left.
    :ivar on_kept: whether its connection has served others before.
    """

    def __init__(self, guard: Callable[[], None] | None = None) -> None:
        """Start before the first byte.

        :param guard: called immediately before the first byte; raises
            :class:`SendingRefusedError` when it is too late to send.
        """
        self.sent = False
        self.on_kept = False
        self._guard = guard

    async def trace(self, event: str, details: object) -> None:
        """Follow the transport's progress.

        :param event: name of the step that begins or ends.
        :param details: what the transport tells of it.
        """
        if event != _FIRST_BYTE:
            return
        if self._guard is not None:
            self._guard()
        self.sent = True


async def exchange(
    transport: httpx.AsyncBaseTransport, call: Call, sending: Sending
) -> Reply:
    """Send a request and read its whole answer.

    :param transport: one connection.
    :param call: the request.
    :param sending: shows how far it has got, also after a cancellation.
    :returns: what is known afterwards.
    """
    try:
        return await _exchange(transport, call, sending)
    except SendingRefusedError:
        return NotSent('expired')
    except httpx.TransportError as exc:
        return _lost(exc, sending)


def _lost(exc: httpx.TransportError, sending: Sending) -> Reply:
    match exc:
        case httpx.ConnectError() | httpx.ConnectTimeout():
            # These come from opening the connection, never after it.
            return Broken('lost') if sending.sent else NotSent('unreachable')
        case httpx.TimeoutException():
            return Broken('timeout')
        case _:
            return Broken('lost')


async def _exchange(
    transport: httpx.AsyncBaseTransport, call: Call, sending: Sending
) -> Reply:
    response = await transport.handle_async_request(_request(call, sending))
    try:
        body = await _read(response)
    finally:
        await response.aclose()
    return _judge(call, response, body)


def _request(call: Call, sending: Sending) -> httpx.Request:
    wait_s = call.timeout_ms / _MS_PER_S
    timeout = httpx.Timeout(wait_s, connect=min(wait_s, _CONNECT_S))
    headers = {
        'X-Request-Id': call.request_id,
        'Accept-Encoding': 'identity',
        **call.headers,
    }
    return httpx.Request(
        call.method,
        call.url,
        headers=headers,
        content=call.body,
        extensions={'timeout': timeout.as_dict(), 'trace': sending.trace},
    )


async def _read(response: httpx.Response) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    async for chunk in response.aiter_raw():
        size += len(chunk)
        if size > _MAX_ANSWER_BYTES:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def _judge(call: Call, response: httpx.Response, body: bytes | None) -> Reply:
    headers = response.headers
    leaving = headers.get('X-Leaving') == '1'
    if call.request_id and headers.get('X-Request-Id') != call.request_id:
        return Broken('mismatched', Dropped.MISMATCHED)
    if body is None:
        return Broken('oversized', Dropped.OVERSIZED, leaving)
    if headers.get('Content-Length') != str(len(body)):
        return Broken('truncated', Dropped.TRUNCATED, leaving)
    status = response.status_code
    if status in _HTTP_DECLINING and headers.get('X-Not-Run') == '1':
        return Declined(_retry_after_ms(headers), leaving)
    if status >= _HTTP_SERVER_ERROR:
        return Broken('failed', None, leaving)
    content_type = headers.get('Content-Type', 'application/octet-stream')
    return Answered(status, body, content_type, leaving)


def _retry_after_ms(headers: httpx.Headers) -> Millis:
    seconds = headers.get('Retry-After', '')
    if not seconds.isdecimal():
        return _DEFAULT_RETRY_MS
    return max(_DEFAULT_RETRY_MS, int(seconds) * _MS_PER_S)
