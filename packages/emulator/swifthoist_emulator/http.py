"""Minimal HTTP requests and responses of the emulator, on ASGI."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import parse_qs

import msgspec

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]


class Request(NamedTuple):
    """A request to the emulator.

    :ivar method: HTTP method.
    :ivar path: path.
    :ivar query: query parameters; of a repeated one, the first value.
    :ivar headers: headers, names in lower case.
    :ivar content: body.
    :ivar port: port that was called.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    content: bytes
    port: int

    def document(self) -> dict[str, Any]:
        """Decode the body from JSON."""
        return msgspec.json.decode(self.content, type=dict[str, Any])


class Response(NamedTuple):
    """A response of the emulator.

    :ivar status: HTTP status.
    :ivar content: body.
    """

    status: int
    content: bytes = b''


def answer_json(status: int, document: object) -> Response:
    """Make a JSON response.

    :param status: HTTP status.
    :param document: body before its encoding.
    :returns: the response.
    """
    return Response(status, msgspec.json.encode(document))


async def read_request(scope: Scope, receive: Receive) -> Request | None:
    """Read a whole request.

    :param scope: ASGI scope.
    :param receive: ASGI channel of incoming events.
    :returns: the request; none if the client disconnected before its end.
    """
    content = b''
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        content += message.get('body', b'')
        more = message.get('more_body', False)
    query = parse_qs(scope['query_string'].decode())
    headers = {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in scope['headers']
    }
    return Request(
        scope['method'],
        scope['path'],
        {name: found[0] for name, found in query.items()},
        headers,
        content,
        scope['server'][1],
    )


async def send_response(response: Response, send: Send) -> None:
    """Send a response.

    :param response: the response.
    :param send: ASGI channel of outgoing events.
    """
    length = str(len(response.content)).encode()
    await send(
        {
            'type': 'http.response.start',
            'status': response.status,
            'headers': [(b'content-length', length)],
        }
    )
    await send({'type': 'http.response.body', 'body': response.content})


async def send_half(send: Send) -> None:
    """Send the head of a response without its body, so that the call fails.

    :param send: ASGI channel of outgoing events.
    """
    head = {
        'type': 'http.response.start',
        'status': 200,
        'headers': [(b'content-length', b'1')],
    }
    await send(head)
    await send({'type': 'http.response.body'})
