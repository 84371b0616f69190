"""A job runs on although its cancelling was acknowledged.

One instance stands still for 3.5 s. A client hands a job in there, gets no
answer within its deadline of 3 s, and cancels the job at another instance,
which answers 410. Then the first instance wakes, and accepts the job.
"""

import signal

import anyio

from standin.harness import BOUNDS, TROUBLE, Scene, body_of, main
from swifthoist_emulator.lives import StepWork

JOB = '00000000000000a4'
FREEZE_S = 3.5
DEADLINE_S = 3.0
WORK_MS = 30_000


async def play(scene: Scene) -> str:
    holder = await scene.holder()
    frozen, other = [it for it in scene.instances if it is not holder]
    scene.record(f'holder   {holder.name}')
    # The instances have told one another where they are reached.
    await anyio.sleep(3)
    work = StepWork(WORK_MS, (26_000, 110_000, 2))
    step = {'Count': 1, 'Cpu': 26_000, 'MemMb': 110_000, 'Gpu': 2,
            'EstimateMs': WORK_MS}
    path = f'/batch/{JOB}'
    body = body_of(step, works=(work,))
    async with anyio.create_task_group() as tasks:
        if TROUBLE:
            frozen.signal(signal.SIGSTOP)
            tasks.start_soon(_wake, frozen)
        await scene.call(frozen, 'POST', path, body, DEADLINE_S)
        status, _ = await scene.call(other, 'DELETE', path)
    if status not in {200, 410}:
        return ''
    acknowledged = scene.record.now()
    gone_ms = BOUNDS['cancel_ms'] + BOUNDS['StopMs']
    # Well after the freeze: no disruption is near for ContactMs and more.
    await anyio.sleep((BOUNDS['ContactMs'] + 2 * gone_ms) / 1000)
    waited = scene.record.now() - acknowledged
    await scene.call(other, 'GET', path)
    if scene.host_of(JOB):
        return (f'UNASKED: a task runs {waited:.1f} s after the cancelling '
                f'was acknowledged with {status}')
    return ''


async def _wake(instance) -> None:
    await anyio.sleep(FREEZE_S)
    instance.signal(signal.SIGCONT)


main(__file__, play)
