"""Stand-in for the platform's list of instances, runners and workers."""

from collections import deque
from typing import NamedTuple

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from swifthoist_core.clock import Clock
from swifthoist_core.types import InstanceId, Millis
from swifthoist_platform.instances import Listed, decode_listed, encode_list
from swifthoist_standins.faults import FaultBoard, Faults
from swifthoist_standins.gate import FaultGate, build, read_body, refusal

LINE_LIMIT = 2048
"""Greatest number of lines on the list."""

BODY_LIMIT = 8192
"""Greatest size of a line, in bytes."""

VIEW_LIMIT = 1024
"""Greatest number of past views that are kept to lag behind."""

TTL_MS = 5000
"""How long a line stays without a heartbeat, in ms."""

_NO_CONTENT = 204
_CONFLICT = 409


class _Line(NamedTuple):
    listed: Listed
    heard_ms: Millis


class _View(NamedTuple):
    since_ms: Millis
    lines: tuple[Listed, ...]


class InstanceList:
    """The list; what is read of it lags behind.

    :ivar lag_ms: how far the list lags behind, in ms.
    """

    def __init__(self, clock: Clock, ttl_ms: Millis, lag_ms: Millis) -> None:
        """Start with no line.

        :param clock: measures heartbeats and the lag.
        :param ttl_ms: how long a line stays without a heartbeat.
        :param lag_ms: how far the list lags behind at first.
        """
        self.lag_ms = lag_ms
        self._clock = clock
        self._ttl_ms = ttl_ms
        self._lines: dict[InstanceId, _Line] = {}
        self._views: deque[_View] = deque([_View(0, ())], maxlen=VIEW_LIMIT)
        self._frozen: tuple[Listed, ...] | None = None

    def register(self, listed: Listed) -> bool:
        """Put a line on the list, or take its heartbeat.

        A line that is leaving stays so until a newer incarnation comes.

        :param listed: the line.
        :returns: whether it was taken; not so if a newer incarnation of
            the same instance is listed, or the list is full.
        """
        now_ms = self._settle()
        known = self._lines.get(listed.instance_id)
        if known is None and len(self._lines) >= LINE_LIMIT:
            return False
        if known is not None and known.listed.incarnation > listed.incarnation:
            return False
        if known is not None and _is_leaving(known.listed, listed):
            listed = listed._replace(state='leaving')
        self._lines[listed.instance_id] = _Line(listed, now_ms)
        if known is None or known.listed != listed:
            self._keep_view(now_ms)
        return True

    def leave(self, instance_id: InstanceId) -> None:
        """Mark a line as leaving.

        :param instance_id: the instance; an unknown one is passed over.
        """
        now_ms = self._settle()
        known = self._lines.get(instance_id)
        if known is None:
            return
        leaving = known.listed._replace(state='leaving')
        self._lines[instance_id] = known._replace(listed=leaving)
        self._keep_view(now_ms)

    def remove(self, instance_id: InstanceId) -> None:
        """Take a line off the list.

        :param instance_id: the instance; an unknown one is passed over.
        """
        now_ms = self._settle()
        if self._lines.pop(instance_id, None) is not None:
            self._keep_view(now_ms)

    def read(self) -> tuple[Listed, ...]:
        """The list as it was, by id."""
        now_ms = self._settle()
        if self._frozen is not None:
            return self._frozen
        return self._view(now_ms - self.lag_ms)

    def show(self, faults: Faults) -> None:
        """Show the faults that are the list's own.

        :param faults: the faults that were set.
        """
        self.lag_ms = faults.get('lag_ms', self.lag_ms)
        if 'frozen' in faults:
            self._frozen = None
            self._frozen = self.read() if faults['frozen'] else None

    def _settle(self) -> Millis:
        now_ms = self._clock.boot_ms()
        by_age = sorted(self._lines.values(), key=lambda line: line.heard_ms)
        for line in by_age:
            gone_ms = line.heard_ms + self._ttl_ms
            if gone_ms <= now_ms:
                self._lines.pop(line.listed.instance_id)
                self._keep_view(gone_ms)
        return now_ms

    def _keep_view(self, since_ms: Millis) -> None:
        lines = sorted(line.listed for line in self._lines.values())
        self._views.append(_View(since_ms, tuple(lines)))

    def _view(self, at_ms: Millis) -> tuple[Listed, ...]:
        for view in reversed(self._views):
            if view.since_ms <= at_ms:
                return view.lines
        return self._views[0].lines


def _is_leaving(known: Listed, fresh: Listed) -> bool:
    same_life = known.incarnation == fresh.incarnation
    return same_life and known.state == 'leaving'


class _ListHandlers:
    """What the list serves over HTTP."""

    def __init__(self, lines: InstanceList) -> None:
        """Keep the list.

        :param lines: the list.
        """
        self._lines = lines

    async def register(self, request: Request) -> Response:
        """Serve ``POST /instances``."""
        body = await read_body(request, BODY_LIMIT)
        try:
            taken = self._lines.register(decode_listed(body))
        except msgspec.DecodeError as exc:
            raise refusal(400, str(exc)) from exc
        return Response(status_code=_NO_CONTENT if taken else _CONFLICT)

    async def leave(self, request: Request) -> Response:
        """Serve ``POST /instances/{id}/leaving``."""
        self._lines.leave(request.path_params['instance_id'])
        return Response(status_code=_NO_CONTENT)

    async def remove(self, request: Request) -> Response:
        """Serve ``DELETE /instances/{id}``."""
        self._lines.remove(request.path_params['instance_id'])
        return Response(status_code=_NO_CONTENT)

    async def read(self, _: Request) -> Response:
        """Serve ``GET /instances``."""
        body = encode_list(self._lines.read())
        return Response(body, media_type='application/json')


def build_instances(
    clock: Clock, ttl_ms: Millis = TTL_MS, lag_ms: Millis = 0
) -> FaultGate:
    """Build the application of the list.

    :param clock: measures heartbeats and the lag.
    :param ttl_ms: how long a line stays without a heartbeat.
    :param lag_ms: how far the list lags behind.
    :returns: the application.
    """
    lines = InstanceList(clock, ttl_ms, lag_ms)
    handlers = _ListHandlers(lines)
    board = FaultBoard(clock, frozenset(('lag_ms', 'frozen')), lines.show)
    one = '/instances/{instance_id}'
    routes = (
        Route('/instances', handlers.register, methods=['POST']),
        Route('/instances', handlers.read, methods=['GET']),
        Route(f'{one}/leaving', handlers.leave, methods=['POST']),
        Route(one, handlers.remove, methods=['DELETE']),
    )
    return build(routes, board)
