"""The gate in front of a stand-in, which shows its faults."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from swifthoist_core.errors import InvalidInputError
from swifthoist_standins.faults import FaultBoard, decode_faults

_FAULTS_PATH = '/faults'
_OPEN_PATHS = frozenset((_FAULTS_PATH, '/record'))
_FAULTS_LIMIT = 4096
_JSON = 'application/json'
_MSGPACK = 'application/msgpack'
NOT_RUN: Mapping[str, str] = {'X-Not-Run': '1'}
"""Header of each reply to a call that surely took no effect."""

_NOT_SERVED = Response(status_code=503, headers=NOT_RUN)
_LOST_HEAD: Message = {
    'type': 'http.response.start',
    'status': 200,
    'headers': [(b'content-length', b'1')],
}


class Exchange(NamedTuple):
    """One call as the server hands it over.

    :ivar scope: what is known of the call.
    :ivar receive: reads its body.
    :ivar send: writes the reply.
    """

    scope: Scope
    receive: Receive
    send: Send


class _Kept:
    """A reply that is kept back until it may go out."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.messages: list[Message] = []

    async def keep(self, message: Message) -> None:
        """Take one message of the reply.

        :param message: the message.
        """
        self.messages.append(message)


class FaultGate:
    """An application behind the faults of its listener.

    :ivar board: the faults.
    """

    def __init__(self, app: ASGIApp, board: FaultBoard) -> None:
        """Keep the parts.

        :param app: the application.
        :param board: its faults.
        """
        self.board = board
        self._app = app
        self._open: set[anyio.CancelScope] = set()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one call, with the faults of now.

        :param scope: what is known of the call.
        :param receive: reads its body.
        :param send: writes the reply.
        """
        if scope['type'] != 'http' or scope['path'] in _OPEN_PATHS:
            await self._app(scope, receive, send)
            return
        cancel_scope = anyio.CancelScope()
        self._open.add(cancel_scope)
        try:
            with cancel_scope:
                await self._pass(Exchange(scope, receive, send))
        finally:
            self._open.discard(cancel_scope)

    def close(self) -> None:
        """End every call that is open, without its reply."""
        for cancel_scope in tuple(self._open):
            cancel_scope.cancel()

    async def _pass(self, exchange: Exchange) -> None:
        peer = exchange.scope['client']
        self.board.note(peer)
        if self.board.is_silent(peer):
            await _swallow(exchange.receive)
            return
        await self.board.wait_awake()
        if self.board.is_down():
            await _NOT_SERVED(*exchange)
            return
        await self.board.wait_slow()
        await self._reply(exchange, await self._serve(exchange))

    async def _serve(self, exchange: Exchange) -> list[Message]:
        kept = _Kept()
        await self._app(exchange.scope, exchange.receive, kept.keep)
        return kept.messages

    async def _reply(
        self, exchange: Exchange, messages: Sequence[Message]
    ) -> None:
        await self.board.wait_late()
        await self.board.wait_awake()
        if self.board.is_silent(exchange.scope['client']):
            await _swallow(exchange.receive)
            return
        if exchange.scope['method'] != 'GET' and self.board.take_lost_reply():
            await exchange.send(_LOST_HEAD)
            return
        for message in messages:
            if self.board.is_truncating() and message.get('body'):
                await exchange.send(_cut(message))
                return
            await exchange.send(message)


def _cut(message: Message) -> Message:
    body = message['body']
    return {**message, 'body': body[: len(body) // 2], 'more_body': True}


async def _swallow(receive: Receive) -> None:
    while (await receive())['type'] != 'http.disconnect':
        continue


class _FaultHandlers:
    """What every stand-in serves of its faults."""

    def __init__(self, board: FaultBoard) -> None:
        """Keep the board.

        :param board: the faults of the listener.
        """
        self._board = board

    async def post(self, request: Request) -> Response:
        """Serve ``POST /faults``."""
        body = await read_body(request, _FAULTS_LIMIT)
        try:
            self._board.set(decode_faults(body, self._board.allowed))
        except InvalidInputError as exc:
            return reply_json(exc.findings, 422)
        return reply_json(self._board.get())

    async def get(self, _: Request) -> Response:
        """Serve ``GET /faults``."""
        return reply_json(self._board.get())


def build(routes: Sequence[BaseRoute], board: FaultBoard) -> FaultGate:
    """Build the application of a stand-in.

    :param routes: what it serves, beside ``/faults``.
    :param board: its faults.
    :returns: the application behind the gate.
    """
    handlers = _FaultHandlers(board)
    faults = (
        Route(_FAULTS_PATH, handlers.post, methods=['POST']),
        Route(_FAULTS_PATH, handlers.get, methods=['GET']),
    )
    return FaultGate(Starlette(routes=[*faults, *routes]), board)


def refusal(status: int, problem: str = '') -> HTTPException:
    """Make the refusal of a call that took no effect.

    :param status: HTTP status.
    :param problem: what is wrong, empty for the status's own phrase.
    :returns: the exception to raise.
    """
    return HTTPException(status, problem or None, NOT_RUN)


async def read_body(request: Request, limit: int) -> bytes:
    """Read the body of a call.

    :param request: the call.
    :param limit: greatest size, in bytes.
    :returns: the body.
    :raises HTTPException: with status 413 when the body is over the limit.
    """
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > limit:
            raise refusal(413)
    return bytes(body)


def read_number(request: Request, name: str, default: int) -> int:
    """Read a number from the query of a call.

    :param request: the call.
    :param name: name of the number.
    :param default: its value when it is left out.
    :returns: the number, not negative.
    :raises HTTPException: with status 400 when it is none.
    """
    text = request.query_params.get(name, str(default))
    if not text.isdecimal():
        raise refusal(400, f'{name} must be a number')
    return int(text)


def reply_json(content: object, status: int = 200) -> Response:
    """Reply with JSON.

    :param content: what to encode.
    :param status: HTTP status.
    :returns: the reply.
    """
    return Response(msgspec.json.encode(content), status, media_type=_JSON)


def reply_msgpack(content: object, status: int = 200) -> Response:
    """Reply with msgpack.

    :param content: what to encode.
    :param status: HTTP status.
    :returns: the reply.
    """
    body = msgspec.msgpack.encode(content)
    return Response(body, status, media_type=_MSGPACK)
