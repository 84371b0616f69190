"""Stand-in for a worker of the platform."""

from collections.abc import Callable
from typing import NamedTuple, TypeVar

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.clock import Clock
from swifthoist_core.errors import WorkerRefusedError
from swifthoist_core.types import JobId, Millis
from swifthoist_platform.orders import (
    CheckpointOrder,
    HoldOrder,
    Order,
    Refusal,
    RenewOrder,
    StartOrder,
    State,
    StopOrder,
    ThrottleOrder,
)
from swifthoist_standins.faults import FaultBoard, Faults
from swifthoist_standins.gate import (
    FaultGate,
    build,
    read_body,
    read_number,
    refusal,
    reply_json,
    reply_msgpack,
)
from swifthoist_standins.leases import LeaseTable
from swifthoist_standins.parts import Part
from swifthoist_standins.places import Capacity

BODY_LIMIT = 256 * 1024
"""Greatest size of an order, in bytes."""

USAGE_LAG_MS = 2000
"""How long after its end a part is reported, unless set, in ms."""

_REFUSED = 409
_NO_CONTENT = 204
_Body = TypeVar('_Body')
_AnyOrder = TypeVar('_AnyOrder', bound=Order)


class PartRun(NamedTuple):
    """One line of ``GET /record``; a JSON object of these fields.

    :ivar job_id: the job.
    :ivar attempt: number of the attempt.
    :ivar part: index of the part in the gang.
    :ivar first: index of its first accelerator.
    :ivar accelerators: how many accelerators it held.
    :ivar started_ms: start by the worker's boot clock.
    :ivar ended_ms: end by the worker's boot clock, 0 if it still runs.
    :ivar state: its state.
    """

    job_id: JobId
    attempt: int
    part: int
    first: int
    accelerators: int
    started_ms: Millis
    ended_ms: Millis
    state: State


class _WorkerHandlers:
    """What a worker serves over HTTP."""

    def __init__(self, table: LeaseTable, usage_lag_ms: Millis) -> None:
        """Keep the parts.

        :param table: the leases.
        :param usage_lag_ms: how long after its end a part is reported.
        """
        self._table = table
        self._usage_lag_ms = usage_lag_ms

    async def hold(self, request: Request) -> Response:
        """Serve ``POST /hold``."""
        order = await _read(request, HoldOrder)
        return _obey(self._table.hold, order)

    async def start(self, request: Request) -> Response:
        """Serve ``POST /start``."""
        order = await _read(request, StartOrder)
        return _obey(self._table.start, order)

    async def checkpoint(self, request: Request) -> Response:
        """Serve ``POST /checkpoint``."""
        order = await _read(request, CheckpointOrder)
        return _obey(self._table.checkpoint, order)

    async def throttle(self, request: Request) -> Response:
        """Serve ``POST /throttle``."""
        order = await _read(request, ThrottleOrder)
        return _obey(self._table.throttle, order)

    async def stop(self, request: Request) -> Response:
        """Serve ``POST /stop``."""
        order = await _read(request, StopOrder)
        return _obey(self._table.stop, order)

    async def renew(self, request: Request) -> Response:
        """Serve ``POST /renew``."""
        order = await _read(request, RenewOrder)
        try:
            states = self._table.renew(order)
        except WorkerRefusedError as exc:
            return reply_msgpack(Refusal(exc.reason), _REFUSED)
        return reply_msgpack(states)

    async def usage(self, request: Request) -> Response:
        """Serve ``GET /usage``."""
        since_ms = read_number(request, 'since_ms', 0)
        return reply_msgpack(self._table.usage(since_ms, self._usage_lag_ms))

    async def record(self, _: Request) -> Response:
        """Serve ``GET /record``."""
        return reply_json([_run(part)._asdict() for part in self._table.runs()])

    def show(self, faults: Faults) -> None:
        """Show the faults that are the worker's own.

        :param faults: the faults that were set.
        """
        if 'fail_all' in faults:
            self._table.fail_all = faults['fail_all']


async def _read(request: Request, kind: type[_Body]) -> _Body:
    body = await read_body(request, BODY_LIMIT)
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise refusal(400, str(exc)) from exc


def _obey(act: Callable[[_AnyOrder], None], order: _AnyOrder) -> Response:
    try:
        act(order)
    except WorkerRefusedError as exc:
        return reply_msgpack(Refusal(exc.reason), _REFUSED)
    return Response(status_code=_NO_CONTENT)


def _run(part: Part) -> PartRun:
    return PartRun(
        *part.key,
        part.order.first,
        part.order.accelerators,
        part.started_ms,
        part.ended_ms,
        part.state,
    )


def build_worker(
    capacity: Capacity, clock: Clock, usage_lag_ms: Millis = USAGE_LAG_MS
) -> FaultGate:
    """Build the application of a worker.

    :param capacity: what the worker has.
    :param clock: measures leases and runs.
    :param usage_lag_ms: how long after its end a part is reported.
    :returns: the application.
    """
    handlers = _WorkerHandlers(LeaseTable(capacity, clock), usage_lag_ms)
    board = FaultBoard(clock, frozenset(('fail_all',)), handlers.show)
    routes = (
        Route('/hold', handlers.hold, methods=['POST']),
        Route('/start', handlers.start, methods=['POST']),
        Route('/checkpoint', handlers.checkpoint, methods=['POST']),
        Route('/throttle', handlers.throttle, methods=['POST']),
        Route('/stop', handlers.stop, methods=['POST']),
        Route('/renew', handlers.renew, methods=['POST']),
        Route('/usage', handlers.usage, methods=['GET']),
        Route('/record', handlers.record, methods=['GET']),
    )
    return build(routes, board)
