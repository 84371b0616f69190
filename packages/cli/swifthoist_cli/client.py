"""Client of the administration API."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict

import httpx
import msgspec

from swifthoist_core.errors import SwifthoistError

TIMEOUT_S = 15.0
"""Timeout of one call, in seconds."""

_CLIENT_ERROR = 400
_SERVICE_UNAVAILABLE = 503
_SERVER_ERROR = 500


class CallError(SwifthoistError):
    """A call was refused.

    :ivar status: HTTP status.
    :ivar problems: error messages of the response.
    """

    def __init__(self, status: int, problems: tuple[str, ...]) -> None:
        """Build the message from the response.

        :param status: HTTP status.
        :param problems: error messages of the response.
        """
        super().__init__('; '.join(problems) or f'status {status}')
        self.status = status
        self.problems = problems


class NoInstanceError(SwifthoistError):
    """No instance could be reached, so the call had no effect."""


class UnknownOutcomeError(SwifthoistError):
    """No usable response was received; the call may have taken effect."""


class Target(NamedTuple):
    """Instances that may be called.

    :ivar urls: base URLs of the instances, which are interchangeable.
    """

    urls: tuple[str, ...]


class ApiClient:
    """Calls one of the instances, and tries another if it is unreachable."""

    def __init__(self, target: Target) -> None:
        """Call the instances of a target.

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
        :param content: request body.
        :param params: query parameters; empty ones are left out.
        :returns: the decoded response.
        :raises CallError: when the call was refused.
        :raises NoInstanceError: when no instance could be reached.
        :raises UnknownOutcomeError: when no usable response was received.
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
        raise NoInstanceError(f'no instance reachable at {", ".join(urls)}')


class _ErrorDocument(TypedDict, total=False):
    error: list[str]


def _decode(reply: httpx.Response) -> Any:
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.DecodeError as exc:
        problem = f'{reply.url}: the response is not valid JSON'
        raise UnknownOutcomeError(problem) from exc


def _to_error(reply: httpx.Response) -> SwifthoistError:
    """Convert an error response; a server error leaves the outcome unknown."""
    try:
        document = msgspec.json.decode(reply.content, type=_ErrorDocument)
    except msgspec.DecodeError:
        document = _ErrorDocument()
    problems = tuple(document.get('error', ()))
    status = reply.status_code
    if status >= _SERVER_ERROR and status != _SERVICE_UNAVAILABLE:
        return UnknownOutcomeError('; '.join(problems) or f'status {status}')
    return CallError(status, problems)
