"""Stand-in for the platform's append-only log."""

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.clock import Clock
from swifthoist_core.errors import LogExpiredError
from swifthoist_platform.log import (
    APPEND_COUNT_LIMIT,
    APPEND_LIMIT,
    READ_LIMIT,
    Appended,
    Bounds,
    LogEntry,
    find_oversize,
)
from swifthoist_standins.faults import FaultBoard, Faults
from swifthoist_standins.gate import (
    FaultGate,
    build,
    read_body,
    read_number,
    refusal,
    reply_msgpack,
)
from swifthoist_standins.streams import Retention, Stream

STREAM_LIMIT = 16
"""Greatest number of streams."""

LONGEST_WAIT_MS = 60_000
"""Longest wait of a read, in ms."""

_FRAME_BYTES = 5
_BODY_LIMIT = APPEND_LIMIT + _FRAME_BYTES * (APPEND_COUNT_LIMIT + 1)
_MS_PER_S = 1000
_payloads = msgspec.msgpack.Decoder(list[bytes])


class LogService:
    """The log: streams in memory."""

    def __init__(self, clock: Clock, retention: Retention) -> None:
        """Start without a stream.

        :param clock: stamps the records.
        :param retention: how long each stream keeps records.
        """
        self._clock = clock
        self._retention = retention
        self._streams: dict[str, Stream] = {}
        self._grown = anyio.Event()

    def append(self, name: str, payloads: list[bytes]) -> Appended:
        """Add records to a stream.

        :param name: name of the stream.
        :param payloads: the records.
        :returns: the reply.
        """
        now_ms = self._clock.wall_ms()
        offset = self._stream(name).append(payloads, now_ms)
        self._grown.set()
        self._grown = anyio.Event()
        return Appended(offset)

    async def read(
        self, name: str, start: int, limit: int, wait_ms: int
    ) -> tuple[LogEntry, ...]:
        """Read records, waiting for the first one.

        :param name: name of the stream.
        :param start: offset of the first one wanted.
        :param limit: greatest number of records.
        :param wait_ms: how long to wait, in ms.
        :returns: the records; none when the wait was in vain.
        """
        found = self._read_now(name, start, limit)
        with anyio.move_on_after(wait_ms / _MS_PER_S):
            while not found:
                await self._grown.wait()
                found = self._read_now(name, start, limit)
        return found

    def bounds(self, name: str) -> Bounds:
        """Find what a stream holds.

        :param name: name of the stream.
        :returns: its bounds.
        """
        stream = self._streams.get(name)
        if stream is None:
            return Bounds(0, 0)
        stream.forget(self._clock.wall_ms())
        return stream.bounds

    def show(self, faults: Faults) -> None:
        """Show the faults that are the log's own.

        :param faults: the faults that were set.
        """
        before = faults.get('expire_before', 0)
        only = faults.get('expire_stream', '')
        for name, stream in self._streams.items():
            if only in {'', name}:
                stream.expire(before)

    def _read_now(
        self, name: str, start: int, limit: int
    ) -> tuple[LogEntry, ...]:
        stream = self._streams.get(name)
        if stream is None:
            return ()
        stream.forget(self._clock.wall_ms())
        return stream.read(start, limit)

    def _stream(self, name: str) -> Stream:
        if name not in self._streams and len(self._streams) >= STREAM_LIMIT:
            raise refusal(403, 'too many streams')
        return self._streams.setdefault(name, Stream(self._retention))


class _LogHandlers:
    """What the log serves over HTTP."""

    def __init__(self, service: LogService) -> None:
        """Keep the log.

        :param service: the log.
        """
        self._service = service

    async def append(self, request: Request) -> Response:
        """Serve ``POST /log/{stream}``."""
        try:
            payloads = _payloads.decode(await read_body(request, _BODY_LIMIT))
        except msgspec.DecodeError as exc:
            raise refusal(400, str(exc)) from exc
        if find_oversize(payloads):
            raise refusal(413)
        appended = self._service.append(_stream_of(request), payloads)
        return reply_msgpack(appended)

    async def read(self, request: Request) -> Response:
        """Serve ``GET /log/{stream}``."""
        name = _stream_of(request)
        try:
            found = await self._service.read(
                name,
                read_number(request, 'start', 0),
                min(read_number(request, 'limit', READ_LIMIT), READ_LIMIT),
                min(read_number(request, 'wait_ms', 0), LONGEST_WAIT_MS),
            )
        except LogExpiredError:
            return reply_msgpack(self._service.bounds(name), 410)
        return reply_msgpack(found)

    async def bounds(self, request: Request) -> Response:
        """Serve ``GET /log/{stream}/bounds``."""
        return reply_msgpack(self._service.bounds(_stream_of(request)))


def _stream_of(request: Request) -> str:
    return str(request.path_params['stream'])


def build_log(clock: Clock, retention: Retention) -> FaultGate:
    """Build the application of the log.

    :param clock: stamps the records.
    :param retention: how long each stream keeps records.
    :returns: the application.
    """
    service = LogService(clock, retention)
    handlers = _LogHandlers(service)
    own = frozenset(('expire_before', 'expire_stream'))
    board = FaultBoard(clock, own, service.show)
    routes = (
        Route('/log/{stream}', handlers.append, methods=['POST']),
        Route('/log/{stream}', handlers.read, methods=['GET']),
        Route('/log/{stream}/bounds', handlers.bounds, methods=['GET']),
    )
    return build(routes, board)
