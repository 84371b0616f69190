"""HTTP calls of the emulated runners."""

from typing import Any

import anyio
from anyio.abc import TaskGroup

from swifthoist_core.errors import OutcomeUnknownError, UnreachableError
from swifthoist_emulator.duties import ticket_for
from swifthoist_emulator.faults import Fault, FaultEffect, Faults
from swifthoist_emulator.fleet import Fleet, Host
from swifthoist_emulator.http import Request, Response, answer_json
from swifthoist_emulator.lives import Life, TaskRun, read_payload
from swifthoist_engine.model import TaskId
from swifthoist_platform import names
from swifthoist_platform.runner_calls import parse_task, task_name

END_POLL_S = 0.02
"""Interval at which a waiting poll checks for ends, in seconds."""

MAX_ENDED_RUNS = 500


class RunnerCalls:
    """Answers calls to all runners of a fleet.

    :ivar tasks: task group for orders that outlast their call; none before the
        world is started.
    """

    def __init__(self, fleet: Fleet, faults: Faults) -> None:
        """Serve a fleet.

        :param fleet: the runners.
        :param faults: the injected faults.
        """
        self.tasks: TaskGroup | None = None
        self._fleet = fleet
        self._faults = faults

    async def answer(self, request: Request, address: str) -> Response:
        """Answer a request.

        :param request: the request.
        :param address: address of the runner.
        :returns: the response.
        :raises UnreachableError: if its process is down.
        :raises OutcomeUnknownError: if its process went down meanwhile.
        """
        host = self._fleet.hosts[address]
        if host.restart_ms is not None and not self._fleet.silent_crashes:
            raise UnreachableError(f'{address}: connection refused')
        if address in self._faults.cut or host.life is None:
            await self._faults.hold_unanswered()
        life = host.life
        expected = request.headers.get(names.EXPECT_INSTANCE.lower())
        if life is None or expected != life.runner:
            return Response(421)
        call = request.path.removeprefix(names.ROOT)
        if call == names.HOLD:
            return await self._poll(request, life)
        return await self._order(call, request, host)

    async def _order(self, call: str, request: Request, host: Host) -> Response:
        fault = self._faults.orders
        life = host.life
        if life is None:
            return Response(421)
        match self._faults.draw(fault):
            case FaultEffect.BUSY:
                return Response(503)
            case FaultEffect.SILENT:
                await self._faults.hold_unanswered()
            case FaultEffect.LOST:
                _execute(call, request.document(), life)
                await self._faults.hold_unanswered()
            case FaultEffect.LATE | FaultEffect.REBORN:
                if host.keeps_id and self.tasks is not None:
                    # The order outlasts the timeout of its caller, and maybe
                    # the life of the runner.
                    self.tasks.start_soon(
                        self._execute_late, call, request, host, fault
                    )
                    await self._faults.hold_unanswered()
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(fault.delay_s)
                    self._fleet.checker.late = True
                    _execute(call, request.document(), life)
                    self._fleet.checker.late = False
                await self._faults.hold_unanswered()
            case _:
                pass
        return _execute(call, request.document(), life)

    async def _execute_late(
        self, call: str, request: Request, host: Host, fault: Fault
    ) -> None:
        """Carry out an order late, in whichever life has the id by then."""
        await anyio.sleep(fault.delay_s)
        if host.life is not None and fault.effect is FaultEffect.REBORN:
            self._fleet.kill(host)
            self._fleet.revive(host)
        if host.life is not None:
            _execute(call, request.document(), host.life)

    async def _poll(self, request: Request, life: Life) -> Response:
        effect = self._faults.draw(self._faults.looks)
        if effect is FaultEffect.SILENT:
            await self._faults.hold_unanswered()
        body = request.document()
        if not life.accept_fence(int(body.get(names.FENCE, 0))):
            return _refuse(life, 'fence')
        life.acknowledge(int(body.get(names.LAST_SEEN, 0)))
        if names.UNTIL_MS in body:
            life.renew(int(body[names.UNTIL_MS]))
        if effect is FaultEffect.LOST:
            await self._faults.hold_unanswered()
        await self._wait_for_ends(life, int(body.get(names.WAIT_MS, 0)) / 1_000)
        running = [_describe_run(run, life) for run in life.runs.values()]
        ends = [
            [end.number, task_name(end.task), end.run, end.ending, end.saved]
            for end in life.ends[:MAX_ENDED_RUNS]
        ]
        document = {
            names.CLOCK_MS: life.now_ms,
            names.RUNNING: running,
            names.ENDED_RUNS: ends,
        }
        if life.born_ms:
            # Only polls report this; answers to orders do not tell which life
            # of the runner gave them.
            document[names.BORN] = life.born_ms
        return answer_json(200, document)

    async def _wait_for_ends(self, life: Life, wait_s: float) -> None:
        with anyio.move_on_after(wait_s):
            while not life.ends:
                await anyio.sleep(END_POLL_S)
                if life.reset:
                    raise OutcomeUnknownError(f'{life.runner}: reset')
        if life.over:
            # The machine went down during the wait: nothing is left to answer.
            await self._faults.hold_unanswered()


def _describe_run(run: TaskRun, life: Life) -> list[object]:
    gauge = life.gauge(run)
    return [task_name(run.task), run.run, run.saved, run.pace, gauge]


def _execute(call: str, body: dict[str, Any], life: Life) -> Response:
    if life.over:
        # The order was delayed until after the runner had crashed.
        return Response(421)
    task = parse_task(body[names.TASK])
    if task is None:
        return Response(400)
    if not life.accept_fence(int(body.get(names.FENCE, 0))):
        return _refuse(life, 'fence')
    run = int(body[names.RUN])
    match call:
        case names.RUN_START:
            return _start(body, life, task, run)
        case names.RUN_STOP:
            life.stop(task, run)
        case names.PACE:
            current = life.runs.get(task)
            if current is not None and current.run == run:
                current.pace = int(body[names.PERCENT])
        case _:
            return Response(404)
    return answer_json(200, {names.CLOCK_MS: life.now_ms})


def _start(
    body: dict[str, Any], life: Life, task: TaskId, run: int
) -> Response:
    if not _is_permitted(body, life, task):
        return _refuse(life, 'ticket')
    reason = life.start(
        task,
        run,
        body[names.SPEC],
        int(body[names.UNTIL_MS]),
        body.get(names.CHECKPOINT, ''),
    )
    if reason:
        return _refuse(life, reason)
    return answer_json(200, {names.CLOCK_MS: life.now_ms})


def _is_permitted(body: dict[str, Any], life: Life, task: TaskId) -> bool:
    if not read_payload(body[names.SPEC])[task.step].needs_ticket:
        return True
    step = task_name(task).rpartition('.')[0]
    ticket = ticket_for(step, life.runner)
    return bool(ticket) and body.get(names.TICKET) == ticket


def _refuse(life: Life, reason: str) -> Response:
    document = {names.CLOCK_MS: life.now_ms, names.REASON: reason}
    return answer_json(409, document)
