"""Small jobs wait on idle runners for a gang that waits for tasks that last."""

import json
import sys
import time
from pathlib import Path

import anyio

from stage_2 import BOUNDS, SMALL, TROUBLE, run_case
from swifthoist_emulator.lives import StepWork, write_payload

LASTING = {
    'Count': SMALL.runners,
    'Cpu': 5_600,
    'MemMb': 22_992,
    'Gpu': 3,
    'EstimateMs': 1_000,
    'LongRunning': True,
    'AntiAffinity': 1,
}
"""One task on each runner; together they use 72 of 192 GPUs."""

GANG = {
    'Count': SMALL.runners,
    'Cpu': 26_000,
    'MemMb': 110_000,
    'Gpu': 8,
    'EstimateMs': 8_500,
    'Gang': True,
}
"""Needs the whole of every runner."""

SMALL_TASK = {'Count': 1, 'Cpu': 5_600, 'MemMb': 22_992, 'Gpu': 1}
SMALL_MS = 11_000
SMALL_JOBS = 6


async def submit(stage, number: int, prefix: str, step: dict, work) -> str:
    job = f'{number:016x}'
    document = {'Spec': write_payload((work,)), 'Steps': [step]}
    body = json.dumps(document).encode()
    stage.record.note(f'body   {body.decode()}')
    status, _ = await stage.client.call('POST', f'{prefix}{job}', body)
    if not 200 <= status < 300:
        raise RuntimeError('a job was not accepted')
    return job


async def case(stage) -> str:
    checker = stage.checker
    need = (LASTING['Cpu'], LASTING['MemMb'], LASTING['Gpu'])
    work = StepWork(1_000, need, lasting=True)
    await submit(stage, 1, '/bulk/', LASTING, work)
    await stage.until(
        lambda: len(checker.running_on) == SMALL.runners, 20, 'all run'
    )
    await anyio.sleep(3)
    if TROUBLE:
        need = (GANG['Cpu'], GANG['MemMb'], GANG['Gpu'])
        work = StepWork(GANG['EstimateMs'], need, gang=GANG['Count'])
        await submit(stage, 2, '/batch/', GANG, work)
    await anyio.sleep(4.5)
    step = {**SMALL_TASK, 'EstimateMs': SMALL_MS}
    need = (step['Cpu'], step['MemMb'], step['Gpu'])
    jobs = [
        await submit(stage, number, '/bulk/', step, StepWork(SMALL_MS, need))
        for number in range(3, 3 + SMALL_JOBS)
    ]
    ended = time.monotonic()
    stage.record.note('the traffic ends')
    # From finish_s on, no job may have nothing running for 3 s: of each runner
    # five of eight GPUs and nine tenths of the processor are idle.
    await anyio.sleep(BOUNDS['finish_s'])
    before = [it for it in jobs if it not in checker.begun]
    await anyio.sleep(3.1)
    still = [it for it in before if it not in checker.begun]
    stage.record.note(f'not begun at the end: {len(still)} of {SMALL_JOBS}')
    while time.monotonic() - ended < 45:
        if all(it in checker.begun for it in jobs):
            break
        await anyio.sleep(0.1)
    waited_s = time.monotonic() - ended
    stage.record.note(f'begun or given up waiting after {waited_s:.1f} s')
    if not still:
        return ''
    return (
        f'{len(still)} of {SMALL_JOBS} small jobs have nothing running at the'
        f' end, on runners with 120 of 192 GPUs idle; begun {waited_s:.0f} s'
        ' after the end of the traffic'
    )


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent))
