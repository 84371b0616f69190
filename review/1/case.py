"""Three accepted jobs that can never be done bring the scheduler to a stop.

A client of team blue hands in urgent jobs of 100,000 tasks, as many as the program
accepts, with a label that no runner has. From then on each holder spends many
seconds on its first decision, is replaced meanwhile, and starts nothing. Urgent
jobs of team red, within its guarantee, are accepted and never begin.
"""

import anyio

from standin.harness import (
    BOUNDS,
    SITE,
    TROUBLE,
    RecordedWorld,
    Scene,
    body_of,
    main,
)
from swifthoist_core.clock import SystemClock
from swifthoist_emulator.lives import StepWork

COUNT = 100_000
HOPELESS = 3
RUNNERS = 24
JOBS = 2
APART_S = 0.4
WORK = StepWork(2_500, (7_500, 39_000, 1))
STEP = {'Cpu': 7_500, 'MemMb': 39_000, 'Gpu': 1, 'EstimateMs': 2_500}


async def play(scene: Scene) -> str:
    holder = await scene.holder()
    await anyio.sleep(3)
    # Clients of red are at an instance that doesn't hold the cell.
    scene.instances.sort(key=lambda it: it is holder)
    if TROUBLE:
        step = {**STEP, 'Count': COUNT, 'Requirements': 'b'}
        body = body_of(step, works=(WORK,))
        for number in range(HOPELESS):
            scene.record(f'trouble  a job that can never be done, {COUNT} tasks')
            path = f'/urgent/{0xf0 + number:016x}'
            await scene.submit(path, body, key='key-blue')
    jobs = [f'{number:016x}' for number in range(1, JOBS + 1)]
    begun: set[str] = set()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch, scene, jobs, begun)
        for job in jobs:
            await anyio.sleep(APART_S)
            body = body_of({**STEP, 'Count': 1}, works=(WORK,))
            await scene.submit(f'/urgent/{job}', body, key='key-red')
        # The traffic ends here; finish_s later, for 3 s, nothing may wait.
        await anyio.sleep(BOUNDS['finish_s'] + 3)
        tasks.cancel_scope.cancel()
    epochs = []
    for instance in scene.instances:
        epochs.append((await instance.state(scene.http)).get('epoch'))
    running = sum(
        len(host.life.runs)
        for host in scene.world.fleet.hosts.values()
        if host.life is not None
    )
    waiting = [job for job in jobs if job not in begun]
    scene.record(f'epochs   {epochs}')
    scene.record(f'running  {running} tasks on {RUNNERS} runners')
    for job in jobs:
        await scene.call(scene.instances[0], 'GET', f'/urgent/{job}')
    if waiting and not running:
        return (
            f'LOST: {len(waiting)} of {JOBS} accepted jobs have not begun '
            f'{BOUNDS["finish_s"] + 3} s after the last came, and nothing runs'
        )
    return ''


async def _watch(scene: Scene, jobs: list[str], begun: set[str]) -> None:
    while True:
        begun.update(job for job in jobs if scene.host_of(job))
        await anyio.sleep(0.02)


main(
    __file__,
    play,
    lambda: RecordedWorld(SITE._replace(runners=RUNNERS), SystemClock()),
)
