"""Client of the platform's append-only log."""

from collections.abc import Sequence
from typing import NamedTuple, TypeVar

import httpx
import msgspec

from swifthoist_core.errors import (
    Finding,
    LogExpiredError,
    LogUnavailableError,
    OutcomeUnknownError,
    UnreachableError,
    raise_findings,
)
from swifthoist_platform.calls import Call, Reply, send

RECORD_LIMIT = 512 * 1024
"""Greatest size of one record, in bytes."""

APPEND_LIMIT = 1024 * 1024
"""Greatest size of the records of one append together, in bytes."""

APPEND_COUNT_LIMIT = 4096
"""Greatest number of records in one append."""

READ_LIMIT = 4096
"""Greatest number of records in one reply to a read."""

_OK = 200
_EXPIRED = 410
_NOT_SERVED = 503
_READ_GRACE_S = 2.0
_MS_PER_S = 1000
_Body = TypeVar('_Body')


class LogEntry(NamedTuple):
    """A record as the log holds it.

    :ivar offset: position in the stream, from 0.
    :ivar time_ms: time of the append by the log's clock, which never goes
        back within a stream.
    :ivar payload: the record's bytes.
    """

    offset: int
    time_ms: int
    payload: bytes


class Bounds(NamedTuple):
    """What a stream holds now.

    :ivar earliest: offset of the oldest record that is still held.
    :ivar end: offset that the next record will get.
    """

    earliest: int
    end: int


class Appended(NamedTuple):
    """Reply to an append.

    :ivar offset: offset of the first record.
    """

    offset: int


_encoder = msgspec.msgpack.Encoder()
_appended = msgspec.msgpack.Decoder(Appended)
_bounds = msgspec.msgpack.Decoder(Bounds)
_entries = msgspec.msgpack.Decoder(tuple[LogEntry, ...])


def find_oversize(payloads: Sequence[bytes]) -> tuple[Finding, ...]:
    """Check an append against the limits of the log.

    :param payloads: the records of one append.
    :returns: everything that is wrong with it.
    """
    findings = [
        Finding(f'payloads[{index}]', f'is over {RECORD_LIMIT} bytes')
        for index, payload in enumerate(payloads)
        if len(payload) > RECORD_LIMIT
    ]
    if sum(map(len, payloads)) > APPEND_LIMIT:
        findings.append(Finding('payloads', f'are over {APPEND_LIMIT} bytes'))
    if not 0 < len(payloads) <= APPEND_COUNT_LIMIT:
        problem = f'must be 1 to {APPEND_COUNT_LIMIT} records'
        findings.append(Finding('payloads', problem))
    return tuple(findings)


class LogClient:
    """Appends to the streams of the log and reads them."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        base_url: str,
        read_grace_s: float = _READ_GRACE_S,
    ) -> None:
        """Keep where the log is.

        :param http: client whose connections are used.
        :param base_url: URL of the log, such as ``http://127.0.0.1:7001``.
        :param read_grace_s: time for a read beyond its wait, in seconds.
        """
        self._http = http
        self._base_url = base_url.rstrip('/')
        self._read_grace_s = read_grace_s

    async def append(
        self, stream: str, payloads: Sequence[bytes], timeout_s: float
    ) -> int:
        """Append records, all of them or none, next to each other.

        :param stream: name of the stream.
        :param payloads: the records.
        :param timeout_s: time for the whole call, in seconds.
        :returns: offset of the first record.
        :raises InvalidInputError: when the records are over the limits.
        :raises LogUnavailableError: when the records were not appended.
        :raises OutcomeUnknownError: when they may or may not have been.
        """
        raise_findings('append', find_oversize(payloads))
        body = _encoder.encode(payloads)
        call = Call('POST', self._url(stream), timeout_s, body)
        reply = await self._send(call)
        if reply.status == _NOT_SERVED or 400 <= reply.status < 500:
            raise LogUnavailableError(f'the log answered {reply.status}')
        if reply.status != _OK:
            raise OutcomeUnknownError(f'the log answered {reply.status}')
        try:
            return _appended.decode(reply.content).offset
        except msgspec.DecodeError as exc:
            raise OutcomeUnknownError('the reply has no offset') from exc

    async def read(
        self, stream: str, start: int, limit: int, wait_s: float
    ) -> tuple[LogEntry, ...]:
        """Read records in offset order, waiting for the first one.

        :param stream: name of the stream.
        :param start: offset of the first record wanted.
        :param limit: greatest number of records, at least 1.
        :param wait_s: how long to wait for the first record, in seconds.
        :returns: the records; none when the wait was in vain.
        :raises LogExpiredError: when ``start`` is no longer held.
        :raises LogUnavailableError: when the log did not answer.
        """
        wait_ms = int(wait_s * _MS_PER_S)
        query = f'start={start}&limit={limit}&wait_ms={wait_ms}'
        url = f'{self._url(stream)}?{query}'
        reply = await self._get(url, wait_s + self._read_grace_s)
        return _decode(_entries, reply)

    async def bounds(self, stream: str) -> Bounds:
        """Find what a stream holds.

        :param stream: name of the stream.
        :returns: its bounds; both 0 for a stream without records.
        :raises LogUnavailableError: when the log did not answer.
        """
        url = f'{self._url(stream)}/bounds'
        return _decode(_bounds, await self._get(url, self._read_grace_s))

    def _url(self, stream: str) -> str:
        return f'{self._base_url}/log/{stream}'

    async def _get(self, url: str, timeout_s: float) -> Reply:
        try:
            reply = await self._send(Call('GET', url, timeout_s))
        except OutcomeUnknownError as exc:
            raise LogUnavailableError(str(exc)) from exc
        if reply.status == _EXPIRED:
            raise LogExpiredError(_decode(_bounds, reply).earliest)
        if reply.status != _OK:
            raise LogUnavailableError(f'the log answered {reply.status}')
        return reply

    async def _send(self, call: Call) -> Reply:
        try:
            return await send(self._http, call)
        except UnreachableError as exc:
            raise LogUnavailableError(str(exc)) from exc


def _decode(decoder: msgspec.msgpack.Decoder[_Body], reply: Reply) -> _Body:
    try:
        return decoder.decode(reply.content)
    except msgspec.DecodeError as exc:
        raise LogUnavailableError('the reply of the log is malformed') from exc
