"""HTTP server of an instance: callers, operators, readiness and metrics."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias
from urllib.parse import parse_qs

import anyio
import msgspec

from swifthoist_instance.api import Api
from swifthoist_instance.bodies import MAX_BODY_S, Bodies, Receive
from swifthoist_instance.connections import Phase
from swifthoist_instance.conversations import CONNECTION_KEY
from swifthoist_instance.faults import Faults
from swifthoist_instance.intake import DEFAULT_WAIT_S, Intake
from swifthoist_instance.messages import (
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    INTERNAL_ERROR,
    OK,
    READING_METHODS,
    TOO_LARGE,
    UNAVAILABLE,
    Answer,
    Call,
)
from swifthoist_instance.metrics import Metrics
from swifthoist_instance.peers import (
    HAND_OVER_PATH,
    MIN_VERSION_HEADER,
    RELAY_PATH,
    HandOver,
)
from swifthoist_instance.refusals import Refusal, Refusals
from swifthoist_instance.tenure import Tenure
from swifthoist_instance.turns import LoopMonitor
from swifthoist_platform.job_calls import parse_api_key
from swifthoist_platform.names import READY as READY_PATH

METRICS_PATH = '/metrics'

LAST_ANSWER_S = 0.2
"""Time to send the answer to a call that is cut off by the end of the server,
in seconds."""

DEADLINE = 'deadline-ms'
"""Header with the time that the caller waits, in ms."""

MIN_WAIT_S = 1.0
"""Least time for the body of a request to arrive, in seconds."""

INTERNAL_WAIT_S = 3.0
"""Time for the body of an operator's request to arrive, in seconds."""

MAX_DIGITS = 15
"""Maximum length of a number in a header: more digits are not exact in JSON."""

Scope: TypeAlias = dict[str, Any]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

_log = logging.getLogger(__name__)


class ShutdownState:
    """Whether the instance is shutting down.

    :ivar shutting_down: whether it is; readiness then fails, so that the load
        balancer removes the instance.
    """

    def __init__(self) -> None:
        """Start in normal operation."""
        self.shutting_down = False


class Sent(NamedTuple):
    """Headers and body of a request.

    :ivar headers: headers, names in lower case.
    :ivar content: body.
    """

    headers: dict[str, str]
    content: bytes


class Web(NamedTuple):
    """The ASGI application that hypercorn serves.

    :ivar intake: serves callers' requests about jobs.
    :ivar api: serves operators' requests.
    :ivar metrics: counts callers' requests.
    :ivar shutdown_state: whether the instance is shutting down.
    :ivar internal_port: port that only operators and instances can reach.
    :ivar tenure: claims the cell when its holder asks.
    :ivar faults: reports calls that fail by an unexpected error.
    :ivar turns: tells how long a request may have waited to be read.
    :ivar bodies: receives the bodies of requests.
    :ivar refusals: counts and logs what clients are refused.
    """

    intake: Intake
    api: Api
    metrics: Metrics
    shutdown_state: ShutdownState
    internal_port: int
    tenure: Tenure
    faults: Faults
    turns: LoopMonitor
    bodies: Bodies
    refusals: Refusals

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request.

        :param scope: ASGI scope of the connection.
        :param receive: receives the request body.
        :param send: sends the response.
        """
        if scope['type'] != 'http':
            return
        canceled = anyio.get_cancelled_exc_class()
        try:
            answer = await self._serve(scope, receive)
        except canceled:
            _log.warning('call cut off', extra=_describe(scope))
            # The server would answer 500, though the call may take effect.
            with anyio.move_on_after(LAST_ANSWER_S, shield=True):
                await _send_answer(Answer(GATEWAY_TIMEOUT), send, closing=True)
            raise
        except Exception as exc:
            answer = self._note_failure(scope, exc)
        await _send_answer(
            answer, send, closing=self.shutdown_state.shutting_down
        )

    async def answer_internal(
        self, method: str, path: str, query: str, sent: Sent
    ) -> Answer:
        """Serve a request of an operator or of another instance.

        :param method: HTTP method.
        :param path: path.
        :param query: query string, not decoded.
        :param sent: its headers and body.
        :returns: the response.
        """
        if path == RELAY_PATH:
            call = self._relayed_call(method, query, sent)
            return await self.intake.answer(call)
        if path == HAND_OVER_PATH:
            return await self._take_over(sent.content)
        answer = await self.api.answer(method, path, query, sent.content)
        return Answer(answer.status, msgspec.json.encode(answer.document))

    async def _serve(self, scope: Scope, receive: Receive) -> Answer:
        if scope['server'][1] == self.internal_port:
            return await self._serve_internal(scope, receive)
        if scope['path'] == READY_PATH:
            ready = self.intake.ready and not self.shutdown_state.shutting_down
            return Answer(OK if ready else UNAVAILABLE)
        return await self._serve_caller(scope, receive)

    def _note_failure(self, scope: Scope, exc: Exception) -> Answer:
        """Report an unexpected error; a change may have taken effect."""
        fields = _describe(scope)
        _log.error('call failed', extra={**fields, 'error': repr(exc)})
        self.faults.note('call', scope['method'], exc, fields)
        changes = scope['method'] not in READING_METHODS
        return Answer(GATEWAY_TIMEOUT if changes else INTERNAL_ERROR)

    async def _serve_internal(self, scope: Scope, receive: Receive) -> Answer:
        path = scope['path']
        if path == METRICS_PATH:
            return Answer(OK, self.metrics.expose())
        query = scope['query_string'].decode('latin-1')
        sent = Sent(_headers(scope), b'')
        if path == RELAY_PATH:
            call = self._relayed_call(scope['method'], query, sent)
            return await self._receive_call(call, scope, receive)
        with self.bodies.open() as body:
            refusal = await self.bodies.receive(
                receive, body, self.intake.max_body_bytes, INTERNAL_WAIT_S
            )
            if refusal is not None:
                self._note_refusal(refusal, scope)
                too_long = refusal is Refusal.BODY_LENGTH
                status = TOO_LARGE if too_long else UNAVAILABLE
                return Answer(status, closing=True)
            _enter_serving(scope)
            whole = sent._replace(content=body.take())
            return await self.answer_internal(
                scope['method'], path, query, whole
            )

    def _relayed_call(self, method: str, query: str, sent: Sent) -> Call:
        call = self._to_call(method, _relayed_path(query), sent)
        version = sent.headers.get(MIN_VERSION_HEADER.lower(), '')
        return call._replace(
            relayed=True, min_version=_parse_number(version) or 0
        )

    async def _take_over(self, content: bytes) -> Answer:
        try:
            wanted = msgspec.json.decode(content, type=HandOver)
        except (msgspec.MsgspecError, RecursionError) as exc:
            _log.warning('hand-over unread', extra={'why': str(exc)})
            return Answer(BAD_REQUEST)
        taken = await self.tenure.take_over(wanted.epoch)
        return Answer(OK if taken else UNAVAILABLE)

    async def _serve_caller(self, scope: Scope, receive: Receive) -> Answer:
        began = anyio.current_time()
        sent = Sent(_headers(scope), b'')
        call = self._to_call(scope['method'], scope['path'], sent)
        answer = await self._receive_call(call, scope, receive)
        took_ms = (anyio.current_time() - began) * 1_000
        self.metrics.count_call(call.method, answer.status, took_ms)
        return answer

    async def _receive_call(
        self, call: Call, scope: Scope, receive: Receive
    ) -> Answer:
        """Receive the body of a call, unless its head decides, and answer."""
        length = _announced_bytes(scope)
        early = self.intake.judge_head(call, length) if length else None
        if early is not None:
            if early.status == TOO_LARGE:
                self._note_refusal(Refusal.BODY_LENGTH, scope)
            return early._replace(closing=True)
        began = anyio.current_time()
        with self.bodies.open() as body:
            refusal = await self.bodies.receive(
                receive, body, self.intake.max_body_bytes, _patience_s(scope)
            )
            took_s = anyio.current_time() - began
            if refusal is not None:
                self._note_refusal(refusal, scope)
                answer = self.intake.refuse_body(call, refusal, took_s)
                return answer._replace(closing=True)
            _enter_serving(scope)
            if _tells_deadline(scope):
                call = call._replace(wait_s=call.wait_s - took_s)
            return await self.intake.answer(call._replace(content=body.take()))

    def _note_refusal(self, refusal: Refusal, scope: Scope) -> None:
        client = scope.get('client') or ('',)
        fields = {
            'client': client[0],
            'max_body_bytes': self.intake.max_body_bytes,
            'body_bytes': self.bodies.held_bytes,
            'limit_bytes': self.bodies.limit_bytes,
            **_describe(scope),
        }
        self.refusals.note(refusal, fields)

    def _to_call(self, method: str, path: str, sent: Sent) -> Call:
        headers = sent.headers
        wait_s = _wait_s(headers.get(DEADLINE, ''))
        return Call(
            method,
            headers.get('host', '').rsplit(':', 1)[0].lower(),
            path,
            parse_api_key(headers.get('authorization', '')),
            wait_s - self.turns.request_age_ms / 1_000,
            sent.content,
        )


def _enter_serving(scope: Scope) -> None:
    """Note that the connection has a whole request, which is to be served."""
    connection = scope.get('state', {}).get(CONNECTION_KEY)
    if connection is not None:
        connection.enter(Phase.SERVING, anyio.current_time())


def _tells_deadline(scope: Scope) -> bool:
    return _parse_number(_headers(scope).get(DEADLINE, '')) is not None


def _patience_s(scope: Scope) -> float:
    """Return how long the body of a request may take to arrive.

    Whether the caller still waits is judged once the request is whole.
    """
    if not _tells_deadline(scope):
        return MAX_BODY_S
    return max(_wait_s(_headers(scope)[DEADLINE]), MIN_WAIT_S)


def _announced_bytes(scope: Scope) -> int | None:
    """Return the length of a body; 1 if it is not told, None without body."""
    headers = _headers(scope)
    if 'transfer-encoding' in headers:
        return 1
    return _parse_length(headers.get('content-length', ''))


def _parse_length(text: str) -> int | None:
    if not text.isdecimal():
        return None
    # A longer number is far over any limit.
    return int(text[:MAX_DIGITS])


def _headers(scope: Scope) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): value.decode('latin-1')
        for name, value in scope['headers']
    }


def _wait_s(text: str) -> float:
    wait_ms = _parse_number(text)
    return DEFAULT_WAIT_S if wait_ms is None else wait_ms / 1_000


def _parse_number(text: str) -> int | None:
    """Return a number of a header; None if it is missing or no number."""
    valid = text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if valid else None


def _relayed_path(query: str) -> str:
    """Return the path of a call that another instance passed on."""
    return parse_qs(query).get('path', [''])[0]


def _describe(scope: Scope) -> dict[str, object]:
    """Return the log fields of a call that nobody finished."""
    path = scope['path']
    if path == RELAY_PATH:
        path = _relayed_path(scope['query_string'].decode('latin-1'))
    return {
        'job': path.rpartition('/')[2],
        'method': scope['method'],
        'path': path,
        'relayed': scope['path'] == RELAY_PATH,
    }


async def _send_answer(answer: Answer, send: Send, *, closing: bool) -> None:
    headers = [(b'content-type', b'application/json')]
    headers.append((b'content-length', str(len(answer.content)).encode()))
    if answer.retry_after_s:
        headers.append((b'retry-after', str(answer.retry_after_s).encode()))
    if closing or answer.closing:
        headers.append((b'connection', b'close'))
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': headers,
        }
    )
    await send({'type': 'http.response.body', 'body': answer.content})
