"""Callers: send one request or job over HTTP and tell what became of it."""

from typing import NamedTuple, NotRequired, TypedDict

import anyio
import httpx
import msgspec

from swifthoist_cli.mixes import JobKind, Kind, RequestKind
from swifthoist_cli.verdicts import Outcome, Verdict

_POLL_S = 0.2
_MARGIN_S = 2.0
_MS_PER_S = 1_000
_OK = 200
_ACCEPTED = (200, 201, 202)
_CLIENT_ERROR = 400
_SERVER_ERROR = 500
_FAILED_JOBS = frozenset(('failed', 'cancelled', 'unknown'))


class Target(NamedTuple):
    """Whom the caller is, and in which run.

    :ivar token: the owner's token.
    :ivar run_id: prefix of the idempotency keys of this run.
    """

    token: str
    run_id: str


class _Refusal(TypedDict, total=False):
    outcome: str
    reason: str


class _JobView(TypedDict):
    job_id: str
    status: str
    reason: NotRequired[str]


class Caller:
    """Sends requests and jobs, and never sends one twice."""

    def __init__(self, client: httpx.AsyncClient, target: Target) -> None:
        """Prepare the caller.

        :param client: the client to send with.
        :param target: whom the caller is.
        """
        self._client = client
        self._target = target

    async def call(
        self, address: str, kind: Kind, index: int, grace_s: float
    ) -> Verdict:
        """Send one request or job and wait for its end.

        :param address: ``host:port`` of an entry instance.
        :param kind: what to send.
        :param index: number in the run, which makes the key.
        :param grace_s: how long to wait for the end of a job, in s.
        :returns: what became of it.
        """
        key = f'{self._target.run_id}-{index}'
        try:
            match kind:
                case RequestKind():
                    return await self._request(address, kind, key)
                case JobKind():
                    return await self._job(address, kind, key, grace_s)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
            return Verdict(Outcome.NOT_RUN, 'instance not reached')
        except httpx.TransportError as exc:
            return Verdict(Outcome.UNKNOWN, type(exc).__name__)
        except msgspec.DecodeError:
            return Verdict(Outcome.UNKNOWN, 'malformed answer')

    async def _request(
        self, address: str, kind: RequestKind, key: str
    ) -> Verdict:
        headers = {
            'Authorization': f'Bearer {self._target.token}',
            'Idempotency-Key': key,
            'X-Idempotent': 'true' if kind.idempotent else 'false',
            'X-Deadline-Ms': str(kind.deadline_ms),
        }
        reply = await self._client.post(
            f'http://{address}/v1/requests/{kind.class_name}',
            content=bytes(kind.size),
            headers=headers,
            timeout=kind.deadline_ms / _MS_PER_S + _MARGIN_S,
        )
        return verdict_of(reply)

    async def _job(
        self, address: str, kind: JobKind, key: str, grace_s: float
    ) -> Verdict:
        headers = {'Authorization': f'Bearer {self._target.token}'}
        body = {
            'class': kind.class_name,
            'shape': {
                **kind.shape._asdict(),
                'adjacency': kind.shape.adjacency,
            },
            'idempotent': kind.idempotent,
            'expected_ms': kind.expected_ms,
            'steps': '',
            'key': key,
        }
        url = f'http://{address}/v1/jobs'
        reply = await self._client.post(
            url, json=body, headers=headers, timeout=_MARGIN_S + grace_s
        )
        if reply.status_code not in _ACCEPTED:
            return verdict_of(reply)
        view = msgspec.json.decode(reply.content, type=_JobView)
        with anyio.move_on_after(grace_s):
            return await self._follow(f'{url}/{view["job_id"]}', headers)
        return Verdict(Outcome.UNKNOWN, 'not ended in time')

    async def _follow(self, url: str, headers: dict[str, str]) -> Verdict:
        while True:
            verdict = await self._look(url, headers)
            if verdict is not None:
                return verdict
            await anyio.sleep(_POLL_S)

    async def _look(self, url: str, headers: dict[str, str]) -> Verdict | None:
        try:
            reply = await self._client.get(url, headers=headers)
        except httpx.TransportError:
            return None
        if reply.status_code != _OK:
            return None
        return _job_verdict(msgspec.json.decode(reply.content, type=_JobView))


def verdict_of(reply: httpx.Response) -> Verdict:
    """Tell what an answer says became of a request.

    An error that does not say "not run" leaves it unknown, unless the
    request was faulty.

    :param reply: the answer.
    :returns: the verdict.
    """
    if reply.status_code == _OK:
        return Verdict(Outcome.DONE)
    try:
        refusal = msgspec.json.decode(reply.content, type=_Refusal)
    except msgspec.DecodeError:
        refusal = _Refusal()
    reason = refusal.get('reason') or f'status {reply.status_code}'
    if refusal.get('outcome') == Outcome.NOT_RUN.value:
        return Verdict(Outcome.NOT_RUN, reason)
    faulty = _CLIENT_ERROR <= reply.status_code < _SERVER_ERROR
    if faulty and 'outcome' not in refusal:
        return Verdict(Outcome.NOT_RUN, reason)
    return Verdict(Outcome.UNKNOWN, reason)


def _job_verdict(view: _JobView) -> Verdict | None:
    status = view['status']
    if status == 'done':
        return Verdict(Outcome.DONE)
    if status == 'refused':
        return Verdict(Outcome.NOT_RUN, view.get('reason') or status)
    if status in _FAILED_JOBS:
        return Verdict(Outcome.UNKNOWN, f'job {status}')
    return None
