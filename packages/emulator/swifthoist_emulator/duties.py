"""The emulated policy service and machine service."""

import zlib
from collections import defaultdict
from dataclasses import dataclass, field

import anyio
import msgspec
from anyio.abc import TaskGroup

from swifthoist_core.types import Millis, RunnerId
from swifthoist_emulator.checker import InvariantChecker
from swifthoist_emulator.faults import FaultEffect, Faults
from swifthoist_emulator.fleet import Fleet, Host
from swifthoist_emulator.http import Request, Response, answer_json
from swifthoist_emulator.site import SERVICE, VALID_MS
from swifthoist_emulator.store_calls import Store
from swifthoist_platform import names
from swifthoist_platform.machines import UpkeepStatus
from swifthoist_platform.store import OPERATOR_TOPIC, WAVE_PREFIX

ADVICE_BASE_S = 0.05
"""Base time of a policy's answer, in seconds."""

ADVICE_PER_RUNNER_S = 0.002
"""Additional time for each runner in the request, in seconds."""

MAX_WAITING_CALLS = 32
"""Number of calls of a machine that may wait for their turn."""

UPKEEP_MS = 2_000
"""Duration of the upkeep of a machine, in ms."""


def ticket_for(step: str, runner: RunnerId) -> str:
    """Issue the ticket that allows a step to run on a runner.

    :param step: name of the step.
    :param runner: the runner.
    :returns: the ticket; empty if the step may not run there, as is the case
        for half of the runners, chosen by a hash.
    """
    allowed = zlib.crc32(f'{step} {runner}'.encode()) % 2 == 0
    return f'{step}@{runner}' if allowed else ''


async def advise(
    request: Request,
    base_s: float = ADVICE_BASE_S,
    per_runner_s: float = ADVICE_PER_RUNNER_S,
) -> Response:
    """Answer which runners may run a step.

    :param request: the request.
    :param base_s: time for the call, in seconds.
    :param per_runner_s: additional time for each runner in it, in seconds.
    :returns: the response.
    """
    body = request.document()
    step = body[names.STEP]
    runners = body[names.WORKERS]
    await anyio.sleep(base_s + per_runner_s * len(runners))
    rows = [[runner, ticket_for(step, runner)] for runner in runners]
    allowed = [row for row in rows if row[1]]
    return answer_json(200, {names.ALLOWED: allowed, names.VALID_MS: VALID_MS})


class PolicyService:
    """A policy service that takes the calls of each machine in turn.

    :ivar base_s: time for a call, in seconds.
    :ivar per_runner_s: additional time for each runner in it, in seconds.
    :ivar answered: number of calls answered.
    """

    def __init__(
        self, tasks: TaskGroup, base_s: float, per_runner_s: float
    ) -> None:
        """Start without calls.

        :param tasks: task group that answers the calls.
        :param base_s: time for a call, in seconds.
        :param per_runner_s: additional time for each runner in it, in seconds.
        """
        self.base_s = base_s
        self.per_runner_s = per_runner_s
        self.answered = 0
        self._tasks = tasks
        self._turns: dict[str, anyio.Lock] = defaultdict(anyio.Lock)

    async def answer(self, request: Request) -> Response:
        """Answer a call in its turn; it takes that if its caller has left, too.

        :param request: the request.
        :returns: the response.
        """
        turn = self._turns[request.headers.get('user-agent', '')]
        if turn.statistics().tasks_waiting >= MAX_WAITING_CALLS:
            return Response(429)
        answered = anyio.Event()
        responses: list[Response] = []
        self._tasks.start_soon(
            self._take_turn, turn, request, responses, answered
        )
        await answered.wait()
        return responses[0]

    async def _take_turn(
        self,
        turn: anyio.Lock,
        request: Request,
        responses: list[Response],
        answered: anyio.Event,
    ) -> None:
        async with turn:
            responses.append(
                await advise(request, self.base_s, self.per_runner_s)
            )
        self.answered += 1
        answered.set()


class WaveOrder(msgspec.Struct):
    """A wave of upkeep that the operator requested.

    :ivar machines: names of the machines in the wave.
    :ivar at_once: maximum number of machines that are down at a time.
    """

    machines: list[str]
    at_once: int


@dataclass(slots=True)
class _MachineDown:
    host: Host
    wave: int
    back_ms: Millis


@dataclass(slots=True)
class Machines:
    """Lists machines and carries out their upkeep.

    :ivar fleet: the runners on the machines.
    :ivar store: store to which the operator writes waves.
    :ivar checker: collects violations.
    :ivar faults: the injected faults.
    :ivar now_ms: true time since the start.
    """

    fleet: Fleet
    store: Store
    checker: InvariantChecker
    faults: Faults
    now_ms: Millis = 0
    _down: list[_MachineDown] = field(default_factory=list)
    _done: set[tuple[str, int]] = field(default_factory=set)
    _fences: dict[str, int] = field(default_factory=dict)

    def advance(self, now_ms: Millis) -> None:
        """Advance the time: machines come back when their upkeep is over.

        :param now_ms: true time since the start.
        """
        self.now_ms = now_ms
        over = [item for item in self._down if item.back_ms <= now_ms]
        for due in over:
            self._down.remove(due)
            self.fleet.revive(due.host)

    def begun(self, wave: int) -> set[str]:
        """List the machines of a wave whose upkeep has started.

        :param wave: number of the wave.
        :returns: names of the machines.
        """
        return {machine for machine, number in self._done if number == wave}

    def list_all(self) -> Response:
        """Answer with the list of machines.

        :returns: the response.
        """
        rows = [
            {
                names.MACHINE: host.name,
                names.POOL: SERVICE,
                names.STATE: 'up' if host.life else 'upkeep',
                names.ZONE: host.place.zone,
                names.ID: host.runner if host.life else '',
            }
            for host in self.fleet.hosts.values()
        ]
        return answer_json(200, {names.MACHINES: rows, names.NEXT_TOKEN: ''})

    async def order_upkeep(self, request: Request) -> Response:
        """Answer an order for the upkeep of a machine.

        :param request: the request.
        :returns: the response.
        """
        fault = self.faults.duties
        match self.faults.draw(fault):
            case FaultEffect.BUSY:
                return Response(429)
            case FaultEffect.SILENT:
                await self.faults.hold_unanswered()
            case FaultEffect.LOST:
                self._order(request)
                await self.faults.hold_unanswered()
            case FaultEffect.LATE:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(fault.delay_s)
                    self._order(request)
                await self.faults.hold_unanswered()
            case _:
                pass
        return self._order(request)

    def _order(self, request: Request) -> Response:
        body = request.document()
        name, number = body[names.MACHINE], int(body[names.WAVE])
        fence = int(request.headers[names.FENCING_TOKEN.lower()])
        if fence < self._fences.get(name, 0):
            return _refuse(UpkeepStatus.FENCED)
        self._fences[name] = fence
        wave = self._wave(number)
        if wave is None or name not in wave.machines:
            return _refuse(UpkeepStatus.OTHER_WAVE)
        if (name, number) in self._done:
            return Response(200)
        host = self._find(name)
        if host is None:
            return Response(400)
        if host.life is None:
            return _refuse(UpkeepStatus.BUSY)
        self._begin(host, number, wave.at_once)
        return Response(200)

    def _begin(self, host: Host, number: int, at_once: int) -> None:
        down = sum(due.wave == number for due in self._down)
        if down >= at_once:
            self.checker.broken.append(
                f'{host.name} starts upkeep, {down} of {at_once} are down'
            )
        self._done.add((host.name, number))
        self.fleet.kill(host)
        back_ms = self.now_ms + UPKEEP_MS
        self._down.append(_MachineDown(host, number, back_ms))

    def _wave(self, number: int) -> WaveOrder | None:
        newest = self.store.topic(OPERATOR_TOPIC).newest()
        content = newest.get(f'{WAVE_PREFIX}{number}')
        if not content:
            return None
        document = msgspec.json.decode(content)
        return WaveOrder(document[names.MACHINES], document[names.MAX_COUNT])

    def _find(self, name: str) -> Host | None:
        hosts = self.fleet.hosts.values()
        return next((host for host in hosts if host.name == name), None)


def _refuse(reason: UpkeepStatus) -> Response:
    return answer_json(409, {names.REASON: reason.value})
