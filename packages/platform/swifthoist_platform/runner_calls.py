"""Client of one runner: orders to it, and polls of what it runs.

A life of a runner is the time from one of its starts to its end. Each life has
an id or a birth time of its own, so that calls to an earlier one are detected.
"""

import re
from enum import StrEnum
from typing import Any, NamedTuple

import msgspec

from swifthoist_core.errors import OutcomeUnknownError
from swifthoist_core.types import Epoch, Millis, RunnerId
from swifthoist_engine.model import TaskId
from swifthoist_engine.records import Ending
from swifthoist_platform import names
from swifthoist_platform.calls import Call, Reply
from swifthoist_platform.endpoint import EndpointProtocol
from swifthoist_platform.values import DocumentReader, is_number, read_json

MAX_WAIT_MS = 2_000
"""Longest time for which a poll may wait for a run to end, in ms."""

MAX_ENDED_RUNS = 500
"""Maximum number of ended runs in the reply to a poll."""

MAX_CHECKPOINT_CHARS = 1_000
"""Longest checkpoint that is kept, in characters: the ends in the reply to a
poll are recorded in one append."""

_TASK_NAME = re.compile(r'([!-\-/-~]{1,64})' + 3 * r'\.([0-9]{1,9})')
_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_OTHER_LIFE = 421
_UNAVAILABLE_STATUSES = frozenset((429, 503))


class OrderResult(StrEnum):
    """Result of an order to a runner.

    ``OLD`` is a run whose number is outdated, ``LATE`` a lease that has ended,
    ``NO_ROOM`` a lack of capacity, and ``NO_TICKET`` a missing permission of
    the queue's policy.
    """

    TAKEN = 'taken'
    FENCED = 'fence'
    OLD = 'old'
    LATE = 'late'
    NO_ROOM = 'room'
    NO_TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    OTHER_LIFE = 'other life'
    INVALID = 'invalid'


class OrderAnswer(NamedTuple):
    """Reply of a runner to an order.

    :ivar result: result of the order.
    :ivar clock_ms: time on the runner's clock, in ms; 0 if unknown.
    :ivar born_ms: start of the life that answered, in ms since the Unix
        epoch; 0 if unknown.
    """

    result: OrderResult
    clock_ms: Millis
    born_ms: Millis = 0


class StartOrder(NamedTuple):
    """An order to start a run.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar payload: payload of the job.
    :ivar until_ms: end of the lease, on the runner's clock.
    :ivar fence: epoch of the holder.
    :ivar checkpoint: checkpoint to resume from; empty to start from scratch.
    :ivar ticket: permission of the queue's policy; empty for none.
    """

    task: TaskId
    run: int
    payload: str
    until_ms: Millis
    fence: Epoch
    checkpoint: str = ''
    ticket: str = ''


class RunningTask(NamedTuple):
    """A run in progress on a runner.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar checkpoint: its newest checkpoint; empty for none.
    :ivar pace: percentage of full speed to which it is throttled.
    :ivar gauge: rough measurement over the last half second: tail latency in
        ms of a serving task, else processor use in thousandths of a core;
        none if the runner did not report it.
    """

    task: TaskId
    run: int
    checkpoint: str
    pace: int
    gauge: float | None


class EndedRun(NamedTuple):
    """A run that has ended on a runner.

    :ivar number: number of the end, counted by this runner.
    :ivar task: the task.
    :ivar run: number of the run.
    :ivar ending: how it ended.
    :ivar checkpoint: its last checkpoint; empty for none.
    """

    number: int
    task: TaskId
    run: int
    ending: Ending
    checkpoint: str


class PollReply(NamedTuple):
    """Reply to a poll: the runs in progress and those that have ended.

    :ivar result: whether the runner accepted the call.
    :ivar clock_ms: time on the runner's clock, in ms.
    :ivar running: runs in progress.
    :ivar ends: ended runs after the last one that the poll acknowledged.
    :ivar complete: every row was valid, and no ended run was left out.
    :ivar born_ms: start of the life that answered, in ms since the Unix
        epoch; 0 if unknown.
    """

    result: OrderResult
    clock_ms: Millis
    running: tuple[RunningTask, ...] = ()
    ends: tuple[EndedRun, ...] = ()
    complete: bool = False
    born_ms: Millis = 0


class RunnerClient:
    """Makes calls to one runner."""

    def __init__(self, runner: RunnerId, endpoint: EndpointProtocol) -> None:
        """Create a client.

        :param runner: id of the runner; a runner with another id rejects the
            calls.
        :param endpoint: endpoint of the runner.
        """
        self._endpoint = endpoint
        self._headers = {
            names.EXPECT_INSTANCE: runner,
            'Content-Type': 'application/json',
        }

    async def start(self, order: StartOrder, timeout_s: float) -> OrderAnswer:
        """Order the start of a run; the call is idempotent.

        :param order: the order.
        :param timeout_s: timeout of the call, in seconds.
        :returns: reply of the runner.
        :raises OutcomeUnknownError: if the run may start, now or later.
        :raises UnreachableError: if the order was not sent.
        """
        body: dict[str, Any] = {
            names.TASK: task_name(order.task),
            names.RUN: order.run,
            names.SPEC: order.payload,
            names.UNTIL_MS: order.until_ms,
            names.FENCE: order.fence,
        }
        if order.checkpoint:
            body[names.CHECKPOINT] = order.checkpoint
        if order.ticket:
            body[names.TICKET] = order.ticket
        return _parse_answer(await self._post(names.RUN_START, body, timeout_s))

    async def stop(
        self, task: TaskId, run: int, fence: Epoch, timeout_s: float
    ) -> OrderAnswer:
        """Order a run to stop, and never to start; the call is idempotent.

        :param task: the task.
        :param run: number of the run.
        :param fence: epoch of the holder.
        :param timeout_s: timeout of the call, in seconds.
        :returns: reply of the runner.
        :raises OutcomeUnknownError: if the order may be carried out.
        :raises UnreachableError: if the order was not sent.
        """
        body = {names.TASK: task_name(task), names.RUN: run, names.FENCE: fence}
        return _parse_answer(await self._post(names.RUN_STOP, body, timeout_s))

    async def pace(
        self, running: RunningTask, percent: int, fence: Epoch, timeout_s: float
    ) -> OrderAnswer:
        """Throttle a run to a percentage of its full speed.

        :param running: the run.
        :param percent: the percentage, 0 to 100.
        :param fence: epoch of the holder.
        :param timeout_s: timeout of the call, in seconds.
        :returns: reply of the runner.
        :raises OutcomeUnknownError: if the order may be carried out.
        :raises UnreachableError: if the order was not sent.
        """
        body = {
            names.TASK: task_name(running.task),
            names.RUN: running.run,
            names.PERCENT: percent,
            names.FENCE: fence,
        }
        return _parse_answer(await self._post(names.PACE, body, timeout_s))

    async def poll(
        self,
        fence: Epoch,
        seen: int,
        until_ms: Millis | None,
        wait_ms: int,
        timeout_s: float,
    ) -> PollReply:
        """Renew the lease and list the runs, waiting for a run to end.

        :param fence: epoch of the holder.
        :param seen: number of the newest end that is recorded in the log; the
            runner drops this end and earlier ones.
        :param until_ms: end of the lease on the runner's clock; none to leave
            the lease as it is.
        :param wait_ms: how long to wait for a run to end, in ms.
        :param timeout_s: timeout of the call, in seconds.
        :returns: reply of the runner.
        :raises OutcomeUnknownError: if there was no valid reply.
        :raises UnreachableError: if the call was not sent.
        """
        body: dict[str, Any] = {names.FENCE: fence, names.LAST_SEEN: seen}
        if until_ms is not None:
            body[names.UNTIL_MS] = until_ms
        if wait_ms > 0:
            body[names.WAIT_MS] = min(wait_ms, MAX_WAIT_MS)
        reply = await self._post(names.HOLD, body, timeout_s)
        answer = _parse_answer(reply)
        if answer.result is not OrderResult.TAKEN:
            return PollReply(*answer[:2], born_ms=answer.born_ms)
        reader = read_json(reply.content)
        return _parse_poll(answer, reader)

    async def close(self) -> None:
        """Close the connections."""
        await self._endpoint.close()

    async def _post(
        self, path: str, body: dict[str, Any], timeout_s: float
    ) -> Reply:
        content = msgspec.json.encode(body)
        return await self._endpoint.call(
            Call(
                'POST',
                f'{names.ROOT}{path}',
                timeout_s,
                content,
                self._headers,
            )
        )


def task_name(task: TaskId) -> str:
    """Format the name of a task as runners use it.

    :param task: the task.
    :returns: its name.
    """
    return '.'.join(map(str, task))


def parse_task(name: object) -> TaskId | None:
    """Parse the name of a task.

    :param name: name from the reply of a runner.
    :returns: the task; none if the name is invalid.
    """
    if not isinstance(name, str):
        return None
    found = _TASK_NAME.fullmatch(name)
    if found is None:
        return None
    job, *numbers = found.groups()
    return TaskId(job, *map(int, numbers))


def _parse_poll(answer: OrderAnswer, reader: DocumentReader) -> PollReply:
    running = [_parse_running(row) for row in reader.array(names.RUNNING)]
    ends = [_parse_ended(row) for row in reader.array(names.ENDED_RUNS)]
    complete = None not in running and None not in ends
    return PollReply(
        OrderResult.TAKEN,
        answer.clock_ms,
        tuple(row for row in running if row is not None),
        tuple(row for row in ends if row is not None),
        complete and not reader.findings and len(ends) < MAX_ENDED_RUNS,
        answer.born_ms,
    )


def _parse_answer(reply: Reply) -> OrderAnswer:
    reader = read_json(reply.content) if reply.content else DocumentReader({})
    clock_ms = reader.integer(names.CLOCK_MS)
    return OrderAnswer(
        _parse_result(reply, reader), clock_ms, reader.timestamp_ms(names.BORN)
    )


def _parse_result(reply: Reply, reader: DocumentReader) -> OrderResult:
    if reply.status == _OK:
        return OrderResult.TAKEN
    if reply.status == _OTHER_LIFE:
        return OrderResult.OTHER_LIFE
    if reply.status in _UNAVAILABLE_STATUSES:
        return OrderResult.UNHEALTHY
    if reply.status == _CONFLICT:
        return _parse_reason(reader.string(names.REASON))
    if reply.status == _BAD_REQUEST:
        return OrderResult.INVALID
    raise OutcomeUnknownError(f'runner returned HTTP {reply.status}')


def _parse_reason(reason: str) -> OrderResult:
    try:
        return OrderResult(reason)
    except ValueError:
        return OrderResult.INVALID


def _parse_running(row: object) -> RunningTask | None:
    match row:
        case [name, int(run), str(checkpoint), int(pace), *more]:
            task = parse_task(name)
            if task is None or not all(map(is_number, (run, pace))):
                return None
            gauge = more[0] if more and is_number(more[0]) else None
            return RunningTask(
                task, run, _usable_checkpoint(checkpoint), pace, gauge
            )
        case _:
            return None


def _parse_ended(row: object) -> EndedRun | None:
    match row:
        case [int(number), name, int(run), str(how), str(checkpoint), *_]:
            task = parse_task(name)
            if task is None or how not in set(Ending):
                return None
            if not all(map(is_number, (number, run))):
                return None
            return EndedRun(
                number, task, run, Ending(how), _usable_checkpoint(checkpoint)
            )
        case _:
            return None


def _usable_checkpoint(checkpoint: str) -> str:
    """Return a checkpoint, or an empty one for a start from scratch."""
    return checkpoint if len(checkpoint) <= MAX_CHECKPOINT_CHARS else ''
