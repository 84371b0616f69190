"""Accepted jobs are forgotten while holders of the cell are killed in turn."""

import sys
import time
from pathlib import Path

import anyio

from stage_2 import TROUBLE, plain_job, run_case

KEEP_S = 20
KILLS = 9
APART_S = 3.0
CALM_S = 12.0


async def case(stage) -> str:
    checker = stage.checker
    jobs = [plain_job(number, 600_000) for number in range(1, 4)]
    for job in jobs:
        if not await stage.client.submit(job):
            raise RuntimeError('a job was not accepted')
    await stage.until(lambda: len(checker.running_on) == 3, 10, 'all run')
    began = time.monotonic()
    for number in range(KILLS):
        due = began + (number + 1) * APART_S
        await anyio.sleep(max(due - time.monotonic(), 0))
        if not TROUBLE:
            continue
        await stage.until(
            lambda: any(it.holds() for it in stage.instances), 6, 'a holder'
        )
        holder = next(it for it in stage.instances if it.holds())
        stage.record.note(f'{holder.name} is killed')
        holder.kill()
        await anyio.sleep(0.3)
        holder.start()
    await anyio.sleep(CALM_S)
    lost = []
    for node, instance in enumerate(stage.instances):
        for job in jobs:
            status, _ = await stage.client.state(job, node=node)
            if status == 410:
                lost.append(f'{job.job} at {instance.name}')
    running = sorted({task.job for task in checker.running_on})
    stage.record.note(f'jobs with tasks at work: {running}')
    if not lost:
        return ''
    return f'accepted, not cancelled, and answered 410: {", ".join(lost)}'


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent, keep_s=KEEP_S))
