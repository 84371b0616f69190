"""One accepted job ends every term of every holder, for good."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import stage_3
from stage_3 import BROKEN, HELD, TROUBLE, StepWork, order

import anyio
import msgspec

TASKS = 120
WORK_MS = 20_000
AS_MUCH_AS_THERE_IS = 2**53 - 1
"""The largest whole number that JSON carries exactly."""

USUAL_CPU = 1_000
UNTIL_S = 66
"""By when the next snapshot was due: a minute after the first one."""


async def case(stage, record):
    first, second, third = stage.instances
    cpu = AS_MUCH_AS_THERE_IS if TROUBLE != '0' else USUAL_CPU
    _, before, body = order(
        1, '/batch/', StepWork(300_000, (1_000, 100, 1))
    )
    status, _ = await stage.call(first, 'POST', before, body)
    assert status == 200, status
    fills = StepWork(WORK_MS, (cpu, 10, 0), fills=True)
    _, path, body = order(2, '/bulk/', fills, width=TASKS)
    steps = msgspec.json.decode(body)['Steps']
    status, _ = await stage.call(first, 'POST', path, body)
    record(f'job 2 has the steps {steps}')
    assert status == 200, status
    for _ in range(50):
        if await stage.state(second, path) == 'complete':
            break
        await anyio.sleep(1)
    else:
        return stage_3.NOT_RUN
    record('waiting until the next snapshot is due')
    while record.now() < UNTIL_S:
        await anyio.sleep(0.1)
    job, path, body = order(3, '/urgent/', StepWork(500, (1_000, 100, 1)))
    status, _ = await stage.call(third, 'POST', path, body)
    assert status == 200, status
    record('waiting for 20 s')
    for number in range(20):
        await anyio.sleep(1)
        if number % 4 == 3:
            starts = stage.world.checker.starts
            running = len(stage.running(f'{1:016x}'))
            record(f'{starts} starts so far; job 1: {running} tasks running')
    shown = [await stage.state(it, path) for it in stage.instances]
    record(f'job 3 is shown as {shown}')
    return BROKEN if 'complete' not in shown else HELD


stage_3.run_case(Path(__file__).parent, case)
