"""Tasks that last and request no processor are stopped again and again."""

import json
import sys
from pathlib import Path

import anyio

from stage_2 import KEY, TROUBLE, run_case
from swifthoist_emulator.callers import Order, write_job
from swifthoist_emulator.lives import Life, StepWork
from swifthoist_platform import names

COUNT = 3
LOSSY = 1
WATCH_S = 45.0
PLAIN_MS = 6_000
"""Work of a task that does not last, in ms."""


def do_work(self, run, passed_ms):
    """Work without checkpoints: neither step has `Checkpointing`."""
    _do_work(self, run, passed_ms)
    run.saved = ''


_do_work = Life._do_work
Life._do_work = do_work


def body_of(order: Order) -> bytes:
    """The body of a submission, without fields that are 0, false or empty."""
    document = json.loads(write_job(order))
    document[names.STEPS] = [
        {
            name: value
            for name, value in step.items()
            if value and name != names.CHECKPOINTING
        }
        for step in document[names.STEPS]
    ]
    return json.dumps(document).encode()


async def submit(stage, order: Order) -> None:
    path = f'{order.prefix}{order.job}'
    body = body_of(order)
    stage.record.note(f'body   {body.decode()}')
    status, _ = await stage.client.call('POST', path, body)
    if not 200 <= status < 300:
        raise RuntimeError('a job was not accepted')


async def case(stage) -> str:
    checker = stage.checker
    # What a task requests of a processor, it uses all the time.
    cpu = 0 if TROUBLE else 500
    lasting = Order(
        f'{1:016x}',
        '/batch/',
        KEY,
        (StepWork(1_000, (cpu, 22_992, 8), lasting=True),),
        COUNT,
    )
    plain = Order(
        f'{2:016x}', '/bulk/', KEY, (StepWork(PLAIN_MS, (cpu, 22_992, 1)),)
    )
    stopped: set = set()
    broken: list[str] = []
    plain_stops: list[str] = []
    note_end = checker.note_end

    def judge(runner, task, run, how):
        note_end(runner, task, run, how)
        if how != 'stopped':
            return
        if task.job == plain.job:
            plain_stops.append(how)
            return
        # A task is at work while it runs; others are away if a stop has ended
        # them and they have not started again.
        away = {it for it in stopped if it not in checker.running_on} - {task}
        stopped.add(task)
        if len(away) >= LOSSY:
            broken.append(f'{task.ordinal} is stopped while {len(away)} away')

    checker.note_end = judge
    await submit(stage, lasting)
    await submit(stage, plain)
    await anyio.sleep(WATCH_S)
    _, state = await stage.client.state(plain)
    stage.record.note(
        f'job of one task of {PLAIN_MS} ms: {state}, {len(plain_stops)} stops'
    )
    if not broken:
        return ''
    return f'{len(broken)} stops beyond Lossy, the first: {broken[0]}'


if __name__ == '__main__':
    sys.exit(run_case(case, Path(__file__).parent))
