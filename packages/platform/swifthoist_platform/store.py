"""Client of the platform's store, which keeps records in topics.

A keyed topic keeps the newest record of each key.
"""

import math
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol
from urllib.parse import urlencode

import anyio

from swifthoist_core.errors import (
    AnswerLateError,
    LogExpiredError,
    LogSilentError,
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
)
from swifthoist_core.types import Offset
from swifthoist_platform import names
from swifthoist_platform.calls import Call, Patience, Reply
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.store_records import (
    Batch,
    KeyedListing,
    KeyedRecord,
    add_length,
    decode_page,
    parse_records,
)
from swifthoist_platform.values import read_json

OPERATOR_TOPIC = 'keyed.op'
RUNNER_TOPIC = 'keyed.servers'
STATUS_TOPIC = 'keyed.status'

CONFIG_KEY = 'config'
WAVE_PREFIX = 'wave/'
EVACUATION_PREFIX = 'evacuate/'
"""Prefix of a zone's name; the zone gets no new work while the key exists."""

MAX_READ_KB = 1_024

MAX_TIMED_BYTES = 16_384
"""Size of a reply up to which its time tells of the store and not of the link,
in bytes."""

READ_TIMEOUT_S = 1.0
"""Longest pause within a reply, in seconds: twice the queueing delay of a link
that counts as saturated."""

LINK_SHARE_DIVISOR = 2
"""A request body gets at least one half of the link's bandwidth, which it
shares with polls, replies to callers and reads of the log."""

PAGE_LIMIT = 200
"""Maximum number of pages of a keyed topic that one listing reads."""

_OK = 200
_CONFLICT = 409
_GONE = 410
_PRECONDITION_FAILED = 412
_REFUSED = frozenset((400, 403, 404, 413, 429, 503, 507))


class Conflict(StrEnum):
    """Why an append with a sequence number was rejected."""

    FENCED = 'fenced'
    SEQUENCE = 'seq'


class AppendConflictError(LogUnavailableError):
    """An append conflicts with another append of the same producer.

    :ivar conflict: the reason.
    """

    def __init__(self, conflict: Conflict) -> None:
        """Create the error.

        :param conflict: the reason.
        """
        super().__init__(f'append refused: {conflict}')
        self.conflict = conflict


class AppendRequest(NamedTuple):
    """Records to append to a topic atomically.

    :ivar topic: name of the topic.
    :ivar records: the records.
    :ivar producer: name of the producer, which numbers its appends.
    :ivar sequence: number of this append. An append that is sent again with
        the same number takes effect only once.
    """

    topic: str
    records: Sequence[bytes]
    producer: str
    sequence: int


class AnswerTimer(Protocol):
    """Measures how long the store takes to answer."""

    def note_answer(self, took_s: float) -> None:
        """Note the time of an answer, without any time asked to wait."""


class StoreClient:
    """Appends to and reads topics of the store."""

    def __init__(
        self,
        endpoint: EndpointProtocol,
        link_bytes_s: float = math.inf,
        timer: AnswerTimer | None = None,
    ) -> None:
        """Create a client.

        :param endpoint: endpoint of the store.
        :param link_bytes_s: bandwidth of the machine's link, in bytes per
            second.
        :param timer: measures answers of reads; None for no measurement.
        """
        self._endpoint = endpoint
        self._link_bytes_s = link_bytes_s
        self._timer = timer

    async def append(
        self,
        batch: AppendRequest,
        timeout_s: float,
        patience: Patience | None = None,
    ) -> Offset:
        """Append records atomically.

        :param batch: the records.
        :param timeout_s: timeout of the call, in seconds, in addition to the
            time that the link needs for the records.
        :param patience: extends the timeout; None if nobody does.
        :returns: offset of the first record.
        :raises AppendConflictError: if the producer is fenced or the store
            expected another sequence number.
        :raises LogUnavailableError: if nothing was appended.
        :raises OutcomeUnknownError: if the records may have been appended.
        """
        query = urlencode(
            {
                names.TOPIC: batch.topic,
                names.PART: 0,
                names.PRODUCER: batch.producer,
                names.EPOCH: 1,
                names.SEQUENCE: batch.sequence,
            }
        )
        body = b''.join(map(add_length, batch.records))
        reply = await self._send(
            'POST',
            f'{names.LOG_APPEND}?{query}',
            timeout_s,
            body,
            patience=patience,
        )
        if reply.status == _CONFLICT:
            raise _conflict_error(reply)
        _expect_written(reply)
        return read_json(reply.content).integer(names.OFFSET)

    async def put(
        self, topic: str, key: str, content: bytes, timeout_s: float
    ) -> None:
        """Set the value of a key.

        :param topic: name of a keyed topic.
        :param key: the key, at most 255 bytes.
        :param content: its new value.
        :param timeout_s: timeout of the call, in seconds, in addition to the
            time that the link needs for the value.
        :raises LogUnavailableError: if the store rejected the call or could
            not be reached.
        :raises OutcomeUnknownError: if the value may have been written.
        """
        name = key.encode()
        record = add_length(bytes((len(name),)) + name + content)
        query = urlencode({names.TOPIC: topic, names.PART: 0})
        path = f'{names.LOG_APPEND}?{query}'
        _expect_written(await self._send('POST', path, timeout_s, record))

    async def read(
        self,
        topic: str,
        start: Offset,
        wait_s: float,
        timeout_s: float,
        max_kb: int = MAX_READ_KB,
    ) -> Batch:
        """Read records in order, waiting for the first one.

        :param topic: name of the topic.
        :param start: offset of the first record.
        :param wait_s: how long to wait for a record, in seconds.
        :param timeout_s: timeout until the reply begins, in seconds.
        :param max_kb: maximum size of the reply, in KB; a larger record may
            be left out.
        :returns: the records; empty if none was stored in time.
        :raises LogExpiredError: if the record at ``start`` has expired.
        :raises LogSilentError: if the reply timed out.
        :raises LogUnavailableError: if the store rejected the call or could
            not be reached.
        """
        query = urlencode(
            {
                names.TOPIC: topic,
                names.PART: 0,
                names.START_KEY: start,
                names.MAX_KB: max_kb,
                names.WAIT_MS: int(wait_s * 1_000),
            }
        )
        began = anyio.current_time()
        reply = await self._get(f'{names.LOG_READ}?{query}', timeout_s)
        if reply.status == _GONE:
            first = read_json(reply.content).integer(names.FIRST_OFFSET)
            raise LogExpiredError(first)
        _expect_ok(reply)
        batch = parse_records(start, reply.content)
        if self._timer is not None and len(reply.content) <= MAX_TIMED_BYTES:
            # How long a read with records waited for the first is unknown.
            if not wait_s or not batch.records:
                self._timer.note_answer(anyio.current_time() - began - wait_s)
        return batch

    async def newest(self, topic: str, timeout_s: float) -> KeyedListing:
        """Read the newest record of each key of a keyed topic.

        :param topic: name of the topic.
        :param timeout_s: timeout until each page begins, in seconds.
        :returns: the records, and the offset from which to continue reading.
            They may already include some records after this offset.
        :raises LogUnavailableError: if the store rejected the call or could
            not be reached.
        """
        items: list[KeyedRecord] = []
        first_end: Offset | None = None
        after = ''
        for _ in range(PAGE_LIMIT):
            query = {names.TOPIC: topic, names.PART: '0'}
            if after:
                query[names.DEPENDS_ON] = after
            path = f'{names.LOG_NEWEST}?{urlencode(query)}'
            reply = await self._get(path, timeout_s)
            _expect_ok(reply)
            page = decode_page(reply.content)
            items.extend(page.items)
            first_end = page.end if first_end is None else first_end
            if not page.has_more or page.last_key == after:
                break
            after = page.last_key
        return KeyedListing(tuple(items), first_end or 0)

    async def _get(self, path: str, timeout_s: float) -> Reply:
        try:
            return await self._send(
                'GET', path, timeout_s, read_timeout_s=READ_TIMEOUT_S
            )
        except AnswerLateError as exc:
            raise LogSilentError(str(exc)) from exc
        except OutcomeUnknownError as exc:
            raise LogUnavailableError(str(exc)) from exc

    async def _send(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b'',
        read_timeout_s: float = 0,
        patience: Patience | None = None,
    ) -> Reply:
        full_path = f'{names.ROOT}{path}'
        transfer_s = LINK_SHARE_DIVISOR * len(body) / self._link_bytes_s
        full_timeout_s = timeout_s + transfer_s
        call = Call(
            method,
            full_path,
            full_timeout_s,
            body,
            read_timeout_s=read_timeout_s,
            patience=patience,
        )
        try:
            return await self._endpoint.call(call)
        except UnreachableError as exc:
            raise LogUnavailableError(str(exc)) from exc


def _expect_ok(reply: Reply) -> None:
    if reply.status != _OK:
        raise LogUnavailableError(f'store returned HTTP {reply.status}')


def _expect_written(reply: Reply) -> None:
    if reply.status in _REFUSED:
        raise LogUnavailableError(f'store returned HTTP {reply.status}')
    if reply.status != _OK:
        raise OutcomeUnknownError(f'store returned HTTP {reply.status}')


def _conflict_error(reply: Reply) -> AppendConflictError:
    reason = read_json(reply.content).string(names.REASON)
    fenced = reason == Conflict.FENCED.value
    return AppendConflictError(Conflict.FENCED if fenced else Conflict.SEQUENCE)
