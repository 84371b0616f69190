"""Callers of the HTTP API: who they are and what they send."""

from collections.abc import Awaitable, Callable, Iterator
from typing import Any, TypeAlias

import anyio
from starlette.requests import Request
from starlette.responses import Response

from swifthoist_core.checks import check_document, parse_json
from swifthoist_core.errors import (
    Finding,
    InvalidInputError,
    SwifthoistError,
    raise_findings,
)
from swifthoist_core.tokens import Identity, Role, read_token
from swifthoistd import replies

MAX_BODY = 1024 * 1024
"""Largest body that is taken, in bytes."""

BODY_S = 10.0
"""How long a caller may take to send a body, in seconds."""

MAX_NUMBER = (1 << 63) - 1
"""Greatest whole number in a document; records on the log hold no greater."""

_MAX_DIGITS = 18

Endpoint: TypeAlias = Callable[[Request], Awaitable[Response]]
Handler: TypeAlias = Callable[[Request, Identity], Awaitable[Response]]


class BodyError(SwifthoistError):
    """The body of a call cannot be taken.

    :ivar reply: the answer to the caller.
    """

    def __init__(self, reply: Response) -> None:
        """Keep the answer.

        :param reply: the answer to the caller.
        """
        super().__init__('body not taken')
        self.reply = reply


async def read_body(request: Request) -> bytes:
    """Read a body of bounded size in bounded time.

    :param request: the call.
    :returns: the body.
    :raises BodyError: when it is too large, too slow or cut short.
    """
    chunks = bytearray()
    scope = anyio.move_on_after(BODY_S)
    with scope:
        await _collect(request, chunks)
    if scope.cancelled_caught:
        finding = Finding('body', f'did not arrive within {BODY_S:g} s')
        raise BodyError(replies.invalid((finding,)))
    if len(chunks) > MAX_BODY:
        finding = Finding('body', f'is larger than {MAX_BODY} bytes')
        raise BodyError(replies.invalid((finding,), replies.TOO_LARGE))
    return bytes(chunks)


async def read_document(request: Request, kind: type) -> Any:
    """Read a document from the body and check it.

    :param request: the call.
    :param kind: the ``TypedDict`` that it must be.
    :returns: the document.
    :raises BodyError: when the body cannot be taken.
    :raises InvalidInputError: with every finding.
    """
    try:
        content = parse_json('body', await read_body(request))
    except RecursionError:
        content = Finding('body', 'is nested too deeply')
    if isinstance(content, Finding):
        raise InvalidInputError.of('body', (content,))
    raise_findings('document', check_document(kind, content))
    raise_findings('document', tuple(_too_great(content, '')))
    return content


def _too_great(content: object, place: str) -> Iterator[Finding]:
    match content:
        case dict():
            for name, inner in content.items():
                yield from _too_great(inner, f'{place}.{name}'.lstrip('.'))
        case list():
            for index, inner in enumerate(content):
                yield from _too_great(inner, f'{place}[{index}]')
        case int() if content > MAX_NUMBER:
            yield Finding(place, f'must be at most {MAX_NUMBER}')


def read_number(text: str, place: str) -> int:
    """Read a whole number from a parameter.

    :param text: the parameter as it came.
    :param place: its name.
    :returns: the number, 0 or more.
    :raises InvalidInputError: when it is no such number.
    """
    if not (text.isascii() and text.isdecimal()):
        finding = Finding(place, 'is missing or no whole number')
        raise InvalidInputError.of('parameter', (finding,))
    if len(text) > _MAX_DIGITS:
        problem = f'must have {_MAX_DIGITS} digits at most'
        raise InvalidInputError.of('parameter', (Finding(place, problem),))
    return int(text)


async def _collect(request: Request, chunks: bytearray) -> None:
    async for chunk in request.stream():
        chunks += chunk
        if len(chunks) > MAX_BODY:
            return


class Gatekeeper:
    """Lets calls through to handlers for the roles that may make them."""

    def __init__(self, secret: str) -> None:
        """Keep the key of the tokens.

        :param secret: the key.
        """
        self._secret = secret

    def allow(self, handler: Handler, *roles: Role) -> Endpoint:
        """Guard a handler.

        :param handler: called with the request and who makes it.
        :param roles: roles that may call it.
        :returns: the endpoint.
        """

        async def wrapper(request: Request) -> Response:
            identity = self._identify(request)
            if identity is None:
                reply = replies.not_run('no valid token', replies.UNAUTHORIZED)
                reply.headers['WWW-Authenticate'] = 'Bearer'
                return reply
            if identity.role not in roles:
                reason = f'not allowed for an {identity.role}'
                return replies.not_run(reason, replies.FORBIDDEN)
            try:
                return await handler(request, identity)
            except BodyError as exc:
                return exc.reply
            except InvalidInputError as exc:
                return replies.invalid(exc.findings)

        return wrapper

    def _identify(self, request: Request) -> Identity | None:
        header = request.headers.get('authorization', '')
        scheme, _, token = header.partition(' ')
        if scheme.lower() != 'bearer':
            return None
        return read_token(self._secret, token.strip())


async def run_while_connected(
    request: Request, work: Callable[[], Awaitable[Response]]
) -> Response:
    """Run a handler until it ends or its caller is gone.

    :param request: the call, whose body has been read.
    :param work: the handler.
    :returns: the reply, which nobody reads if the caller is gone.
    """
    reply = replies.unknown('the caller is gone')
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_when_gone, request, group.cancel_scope)
        reply = await work()
        group.cancel_scope.cancel()
    return reply


async def _cancel_when_gone(request: Request, scope: anyio.CancelScope) -> None:
    message = await request.receive()
    while message['type'] != 'http.disconnect':
        message = await request.receive()
    scope.cancel()
