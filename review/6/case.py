"""A task that lasts loses its runner five times, and its job is shown as failed."""

import sys
from pathlib import Path

import anyio

from stage_2 import TROUBLE, lasting_job, run_case

CRASHES = 5
AT_WORK_S = 4.0
"""How long the task runs before its runner crashes, in seconds."""


async def case(stage) -> str:
    order = lasting_job(1)
    if not await stage.client.submit(order):
        raise RuntimeError('the job was not accepted')
    checker = stage.checker

    def runners():
        found = checker.running_on.items()
        return [runner for task, runner in found if task.job == order.job]

    for _ in range(CRASHES):
        await stage.until(runners, 25, 'the task runs')
        await anyio.sleep(AT_WORK_S)
        if TROUBLE:
            # Its connections are refused for 3 s; then a new life answers.
            stage.world.fleet.crash(stage.host_of(runners()[0]))
    for _ in range(20):
        await anyio.sleep(0.5)
        status, state = await stage.client.state(order)
        if status == 200 and state in {'failed', 'canceled'}:
            if checker.failed_ends:
                raise RuntimeError('a run has failed')
            await anyio.sleep(6)
            again = f'runs again: {bool(runners())}'
            return f'shown as {state}, no run ended failed, {again}'
    return ''


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent))
