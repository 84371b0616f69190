"""The administration API as the command line calls it."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple

import httpx

from swifthoist_core.errors import Finding, SwifthoistError

TIMEOUT_S = 15.0
"""Time for one call, in seconds."""

_REFUSED_FROM = 400
_UNKNOWN_OUTCOME = 504
_SERVER_ERROR = 500


class CallError(SwifthoistError):
    """A call was refused.

    :ivar status: HTTP status.
    :ivar findings: what was wrong with the input, if anything.
    """

    def __init__(
        self, status: int, reason: str, findings: tuple[Finding, ...]
    ) -> None:
        """Keep what the instance said.

        :param status: HTTP status.
        :param reason: why it was refused.
        :param findings: what was wrong with the input.
        """
        super().__init__(reason)
        self.status = status
        self.findings = findings


class NoInstanceError(SwifthoistError):
    """No instance could be reached, so nothing was done."""


class UnknownOutcomeError(SwifthoistError):
    """An instance did not answer; the call may have taken effect."""


class Target(NamedTuple):
    """Where to call and as whom.

    :ivar urls: base URLs of entry instances, any of which will do.
    :ivar token: bearer token.
    """

    urls: tuple[str, ...]
    token: str


class ApiClient:
    """Calls any of the instances; another one if one cannot be reached."""

    def __init__(self, target: Target) -> None:
        """Keep where to call.

        :param target: the instances and the token.
        """
        self._target = target

    def get(self, path: str, **params: str | int | None) -> Any:
        """Read something.

        :param path: path below the base URL.
        :param params: query parameters; ``None`` leaves one out.
        :returns: the document.
        :raises CallError: when it was refused.
        :raises NoInstanceError: when no instance was reached.
        :raises UnknownOutcomeError: when there was no answer.
        """
        return self.call('GET', path, params=params)

    def call(
        self,
        method: str,
        path: str,
        content: object = None,
        params: Mapping[str, str | int | None] | None = None,
    ) -> Any:
        """Make one call.

        :param method: HTTP method.
        :param path: path below the base URL.
        :param content: document to send, ``None`` for none.
        :param params: query parameters; ``None`` leaves one out.
        :returns: the document.
        :raises CallError: when it was refused.
        :raises NoInstanceError: when no instance was reached.
        :raises UnknownOutcomeError: when there was no answer.
        """
        urls = list(self._target.urls)
        random.shuffle(urls)
        given = {
            name: text
            for name, text in (params or {}).items()
            if text is not None
        }
        for url in urls:
            try:
                reply = self._send(method, f'{url}{path}', content, given)
            except (httpx.ConnectError, httpx.ConnectTimeout):
                continue
            except httpx.HTTPError as exc:
                raise UnknownOutcomeError(f'{url}: {exc!r}') from exc
            return _document(reply)
        raise NoInstanceError(f'no instance answers at {", ".join(urls)}')

    def _send(
        self,
        method: str,
        url: str,
        content: object,
        params: Mapping[str, str | int],
    ) -> httpx.Response:
        headers = {'Authorization': f'Bearer {self._target.token}'}
        with httpx.Client(timeout=TIMEOUT_S, trust_env=False) as client:
            return client.request(
                method, url, json=content, params=params, headers=headers
            )


def _document(reply: httpx.Response) -> Any:
    content = reply.json() if reply.content else {}
    if reply.status_code < _REFUSED_FROM:
        return content
    reason = content.get('reason', f'status {reply.status_code}')
    if reply.status_code == _UNKNOWN_OUTCOME:
        raise UnknownOutcomeError(reason)
    findings = tuple(
        Finding(item['place'], item['problem'])
        for item in content.get('findings', ())
    )
    raise CallError(reply.status_code, reason, findings)
