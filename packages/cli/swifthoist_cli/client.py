"""The administration API as the command line calls it."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

import httpx
import msgspec

from swifthoist_core.errors import SwifthoistError

TIMEOUT_S = 15.0
"""Time for one call, in seconds."""

_CLIENT_ERROR = 400
_SERVICE_UNAVAILABLE = 503
_SERVER_ERROR = 500


class CallError(SwifthoistError):
    """A call was refused.

    :ivar status: HTTP status.
    :ivar problems: what was wrong.
    """

    def __init__(self, status: int, problems: tuple[str, ...]) -> None:
        """Keep what the instance said.

        :param status: HTTP status.
        :param problems: what was wrong.
        """
        super().__init__('; '.join(problems) or f'status {status}')
        self.status = status
        self.problems = problems


class NoInstanceError(SwifthoistError):
    """No instance could be reached, so nothing was done."""


class UnknownOutcomeError(SwifthoistError):
    """An instance did not answer; the call may have taken effect."""


class Target(NamedTuple):
    """Where to call.

    :ivar urls: base URLs of instances, any of which will do.
    """

    urls: tuple[str, ...]


class ApiClient:
    """Calls any of the instances; another one if one cannot be reached."""

    def __init__(self, target: Target) -> None:
        """Keep where to call.

        :param target: the instances.
        """
        self._target = target

    def call(
        self,
        method: str,
        path: str,
        content: bytes = b'',
        params: Mapping[str, str] | None = None,
    ) -> Any:
        """Make one call.

        :param method: HTTP method.
        :param path: path below the base URL.
        :param content: body.
        :param params: query parameters; empty ones are left out.
        :returns: the document.
        :raises CallError: when it was refused.
        :raises NoInstanceError: when no instance was reached.
        :raises UnknownOutcomeError: when there was no answer.
        """
        query = {name: text for name, text in (params or {}).items() if text}
        reply = self._call_any(method, path, content, query)
        if reply.status_code >= _CLIENT_ERROR:
            raise _to_error(reply)
        return _decode(reply)

    def _call_any(
        self, method: str, path: str, content: bytes, params: dict[str, str]
    ) -> httpx.Response:
        urls = list(self._target.urls)
        random.shuffle(urls)
        with httpx.Client(timeout=TIMEOUT_S, trust_env=False) as client:
            for url in urls:
                try:
                    return client.request(
                        method, f'{url}{path}', content=content, params=params
                    )
                except (httpx.ConnectError, httpx.ConnectTimeout):
                    continue
                except httpx.HTTPError as exc:
                    raise UnknownOutcomeError(f'{url}: {exc!r}') from exc
        raise NoInstanceError(f'no instance answers at {", ".join(urls)}')


class _ErrorDocument(TypedDict, total=False):
    error: list[str]


def _decode(reply: httpx.Response) -> Any:
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.DecodeError as exc:
        problem = f'{reply.url}: the answer is not of an instance'
        raise UnknownOutcomeError(problem) from exc


def _to_error(reply: httpx.Response) -> SwifthoistError:
    """Tell what a refusal means; a fault tells nothing of the outcome."""
    try:
        document = msgspec.json.decode(reply.content, type=_ErrorDocument)
    except msgspec.DecodeError:
        document = _ErrorDocument()
    problems = tuple(document.get('error', ()))
    status = reply.status_code
    if status >= _SERVER_ERROR and status != _SERVICE_UNAVAILABLE:
        return UnknownOutcomeError('; '.join(problems) or f'status {status}')
    return CallError(status, problems)
