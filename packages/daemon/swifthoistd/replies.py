"""Replies of the HTTP API, all of one form."""

import logging
from collections.abc import Sequence

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from swifthoist_core.errors import Finding
from swifthoist_core.plain import plain_of
from swifthoist_core.types import Millis

JSON = 'application/json'
_MS_PER_S = 1_000

OK = 200
ACCEPTED = 202
BAD_REQUEST = 400
UNAUTHORIZED = 401
FORBIDDEN = 403
NOT_FOUND = 404
CONFLICT = 409
TOO_LARGE = 413
UNPROCESSABLE = 422
TOO_MANY = 429
UNAVAILABLE = 503
UNKNOWN_OUTCOME = 504
FAILED = 500

_log = logging.getLogger(__name__)


def json_reply(content: object, status: int = OK) -> Response:
    """Reply with a document.

    :param content: anything that JSON can hold; named tuples are objects.
    :param status: HTTP status.
    :returns: the reply.
    """
    body = msgspec.json.encode(plain_of(content))
    return Response(body, status, media_type=JSON)


def invalid(findings: Sequence[Finding], status: int = BAD_REQUEST) -> Response:
    """Reply that the input is wrong and nothing was run.

    :param findings: everything that is wrong.
    :param status: HTTP status.
    :returns: the reply.
    """
    listed = [finding._asdict() for finding in findings]
    content = {
        'outcome': 'not_run',
        'reason': 'invalid input',
        'findings': listed,
    }
    return json_reply(content, status)


def not_run(
    reason: str, status: int = UNAVAILABLE, retry_after_ms: Millis = 0
) -> Response:
    """Reply that nothing was run, and when to come back.

    :param reason: why.
    :param status: HTTP status.
    :param retry_after_ms: when to try again, 0 for no use in trying.
    :returns: the reply.
    """
    content: dict[str, object] = {'outcome': 'not_run', 'reason': reason}
    if retry_after_ms:
        content['retry_after_ms'] = retry_after_ms
    reply = json_reply(content, status)
    if retry_after_ms:
        seconds = -(-retry_after_ms // _MS_PER_S)
        reply.headers['Retry-After'] = str(seconds)
    return reply


def unknown(reason: str) -> Response:
    """Reply that nobody can know yet whether it ran.

    :param reason: why.
    :returns: the reply.
    """
    content = {'outcome': 'unknown', 'reason': reason}
    return json_reply(content, UNKNOWN_OUTCOME)


async def _reply_http_error(request: Request, exc: Exception) -> Response:
    status = exc.status_code if isinstance(exc, HTTPException) else FAILED
    return not_run(f'{request.method} {request.url.path}: {exc}', status)


async def _reply_failure(request: Request, exc: Exception) -> Response:
    """Reply to a fault of the program, which may have done anything."""
    _log.exception('a call failed', exc_info=exc)
    return unknown('the instance failed')


HANDLERS = {
    HTTPException: _reply_http_error,
    Exception: _reply_failure,
}
"""Replies of the API's own form to what no route answers."""
