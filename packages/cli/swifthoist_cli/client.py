"""The administration API as the command line calls it."""

import random
from collections.abc import Mapping
from typing import Any, NamedTuple, TypedDict, TypeVar

import httpx
import msgspec

from swifthoist_core.errors import Finding, SwifthoistError

TIMEOUT_S = 15.0
"""Time for one call, in seconds."""

JSON = 'application/json'
MSGPACK = 'application/msgpack'

_REFUSED_FROM = 400
_FAULT_FROM = 500
_Report = TypeVar('_Report')


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

    def get_report(
        self, path: str, kind: type[_Report], **params: str | None
    ) -> _Report:
        """Read a report.

        :param path: path below the base URL.
        :param kind: its type.
        :param params: query parameters; ``None`` leaves one out.
        :returns: the report.
        :raises CallError: when it was refused.
        :raises NoInstanceError: when no instance was reached.
        :raises UnknownOutcomeError: when there was no whole answer.
        """
        reply = self._call_any('GET', path, None, params, MSGPACK)
        if reply.status_code >= _REFUSED_FROM:
            _document(reply)
        try:
            return msgspec.msgpack.decode(reply.content, type=kind)
        except msgspec.DecodeError as exc:
            raise UnknownOutcomeError(f'{path}: {exc}') from exc

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
        reply = self._call_any(method, path, content, params or {}, JSON)
        return _document(reply)

    def _call_any(
        self,
        method: str,
        path: str,
        content: object,
        params: Mapping[str, str | int | None],
        accept: str,
    ) -> httpx.Response:
        urls = list(self._target.urls)
        random.shuffle(urls)
        headers = {
            'Authorization': f'Bearer {self._target.token}',
            'Accept': accept,
        }
        given = {
            name: text for name, text in params.items() if text is not None
        }
        with httpx.Client(timeout=TIMEOUT_S, trust_env=False) as client:
            for url in urls:
                try:
                    return client.request(
                        method,
                        f'{url}{path}',
                        json=content,
                        params=given,
                        headers=headers,
                    )
                except (httpx.ConnectError, httpx.ConnectTimeout):
                    continue
                except httpx.HTTPError as exc:
                    raise UnknownOutcomeError(f'{url}: {exc!r}') from exc
        raise NoInstanceError(f'no instance answers at {", ".join(urls)}')


class _FindingDocument(TypedDict):
    place: str
    problem: str


class _Refusal(TypedDict, total=False):
    outcome: str
    reason: str
    findings: list[_FindingDocument]


def _document(reply: httpx.Response) -> Any:
    if reply.status_code >= _REFUSED_FROM:
        raise _error_of(reply)
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.DecodeError as exc:
        problem = f'{reply.url}: the answer is not of an instance'
        raise UnknownOutcomeError(problem) from exc


def _error_of(reply: httpx.Response) -> SwifthoistError:
    """Tell what a refusal means; a fault tells nothing of the outcome."""
    try:
        refusal = msgspec.json.decode(reply.content, type=_Refusal)
    except msgspec.DecodeError:
        refusal = _Refusal()
    reason = refusal.get('reason', f'status {reply.status_code}')
    is_fault = reply.status_code >= _FAULT_FROM
    if is_fault and refusal.get('outcome') != 'not_run':
        return UnknownOutcomeError(reason)
    findings = tuple(Finding(**item) for item in refusal.get('findings', ()))
    return CallError(reply.status_code, reason, findings)
