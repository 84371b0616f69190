"""The store stand-in's calls."""

import base64
import math
import struct
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import NamedTuple

import anyio

from swifthoist_core.types import Millis
from swifthoist_emulator.faults import Fault, Faults, Harm
from swifthoist_emulator.http import Request, Response, answer_json
from swifthoist_emulator.topics import Numbered, Topic
from swifthoist_platform import names
from swifthoist_platform.store import MAX_READ_KB

KEEP_MS = 300_000
PAGE = 500
KEYED = 'keyed.'

_KB = 1_024

_HEAD = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class _Append(NamedTuple):
    topic: Topic
    records: list[bytes]
    numbered: Numbered | None


class Store:
    """The store.

    :ivar topics: topics by name.
    :ivar read_bytes_s: rate of all reads together, in bytes a second. Answers
        are served one after the other, also for callers that have gone.
    """

    def __init__(self, faults: Faults, now_ms: Callable[[], Millis]) -> None:
        """Start empty.

        :param faults: what goes wrong.
        :param now_ms: tells the store's time.
        """
        self.topics: dict[str, Topic] = {}
        self.read_bytes_s = math.inf
        self._reading = anyio.Lock()
        self._faults = faults
        self._now_ms = now_ms
        self._grown = anyio.Event()

    def topic(self, name: str) -> Topic:
        """Find a topic; it is made on first use.

        :param name: its name.
        :returns: the topic.
        """
        found = self.topics.get(name)
        if found is None:
            found = Topic(keyed=name.startswith(KEYED))
            self.topics[name] = found
        return found

    def put(self, topic: str, key: str, content: bytes) -> None:
        """Write the newest record of a key, as operators and runners do.

        :param topic: a keyed topic.
        :param key: the key.
        :param content: its value; empty drops the key.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + content
        self.topic(topic).append([record], self._now_ms())
        self._announce()

    async def answer(self, request: Request) -> Response:
        """Answer a call.

        :param request: the call.
        :returns: the answer.
        """
        call = request.path.removeprefix(names.ROOT)
        match call:
            case names.LOG_APPEND:
                return await self._append(request)
            case names.LOG_READ:
                return await self._guard(self._read, request)
            case names.LOG_NEWEST:
                return await self._guard(self._newest, request)
            case _:
                return Response(404)

    async def _guard(
        self, serve: Callable[[Request], Awaitable[Response]], request: Request
    ) -> Response:
        fault = self._faults.store_reads
        match self._faults.draw(fault, _caller(request)):
            case Harm.BUSY:
                return Response(503)
            case Harm.SILENT | Harm.LOST | Harm.LATE:
                await self._faults.stay_silent()
            case Harm.SLOW:
                await anyio.sleep(fault.delay_s)
            case _:
                pass
        response = await serve(request)
        if math.isfinite(self.read_bytes_s):
            async with self._reading:
                await anyio.sleep(len(response.content) / self.read_bytes_s)
        return response

    async def _append(self, request: Request) -> Response:
        append = self._decode(request)
        fault = self._faults.store_writes
        match self._faults.draw(fault, _caller(request)):
            case Harm.BUSY:
                return Response(503)
            case Harm.SILENT:
                await self._faults.stay_silent()
            case Harm.SLOW:
                await anyio.sleep(fault.delay_s)
            case Harm.LOST:
                self._store(append)
                await self._faults.stay_silent()
            case Harm.LATE:
                await self._store_late(append, fault)
            case _:
                pass
        return self._store(append)

    async def _store_late(self, append: _Append, fault: Fault) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.sleep(fault.delay_s)
            self._store(append)
        await self._faults.stay_silent()

    def _decode(self, request: Request) -> _Append:
        query = request.query
        numbered = None
        if names.PRODUCER in query:
            numbered = Numbered(
                query[names.PRODUCER],
                int(query[names.EPOCH]),
                int(query[names.SEQUENCE]),
            )
        topic = self.topic(query[names.TOPIC])
        return _Append(topic, _split(request.content), numbered)

    def _store(self, append: _Append) -> Response:
        done = append.topic.append(
            append.records, self._now_ms(), append.numbered
        )
        self._announce()
        document: dict[str, object] = {
            names.OFFSET: done.offset,
            names.END_OFFSET: done.end,
        }
        if done.reason:
            document = {names.REASON: done.reason, names.END_OFFSET: done.end}
        return answer_json(done.status, document)

    def _announce(self) -> None:
        self._grown.set()
        self._grown = anyio.Event()

    async def _read(self, request: Request) -> Response:
        topic = self.topic(request.query[names.TOPIC])
        topic.expire(self._now_ms() - KEEP_MS)
        start = int(request.query[names.START_KEY])
        wait_s = int(request.query.get(names.WAIT_MS, '0')) / 1_000
        with anyio.move_on_after(wait_s):
            while topic.end <= start:
                await self._grown.wait()
        records = topic.read(start)
        if records is None:
            return answer_json(410, {names.FIRST_OFFSET: topic.first})
        head = _HEAD.pack(topic.end, topic.first)
        max_kb = int(request.query.get(names.MAX_KB, str(MAX_READ_KB)))
        taken = _take(records, max_kb * _KB)
        framed = (_LENGTH.pack(len(item)) + item for item in taken)
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
            for key in keys[:PAGE]
        ]
        return answer_json(
            200,
            {
                names.ITEMS: items,
                names.HAS_MORE: len(keys) > PAGE,
                names.END_OFFSET: topic.end,
            },
        )


def _caller(request: Request) -> str:
    return request.headers.get('user-agent', '')


def _take(records: Iterable[bytes], most: int) -> Iterator[bytes]:
    """Take the records of one answer: one at least, then up to a size."""
    size = 0
    for record in records:
        if size and size + len(record) > most:
            return
        size += len(record)
        yield record


def _split(content: bytes) -> list[bytes]:
    records: list[bytes] = []
    position = 0
    while position < len(content):
        length = _LENGTH.unpack_from(content, position)[0]
        position += _LENGTH.size
        records.append(content[position : position + length])
        position += length
    return records
