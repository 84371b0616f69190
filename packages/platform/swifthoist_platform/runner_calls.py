"""Client of one runner: orders to it, and looks at what it runs."""

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
from swifthoist_platform.values import DocumentReader, read_json

MAX_WAIT_MS = 2_000
"""Longest time for which a look may wait for an end, in ms."""

MAX_ENDED_RUNS = 500
"""Most ends that one look lists."""

_OK = 200
_BAD = 400
_CONFLICT = 409
_OTHER_LIFE = 421
_NOTHING_DONE = frozenset((429, 503))


class OrderResult(StrEnum):
    """What a runner said of an order."""

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
    """Answer to an order.

    :ivar result: what the runner said.
    :ivar clock_ms: time on the runner's clock; 0 if it did not tell.
    :ivar born_ms: when the life that answered began, since the Unix epoch; 0
        if it did not tell.
    """

    result: OrderResult
    clock_ms: Millis
    born_ms: Millis = 0


class StartOrder(NamedTuple):
    """An order to start a run.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar payload: text of the job.
    :ivar until_ms: end of the lease, on the runner's clock.
    :ivar fence: epoch of the holder.
    :ivar checkpoint: where to resume; empty for the beginning.
    :ivar ticket: permission by the queue's policy; empty for none.
    """

    task: TaskId
    run: int
    payload: str
    until_ms: Millis
    fence: Epoch
    checkpoint: str = ''
    ticket: str = ''


class RunningTask(NamedTuple):
    """A run that a runner has.

    :ivar task: the task.
    :ivar run: number of the run.
    :ivar checkpoint: its newest checkpoint; empty for none.
    :ivar pace: share of its work that it may do, in percent.
    :ivar gauge: rough figure of the last half second: the tail latency in
        ms of a task that serves, else the processor use in thousandths of
        a core; none if the runner did not tell.
    """

    task: TaskId
    run: int
    checkpoint: str
    pace: int
    gauge: float | None


class EndedRun(NamedTuple):
    """An end that a runner lists.

    :ivar number: its number at this runner.
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
    """What a runner runs and which ends it lists.

    :ivar result: whether the runner took the call.
    :ivar clock_ms: time on the runner's clock.
    :ivar running: the runs that it has.
    :ivar ends: the ends after the one that was named.
    :ivar complete: every row could be read, and no end was left for later.
    :ivar born_ms: when the life that answered began, since the Unix epoch; 0
        if it did not tell.
    """

    result: OrderResult
    clock_ms: Millis
    running: tuple[RunningTask, ...] = ()
    ends: tuple[EndedRun, ...] = ()
    complete: bool = False
    born_ms: Millis = 0


class RunnerClient:
    """Makes calls to one life of a runner."""

    def __init__(self, runner: RunnerId, endpoint: EndpointProtocol) -> None:
        """Use an endpoint.

        :param runner: id of the runner; another life rejects the calls.
        :param endpoint: its address.
        """
        self._endpoint = endpoint
        self._headers = {
            names.EXPECT_INSTANCE: runner,
            'Content-Type': 'application/json',
        }

    async def start(self, order: StartOrder, timeout_s: float) -> OrderAnswer:
        """Order a start; the same order may be repeated.

        :param order: what to start.
        :param timeout_s: time for the call, in seconds.
        :returns: what the runner said.
        :raises OutcomeUnknownError: when it may start, now or later.
        :raises UnreachableError: when the order was not sent.
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
        return _answer(await self._post(names.RUN_START, body, timeout_s))

    async def stop(
        self, task: TaskId, run: int, fence: Epoch, timeout_s: float
    ) -> OrderAnswer:
        """Order a stop; the same order may be repeated.

        :param task: the task.
        :param run: number of the run; it can't start any more.
        :param fence: epoch of the holder.
        :param timeout_s: time for the call, in seconds.
        :returns: what the runner said.
        :raises OutcomeUnknownError: when the order may be carried out.
        :raises UnreachableError: when the order was not sent.
        """
        body = {names.TASK: task_name(task), names.RUN: run, names.FENCE: fence}
        return _answer(await self._post(names.RUN_STOP, body, timeout_s))

    async def pace(
        self, running: RunningTask, percent: int, fence: Epoch, timeout_s: float
    ) -> OrderAnswer:
        """Limit a run to a share of its work.

        :param running: the run.
        :param percent: the share, 0 to 100.
        :param fence: epoch of the holder.
        :param timeout_s: time for the call, in seconds.
        :returns: what the runner said.
        :raises OutcomeUnknownError: when the order may be carried out.
        :raises UnreachableError: when the order was not sent.
        """
        body = {
            names.TASK: task_name(running.task),
            names.RUN: running.run,
            names.PERCENT: percent,
            names.FENCE: fence,
        }
        return _answer(await self._post(names.PACE, body, timeout_s))

    async def poll(
        self,
        fence: Epoch,
        seen: int,
        until_ms: Millis | None,
        wait_ms: int,
        timeout_s: float,
    ) -> PollReply:
        """Renew the lease and look at what runs, waiting for an end.

        :param fence: epoch of the holder.
        :param seen: number of the newest end that is recorded.
        :param until_ms: end of the lease on the runner's clock; none only
            looks.
        :param wait_ms: how long to wait for an end, in ms.
        :param timeout_s: time for the call, in seconds.
        :returns: what was seen.
        :raises OutcomeUnknownError: when no answer came.
        :raises UnreachableError: when the call was not sent.
        """
        body: dict[str, Any] = {names.FENCE: fence, names.LAST_SEEN: seen}
        if until_ms is not None:
            body[names.UNTIL_MS] = until_ms
        if wait_ms > 0:
            body[names.WAIT_MS] = min(wait_ms, MAX_WAIT_MS)
        reply = await self._post(names.HOLD, body, timeout_s)
        answer = _answer(reply)
        if answer.result is not OrderResult.TAKEN:
            return PollReply(*answer[:2], born_ms=answer.born_ms)
        reader = read_json(reply.content)
        return _read_look(answer, reader)

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
    """Write the name of a task.

    :param task: the task.
    :returns: its name at runners.
    """
    return '.'.join(map(str, task))


def parse_task(name: object) -> TaskId | None:
    """Read the name of a task.

    :param name: name as a runner gave it.
    :returns: the task; none if it is no such name.
    """
    if not isinstance(name, str):
        return None
    job, *numbers = name.split('.')
    if len(numbers) != 3 or not all(map(str.isdecimal, numbers)):
        return None
    return TaskId(job, *map(int, numbers))


def _read_look(answer: OrderAnswer, reader: DocumentReader) -> PollReply:
    running = [_running(row) for row in reader.array(names.RUNNING)]
    ends = [_ended(row) for row in reader.array(names.ENDED_RUNS)]
    complete = None not in running and None not in ends
    return PollReply(
        OrderResult.TAKEN,
        answer.clock_ms,
        tuple(row for row in running if row is not None),
        tuple(row for row in ends if row is not None),
        complete and not reader.findings and len(ends) < MAX_ENDED_RUNS,
        answer.born_ms,
    )


def _answer(reply: Reply) -> OrderAnswer:
    reader = read_json(reply.content) if reply.content else DocumentReader({})
    clock_ms = reader.integer(names.CLOCK_MS)
    return OrderAnswer(
        _verdict(reply, reader), clock_ms, reader.timestamp_ms(names.BORN)
    )


def _verdict(reply: Reply, reader: DocumentReader) -> OrderResult:
    if reply.status == _OK:
        return OrderResult.TAKEN
    if reply.status == _OTHER_LIFE:
        return OrderResult.OTHER_LIFE
    if reply.status in _NOTHING_DONE:
        return OrderResult.UNHEALTHY
    if reply.status == _CONFLICT:
        return _reason(reader.string(names.REASON))
    if reply.status == _BAD:
        return OrderResult.INVALID
    raise OutcomeUnknownError(f'the runner answered {reply.status}')


def _reason(reason: str) -> OrderResult:
    try:
        return OrderResult(reason)
    except ValueError:
        return OrderResult.INVALID


def _running(row: object) -> RunningTask | None:
    match row:
        case [name, int(run), str(checkpoint), int(pace), *more]:
            task = parse_task(name)
            gauge = more[0] if more else None
            if not isinstance(gauge, int | float):
                gauge = None
            return task and RunningTask(task, run, checkpoint, pace, gauge)
        case _:
            return None


def _ended(row: object) -> EndedRun | None:
    match row:
        case [int(number), name, int(run), str(how), str(checkpoint), *_]:
            task = parse_task(name)
            if task is None or how not in set(Ending):
                return None
            return EndedRun(number, task, run, Ending(how), checkpoint)
        case _:
            return None
