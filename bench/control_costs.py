"""What records and messages cost: bytes and processor time each."""

import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple, TypeAlias

import anyio
import httpx
import msgspec
from anyio.abc import SocketAttribute, SocketStream
from control_state import Builder, Size, counted, job, resident_mib, usage
from hypercorn.asyncio import serve
from hypercorn.config import Config
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from swifthoist_core import records
from swifthoist_core.catalogue import Entry, Work
from swifthoist_core.records import PartPlacement, Record
from swifthoist_core.shapes import GuaranteedShape, Shape, WorkerSpec
from swifthoist_platform.orders import PartKey, PartState, RenewOrder
from swifthoist_platform.workers import WorkerClient
from swifthoistd.gen.peer.ttypes import Heartbeat
from swifthoistd.members import Heard
from swifthoistd.peers import beat_of, heard_of
from swifthoistd.rpc import Channel, serve_channel

_ROUNDS = 5
_MESSAGES = 200
_NS_PER_US = 1_000
_FRAME_BYTES = 4
_CALL_BYTES = 10
HEARD = Heard(
    records.Author('entry-instance-12', 1_796_000_000_000),
    'zone-3',
    9_000_000,
    False,
    {f'runner-{number}': 3 for number in range(24)},
    0,
    {},
)
_BYTES_PER_MIB = 1_048_576


_Kind: TypeAlias = tuple[str, Callable[[int], Record]]


class Cost(NamedTuple):
    """What one record or message costs an instance.

    :ivar name: what it is.
    :ivar size: length, in bytes.
    :ivar cpu_us: processor time, in us.
    """

    name: str
    size: float
    cpu_us: float


def record_costs(builder: Builder, size: Size) -> Iterator[Cost]:
    """Decode and fold records of each kind on a ledger of some size.

    Of some rounds the least is taken, as others share the machine.
    """
    for label, make in _kinds(builder, size):
        samples = [_fold(builder, make(turn)) for turn in range(_ROUNDS)]
        least = min(samples, key=lambda cost: cost.cpu_us)
        yield least._replace(name=label)


def _kinds(builder: Builder, size: Size) -> Iterator[_Kind]:
    used = usage(size.gang, builder.now_ms - 1_000, builder.now_ms)
    place = tuple(
        PartPlacement(f'w{part % size.workers}', 0, 0)
        for part in range(size.gang)
    )
    spec = WorkerSpec('', 1, '10.1.0.1:80', 'z0', 'r0', 2, 64, 262_144)
    guarantee = (GuaranteedShape(Shape(1, 1)),)
    yield 'job_submitted', lambda turn: job(size, f'n{turn}', 0)
    yield (
        'job_placed',
        lambda turn: records.JobPlaced(1, f'n{turn}', 1, place, True),
    )
    yield 'job_started', lambda turn: records.JobStarted(1, f'n{turn}', 1)
    yield (
        'job_ended',
        lambda turn: records.JobEnded(1, f'n{turn}', 1, 'done', used),
    )
    yield 'cell_renewed', lambda turn: records.CellRenewed(1, 8_640_000_000)
    yield (
        'worker_joined',
        lambda turn: records.WorkerJoined(1, spec._replace(worker=f'x{turn}')),
    )
    yield 'worker_left', lambda turn: records.WorkerLeft(1, f'x{turn}', True)
    yield (
        'entry_changed',
        lambda turn: records.EntryChanged(
            'g', turn, Entry('g', 'g', 'g', Work.JOB, guarantee=guarantee), 'o'
        ),
    )
    yield 'requests_counted', lambda turn: counted(size.teams)
    yield (
        'request_intended',
        lambda turn: records.RequestIntended(
            f'0123456789abcdef-{turn}', 'team-0', 'check', 'd' * 32, 2_000
        ),
    )
    yield (
        'request_closed',
        lambda turn: records.RequestClosed(
            f'0123456789abcdef-{turn}', 'team-0', 'done', 200, bytes(200)
        ),
    )


def _fold(builder: Builder, record: Record) -> Cost:
    payload = builder.encode(record)
    started_ns = time.process_time_ns()
    builder.fold(payload)
    cpu_us = (time.process_time_ns() - started_ns) / _NS_PER_US
    return Cost('', len(payload), cpu_us)


def key_bytes(builder: Builder, keys: int = 20_000) -> float:
    """Weigh what is remembered of a request that is done."""
    before_mib = resident_mib()
    for number in range(keys):
        key = f'fedcba9876543210-{number}'
        digest = f'{number:032x}'
        builder.add(
            records.RequestIntended(key, 'team-0', 'check', digest, 2_000)
        )
        builder.add(
            records.RequestClosed(key, 'team-0', 'done', 200, bytes(200))
        )
    return (resident_mib() - before_mib) * _BYTES_PER_MIB / keys


def loop_ns(rounds: int = 1_000_000) -> float:
    """Time one turn of an empty loop, to tell how fast the machine is."""
    started_ns = time.process_time_ns()
    for _ in range(rounds):
        pass
    return (time.process_time_ns() - started_ns) / rounds


def heartbeat_cost(rounds: int = 2_000) -> Cost:
    """Send heartbeats over a connection and answer them, both ends here."""
    return anyio.run(_beat, rounds)


async def _beat(rounds: int) -> Cost:
    async with anyio.create_task_group() as group:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        group.start_soon(listener.serve, _answer_beats)
        port = listener.extra(SocketAttribute.local_port)
        stream = await anyio.connect_tcp('127.0.0.1', port)
        channel = Channel(stream)
        beat = beat_of(HEARD)
        started_ns = time.process_time_ns()
        for _ in range(rounds):
            await channel.call('beat', beat)
        cpu_us = (time.process_time_ns() - started_ns) / _NS_PER_US / rounds
        group.cancel_scope.cancel()
    return Cost('heartbeat', 2 * (_beat_bytes() + _FRAME_BYTES), cpu_us)


async def _answer_beats(stream: SocketStream) -> None:
    await serve_channel(Channel(stream), {'beat': _answer_beat})


async def _answer_beat(sender: Heartbeat) -> Heartbeat:
    return beat_of(heard_of(sender))


def _beat_bytes() -> int:
    buffer = TMemoryBuffer()
    beat_of(HEARD).write(TCompactProtocolAccelerated(buffer, fallback=True))
    return len(buffer.getvalue()) + _CALL_BYTES


def renewal_cost(parts: int) -> Cost:
    """Renew leases over HTTP on loopback, at a server of its own process."""
    command = (sys.executable, __file__)
    with subprocess.Popen(command, stdout=subprocess.PIPE) as server:
        try:
            port = int(server.stdout.readline())
            return min(
                (anyio.run(_renew, port, parts) for _ in range(_ROUNDS)),
                key=lambda cost: cost.cpu_us,
            )
        finally:
            server.terminate()


async def _renew(port: int, parts: int) -> Cost:
    keys = tuple(
        PartKey(f'job-{part * 17:016x}', 1, part) for part in range(parts)
    )
    states = tuple(
        PartState(*key, 'running', 1, 1_796_000_000_000, 0, '') for key in keys
    )
    async with httpx.AsyncClient(trust_env=False) as client:
        worker = WorkerClient(client, f'127.0.0.1:{port}')
        await worker.renew(RenewOrder(7, keys, 10_000))
        started_ns = time.process_time_ns()
        for _ in range(_MESSAGES):
            await worker.renew(RenewOrder(7, keys, 10_000))
        cpu_us = (time.process_time_ns() - started_ns) / _NS_PER_US / _MESSAGES
        url = f'http://127.0.0.1:{port}/renew'
        body = msgspec.msgpack.encode(RenewOrder(7, keys, 10_000))
        reply = await client.post(url, content=body)
    sent = _message_bytes(reply.request.headers, body)
    answer = _message_bytes(reply.headers, msgspec.msgpack.encode(states))
    return Cost('lease_renewal', sent + answer, cpu_us)


def _message_bytes(headers: httpx.Headers, body: bytes) -> int:
    lines = (len(name) + len(text) + 4 for name, text in headers.raw)
    return sum(lines) + len('POST /renew HTTP/1.1') + 4 + len(body)


async def _renewed(req: Request) -> Response:
    order = msgspec.msgpack.decode(await req.body(), type=RenewOrder)
    states = tuple(
        PartState(*key, 'running', 1, 1_796_000_000_000, 0, '')
        for key in order.leases
    )
    return Response(msgspec.msgpack.encode(states))


async def _serve() -> None:
    app = Starlette(routes=[Route('/renew', _renewed, methods=['POST'])])
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    sys.stdout.write(f'{listener.getsockname()[1]}\n')
    sys.stdout.flush()
    cfg = Config()
    cfg.loglevel = 'ERROR'
    cfg.bind = [f'fd://{listener.detach()}']
    await serve(app, cfg)


if __name__ == '__main__':
    anyio.run(_serve)
