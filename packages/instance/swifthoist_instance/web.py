"""The HTTP side of an instance, by hypercorn: callers, readiness, metrics."""

import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Any, NamedTuple, TypeAlias

import anyio
import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

from swifthoist_instance.api import Api
from swifthoist_instance.intake import (
    DEFAULT_WAIT_S,
    OK,
    UNAVAILABLE,
    Answer,
    Call,
    Intake,
)
from swifthoist_instance.metrics import Metrics
from swifthoist_platform.job_calls import parse_api_key
from swifthoist_platform.names import READY as READY_PATH

METRICS_PATH = '/metrics'

BACKLOG = 1_024
KEEP_ALIVE_S = 30.0
GRACEFUL_S = 1.0
"""How long connections may take to close after the last answer."""

BODY_LIMIT = 4 * 1024 * 1024
"""Largest body that is read at all, in bytes."""

TOO_LARGE = 413

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

_log = logging.getLogger(__name__)


class Phase:
    """Whether the instance is leaving.

    :ivar leaving: it is; the balancer should let go of it.
    """

    def __init__(self) -> None:
        """Start as an instance that stays."""
        self.leaving = False


class Web(NamedTuple):
    """The application that hypercorn serves.

    :ivar intake: answers calls about jobs.
    :ivar api: answers operators.
    :ivar metrics: counts calls.
    :ivar phase: whether the instance is leaving.
    :ivar internal_port: port that only operators and instances reach.
    """

    intake: Intake
    api: Api
    metrics: Metrics
    phase: Phase
    internal_port: int

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request.

        :param scope: head of the request.
        :param receive: gives its body.
        :param send: takes the answer.
        """
        if scope['type'] != 'http':
            return
        if scope['server'][1] == self.internal_port:
            answer = await self._serve_operator(scope, receive)
        elif scope['path'] == READY_PATH:
            ready = self.intake.ready and not self.phase.leaving
            answer = Answer(OK if ready else UNAVAILABLE)
        else:
            answer = await self._serve(scope, receive)
        await _send_answer(answer, send, closing=self.phase.leaving)

    async def _serve_operator(self, scope: Scope, receive: Receive) -> Answer:
        if scope['path'] == METRICS_PATH:
            return Answer(OK, self.metrics.expose())
        content = await _read_body(receive)
        if content is None:
            return Answer(TOO_LARGE)
        answer = await self.api.answer(
            scope['method'],
            scope['path'],
            scope['query_string'].decode('latin-1'),
            content,
        )
        return Answer(answer.status, msgspec.json.encode(answer.document))

    async def _serve(self, scope: Scope, receive: Receive) -> Answer:
        began = anyio.current_time()
        content = await _read_body(receive)
        if content is None:
            return Answer(TOO_LARGE)
        headers = _headers(scope)
        call = Call(
            scope['method'],
            headers.get('host', '').rsplit(':', 1)[0].lower(),
            scope['path'],
            parse_api_key(headers.get('authorization', '')),
            _wait_s(headers.get('deadline-ms', '')),
            content,
        )
        answer = await self.intake.answer(call)
        took_ms = (anyio.current_time() - began) * 1_000
        self.metrics.count_call(call.method, answer.status, took_ms)
        return answer


async def serve_web(
    app: Web, addresses: Iterable[str], stopped: anyio.Event
) -> None:
    """Serve until told to stop, then let requests in progress finish.

    :param app: the application.
    :param addresses: where to listen, each ``host:port``.
    :param stopped: set to stop.
    """
    cfg = Config()
    cfg.bind = list(addresses)
    cfg.backlog = BACKLOG
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    cfg.graceful_timeout = GRACEFUL_S
    cfg.include_server_header = False
    cfg.accesslog = None
    cfg.errorlog = None
    await serve(app, cfg, shutdown_trigger=stopped.wait)  # type: ignore[arg-type]


async def _read_body(receive: Receive) -> bytes | None:
    chunks: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] != 'http.request':
            # The caller broke off: what came so far is not what it sent.
            return None
        chunk = message.get('body', b'')
        size += len(chunk)
        if size > BODY_LIMIT:
            return None
        chunks.append(chunk)
        if not message.get('more_body'):
            return b''.join(chunks)


def _headers(scope: Scope) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in scope['headers']
    }


def _wait_s(text: str) -> float:
    if text.isdecimal() and len(text) < 9:
        return int(text) / 1_000
    return DEFAULT_WAIT_S


async def _send_answer(answer: Answer, send: Send, *, closing: bool) -> None:
    headers = [(b'content-type', b'application/json')]
    headers.append((b'content-length', str(len(answer.content)).encode()))
    if answer.return_s:
        headers.append((b'retry-after', str(answer.return_s).encode()))
    if closing:
        headers.append((b'connection', b'close'))
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': answer.content})
