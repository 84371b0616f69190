"""Callers of the demo: they retry as real ones do and note each answer."""

import enum
import hashlib
import itertools
import random
from typing import Any, NamedTuple

import anyio
import httpx

from swifthoist_core.documents import JobDocument
from swifthoist_core.tokens import Identity, Role, make_token

TRIES = 8
PAUSE_S = 0.15
CALL_S = 6.0
_OK = 200
_NOT_RUN_STATUSES = frozenset((429, 503))
_UNKNOWN_STATUS = 504

# An instance that takes no connection did not get the request either.
_UNREACHED = httpx.Response(503)


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    DONE = 'done'
    NOT_RUN = 'not run'
    UNKNOWN = 'unknown'


class Attempt(NamedTuple):
    """One call of a caller, which may have been made again elsewhere.

    :ivar owner: the team.
    :ivar key: idempotency key.
    :ivar idempotent: whether it may run more than once.
    :ivar ending: how it ended.
    :ivar is_whole: whether the answer was whole and to this request.
    """

    owner: str
    key: str
    idempotent: bool
    ending: Ending
    is_whole: bool


class Site(NamedTuple):
    """Where the demo runs.

    :ivar urls: base URLs of the entry instances.
    :ivar secret: key of the tokens.
    """

    urls: tuple[str, ...]
    secret: str


class Callers:
    """Every caller of the demo, over one pool of connections.

    :ivar attempts: every request with its ending.
    """

    def __init__(self, site: Site, http: httpx.AsyncClient) -> None:
        """Keep where to call.

        :param site: the instances.
        :param http: client whose connections are used.
        """
        self.attempts: list[Attempt] = []
        self._site = site
        self._http = http
        self._order = itertools.cycle(range(len(site.urls)))

    async def request(
        self, owner: str, class_name: str, key: str, *, idempotent: bool
    ) -> None:
        """Make a request, again through other instances if need be.

        The same key goes with every try, so that it runs at most once.

        :param owner: the team.
        :param class_name: class of work.
        :param key: idempotency key.
        :param idempotent: whether it may run more than once.
        """
        headers = self._headers(Identity(Role.OWNER, owner))
        headers['Idempotency-Key'] = key
        headers['X-Idempotent'] = str(idempotent).lower()
        body = f'{owner}/{class_name}/{key}'.encode()
        path = f'/v1/requests/{class_name}'
        endings: list[Ending] = []
        reply = None
        for _ in range(TRIES):
            reply = await self._post(path, headers, body)
            endings.append(_ending_of(reply))
            if endings[-1] is Ending.DONE:
                break
            if not idempotent and endings.count(Ending.UNKNOWN) > 1:
                break
            await anyio.sleep(PAUSE_S)
        ending = _sum_of(endings)
        is_whole = reply is not None and _is_whole(reply, key, body)
        self.attempts.append(Attempt(owner, key, idempotent, ending, is_whole))

    async def submit(self, owner: str, document: JobDocument) -> Any:
        """Submit a job, again through other instances if need be.

        :param owner: the team.
        :param document: the job; its key makes a second try harmless.
        :returns: the instance's answer, ``None`` if there was none.
        """
        identity = Identity(Role.OWNER, owner)
        for _ in range(TRIES):
            reply = await self.call('POST', '/v1/jobs', identity, document)
            if reply is not None and reply.status_code not in {
                *_NOT_RUN_STATUSES,
                _UNKNOWN_STATUS,
            }:
                return reply.json()
            await anyio.sleep(PAUSE_S)
        return None

    async def call(
        self,
        method: str,
        path: str,
        identity: Identity,
        content: object = None,
        accept: str = 'application/json',
    ) -> httpx.Response | None:
        """Make one call to the next instance in turn.

        :param method: HTTP method.
        :param path: path below the base URL.
        :param identity: who calls.
        :param content: document to send, ``None`` for none.
        :param accept: media type of the answer.
        :returns: the answer, ``None`` if there was none.
        """
        headers = {**self._headers(identity), 'Accept': accept}
        try:
            return await self._http.request(
                method,
                f'{self._next_url()}{path}',
                json=content,
                headers=headers,
                timeout=CALL_S,
            )
        except httpx.HTTPError:
            return None

    async def _post(
        self, path: str, headers: dict[str, str], body: bytes
    ) -> httpx.Response | None:
        try:
            return await self._http.post(
                f'{self._next_url()}{path}',
                content=body,
                headers=headers,
                timeout=CALL_S,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return _UNREACHED
        except httpx.HTTPError:
            return None

    def _next_url(self) -> str:
        return self._site.urls[next(self._order)]

    def _headers(self, identity: Identity) -> dict[str, str]:
        token = make_token(self._site.secret, identity)
        return {'Authorization': f'Bearer {token}'}


def some_key(rng: random.Random, prefix: str) -> str:
    """Make an idempotency key.

    :param rng: source of the key.
    :param prefix: what it is for.
    :returns: the key.
    """
    return f'{prefix}-{rng.getrandbits(64):016x}'


def _ending_of(reply: httpx.Response | None) -> Ending:
    if reply is None or reply.status_code == _UNKNOWN_STATUS:
        return Ending.UNKNOWN
    if reply.status_code == _OK:
        return Ending.DONE
    return Ending.NOT_RUN


def _sum_of(endings: list[Ending]) -> Ending:
    """Sum the tries up; one that may have run makes the whole unknown."""
    if Ending.DONE in endings:
        return Ending.DONE
    if Ending.UNKNOWN in endings:
        return Ending.UNKNOWN
    return Ending.NOT_RUN


def _is_whole(reply: httpx.Response, key: str, body: bytes) -> bool:
    if reply.status_code != _OK:
        return False
    content = reply.json()
    digest = hashlib.sha256(body).hexdigest()
    return bool(content['key'] == key and content['digest'] == digest)
