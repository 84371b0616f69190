"""Jobs of a queue with advice never start while the policy service is slow."""

import json
import sys
import time
from collections import defaultdict
from pathlib import Path

import anyio

from stage_2 import BOUNDS, KEY, TROUBLE, run_case
from swifthoist_emulator import world as world_module
from swifthoist_emulator.callers import Order
from swifthoist_emulator.duties import ticket_for
from swifthoist_emulator.http import Request, Response, answer_json
from swifthoist_emulator.lives import StepWork
from swifthoist_emulator.site import QueueSpec
from swifthoist_platform import names

JOBS = 12
WORK_MS = 1_000
DECISION_MS = 400 if TROUBLE else 20
PER_WORKER_MS = 25 if TROUBLE else 1
VALID_MS = 3_000
MAX_WAITING = 32

QUEUES = (QueueSpec('advised', '/advised/', 1, needs_ticket=True),)


def write_config(site, version: int) -> bytes:
    """Tell the figures of the policy service in the configuration."""
    document = json.loads(_write_config(site, version))
    for route in document[names.ROUTES]:
        if names.ADVICE in route:
            route[names.ADVICE] = {
                'DecisionMs': DECISION_MS,
                'PerWorkerMs': PER_WORKER_MS,
                names.VALID_MS: VALID_MS,
            }
    return json.dumps(document).encode()


class Advice:
    """The policy service: one call at a time for each calling machine."""

    def __init__(self) -> None:
        self.record = None
        self._locks: dict[str, anyio.Lock] = defaultdict(anyio.Lock)
        self._waiting: dict[str, int] = defaultdict(int)

    async def answer(self, request: Request) -> Response:
        machine = request.headers.get('user-agent', '')
        if self._waiting[machine] >= MAX_WAITING:
            return Response(429)
        came = time.monotonic()
        self._waiting[machine] += 1
        try:
            await self._locks[machine].acquire()
        finally:
            self._waiting[machine] -= 1
        try:
            body = request.document()
            step, workers = body[names.STEP], body[names.WORKERS]
            took_ms = DECISION_MS + PER_WORKER_MS * len(workers)
            await anyio.sleep(took_ms / 1_000)
        finally:
            self._locks[machine].release()
        waited_s = time.monotonic() - came
        self.record.note(
            f'advice {step}: {len(workers)} workers, {took_ms} ms, answered'
            f' {waited_s:.2f} s after the call'
        )
        rows = [[it, ticket_for(step, it)] for it in workers]
        rows = [row for row in rows if row[1]]
        return answer_json(200, {names.ALLOWED: rows, names.VALID_MS: VALID_MS})


advice = Advice()
_write_config = world_module.write_config
world_module.write_config = write_config
world_module.advise = advice.answer


async def case(stage) -> str:
    checker = stage.checker
    advice.record = stage.record
    stage.record.note(
        f'advice: DecisionMs {DECISION_MS}, PerWorkerMs {PER_WORKER_MS}'
    )
    orders = [
        Order(
            f'{number:016x}',
            '/advised/',
            KEY,
            (StepWork(WORK_MS, (5_600, 22_992, 1), needs_ticket=True),),
        )
        for number in range(1, JOBS + 1)
    ]
    for order in orders:
        if not await stage.client.submit(order):
            raise RuntimeError('a job was not accepted')
    ended = time.monotonic()
    stage.record.note('the traffic ends')
    # From then on a job must not have nothing running for 3 s: all runners are
    # idle but for these jobs, of one task each, which have been due all along.
    await anyio.sleep(BOUNDS['finish_s'])
    before = {it.job for it in orders if it.job not in checker.begun}
    await anyio.sleep(3.1)
    still = sorted(it for it in before if it not in checker.begun)
    stage.record.note(f'not begun at the end: {len(still)} of {JOBS}')
    await anyio.sleep(25)
    passed_s = time.monotonic() - ended
    later = sum(it.job not in checker.begun for it in orders)
    stage.record.note(f'not begun after {passed_s:.0f} s: {later} of {JOBS}')
    for order in orders:
        await stage.client.state(order)
    if not still:
        return ''
    return f'{len(still)} of {JOBS} jobs have nothing running at the end'


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent, queues=QUEUES))
