"""HTTP API of requests: short work that a runner answers."""

import functools
import logging
import uuid
from collections.abc import Iterator

from starlette.datastructures import Headers
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.catalogue import Entry, Work
from swifthoist_core.clock import Clock
from swifthoist_core.counting import (
    Answered,
    Counting,
    Failed,
    Finished,
    Refused,
)
from swifthoist_core.errors import Finding
from swifthoist_core.ledger import Ledger
from swifthoist_core.tokens import Identity, Role
from swifthoist_core.types import Millis
from swifthoistd import replies
from swifthoistd.callers import Gatekeeper, read_body, run_while_connected
from swifthoistd.dispatch import Dispatcher
from swifthoistd.metrics import Metrics
from swifthoistd.work import Done, NotRun, Outcome, Unknown, WorkRequest

MAX_KEY = 128
_log = logging.getLogger(__name__)
_MAX_DIGITS = 18
_SERVER_ERROR = 500
_REUSED = 'key reused for another request'
_LIMITS = frozenset(('rate', 'concurrency', 'queue', 'overload'))


class RequestApi:
    """Takes requests in and gives each its one answer."""

    def __init__(
        self,
        ledger: Ledger,
        dispatcher: Dispatcher,
        counting: Counting,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Wire the parts.

        :param ledger: the state, for the catalogue.
        :param dispatcher: takes requests to their outcome.
        :param counting: counts them for the account.
        :param metrics: counts them for operators.
        :param clock: clocks of the machine.
        """
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._counting = counting
        self._metrics = metrics
        self._clock = clock

    def routes(self, gate: Gatekeeper) -> list[Route]:
        """The routes of this part of the API.

        :param gate: lets callers through.
        :returns: the routes.
        """
        endpoint = gate.allow(self.post, Role.OWNER)
        path = '/v1/requests/{class_name}'
        return [Route(path, endpoint, methods=['POST'])]

    async def post(self, request: Request, identity: Identity) -> Response:
        """Take one request to its outcome.

        :param request: the call; its body goes to the runner as it is.
        :param identity: the owner.
        :returns: the runner's answer, or why there is none.
        """
        class_name = request.path_params['class_name']
        entry = self._ledger.catalogue.find(identity.name, class_name)
        if entry is None or entry.work is not Work.REQUEST:
            problem = f'owner {identity.name} has no entry for {class_name}'
            finding = Finding('class_name', problem)
            return replies.invalid((finding,), replies.NOT_FOUND)
        findings = _check_headers(request)
        if findings:
            return replies.invalid(findings)
        body = await read_body(request)
        req = _work_request(request, entry, body)
        send = functools.partial(self._send, req, entry)
        return await run_while_connected(request, send)

    async def _send(self, req: WorkRequest, entry: Entry) -> Response:
        started_ms = self._clock.boot_ms()
        outcome = await self._dispatcher.send(req, entry)
        elapsed_ms = self._clock.boot_ms() - started_ms
        self._count(entry, outcome, elapsed_ms)
        _log_outcome(req, outcome, elapsed_ms)
        reply = _reply(outcome)
        reply.headers['X-Request-Id'] = req.request_id
        return reply

    def _count(
        self, entry: Entry, outcome: Outcome, elapsed_ms: Millis
    ) -> None:
        self._metrics.count_request(entry, outcome, elapsed_ms)
        finished = _finished(entry, outcome, elapsed_ms)
        self._counting.note(entry.owner, entry.class_name, finished)


def _log_outcome(
    req: WorkRequest, outcome: Outcome, elapsed_ms: Millis
) -> None:
    fields = {
        'owner': req.owner,
        'class_name': req.class_name,
        'request_id': req.request_id,
        'elapsed_ms': elapsed_ms,
    }
    match outcome:
        case Done(status):
            _log.debug('request done', extra={**fields, 'status': status})
        case NotRun(reason):
            _log.info('request not run', extra={**fields, 'reason': reason})
        case Unknown(reason):
            _log.warning('request unknown', extra={**fields, 'reason': reason})


def _finished(entry: Entry, outcome: Outcome, elapsed_ms: Millis) -> Finished:
    match outcome:
        case NotRun(reason):
            return Refused(reason)
        case Done(status) if status < _SERVER_ERROR:
            return Answered(elapsed_ms, entry.objective.within_ms)
        case _:
            return Failed()


def _check_headers(request: Request) -> tuple[Finding, ...]:
    findings: list[Finding] = []
    headers = request.headers
    key = headers.get('idempotency-key', '')
    if len(key) > MAX_KEY:
        problem = f'is longer than {MAX_KEY} characters'
        findings.append(Finding('Idempotency-Key', problem))
    mark = headers.get('x-idempotent', 'true')
    if mark not in {'true', 'false'}:
        findings.append(Finding('X-Idempotent', 'must be true or false'))
    if mark == 'false' and not key:
        problem = 'is missing; work that may run once only needs a key'
        findings.append(Finding('Idempotency-Key', problem))
    findings.extend(_check_plain(headers))
    return tuple(findings)


def _check_plain(headers: Headers) -> Iterator[Finding]:
    deadline = headers.get('x-deadline-ms', '1')
    if not deadline.strip('0') or not deadline.isdecimal():
        yield Finding('X-Deadline-Ms', 'must be a number of ms above 0')
    elif len(deadline) > _MAX_DIGITS:
        problem = f'must have {_MAX_DIGITS} digits at most'
        yield Finding('X-Deadline-Ms', problem)
    kind = headers.get('content-type', '')
    if not (kind.isascii() and kind.isprintable()):
        yield Finding('Content-Type', 'must be printable ASCII')


def _work_request(request: Request, entry: Entry, body: bytes) -> WorkRequest:
    headers = request.headers
    request_id = uuid.uuid4().hex
    return WorkRequest(
        request_id,
        entry.owner,
        entry.class_name,
        headers.get('idempotency-key') or request_id,
        headers.get('x-idempotent', 'true') == 'true',
        body,
        headers.get('content-type', 'application/octet-stream'),
        int(headers.get('x-deadline-ms', entry.limits.deadline_ms)),
    )


def _reply(outcome: Outcome) -> Response:
    match outcome:
        case Done(status, body, content_type):
            return Response(body, status, media_type=content_type)
        case NotRun(reason, retry_after_ms):
            return replies.not_run(reason, _status_of(reason), retry_after_ms)
        case Unknown(reason):
            return replies.unknown(reason)


def _status_of(reason: str) -> int:
    if reason == _REUSED:
        return replies.CONFLICT
    return replies.TOO_MANY if reason in _LIMITS else replies.UNAVAILABLE
