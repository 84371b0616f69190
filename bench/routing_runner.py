"""Runners for the bench: several HTTP servers in one process of their own.

It prints its ports on one line and serves until its input ends.  Each runner
takes orders over ``POST /order/<mode>`` and reports over ``GET /stats``.
"""

import sys
from collections import Counter
from random import Random
from typing import NamedTuple

import anyio
import h11
import msgspec
from anyio.abc import SocketAttribute, SocketStream

_SLOTS = 8
_READ_BYTES = 65_536
_SLOW_FACTOR = 10
_FLAKY_RATIO = 0.5
_HTTP_OK = 200
_HTTP_FAILED = 500
_HTTP_AWAY = 503


class Stats(NamedTuple):
    """What one runner has seen.

    :ivar started: requests that it began to run.
    :ivar finished: requests that it ran to the end.
    :ivar overruns: requests that came while every slot was in use.
    :ivar most_open: most connections open at one time.
    :ivar last_s: when the last one came, on the monotonic clock.
    :ivar twice: requests that it ran more than once.
    """

    started: int
    finished: int
    overruns: int
    most_open: int
    last_s: float
    twice: int


class _Reply(NamedTuple):
    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class _Runner:
    """One runner with its slots."""

    def __init__(self, delay_s: float) -> None:
        self._delay_s = delay_s
        self._slots = anyio.CapacityLimiter(_SLOTS)
        self._mode = 'normal'
        self._rng = Random(7)
        self._silenced = 0
        self._ran: Counter[bytes] = Counter()
        self._started = 0
        self._finished = 0
        self._overruns = 0
        self._open = 0
        self._most_open = 0
        self._last_s = float(0)
        self._idle: set[SocketStream] = set()

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self._open += 1
        self._most_open = max(self._most_open, self._open)
        try:
            async with stream:
                await self._converse(stream, self._silenced)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        except (h11.RemoteProtocolError, anyio.EndOfStream):
            return
        finally:
            self._open -= 1

    async def _converse(self, stream: SocketStream, silenced: int) -> None:
        conn = h11.Connection(h11.SERVER)
        while True:
            self._idle.add(stream)
            try:
                request, body = await _receive(conn, stream)
            finally:
                self._idle.remove(stream)
            if self._silenced > silenced:
                # Something between the two ends has lost track of it.
                await anyio.sleep_forever()
            reply = await self._reply(request, body)
            await _send(conn, stream, request, reply)
            conn.start_next_cycle()

    async def _reply(self, request: h11.Request, body: bytes) -> _Reply:
        path = request.target.decode()
        if path == '/stats':
            return _Reply(_HTTP_OK, msgspec.json.encode(self._stats()))
        if path.startswith('/order/'):
            return await self._obey(path.removeprefix('/order/'))
        if path != '/health':
            self._last_s = anyio.current_time()
        if self._mode == 'leaving':
            headers = (('X-Leaving', '1'), ('X-Not-Run', '1'))
            return _Reply(_HTTP_AWAY, b'leaving', headers)
        if path == '/health':
            return _Reply(_HTTP_OK, b'well')
        return await self._work(request, body)

    async def _work(self, request: h11.Request, body: bytes) -> _Reply:
        flaky = self._mode == 'flaky' and self._rng.random() < _FLAKY_RATIO
        if flaky or self._mode == 'failing':
            return _Reply(_HTTP_FAILED, b'failed')
        self._overruns += int(not self._slots.available_tokens)
        async with self._slots:
            self._started += 1
            self._ran[dict(request.headers)[b'idempotency-key']] += 1
            slow = _SLOW_FACTOR if self._mode == 'slow' else 1
            if self._delay_s:
                await anyio.sleep(self._delay_s * slow)
            self._finished += 1
        return _Reply(_HTTP_OK, body)

    async def _obey(self, order: str) -> _Reply:
        match order:
            case 'silence':
                self._silenced += 1
            case 'restart':
                self._mode = 'normal'
                for stream in tuple(self._idle):
                    await stream.aclose()
            case _:
                self._mode = order
        return _Reply(_HTTP_OK, b'')

    def _stats(self) -> Stats:
        return Stats(
            self._started,
            self._finished,
            self._overruns,
            self._most_open,
            self._last_s,
            sum(int(count > 1) for count in self._ran.values()),
        )


async def _receive(
    conn: h11.Connection, stream: SocketStream
) -> tuple[h11.Request, bytes]:
    request = await _next_event(conn, stream)
    if not isinstance(request, h11.Request):
        raise anyio.EndOfStream
    chunks: list[bytes] = []
    event = await _next_event(conn, stream)
    while isinstance(event, h11.Data):
        chunks.append(bytes(event.data))
        event = await _next_event(conn, stream)
    return request, b''.join(chunks)


async def _next_event(conn: h11.Connection, stream: SocketStream) -> object:
    event = conn.next_event()
    while event is h11.NEED_DATA:
        conn.receive_data(await stream.receive(_READ_BYTES))
        event = conn.next_event()
    return event


async def _send(
    conn: h11.Connection,
    stream: SocketStream,
    request: h11.Request,
    reply: _Reply,
) -> None:
    asked = dict(request.headers)
    headers = [
        ('Content-Length', str(len(reply.body))),
        ('X-Request-Id', asked.get(b'x-request-id', b'').decode()),
        *reply.headers,
    ]
    head = conn.send(h11.Response(status_code=reply.status, headers=headers))
    content = conn.send(h11.Data(data=reply.body))
    end = conn.send(h11.EndOfMessage())
    await stream.send((head or b'') + (content or b'') + (end or b''))


async def _main(count: int, delay_s: float) -> None:
    async with anyio.create_task_group() as tasks:
        ports: list[int] = []
        for _ in range(count):
            listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
            ports.append(listener.extra(SocketAttribute.local_port))
            tasks.start_soon(listener.serve, _Runner(delay_s).serve)
        sys.stdout.write(f'{" ".join(map(str, ports))}\n')
        sys.stdout.flush()
        await anyio.to_thread.run_sync(sys.stdin.read)
        tasks.cancel_scope.cancel()


if __name__ == '__main__':
    anyio.run(_main, int(sys.argv[1]), float(sys.argv[2]))
