"""A start that is held up reaches the next life of its runner: a task that is
done runs again."""

import sys
import time
from pathlib import Path

import anyio

from stage_2 import TROUBLE, name_of, plain_job, run_case
from swifthoist_emulator import runner_calls
from swifthoist_platform import names
from swifthoist_platform.runner_calls import parse_task

HELD_UP_S = 6.0
"""How long the first order to start the task is held up, in seconds."""

DOWN_S = 1.5
"""How long the runner is down, in seconds."""

BEHIND_S = 0.1
"""How long after the runner is back the order arrives, in seconds."""

_order = runner_calls.RunnerCalls._order


class HeldUp:
    """Holds the first order to start a job up, which then gets no answer."""

    def __init__(self) -> None:
        self.job = ''
        self.body = None
        self.host = None
        self.at = 0.0
        self.record = None

    async def order(self, calls, call, request, host):
        if call == names.RUN_START and self.body is None:
            body = request.document()
            task = parse_task(body[names.TASK])
            if task is not None and task.job == self.job:
                self.body, self.host, self.at = body, host, time.monotonic()
                self.record.note(f'start of {name_of(task)} is held up')
                await calls._faults.hold_unanswered()
        return await _order(calls, call, request, host)

    def arrive(self) -> None:
        late_s = time.monotonic() - self.at
        self.record.note(f'the start held up arrives, {late_s:.2f} s late')
        answer = runner_calls._execute(
            names.RUN_START, self.body, self.host.life
        )
        self.record.note(f'and is answered {answer.status}')


held_up = HeldUp()


async def order(self, call, request, host):
    return await held_up.order(self, call, request, host)


runner_calls.RunnerCalls._order = order


async def case(stage) -> str:
    checker = stage.checker
    held_up.record = stage.record
    job = plain_job(1, 2_500)
    if TROUBLE:
        held_up.job = job.job
    if not await stage.client.submit(job):
        raise RuntimeError('the job was not accepted')
    began = time.monotonic()
    await stage.until(lambda: checker._acknowledged_done, 10, 'it is done')
    stage.record.note('the end of the task is taken note of')
    status, state = await stage.client.state(job)
    starts = checker.starts
    if TROUBLE:
        host = held_up.host
        await anyio.sleep(began + HELD_UP_S - DOWN_S - time.monotonic())
        stage.record.note(f'{host.runner} goes down')
        stage.world.fleet.kill(host)
        await anyio.sleep(began + HELD_UP_S - time.monotonic())
        stage.record.note(f'{host.runner} is back, under its id')
        stage.world.fleet.revive(host)
        await anyio.sleep(BEHIND_S)
        held_up.arrive()
    await anyio.sleep(5)
    again = checker.starts - starts
    stage.record.note(f'shown as {state}; started again: {again}')
    if not again:
        return ''
    return 'a task started again after its end, done, was taken note of'


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent, lasting_ids=True))
