"""Stand-in for a runner of a service."""

import hashlib
from typing import NamedTuple, TypedDict

import anyio
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.clock import Clock
from swifthoist_core.types import ClassName, Millis, OwnerId, RequestKey
from swifthoist_standins.faults import FaultBoard, Faults
from swifthoist_standins.gate import (
    NOT_RUN,
    FaultGate,
    build,
    read_body,
    reply_json,
)

BODY_LIMIT = 1024 * 1024
"""Greatest size of a request, in bytes."""

RECORD_LIMIT = 20_000
"""Runs that a runner remembers."""

LONGEST_WORK_MS = 600_000
"""Longest service time that a request may ask for, in ms."""

_MS_PER_S = 1000
_OK = 200
_BAD_REQUEST = 400
_TOO_MANY = 429
_FAILED = 500
_NOT_SERVED = 503


class RunnerLimits(NamedTuple):
    """What a runner takes at one time.

    :ivar slots: requests in work.
    :ivar connections: requests in work or waiting.
    :ivar work_ms: service time of a request that does not say, in ms.
    :ivar refuse_busy: refuse with 429 what would have to wait for a slot.
    """

    slots: int = 8
    connections: int = 64
    work_ms: Millis = 20
    refuse_busy: bool = False


class Answer(TypedDict):
    """Answer to a request.

    :ivar request_id: as the request gave it.
    :ivar key: idempotency key, as the request gave it.
    :ivar digest: SHA-256 of the request's body, in hex.
    :ivar body: the request's body; base64 on the wire.
    """

    request_id: str
    key: RequestKey
    digest: str
    body: bytes


class Run(NamedTuple):
    """One line of ``GET /record``; a JSON object of these fields.

    :ivar request_id: as the request gave it.
    :ivar key: idempotency key, empty if it gave none.
    :ivar owner: the team.
    :ivar class_name: class of work.
    :ivar digest: SHA-256 of the request's body, in hex.
    :ivar started_ms: start by the runner's wall clock.
    :ivar ended_ms: end by the runner's wall clock, 0 if still in work.
    """

    request_id: str
    key: RequestKey
    owner: OwnerId
    class_name: ClassName
    digest: str
    started_ms: Millis
    ended_ms: Millis = 0


class Work(NamedTuple):
    """A request as it came.

    :ivar run: what the record will say of it.
    :ivar body: its body.
    :ivar work_ms: service time that it asks for, -1 for none.
    :ivar deadline_ms: time that is left for the answer, in ms.
    """

    run: Run
    body: bytes
    work_ms: Millis
    deadline_ms: Millis


class Runner:
    """A runner: slots, and the record of what ran."""

    def __init__(self, clock: Clock, limits: RunnerLimits) -> None:
        """Start idle.

        :param clock: stamps the record.
        :param limits: what the runner takes at one time.
        """
        self._clock = clock
        self._limits = limits
        self._slots = anyio.Semaphore(limits.slots)
        self._runs: dict[int, Run] = {}
        self._started = 0
        self._present = 0
        self._fail_all = False

    async def serve(self, work: Work) -> Response:
        """Run a request, if there is room for it in time.

        :param work: the request.
        :returns: the answer, or a refusal that says it did not run.
        """
        if self._present >= self._limits.connections:
            return _refuse(_NOT_SERVED)
        if self._limits.refuse_busy and not self._slots.value:
            return _refuse(_TOO_MANY)
        self._present += 1
        try:
            return await self._serve_in_slot(work)
        finally:
            self._present -= 1

    def record(self) -> tuple[Run, ...]:
        """Every run that is remembered, in the order of the starts."""
        return tuple(self._runs.values())

    def health(self) -> dict[str, int]:
        """How busy the runner is."""
        free = self._slots.value
        return {
            'slots': self._limits.slots,
            'busy': self._limits.slots - free,
            'present': self._present,
        }

    def show(self, faults: Faults) -> None:
        """Show the faults that are the runner's own.

        :param faults: the faults that were set.
        """
        self._fail_all = faults.get('fail_all', self._fail_all)
        work_ms = faults.get('work_ms', self._limits.work_ms)
        self._limits = self._limits._replace(work_ms=work_ms)

    async def _serve_in_slot(self, work: Work) -> Response:
        acquired = False
        with anyio.move_on_after(work.deadline_ms / _MS_PER_S):
            await self._slots.acquire()
            acquired = True
        if not acquired:
            return _refuse(_NOT_SERVED)
        try:
            return await self._run(work)
        finally:
            self._slots.release()

    async def _run(self, work: Work) -> Response:
        number = self._begin(work.run)
        asked = work.work_ms >= 0
        work_ms = work.work_ms if asked else self._limits.work_ms
        await anyio.sleep(work_ms / _MS_PER_S)
        if number in self._runs:
            ended = self._runs[number]._replace(ended_ms=self._clock.wall_ms())
            self._runs[number] = ended
        if self._fail_all:
            return Response(status_code=_FAILED)
        run = work.run
        answer = Answer(
            request_id=run.request_id,
            key=run.key,
            digest=run.digest,
            body=work.body,
        )
        return reply_json(answer)

    def _begin(self, run: Run) -> int:
        self._started += 1
        if len(self._runs) >= RECORD_LIMIT:
            self._runs.pop(next(iter(self._runs)))
        now_ms = self._clock.wall_ms()
        self._runs[self._started] = run._replace(started_ms=now_ms)
        return self._started


class _RunnerHandlers:
    """What a runner serves over HTTP."""

    def __init__(self, runner: Runner) -> None:
        """Keep the runner.

        :param runner: the runner.
        """
        self._runner = runner

    async def work(self, request: Request) -> Response:
        """Serve ``POST /requests/{class}``."""
        body = await read_body(request, BODY_LIMIT)
        headers = request.headers
        request_id = headers.get('x-request-id', '')
        work_ms = headers.get('x-work-ms', '-1')
        deadline_ms = headers.get('x-deadline-ms', str(LONGEST_WORK_MS))
        if not request_id or not _are_numbers(work_ms.lstrip('-'), deadline_ms):
            return _refuse(_BAD_REQUEST)
        run = Run(
            request_id,
            headers.get('idempotency-key', ''),
            headers.get('x-owner', ''),
            str(request.path_params['class_name']),
            hashlib.sha256(body).hexdigest(),
            0,
        )
        asked_ms = min(int(work_ms), LONGEST_WORK_MS)
        work = Work(run, body, asked_ms, int(deadline_ms))
        reply = await self._runner.serve(work)
        # The echo lets an instance match the answer to its own request.
        reply.headers['X-Request-Id'] = request_id
        return reply

    async def record(self, _: Request) -> Response:
        """Serve ``GET /record``."""
        return reply_json([run._asdict() for run in self._runner.record()])

    async def health(self, _: Request) -> Response:
        """Serve ``GET /health``."""
        return reply_json(self._runner.health())


def _are_numbers(*texts: str) -> bool:
    return all(text.isdecimal() for text in texts)


def _refuse(status: int) -> Response:
    return Response(status_code=status, headers=NOT_RUN)


def build_runner(clock: Clock, limits: RunnerLimits | None = None) -> FaultGate:
    """Build the application of a runner.

    :param clock: stamps the record.
    :param limits: what the runner takes at one time.
    :returns: the application.
    """
    runner = Runner(clock, limits or RunnerLimits())
    handlers = _RunnerHandlers(runner)
    board = FaultBoard(clock, frozenset(('fail_all', 'work_ms')), runner.show)
    routes = (
        Route('/requests/{class_name}', handlers.work, methods=['POST']),
        Route('/record', handlers.record, methods=['GET']),
        Route('/health', handlers.health, methods=['GET']),
    )
    return build(routes, board)
