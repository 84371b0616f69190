"""HTTP calls of the emulated store."""

import base64
import math
import struct
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import NamedTuple

import anyio

from swifthoist_core.types import Millis
from swifthoist_emulator.faults import Fault, FaultEffect, Faults
from swifthoist_emulator.http import Request, Response, answer_json
from swifthoist_emulator.topics import AppendId, Topic
from swifthoist_platform import names
from swifthoist_platform.store import MAX_READ_KB

RETENTION_MS = 300_000
PAGE_SIZE = 500
RECORD_BYTES = 262_144
"""Largest record, in bytes; an append with a larger one is rejected."""

MAX_QUEUE_S = 2.0
"""Longest time that an append waits for its partition, in seconds; others are
refused."""

KEYED_PREFIX = 'keyed.'

_KB = 1_024

_READ_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')


class _Append(NamedTuple):
    topic: Topic
    records: list[bytes]
    append_id: AppendId | None


class Pace(NamedTuple):
    """How fast the store is.

    :ivar append_s: time that an append occupies its partition, in seconds.
        Others wait meanwhile, even if the caller has gone.
    :ivar answer_s: delay of every answer, in seconds.
    """

    append_s: float = 0
    answer_s: float = 0

    def slowed(self, factor: float) -> 'Pace':
        """Return the pace of a store that is slower by a factor.

        :param factor: the factor.
        :returns: its pace.
        """
        return Pace(self.append_s * factor, self.answer_s * factor)


USUAL_PACE = Pace(0.002, 0.004)
"""Pace of the platform's store."""

INSTANT = Pace()


class Store:
    """The emulated store.

    :ivar topics: topics by name.
    :ivar pace: how fast it is.
    :ivar queued_repeats: number of appends that came again while the same
        append was still queued.
    :ivar read_bytes_s: total rate of all reads, in bytes a second. Responses
        are served one after the other, also to callers that have gone.
    """

    def __init__(self, faults: Faults, now_ms: Callable[[], Millis]) -> None:
        """Start empty.

        :param faults: the injected faults.
        :param now_ms: returns the store's time.
        """
        self.topics: dict[str, Topic] = {}
        self.read_bytes_s = math.inf
        self.pace = INSTANT
        self.queued_repeats = 0
        self._queued: list[AppendId] = []
        self._partition_free_s = float(0)
        self._read_lock = anyio.Lock()
        self._faults = faults
        self._now_ms = now_ms
        self._appended = anyio.Event()

    def topic(self, name: str) -> Topic:
        """Return a topic; it is created on first use.

        :param name: its name.
        :returns: the topic.
        """
        found = self.topics.get(name)
        if found is None:
            found = Topic(keyed=name.startswith(KEYED_PREFIX))
            self.topics[name] = found
        return found

    def put(self, topic: str, key: str, content: bytes) -> None:
        """Write a record of a key, as operators and runners do.

        :param topic: a keyed topic.
        :param key: the key.
        :param content: its value; empty deletes the key.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + content
        self.topic(topic).append([record], self._now_ms())
        self._notify_readers()

    async def answer(self, request: Request) -> Response:
        """Answer a request.

        :param request: the request.
        :returns: the response.
        """
        call = request.path.removeprefix(names.ROOT)
        match call:
            case names.LOG_APPEND:
                return await self._append(request)
            case names.LOG_READ:
                return await self._read_with_faults(self._read, request)
            case names.LOG_NEWEST:
                return await self._read_with_faults(self._newest, request)
            case _:
                return Response(404)

    async def _read_with_faults(
        self, serve: Callable[[Request], Awaitable[Response]], request: Request
    ) -> Response:
        fault = self._faults.store_reads
        match self._faults.draw(fault, _caller(request)):
            case FaultEffect.BUSY:
                return Response(503)
            case FaultEffect.SILENT | FaultEffect.LOST | FaultEffect.LATE:
                await self._faults.hold_unanswered()
            case FaultEffect.SLOW:
                await anyio.sleep(fault.delay_s)
            case _:
                pass
        response = await serve(request)
        await anyio.sleep(self.pace.answer_s)
        if math.isfinite(self.read_bytes_s):
            async with self._read_lock:
                await anyio.sleep(len(response.content) / self.read_bytes_s)
        return response

    async def _append(self, request: Request) -> Response:
        append = self._decode(request)
        if any(len(record) > RECORD_BYTES for record in append.records):
            return Response(400)
        fault = self._faults.store_writes
        match self._faults.draw(fault, _caller(request)):
            case FaultEffect.BUSY:
                return Response(503)
            case FaultEffect.SILENT:
                await self._faults.hold_unanswered()
            case FaultEffect.SLOW:
                await anyio.sleep(fault.delay_s)
            case FaultEffect.LOST:
                self._store(append)
                await self._faults.hold_unanswered()
            case FaultEffect.LATE:
                await self._store_late(append, fault)
            case _:
                pass
        if self.pace == INSTANT:
            return self._store(append)
        response = await self._store_in_turn(append)
        await anyio.sleep(self.pace.answer_s)
        return response

    async def _store_in_turn(self, append: _Append) -> Response:
        now_s = anyio.current_time()
        begin_s = max(now_s, self._partition_free_s)
        if begin_s - now_s > MAX_QUEUE_S:
            return Response(503)
        if append.append_id is None:
            return self._store(append)
        self.queued_repeats += append.append_id in self._queued
        self._queued.append(append.append_id)
        self._partition_free_s = begin_s + self.pace.append_s
        with anyio.CancelScope(shield=True):
            await anyio.sleep(self._partition_free_s - now_s)
            self._queued.remove(append.append_id)
            response = self._store(append)
        return response

    async def _store_late(self, append: _Append, fault: Fault) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(fault.delay_s)
            self._store(append)
        await self._faults.hold_unanswered()

    def _decode(self, request: Request) -> _Append:
        query = request.query
        append_id = None
        if names.PRODUCER in query:
            append_id = AppendId(
                query[names.PRODUCER],
                int(query[names.EPOCH]),
                int(query[names.SEQUENCE]),
            )
        topic = self.topic(query[names.TOPIC])
        return _Append(topic, _split(request.content), append_id)

    def _store(self, append: _Append) -> Response:
        done = append.topic.append(
            append.records, self._now_ms(), append.append_id
        )
        self._notify_readers()
        document: dict[str, object] = {
            names.OFFSET: done.offset,
            names.END_OFFSET: done.end,
        }
        if done.reason:
            document = {names.REASON: done.reason, names.END_OFFSET: done.end}
        return answer_json(done.status, document)

    def _notify_readers(self) -> None:
        self._appended.set()
        self._appended = anyio.Event()

    async def _read(self, request: Request) -> Response:
        topic = self.topic(request.query[names.TOPIC])
        topic.expire(self._now_ms() - RETENTION_MS)
        start = int(request.query[names.START_KEY])
        wait_s = int(request.query.get(names.WAIT_MS, '0')) / 1_000
        with anyio.move_on_after(wait_s):
            while topic.end <= start:
                await self._appended.wait()
        records = topic.read(start)
        if records is None:
            return answer_json(410, {names.FIRST_OFFSET: topic.first})
        head = _READ_HEADER.pack(topic.end, topic.first)
        max_kb = int(request.query.get(names.MAX_KB, str(MAX_READ_KB)))
        chosen = _limit_size(records, max_kb * _KB)
        framed = (_RECORD_LENGTH.pack(len(item)) + item for item in chosen)
        return Response(200, head + b''.join(framed))

    async def _newest(self, request: Request) -> Response:
        topic = self.topic(request.query[names.TOPIC])
        after = request.query.get(names.DEPENDS_ON, '')
        newest = topic.newest()
        keys = sorted(key for key in newest if key > after)
        items = [
            {
                names.KEY: key,
                names.VALUE: base64.b64encode(newest[key]).decode(),
                names.OFFSET: 0,
            }
            for key in keys[:PAGE_SIZE]
        ]
        return answer_json(
            200,
            {
                names.ITEMS: items,
                names.HAS_MORE: len(keys) > PAGE_SIZE,
                names.END_OFFSET: topic.end,
            },
        )


def _caller(request: Request) -> str:
    return request.headers.get('user-agent', '')


def _limit_size(records: Iterable[bytes], max_bytes: int) -> Iterator[bytes]:
    """Yield the records of one response: at least one, then up to a size."""
    size = 0
    for record in records:
        if size and size + len(record) > max_bytes:
            return
        size += len(record)
        yield record


def _split(content: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(content):
        length = _RECORD_LENGTH.unpack_from(content, position)[0]
        position += _RECORD_LENGTH.size
        records.append(content[position : position + length])
        position += length
    return records
