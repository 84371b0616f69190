"""Client of the platform's list of instances, runners and workers."""

from collections.abc import Mapping
from typing import Literal, NamedTuple, TypeAlias

import httpx
import msgspec

from swifthoist_core.errors import (
    OutcomeUnknownError,
    SwifthoistError,
    UnreachableError,
)
from swifthoist_core.types import InstanceId, Millis, RackId, ZoneId
from swifthoist_platform.calls import Call, Reply, send

Kind: TypeAlias = Literal['entry', 'runner', 'worker']
Presence: TypeAlias = Literal['live', 'leaving']

_OK = 200
_NO_CONTENT = 204
_CONFLICT = 409
_TIMEOUT_S = 2.0


class Listed(NamedTuple):
    """One line of the list; on the wire a JSON object of these fields.

    :ivar instance_id: id, unique in the list.
    :ivar kind: what it is.
    :ivar address: ``host:port`` with an IP number.
    :ivar peer_address: address for other entry instances, else empty.
    :ivar zone: availability zone.
    :ivar rack: rack within the zone, for workers.
    :ivar incarnation: start of this life, ms since the epoch.
    :ivar state: live or leaving.
    :ivar service: the service that a runner belongs to, else empty.
    :ivar accelerators: accelerators of a worker.
    :ivar cores: processor cores of a worker.
    :ivar memory_mib: memory of a worker, in MiB.
    """

    instance_id: InstanceId
    kind: Kind
    address: str
    peer_address: str = ''
    zone: ZoneId = ''
    rack: RackId = ''
    incarnation: Millis = 0
    state: Presence = 'live'
    service: str = ''
    accelerators: int = 0
    cores: int = 0
    memory_mib: int = 0


class ListUnavailableError(SwifthoistError):
    """The list did not answer, or refused to."""


class SupersededError(SwifthoistError):
    """A newer incarnation of the same instance is in the list."""


_objects = msgspec.json.Decoder(list[dict[str, str | int]])
_object = msgspec.json.Decoder(dict[str, str | int])


def from_object(fields: Mapping[str, object]) -> Listed:
    """Read one line of the list.

    :param fields: its fields by name; unknown ones are passed over.
    :returns: the line.
    :raises msgspec.ValidationError: when a field is missing or wrong.
    """
    defaults = Listed._field_defaults
    values = [fields.get(name, defaults.get(name)) for name in Listed._fields]
    return msgspec.convert(values, Listed)


def decode_listed(body: bytes) -> Listed:
    """Read one line of the list from JSON.

    :param body: a JSON object.
    :returns: the line.
    :raises msgspec.DecodeError: when it is malformed.
    """
    return from_object(_object.decode(body))


def encode_list(lines: tuple[Listed, ...]) -> bytes:
    """Write the list as JSON.

    :param lines: the lines.
    :returns: a JSON array of objects.
    """
    return msgspec.json.encode([line._asdict() for line in lines])


class InstanceClient:
    """Reads the list and keeps lines of it up."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        base_url: str,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Keep where the list is.

        :param http: client whose connections are used.
        :param base_url: URL of the list.
        :param timeout_s: time for each call, in seconds.
        """
        self._http = http
        self._url = f'{base_url.rstrip("/")}/instances'
        self._timeout_s = timeout_s

    async def list(self) -> tuple[Listed, ...]:
        """Read the list, which lags behind.

        :returns: its lines, by id.
        :raises ListUnavailableError: when it did not answer.
        """
        reply = await self._call('GET', self._url)
        try:
            return tuple(map(from_object, _objects.decode(reply.content)))
        except msgspec.DecodeError as exc:
            raise ListUnavailableError('the list is malformed') from exc

    async def register(self, listed: Listed) -> None:
        """Put an instance on the list, or send its heartbeat; idempotent.

        :param listed: the instance.
        :raises SupersededError: when a newer incarnation is listed.
        :raises ListUnavailableError: when the list did not answer.
        """
        body = msgspec.json.encode(listed._asdict())
        await self._call('POST', self._url, body)

    async def leaving(self, instance_id: InstanceId) -> None:
        """Mark an instance as leaving; idempotent.

        :param instance_id: the instance.
        :raises ListUnavailableError: when the list did not answer.
        """
        await self._call('POST', f'{self._url}/{instance_id}/leaving')

    async def remove(self, instance_id: InstanceId) -> None:
        """Take an instance off the list; idempotent.

        :param instance_id: the instance.
        :raises ListUnavailableError: when the list did not answer.
        """
        await self._call('DELETE', f'{self._url}/{instance_id}')

    async def _call(self, method: str, url: str, body: bytes = b'') -> Reply:
        call = Call(method, url, self._timeout_s, body)
        try:
            reply = await send(self._http, call)
        except (UnreachableError, OutcomeUnknownError) as exc:
            raise ListUnavailableError(str(exc)) from exc
        if reply.status == _CONFLICT:
            raise SupersededError(url)
        if reply.status not in {_OK, _NO_CONTENT}:
            raise ListUnavailableError(f'the list answered {reply.status}')
        return reply
