"""A client that submits jobs and retries, as the platform's callers do."""

from collections.abc import Sequence
from typing import Any, NamedTuple

import anyio
import httpx
import msgspec

from swifthoist_emulator.checker import InvariantChecker
from swifthoist_emulator.lives import TAIL_TARGET_MS, StepWork, write_payload
from swifthoist_emulator.site import HOST
from swifthoist_engine.model import TaskId
from swifthoist_platform import names

CALL_TIMEOUT_S = 3.0
MAX_TRIES = 8
RETRY_PAUSE_S = 0.3

MAX_MISSING_TASKS = 1
"""Tasks of a lasting step that the scheduler may leave missing at a time."""

_FINAL_STATUSES = frozenset((200, 400, 401, 404, 410))

CANCELED_STATUSES = frozenset((200, 410))
"""Answers after which no task of a canceled job starts."""

_NO_ANSWER = 0
_FIRST_ERROR = 400

_UNKNOWN_STATUSES = frozenset((_NO_ANSWER, 502, 504))
"""Outcomes that leave open whether a call takes effect."""


class Order(NamedTuple):
    """A job to submit.

    :ivar job: its id.
    :ivar prefix: prefix of its queue.
    :ivar key: key of its team.
    :ivar steps: the work of each step.
    :ivar width: number of tasks of each step, unless it is a gang.
    """

    job: str
    prefix: str
    key: str
    steps: tuple[StepWork, ...]
    width: int = 1

    def units(self) -> list[frozenset[TaskId]]:
        """List what has to be done: each single task and each gang."""
        found: list[frozenset[TaskId]] = []
        for number, work in enumerate(self.steps):
            count = work.gang or self.width
            tasks = [TaskId(self.job, 0, number, at) for at in range(count)]
            if work.gang:
                found.append(frozenset(tasks))
            else:
                found.extend(frozenset((task,)) for task in tasks)
        return found


class Caller:
    """Calls the instances in turn, the next one at each try."""

    def __init__(
        self, addresses: Sequence[str], checker: InvariantChecker
    ) -> None:
        """Prepare the client.

        :param addresses: addresses of the instances.
        :param checker: records what is submitted and canceled.
        """
        self._addresses = tuple(addresses)
        self._checker = checker
        self._http = httpx.AsyncClient(trust_env=False)
        self._turn = 0

    async def submit(self, order: Order) -> int:
        """Submit a job, and retry until the answer is final.

        :param order: the job.
        :returns: the last HTTP status; 0 for no answer.
        """
        self._checker.submitted.add(order.job)
        statuses = await self._call('POST', order, write_job(order))
        if are_rejections(statuses):
            self._checker.note_rejected(order.job)
        return statuses[-1]

    async def cancel(self, order: Order) -> int:
        """Cancel a job, and retry until the answer is final.

        :param order: the job.
        :returns: the last HTTP status; 0 for no answer.
        """
        statuses = await self._call('DELETE', order)
        if statuses[-1] in CANCELED_STATUSES:
            self._checker.note_canceled(order.job)
        return statuses[-1]

    async def state(self, order: Order) -> str:
        """Query the state of a job.

        :param order: the job.
        :returns: the state; empty if the query failed.
        """
        reply = await self._try('GET', order, b'')
        if reply is None or reply.status_code != 200:
            return ''
        found: str = msgspec.json.decode(reply.content)[names.STATE]
        if found == 'complete':
            self._checker.note_complete(order.job, order.units())
        if found == 'failed':
            self._checker.note_failed(order.job)
        return found

    async def close(self) -> None:
        """Close the connections."""
        await self._http.aclose()

    async def _call(
        self, method: str, order: Order, content: bytes = b''
    ) -> list[int]:
        """Call until the answer is final; return the status of each attempt."""
        statuses: list[int] = []
        for _ in range(MAX_TRIES):
            reply = await self._try(method, order, content)
            statuses.append(_NO_ANSWER if reply is None else reply.status_code)
            if statuses[-1] in _FINAL_STATUSES:
                break
            await anyio.sleep(RETRY_PAUSE_S)
        return statuses

    async def _try(
        self, method: str, order: Order, content: bytes
    ) -> httpx.Response | None:
        address = self._addresses[self._turn % len(self._addresses)]
        self._turn += 1
        headers = {'Host': HOST, names.AUTHORIZATION: f'Token {order.key}'}
        url = f'http://{address}{order.prefix}{order.job}'
        try:
            return await self._http.request(
                method,
                url,
                content=content,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except httpx.HTTPError:
            return None


def are_rejections(statuses: Sequence[int]) -> bool:
    """Return whether a call had certainly no effect, as its caller was told.

    :param statuses: HTTP status of each attempt; 0 for no answer.
    :returns: whether each attempt was rejected.
    """
    return not any(
        status in _UNKNOWN_STATUSES or status < _FIRST_ERROR
        for status in statuses
    )


def write_job(order: Order) -> bytes:
    """Encode the body of a submission.

    :param order: the job.
    :returns: the body.
    """
    steps: list[dict[str, Any]] = []
    for number, work in enumerate(order.steps):
        cpu, memory, accelerators = work.need
        step: dict[str, Any] = {
            names.COUNT: work.gang or order.width,
            names.CPU: cpu,
            names.MEM_MB: memory,
            names.GPU: accelerators,
            names.ESTIMATE_MS: work.work_ms,
            names.GANG: work.gang > 0,
            names.SAME_RACK: work.gang > 0,
            names.CHECKPOINTING: True,
        }
        if work.lasting:
            step[names.LONG_RUNNING] = True
            step[names.LOSSY] = MAX_MISSING_TASKS
        if work.serves:
            step[names.TARGET_MS] = TAIL_TARGET_MS
        if work.fills:
            step[names.FILLS] = True
        if number:
            step[names.DEPENDS_ON] = [number - 1]
        steps.append(step)
    payload = write_payload(order.steps)
    return msgspec.json.encode({names.SPEC: payload, names.STEPS: steps})
